package supervisor

import (
	"testing"
	"testing/synctest"

	"github.com/shoenig/test"

	"bamboowood/internal/job"
)

// Guards against calls that are added while Run waits for those in progress, or after it has returned: a data
// race on the wait group, and a call that outlives the agent's shutdown.
func TestSupervisor_OrdersWhileRunEnds(t *testing.T) {
	runTest(t, nil, func(h *harness) {
		h.reportRunner("i-1", 1)
		h.grantLease()
		ordered := make(chan struct{})
		go func() {
			defer close(ordered)
			for n := range int64(500) {
				run := h.startRun(n + 1)
				h.Throttle(run, 50)
				h.Stop(h.t.Context(), run)
			}
		}()
		h.stop()
		h.fake.mu.Lock()
		starts, stops, speeds := len(h.fake.starts), len(h.fake.stops), len(h.fake.speeds)
		h.fake.mu.Unlock()
		<-ordered
		h.Stop(h.t.Context(), h.startRun(1000))
		h.Stop(h.t.Context(), job.Run{Task: job.Task{Job: "5c0e7a21d94b36f8"}, Number: 1})
		synctest.Wait()
		h.fake.mu.Lock()
		defer h.fake.mu.Unlock()
		test.Eq(t, starts, len(h.fake.starts))
		test.Eq(t, stops, len(h.fake.stops))
		test.Eq(t, speeds, len(h.fake.speeds))
	})
}
