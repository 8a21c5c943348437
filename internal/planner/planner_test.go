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

// fixture drives a planner by hand.
type fixture struct {
	*Planner
	t   *testing.T
	now time.Duration
	// ends numbers the ends of each agent.
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
	return Instant{Mono: f.now, Wall: time.Unix(1_000_000, 0).Add(f.now)}
}

func (f *fixture) agent(id string, active ...job.Activity) {
	f.AgentConnected(f.now, id, testRunner(id), active)
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

// commit stores all changes and returns them.
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
	test.Eq(t, job.Running, f.state(j), test.Sprint("shown as completed before the ledger has it"))
	f.commit()
	test.Eq(t, job.Completed, f.state(j))
}

// An end that the ledger has and the runner lists again, since the old leader did
// not acknowledge it, must not complete its step twice.
func TestPlanner_EndListedAgainAfterTakeover(t *testing.T) {
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

// A failed end that is listed again counts once.
func TestPlanner_FailureListedAgainAfterTakeover(t *testing.T) {
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

// A task of a recovered job waits while an agent may have a run of it.
func TestPlanner_RecoveredTaskWaitsForUnknownAgents(t *testing.T) {
	f := newFixture(t, 2)
	lapse := f.now + 10*time.Second
	f.AddUnreportedAgent("a", lapse)
	f.AddUnreportedAgent("b", lapse)
	recovered, fresh := testJob(1, step(1)), testJob(2, step(1))
	f.add(recovered, nil, true)
	f.add(fresh, nil, false)
	f.agent("a")
	starts := f.plan().Starts
	must.Len(t, 1, starts)
	test.Eq(t, fresh.ID, starts[0].Run.Task.Job)
	f.now = lapse - 1
	must.Len(t, 0, f.plan().Starts)
	f.now = lapse
	must.Len(t, 1, f.plan().Starts)
}

// What runs on an agent without contact is started again only once its lease has
// run out.
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
	// The run turns up after all: it is stopped, never adopted beside the new one.
	f.agent("a", job.Activity{Run: run})
	test.Eq(t, []Stop{{Agent: "a", Run: run}}, f.plan().Stops)
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

// An agent that leaves after its runner has nothing alive: recovered jobs and a
// later leader need not wait for it.
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

// A gang starts whole or not at all, with one run number, and ends as a whole.
func TestPlanner_Gang(t *testing.T) {
	f := newFixture(t, 1)
	f.agent("a")
	gang := step(20)
	gang.Gang = true
	j := testJob(1, gang, step(1, 0))
	f.add(j, nil, false)
	must.Len(t, 0, f.plan().Starts, must.Sprint("20 cores are asked for, 16 are there"))
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
	must.Len(t, 1, next, must.Sprint("one end stands for all members"))
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

// A runner on which the jobs of several callers fail in a row gets no more work
// for a while; the failed tasks go elsewhere.
func TestPattern_RunnerFailsAll(t *testing.T) {
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

// A task that makes no progress is stopped and started on another runner.
func TestPattern_TaskStandsStill(t *testing.T) {
	f := newFixture(t, 1)
	f.agent("a")
	f.add(testJob(1, step(1)), nil, false)
	run := f.plan().Starts[0].Run
	f.ActivityReported(f.now, "a", []job.Activity{{Run: run, Percent: 10}})
	f.agent("b")
	f.now += stallTime
	must.Len(t, 0, f.plan().Stops)
	f.now += time.Millisecond
	must.Len(t, 1, f.plan().Stops)
	f.end("a", run, job.EndStopped)
	starts := f.plan().Starts
	must.Len(t, 1, starts)
	test.Eq(t, "b", starts[0].Agent)
}

// Nothing starts in a drained zone or on a runner that leaves; tasks that would
// outlast the runner are stopped.
func TestPattern_ZoneDrainedRunnerLeaves(t *testing.T) {
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

// A job whose result is worth nothing any more stands back, but never still.
func TestPattern_HopelessJobStandsBack(t *testing.T) {
	f := newFixture(t, 1)
	f.agent("a")
	old, young := testJob(1, step(16)), testJob(2, step(16))
	f.add(old, nil, false)
	f.now += time.Minute
	f.jobs[old.ID].idleSince = f.now
	f.add(young, nil, false)
	for _, s := range f.plan().Starts {
		test.Eq(t, young.ID, s.Run.Task.Job)
	}
	f = newFixture(t, 1)
	f.agent("a")
	f.add(old, nil, false)
	f.now += time.Minute
	f.add(young, nil, false)
	counts := map[string]int{}
	for _, s := range f.plan().Starts {
		counts[s.Run.Task.Job]++
	}
	test.Eq(t, map[string]int{old.ID: 1, young.ID: 15}, counts)
}

// The largest runner is known once all agents have been heard of.
func TestPlanner_Largest(t *testing.T) {
	f := newFixture(t, 2)
	f.AddUnreportedAgent("b", f.now+time.Minute)
	f.agent("a")
	_, known := f.MaxCapacity(testService)
	test.False(t, known, test.Sprint("b may be larger"))
	large := testRunner("b")
	large.Capacity.CPU = 96_000
	f.AgentConnected(f.now, "b", large, nil)
	largest, known := f.MaxCapacity(testService)
	test.True(t, known)
	test.Eq(t, job.Resources{CPU: 96_000, MemoryMB: 64_000}, largest)
	f.AgentLost("b", f.now+time.Second)
	largest, _ = f.MaxCapacity(testService)
	test.Eq(t, int64(96_000), largest.CPU, test.Sprint("it may come back"))
	_, known = f.MaxCapacity("another")
	test.False(t, known)
}
