package planner

import (
	"fmt"
	"testing"
	"time"

	"github.com/shoenig/test"
	"github.com/shoenig/test/must"

	"bamboowood/internal/job"
	"bamboowood/internal/site"
)

// Tests with the prefix TestPattern_ reproduce one pattern of load or of faults each.

// fixture wraps a planner with a virtual clock and helpers for events.
type fixture struct {
	*Planner
	t   *testing.T
	now time.Duration
	// behind is how far the wall clock is behind the true time.
	behind time.Duration
	// ends holds the sequence number of the last end of each agent.
	ends map[string]int64
}

const testService = "desk"

func newFixture(t *testing.T, term int64) *fixture {
	return &fixture{
		Planner: New(Options{Term: term, EndedRetention: time.Minute, RemoteFactor: 1.5}),
		t:       t, now: time.Hour, ends: map[string]int64{},
	}
}

func testRunner(id string) *job.Runner {
	return &job.Runner{
		ID: "i-" + id, Service: testService, Zone: "z1", Labels: []string{"a", "r1-" + id},
		Capacity: job.Resources{CPU: 16_000, MemoryMB: 64_000},
	}
}

func (f *fixture) instant() Instant {
	return Instant{Mono: f.now, Wall: time.Unix(1_000_000, 0).Add(f.now - f.behind)}
}

func (f *fixture) agent(id string, active ...job.Activity) {
	f.agentWith(id, Snapshot{Active: active})
}

// agentWith connects an agent with a runner.
func (f *fixture) agentWith(id string, s Snapshot) {
	s.Runner = testRunner(id)
	f.AgentConnected(f.now, id, s)
}

func testJob(n int, steps ...job.Step) *job.Job {
	return &job.Job{
		ID:    fmt.Sprintf("%016x", n),
		Queue: job.Queue{Name: "q", Service: testService, MaxAttempts: 2, Stretch: 2, Slack: time.Second},
		Steps: steps,
	}
}

func step(tasks int, after ...int) job.Step {
	return job.Step{Tasks: tasks, CPU: 1000, MemoryMB: 1000, Estimate: time.Second, After: after}
}

func (f *fixture) add(j *job.Job, progress *Progress, recovered bool) {
	j.AcceptedAt = f.instant().Wall
	f.AddJob(f.instant(), j, progress, recovered)
}

func (f *fixture) plan() Orders { return f.Plan(f.instant(), true) }

func (f *fixture) end(agent string, run job.Run, reason job.EndReason) {
	f.ends[agent]++
	f.RunEnded(f.now, agent, job.End{Sequence: f.ends[agent], Run: run, Reason: reason})
}

// commit marks all changes as stored and returns them.
func (f *fixture) commit() map[string]*Progress {
	stored := map[string]*Progress{}
	for _, c := range f.TakeChanges(1000) {
		f.ChangeCommitted(f.now, c)
		stored[c.Job] = c.Progress
	}
	return stored
}

func (f *fixture) state(j *job.Job) job.State {
	state, known := f.Status(j.ID)
	must.True(f.t, known)
	return state
}

func TestPlanner_RunsStepsInOrder(t *testing.T) {
	f := newFixture(t, 1)
	f.agent("a")
	j := testJob(1, step(2), step(1, 0))
	f.add(j, nil, false)
	test.Eq(t, job.Queued, f.state(j))
	first := f.plan().Starts
	must.Len(t, 2, first)
	test.Eq(t, job.Running, f.state(j))
	f.end("a", first[0].Run, job.EndDone)
	must.Len(t, 0, f.plan().Starts)
	f.end("a", first[1].Run, job.EndDone)
	second := f.plan().Starts
	must.Len(t, 1, second)
	test.Eq(t, 1, second[0].Run.Task.Step)
	f.end("a", second[0].Run, job.EndDone)
	test.Eq(t, job.Running, f.state(j), test.Sprint("completion must not be shown before it is stored in the ledger"))
	f.commit()
	test.Eq(t, job.Completed, f.state(j))
}

