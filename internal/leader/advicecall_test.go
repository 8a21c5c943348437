package leader

import (
	"context"
	"errors"
	"fmt"
	"sync/atomic"
	"testing"
	"time"

	"github.com/shoenig/test"
	"github.com/shoenig/test/must"
	"github.com/shoenig/test/wait"

	"bamboowood/internal/job"
	"bamboowood/internal/ledger"
)

// acceptAdvised accepts jobs of one task each, in a queue with the advisor's figures.
func acceptAdvised(t *testing.T, jobLedger *ledger.Ledger, first, count int, advisor *serialAdvisor) {
	for n := range count {
		j := testJob(first + n)
		j.Queue.Advice = &job.Advice{Decide: advisor.duration, Valid: advisor.valid}
		must.NoError(t, jobLedger.Accept(t.Context(), j))
	}
}

func (s *serialAdvisor) callCount() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.calls
}

// awaitStarts waits until an agent has been ordered to start a number of tasks.
func (a *fakeAgent) awaitStarts(t *testing.T, count int, timeout time.Duration) {
	must.Wait(t, wait.InitialSuccess(wait.BoolFunc(func() bool { return a.countStarts() >= count }),
		wait.Timeout(timeout), wait.Gap(10*time.Millisecond)))
}

// Guards against steps that wait for each other's advice although the service handles a call of each machine at
// a time: a burst of them took as long as all calls one after the other.
func TestLeader_AdviceThroughAgents(t *testing.T) {
	t.Parallel()
	hooked, _ := newHookedStore(t)
	jobLedger := newLedger(hooked)
	a := newFakeAgent(t)
	must.NoError(t, jobLedger.RegisterAgent(t.Context(), "a", a.address))
	advisors := make([]*serialAdvisor, 4)
	for i := range advisors {
		advisors[i] = &serialAdvisor{duration: time.Second, valid: 3 * time.Second}
	}
	for i, advisor := range advisors[1:] {
		runAgentWithoutRunner(t, jobLedger, fmt.Sprint("b", i), "boot-1", 5*time.Second, advisor)
	}
	l, _ := runLeaderWith(t, jobLedger, func(o *Options) { o.Advisor = advisors[0] })
	awaitLeading(t, l)
	must.Wait(t, wait.InitialSuccess(wait.BoolFunc(func() bool {
		r := l.leadership.Load()
		r.mu.Lock()
		defer r.mu.Unlock()
		return r.adviceCallers(r.opts.Now()) == len(advisors)
	}), wait.Timeout(5*time.Second), wait.Gap(10*time.Millisecond)))
	const jobs = 12
	acceptAdvised(t, jobLedger, 1, jobs, advisors[0])
	a.awaitStarts(t, jobs, 6*time.Second)
	total := 0
	for _, advisor := range advisors {
		test.Greater(t, 1, advisor.callCount())
		total += advisor.callCount()
	}
	test.Eq(t, jobs, total, test.Sprint("no advice is asked for twice"))
}

// failingAdvisor is an advice service that cannot be reached.
type failingAdvisor struct{ calls atomic.Int64 }

func (f *failingAdvisor) Advise(context.Context, job.Task, []string) (job.AdviceAnswer, error) {
	f.calls.Add(1)
	return job.AdviceAnswer{}, errors.New("connection refused")
}

// blockedAdvisor is an advice service whose answers do not come.
type blockedAdvisor struct{ called chan struct{} }

func (b *blockedAdvisor) Advise(ctx context.Context, _ job.Task, _ []string) (job.AdviceAnswer, error) {
	b.called <- struct{}{}
	<-ctx.Done()
	return job.AdviceAnswer{}, ctx.Err()
}

// Guards against steps that wait for an agent which cannot reach the service, or is lost during its call.
func TestLeader_AdviceThroughFailingAgents(t *testing.T) {
	t.Parallel()
	hooked, _ := newHookedStore(t)
	jobLedger := newLedger(hooked)
	a := newFakeAgent(t)
	must.NoError(t, jobLedger.RegisterAgent(t.Context(), "a", a.address))
	failing, blocked := &failingAdvisor{}, &blockedAdvisor{called: make(chan struct{}, 100)}
	runAgentWithoutRunner(t, jobLedger, "failing", "boot-1", 5*time.Second, failing)
	stopBlocked := runAgentWithoutRunner(t, jobLedger, "blocked", "boot-1", 5*time.Second, blocked)
	own := &serialAdvisor{duration: 300 * time.Millisecond, valid: 3 * time.Second}
	l, _ := runLeaderWith(t, jobLedger, func(o *Options) { o.Advisor = own })
	awaitLeading(t, l)
	const jobs = 8
	acceptAdvised(t, jobLedger, 1, jobs, own)
	select {
	case <-blocked.called:
	case <-time.After(5 * time.Second):
		t.Fatal("no call through the agent")
	}
	stopBlocked()
	a.awaitStarts(t, jobs, 10*time.Second)
	test.Eq(t, 1, failing.calls.Load(), test.Sprint("a failed agent pauses"))
}

// Guards against a step that stands still because its request for advice ended with the term.
func TestLeader_AdviceAfterTakeover(t *testing.T) {
	t.Parallel()
	hooked, _ := newHookedStore(t)
	jobLedger := newLedger(hooked)
	a := newFakeAgent(t)
	must.NoError(t, jobLedger.RegisterAgent(t.Context(), "a", a.address))
	blocked := &blockedAdvisor{called: make(chan struct{}, 100)}
	l, stop := runLeaderWith(t, jobLedger, func(o *Options) { o.Advisor = blocked })
	awaitLeading(t, l)
	own := &serialAdvisor{duration: 100 * time.Millisecond, valid: 3 * time.Second}
	acceptAdvised(t, jobLedger, 1, 3, own)
	select {
	case <-blocked.called:
	case <-time.After(5 * time.Second):
		t.Fatal("no call")
	}
	stop()
	runLeaderWith(t, jobLedger, func(o *Options) { o.Advisor, o.Address, o.Process = own, "10.0.0.2:1", "p2" })
	a.awaitStarts(t, 3, 10*time.Second)
	test.Eq(t, 3, own.callCount())
}
