package supervisor

import (
	"testing"
	"time"

	"github.com/shoenig/test"
	"github.com/shoenig/test/must"

	"bamboowood/internal/job"
	"bamboowood/internal/runner"
)

func (h *harness) snapshotRunner() job.Runner {
	h.t.Helper()
	u, ok := h.Snapshot()
	must.True(h.t, ok)
	must.NotNil(h.t, u.Runner)
	return *u.Runner
}

// reportUntil reports every 500 ms, with increasing sequence numbers, until the agent's runner is as
// wanted.
func (h *harness) reportUntil(r job.Runner, reached func(job.Runner) bool) {
	h.t.Helper()
	for range 10 {
		if reached(h.snapshotRunner()) {
			return
		}
		r.Sequence++
		_ = h.report(r)
		time.Sleep(500 * time.Millisecond)
	}
	h.t.Fatalf("the runner is still %+v", h.snapshotRunner())
}

// Guards against one report of another writer under the id and the start time of the own runner: its
// service, under which the runner gets no tasks, replaced that of the runner.
func TestSupervisor_ReportOfOtherServiceForOwnRunner(t *testing.T) {
	runTest(t, nil, func(h *harness) {
		h.runOn("i-1")
		for _, odd := range []job.Runner{{Service: "odd"}, {Service: "desk", Zone: "odd"}} {
			odd.ID, odd.StartTime, odd.Sequence = "i-1", 100, 1<<40
			test.ErrorIs(t, h.report(odd), runner.ErrOtherIncarnation)
			test.Eq(t, "desk", h.snapshotRunner().Service)
			test.Eq(t, "", h.snapshotRunner().Zone)
		}
		must.NoError(t, h.report(job.Runner{ID: "i-1", Service: "desk", StartTime: 100, Sequence: 2, Draining: true}))
		test.True(t, h.snapshotRunner().Draining)
	})
}

// Guards against one report of another writer with a high sequence number, after which the runner's own
// reports counted as outdated for as long as it lived.
func TestSupervisor_ReportsAfterHighSequence(t *testing.T) {
	runTest(t, nil, func(h *harness) {
		run := h.runOn("i-1")
		own := job.Runner{ID: "i-1", Service: "desk", StartTime: 100, Sequence: 2}
		odd := own
		odd.Sequence, odd.Draining = 1<<40, true
		must.NoError(t, h.report(odd))
		h.reportUntil(own, func(r job.Runner) bool { return !r.Draining })
		own.Sequence, own.Draining = 100, true
		must.NoError(t, h.report(own))
		test.True(t, h.snapshotRunner().Draining, test.Sprint("the next report is applied at once"))
		u, _ := h.Snapshot()
		must.Len(t, 1, u.Active)
		test.Eq(t, run, u.Active[0].Run)
	})
}

// Guards against a runner that keeps the service of another writer's report, because that one came first.
func TestSupervisor_FirstReportOfOtherService(t *testing.T) {
	runTest(t, nil, func(h *harness) {
		h.fake.setRunner("i-1", 100)
		must.NoError(t, h.report(job.Runner{ID: "i-1", Service: "odd", StartTime: 100, Sequence: 1 << 40}))
		time.Sleep(50 * time.Millisecond)
		h.reportUntil(job.Runner{ID: "i-1", Service: "desk", StartTime: 100, Sequence: 2}, func(r job.Runner) bool { return r.Service == "desk" })
	})
}

// Delayed reports that arrive together do not replace a later one.
func TestSupervisor_DelayedReportsTogether(t *testing.T) {
	runTest(t, nil, func(h *harness) {
		h.runOn("i-1")
		must.NoError(t, h.report(job.Runner{ID: "i-1", Service: "desk", StartTime: 100, Sequence: 20, Draining: true}))
		for sequence := int64(2); sequence < 20; sequence++ {
			must.NoError(t, h.report(job.Runner{ID: "i-1", Service: "desk", StartTime: 100, Sequence: sequence}))
			time.Sleep(20 * time.Millisecond)
		}
		test.True(t, h.snapshotRunner().Draining)
	})
}
