package supervisor

import (
	"testing"
	"time"

	"github.com/shoenig/test"
	"github.com/shoenig/test/must"

	"bamboowood/internal/job"
	"bamboowood/internal/runner"
)

// Guards against an end that is acknowledged, and thereby deleted by the runner, before the
// ledger has stored it.
func TestSupervisor_RunsTaskAndKeepsEndUntilStored(t *testing.T) {
	runTest(t, nil, func(h *harness) {
		h.reportRunner("i-1", 1)
		h.grantLease()
		r := h.startRun(1)
		u := h.collectUpdates(100 * time.Millisecond)
		must.SliceNotEmpty(t, u.Active)
		h.fake.end(r, job.EndDone)
		u = h.collectUpdates(time.Second)
		must.Len(t, 1, u.Ends)
		snapshot, ok := h.Snapshot()
		must.True(t, ok)
		test.Len(t, 1, snapshot.Ends)
		test.Eq(t, 0, h.fake.acknowledged())
		h.EndsStored("i-1", 0, 1)
		h.collectUpdates(200 * time.Millisecond)
		test.Eq(t, 1, h.fake.acknowledged())
	})
}

// Guards against dropping a run whose end the runner keeps back, since its list of ends that the ledger has
// not stored yet is full: the run was started again after it had ended as done.
func TestSupervisor_EndBeyondFullList(t *testing.T) {
	runTest(t, func(f *fakeRunner) { f.maxEnds = 2 }, func(h *harness) {
		h.reportRunner("i-1", 1)
		h.grantLease()
		for n := range int64(3) {
			run := h.startRun(n + 1)
			h.collectUpdates(50 * time.Millisecond)
			h.fake.end(run, job.EndDone)
		}
		u := h.collectUpdates(time.Second)
		test.Len(t, 0, u.Refusals)
		snapshot, ok := h.Snapshot()
		must.True(t, ok)
		test.Len(t, 2, snapshot.Ends)
		test.Len(t, 1, snapshot.Active)
		h.EndsStored("i-1", 0, 2)
		u = h.collectUpdates(time.Second)
		test.Len(t, 0, u.Refusals)
		must.Len(t, 1, u.Ends)
		test.Eq(t, 3, u.Ends[0].Run.Number)
	})
}

// The answer to a start is lost after the runner has started the run. A second attempt must
// confirm the run, which must not be stopped or reported as refused.
func TestSupervisor_LostAnswerOfStart(t *testing.T) {
	runTest(t, func(f *fakeRunner) {
		f.onStart = func(o runner.StartRequest) (runner.Refusal, error) {
			if len(f.starts) == 1 {
				f.active = append(f.active, job.Activity{Run: o.Run})
				return "", errNoAnswer
			}
			return "", nil
		}
	}, func(h *harness) {
		h.reportRunner("i-1", 1)
		h.grantLease()
		h.startRun(1)
		u := h.collectUpdates(time.Second)
		test.Len(t, 0, u.Refusals)
		test.SliceNotEmpty(t, u.Active)
		test.Len(t, 0, h.fake.stops)
	})
}

// A start without an answer may still take effect later. The run counts as refused only after
// a stop is confirmed.
func TestSupervisor_StartWithoutAnswerIsStopped(t *testing.T) {
	runTest(t, func(f *fakeRunner) {
		f.onStart = func(runner.StartRequest) (runner.Refusal, error) { return "", errNoAnswer }
	}, func(h *harness) {
		h.reportRunner("i-1", 1)
		h.grantLease()
		r := h.startRun(1)
		u := h.collectUpdates(2 * time.Second)
		must.Len(t, 1, u.Refusals)
		test.Eq(t, r, u.Refusals[0].Run)
		test.Eq(t, []job.Run{r}, h.fake.stops)
	})
}

// A run that has ended before its start was confirmed must not be reported as refused, as its
// end is reported.
func TestSupervisor_EndedBeforeConfirmed(t *testing.T) {
	runTest(t, func(f *fakeRunner) {
		f.onStart = func(o runner.StartRequest) (runner.Refusal, error) {
			if len(f.starts) == 1 {
				f.active = append(f.active, job.Activity{Run: o.Run})
				f.endLocked(o.Run, job.EndDone)
				return "", errNoAnswer
			}
			return runner.RefusedStale, nil
		}
	}, func(h *harness) {
		h.reportRunner("i-1", 1)
		h.grantLease()
		h.startRun(1)
		u := h.collectUpdates(time.Second)
		test.Len(t, 0, u.Refusals)
		test.Len(t, 1, u.Ends)
	})
}

// After a restart of the agent there is no snapshot before the runner has listed its runs.
func TestSupervisor_SnapshotWaitsForFirstList(t *testing.T) {
	old := job.Run{Task: job.Task{Job: "5c0e7a21d94b36f8"}, Number: 7}
	runTest(t, func(f *fakeRunner) { f.active = []job.Activity{{Run: old}} }, func(h *harness) {
		_, ok := h.Snapshot()
		must.False(t, ok)
		h.reportRunner("i-1", 1)
		snapshot, ok := h.Snapshot()
		must.True(t, ok)
		must.Len(t, 1, snapshot.Active)
		test.Eq(t, old, snapshot.Active[0].Run)
	})
}

