package planner

import (
	"encoding/json"
	"math"
	"testing"
	"time"

	"github.com/shoenig/test"
	"github.com/shoenig/test/must"

	"bamboowood/internal/job"
	"bamboowood/internal/site"
)

// planPanic plans and returns the value of the panic, nil if there was none.
func (f *fixture) planPanic() (cause any) {
	defer func() { cause = recover() }()
	f.plan()
	return nil
}

// A job makes the planner panic in the middle of a plan. CurrentJob names the job, and
// after its quarantine the next plan starts the tasks of the interrupted plan. No
// capacity remains reserved for the job.
func TestPlanner_Quarantine(t *testing.T) {
	f := newFixture(t, 1)
	f.agent("a")
	good := testJob(1, step(2))
	f.add(good, nil, false)
	bad := testJob(2, step(3))
	f.add(bad, nil, false)
	// Makes Plan panic after the starts of the good job.
	f.jobs[bad.ID].durations.criticalPath = nil
	must.NotNil(t, f.planPanic())
	must.Eq(t, bad.ID, f.CurrentJob())
	f.Quarantine(f.now, f.CurrentJob())
	orders := f.plan()
	test.Len(t, 2, orders.Starts)
	for _, o := range orders.Starts {
		test.Eq(t, good.ID, o.Run.Task.Job)
	}
	test.Eq(t, 2*1000, f.agents["a"].requested.CPU)
	test.True(t, f.HasJob(bad.ID))
	f.add(bad, nil, false)
	test.Len(t, 0, f.plan().Starts)
}

// Guards against starts of an interrupted plan that are returned by a later one although the zone has been drained,
// or the job cancelled, in the meantime.
func TestPlanner_InterruptedPlanAndNewerInputs(t *testing.T) {
	f := newFixture(t, 1)
	f.agent("a")
	good, cancelled, bad := testJob(1, step(2)), testJob(2, step(1)), testJob(3, step(3))
	f.add(good, nil, false)
	f.add(cancelled, nil, false)
	f.add(bad, nil, false)
	f.jobs[bad.ID].open[0].steps[0].runsOnAgent = nil // makes Plan panic after the starts of the other jobs
	must.NotNil(t, f.planPanic())
	f.Quarantine(f.now, f.CurrentJob())
	f.SetSite(&site.State{Drained: map[string]bool{f.agents["a"].runner.Zone: true}})
	f.Cancel(f.now, cancelled.ID)
	orders := f.plan()
	test.Len(t, 0, orders.Starts)
	f.SetSite(&site.State{})
	starts := f.plan().Starts
	test.Len(t, 2, starts)
	for _, o := range starts {
		test.Eq(t, good.ID, o.Run.Task.Job)
	}
}

// Guards against a job that makes the choice of advice requests panic and is not named: all plans would panic.
func TestPlanner_QuarantineAfterAdviceRequest(t *testing.T) {
	f := newFixture(t, 1)
	f.agent("a")
	bad := f.advisedJob(1, step(1))
	bad.Queue.Advice = nil // the step still needs advice
	must.NotNil(t, f.planPanic())
	test.Eq(t, bad.ID, f.CurrentJob())
	f.Quarantine(f.now, bad.ID)
	f.add(testJob(2, step(1)), nil, false)
	test.Len(t, 1, f.plan().Starts)
}

// Guards against a plan that panics after it has chosen what to start and to ask the advice service: the starts were
// lost, and no step got advice any more, since the lost request counted as pending.
func TestPlanner_InterruptedPlanAfterRequest(t *testing.T) {
	f := newFixture(t, 1)
	f.agent("a")
	f.add(testJob(1, step(1)), nil, false)
	f.advisedJob(2, step(1))
	a := f.agents["a"]
	a.runs[job.Run{}] = &run{agent: a} // makes Plan panic when it computes speed limits
	must.NotNil(t, f.planPanic())
	delete(a.runs, job.Run{})
	orders := f.plan()
	test.Len(t, 1, orders.Starts)
	test.Len(t, 1, orders.AdviceRequests)
}

