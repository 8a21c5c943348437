package planner

import (
	"testing"
	"time"

	"github.com/shoenig/test"
	"github.com/shoenig/test/must"

	"bamboowood/internal/job"
)

// A new leader finds a run of a job that was cancelled meanwhile. Until its end is
// listed, what it occupies is given to nobody.
func TestPlanner_OrphanOccupiesUntilItsEnd(t *testing.T) {
	for name, known := range map[string]bool{"job known": true, "job forgotten": false} {
		t.Run(name, func(t *testing.T) {
			f := newFixture(t, 2)
			f.AddUnreportedAgent("a", f.now+10*time.Second)
			large := step(1)
			large.CPU = 10_000
			old := testJob(1, large)
			if known {
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
			test.Eq(t, 10_000, f.agents["a"].used.CPU)
		})
	}
}

// An orphan that ends done, or that its agent lists no more, frees its room as well.
func TestPlanner_OrphanIsGone(t *testing.T) {
	f := newFixture(t, 2)
	orphans := []job.Run{{Task: job.Task{Job: testJob(1).ID}, Number: 1}, {Task: job.Task{Job: testJob(2).ID}, Number: 1}}
	f.agent("a", job.Activity{Run: orphans[0]}, job.Activity{Run: orphans[1]})
	test.Positive(t, f.agents["a"].used.CPU)
	f.end("a", orphans[0], job.EndDone)
	f.agent("a")
	test.Zero(t, f.agents["a"].used.CPU)
	test.Zero(t, f.agents["a"].used.MemoryMB)
	test.MapEmpty(t, f.agents["a"].runs)
}

// A start may reach a new life of a runner that has kept its id before its agent knows of
// it: what the agent lists with the new life goes on, all else is started again.
func TestPlanner_RunOfTheNextLife(t *testing.T) {
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

// An order that is on its way while the agent tells of a new life of its runner is not
// given again before the agent has told what became of it.
func TestPlanner_OrderOnItsWayToTheNextLife(t *testing.T) {
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

// An agent that is lost without a runner may still have an order on its way to it.
func TestPlanner_OrderOnItsWayToALostAgent(t *testing.T) {
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
