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

// Properties of the generated jobs.
const (
	maxTasksPerStep  = 4
	longRunningShare = 0.2
	cancelShare      = 0.2
	failingShare     = 0.05
	minDuration      = 50 * time.Millisecond
	maxDuration      = 2500 * time.Millisecond
	stragglerShare   = 8
	stragglerTime    = 7 * time.Second
	// callTimeout is how long a caller waits for one answer, retryInterval its pause between
	// attempts.
	callTimeout   = 3 * time.Second
	retryInterval = 300 * time.Millisecond
)

// submission is a generated job and the outcome that its caller observed.
type submission struct {
	id          string
	tasks       []int // number of tasks of each step; a step starts after the previous one
	longRunning bool
	// speculative steps allow copies of their tasks.
	speculative bool
	// taskTime, unless it is 0, is how long each run of its tasks takes, none of which fails.
	taskTime time.Duration

	mu sync.Mutex
	// accepted: an attempt was answered 200. unconfirmed: an attempt had no answer or an
	// unexpected status, so it may have been accepted.
	accepted, unconfirmed bool
	// cancelled: a cancel was answered 200. cancelSent: a cancel was sent.
	cancelled, cancelSent bool
	// cancelledAt is when that answer arrived.
	cancelledAt time.Time
}

// refused reports whether every attempt was answered with a refusal.
func (s *submission) refused() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return !s.accepted && !s.unconfirmed
}

func (s *submission) outcome() (accepted, cancelSent, cancelled bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.accepted, s.cancelSent, s.cancelled
}

// workload generates and stores all submissions of a run.
type workload struct {
	seed int64
	// longRunningLeft is the number of long-running tasks that may still be submitted.
	longRunningLeft int
	// speculative is set if the steps of jobs that are not long-running are speculative.
	speculative bool

	mu   sync.Mutex
	jobs map[string]*submission
	list []*submission
}

func newWorkload(seed int64, longRunning int) *workload {
	return &workload{seed: seed, longRunningLeft: longRunning, jobs: map[string]*submission{}}
}

func (wl *workload) find(id string) *submission {
	wl.mu.Lock()
	defer wl.mu.Unlock()
	return wl.jobs[id]
}

func (wl *workload) all() []*submission {
	wl.mu.Lock()
	defer wl.mu.Unlock()
	return append([]*submission(nil), wl.list...)
}

// next generates and stores the next submission.
func (wl *workload) next(r *rand.Rand) *submission {
	wl.mu.Lock()
	defer wl.mu.Unlock()
	s := &submission{id: fmt.Sprintf("%016x", r.Uint64()), longRunning: r.Float64() < longRunningShare && wl.longRunningLeft >= maxTasksPerStep}
	steps := 1
	if !s.longRunning {
		steps += r.IntN(2)
	}
	for range steps {
		s.tasks = append(s.tasks, 1+r.IntN(maxTasksPerStep))
	}
	if s.longRunning {
		wl.longRunningLeft -= s.tasks[0]
	}
	s.speculative = wl.speculative && !s.longRunning
	wl.jobs[s.id] = s
	wl.list = append(wl.list, s)
	return s
}

// runResult returns the duration of a task's run and whether it fails. Both depend only on the
// seed and the task's name. One in stragglerShare runs of speculative steps takes stragglerTime.
func (wl *workload) runResult(task string, run int64) (d time.Duration, fails bool) {
	parsed, err := job.ParseTask(task)
	if err != nil {
		return 0, true
	}
	if s := wl.find(parsed.Job); s != nil && s.longRunning {
		return time.Hour, false
	}
	if s := wl.find(parsed.Job); s != nil && s.taskTime != 0 {
		return s.taskTime, false
	}
	if s := wl.find(parsed.Job); s != nil && s.speculative {
		h := fnv.New64a()
		_, _ = fmt.Fprint(h, wl.seed, task, run)
		if h.Sum64()%stragglerShare == 0 {
			return stragglerTime, false
		}
	}
	h := fnv.New64a()
	_, _ = fmt.Fprint(h, wl.seed, task) // writing to a hash does not fail
	r := rand.New(rand.NewPCG(h.Sum64(), 2))
	return randomDuration(r, minDuration, maxDuration), r.Float64() < failingShare
}

