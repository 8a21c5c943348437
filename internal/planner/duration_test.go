package planner

import (
	"math"
	"testing"
	"time"

	"github.com/shoenig/test"
	"github.com/shoenig/test/must"

	"bamboowood/internal/job"
)

// finishAll confirms the given starts and ends their runs as done after the duration.
func (f *fixture) finishAll(starts []Start, duration time.Duration) {
	for _, s := range starts {
		f.ActivityReported(f.now, s.Agent, []job.Activity{{Run: s.Run}})
	}
	f.now += duration
	for _, s := range starts {
		f.end(s.Agent, s.Run, job.EndDone)
	}
}

// A job's tasks take four times their estimates, so its objective is far too short. Once a
// step is done, the objective must follow the measured durations: the job must not rank as
// late because of its estimates alone.
func TestPattern_EstimatesFarOff(t *testing.T) {
	f := newFixture(t, 1)
	f.agent("a")
	j := testJob(1, step(4), step(1, 0))
	f.add(j, nil, false)
	first := f.plan().Starts
	must.Len(t, 4, first)
	js := f.jobs[j.ID]
	before := js.durations.objective
	f.finishAll(first, 4*time.Second)
	test.Greater(t, before+3*time.Second, js.durations.objective)
	test.Between(t, 3500*time.Millisecond, js.durations.expectedTaskDuration(j, 0, 0), 4*time.Second)
	f.now += 500 * time.Millisecond
	test.Eq(t, rankInTime, f.rankStep(f.now, &js.open[0].steps[1]).rank, test.Sprint("late by its estimates alone"))
}

// All jobs of a queue take longer than estimated. The estimates of later jobs of the queue
// must be corrected accordingly.
func TestPattern_QueueUnderestimates(t *testing.T) {
	f := newFixture(t, 1)
	f.agent("a")
	for n := range 30 {
		f.add(testJob(n, step(1)), nil, false)
		f.finishAll(f.plan().Starts, 2*time.Second)
	}
	test.InDelta(t, math.Log(2), f.bias["q"], 0.1)
	f.add(testJob(99, step(1)), nil, false)
	test.Between(t, 1800*time.Millisecond, f.jobs[testJob(99).ID].durations.criticalPath[0], 2100*time.Millisecond)
}

// The duration of a run that was throttled must not change the expected durations of
// other tasks.
func TestPattern_ThrottledRunDoesNotChangeEstimates(t *testing.T) {
	f := newFixture(t, 1)
	f.agent("a")
	j := testJob(1, bestEffortStep("heavy"), step(1, 0))
	f.add(j, nil, false)
	starts := f.plan().Starts
	must.Len(t, 1, starts)
	before := f.jobs[j.ID].durations.objective
	f.agents["a"].runs[starts[0].Run].setSpeedLimit(f.now, 20)
	f.finishAll(starts, time.Minute)
	test.Eq(t, before, f.jobs[j.ID].durations.objective)
}
