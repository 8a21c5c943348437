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
	f.agentWith(agent, Snapshot{UnlistedFor: 8 * time.Second, MoreEnds: true})
	must.Len(t, 0, f.plan().Starts)
	f.now += time.Second
	f.end(agent, starts[0].Run, job.EndDone)
	must.Len(t, 0, f.plan().Starts)
	f.AgentLost(agent, f.now+6*time.Second)
	f.agent(agent)
	again := f.plan().Starts
	must.Len(t, 1, again)
	test.Eq(t, starts[1].Run.Task, again[0].Run.Task)
}

// Guards against starting a recovered task while a run of it may be alive on an agent that the new leader did not
// know when it began: the agent says so, and was taken for complete (TWICE). Tasks of later jobs do not wait.
func TestPlanner_UnlistedRunsOfUnknownAgent(t *testing.T) {
	f := newFixture(t, 2)
	f.agent("b")
	f.add(testJob(1, step(1)), nil, true)
	f.agentWith("a", Snapshot{UnlistedFor: 5 * time.Second})
	must.Len(t, 0, f.plan().Starts)
	f.add(testJob(2, step(1)), nil, false)
	must.Len(t, 1, f.plan().Starts)
	f.now += 5*time.Second - 1
	must.Len(t, 0, f.plan().Starts)
	f.now++
	must.Len(t, 1, f.plan().Starts)
	test.Zero(t, f.UnreportedAgents())
}

// Guards against the same for a task whose end is on a later page of its runner's list, and against a wait that
// goes on after the last page (LOST).
func TestPlanner_EndsOfUnknownAgentAreNotListedYet(t *testing.T) {
	f := newFixture(t, 2)
	f.agent("b")
	f.add(testJob(1, step(2)), nil, true)
	f.agentWith("a", Snapshot{UnlistedFor: 8 * time.Second, MoreEnds: true})
	must.Len(t, 0, f.plan().Starts)
	f.end("a", job.Run{Task: job.Task{Job: testJob(1).ID}, Number: 1}, job.EndDone)
	must.Len(t, 0, f.plan().Starts)
	f.agent("a")
	starts := f.plan().Starts
	must.Len(t, 1, starts)
	test.Eq(t, 1, starts[0].Run.Task.Index)
}

// Guards against an unknown agent without a runner that is taken for dead, and its registration removed, although runs
// may be alive there: the next leader would not wait for them either.
func TestPlanner_UnknownAgentWithUnlistedRunsIsNotDead(t *testing.T) {
	f := newFixture(t, 2)
	f.AgentConnected(f.now, "a", Snapshot{UnlistedFor: 5 * time.Second})
	f.AgentLost("a", f.now+6*time.Second)
	must.SliceEmpty(t, f.TakeDeadAgents())
	f.now += 6 * time.Second
	f.plan()
	test.Eq(t, []string{"a"}, f.TakeDeadAgents())
}
