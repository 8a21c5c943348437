package supervisor

import (
	"slices"
	"testing"
	"time"

	"github.com/shoenig/test"
	"github.com/shoenig/test/must"

	"bamboowood/internal/job"
)

// hide removes a run from the list of active runs, in which an entry cannot be read instead.
func (f *fakeRunner) hide(run job.Run) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.active = slices.DeleteFunc(f.active, func(a job.Activity) bool { return a.Run == run })
	f.unreadable = 1
}

func (f *fakeRunner) stopped(run job.Run) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return slices.Contains(f.stops, run)
}

// Guards against giving up a live run because the entry of the runner's list that names it cannot be
// read: its task ran a second time. The run is stopped first.
func TestSupervisor_UnreadableEntryMayBeTheRun(t *testing.T) {
	runTest(t, nil, func(h *harness) {
		run := h.runOn("i-1")
		h.fake.hide(run)
		test.SliceEmpty(t, h.refusalsWhileLeased(time.Second))
		must.True(t, h.fake.stopped(run))
		// The runner lists the end of the run that it has stopped.
		h.fake.mu.Lock()
		h.fake.ends = append(h.fake.ends, job.End{Sequence: 1, Run: run, Reason: job.EndStopped})
		h.fake.mu.Unlock()
		u := h.collectUpdates(time.Second)
		test.SliceEmpty(t, u.Refusals)
		must.Len(t, 1, u.Ends)
		test.Eq(t, run, u.Ends[0].Run)
	})
}

// Guards against a run that is never given up because a runner's list has an entry that cannot be read.
func TestSupervisor_VanishedRunBesideUnreadableEntry(t *testing.T) {
	runTest(t, nil, func(h *harness) {
		run := h.runOn("i-1")
		h.fake.hide(run)
		refusals := h.refusalsWhileLeased(4 * time.Second)
		must.Len(t, 1, refusals)
		test.Eq(t, run, refusals[0].Run)
		test.True(t, h.fake.stopped(run))
		next := h.startRun(2)
		u := h.collectUpdates(time.Second)
		test.SliceEmpty(t, u.Refusals)
		must.SliceNotEmpty(t, u.Active)
		test.Eq(t, next, u.Active[0].Run)
	})
}
