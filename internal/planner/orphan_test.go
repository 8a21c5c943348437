package planner

import (
	"testing"
	"time"

	"github.com/shoenig/test"
	"github.com/shoenig/test/must"

	"bamboowood/internal/job"
)

// An agent reports a run of a job that was cancelled before the takeover. Until its end is
// reported, the capacity that the run uses must not be given to another task.
func TestPlanner_OrphanedRunUsesCapacityUntilItsEnd(t *testing.T) {
	for name, jobKnown := range map[string]bool{"job known": true, "job unknown": false} {
		t.Run(name, func(t *testing.T) {
			f := newFixture(t, 2)
			f.AddUnreportedAgent("a", f.now+10*time.Second)
			large := step(1)
			large.CPU = 10_000
			old := testJob(1, large)
			if jobKnown {
				f.add(old, nil, true)
				f.Cancel(f.now, old.ID)
			}
			orphan := job.Run{Task: job.Task{Job: old.ID}, Number: 1}
			f.agent("a", job.Activity{Run: orphan, Percent: 10})
			f.add(testJob(2, large), nil, false)
			orders := f.plan()
			test.Len(t, 0, orders.Starts)
			must.Len(t, 1, orders.Stops)
			test.Eq(t, orphan, orders.Stops[0].Run)
			f.ActivityReported(f.now, "a", []job.Activity{{Run: orphan, Percent: 11}})
			test.Len(t, 0, f.plan().Starts)
			f.end("a", orphan, job.EndStopped)
			test.Len(t, 1, f.plan().Starts)
			test.Eq(t, 10_000, f.agents["a"].requested.CPU)
		})
	}
}

// An orphaned run must also release its capacity when it ends as done and when its agent
// does not report it any more.
func TestPlanner_OrphanedRunReleasesCapacity(t *testing.T) {
	f := newFixture(t, 2)
	orphans := []job.Run{{Task: job.Task{Job: testJob(1).ID}, Number: 1}, {Task: job.Task{Job: testJob(2).ID}, Number: 1}}
	f.agent("a", job.Activity{Run: orphans[0]}, job.Activity{Run: orphans[1]})
	test.Positive(t, f.agents["a"].requested.CPU)
	f.end("a", orphans[0], job.EndDone)
	f.agent("a")
	test.Zero(t, f.agents["a"].requested.CPU)
	test.Zero(t, f.agents["a"].requested.MemoryMB)
	test.MapEmpty(t, f.agents["a"].runs)
}

// A runner restarts under the same id, and a start reaches the new incarnation before the
// agent has reported the restart. The runs that the agent reports with the new incarnation
// must continue; all others must be started again.
func TestPlanner_RunOfNextIncarnation(t *testing.T) {
	f := newFixture(t, 1)
	f.agent("a")
	f.add(testJob(1, step(2)), nil, false)
	starts := f.plan().Starts
	must.Len(t, 2, starts)
	for _, s := range starts {
		f.ActivityReported(f.now, "a", []job.Activity{{Run: s.Run}})
	}
	next := testRunner("a")
	next.StartTime = 2
	f.RunnerChanged(f.now, "a", next, []job.Activity{{Run: starts[1].Run}})
	again := f.plan().Starts
	must.Len(t, 1, again)
	test.Eq(t, starts[0].Run.Task, again[0].Run.Task)
}

// A start is in flight while the agent reports a restart of its runner. The task must not
// be started again before the agent has reported the outcome.
func TestPlanner_StartInFlightToNextIncarnation(t *testing.T) {
	f := newFixture(t, 1)
	f.agent("a")
	f.agent("b")
	f.add(testJob(1, step(1)), nil, false)
	starts := f.plan().Starts
	must.Len(t, 1, starts)
	next := testRunner(starts[0].Agent)
	next.StartTime = 2
	f.RunnerChanged(f.now, starts[0].Agent, next, nil)
	must.Len(t, 0, f.plan().Starts)
	f.StartRefused(f.now, starts[0].Agent, starts[0].Run, RefusedLate)
	f.now += time.Second
	must.Len(t, 1, f.plan().Starts)
}

