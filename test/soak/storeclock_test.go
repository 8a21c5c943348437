package soak

import (
	"fmt"
	"math/rand/v2"
	"time"
)

// storeClockFault returns a fault of the store's clock, during which the agent of a VM is killed and starts again.
func (cl *cluster) storeClockFault(r *rand.Rand, v *vm) (description string, run func()) {
	down, settle := randomDuration(r, 100*time.Millisecond, time.Second), randomDuration(r, 0, time.Second)
	restartAgent := func() {
		<-time.After(settle)
		v.agent.killFor(down)
	}
	switch r.IntN(3) {
	case 0:
		reading := randomDuration(r, 0, time.Second)
		return fmt.Sprintf("the store's clock begins anew at %s; kill %s for %s", reading, v.agent.name, down), func() {
			cl.store.SetClock(reading)
			restartAgent()
		}
	case 1:
		return fmt.Sprintf("the store's clock stands still; kill %s for %s", v.agent.name, down), func() {
			cl.store.SetClockRate(0)
			restartAgent()
			<-time.After(settle)
			cl.store.SetClockRate(1)
		}
	default:
		return fmt.Sprintf("the store's clock is slow by a tenth; kill %s for %s", v.agent.name, down), func() {
			cl.store.SetClockRate(0.9)
			restartAgent()
		}
	}
}
