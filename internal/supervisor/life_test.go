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

// After the runner has left and is replaced, its runs are reported as refused, and delayed reports
// of the previous incarnation are ignored.
func TestSupervisor_NewIncarnation(t *testing.T) {
	runTest(t, nil, func(h *harness) {
		h.reportRunner("i-1", 1)
		h.grantLease()
		h.startRun(1)
		h.collectUpdates(100 * time.Millisecond)
		h.fake.mu.Lock()
		h.fake.id = "i-2"
		h.fake.active, h.fake.ends, h.fake.acknowledgedEnd = nil, nil, 0
		h.fake.mu.Unlock()
		h.TakeUpdate()
		must.NoError(t, h.report(job.Runner{ID: "i-1", Service: "desk", Sequence: 2, Draining: true}))
		h.RunnerLeft("i-1", 0)
		h.reportRunner("i-2", 1)
		u, _ := h.TakeUpdate()
		test.Len(t, 1, u.Refusals, test.Sprint("each lost run is reported to the leader"))
		h.reportRunner("i-1", 9)
		snapshot, ok := h.Snapshot()
		must.True(t, ok)
		test.Eq(t, "i-2", snapshot.Runner.ID)
		test.Len(t, 0, snapshot.Active)
	})
}

// A runner that restarts under the same id may carry out a start that was sent before its
// restart was reported. That run is alive, and only the runs that the new incarnation does not
// list are dropped. No update reports the restart before the first list has arrived.
func TestSupervisor_StartReachesNextIncarnation(t *testing.T) {
	runTest(t, func(f *fakeRunner) { f.startTime = 100 }, func(h *harness) {
		must.NoError(t, h.report(job.Runner{ID: "i-1", Service: "desk", StartTime: 100, Sequence: 5}))
		time.Sleep(50 * time.Millisecond)
		h.grantLease()
		h.startRun(1)
		h.collectUpdates(100 * time.Millisecond)
		h.fake.mu.Lock()
		h.fake.active, h.fake.ends, h.fake.acknowledgedEnd = nil, nil, 0
		h.fake.mu.Unlock()
		second := h.startRun(2)
		synctest.Wait()
		h.fake.setRenewErr(errNoAnswer)
		time.Sleep(time.Millisecond)
		h.TakeUpdate()
		h.fake.mu.Lock()
		h.fake.startTime, h.fake.answeredToken = 200, 1
		h.fake.mu.Unlock()
		must.NoError(t, h.report(job.Runner{ID: "i-1", Service: "desk", StartTime: 200, Sequence: 1}))
		time.Sleep(100 * time.Millisecond)
		_, any := h.TakeUpdate()
		must.False(t, any, must.Sprint("the new incarnation has not listed its runs"))
		_, ok := h.Snapshot()
		must.False(t, ok)
		h.fake.mu.Lock()
		h.fake.renewErr = nil
		h.fake.mu.Unlock()
		time.Sleep(failurePause + time.Millisecond)
		u, _ := h.TakeUpdate()
		must.True(t, u.RunnerChanged)
		test.Eq(t, 200, u.Runner.StartTime)
		must.Len(t, 1, u.Active)
		test.Eq(t, second, u.Active[0].Run)
		must.Len(t, 1, u.Refusals)
		test.Eq(t, 1, u.Refusals[0].Run.Number)
	})
}