// Without a runner there is no snapshot before the leases of an earlier process have expired.
func TestSupervisor_SnapshotWithoutRunner(t *testing.T) {
	runTest(t, nil, func(h *harness) {
		time.Sleep(testLease)
		_, ok := h.Snapshot()
		test.False(t, ok)
		time.Sleep(time.Second)
		_, ok = h.Snapshot()
		test.True(t, ok)
	})
}

// Without a lease a start is refused and not sent to the runner.
func TestSupervisor_NoLease(t *testing.T) {
	runTest(t, nil, func(h *harness) {
		h.reportRunner("i-1", 1)
		h.startRun(1)
		u := h.collectUpdates(time.Second)
		must.Len(t, 1, u.Refusals)
		test.Eq(t, runner.RefusedLate, u.Refusals[0].Reason)
		test.Len(t, 0, h.fake.starts)
	})
}

// The lease on the runner's clock ends before the granted lease, even if that clock is 2% slow.
func TestSupervisor_LeaseOnSlowClock(t *testing.T) {
	runTest(t, nil, func(h *harness) {
		h.reportRunner("i-1", 1)
		before := h.fake.clock()
		h.grantLease()
		h.collectUpdates(time.Second)
		h.fake.mu.Lock()
		defer h.fake.mu.Unlock()
		test.Greater(t, before+testLease*9/10, h.fake.lease)
		test.LessEq(t, before+testLease*98/100, h.fake.lease)
	})
}

// Runs of an unresponsive runner are dropped after its lease has expired, not before.
func TestSupervisor_UnresponsiveRunner(t *testing.T) {
	runTest(t, nil, func(h *harness) {
		h.reportRunner("i-1", 1)
		h.grantLease()
		r := h.startRun(1)
		h.collectUpdates(100 * time.Millisecond)
		h.fake.mu.Lock()
		h.fake.renewErr = errNoAnswer
		h.fake.mu.Unlock()
		u := h.collectUpdates(testLease - time.Second)
		test.Len(t, 0, u.Refusals)
		u = h.collectUpdates(2 * time.Second)
		must.Len(t, 1, u.Refusals)
		test.Eq(t, r, u.Refusals[0].Run)
	})
}

// A restarted agent whose clock is behind that of the earlier process has a lower fencing
// token than the runner. The supervisor raises the token and starts the run.
func TestSupervisor_HigherTokenAtRunner(t *testing.T) {
	refused := true
	runTest(t, func(f *fakeRunner) {
		f.onStart = func(o runner.StartRequest) (runner.Refusal, error) {
			if refused {
				refused = false
				return runner.RefusedFence, nil
			}
			f.active = append(f.active, job.Activity{Run: o.Run})
			return "", nil
		}
	}, func(h *harness) {
		h.reportRunner("i-1", 1)
		h.grantLease()
		h.startRun(1)
		u := h.collectUpdates(time.Second)
		test.Len(t, 0, u.Refusals)
		must.Len(t, 2, h.fake.tokens)
		test.Greater(t, h.fake.tokens[0], h.fake.tokens[1])
	})
}

// A start on a draining runner is refused and not sent.
func TestSupervisor_DrainingRunner(t *testing.T) {
	runTest(t, nil, func(h *harness) {
		h.reportRunner("i-1", 1)
		h.grantLease()
		must.NoError(t, h.report(job.Runner{ID: "i-1", Service: "desk", Sequence: 2, Draining: true}))
		h.startRun(1)
		u := h.collectUpdates(time.Second)
		test.Len(t, 1, u.Refusals)
		test.Len(t, 0, h.fake.starts)
	})
}

// A restarted agent has no record of earlier incarnations of the runner. A delayed report of
// an earlier one must not displace the current one, whether it arrives before or after the
// first report of the current one.
func TestSupervisor_DelayedReportAfterRestart(t *testing.T) {
	earlier := job.Runner{ID: "i-1", Service: "desk", StartTime: 100, Sequence: 900}
	current := job.Runner{ID: "i-1", Service: "desk", StartTime: 200, Sequence: 2, Draining: true}
	check := func(reports []job.Runner, answered int64) {
		runTest(t, func(f *fakeRunner) { f.startTime = answered }, func(h *harness) {
			for _, r := range reports {
				_ = h.report(r)
				time.Sleep(50 * time.Millisecond)
			}
			snapshot, ok := h.Snapshot()
			must.True(t, ok)
			test.Eq(t, current.StartTime, snapshot.Runner.StartTime)
			h.grantLease()
			h.startRun(1)
			u := h.collectUpdates(time.Second)
			test.Len(t, 1, u.Refusals)
			test.Len(t, 0, h.fake.starts)
		})
	}
	for _, reports := range [][]job.Runner{{earlier, current}, {current, earlier}, {earlier, current, earlier}} {
		check(reports, 0)
		check(reports, current.StartTime)
	}
}
