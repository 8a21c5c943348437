package leader

import (
	"sync/atomic"
	"testing"
	"time"

	"github.com/shoenig/test"
	"github.com/shoenig/test/must"

	"bamboowood/internal/boottime"
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
