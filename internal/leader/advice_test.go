package leader

import (
	"context"
	"sync"
	"testing"
	"time"

	"github.com/shoenig/test"
	"github.com/shoenig/test/must"
	"github.com/shoenig/test/wait"

	"bamboowood/internal/job"
)

// serialAdvisor is an advice service that handles one call at a time and skips calls that were given up. It allows
// each runner.
type serialAdvisor struct {
	turn     sync.Mutex
	duration time.Duration
	valid    time.Duration

	mu    sync.Mutex
	calls int
}

func (s *serialAdvisor) Advise(ctx context.Context, _ job.Task, runners []string) (job.AdviceAnswer, error) {
	s.turn.Lock()
	defer s.turn.Unlock()
	if ctx.Err() != nil {
		return job.AdviceAnswer{}, ctx.Err()
	}
	s.mu.Lock()
	s.calls++
	s.mu.Unlock()
	select {
	case <-ctx.Done():
		return job.AdviceAnswer{}, ctx.Err()
	case <-time.After(s.duration):
	}
	tickets := map[string]string{}
	for _, id := range runners {
		tickets[id] = "ticket"
	}
	return job.AdviceAnswer{Tickets: tickets, Validity: s.valid}, nil
}

// Guards against steps that stand still after a burst of submissions: requests for advice were given up, and
// tickets expired, while they waited for requests of other steps.
func TestPattern_BurstOnSlowAdviceService(t *testing.T) {
	hooked, _ := newHookedStore(t)
	jobLedger := newLedger(hooked)
	a := newFakeAgent(t)
	must.NoError(t, jobLedger.RegisterAgent(t.Context(), "a", a.address))
	advisor := &serialAdvisor{duration: time.Second, valid: 1500 * time.Millisecond}
	l, _ := runLeaderWith(t, jobLedger, func(o *Options) { o.Advisor = advisor })
	awaitLeading(t, l)
	const steps = 6
	for n := range steps {
		j := testJob(n + 1)
		j.Queue.Advice = &job.Advice{Decide: advisor.duration, Valid: advisor.valid}
		must.NoError(t, jobLedger.Accept(t.Context(), j))
	}
	must.Wait(t, wait.InitialSuccess(wait.BoolFunc(func() bool {
		return a.countStarts() == steps
	}), wait.Timeout(2*steps*advisor.duration), wait.Gap(10*time.Millisecond)))
	advisor.mu.Lock()
	defer advisor.mu.Unlock()
	test.Eq(t, steps, advisor.calls, test.Sprint("no advice is asked for twice"))
}