// An end is stored in the ledger, but a takeover precedes the message to the agent, so it
// reports it to the new leader again. It must not complete its step twice.
func TestPlanner_EndReportedAgainAfterTakeover(t *testing.T) {
	old := newFixture(t, 1)
	old.agent("a")
	j := testJob(1, step(1), step(2, 0))
	old.add(j, nil, false)
	first := old.plan().Starts
	old.end("a", first[0].Run, job.EndDone)
	second := old.plan().Starts
	must.Len(t, 2, second)
	stored := old.commit()[j.ID]
	must.NotNil(t, stored)

	f := newFixture(t, 2)
	f.AddUnreportedAgent("a", f.now+time.Minute)
	f.add(j, stored, true)
	f.end("a", first[0].Run, job.EndDone)
	f.agent("a", job.Activity{Run: second[0].Run}, job.Activity{Run: second[1].Run})
	f.commit()
	test.Eq(t, job.Running, f.state(j))
	f.end("a", second[0].Run, job.EndDone)
	f.commit()
	test.Eq(t, job.Running, f.state(j))
	f.end("a", second[1].Run, job.EndDone)
	f.commit()
	test.Eq(t, job.Completed, f.state(j))
}

// A failure that is reported again after a takeover counts once.
func TestPlanner_FailureReportedAgainAfterTakeover(t *testing.T) {
	old := newFixture(t, 1)
	old.agent("a")
	j := testJob(1, step(1))
	old.add(j, nil, false)
	run := old.plan().Starts[0].Run
	old.end("a", run, job.EndFailed)
	stored := old.commit()[j.ID]
	must.NotNil(t, stored)

	f := newFixture(t, 2)
	f.add(j, stored, true)
	f.end("a", run, job.EndFailed)
	f.agent("a")
	test.Eq(t, job.Running, f.state(j))
	again := f.plan().Starts
	must.Len(t, 1, again)
	test.Greater(t, run.Number, again[0].Run.Number)
	f.end("a", again[0].Run, job.EndFailed)
	f.commit()
	test.Eq(t, job.Failed, f.state(j), test.Sprint("two attempts are allowed"))
}

// A task of a recovered job must not start while an unreported agent may have a run of it.
func TestPlanner_RecoveredTaskWaitsForUnreportedAgents(t *testing.T) {
	f := newFixture(t, 2)
	expiresAt := f.now + 10*time.Second
	f.AddUnreportedAgent("a", expiresAt)
	f.AddUnreportedAgent("b", expiresAt)
	recovered, newJob := testJob(1, step(1)), testJob(2, step(1))
	f.add(recovered, nil, true)
	f.add(newJob, nil, false)
	f.agent("a")
	starts := f.plan().Starts
	must.Len(t, 1, starts)
	test.Eq(t, newJob.ID, starts[0].Run.Task.Job)
	f.now = expiresAt - 1
	must.Len(t, 0, f.plan().Starts)
	f.now = expiresAt
	must.Len(t, 1, f.plan().Starts)
}

// The tasks of a lost agent may start elsewhere only once its lease has expired.
func TestPlanner_LostAgent(t *testing.T) {
	f := newFixture(t, 1)
	f.agent("a")
	j := testJob(1, step(1))
	f.add(j, nil, false)
	run := f.plan().Starts[0].Run
	f.AgentLost("a", f.now+5*time.Second)
	f.agent("b")
	must.Len(t, 0, f.plan().Starts)
	f.now += 5 * time.Second
	again := f.plan().Starts
	must.Len(t, 1, again)
	test.Eq(t, "b", again[0].Agent)
	// The agent returns with the old run. The run must be stopped, not adopted.
	f.agent("a", job.Activity{Run: run})
	test.Eq(t, []Stop{{Agent: "a", Run: run, Reason: StopOtherRun}}, f.plan().Stops)
}

