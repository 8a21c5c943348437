package soak

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"hash/fnv"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"sync"
	"time"

	"bamboowood/internal/job"
)

// Shapes of what callers hand in.
const (
	mostTasks    = 4
	lastingShare = 0.2
	cancelShare  = 0.2
	failingShare = 0.05
	shortest     = 50 * time.Millisecond
	longest      = 2500 * time.Millisecond
	// callTimeout is how long callers wait for one answer, askAgain their pause.
	callTimeout = 3 * time.Second
	askAgain    = 300 * time.Millisecond
)

// submission is a job as its caller knows it.
type submission struct {
	id      string
	tasks   []int // by step; each step follows the one before
	lasting bool

	mu sync.Mutex
	// accepted: an attempt had a 2xx. open: one had no answer, so it may have been accepted.
	accepted, open bool
	// cancelled: a cancel had a 2xx; cancelSent: one was sent.
	cancelled, cancelSent bool
}

// refused says that all attempts were answered, and none was accepted.
func (s *submission) refused() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return !s.accepted && !s.open
}

func (s *submission) answers() (accepted, cancelSent, cancelled bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.accepted, s.cancelSent, s.cancelled
}

// registry has all submissions of a run.
type registry struct {
	seed int64
	// lasting is how many tasks that last may still be handed in.
	lasting int

	mu   sync.Mutex
	jobs map[string]*submission
	list []*submission
}

func newRegistry(seed int64, lasting int) *registry {
	return &registry{seed: seed, lasting: lasting, jobs: map[string]*submission{}}
}

func (g *registry) find(id string) *submission {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.jobs[id]
}

func (g *registry) all() []*submission {
	g.mu.Lock()
	defer g.mu.Unlock()
	return append([]*submission(nil), g.list...)
}

// draw adds the next submission.
func (g *registry) draw(r *rand.Rand) *submission {
	g.mu.Lock()
	defer g.mu.Unlock()
	s := &submission{id: fmt.Sprintf("%016x", r.Uint64()), lasting: r.Float64() < lastingShare && g.lasting >= mostTasks}
	steps := 1
	if !s.lasting {
		steps += r.IntN(2)
	}
	for range steps {
		s.tasks = append(s.tasks, 1+r.IntN(mostTasks))
	}
	if s.lasting {
		g.lasting -= s.tasks[0]
	}
	g.jobs[s.id] = s
	g.list = append(g.list, s)
	return s
}

// duration of a task's next run and whether it fails, from its name alone.
func (g *registry) duration(task string) (d time.Duration, fails bool) {
	parsed, err := job.ParseTask(task)
	if err != nil {
		return 0, true
	}
	if s := g.find(parsed.Job); s != nil && s.lasting {
		return time.Hour, false
	}
	h := fnv.New64a()
	_, _ = fmt.Fprint(h, g.seed, task) // a hash takes all
	r := rand.New(rand.NewPCG(h.Sum64(), 2))
	return between(r, shortest, longest), r.Float64() < failingShare
}

func (s *submission) body() []byte {
	type step struct {
		Count       int   `json:"count"`
		CPU         int   `json:"cpu"`
		MemMB       int   `json:"memMb"`
		EstimateMS  int   `json:"estimateMs"`
		After       []int `json:"after,omitempty"`
		LongRunning bool  `json:"longRunning,omitempty"`
	}
	var steps []step
	for i, n := range s.tasks {
		x := step{Count: n, CPU: taskCPU, MemMB: 100, EstimateMS: 500, LongRunning: s.lasting}
		if i > 0 {
			x.After = []int{i - 1}
		}
		steps = append(steps, x)
	}
	data, err := json.Marshal(map[string]any{"spec": s.id, "steps": steps})
	if err != nil {
		panic(err) // plain structs
	}
	return data
}

// callers hand in jobs until ctx ends, over connections that they keep.
type callers struct {
	w      *world
	client *http.Client
	wait   sync.WaitGroup
}

func (c *callers) run(ctx context.Context, every time.Duration) {
	r := rand.New(rand.NewPCG(uint64(c.w.seed), 3))
	for ctx.Err() == nil {
		s := c.w.jobs.draw(r)
		cancels, pause, own := r.Float64() < cancelShare, between(r, 0, 2*time.Second), r.Uint64()
		c.wait.Go(func() {
			c.submit(s, rand.New(rand.NewPCG(own, 4)))
			if cancels && !s.refused() {
				<-time.After(pause)
				c.cancel(s, rand.New(rand.NewPCG(own, 5)))
			}
		})
		<-time.After(time.Duration(r.ExpFloat64() * float64(every)))
	}
	c.wait.Wait()
}

// call sends one request to an entry; status 0 says that there was no answer.
func (c *callers) call(method, id string, body []byte, r *rand.Rand) (status int, answer []byte) {
	ctx, cancel := context.WithTimeout(context.Background(), callTimeout)
	defer cancel()
	url := "http://" + net.JoinHostPort(pick(r, c.w.entries).ip, frontPort) + prefix + id
	request, err := http.NewRequestWithContext(ctx, method, url, bytes.NewReader(body))
	if err != nil {
		return 0, nil
	}
	request.Host = host
	request.Header.Set("Deadline-Ms", fmt.Sprint(callTimeout.Milliseconds()))
	response, err := c.client.Do(request)
	if err != nil {
		return 0, nil
	}
	defer func() { _ = response.Body.Close() }()
	data, err := io.ReadAll(response.Body)
	if err != nil {
		return 0, nil
	}
	return response.StatusCode, data
}

// submit hands a job in until it is accepted, a few times at most.
func (c *callers) submit(s *submission, r *rand.Rand) {
	const attempts = 5
	for range attempts {
		status, _ := c.call(http.MethodPost, s.id, s.body(), r)
		s.mu.Lock()
		switch status {
		case http.StatusOK:
			s.accepted = true
		case http.StatusServiceUnavailable, http.StatusTooManyRequests:
		default:
			s.open = true
		}
		done := s.accepted
		s.mu.Unlock()
		if done {
			return
		}
		<-time.After(between(r, 0, 2*askAgain))
	}
}

// cancel cancels a job until that is acknowledged.
func (c *callers) cancel(s *submission, r *rand.Rand) {
	s.mu.Lock()
	s.cancelSent = true
	s.mu.Unlock()
	for range 20 {
		status, _ := c.call(http.MethodDelete, s.id, nil, r)
		if status == http.StatusOK || status == http.StatusGone {
			s.mu.Lock()
			s.cancelled = s.cancelled || status == http.StatusOK
			s.mu.Unlock()
			return
		}
		<-time.After(askAgain)
	}
}

// state asks for a job's state; empty if there was no answer, gone if it is not known.
func (c *callers) state(s *submission, r *rand.Rand) (state job.State, gone bool) {
	status, data := c.call(http.MethodGet, s.id, nil, r)
	var answer struct {
		State job.State `json:"state"`
	}
	if status != http.StatusOK || json.Unmarshal(data, &answer) != nil {
		return "", status == http.StatusGone
	}
	return answer.State, false
}
