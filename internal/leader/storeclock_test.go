package leader

import (
	"fmt"
	"sync/atomic"
	"testing"
	"time"

	"github.com/shoenig/test"
	"github.com/shoenig/test/must"
	"github.com/shoenig/test/wait"

	"bamboowood/internal/boottime"
	"bamboowood/internal/job"
	"bamboowood/internal/ledger"
	"bamboowood/internal/store"
	"bamboowood/platform/platformtest"
)

// storeClockFaults are what the store's clock may do while no leader reads it, for a second.
var storeClockFaults = map[string]func(s *platformtest.Store){
	"ahead":       func(s *platformtest.Store) { s.SetClock(time.Hour) },
	"fast":        func(s *platformtest.Store) { s.SetClockRate(10) },
	"begins anew": func(s *platformtest.Store) { s.SetClock(time.Millisecond) },
	"stands":      func(s *platformtest.Store) { s.SetClockRate(0) },
}

// Guards against a leader that takes the grants of the leader before an ended process at its address for over since
// the store's clock has gained on time: a run would be started again beside the earlier one.
func TestLeader_StoreClockAfterRestart(t *testing.T) {
	for name, fault := range storeClockFaults {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			hooked, standin := newHookedStore(t)
			jobLedger := newLedger(hooked)
			b := newFakeAgent(t)
			must.NoError(t, jobLedger.RegisterAgent(t.Context(), "a", "127.0.0.1:1"))
			must.NoError(t, jobLedger.RegisterAgent(t.Context(), "b", b.address))
			must.NoError(t, jobLedger.Accept(t.Context(), testJob(1)))
			lease := func(o *Options) { o.LeaseDuration = time.Second }
			var killed atomic.Bool
			hooked.onApply = func(tx store.Tx) error {
				if writesTerm(tx) && killed.Load() {
					return store.ErrRefused
				}
				return nil
			}
			began := boottime.Now()
			l, stop := runLeaderWith(t, jobLedger, lease)
			awaitLeading(t, l)
			time.Sleep(2 * renewInterval)
			killed.Store(true)
			stop()
			killed.Store(false)
			fault(standin)
			time.Sleep(time.Second)
			runLeaderWith(t, jobLedger, func(o *Options) { lease(o); o.Process = "p2" })
			time.Sleep(takeoverAfter)
			test.Greater(t, began+grantValidity+time.Second, b.await(t, hasStarts).at)
		})
	}
}

// Guards against a record whose times are on the clock of a leader before the last one, which a later leader does not
// know, so that it begins the wait again, and waits with jobs that were accepted after the first record.
func TestLeader_RecordIsWrittenAgain(t *testing.T) {
	hooked, _ := newHookedStore(t)
	jobLedger := newLedger(hooked)
	a, b := newFakeAgent(t, job.Run{Task: job.Task{Job: testJob(1).ID}, Number: 1}), newFakeAgent(t)
	must.NoError(t, jobLedger.RegisterAgent(t.Context(), "a", a.address))
	must.NoError(t, jobLedger.RegisterAgent(t.Context(), "b", b.address))
	must.NoError(t, jobLedger.Accept(t.Context(), testJob(1)))
	process := 0
	lead := func() (l *Leader, stop func()) {
		process++
		return runLeaderWith(t, jobLedger, func(o *Options) {
			o.Address, o.Process = fmt.Sprintf("10.0.0.%d:1", process), fmt.Sprintf("p%d", process)
		})
	}
	awaitRecord := func() ledger.Lost {
		var lost ledger.Lost
		must.Wait(t, wait.InitialSuccess(wait.BoolFunc(func() bool {
			agents, _, err := jobLedger.Agents(t.Context())
			must.NoError(t, err)
			lost = agents["a"].Lost
			return lost.Process == fmt.Sprintf("p%d/0", process)
		}), wait.Timeout(3*time.Second), wait.Gap(20*time.Millisecond)))
		return lost
	}
	l, stop := lead()
	must.Wait(t, wait.InitialSuccess(wait.BoolFunc(func() bool {
		state, known, _ := l.Status(testJob(1).ID)
		return known && state == job.Running
	}), wait.Timeout(5*time.Second), wait.Gap(5*time.Millisecond)))
	// Only heartbeats after the report replace the bound of the term.
	time.Sleep(500 * time.Millisecond)
	lost := boottime.Now()
	a.set(func() { a.refuse = true })
	a.closeSessions()
	first := awaitRecord()
	stop()
	_, stop = lead()
	second := awaitRecord()
	stop()
	test.Eq(t, first.Since, second.Since)
	test.Zero(t, b.count(hasStarts))
	lead()
	test.Between(t, lost+4900*time.Millisecond, b.await(t, hasStarts).at, lost+5*time.Second+2*leaseMargin+time.Second/2)
}

// Guards against a leader that takes the runs on a lost agent for ended since the store's clock has gained on time
// after the record was written.
func TestLeader_StoreClockAfterRecord(t *testing.T) {
	for name, fault := range storeClockFaults {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			hooked, standin := newHookedStore(t)
			jobLedger := newLedger(hooked)
			a := newFakeAgent(t, job.Run{Task: job.Task{Job: testJob(1).ID}, Number: 1})
			b := newFakeAgent(t)
			must.NoError(t, jobLedger.RegisterAgent(t.Context(), "a", a.address))
			must.NoError(t, jobLedger.RegisterAgent(t.Context(), "b", b.address))
			must.NoError(t, jobLedger.Accept(t.Context(), testJob(1)))
			l, stop := runLeader(t, jobLedger)
			must.Wait(t, wait.InitialSuccess(wait.BoolFunc(func() bool {
				state, known, _ := l.Status(testJob(1).ID)
				return known && state == job.Running
			}), wait.Timeout(5*time.Second), wait.Gap(5*time.Millisecond)))
			// Only heartbeats after the report replace the bound of the term.
			time.Sleep(500 * time.Millisecond)
			lost := boottime.Now()
			a.set(func() { a.refuse = true })
			a.closeSessions()
			time.Sleep(recordLostAfter + 2*recordLostInterval)
			stop()
			fault(standin)
			time.Sleep(time.Second)
			runLeaderWith(t, jobLedger, func(o *Options) { o.Address, o.Process = "10.0.0.2:1", "p2" })
			time.Sleep(takeoverAfter)
			test.Greater(t, lost+4900*time.Millisecond, b.await(t, hasStarts).at)
		})
	}
}
