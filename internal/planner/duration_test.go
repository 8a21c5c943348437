package planner

import (
	"math"
	"testing"
	"time"

	"github.com/shoenig/test"
	"github.com/shoenig/test/must"

	"bamboowood/internal/forecast"
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

// A run that was stopped before its start was confirmed, and ended as done all the same, must not teach the
// time since the leader's clock began as its duration.
func TestPattern_UnconfirmedRunDoesNotChangeEstimates(t *testing.T) {
	f := newFixture(t, 1)
	f.agent("a")
	j := testJob(1, step(1), step(1, 0))
	f.add(j, nil, false)
	starts := f.plan().Starts
	must.Len(t, 1, starts)
	f.stopRun(f.agents["a"].runs[starts[0].Run], StopStalled)
	f.end("a", starts[0].Run, job.EndDone)
	test.Zero(t, f.bias["q"])
	test.Zero(t, f.jobs[j.ID].durations.finishedTasks[0])
}

// learnFactor has the tasks of an image take factor times their estimates.
func (f *fixture) learnFactor(image string, factor float64) {
	for i := range 100 {
		duration := factor * float64(time.Second)
		if i%33 == 0 {
			duration *= 7
		}
		f.learned.Learn(forecast.Key{Queue: "q", Image: image}, time.Second, time.Duration(duration), 1)
	}
}

// Estimates of one image are too low and those of another too high. The job with the least time left until
// its true objective must come first; without learned values the order must be that of the estimates.
func TestPattern_RankFollowsLearnedDurations(t *testing.T) {
	type row struct {
		image    string
		estimate time.Duration
	}
	late := -4500 * time.Millisecond
	for _, c := range []struct {
		name           string
		stretch        float64
		first, second  row
		age            time.Duration
		factors        map[string]float64
		before, after  int // index of the job that ranks first
		firstRankAfter int
	}{
		{"nothing learned", 2, row{"x", time.Second}, row{"y", 2 * time.Second}, 0, nil, 0, 0, rankInTime},
		{"all learned alike", 2, row{"x", time.Second}, row{"y", 2 * time.Second}, 0, map[string]float64{"x": 1, "y": 1}, 0, 0, rankInTime},
		{"estimate too low by 1.9", 2, row{"x", 1500 * time.Millisecond}, row{"y", 2 * time.Second}, 0, map[string]float64{"x": 1.9, "y": 1}, 0, 1, rankInTime},
		{"estimate too high by 1.9", 2, row{"x", time.Second}, row{"y", 1500 * time.Millisecond}, 0, map[string]float64{"x": 1, "y": 1 / 1.9}, 0, 1, rankInTime},
		{"objective without stretch", 0.9, row{"x", 1500 * time.Millisecond}, row{"y", 2 * time.Second}, 0, map[string]float64{"x": 1.9, "y": 1}, 1, 0, rankInTime},
		{"late by its estimate alone", 4, row{"x", time.Second}, row{"y", time.Second}, late, map[string]float64{"x": 1.9}, 1, 0, rankInTime},
	} {
		for _, learned := range []bool{false, true} {
			f := newFixture(t, 1)
			f.opts.LearnedDurations = learned
			for image, factor := range c.factors {
				f.learnFactor(image, factor)
			}
			var steps [2]*stepState
			for i, r := range []row{c.first, c.second} {
				j := testJob(i, step(1))
				j.Queue.Stretch = c.stretch
				j.Steps[0].Image, j.Steps[0].Estimate = r.image, r.estimate
				f.add(j, nil, false)
				steps[i] = &f.jobs[j.ID].open[0].steps[0]
			}
			steps[0].occ.due += c.age
			a, b := f.rankStep(f.now, steps[0]), f.rankStep(f.now, steps[1])
			first, want := 0, c.before
			if a.compare(b) > 0 {
				first = 1
			}
			if learned {
				want = c.after
				test.Eq(t, c.firstRankAfter, a.rank, test.Sprint(c.name))
			}
			test.Eq(t, want, first, test.Sprint(c.name, learned, a.rank, a.slack, b.rank, b.slack))
		}
	}
}

// A runner that leaves must not keep a run that is in the tail of its image's durations, although its
// estimate has passed; and it must keep one that the learned durations show to end in time.
func TestPattern_DrainingRunnerAndLearnedTail(t *testing.T) {
	for _, c := range []struct {
		name             string
		factor           float64
		elapsed, left    time.Duration
		learned, outlast bool
	}{
		{"estimate only", 0.5, 0, 300 * time.Millisecond, false, true},
		{"shorter than estimated", 0.5, 0, 300 * time.Millisecond, true, false},
		{"in the tail", 1, 1500 * time.Millisecond, 2 * time.Second, true, true},
		{"in the tail, estimate only", 1, 1500 * time.Millisecond, 2 * time.Second, false, false},
	} {
		f := newFixture(t, 1)
		f.opts.LearnedDurations = c.learned
		f.learnFactor("x", c.factor)
		f.agent("a")
		j := testJob(1, step(1))
		j.Steps[0].Image = "x"
		f.add(j, nil, false)
		starts := f.plan().Starts
		must.Len(t, 1, starts)
		f.ActivityReported(f.now, "a", []job.Activity{{Run: starts[0].Run}})
		f.now += c.elapsed
		test.Eq(t, c.outlast, f.outlasts(f.now, f.agents["a"].runs[starts[0].Run], c.left), test.Sprint(c.name))
	}
}
