package supervisor

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/shoenig/test"
	"github.com/shoenig/test/must"

	"bamboowood/internal/job"
	"bamboowood/internal/runner"
)

// reportNewRunner reports a runner that has just started.
func (h *harness) reportNewRunner() {
	born := time.Now().Add(-time.Second).UnixMilli()
	h.fake.setRunner("i-2", born)
	must.NoError(h.t, h.report(job.Runner{ID: "i-2", Service: "desk", StartTime: born, Sequence: 1}))
	synctest.Wait()
}

// Guards against waiting for runs of an earlier runner after a power loss, which has ended them: a new
// leader would start no recovered task for the length of a lease.
func TestSupervisor_FirstProcessOfABoot(t *testing.T) {
	runTest(t, nil, func(h *harness) {
		h.BootRegistered(FirstInBoot)
		h.reportNewRunner()
		snapshot, ok := h.Snapshot()
		must.True(t, ok)
		test.Zero(t, snapshot.UnlistedFor)
	})
}

// Guards against a snapshot that names runs as unlisted because the boot was not registered yet, and
// against waiting for that while the ledger is away.
func TestSupervisor_SnapshotAwaitsBootRegistration(t *testing.T) {
	runTest(t, nil, func(h *harness) {
		h.mu.Lock()
		h.bootRegistered = false
		h.mu.Unlock()
		h.reportNewRunner()
		_, ok := h.Snapshot()
		test.False(t, ok)
		time.Sleep(bootRegistrationWait)
		snapshot, ok := h.Snapshot()
		must.True(t, ok)
		test.Positive(t, snapshot.UnlistedFor)
	})
}

// Guards against a run that is started before the boot is registered: the next process of the agent would
// take itself for the first one of the boot, and the run for ended.
func TestSupervisor_NoStartBeforeBootRegistration(t *testing.T) {
	runTest(t, nil, func(h *harness) {
		h.mu.Lock()
		h.bootRegistered = false
		h.mu.Unlock()
		h.reportNewRunner()
		h.grantLease()
		run := h.startRun(1)
		u := h.collectUpdates(100 * time.Millisecond)
		must.Len(t, 1, u.Refusals)
		test.Eq(t, RefusedStart{Run: run, Reason: runner.RefusedUnhealthy}, u.Refusals[0])
		test.SliceEmpty(t, h.fake.starts)
		h.BootRegistered(LaterInBoot)
		h.startRun(2)
		synctest.Wait()
		h.collectUpdates(10 * time.Millisecond)
		h.fake.mu.Lock()
		defer h.fake.mu.Unlock()
		test.Len(t, 1, h.fake.starts)
	})
}

// Guards against a wait for the lease of an earlier process on a machine without a runner, where nothing can
// have been started since the boot, and against taking a runner that reports later for one without runs.
func TestSupervisor_FirstProcessWithoutRunner(t *testing.T) {
	runTest(t, nil, func(h *harness) {
		h.mu.Lock()
		h.bootRegistered = false
		h.mu.Unlock()
		_, ok := h.Snapshot()
		test.False(t, ok, test.Sprint("the boot is not registered"))
		h.BootRegistered(FirstInBoot)
		snapshot, ok := h.Snapshot()
		must.True(t, ok)
		test.Nil(t, snapshot.Runner)
		test.Zero(t, snapshot.UnlistedFor)
		h.fake.setRenewErr(errNoAnswer)
		h.mu.Lock()
		h.setIncarnation(&job.Runner{ID: "i-3", Service: "desk", StartTime: 1, Sequence: 1}, "")
		h.mu.Unlock()
		_, ok = h.Snapshot()
		test.False(t, ok, test.Sprint("the runner has not listed its runs"))
	})
}

// Guards against an empty snapshot of a new process whose VM is taken for booted by its clock alone, while its
// runner, which has not reported to this process yet, works on the runs of the process before.
func TestSupervisor_FirstByClockAwaitsReport(t *testing.T) {
	for name, reports := range map[string]bool{"runner reports": true, "no runner": false} {
		t.Run(name, func(t *testing.T) {
			runTest(t, nil, func(h *harness) {
				h.BootRegistered(FirstByClock)
				_, ok := h.Snapshot()
				test.False(t, ok, test.Sprint("the runner may be about to report"))
				if reports {
					time.Sleep(silentRunnerWait - time.Second)
					run := job.Run{Task: job.Task{Job: "a"}, Number: 1}
					h.fake.mu.Lock()
					h.fake.active = []job.Activity{{Run: run}}
					h.fake.mu.Unlock()
					h.reportNewRunner()
					snapshot, ok := h.Snapshot()
					must.True(t, ok)
					test.Zero(t, snapshot.UnlistedFor)
					must.Len(t, 1, snapshot.Active)
					test.Eq(t, run, snapshot.Active[0].Run)
					return
				}
				time.Sleep(silentRunnerWait)
				snapshot, ok := h.Snapshot()
				must.True(t, ok, must.Sprint("before the lease of an earlier process has expired"))
				test.Nil(t, snapshot.Runner)
				test.Zero(t, snapshot.UnlistedFor)
			})
		})
	}
}

// Guards against a snapshot without a runner that is sent at once although an earlier process in this boot
// may have started runs, also if the registration of the boot comes late.
func TestSupervisor_LaterProcessWithoutRunnerWaits(t *testing.T) {
	runTest(t, nil, func(h *harness) {
		h.BootRegistered(LaterInBoot)
		_, ok := h.Snapshot()
		test.False(t, ok)
		time.Sleep(bootRegistrationWait)
		_, ok = h.Snapshot()
		test.False(t, ok)
		time.Sleep(h.opts.MaxLease)
		_, ok = h.Snapshot()
		test.True(t, ok)
	})
}

// Guards against a wait of two leases, begun by a restart of the runner, that goes on after the runner has
// announced its end and ended.
func TestSupervisor_RestartedRunnerLeaves(t *testing.T) {
	runTest(t, nil, func(h *harness) {
		h.runOn("i-1")
		h.fake.setRenewErr(runner.ErrNoListener)
		h.mu.Lock()
		h.setIncarnation(&job.Runner{ID: "i-1", Service: "desk", StartTime: 200, Sequence: 1}, "")
		h.mu.Unlock()
		h.RunnerLeft("i-1", 200)
		time.Sleep(2 * noListenerTimeout)
		time.Sleep(h.opts.MaxLease)
		snapshot, ok := h.Snapshot()
		must.True(t, ok)
		test.Nil(t, snapshot.Runner)
	})
}
