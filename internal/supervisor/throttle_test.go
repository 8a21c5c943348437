package supervisor

import (
	"errors"
	"sync/atomic"
	"testing"
	"time"

	"github.com/shoenig/test"
	"github.com/shoenig/test/must"

	"bamboowood/internal/job"
)

const (
	testTarget  = 100 * time.Millisecond
	testFullCPU = 4_000
	// harmLimit is how long a task may be over its target because of best-effort tasks (RULES, HARM).
	harmLimit = 4 * time.Second
)

// pass lets time pass while a leader grants leases.
func (h *harness) pass(d time.Duration) {
	for end := time.Now().Add(d); time.Now().Before(end); time.Sleep(50 * time.Millisecond) {
		h.grantLease()
	}
}

func taskRunOf(n int64) job.Run {
	return job.Run{Task: job.Task{Job: "5c0e7a21d94b36f8", Index: int(n)}, Number: n}
}

// startColocated starts a latency-critical and a best-effort run on the runner.
func (h *harness) startColocated() (critical, bestEffort job.Run) {
	h.fake.fullCPU = testFullCPU
	h.reportRunner("a", 1)
	h.pass(100 * time.Millisecond)
	critical, bestEffort = taskRunOf(1), taskRunOf(2)
	h.Start(h.t.Context(), Order{Details: RunDetails{Run: critical, LatencyTarget: testTarget}})
	h.Start(h.t.Context(), Order{Details: RunDetails{Run: bestEffort, BestEffort: true, CPU: testFullCPU}})
	h.pass(time.Second)
	h.fake.setTail(critical, testTarget/2)
	return critical, bestEffort
}

// Guards against HARM: a restarted agent set the runs that had been throttled to full speed, which
// nobody had ordered.
func TestSupervisor_RestartedProcessKeepsSpeedLimits(t *testing.T) {
	run := taskRunOf(2)
	prepare := func(f *fakeRunner) {
		f.fullCPU, f.active = testFullCPU, []job.Activity{{Run: run}}
		f.setSpeed(run, 0)
	}
	runTest(t, prepare, func(h *harness) {
		h.reportRunner("a", 1)
		h.pass(time.Second)
		h.SetDetails([]RunDetails{{Run: run, BestEffort: true, CPU: testFullCPU}})
		h.pass(2 * time.Second)
		test.SliceEmpty(t, h.fake.throttleCalls())
		h.Throttle(run, 0)
		h.pass(time.Second)
		test.Eq(t, []int{0}, h.fake.throttleCalls(), test.Sprint("the limit in force is not known"))
	})
}

// Guards against HARM: of two throttle calls in flight for one run the older one could take effect
// last, and the answer that came last was taken for the limit in force.
func TestSupervisor_ThrottleCallsOfOneRunInOrder(t *testing.T) {
	var inFlight, overlaps atomic.Int32
	prepare := func(f *fakeRunner) {
		f.onThrottle = func(percent int) error {
			if inFlight.Add(1) > 1 {
				overlaps.Add(1)
			}
			defer inFlight.Add(-1)
			if percent == 50 {
				time.Sleep(300 * time.Millisecond)
			}
			return nil
		}
	}
	runTest(t, prepare, func(h *harness) {
		_, bestEffort := h.startColocated()
		h.Throttle(bestEffort, 50)
		h.pass(100 * time.Millisecond)
		h.Throttle(bestEffort, 0)
		h.pass(350 * time.Millisecond)
		test.Eq(t, 0, h.fake.speedOf(bestEffort))
		test.Eq(t, 0, overlaps.Load())
	})
}

var errLost = errors.New("no answer")

