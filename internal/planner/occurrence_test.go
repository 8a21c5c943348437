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

// A leader whose wall clock is behind its predecessor's took an occurrence that its predecessor
// had opened for one that is due seconds later, and ranked it behind jobs that came after it.
func TestScheduled_OpenedOccurrenceIsNotDueLater(t *testing.T) {
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
	next.AddJob(next.instant(), j, stored, true)
	next.add(testJob(2, step(16)), nil, false)
	next.agent("a")
	var started []job.Task
	for _, s := range next.plan().Starts {
		started = append(started, s.Run.Task)
	}
	test.SliceContains(t, started, starts[1].Run.Task)
}

// An end of a later occurrence was ignored, acknowledged and lost if the ends of an earlier one,
// which the previous leader had received but not stored, were reported after it and both
// occurrences together have more than MaxTasks tasks.
func TestScheduled_ReportedEndCountsBeyondMaxTasks(t *testing.T) {
	const tasks = job.MaxTasks/2 + 1
	f := newFixture(t, 1)
	j := testJob(1, job.Step{Tasks: tasks, CPU: 1, Estimate: time.Second})
	j.Occurrences, j.Start, j.Interval = 2, f.instant().Wall, time.Second
	f.now += time.Second
	f.add(j, nil, true)
	end := func(occurrence, index int) {
		f.end("a", job.Run{Task: job.Task{Job: j.ID, Occurrence: occurrence, Index: index}, Number: 1}, job.EndDone)
	}
	end(1, 0)
	for i := range tasks {
		end(0, i)
	}
	f.plan()
	stored := f.commit()[j.ID]
	must.NotNil(t, stored)
	must.MapContainsKey(t, stored.Open, 1)
	test.True(t, stored.taskDone(job.Task{Job: j.ID, Occurrence: 1}))
}

// A report of a task that the job does not have must not open occurrences.
func TestScheduled_ReportOfUnknownTaskOpensNothing(t *testing.T) {
	f := newFixture(t, 1)
	j := scheduledJob(f)
	f.add(j, nil, false)
	for _, unknown := range []job.Task{{Step: 1}, {Index: 2}, {Step: -1}, {Index: -1}, {Occurrence: 2}} {
		unknown.Job = j.ID
		unknown.Occurrence = max(unknown.Occurrence, 1)
		f.end("a", job.Run{Task: unknown, Number: 1}, job.EndDone)
		test.Eq(t, 1, f.jobs[j.ID].opened)
	}
}
