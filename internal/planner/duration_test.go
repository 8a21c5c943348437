package planner

import (
	"math"
	"testing"
	"time"

	"github.com/shoenig/test"
	"github.com/shoenig/test/must"

	"bamboowood/internal/job"
)

// finishAll lets all runs of a job that are ordered take the given time.
func (f *fixture) finishAll(starts []Start, took time.Duration) {
	for _, s := range starts {
		f.ActivityReported(f.now, s.Agent, []job.Activity{{Run: s.Run}})
	}
	f.now += took
	for _, s := range starts {
		f.end(s.Agent, s.Run, job.EndDone)
	}
}

// A job's estimates are a quarter of what its tasks take. Once a step is done, its
// objective follows what the tasks took: the job is not given up for being late by an
// objective that was never real.
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
	test.Between(t, 3500*time.Millisecond, js.durations.expected(j, 0, 0), 4*time.Second)
	f.now += 500 * time.Millisecond
	test.Eq(t, rankInTime, f.urgency(f.now, &js.open[0].steps[1]).rank, test.Sprint("late by its estimates alone"))
}

// A queue's jobs all take longer than their callers say; later ones are expected to.
func TestPattern_QueueUnderestimates(t *testing.T) {
	f := newFixture(t, 1)
	f.agent("a")
	for n := range 30 {
		f.add(testJob(n, step(1)), nil, false)
		f.finishAll(f.plan().Starts, 2*time.Second)
	}
	test.InDelta(t, math.Log(2), f.bias["q"], 0.1)
	f.add(testJob(99, step(1)), nil, false)
	test.Between(t, 1800*time.Millisecond, f.jobs[testJob(99).ID].durations.tail[0], 2100*time.Millisecond)
}

// What a task that was slowed down took says nothing of others.
func TestPattern_PacedRunTellsNoLength(t *testing.T) {
	f := newFixture(t, 1)
	f.agent("a")
	j := testJob(1, filler("heavy"), step(1, 0))
	f.add(j, nil, false)
	starts := f.plan().Starts
	must.Len(t, 1, starts)
	before := f.jobs[j.ID].durations.objective
	f.agents["a"].runs[starts[0].Run].setPace(f.now, 20)
	f.finishAll(starts, time.Minute)
	test.Eq(t, before, f.jobs[j.ID].durations.objective)
}
