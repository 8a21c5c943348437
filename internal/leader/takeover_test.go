package leader

import (
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/apex/log"
	"github.com/shoenig/test"
	"github.com/shoenig/test/must"
	"github.com/shoenig/test/wait"

	"bamboowood/internal/boottime"
	"bamboowood/internal/job"
	"bamboowood/internal/ledger"
	"bamboowood/internal/site"
	"bamboowood/internal/store"
	"bamboowood/internal/wire"
	"bamboowood/internal/wire/wirepb"
)

// A leader whose term may have ended must not acknowledge the end of a run that it does not know:
// the run may be that of a later leader, which would never receive the end and would start the
// task again.
func TestLeader_EndsAreAcknowledgedOnlyWithinTheTerm(t *testing.T) {
	hooked, _ := newHookedStore(t)
	jobLedger := newLedger(hooked)
	_, err := jobLedger.BeginTerm(t.Context(), ledger.Term{}, ledger.NoLeader, "10.0.0.1:1", "p1/0")
	must.NoError(t, err)
	allow := hooked.refuseWrites("renewal")
	a := newFakeAgent(t)
	a.ends = []*wirepb.RunEnd{{
		Sequence: 1, Reason: string(job.EndDone), Run: wire.RunRef(job.Run{Task: job.Task{Job: testJob(1).ID}, Number: 1 << 17}),
	}}
	must.NoError(t, jobLedger.RegisterAgent(t.Context(), "a", a.address))
	l, _ := runLeader(t, jobLedger)
	must.Wait(t, wait.InitialSuccess(wait.BoolFunc(l.Leading), wait.Timeout(5*time.Second), wait.Gap(5*time.Millisecond)))
	time.Sleep(800 * time.Millisecond)
	test.Zero(t, a.count(hasStored))
	allow()
	a.await(t, hasStored)
}

// A leader that was cut off from the store renews its term just before another entry takes over.
// Its renewal entitles it to order starts, so the other entry must not begin the next term
// within startValidity.
func TestLeader_RenewalJustBeforeTakeover(t *testing.T) {
	hooked, _ := newHookedStore(t)
	unhooked := *hooked
	old, err := newLedger(&unhooked).BeginTerm(t.Context(), ledger.Term{}, ledger.NoLeader, "10.0.0.2:1", "p2/0")
	must.NoError(t, err)
	var mu sync.Mutex
	var renewed, began time.Duration
	hooked.onApply = func(tx store.Tx) error {
		mu.Lock()
		defer mu.Unlock()
		if !writesTerm(tx) {
			return nil
		}
		began = boottime.Now()
		if renewed != 0 {
			return nil
		}
		renewed = began
		return old.Renew(t.Context())
	}
	l, _ := runLeader(t, newLedger(hooked))
	must.Wait(t, wait.InitialSuccess(wait.BoolFunc(func() bool { return l.term.Load().Number == 2 }),
		wait.Timeout(10*time.Second), wait.Gap(5*time.Millisecond)))
	mu.Lock()
	defer mu.Unlock()
	test.Greater(t, startValidity, began-renewed)
}

// suspension is a clock that a test moves on as if the process had been suspended.
type suspension struct{ total, pending atomic.Int64 }

// suspensionTime is longer than a run may be without progress.
const suspensionTime = 2 * time.Second

func (s *suspension) now() time.Duration { return boottime.Now() + time.Duration(s.total.Load()) }

// begin suspends the process now, prepare at the next call of beginPrepared.
func (s *suspension) begin()         { s.total.Add(int64(suspensionTime)) }
func (s *suspension) prepare()       { s.pending.Store(int64(suspensionTime)) }
func (s *suspension) beginPrepared() { s.total.Add(s.pending.Swap(0)) }

// runLeaderWithRun runs a leader of a job whose run an agent lists, until its state is running.
func runLeaderWithRun(t *testing.T, change func(*Options)) *fakeAgent {
	hooked, _ := newHookedStore(t)
	jobLedger := newLedger(hooked)
	a := newFakeAgent(t, job.Run{Task: job.Task{Job: testJob(1).ID}, Number: 1})
	must.NoError(t, jobLedger.RegisterAgent(t.Context(), "a", a.address))
	must.NoError(t, jobLedger.Accept(t.Context(), testJob(1)))
	l, _ := runLeaderWith(t, jobLedger, change)
	must.Wait(t, wait.InitialSuccess(wait.BoolFunc(func() bool {
		state, known, _ := l.Status(testJob(1).ID)
		return known && state == job.Running
	}), wait.Timeout(5*time.Second), wait.Gap(5*time.Millisecond)))
	return a
}

// A leader that was suspended has received no reports meanwhile. Its runs must not count as stalled
// for that: all of them would be stopped.
func TestLeader_RunsAreNotStalledAfterSuspension(t *testing.T) {
	var s suspension
	a := runLeaderWithRun(t, func(o *Options) { o.Now = s.now })
	s.begin()
	time.Sleep(4 * planInterval)
	test.Zero(t, a.count(hasStops))
}

// Guards against a suspension between two readings of the clock in one plan: the plan did not notice
// it, and stopped all runs as stalled.
func TestLeader_RunsAreNotStalledBySuspensionWithinPlan(t *testing.T) {
	var s suspension
	a := runLeaderWithRun(t, func(o *Options) {
		o.Now = s.now
		state := o.Site
		o.Site = func() *site.State {
			s.beginPrepared()
			return state()
		}
	})
	s.prepare()
	time.Sleep(4 * planInterval)
	test.Zero(t, a.count(hasStops))
}

// Guards against a suspension between a takeover and the first plan, which was not noticed either.
func TestLeader_RunsAreNotStalledBySuspensionBeforeFirstPlan(t *testing.T) {
	var s suspension
	s.prepare()
	a := runLeaderWithRun(t, func(o *Options) {
		o.Now = s.now
		o.Logger = &log.Logger{Handler: log.HandlerFunc(func(e *log.Entry) error {
			if strings.HasPrefix(e.Message, "ledger recovered") {
				s.beginPrepared()
			}
			return nil
		})}
	})
	time.Sleep(4 * planInterval)
	test.Zero(t, a.count(hasStops))
}
