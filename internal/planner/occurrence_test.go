package planner

import (
	"testing"
	"time"

	"github.com/shoenig/test"
	"github.com/shoenig/test/must"

	"bamboowood/internal/job"
)

// scheduledJob returns a job with two occurrences, due at the fixture's present and a second
// later.
func scheduledJob(f *fixture) *job.Job {
	j := testJob(1, step(2))
	j.Occurrences, j.Start, j.Interval = 2, f.instant().Wall, time.Second
	return j
}

// takeOver returns the fixture of the next leader, whose wall clock is behind by the given time.
func (f *fixture) takeOver(t *testing.T, behind time.Duration) *fixture {
	next := newFixture(t, f.opts.Term+1)
	next.now, next.behind = f.now, behind
	return next
}

// A leader whose wall clock is behind its predecessor's started the tasks of occurrences again
// that the ledger has as done, and stored less progress than its predecessor.
func TestScheduled_DoneTasksAreNotStartedByLeaderWithClockBehind(t *testing.T) {
	f := newFixture(t, 1)
	f.agent("a")
	j := scheduledJob(f)
	f.add(j, nil, false)
	for _, s := range f.plan().Starts {
		f.end("a", s.Run, job.EndDone)
	}
	f.now += time.Second
	starts := f.plan().Starts
	must.Len(t, 2, starts)
	f.end("a", starts[0].Run, job.EndDone)
	stored := f.commit()[j.ID]
	must.NotNil(t, stored)

	next := f.takeOver(t, 3*time.Second)
	next.AddUnreportedAgent("a", next.now+time.Minute)
	next.add(j, stored, true)
	next.agent("a", job.Activity{Run: starts[1].Run, Percent: 50})
	test.Eq(t, stored, next.jobs[j.ID].progress())
	for i := range 5 {
		next.now += time.Second
		next.ActivityReported(next.now, "a", []job.Activity{{Run: starts[1].Run, Percent: 60 + i}})
		orders := next.plan()
		test.SliceEmpty(t, orders.Starts)
		test.SliceEmpty(t, orders.Stops)
	}
	next.end("a", starts[1].Run, job.EndDone)
	test.Eq(t, job.Completed, next.commit()[j.ID].State)
}

// A leader whose wall clock is behind its predecessor's stopped the runs of an occurrence that
// was not due by its own clock.
func TestScheduled_ReportedRunOfLaterOccurrenceIsAdopted(t *testing.T) {
	f := newFixture(t, 1)
	f.agent("a")
	j := scheduledJob(f)
	f.add(j, nil, false)
	f.now += time.Second
	starts := f.plan().Starts
	must.Len(t, 4, starts)

	next := f.takeOver(t, 3*time.Second)
	next.AddUnreportedAgent("a", next.now+time.Minute)
	next.add(j, nil, true)
	active := make([]job.Activity, len(starts))
	for i := range starts {
		active[i].Run = starts[i].Run
	}
	next.agent("a", active...)
	for i := range 5 {
		for k := range active {
			active[k].Percent = 10 + i
		}
		next.ActivityReported(next.now, "a", active)
		orders := next.plan()
		test.SliceEmpty(t, orders.Starts)
		test.SliceEmpty(t, orders.Stops)
		next.now += time.Second
	}
}

// A leader whose wall clock is behind its predecessor's ignored the end of a run whose
// occurrence was not due by its own clock. The end was acknowledged and the task started again.
func TestScheduled_ReportedEndOfLaterOccurrenceCounts(t *testing.T) {
	f := newFixture(t, 1)
	f.agent("a")
	j := scheduledJob(f)
	f.add(j, nil, false)
	f.now += time.Second
	starts := f.plan().Starts
	must.Len(t, 4, starts)

	next := f.takeOver(t, 3*time.Second)
	next.AddUnreportedAgent("a", next.now+time.Minute)
	next.add(j, nil, true)
	for _, s := range starts {
		next.end("a", s.Run, job.EndDone)
	}
	next.agent("a")
	for range 5 {
		test.SliceEmpty(t, next.plan().Starts)
		next.now += time.Second
	}
	stored := next.commit()[j.ID]
	must.NotNil(t, stored)
	test.Eq(t, job.Completed, stored.State)
}
