package supervisor

import (
	"testing"
	"time"

	"github.com/shoenig/test"
	"github.com/shoenig/test/must"

	"bamboowood/internal/job"
	"bamboowood/internal/runner"
)

func (f *fakeRunner) startCount() int {
	f.mu.Lock()
	defer f.mu.Unlock()
	return len(f.starts)
}

// Guards against losing a stop that is applied before the start of its run (UNASKED): the run was started
// after that and ran on although its job was cancelled.
func TestSupervisor_StopBeforeStart(t *testing.T) {
	runTest(t, nil, func(h *harness) {
		h.reportRunner("i-1", 1)
		h.grantLease()
		run := job.Run{Task: job.Task{Job: "5c0e7a21d94b36f8"}, Number: 1}
		h.Stop(h.t.Context(), run)
		for range 2 {
			h.startRun(1)
			u := h.collectUpdates(withdrawnFor / 4)
			must.Len(t, 1, u.Refusals)
			test.Eq(t, RefusedStart{run, runner.RefusedLate}, u.Refusals[0])
			test.Len(t, 0, u.Active)
		}
		test.Zero(t, h.fake.startCount())
		h.grantLease()
		h.startRun(2)
		h.collectUpdates(time.Second)
		test.Eq(t, 1, h.fake.startCount(), test.Sprint("the next run of the task"))
	})
}

// Guards against a repeated order that starts a run which the leader counts as not started: its task may have
// been started elsewhere.
func TestSupervisor_StartRepeatedAfterRefusal(t *testing.T) {
	runTest(t, nil, func(h *harness) {
		h.reportRunner("i-1", 1)
		h.startRun(1)
		must.Len(t, 1, h.collectUpdates(time.Second).Refusals, must.Sprint("there is no lease"))
		h.grantLease()
		h.startRun(1)
		must.Len(t, 1, h.collectUpdates(time.Second).Refusals)
		test.Zero(t, h.fake.startCount())
	})
}

// Guards against a run that runs on because its start, a call of an earlier process, took effect after the stop
// had found no such run.
func TestSupervisor_WithdrawnRunIsListedLater(t *testing.T) {
	runTest(t, nil, func(h *harness) {
		h.reportRunner("i-1", 1)
		h.grantLease()
		run := job.Run{Task: job.Task{Job: "5c0e7a21d94b36f8"}, Number: 1}
		h.Stop(h.t.Context(), run)
		h.fake.mu.Lock()
		h.fake.active = append(h.fake.active, job.Activity{Run: run})
		h.fake.mu.Unlock()
		u := h.collectUpdates(time.Second)
		test.True(t, h.fake.stopped(run))
		must.Len(t, 1, u.Ends)
	})
}

// Guards against a start that is let through, or memory that grows without bound, once there are too many
// withdrawn runs.
func TestWithdrawnRuns_Full(t *testing.T) {
	w := newWithdrawnRuns()
	run := func(n int) job.Run { return job.Run{Task: job.Task{Index: n}, Number: 1} }
	for n := range 2 * maxWithdrawn {
		w.add(time.Second, run(n))
	}
	test.MapLen(t, maxWithdrawn, w.until)
	test.True(t, w.refuses(2*time.Second, run(2*maxWithdrawn-1)))
	later := time.Second + withdrawnFor
	test.False(t, w.refuses(later, run(0)))
	test.MapLen(t, 0, w.until)
	test.SliceLen(t, 0, w.order)
}
