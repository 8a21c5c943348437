package supervisor

import (
	"testing"
	"time"

	"github.com/shoenig/test"
	"github.com/shoenig/test/must"

	"bamboowood/internal/job"
)

// A new life has none of the runs, and reports of the old one change nothing.
func TestSupervisor_NewLife(t *testing.T) {
	run(t, nil, func(b *bench) {
		b.report("i-1", 1)
		b.permit()
		b.begin(1)
		b.collect(100 * time.Millisecond)
		b.fake.mu.Lock()
		b.fake.active, b.fake.ends, b.fake.acked = nil, nil, 0
		b.fake.mu.Unlock()
		b.TakeUpdate()
		b.report("i-2", 1)
		u, _ := b.TakeUpdate()
		test.Len(t, 1, u.Refusals, test.Sprint("the leader is told of each run that is lost"))
		b.report("i-1", 9)
		snapshot, ok := b.Snapshot()
		must.True(t, ok)
		test.Eq(t, "i-2", snapshot.Runner.ID)
		test.Len(t, 0, snapshot.Active)
	})
}

// A runner that begins a new life under the same id may take a start that was sent before
// its report of it: that run is alive, and only those that it does not list are gone. The
// leader hears nothing of the new life before that is known.
func TestSupervisor_StartReachesTheNextLife(t *testing.T) {
	run(t, nil, func(b *bench) {
		b.RunnerReported(job.Runner{ID: "i-1", Service: "desk", StartTime: 100, Sequence: 5})
		time.Sleep(50 * time.Millisecond)
		b.permit()
		b.begin(1)
		b.collect(100 * time.Millisecond)
		b.fake.mu.Lock()
		b.fake.active, b.fake.ends, b.fake.acked = nil, nil, 0
		b.fake.holdErr = errNoAnswer
		b.fake.mu.Unlock()
		second := b.begin(2)
		time.Sleep(time.Millisecond)
		b.TakeUpdate()
		b.RunnerReported(job.Runner{ID: "i-1", Service: "desk", StartTime: 200, Sequence: 1})
		time.Sleep(100 * time.Millisecond)
		_, any := b.TakeUpdate()
		must.False(t, any, must.Sprint("its runs are not known yet"))
		_, ok := b.Snapshot()
		must.False(t, ok)
		b.fake.mu.Lock()
		b.fake.holdErr = nil
		b.fake.mu.Unlock()
		time.Sleep(failurePause + time.Millisecond)
		u, _ := b.TakeUpdate()
		must.True(t, u.RunnerChanged)
		test.Eq(t, 200, u.Runner.StartTime)
		must.Len(t, 1, u.Active)
		test.Eq(t, second, u.Active[0].Run)
		must.Len(t, 1, u.Refusals)
		test.Eq(t, 1, u.Refusals[0].Run.Number)
	})
}

// An end is acknowledged once, and right after an answer of its life: a call that names an
// end of the life before would make the next one, under the same id, forget its own.
func TestSupervisor_EndAcknowledgedOnce(t *testing.T) {
	run(t, nil, func(b *bench) {
		b.report("i-1", 1)
		b.permit()
		first := b.begin(1)
		time.Sleep(10 * time.Millisecond)
		b.fake.end(first, job.EndDone)
		ended := b.collect(100 * time.Millisecond).Ends
		must.Len(t, 1, ended)
		b.EndsStored("i-1", 0, ended[0].Sequence)
		time.Sleep(2 * holdWait)
		must.Eq(t, ended[0].Sequence, b.fake.acknowledged())
		b.fake.mu.Lock()
		sent := b.fake.acknowledgements
		b.fake.mu.Unlock()
		test.Eq(t, []int64{ended[0].Sequence}, sent)

		// After calls without an answer the runner may be another one.
		second := b.begin(2)
		time.Sleep(10 * time.Millisecond)
		b.fake.end(second, job.EndDone)
		ended = b.collect(100 * time.Millisecond).Ends
		must.Len(t, 1, ended)
		b.fake.mu.Lock()
		b.fake.holdErr = errNoAnswer
		b.fake.mu.Unlock()
		time.Sleep(2 * failurePause)
		b.EndsStored("i-1", 0, ended[0].Sequence)
		time.Sleep(2 * failurePause)
		b.fake.mu.Lock()
		test.Eq(t, sent, b.fake.acknowledgements)
		b.fake.holdErr = nil
		b.fake.mu.Unlock()
		time.Sleep(2 * holdWait)
		test.Eq(t, ended[0].Sequence, b.fake.acknowledged())
	})
}