// An agent without a runner is lost while a start is in flight to it. The task must not be
// started elsewhere before the agent's lease has expired.
func TestPlanner_StartInFlightToLostAgent(t *testing.T) {
	f := newFixture(t, 1)
	f.agent("a")
	f.add(testJob(1, step(1)), nil, false)
	must.Len(t, 1, f.plan().Starts)
	f.RunnerChanged(f.now, "a", nil, nil)
	f.AgentLost("a", f.now+time.Second)
	f.agent("b")
	must.Len(t, 0, f.plan().Starts)
	f.now += time.Second
	must.Len(t, 1, f.plan().Starts)
}

// Guards against starting the runs of a runner elsewhere while it does not answer, and against
// keeping those that a later incarnation does not list.
func TestPlanner_UnreachableRunnerKeepsItsRuns(t *testing.T) {
	f := newFixture(t, 1)
	f.agent("a")
	f.add(testJob(1, step(2)), nil, false)
	starts := f.plan().Starts
	must.Len(t, 2, starts)
	active := []job.Activity{{Run: starts[0].Run}, {Run: starts[1].Run}}
	f.ActivityReported(f.now, "a", active)
	f.agent("b")
	f.RunnerChanged(f.now, "a", nil, active)
	must.Len(t, 0, f.plan().Starts)
	f.RunnerChanged(f.now, "a", testRunner("a"), active)
	must.Len(t, 0, f.plan().Starts)
	f.RunnerChanged(f.now, "a", nil, active)
	next := testRunner("a")
	next.StartTime = 2
	f.RunnerChanged(f.now, "a", next, active[:1])
	again := f.plan().Starts
	must.Len(t, 1, again)
	test.Eq(t, starts[1].Run.Task, again[0].Run.Task)
}

// Guards against starting runs elsewhere when an agent restarts while its runner is replaced: the new
// agent process does not know the runs of the earlier runner, which may live on until its lease ends.
func TestPlanner_RunnerReplacedWhileAgentRestarts(t *testing.T) {
	f := newFixture(t, 1)
	f.agent("a")
	f.add(testJob(1, step(2)), nil, false)
	starts := f.plan().Starts
	must.Len(t, 2, starts)
	f.ActivityReported(f.now, "a", []job.Activity{{Run: starts[0].Run}})
	f.agent("b")
	f.AgentLost("a", f.now+6*time.Second)
	f.now += time.Second
	next := testRunner("a")
	next.ID = "another"
	f.AgentConnected(f.now, "a", Snapshot{Runner: next, UnlistedFor: 5 * time.Second})
	must.Len(t, 0, f.plan().Starts)
	f.now += time.Second
	f.RunnerChanged(f.now, "a", nil, nil)
	f.AgentLost("a", f.now+6*time.Second)
	f.AgentConnected(f.now, "a", Snapshot{Runner: next})
	must.Len(t, 0, f.plan().Starts)
	f.now += 4 * time.Second
	must.Len(t, 2, f.plan().Starts)
}

// Guards against the same after a takeover: the new leader does not know the runs either, and must not start
// recovered tasks before they have expired. Tasks of later jobs do not wait.
func TestPlanner_RunnerReplacedBeforeTakeover(t *testing.T) {
	f := newFixture(t, 2)
	f.AddUnreportedAgent("a", f.now+13*time.Second)
	f.add(testJob(1, step(2)), nil, true)
	f.agentWith("a", Snapshot{UnlistedFor: 5 * time.Second})
	must.Eq(t, 1, f.UnreportedAgents())
	must.Len(t, 0, f.plan().Starts)
	f.add(testJob(2, step(1)), nil, false)
	must.Len(t, 1, f.plan().Starts)
	f.RunnerChanged(f.now, "a", nil, nil)
	f.AgentLost("a", f.now+6*time.Second)
	must.SliceEmpty(t, f.TakeDeadAgents())
	f.agentWith("a", Snapshot{UnlistedFor: 5 * time.Second})
	f.now += 5 * time.Second
	must.Len(t, 2, f.plan().Starts)
	must.Zero(t, f.UnreportedAgents())
}