// An end is acknowledged once, right after an answer of its incarnation. A later
// acknowledgement may reach the next incarnation under the same id, which would then delete
// an end of its own.
func TestSupervisor_EndAcknowledgedOnce(t *testing.T) {
	runTest(t, nil, func(h *harness) {
		h.reportRunner("i-1", 1)
		h.grantLease()
		first := h.startRun(1)
		time.Sleep(10 * time.Millisecond)
		h.fake.end(first, job.EndDone)
		ended := h.collectUpdates(100 * time.Millisecond).Ends
		must.Len(t, 1, ended)
		h.EndsStored("i-1", 0, ended[0].Sequence)
		time.Sleep(2 * renewWait)
		must.Eq(t, ended[0].Sequence, h.fake.acknowledged())
		h.fake.mu.Lock()
		sent := h.fake.acknowledgements
		h.fake.mu.Unlock()
		test.Eq(t, []int64{ended[0].Sequence}, sent)

		// After calls without an answer, another incarnation may be running.
		second := h.startRun(2)
		time.Sleep(10 * time.Millisecond)
		h.fake.end(second, job.EndDone)
		ended = h.collectUpdates(100 * time.Millisecond).Ends
		must.Len(t, 1, ended)
		h.fake.mu.Lock()
		h.fake.renewErr = errNoAnswer
		h.fake.mu.Unlock()
		time.Sleep(2 * failurePause)
		h.EndsStored("i-1", 0, ended[0].Sequence)
		time.Sleep(2 * failurePause)
		h.fake.mu.Lock()
		test.Eq(t, sent, h.fake.acknowledgements)
		h.fake.renewErr = nil
		h.fake.mu.Unlock()
		time.Sleep(2 * renewWait)
		test.Eq(t, ended[0].Sequence, h.fake.acknowledged())
	})
}

// A call breaks off because the runner restarts under its id, just after an end was received. An
// acknowledgement of that end must not reach the next incarnation, which would delete an end of its
// own: the task would run again although it is done.
func TestSupervisor_NoAcknowledgementAfterFailedRenewal(t *testing.T) {
	runTest(t, nil, func(h *harness) {
		h.reportRunner("i-1", 1)
		h.grantLease()
		run := h.startRun(1)
		time.Sleep(10 * time.Millisecond)
		h.fake.end(run, job.EndDone)
		ended := h.collectUpdates(100 * time.Millisecond).Ends
		must.Len(t, 1, ended)
		h.fake.mu.Lock()
		h.fake.renewErr = errNoAnswer
		h.fake.mu.Unlock()
		time.Sleep(unstoredEndsInterval + time.Millisecond)
		h.EndsStored("i-1", 0, ended[0].Sequence)
		time.Sleep(time.Millisecond)
		h.fake.mu.Lock()
		test.Len(t, 0, h.fake.acknowledgements)
		h.fake.renewErr = nil
		h.fake.mu.Unlock()
		time.Sleep(2 * renewWait)
		test.Eq(t, ended[0].Sequence, h.fake.acknowledged())
	})
}

// Guards against runs of an unresponsive runner that were never given up while the leader went on
// granting leases, and against a lease on an earlier incarnation's clock: that incarnation's
// successor would keep its runs for longer than the leader waits.
func TestSupervisor_NoLeaseBeforeTheNextAnswer(t *testing.T) {
	runTest(t, nil, func(h *harness) {
		run := h.runOn("i-1")
		h.fake.setRenewErr(errNoAnswer)
		time.Sleep(failurePause)
		h.fake.mu.Lock()
		h.fake.leaseEnds = nil
		h.fake.mu.Unlock()
		refusals := h.refusalsWhileLeased(2 * testLease)
		must.Len(t, 1, refusals)
		test.Eq(t, run, refusals[0].Run)
		h.fake.mu.Lock()
		for _, end := range h.fake.leaseEnds {
			test.Zero(t, end)
		}
		h.fake.mu.Unlock()
		h.fake.setRenewErr(nil)
		h.grantLease()
		before := h.fake.leaseEnd()
		time.Sleep(2 * renewWait)
		test.Greater(t, before, h.fake.leaseEnd())
	})
}

// Guards against a lease given to an incarnation of which no report has arrived, and against
// runs that are kept for ever because its answers are neither lists nor failures.
func TestSupervisor_AnswersOfUnreportedIncarnation(t *testing.T) {
	runTest(t, nil, func(h *harness) {
		run := h.runOn("i-1")
		h.fake.mu.Lock()
		h.fake.startTime, h.fake.active, h.fake.leaseEnds = 200, nil, nil
		h.fake.mu.Unlock()
		refusals := h.refusalsWhileLeased(2 * testLease)
		must.Len(t, 1, refusals)
		test.Eq(t, run, refusals[0].Run)
		h.fake.mu.Lock()
		defer h.fake.mu.Unlock()
		for _, end := range h.fake.leaseEnds[1:] {
			test.Zero(t, end, test.Sprint("the first call after the restart may name the earlier clock"))
		}
	})
}