func TestPlanner_CancelStopsRuns(t *testing.T) {
	f := newFixture(t, 1)
	f.agent("a")
	j := testJob(1, step(2))
	f.add(j, nil, false)
	must.Len(t, 2, f.plan().Starts)
	must.True(t, f.Cancel(f.now, j.ID))
	orders := f.plan()
	test.Len(t, 0, orders.Starts)
	test.Len(t, 2, orders.Stops)
	f.commit()
	test.Eq(t, job.Cancelled, f.state(j))
}

// An agent that disconnects after its runner has left cannot have live runs. Recovered jobs
// and later leaders need not wait for its lease to expire.
func TestPlanner_AgentLeavesAfterItsRunner(t *testing.T) {
	f := newFixture(t, 1)
	f.agent("a")
	f.RunnerChanged(f.now, "a", nil, nil)
	f.AgentLost("a", f.now+time.Hour)
	test.Eq(t, []string{"a"}, f.TakeDeadAgents())
	test.Len(t, 0, f.TakeDeadAgents())
	test.True(t, f.AgentDead("a"))
	f.agent("a")
	test.False(t, f.AgentDead("a"))
}

// A gang starts completely or not at all, with one run number, and ends as a whole.
func TestPlanner_Gang(t *testing.T) {
	f := newFixture(t, 1)
	f.agent("a")
	gang := step(20)
	gang.Gang = true
	j := testJob(1, gang, step(1, 0))
	f.add(j, nil, false)
	must.Len(t, 0, f.plan().Starts, must.Sprint("the gang needs 20 cores, the runner has 16"))
	f.agent("b")
	starts := f.plan().Starts
	must.Len(t, 20, starts)
	for _, s := range starts {
		test.Eq(t, starts[0].Run.Number, s.Run.Number)
	}
	f.end(starts[0].Agent, starts[0].Run, job.EndFailed)
	for _, s := range starts[1:10] {
		f.end(s.Agent, s.Run, job.EndGangMemberLost)
	}
	must.Len(t, 0, f.plan().Starts, must.Sprint("half of the members are still alive"))
	for _, s := range starts[10:] {
		f.end(s.Agent, s.Run, job.EndGangMemberLost)
	}
	f.now += time.Second
	again := f.plan().Starts
	must.Len(t, 20, again)
	test.Greater(t, starts[0].Run.Number, again[0].Run.Number)
	f.end(again[3].Agent, again[3].Run, job.EndDone)
	next := f.plan().Starts
	must.Len(t, 1, next, must.Sprint("the success of one member counts for all"))
	test.Eq(t, 1, next[0].Run.Task.Step)
}

// Occurrences start when they are due, and may overlap.
func TestPlanner_Occurrences(t *testing.T) {
	f := newFixture(t, 1)
	f.agent("a")
	j := testJob(1, step(1))
	j.Occurrences, j.Interval, j.Start = 3, 10*time.Second, f.instant().Wall.Add(5*time.Second)
	f.add(j, nil, false)
	must.Len(t, 0, f.plan().Starts)
	for k := range 3 {
		f.now += 5 * time.Second
		starts := f.plan().Starts
		must.Len(t, 1, starts)
		test.Eq(t, k, starts[0].Run.Task.Occurrence)
		must.Len(t, 0, f.plan().Starts)
		f.end("a", starts[0].Run, job.EndDone)
		f.now += 5 * time.Second
	}
	f.commit()
	test.Eq(t, job.Completed, f.state(j))
}

// A runner on which several jobs fail in a row must be ejected. The failed tasks start
// elsewhere.
func TestPattern_RunnerFailsAllTasks(t *testing.T) {
	f := newFixture(t, 1)
	f.agent("bad")
	for n := range ejectAfter {
		f.add(testJob(n, step(1)), nil, false)
	}
	for _, s := range f.plan().Starts {
		f.end("bad", s.Run, job.EndFailed)
	}
	must.True(t, f.agents["bad"].health.ejected(f.now))
	f.agent("good")
	starts := f.plan().Starts
	must.Len(t, ejectAfter, starts)
	for _, s := range starts {
		test.Eq(t, "good", s.Agent)
	}
}

