package planner

import (
	"testing"
	"time"

	"github.com/shoenig/test"
	"github.com/shoenig/test/must"

	"bamboowood/internal/job"
)

func filler(image string) job.Step {
	return job.Step{Tasks: 1, CPU: 4000, MemoryMB: 100, Estimate: 10 * time.Second, Filler: true, Image: image}
}

func serving(tasks int, image string) job.Step {
	return job.Step{
		Tasks: tasks, CPU: 4000, MemoryMB: 100, Continuous: true, Image: image,
		LatencyTarget: 100 * time.Millisecond, MaxPerRunner: 1,
	}
}

// report sends an agent's figures: a filler's CPU, a serving task's tail latency.
func (f *fixture) report(agent string, run job.Run, figure int64) {
	f.Reported(f.now, agent, []job.Activity{{
		Run: run, Percent: 50, CPU: figure, TailLatency: time.Duration(figure) * time.Millisecond,
	}})
}

// beside starts a serving job of two tasks and a filler, and returns the runs:
// the serving task beside the filler, its undisturbed sibling, and the filler.
func (f *fixture) beside(image string) (disturbed, sibling, fill Start) {
	f.agent("a")
	f.agent("b")
	f.add(testJob(1, serving(2, "web")), nil, false)
	tasks := f.plan().Starts
	must.Len(f.t, 2, tasks)
	f.add(testJob(2, filler(image)), nil, false)
	fill = f.plan().Starts[0]
	if tasks[0].Agent != fill.Agent {
		tasks[0], tasks[1] = tasks[1], tasks[0]
	}
	f.now += time.Second
	f.report(fill.Agent, fill.Run, 4000)
	f.now += time.Second
	return tasks[0], tasks[1], fill
}

func (f *fixture) paceOf(run job.Run) (percent int, ordered bool) {
	for _, p := range f.plan().Paces {
		if p.Run == run {
			return p.Percent, true
		}
	}
	return 0, false
}

// A filler that doubles the tail latency of the task beside it, measured against
// an undisturbed sibling, is slowed down before the target is missed.
func TestPattern_FillerPressesOnServingTask(t *testing.T) {
	f := newFixture(t, 1)
	disturbed, sibling, fill := f.beside("heavy")
	for range 20 {
		f.report(sibling.Agent, sibling.Run, 60)
		f.report(disturbed.Agent, disturbed.Run, 120)
		f.now += 100 * time.Millisecond
	}
	test.Between(t, 3, f.interference.of("web", "heavy"), 5, test.Sprint("twice the tail at a quarter of the CPU"))
	percent, ordered := f.paceOf(fill.Run)
	must.True(t, ordered)
	test.Between(t, 40, percent, 80)
}

// A filler that does not disturb is not slowed down, however high the load of the
// serving job is.
func TestPattern_LoadOfServingJobSwings(t *testing.T) {
	f := newFixture(t, 1)
	disturbed, sibling, fill := f.beside("light")
	for range 20 {
		f.report(sibling.Agent, sibling.Run, 130)
		f.report(disturbed.Agent, disturbed.Run, 130)
		f.now += 50 * time.Millisecond
	}
	if percent, ordered := f.paceOf(fill.Run); ordered {
		test.Eq(t, fullPace, percent)
	}
}

// A serving task over its target for long stops the fillers beside it, whatever
// has been learned of them.
func TestPattern_ServingTaskOverTargetForLong(t *testing.T) {
	f := newFixture(t, 1)
	disturbed, _, fill := f.beside("light")
	began := f.now
	for f.now-began <= overTime+2*paceInterval {
		f.report(disturbed.Agent, disturbed.Run, 105)
		f.plan()
		f.now += 100 * time.Millisecond
	}
	test.Eq(t, 0, f.agents[fill.Agent].runs[fill.Run].pace)
	f.report(disturbed.Agent, disturbed.Run, 50)
	f.now += paceInterval
	percent, ordered := f.paceOf(fill.Run)
	must.True(t, ordered)
	test.Greater(t, 50, percent)
}

// Fillers of an image that presses hard go where no serving task suffers.
func TestPattern_HeavyFillerGoesElsewhere(t *testing.T) {
	f := newFixture(t, 1)
	f.agent("a")
	f.add(testJob(1, serving(1, "web")), nil, false)
	must.Len(t, 1, f.plan().Starts)
	f.agent("b")
	f.interference.pressure[imagePair{"web", "heavy"}] = 10
	for n := range 3 {
		f.add(testJob(2+n, filler("heavy")), nil, false)
	}
	for _, s := range f.plan().Starts {
		test.Eq(t, "b", s.Agent)
	}
}

// A job whose only run is paced to a standstill has another of its tasks started
// after a while, elsewhere.
func TestPattern_JobOfPacedFillerStandsStill(t *testing.T) {
	f := newFixture(t, 1)
	f.agent("a")
	f.add(testJob(1, serving(1, "web")), nil, false)
	must.Len(t, 1, f.plan().Starts)
	fills := filler("heavy")
	fills.Tasks, fills.CPU = 2, 10_000
	j := testJob(2, fills)
	f.add(j, nil, false)
	first := f.plan().Starts
	must.Len(t, 1, first, must.Sprint("the second does not fit beside the first"))
	f.jobs[j.ID].accepted -= time.Hour
	f.report("a", first[0].Run, 10_000)
	f.agents["a"].runs[first[0].Run].setPace(f.now, 0)
	f.agents["a"].pacedAt = f.now + time.Hour // keeps the pace as it is
	f.now += starvedAfter
	must.Len(t, 0, f.plan().Starts)
	f.now += time.Millisecond
	second := f.plan().Starts
	must.Len(t, 1, second)
	test.Eq(t, j.ID, second[0].Run.Task.Job)
	f.now += 2 * starvedAfter
	must.Len(t, 0, f.plan().Starts, must.Sprint("it works again"))
}