// A plan is interrupted by a panic, and an agent reports its runs before the next plan. The runs
// that the interrupted plan added there are dropped, so their starts must not be ordered as well
// as those that replace them.
func TestPlanner_InterruptedPlanAndReport(t *testing.T) {
	f := newFixture(t, 1)
	f.agent("a")
	good, bad := testJob(1, step(2)), testJob(2, step(3))
	f.add(good, nil, false)
	f.add(bad, nil, false)
	badStep := &f.jobs[bad.ID].open[0].steps[0]
	badStep.runsOnAgent = nil // makes Plan panic after the starts of the good job
	must.NotNil(t, f.planPanic())
	badStep.runsOnAgent = map[*agent]int{}
	must.Len(t, 2, f.starts)
	f.Quarantine(f.now, f.CurrentJob())
	f.agent("a")
	starts := f.plan().Starts
	must.Len(t, 2, starts)
	for _, s := range starts {
		test.MapContainsKey(t, f.agents["a"].runs, s.Run)
	}
}

// The live runs of a quarantined job are stopped, and their ends release the capacity.
func TestPlanner_QuarantineStopsRuns(t *testing.T) {
	f := newFixture(t, 1)
	f.agent("a")
	bad := testJob(2, step(3))
	f.add(bad, nil, false)
	starts := f.plan().Starts
	must.Len(t, 3, starts)
	f.Quarantine(f.now, bad.ID)
	test.Len(t, 3, f.plan().Stops)
	for _, o := range starts {
		f.end("a", o.Run, job.EndStopped)
	}
	test.Zero(t, f.agents["a"].requested.CPU)
	test.MapEmpty(t, f.commit())
}

// A valid job with extreme values must not make the planner panic or allocate more than a
// runner's capacity.
func FuzzPlanner_ValidJobs(f *testing.F) {
	for _, step := range []job.Step{
		{Tasks: 2, CPU: math.MaxInt64, MemoryMB: math.MaxInt64, GPUs: math.MaxInt64, Estimate: math.MaxInt64},
		{Tasks: 2, CPU: math.MaxInt64},
		{Tasks: 2, MemoryMB: math.MaxInt64},
		{Tasks: 2, CPU: math.MaxInt64, BestEffort: true},
		{Tasks: 3, CPU: 9000, MemoryMB: 1, Estimate: time.Second, Gang: true, MaxPerRunner: math.MaxInt},
		{Tasks: 1, Continuous: true, LatencyTarget: math.MaxInt64, MaxUnavailable: math.MaxInt, Image: "x"},
		{Tasks: 5, CPU: 100, BestEffort: true, Estimate: 1, Speculative: true, DataRack: "r1-a"},
	} {
		j := testJob(1, step, job.Step{Tasks: 1, Estimate: math.MaxInt64, After: []int{0}})
		seed, err := json.Marshal(j)
		must.NoError(f, err)
		f.Add(seed)
		j.Occurrences, j.Interval, j.Start = 5, math.MaxInt64, time.UnixMilli(math.MaxInt64)
		seed, err = json.Marshal(j)
		if err == nil {
			f.Add(seed)
		}
	}
	f.Fuzz(func(t *testing.T, data []byte) {
		j := &job.Job{ID: "00000000000000f1"}
		if json.Unmarshal(data, j) != nil || j.Validate() != nil {
			t.Skip("not a valid job")
		}
		j.Queue.Name, j.Queue.Service, j.Queue.Advice = "q", testService, nil
		x := newFixture(t, 1)
		x.agent("a")
		x.agent("b")
		x.add(testJob(1, step(4)), nil, false)
		x.add(j, nil, false)
		for range 3 {
			x.plan()
			for _, a := range x.agents {
				capacity := a.runner.Capacity
				if a.requested.CPU < 0 || a.requested.CPU > capacity.CPU || a.requested.MemoryMB < 0 || a.requested.MemoryMB > capacity.MemoryMB {
					t.Fatalf("runner with capacity %+v has requests of %+v", capacity, a.requested)
				}
			}
			x.now += time.Second
		}
	})
}

