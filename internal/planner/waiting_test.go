package planner

import (
	"testing"

	"github.com/shoenig/test"
	"github.com/shoenig/test/must"

	"bamboowood/internal/job"
)

// Jobs of which no runner has begun a task wait, though orders were given: members of a
// gang that found no room for all, and starts that were refused.
func TestPlanner_WaitingUntilARunnerBegins(t *testing.T) {
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

	f.now += noRoomPause
	starts = f.plan().Starts
	must.Len(t, 1, starts)
	f.ActivityReported(f.now, "a", []job.Activity{{Run: starts[0].Run}})
	test.Eq(t, 1, f.WaitingJobs("q"))
	test.Eq(t, job.Running, f.state(refused))
}

// A task that ended before it was seen at work has begun.
func TestPlanner_ShortTaskHasBegun(t *testing.T) {
	f := newFixture(t, 1)
	f.agent("a")
	f.add(testJob(1, step(1), step(1, 0)), nil, false)
	starts := f.plan().Starts
	must.Len(t, 1, starts)
	f.end("a", starts[0].Run, job.EndDone)
	test.Zero(t, f.WaitingJobs("q"))
}
