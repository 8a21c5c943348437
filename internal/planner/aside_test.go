package planner

import (
	"encoding/json"
	"math"
	"testing"
	"time"

	"github.com/shoenig/test"
	"github.com/shoenig/test/must"

	"bamboowood/internal/job"
)

// trip plans and returns what it panicked with.
func (f *fixture) trip() (cause any) {
	defer func() { cause = recover() }()
	f.plan()
	return nil
}

// A job that trips the planner is named, and without it the planner goes on: starts of
// the plan that was cut short are not lost, and nothing is occupied for the job.
func TestPlanner_SetAside(t *testing.T) {
	f := newFixture(t, 1)
	f.agent("a")
	good := testJob(1, step(2))
	f.add(good, nil, false)
	bad := testJob(2, step(3))
	f.add(bad, nil, false)
	// A fault that only a plan meets, after the good job's starts.
	f.jobs[bad.ID].durations.tail = nil
	must.NotNil(t, f.trip())
	must.Eq(t, bad.ID, f.CurrentJob())
	f.Quarantine(f.now, f.CurrentJob())
	orders := f.plan()
	test.Len(t, 2, orders.Starts)
	for _, o := range orders.Starts {
		test.Eq(t, good.ID, o.Run.Task.Job)
	}
	test.Eq(t, 2*1000, f.agents["a"].used.CPU)
	test.True(t, f.HasJob(bad.ID))
	f.add(bad, nil, false)
	test.Len(t, 0, f.plan().Starts)
}

// What runs of a job that is set aside is stopped, and its end frees the room.
func TestPlanner_SetAsideStopsRuns(t *testing.T) {
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
	test.Zero(t, f.agents["a"].used.CPU)
	test.MapEmpty(t, f.commit())
}

// Whatever a caller may hand in, a valid job trips nothing, and no runner is given more
// than it has.
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
			t.Skip("no job")
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
				if a.used.CPU < 0 || a.used.CPU > capacity.CPU || a.used.MemoryMB < 0 || a.used.MemoryMB > capacity.MemoryMB {
					t.Fatalf("runner of %+v has %+v in use", capacity, a.used)
				}
			}
			x.now += time.Second
		}
	})
}