// Guards against a lease that outlasts its grant because the runner's clock stood still while the
// machine was suspended.
func TestSupervisor_LeaseAfterSuspension(t *testing.T) {
	runTest(t, nil, func(h *harness) {
		h.runOn("i-1")
		h.suspended.Store(int64(4 * time.Second))
		h.grantLease()
		limit := h.fake.clock() + testLease
		h.startRun(2)
		time.Sleep(2 * renewWait)
		test.LessEq(t, limit, h.fake.leaseEnd())
	})
}

// Guards against renewals without a pause while the runner holds an end that cannot be read, and
// against a checkpoint that is lost because one report of it cannot be read.
func TestSupervisor_MalformedEntries(t *testing.T) {
	runTest(t, nil, func(h *harness) {
		h.runOn("i-1")
		h.fake.mu.Lock()
		h.fake.active[0].Checkpoint = "c1"
		h.fake.mu.Unlock()
		h.collectUpdates(time.Second)
		h.fake.mu.Lock()
		h.fake.active[0].Checkpoint, h.fake.active[0].CheckpointUnknown = "", true
		h.fake.unreadable, h.fake.leaseEnds = 1, nil
		h.fake.mu.Unlock()
		h.collectUpdates(time.Second)
		h.fake.mu.Lock()
		test.LessEq(t, 15, len(h.fake.leaseEnds))
		h.fake.mu.Unlock()
		snapshot, ok := h.Snapshot()
		must.True(t, ok)
		must.Len(t, 1, snapshot.Active)
		test.Eq(t, "c1", snapshot.Active[0].Checkpoint)
	})
}

// Guards against a leader that does not learn for up to two leases that a runner has restarted and
// stopped answering, and goes on to order starts there, of whose refusal it does not learn either.
func TestSupervisor_RestartedRunnerStopsAnswering(t *testing.T) {
	for name, failure := range map[string]error{"refused": runner.ErrNoListener, "silent": errNoAnswer} {
		t.Run(name, func(t *testing.T) {
			runTest(t, nil, func(h *harness) {
				run := h.runOn("i-1")
				h.fake.mu.Lock()
				h.fake.renewErr, h.fake.answeredToken = failure, 1
				h.fake.startTime, h.fake.active = 200, nil
				h.fake.mu.Unlock()
				must.NoError(t, h.report(job.Runner{ID: "i-1", Service: "desk", StartTime: 200, Sequence: 1}))
				time.Sleep(2 * noListenerTimeout)
				next := h.startRun(2)
				time.Sleep(100 * time.Millisecond)
				u, ok := h.TakeUpdate()
				must.True(t, ok)
				must.Len(t, 1, u.Refusals)
				test.Eq(t, next, u.Refusals[0].Run)
				if name == "refused" {
					must.True(t, u.RunnerChanged)
					must.Nil(t, u.Runner)
					must.Len(t, 1, u.Active)
					test.Eq(t, run, u.Active[0].Run)
				}
			})
		})
	}
}

// Guards against an agent that outlasts its grace period: throttle calls to a runner that does not
// answer must not end one after another once the agent stops.
func TestSupervisor_StopsDuringThrottleCalls(t *testing.T) {
	const runs = 10 * maxCalls
	runTest(t, func(f *fakeRunner) { f.throttleSilent = true }, func(h *harness) {
		h.reportRunner("i-1", 1)
		h.grantLease()
		for n := range runs {
			h.startRun(int64(n + 1))
		}
		synctest.Wait()
		for n := range runs {
			h.Throttle(job.Run{Task: job.Task{Job: "5c0e7a21d94b36f8"}, Number: int64(n + 1)}, 50)
		}
		synctest.Wait()
		must.Len(t, maxCalls, h.fake.speeds)
		began := time.Now()
		h.stop()
		test.LessEq(t, orderTimeout, time.Since(began))
	})
}