// Guards against HARM: a throttle call that got no answer took effect seconds later, after a newer
// one, and nobody compared the CPU in use with the limit.
func TestSupervisor_LateThrottleCallIsOverridden(t *testing.T) {
	prepare := func(f *fakeRunner) {
		f.onThrottle = func(percent int) error {
			if percent == 80 {
				return errLost
			}
			return nil
		}
	}
	runTest(t, prepare, func(h *harness) {
		_, bestEffort := h.startColocated()
		h.Throttle(bestEffort, 80)
		h.pass(100 * time.Millisecond)
		h.Throttle(bestEffort, 0)
		h.pass(3 * time.Second)
		must.Eq(t, 0, h.fake.speedOf(bestEffort))
		h.fake.setSpeed(bestEffort, 80)
		h.pass(1500 * time.Millisecond)
		test.Eq(t, 0, h.fake.speedOf(bestEffort))
	})
}

// Guards against HARM: orders to throttle did not arrive while a leader changed, stalled, or its
// session was silent, and its clock of the time over the target began anew.
func TestSupervisor_TaskOverTargetPausesBestEffortRuns(t *testing.T) {
	runTest(t, nil, func(h *harness) {
		critical, bestEffort := h.startColocated()
		h.Throttle(bestEffort, 60)
		for _, tail := range []time.Duration{120, 105, 100, 103} {
			h.fake.setTail(critical, tail*time.Millisecond)
			h.pass(800 * time.Millisecond)
		}
		must.Eq(t, 0, h.fake.speedOf(bestEffort), must.Sprintf("%s over the target, of %s", 3200*time.Millisecond, harmLimit))
		late := taskRunOf(3)
		h.Start(h.t.Context(), Order{Details: RunDetails{Run: late, BestEffort: true, CPU: testFullCPU}})
		h.pass(100 * time.Millisecond)
		test.Eq(t, 0, h.fake.speedOf(late), test.Sprint("a run that starts during the pause"))
		h.fake.setTail(critical, testTarget/2)
		h.pass(2 * time.Second)
		test.Eq(t, 60, h.fake.speedOf(bestEffort))
		test.Eq(t, fullSpeed, h.fake.speedOf(late))
	})
}

// Guards against HARM: an agent that lost its leader raised the runs that the leader had stopped.
func TestSupervisor_StandaloneLowersOnly(t *testing.T) {
	runTest(t, nil, func(h *harness) {
		critical, bestEffort := h.startColocated()
		h.Throttle(bestEffort, 0)
		h.pass(time.Second)
		h.fake.setTail(critical, 95*time.Millisecond)
		for range 20 {
			time.Sleep(100 * time.Millisecond)
			must.Eq(t, 0, h.fake.speedOf(bestEffort))
		}
	})
}

// Guards against HARM: a best-effort task started at full speed beside one over its target.
func TestSupervisor_StartWithSpeedLimit(t *testing.T) {
	runTest(t, nil, func(h *harness) {
		h.startColocated()
		late := taskRunOf(3)
		h.Start(h.t.Context(), Order{
			Details: RunDetails{Run: late, BestEffort: true, CPU: testFullCPU}, Speed: job.SpeedOf(0),
		})
		h.pass(50 * time.Millisecond)
		test.Eq(t, 0, h.fake.speedOf(late))
		h.Throttle(late, fullSpeed)
		h.pass(50 * time.Millisecond)
		test.Eq(t, fullSpeed, h.fake.speedOf(late))
	})
}

// Guards against HARM: an agent neither paused nor protected runs whose kind its leader had not told it.
func TestSupervisor_AsksForDetails(t *testing.T) {
	run := taskRunOf(2)
	prepare := func(f *fakeRunner) { f.active = []job.Activity{{Run: run}} }
	runTest(t, prepare, func(h *harness) {
		h.reportRunner("a", 1)
		for _, unknown := range []bool{true, true, false} {
			if !unknown {
				h.SetDetails([]RunDetails{{Run: run, BestEffort: true, CPU: testFullCPU}})
			}
			u := h.collectUpdates(time.Second)
			must.SliceNotEmpty(t, u.Active)
			test.Eq(t, unknown, u.Active[len(u.Active)-1].DetailsUnknown)
		}
	})
}
