package planner

import (
	"testing"
	"time"

	"github.com/shoenig/test"
	"github.com/shoenig/test/must"

	"bamboowood/internal/job"
)

// Guards against starting a task again whose end is on a later page of its runner's list (TWICE), and against
// holding a run that the complete list does not have until the time of the incomplete one (LOST).
func TestPlanner_RunsWhoseEndsAreNotListedYet(t *testing.T) {
	f := newFixture(t, 1)
	f.agent("a")
	f.add(testJob(1, step(2)), nil, false)
	starts := f.plan().Starts
	must.Len(t, 2, starts)
	const agent = "a"
	for _, s := range starts {
		f.ActivityReported(f.now, agent, []job.Activity{{Run: s.Run}})
	}
	f.agent("b")
	f.AgentLost(agent, f.now+6*time.Second)
	f.RunsUnlistedUntil(agent, f.now+8*time.Second)
	f.EndsIncomplete(agent, true)
	f.agent(agent)
	must.Len(t, 0, f.plan().Starts)
	f.now += time.Second
	f.end(agent, starts[0].Run, job.EndDone)
	must.Len(t, 0, f.plan().Starts)
	f.AgentLost(agent, f.now+6*time.Second)
	f.RunsUnlistedUntil(agent, 0)
	f.EndsIncomplete(agent, false)
	f.agent(agent)
	again := f.plan().Starts
	must.Len(t, 1, again)
	test.Eq(t, starts[1].Run.Task, again[0].Run.Task)
}
