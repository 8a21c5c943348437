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

// restart makes the next incarnation of the runner answer under the same id.
func (f *fakeRunner) restart(startTime int64) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.startTime, f.startedAt = startTime, time.Now()
	f.active, f.ends, f.acknowledgedEnd, f.lease = nil, nil, 0, 0
}

// Guards against an acknowledgement for a runner's earlier incarnation that waits in the next one and deletes its first
// ends as they come: tasks that were done there were started again (soak seeds 113, 216 and 502).
func TestSupervisor_AcknowledgementWaitsInNextIncarnation(t *testing.T) {
	runTest(t, func(f *fakeRunner) { f.startTime = 100 }, func(h *harness) {
		must.NoError(t, h.report(job.Runner{ID: "i-1", Service: "desk", StartTime: 100, Sequence: 5}))
		time.Sleep(50 * time.Millisecond)
		h.grantLease()
		first := h.startRun(1)
		time.Sleep(10 * time.Millisecond)
		h.fake.end(first, job.EndDone)
		ended := h.collectUpdates(4*unstoredEndsInterval + unstoredEndsInterval/2).Ends
		must.Len(t, 1, ended)

		h.fake.restart(200)
		second := h.startRun(2)
		synctest.Wait()
		h.EndsStored("i-1", 100, ended[0].Sequence)
		time.Sleep(5 * time.Millisecond)
		h.fake.mu.Lock()
		sent := h.fake.acknowledgements
		h.fake.mu.Unlock()
		must.Eq(t, []int64{ended[0].Sequence}, sent)
		h.fake.end(second, job.EndDone)
		time.Sleep(5 * time.Millisecond)
		must.NoError(t, h.report(job.Runner{ID: "i-1", Service: "desk", StartTime: 200, Sequence: 1}))
		u := h.collectUpdates(time.Second)
		test.Len(t, 0, u.Refusals, test.Sprint("the second run is done"))
		must.Len(t, 1, u.Ends)
		test.Eq(t, second, u.Ends[0].Run)
	})
}

// Guards against an acknowledgement for a runner's earlier incarnation that deletes an end which the next one has listed
// before it comes: the task, which is done, was started again.
func TestSupervisor_AcknowledgementNamesIncarnation(t *testing.T) {
	runTest(t, func(f *fakeRunner) { f.startTime, f.bound = 100, true }, func(h *harness) {
		must.NoError(t, h.report(job.Runner{ID: "i-1", Service: "desk", StartTime: 100, Sequence: 5}))
		time.Sleep(50 * time.Millisecond)
		h.grantLease()
		first := h.startRun(1)
		time.Sleep(10 * time.Millisecond)
		h.fake.end(first, job.EndDone)
		ended := h.collectUpdates(4*unstoredEndsInterval + unstoredEndsInterval/2).Ends
		must.Len(t, 1, ended)

		h.fake.restart(200)
		second := job.Run{Task: first.Task, Number: 2}
		h.fake.mu.Lock()
		h.fake.active = []job.Activity{{Run: second}}
		h.fake.endLocked(second, job.EndDone)
		h.fake.mu.Unlock()
		h.EndsStored("i-1", 100, ended[0].Sequence)
		time.Sleep(5 * time.Millisecond)
		must.NoError(t, h.report(job.Runner{ID: "i-1", Service: "desk", StartTime: 200, Sequence: 1}))
		u := h.collectUpdates(time.Second)
		must.Len(t, 1, u.Ends)
		test.Eq(t, second, u.Ends[0].Run)
	})
}

// Guards against a start that finds its runner restarted under its id and counts against the runner, and, if an earlier
// attempt got no answer, against a task that waits for the end of a lease although the next incarnation lists no run.
func TestSupervisor_StartFindsRunnerRestarted(t *testing.T) {
	for name, unanswered := range map[string]int{"first attempt": 0, "second attempt": 1} {
		t.Run(name, func(t *testing.T) {
			runTest(t, func(f *fakeRunner) {
				f.startTime, f.bound = 100, true
				f.onStart = func(runner.StartRequest) (runner.Refusal, error) {
					f.startTime, f.active = 200, nil
					return "", errNoAnswer
				}
			}, func(h *harness) {
				must.NoError(t, h.report(job.Runner{ID: "i-1", Service: "desk", StartTime: 100, Sequence: 5}))
				time.Sleep(50*time.Millisecond + 500*time.Microsecond) // between two polls of the waiting renewal
				h.grantLease()
				if unanswered == 0 {
					h.fake.restart(200)
				}
				run := h.startRun(1)
				u := h.collectUpdates(50 * time.Millisecond)
				test.Len(t, 1-unanswered, u.Refusals)
				must.NoError(t, h.report(job.Runner{ID: "i-1", Service: "desk", StartTime: 200, Sequence: 1}))
				u.Refusals = append(u.Refusals, h.collectUpdates(time.Second).Refusals...)
				must.Len(t, 1, u.Refusals)
				test.Eq(t, run, u.Refusals[0].Run)
				if unanswered == 0 {
					test.Eq(t, runner.RefusedLate, u.Refusals[0].Reason)
				}
				test.Len(t, unanswered, h.fake.starts)
			})
		})
	}
}

// Guards against a stop that finds its runner restarted under its id and leaves the run to the end of a lease: the restart
// has ended it.
func TestSupervisor_StopFindsRunnerRestarted(t *testing.T) {
	runTest(t, func(f *fakeRunner) { f.startTime, f.bound = 100, true }, func(h *harness) {
		must.NoError(t, h.report(job.Runner{ID: "i-1", Service: "desk", StartTime: 100, Sequence: 5}))
		time.Sleep(50 * time.Millisecond)
		h.grantLease()
		run := h.startRun(1)
		time.Sleep(10 * time.Millisecond)
		h.fake.restart(200)
		h.Stop(h.t.Context(), run)
		time.Sleep(50 * time.Millisecond)
		must.NoError(t, h.report(job.Runner{ID: "i-1", Service: "desk", StartTime: 200, Sequence: 1}))
		u := h.collectUpdates(time.Second)
		must.Len(t, 1, u.Refusals)
		test.Eq(t, run, u.Refusals[0].Run)
	})
}
