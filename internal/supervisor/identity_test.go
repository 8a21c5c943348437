package supervisor

import (
	"context"
	"testing"
	"testing/synctest"
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

// runOn adopts a runner, which answers at the agent's runner address, and starts a run on it.
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

// Guards against an update that says that no runner answers and lacks the runs that may be alive: the
// leader takes its list of runs as complete, and started all of them elsewhere.
func TestSupervisor_ReportsOfUnreachableRunner(t *testing.T) {
	reports := map[string]func(*harness){
		"draining": func(h *harness) {
			must.NoError(t, h.report(job.Runner{ID: "i-1", Service: "desk", StartTime: 100, Sequence: 2, Draining: true}))
		},
		"capacity": func(h *harness) {
			must.NoError(t, h.report(job.Runner{ID: "i-1", Service: "desk", StartTime: 100, Sequence: 2, Capacity: job.Resources{CPU: 1000}}))
		},
		"departure": func(h *harness) { h.RunnerLeft("i-1", 100) },
	}
	for name, send := range reports {
		t.Run(name, func(t *testing.T) {
			runTest(t, nil, func(h *harness) {
				run := h.runOn("i-1")
				h.fake.setRenewErr(runner.ErrNoListener)
				h.collectUpdates(2 * noListenerTimeout)
				send(h)
				u, ok := h.TakeUpdate()
				must.True(t, ok)
				must.True(t, u.RunnerChanged)
				must.Nil(t, u.Runner)
				must.Len(t, 1, u.Active)
				test.Eq(t, run, u.Active[0].Run)
			})
		})
	}
}

// Guards against runs of a runner that stopped answering soon after a restart of the agent, before this
// process gave it a lease: they were never given up, so that their tasks never ran again.
func TestSupervisor_RunsOfEarlierProcessExpire(t *testing.T) {
	old := job.Run{Task: job.Task{Job: "5c0e7a21d94b36f8"}, Number: 7}
	runTest(t, func(f *fakeRunner) { f.active = []job.Activity{{Run: old}} }, func(h *harness) {
		h.reportRunner("i-1", 1)
		h.fake.setRenewErr(errNoAnswer)
		u := h.collectUpdates(testLease - time.Second)
		test.Len(t, 0, u.Refusals)
		u = h.collectUpdates(3 * time.Second)
		must.Len(t, 1, u.Refusals)
		test.Eq(t, old, u.Refusals[0].Run)
	})
}

// Guards against giving up the runs of an earlier process on this machine before the lease that it
// gave has expired: they ran twice when the runner was replaced soon after the agent's restart.
func TestSupervisor_SuccessorBeforeLeaseOfEarlierProcessEnds(t *testing.T) {
	old := job.Run{Task: job.Task{Job: "5c0e7a21d94b36f8"}, Number: 7}
	runTest(t, func(f *fakeRunner) {
		f.id, f.startTime, f.active = "i-1", 100, []job.Activity{{Run: old}}
	}, func(h *harness) {
		must.NoError(t, h.report(job.Runner{ID: "i-1", Service: "desk", StartTime: 100, Sequence: 5}))
		time.Sleep(50 * time.Millisecond)
		h.fake.mu.Lock()
		h.fake.id, h.fake.startTime, h.fake.active = "i-2", 200, nil
		h.fake.mu.Unlock()
		must.NoError(t, h.report(job.Runner{ID: "i-2", Service: "desk", StartTime: 200, Sequence: 1}))
		u := h.collectUpdates(testLease - time.Second)
		test.Len(t, 0, u.Refusals)
		u = h.collectUpdates(3 * time.Second)
		must.Len(t, 1, u.Refusals)
		test.Eq(t, old, u.Refusals[0].Run)
	})
}

// Guards against an update that lists a run as active beside its end: the leader took it for alive
// after the end, and its task never ran again.
func TestSupervisor_EndAfterPendingFullState(t *testing.T) {
	runTest(t, nil, func(h *harness) {
		run := h.runOn("i-1")
		h.fake.setRenewErr(runner.ErrNoListener)
		h.collectUpdates(2 * noListenerTimeout)
		h.fake.setRenewErr(nil)
		// No update is taken meanwhile, as while the connection to the leader is slow.
		time.Sleep(2 * failurePause)
		h.fake.end(run, job.EndFailed)
		time.Sleep(2 * failurePause)
		u, ok := h.TakeUpdate()
		must.True(t, ok)
		must.NotNil(t, u.Runner)
		must.Len(t, 1, u.Ends)
		test.Len(t, 0, u.Active)
	})
}

// Guards against stops of detached runs, which wait for the end of a lease, that keep starts on the next
// runner from being sent.
func TestSupervisor_StopsOfDetachedRunsDoNotDelayStarts(t *testing.T) {
	runTest(t, nil, func(h *harness) {
		h.runOn("i-1")
		runs := []job.Run{}
		for n := range int64(maxCalls) {
			runs = append(runs, h.startRun(n+2))
		}
		h.collectUpdates(100 * time.Millisecond)
		h.fake.mu.Lock()
		h.fake.id, h.fake.startTime, h.fake.active = "i-2", 200, nil
		h.fake.mu.Unlock()
		must.NoError(t, h.report(job.Runner{ID: "i-2", Service: "desk", StartTime: 200, Sequence: 1}))
		h.collectUpdates(100 * time.Millisecond)
		ctx, cancel := context.WithCancel(h.t.Context())
		defer cancel()
		for _, run := range runs {
			h.Stop(ctx, run)
		}
		time.Sleep(10 * time.Millisecond)
		next := h.startRun(maxCalls + 2)
		h.collectUpdates(500 * time.Millisecond)
		h.fake.mu.Lock()
		defer h.fake.mu.Unlock()
		test.SliceContains(t, h.fake.starts, next)
	})
}

// Guards against adopting the incarnation of a report without a start time, as of another writer, while
// the runner names its start time.
func TestSupervisor_ReportWithoutStartTime(t *testing.T) {
	runTest(t, nil, func(h *harness) {
		h.runOn("i-1")
		err := h.report(job.Runner{ID: "i-1", Service: "desk", Sequence: 9})
		test.ErrorIs(t, err, runner.ErrOtherIncarnation)
		snapshot, ok := h.Snapshot()
		must.True(t, ok)
		test.Eq(t, 100, snapshot.Runner.StartTime)
	})
}

// Guards against a late departure of an earlier incarnation under the same id that is remembered after the
// current one has reported again: its runs were given up when connections were refused for a while.
func TestSupervisor_ReportAfterDeparture(t *testing.T) {
	runTest(t, nil, func(h *harness) {
		h.runOn("i-1")
		h.RunnerLeft("i-1", 0)
		must.NoError(t, h.report(job.Runner{ID: "i-1", Service: "desk", StartTime: 100, Sequence: 2}))
		h.collectUpdates(100 * time.Millisecond)
		h.fake.setRenewErr(runner.ErrNoListener)
		u := h.collectUpdates(2 * time.Second)
		test.Len(t, 0, u.Refusals)
	})
}

// Guards against a snapshot without the runs of a runner that was replaced while the agent restarted:
// the process of that runner may live on until the lease of the earlier agent process ends.
func TestSupervisor_RunnerReplacedWhileAgentRestarts(t *testing.T) {
	runTest(t, nil, func(h *harness) {
		born := time.Now().Add(-time.Second).UnixMilli()
		h.fake.setRunner("i-2", born)
		must.NoError(t, h.report(job.Runner{ID: "i-2", Service: "desk", StartTime: born, Sequence: 1}))
		synctest.Wait()
		snapshot, ok := h.Snapshot()
		must.True(t, ok)
		test.GreaterEq(t, testLease, snapshot.UnlistedFor, test.Sprint("runs of the earlier runner may be alive"))
		time.Sleep(testLease + time.Second)
		snapshot, ok = h.Snapshot()
		must.True(t, ok)
		test.Zero(t, snapshot.UnlistedFor)
	})
}

// Guards against waiting for the runs of an earlier runner if the current one has served its address for
// longer than a lease.
func TestSupervisor_AgentRestartsBesideItsRunner(t *testing.T) {
	runTest(t, nil, func(h *harness) {
		born := time.Now().Add(-time.Minute).UnixMilli()
		h.fake.setRunner("i-1", born)
		must.NoError(t, h.report(job.Runner{ID: "i-1", Service: "desk", StartTime: born, Sequence: 9}))
		synctest.Wait()
		snapshot, ok := h.Snapshot()
		must.True(t, ok)
		test.Zero(t, snapshot.UnlistedFor)
	})
}

// Guards against an update that lists a run as active beside its refusal: the leader took it for alive, and
// its task never ran again.
func TestSupervisor_DroppedRunIsNotListed(t *testing.T) {
	runTest(t, nil, func(h *harness) {
		h.fake.setRunner("i-1", 100)
		must.NoError(t, h.report(job.Runner{ID: "i-1", Service: "desk", StartTime: 100, Sequence: 1}))
		time.Sleep(50 * time.Millisecond)
		h.TakeUpdate()
		h.grantLease()
		run := h.startRun(1)
		// No update is taken meanwhile, as while the connection to the leader is slow.
		time.Sleep(50 * time.Millisecond)
		h.fake.mu.Lock()
		h.fake.active = nil
		h.fake.mu.Unlock()
		time.Sleep((maxReportsNotListed + 1) * renewWait)
		u, _ := h.TakeUpdate()
		must.Len(t, 1, u.Refusals)
		test.Eq(t, run, u.Refusals[0].Run)
		test.Len(t, 0, u.Active)
	})
}

// Guards against a snapshot without the runs of a runner that has been adopted in place of another one and has
// not listed its runs yet: an earlier process of the agent may have started some there.
func TestSupervisor_SnapshotWaitsForListOfNextRunner(t *testing.T) {
	old := job.Run{Task: job.Task{Job: "5c0e7a21d94b36f8"}, Number: 7}
	runTest(t, nil, func(h *harness) {
		h.fake.setRunner("i-2", 200)
		must.NoError(t, h.report(job.Runner{ID: "i-2", Service: "desk", StartTime: 200, Sequence: 1}))
		synctest.Wait()
		h.fake.mu.Lock()
		h.fake.id, h.fake.startTime, h.fake.active = "i-1", 100, []job.Activity{{Run: old}}
		// Only calls that confirm a report are answered.
		h.fake.renewErr, h.fake.answeredToken = errNoAnswer, 1
		h.fake.mu.Unlock()
		must.NoError(t, h.report(job.Runner{ID: "i-1", Service: "desk", StartTime: 100, Sequence: 900}))
		_, ok := h.Snapshot()
		test.False(t, ok)
		h.fake.setRenewErr(nil)
		time.Sleep(time.Second)
		snapshot, ok := h.Snapshot()
		must.True(t, ok)
		must.Len(t, 1, snapshot.Active)
		test.Eq(t, old, snapshot.Active[0].Run)
	})
}

// Guards against taking a young runner for one that has served its address for longer than a lease, since the
// time of day was behind by maxSkew at its start and is ahead by as much now.
func TestSupervisor_ClockStepSinceStartOfRunner(t *testing.T) {
	const maxSkew = 5 * time.Second
	runTest(t, nil, func(h *harness) {
		born := time.Now().Add(-time.Second - 2*maxSkew).UnixMilli()
		h.fake.setRunner("i-2", born)
		must.NoError(t, h.report(job.Runner{ID: "i-2", Service: "desk", StartTime: born, Sequence: 1}))
		synctest.Wait()
		snapshot, ok := h.Snapshot()
		must.True(t, ok)
		test.Positive(t, snapshot.UnlistedFor)
	})
}

// Guards against taking a young runner for one that has served its address for longer than a lease, since the
// time of day was stepped ahead by more than its usual error after its start.
func TestSupervisor_TimeOfDaySteppedAheadSinceStartOfRunner(t *testing.T) {
	runTest(t, nil, func(h *harness) {
		born := time.Now().Add(-time.Hour).UnixMilli()
		h.fake.setRunner("i-2", born)
		h.fake.mu.Lock()
		h.fake.startedAt = time.Now().Add(-time.Second)
		h.fake.mu.Unlock()
		must.NoError(t, h.report(job.Runner{ID: "i-2", Service: "desk", StartTime: born, Sequence: 1}))
		synctest.Wait()
		snapshot, ok := h.Snapshot()
		must.True(t, ok)
		test.Positive(t, snapshot.UnlistedFor)
	})
}

// Guards against giving up a run whose start reached the runner's next life under the same id, at the end of the lease of
// the earlier life: the call's lease is a time on that one's clock, which the next life shortens to the longest lease only,
// and its tasks ran twice.
func TestSupervisor_LeaseOfLifeThatIsNotReportedYet(t *testing.T) {
	const granted = 2 * time.Second
	runTest(t, nil, func(h *harness) {
		h.fake.setRunner("i-1", 100)
		must.NoError(t, h.report(job.Runner{ID: "i-1", Service: "desk", StartTime: 100, Sequence: 1}))
		time.Sleep(2 * testLease) // the leases of earlier processes have expired
		h.GrantLease(h.opts.Now() + granted)
		h.fake.setRunner("i-1", 200)
		h.startRun(1)
		u := h.collectUpdates(testLease)
		test.SliceEmpty(t, u.Refusals)
		u = h.collectUpdates(testLease + time.Second)
		test.Len(t, 1, u.Refusals)
	})
}
