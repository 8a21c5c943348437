package supervisor

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/shoenig/test"
	"github.com/shoenig/test/must"

	"bamboowood/internal/job"
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
