package planner

import (
	"testing"

	"github.com/shoenig/test"
	"github.com/shoenig/test/must"

	"bamboowood/internal/job"
)

// A job counts as waiting until a runner has confirmed the start of a task, even if starts
// were ordered. A gang that does not fit and a job whose start was refused keep waiting.
func TestPlanner_JobWaitsUntilTaskStarts(t *testing.T) {
	f := newFixture(t, 1)
	f.agent("a")
	wide := step(20)
	wide.Gang = true
	gang := testJob(1, wide)
	f.add(gang, nil, false)
	test.Len(t, 0, f.plan().Starts)
	test.Eq(t, 1, f.WaitingJobs("q"))
	test.Eq(t, job.Queued, f.state(gang))

	refused := testJob(2, step(1))
	f.add(refused, nil, false)
	starts := f.plan().Starts
	must.Len(t, 1, starts)
	test.Eq(t, 2, f.WaitingJobs("q"))
	f.StartRefused(f.now, "a", starts[0].Run, RefusedCapacity)
	test.Eq(t, 2, f.WaitingJobs("q"))

	f.now += capacityBackoff
	starts = f.plan().Starts
	must.Len(t, 1, starts)
	f.ActivityReported(f.now, "a", []job.Activity{{Run: starts[0].Run}})
	test.Eq(t, 1, f.WaitingJobs("q"))
	test.Eq(t, job.Running, f.state(refused))
}

// A task that ended before its run was confirmed counts as started.
func TestPlanner_ShortTaskCountsAsStarted(t *testing.T) {
	f := newFixture(t, 1)
	f.agent("a")
	f.add(testJob(1, step(1), step(1, 0)), nil, false)
	starts := f.plan().Starts
	must.Len(t, 1, starts)
	f.end("a", starts[0].Run, job.EndDone)
	test.Zero(t, f.WaitingJobs("q"))
}