// A run without progress must be stopped, and its task started on another runner.
func TestPattern_TaskStalls(t *testing.T) {
	f := newFixture(t, 1)
	f.agent("a")
	f.add(testJob(1, step(1)), nil, false)
	run := f.plan().Starts[0].Run
	f.ActivityReported(f.now, "a", []job.Activity{{Run: run, Percent: 10}})
	f.agent("b")
	f.now += stallTimeout
	must.Len(t, 0, f.plan().Stops)
	f.now += time.Millisecond
	must.Len(t, 1, f.plan().Stops)
	f.end("a", run, job.EndStopped)
	starts := f.plan().Starts
	must.Len(t, 1, starts)
	test.Eq(t, "b", starts[0].Agent)
}

// No task may start in a drained zone or on a draining runner. Runs that would outlast the
// draining runner must be stopped.
func TestPattern_DrainedZoneAndDrainingRunner(t *testing.T) {
	f := newFixture(t, 1)
	f.agent("a")
	long := step(1)
	long.Estimate = time.Minute
	f.add(testJob(1, long), nil, false)
	run := f.plan().Starts[0].Run
	f.ActivityReported(f.now, "a", []job.Activity{{Run: run, Percent: 1}})
	leaving := testRunner("a")
	leaving.Draining, leaving.Remaining = true, 2*time.Second
	f.RunnerChanged(f.now, "a", leaving, nil)
	f.add(testJob(2, step(1)), nil, false)
	orders := f.plan()
	test.Len(t, 0, orders.Starts)
	test.Len(t, 1, orders.Stops)
	f.SetSite(&site.State{Drained: map[string]bool{"z1": true}})
	f.agent("b")
	test.Len(t, 0, f.plan().Starts)
	f.SetSite(&site.State{})
	test.Len(t, 1, f.plan().Starts)
}

// A job that has missed its hard deadline must rank behind others, but must not starve.
func TestPattern_ExpiredJobRanksLast(t *testing.T) {
	f := newFixture(t, 1)
	f.agent("a")
	old, newer := testJob(1, step(16)), testJob(2, step(16))
	f.add(old, nil, false)
	f.now += time.Minute
	f.jobs[old.ID].idleSince = f.now
	f.add(newer, nil, false)
	for _, s := range f.plan().Starts {
		test.Eq(t, newer.ID, s.Run.Task.Job)
	}
	f = newFixture(t, 1)
	f.agent("a")
	f.add(old, nil, false)
	f.now += time.Minute
	f.add(newer, nil, false)
	counts := map[string]int{}
	for _, s := range f.plan().Starts {
		counts[s.Run.Task.Job]++
	}
	test.Eq(t, map[string]int{old.ID: 1, newer.ID: 15}, counts)
}

// The maximum capacity is known once all agents have reported.
func TestPlanner_MaxCapacity(t *testing.T) {
	f := newFixture(t, 2)
	f.AddUnreportedAgent("b", f.now+time.Minute)
	f.agent("a")
	_, known := f.MaxCapacity(testService)
	test.False(t, known, test.Sprint("b may be larger"))
	large := testRunner("b")
	large.Capacity.CPU = 96_000
	f.AgentConnected(f.now, "b", Snapshot{Runner: large})
	capacity, known := f.MaxCapacity(testService)
	test.True(t, known)
	test.Eq(t, job.Resources{CPU: 96_000, MemoryMB: 64_000}, capacity)
	f.AgentLost("b", f.now+time.Second)
	capacity, _ = f.MaxCapacity(testService)
	test.Eq(t, int64(96_000), capacity.CPU, test.Sprint("the lost agent may return"))
	_, known = f.MaxCapacity("another")
	test.False(t, known)
}