// Guards against the same while the agent may have runs that it does not list: the runs of the interrupted plan
// were kept as possibly alive, ordered by the next plan, and given up while they were alive.
func TestPlanner_InterruptedPlanAndUnlistedRuns(t *testing.T) {
	f := newFixture(t, 1)
	f.agent("a")
	good, bad := testJob(1, step(2)), testJob(2, step(3))
	f.add(good, nil, false)
	f.add(bad, nil, false)
	badStep := &f.jobs[bad.ID].open[0].steps[0]
	badStep.runsOnAgent = nil // makes Plan panic after the starts of the good job
	must.NotNil(t, f.planPanic())
	badStep.runsOnAgent = map[*agent]int{}
	must.Len(t, 2, f.starts)
	f.Quarantine(f.now, f.CurrentJob())
	f.agentWith("a", Snapshot{UnlistedFor: 5 * time.Second})
	must.Len(t, 2, f.plan().Starts)
	f.now += 5 * time.Second
	test.Len(t, 0, f.plan().Starts)
}

// Guards against a job whose progress can never be stored and that goes on, or cannot be cancelled: its runs
// are stopped, none is started, no end of it has an effect, and a cancel ends it.
func TestPlanner_SetAside(t *testing.T) {
	f := newFixture(t, 1)
	f.agent("a")
	bad, good := testJob(1, step(3), step(1, 0)), testJob(2, step(1))
	bad.Occurrences, bad.Interval, bad.Start = 5, time.Second, f.instant().Wall
	f.add(bad, nil, false)
	f.add(good, nil, false)
	starts := f.plan().Starts
	must.Len(t, 4, starts)
	changes := f.TakeChanges(10)
	must.True(t, f.SetAside(f.now, bad.ID))
	must.False(t, f.SetAside(f.now, bad.ID))
	for _, c := range changes {
		f.ChangeNotCommitted(c)
	}
	test.Eq(t, 1, f.SetAsideJobs())
	test.False(t, f.Tracks(bad.ID))
	test.Len(t, 3, f.plan().Stops)
	for _, s := range starts {
		f.end("a", s.Run, job.EndDone)
	}
	f.now += 5 * time.Second
	test.Len(t, 0, f.plan().Starts)
	test.Zero(t, f.agents["a"].requested.CPU)
	test.MapNotContainsKey(t, f.commit(), bad.ID)
	test.Eq(t, job.Running, f.state(bad))
	must.True(t, f.Cancel(f.now, bad.ID))
	f.commit()
	test.Eq(t, job.Cancelled, f.state(bad))
	test.Zero(t, f.SetAsideJobs())
}

// Guards against progress that grows with failures that do not matter any more: those of done tasks, and all but
// the last where attempts are not limited.
func TestPlanner_ProgressKeepsNoObsoleteFailures(t *testing.T) {
	f := newFixture(t, 1)
	f.agent("a")
	limited, unlimited := testJob(1, step(1), step(1, 0)), testJob(2, step(1))
	limited.Queue.MaxAttempts, unlimited.Queue.MaxAttempts = 3, 0
	f.add(limited, nil, false)
	f.add(unlimited, nil, false)
	last := int64(0)
	for range 5 {
		for _, s := range f.plan().Starts {
			reason := job.EndFailed
			if s.Run.Task.Job == limited.ID && s.Run.Number > f.firstRunNumber() {
				reason = job.EndDone
			}
			if s.Run.Task.Job == unlimited.ID {
				last = s.Run.Number
			}
			f.end("a", s.Run, reason)
		}
		f.now += time.Second
	}
	stored := map[string]*Progress{}
	for _, js := range f.jobs {
		stored[js.job.ID] = js.progress()
	}
	test.MapEmpty(t, stored[limited.ID].Open)
	test.Eq(t, map[string][]int64{"0.0": {last}}, stored[unlimited.ID].Open[0].Failures)
}