func (s *submission) body() []byte {
	type step struct {
		Count       int   `json:"count"`
		CPU         int   `json:"cpu"`
		MemMB       int   `json:"memMb"`
		EstimateMS  int   `json:"estimateMs"`
		After       []int `json:"after,omitempty"`
		LongRunning bool  `json:"longRunning,omitempty"`
		Speculative bool  `json:"speculative,omitempty"`
	}
	var steps []step
	for i, n := range s.tasks {
		x := step{Count: n, CPU: taskCPU, MemMB: 100, EstimateMS: 500, LongRunning: s.longRunning, Speculative: s.speculative}
		if i > 0 {
			x.After = []int{i - 1}
		}
		steps = append(steps, x)
	}
	data, err := json.Marshal(map[string]any{"spec": s.id, "steps": steps})
	if err != nil {
		panic(err) // plain structs always encode
	}
	return data
}

// callers submit and cancel jobs over kept-alive connections until the context of run ends.
type callers struct {
	cluster *cluster
	client  *http.Client
	wait    sync.WaitGroup
}

func (c *callers) run(ctx context.Context, interval time.Duration) {
	r := rand.New(rand.NewPCG(uint64(c.cluster.seed), 3))
	for ctx.Err() == nil {
		s := c.cluster.jobs.next(r)
		cancels, cancelDelay, callerSeed := r.Float64() < cancelShare, randomDuration(r, 0, 2*time.Second), r.Uint64()
		c.wait.Go(func() {
			c.submit(s, rand.New(rand.NewPCG(callerSeed, 4)))
			if cancels && !s.refused() {
				<-time.After(cancelDelay)
				c.cancel(s, rand.New(rand.NewPCG(callerSeed, 5)))
			}
		})
		<-time.After(time.Duration(r.ExpFloat64() * float64(interval)))
	}
	c.wait.Wait()
}

// call sends one request to a random entry. Status 0 means that there was no answer.
func (c *callers) call(method, id string, body []byte, r *rand.Rand) (status int, answer []byte) {
	ctx, cancel := context.WithTimeout(context.Background(), callTimeout)
	defer cancel()
	url := "http://" + net.JoinHostPort(pick(r, c.cluster.entries).ip, callersPort) + prefix + id
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

// submit submits a job until it is accepted, at most attempts times.
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
			s.unconfirmed = true
		}
		done := s.accepted
		s.mu.Unlock()
		if done {
			return
		}
		<-time.After(randomDuration(r, 0, 2*retryInterval))
	}
}

// cancel sends cancels until one is acknowledged or the job is gone, at most 20 times.
func (c *callers) cancel(s *submission, r *rand.Rand) {
	s.mu.Lock()
	s.cancelSent = true
	s.mu.Unlock()
	for range 20 {
		status, _ := c.call(http.MethodDelete, s.id, nil, r)
		if status == http.StatusOK || status == http.StatusGone {
			s.mu.Lock()
			if status == http.StatusOK && !s.cancelled {
				s.cancelled, s.cancelledAt = true, time.Now()
			}
			s.mu.Unlock()
			return
		}
		<-time.After(retryInterval)
	}
}

// state reads a job's state from an entry. It is empty without a 200 answer; missing reports a
// 410 answer.
func (c *callers) state(s *submission, r *rand.Rand) (state job.State, missing bool) {
	status, data := c.call(http.MethodGet, s.id, nil, r)
	var answer struct {
		State job.State `json:"state"`
	}
	if status != http.StatusOK || json.Unmarshal(data, &answer) != nil {
		return "", status == http.StatusGone
	}
	return answer.State, false
}
