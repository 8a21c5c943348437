package supervisor

import (
	"testing"
	"time"

	"github.com/shoenig/test"
	"github.com/shoenig/test/must"

	"bamboowood/internal/job"
	"bamboowood/internal/runner"
)

// Guards against carrying out a start on another incarnation of the runner than the one for which it was
// planned (ROUTE): it may have another service, other labels or less capacity. Orders of leaders of the previous
// version name none.
func TestSupervisor_StartPlannedForAnotherIncarnation(t *testing.T) {
	for name, c := range map[string]struct {
		id      string
		born    int64
		started bool
	}{
		"current":            {"i-1", 100, true},
		"previous version":   {"", 0, true},
		"earlier start time": {"i-1", 50, false},
		"other id":           {"i-0", 100, false},
	} {
		t.Run(name, func(t *testing.T) {
			runTest(t, nil, func(h *harness) {
				h.fake.setRunner("i-1", 100)
				must.NoError(t, h.report(job.Runner{ID: "i-1", Service: "desk", StartTime: 100, Sequence: 1}))
				time.Sleep(50 * time.Millisecond)
				h.grantLease()
				run := job.Run{Task: job.Task{Job: "5c0e7a21d94b36f8"}, Number: 1}
				h.Start(h.t.Context(), Order{Details: RunDetails{Run: run}, RunnerID: c.id, StartTime: c.born})
				u := h.collectUpdates(time.Second)
				if c.started {
					test.Eq(t, 1, h.fake.startCount())
					test.Len(t, 0, u.Refusals)
					return
				}
				test.Zero(t, h.fake.startCount())
				must.Len(t, 1, u.Refusals)
				test.Eq(t, RefusedStart{run, runner.RefusedLate}, u.Refusals[0])
			})
		})
	}
}

// Guards against the same for a start that waits for a free call while its runner restarts under its id.
func TestSupervisor_RunnerRestartsWhileStartWaits(t *testing.T) {
	runTest(t, nil, func(h *harness) {
		h.fake.setRunner("i-1", 100)
		must.NoError(t, h.report(job.Runner{ID: "i-1", Service: "desk", StartTime: 100, Sequence: 1}))
		time.Sleep(50 * time.Millisecond)
		h.grantLease()
		for range maxCalls {
			h.callSlots <- struct{}{}
		}
		run := job.Run{Task: job.Task{Job: "5c0e7a21d94b36f8"}, Number: 1}
		h.Start(h.t.Context(), Order{Details: RunDetails{Run: run}, RunnerID: "i-1", StartTime: 100})
		h.fake.setRunner("i-1", 200)
		must.NoError(t, h.report(job.Runner{ID: "i-1", Service: "eye", StartTime: 200, Sequence: 1}))
		time.Sleep(50 * time.Millisecond)
		h.grantLease()
		for range maxCalls {
			<-h.callSlots
		}
		u := h.collectUpdates(time.Second)
		test.Zero(t, h.fake.startCount())
		must.Len(t, 1, u.Refusals)
		test.Eq(t, run, u.Refusals[0].Run)
	})
}
