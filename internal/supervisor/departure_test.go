package supervisor

import (
	"testing"
	"time"

	"github.com/shoenig/test"
	"github.com/shoenig/test/must"

	"bamboowood/internal/job"
	"bamboowood/internal/runner"
)

// departures are those that do not show that the current incarnation, which has not said that it drains, leaves.
var departures = map[string]func(*harness){
	"once": func(h *harness) { h.RunnerLeft("i-1", 0) },
	"repeated": func(h *harness) {
		h.RunnerLeft("i-1", 0)
		h.RunnerLeft("i-1", 0)
	},
	"of an earlier incarnation": func(h *harness) { h.RunnerLeft("i-1", 99) },
}

// Guards against taking a departure without a start time, which an earlier incarnation under the same id may have
// sent, for that of the current one: once connections were refused for a while, its live runs were given up and ran
// twice.
func TestSupervisor_DepartureWithoutStartTime(t *testing.T) {
	for name, leave := range departures {
		t.Run(name, func(t *testing.T) {
			runTest(t, nil, func(h *harness) {
				run := h.runOn("i-1")
				leave(h)
				h.fake.setRenewErr(runner.ErrNoListener)
				u := h.collectUpdates(testLease - time.Second)
				test.SliceEmpty(t, u.Refusals)
				h.fake.setRenewErr(nil)
				test.SliceEmpty(t, h.refusalsWhileLeased(testLease))
				snapshot, ok := h.Snapshot()
				must.True(t, ok)
				must.NotNil(t, snapshot.Runner)
				test.False(t, snapshot.Runner.Draining)
				must.Len(t, 1, snapshot.Active)
				test.Eq(t, run, snapshot.Active[0].Run)
			})
		})
	}
}

// Guards against the same when another runner answers at the address: the process of the earlier one may live on until
// its lease ends.
func TestSupervisor_SuccessorAfterDepartureWithoutStartTime(t *testing.T) {
	for name, leave := range departures {
		t.Run(name, func(t *testing.T) {
			runTest(t, nil, func(h *harness) {
				run := h.runOn("i-1")
				leave(h)
				h.fake.mu.Lock()
				h.fake.id, h.fake.startTime, h.fake.active = "i-2", 200, nil
				h.fake.mu.Unlock()
				must.NoError(t, h.report(job.Runner{ID: "i-2", Service: "desk", StartTime: 200, Sequence: 1}))
				u := h.collectUpdates(testLease - time.Second)
				test.SliceEmpty(t, u.Refusals)
				u = h.collectUpdates(2 * time.Second)
				must.Len(t, 1, u.Refusals)
				test.Eq(t, run, u.Refusals[0].Run)
			})
		})
	}
}

// Guards against starts on a runner that may have left, and against stopping the runs of one that lives on: the leader
// learns of no runner, and of all runs, until the runner answers.
func TestSupervisor_DepartureHoldsStartsOnly(t *testing.T) {
	runTest(t, nil, func(h *harness) {
		run := h.runOn("i-1")
		h.fake.setRenewErr(errNoAnswer)
		time.Sleep(2 * renewWait)
		h.TakeUpdate()
		h.RunnerLeft("i-1", 0)
		u, ok := h.TakeUpdate()
		must.True(t, ok)
		must.True(t, u.RunnerChanged)
		test.Nil(t, u.Runner)
		must.Len(t, 1, u.Active)
		test.Eq(t, run, u.Active[0].Run)
		h.fake.setRenewErr(nil)
		time.Sleep(2 * failurePause)
		u, _ = h.TakeUpdate()
		must.NotNil(t, u.Runner)
		test.False(t, u.Runner.Draining)
	})
}

// Guards against a wait for the lease of a runner that has said that it drains and has left, whether or not its departure
// names its start time: its tasks would wait that long.
func TestSupervisor_DrainedRunnerLeaves(t *testing.T) {
	for name, c := range map[string]struct {
		drained   bool
		startTime int64
	}{
		"drained": {drained: true}, "drained, start time": {drained: true, startTime: 100}, "start time": {startTime: 100},
	} {
		t.Run(name, func(t *testing.T) {
			runTest(t, nil, func(h *harness) {
				run := h.runOn("i-1")
				if c.drained {
					must.NoError(t, h.report(job.Runner{ID: "i-1", Service: "desk", StartTime: 100, Sequence: 2, Draining: true}))
				}
				h.RunnerLeft("i-1", c.startTime)
				h.fake.setRenewErr(runner.ErrNoListener)
				u := h.collectUpdates(time.Second)
				must.Len(t, 1, u.Refusals)
				test.Eq(t, run, u.Refusals[0].Run)
			})
		})
	}
}
