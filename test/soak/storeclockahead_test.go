package soak

import (
	"fmt"
	"math/rand/v2"
	"sync"
	"testing"
	"time"
)

// Guards against a leader that takes the runs of a lost agent for ended, and has their tasks started again while they
// run, because the store's clock has gained on time since an earlier leader wrote until when they may run.
func TestSoak_StoreClockAhead(t *testing.T) {
	// 706 fails only with -soak.faults 4.
	runSeeds(t, []int64{706, 716}, options{storeClockAhead})
}

// storeClockAheadFault returns a fault of the store's clock that comes together with a kill of all entries, after the
// agent of a VM has been killed for longer than the lease of its runs.
func (cl *cluster) storeClockAheadFault(r *rand.Rand, v *vm) (description string, run func()) {
	lost, down := randomDuration(r, 1500*time.Millisecond, 2500*time.Millisecond), randomDuration(r, 100*time.Millisecond, 600*time.Millisecond)
	reading := randomDuration(r, time.Hour, 1000*time.Hour)
	return fmt.Sprintf("kill %s for 8s, after %s the store's clock shows %s; kill all entries for %s", v.agent.name, lost, reading, down), func() {
		var running sync.WaitGroup
		running.Go(func() { v.agent.killFor(8 * time.Second) })
		<-time.After(lost)
		cl.store.SetClock(reading)
		for _, p := range cl.entries {
			running.Go(func() { p.killFor(down) })
		}
		running.Wait()
	}
}
