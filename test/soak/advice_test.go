package soak

import (
	"bytes"
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"sync"
	"testing"
	"time"

	"bamboowood/internal/job"
)

// Guards against jobs of a queue with a policy that never start or run anywhere without a valid ticket, when the
// advice service is slow, busy or silent while leaders, agents and runners change.
func TestSoak_Advice(t *testing.T) {
	runSeeds(t, []int64{600, 601}, options{advised})
}

// The figures of the queue, and what the service takes in some calls instead.
const (
	adviceDecide   = 60 * time.Millisecond
	adviceEach     = 80 * time.Millisecond
	ticketValidity = 400 * time.Millisecond
	slowAdvice     = 1500 * time.Millisecond
)

// adviceService is a stand-in for the advice service. It allows all runners. Some calls take longer than their
// tickets last, some are refused and some have no answer.
type adviceService struct {
	mu     sync.Mutex
	random *rand.Rand
	// expiry is until when each ticket is valid.
	expiry map[string]time.Time
}

// ServeHTTP implements http.Handler.
func (a *adviceService) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	var request struct {
		Step    string   `json:"step"`
		Workers []string `json:"workers"`
	}
	if err := json.NewDecoder(r.Body).Decode(&request); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	a.mu.Lock()
	kind := a.random.IntN(30)
	a.mu.Unlock()
	took := adviceDecide + time.Duration(len(request.Workers))*adviceEach
	switch kind {
	case 0:
		<-r.Context().Done()
		return
	case 1, 2:
		w.WriteHeader(http.StatusTooManyRequests)
		return
	case 3, 4, 5:
		took = slowAdvice
	}
	select {
	case <-r.Context().Done():
		return
	case <-time.After(took):
	}
	granted := [][2]string{}
	a.mu.Lock()
	for _, id := range request.Workers {
		ticket := request.Step + "/" + id
		a.expiry[ticket] = time.Now().Add(ticketValidity)
		granted = append(granted, [2]string{id, ticket})
	}
	a.mu.Unlock()
	_ = json.NewEncoder(w).Encode(map[string]any{"granted": granted, "validMs": ticketValidity.Milliseconds()})
}

// ticket returns the ticket that a start of the task on a runner must carry, another text if none is valid.
func (a *adviceService) ticket(runner, task string) string {
	parsed, err := job.ParseTask(task)
	if err != nil {
		return "malformed task"
	}
	ticket := parsed.StepName() + "/" + runner
	a.mu.Lock()
	defer a.mu.Unlock()
	if time.Now().After(a.expiry[ticket]) {
		return "expired"
	}
	return ticket
}

// serveAdvice starts the advice service if the option is chosen.
func (cl *cluster) serveAdvice() {
	if !cl.options.has(advised) {
		return
	}
	cl.advice = &adviceService{random: rand.New(rand.NewPCG(uint64(cl.seed), 6)), expiry: map[string]time.Time{}}
	cl.adviceSettings = fmt.Sprintf("advice = %q\n", cl.serve(net.JoinHostPort(address(cl.slot, 1), "18170"), cl.advice))
}

// withAdvice returns a configuration with the policy of the option, if it is chosen.
func (cl *cluster) withAdvice(config []byte) []byte {
	if cl.advice == nil {
		return config
	}
	const slack = `"sloMs":1000`
	policy := fmt.Sprintf(`,"advice":{"decideMs":%d,"eachMs":%d,"validMs":%d}`,
		adviceDecide.Milliseconds(), adviceEach.Milliseconds(), ticketValidity.Milliseconds())
	return bytes.ReplaceAll(config, []byte(slack), []byte(slack+policy))
}