// Guards against accepting jobs that no runner can hold for as long as a restarted agent may have runs
// that it does not list: its runner and the capacity are known.
func TestPlanner_MaxCapacityWhileRunsAreUnlisted(t *testing.T) {
	f := newFixture(t, 3)
	f.AddUnreportedAgent("a", f.now+13*time.Second)
	f.agentWith("a", Snapshot{UnlistedFor: 5 * time.Second})
	must.Eq(t, 1, f.UnreportedAgents())
	_, known := f.MaxCapacity(testService)
	test.True(t, known)
}

// Guards against dropping a run that its restarted agent lists only after its first list, as alive on the
// earlier runner that answers again: its lease is extended from then on, and its task ran twice.
func TestPlanner_UnlistedRunIsListedLater(t *testing.T) {
	f := newFixture(t, 1)
	f.agent("a")
	f.add(testJob(1, step(1)), nil, false)
	starts := f.plan().Starts
	must.Len(t, 1, starts)
	active := []job.Activity{{Run: starts[0].Run}}
	f.ActivityReported(f.now, "a", active)
	f.agent("b")
	f.AgentLost("a", f.now+6*time.Second)
	f.agentWith("a", Snapshot{UnlistedFor: 5 * time.Second})
	f.now += time.Second
	f.ActivityReported(f.now, "a", active)
	f.now += 6 * time.Second
	test.Len(t, 0, f.plan().Starts)
}

// Guards against the same after a takeover: the run is unknown to the new leader until an update lists it.
func TestPlanner_UnknownRunIsListedLater(t *testing.T) {
	f := newFixture(t, 2)
	f.AddUnreportedAgent("a", f.now+13*time.Second)
	f.add(testJob(1, step(1)), nil, true)
	f.agentWith("a", Snapshot{UnlistedFor: 5 * time.Second})
	run := job.Run{Task: job.Task{Job: testJob(1).ID}, Number: 7}
	f.ActivityReported(f.now, "a", []job.Activity{{Run: run}})
	f.now += 6 * time.Second
	test.Len(t, 0, f.plan().Starts)
	test.MapContainsKey(t, f.agents["a"].runs, run)
}

// Guards against an unknown run that is listed beside its task's current one and is never stopped.
func TestPlanner_SecondRunIsListedLater(t *testing.T) {
	f := newFixture(t, 1)
	f.agent("a")
	f.add(testJob(1, step(1)), nil, false)
	starts := f.plan().Starts
	must.Len(t, 1, starts)
	other := starts[0].Run
	other.Number++
	f.agent("b")
	f.ActivityReported(f.now, "b", []job.Activity{{Run: other}})
	stops := f.plan().Stops
	must.Len(t, 1, stops)
	test.Eq(t, Stop{Agent: "b", Run: other, Reason: StopOtherRun}, stops[0])
}

// Guards against taking a run that its agent does not know for stalled: nothing reports its progress, and the
// next runner on that VM was avoided for its task.
func TestPlanner_UnlistedRunIsNotStalled(t *testing.T) {
	f := newFixture(t, 1)
	f.agent("a")
	f.add(testJob(1, step(1)), nil, false)
	starts := f.plan().Starts
	must.Len(t, 1, starts)
	f.ActivityReported(f.now, "a", []job.Activity{{Run: starts[0].Run}})
	f.AgentLost("a", f.now+6*time.Second)
	f.agentWith("a", Snapshot{UnlistedFor: 5 * time.Second})
	f.now += 4 * time.Second
	test.Len(t, 0, f.plan().Stops)
	test.Zero(t, f.Stats().Stalls)
	f.now += 2 * time.Second
	test.Len(t, 1, f.plan().Starts)
}
