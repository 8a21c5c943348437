package supervisor

import (
	"testing"
	"time"

	"github.com/shoenig/test"
	"github.com/shoenig/test/must"

	"bamboowood/internal/job"
	"bamboowood/internal/runner"
)

// setRunner changes the incarnation that answers at the runner's address; its runs and ends stay.
func (f *fakeRunner) setRunner(id string, startTime int64) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.id, f.startTime = id, startTime
}

func (f *fakeRunner) setRenewErr(err error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.renewErr = err
}

func (f *fakeRunner) leaseEnd() time.Duration {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.lease
}

// runOn starts a run on runner i-1, which answers at the agent's runner address.
func (h *harness) runOn(id string) job.Run {
	h.fake.setRunner(id, 100)
	_ = h.report(job.Runner{ID: id, Service: "desk", Address: "10.2.0.88:8035", StartTime: 100, Sequence: 1})
	time.Sleep(50 * time.Millisecond)
	h.grantLease()
	run := h.startRun(1)
	h.collectUpdates(100 * time.Millisecond)
	return run
}

// Guards against taking the report of another VM's runner, whose agent did not acknowledge it, for
// one of the own runner's successor: live runs were reported as gone and ran twice, and their lease
// was never renewed again.
func TestSupervisor_ReportOfAnotherVMsRunner(t *testing.T) {
	runTest(t, nil, func(h *harness) {
		run := h.runOn("i-1")
		err := h.report(job.Runner{ID: "i-2", Service: "desk", Address: "10.2.0.182:8035", StartTime: 200, Sequence: 7})
		test.ErrorIs(t, err, runner.ErrOtherIncarnation, test.Sprint("the report is not acknowledged"))
		u := h.collectUpdates(time.Second)
		test.Len(t, 0, u.Refusals)
		snapshot, ok := h.Snapshot()
		must.True(t, ok)
		test.Eq(t, "i-1", snapshot.Runner.ID)
		must.Len(t, 1, snapshot.Active)
		test.Eq(t, run, snapshot.Active[0].Run)
		before := h.fake.leaseEnd()
		h.grantLease()
		time.Sleep(2 * renewWait)
		test.Greater(t, before, h.fake.leaseEnd(), test.Sprint("the lease of the own runner is renewed"))
	})
}

// Guards against an agent that adopts another VM's runner because its report is the first after the
// agent's restart.
func TestSupervisor_FirstReportOfAnotherVMsRunner(t *testing.T) {
	runTest(t, nil, func(h *harness) {
		h.fake.setRunner("i-1", 100)
		_ = h.report(job.Runner{ID: "i-2", Service: "desk", StartTime: 200, Sequence: 7})
		h.collectUpdates(100 * time.Millisecond)
		_, ok := h.Snapshot()
		test.False(t, ok, test.Sprint("the own runner has not listed its runs"))
		_ = h.report(job.Runner{ID: "i-1", Service: "desk", StartTime: 100, Sequence: 9})
		h.collectUpdates(100 * time.Millisecond)
		snapshot, ok := h.Snapshot()
		must.True(t, ok)
		test.Eq(t, "i-1", snapshot.Runner.ID)
	})
}

// Guards against taking a runner for dead because its address refuses connections for a while: its
// runs are alive until their lease ends, and were started elsewhere meanwhile.
func TestSupervisor_ConnectionsRefusedForAWhile(t *testing.T) {
	runTest(t, nil, func(h *harness) {
		run := h.runOn("i-1")
		h.fake.setRenewErr(runner.ErrNoListener)
		u := h.collectUpdates(2 * time.Second)
		test.Len(t, 0, u.Refusals)
		h.fake.setRenewErr(nil)
		h.grantLease()
		u = h.collectUpdates(time.Second)
		test.Len(t, 0, u.Refusals)
		snapshot, ok := h.Snapshot()
		must.True(t, ok)
		must.NotNil(t, snapshot.Runner)
		must.Len(t, 1, snapshot.Active)
		test.Eq(t, run, snapshot.Active[0].Run)
	})
}

// Guards against giving up the runs of a runner because another incarnation answers at its address:
// the process of the earlier one may live on until its lease ends.
func TestSupervisor_SuccessorBeforeLeaseEnds(t *testing.T) {
	runTest(t, nil, func(h *harness) {
		run := h.runOn("i-1")
		h.fake.setRunner("i-2", 200)
		h.fake.mu.Lock()
		h.fake.active = nil
		h.fake.mu.Unlock()
		_ = h.report(job.Runner{ID: "i-2", Service: "desk", StartTime: 200, Sequence: 1})
		u := h.collectUpdates(testLease - time.Second)
		test.Len(t, 0, u.Refusals)
		snapshot, ok := h.Snapshot()
		must.True(t, ok)
		test.Eq(t, "i-2", snapshot.Runner.ID)
		must.Len(t, 1, snapshot.Active)
		u = h.collectUpdates(2 * time.Second)
		must.Len(t, 1, u.Refusals)
		test.Eq(t, run, u.Refusals[0].Run)
	})
}

// Guards against giving up a run because another incarnation answers the call that stops it.
func TestSupervisor_StopAnsweredByAnotherIncarnation(t *testing.T) {
	runTest(t, nil, func(h *harness) {
		run := h.runOn("i-1")
		h.fake.setRunner("i-2", 200)
		h.Stop(h.t.Context(), run)
		u := h.collectUpdates(testLease - time.Second)
		test.Len(t, 0, u.Refusals)
		u = h.collectUpdates(2 * time.Second)
		must.Len(t, 1, u.Refusals)
	})
}

// Guards against giving up a run because its second start was refused: the first one, which got no
// answer, may still take effect.
func TestSupervisor_RefusedAfterUnansweredStart(t *testing.T) {
	runTest(t, func(f *fakeRunner) {
		f.onStart = func(runner.StartRequest) (runner.Refusal, error) {
			if len(f.starts) == 1 {
				return "", errNoAnswer
			}
			return runner.RefusedCapacity, nil
		}
	}, func(h *harness) {
		h.reportRunner("i-1", 1)
		h.grantLease()
		run := h.startRun(1)
		u := h.collectUpdates(2 * time.Second)
		must.Len(t, 1, u.Refusals)
		test.Eq(t, []job.Run{run}, h.fake.stops, test.Sprint("the run is refused only after a confirmed stop"))
	})
}
