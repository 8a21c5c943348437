package planner

import (
	"testing"
	"time"

	"github.com/shoenig/test"
	"github.com/shoenig/test/must"

	"bamboowood/internal/interference"
	"bamboowood/internal/job"
)

func filler(image string) job.Step {
	return job.Step{Tasks: 1, CPU: 4000, MemoryMB: 100, Estimate: 10 * time.Second, BestEffort: true, Image: image}
}

func serving(tasks int, image string) job.Step {
	return job.Step{
		Tasks: tasks, CPU: 4000, MemoryMB: 100, Continuous: true, Image: image,
		LatencyTarget: 100 * time.Millisecond, MaxPerRunner: 1,
	}
}

// report sends an agent's figures: a filler's CPU, a serving task's tail latency.
func (f *fixture) report(agent string, run job.Run, figure int64) {
	f.ActivityReported(f.now, agent, []job.Activity{{
		Run: run, Percent: 50, CPU: figure, TailLatency: time.Duration(figure) * time.Millisecond,
	}})
}

// calm reports for a second that serving tasks are well below their target.
func (f *fixture) calm(tasks []Start) {
	for range 4 {
		for _, s := range tasks {
			f.report(s.Agent, s.Run, 25)
		}
		f.now += 250 * time.Millisecond
	}
}

// beside starts a serving job of two tasks and a filler, and returns the runs:
// the serving task beside the filler, its undisturbed sibling, and the filler.
func (f *fixture) beside(image string) (disturbed, sibling, fill Start) {
	f.agent("a")
	f.agent("b")
	f.add(testJob(1, serving(2, "web")), nil, false)
	tasks := f.plan().Starts
	must.Len(f.t, 2, tasks)
	f.calm(tasks)
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

// learned teaches the planner what fillers of an image cost serving tasks of another.
func (f *fixture) learned(serving, filler string, pressure float64) {
	const share, quiet = 0.1, 3.0
	for at := f.now - 5*time.Second; at < f.now; at += 100 * time.Millisecond {
		f.interference.Observe(at, interference.Report{Image: serving, Job: "earlier", Headroom: quiet, Steady: true})
		f.interference.Observe(at, interference.Report{
			Image: serving, Job: "earlier", Headroom: quiet - pressure*share, Steady: true,
			Shares: map[string]float64{filler: share},
		})
	}
}

func (f *fixture) paceOf(run job.Run) (percent int, ordered bool) {
	for _, p := range f.plan().Throttles {
		if p.Run == run {
			return p.Percent, true
		}
	}
	return 0, false
}

// A filler that takes the task beside it over its target, measured against an
// undisturbed sibling, is slowed down.
func TestPattern_FillerPressesOnServingTask(t *testing.T) {
	f := newFixture(t, 1)
	disturbed, sibling, fill := f.beside("heavy")
	for range 20 {
		f.report(sibling.Agent, sibling.Run, 60)
		f.report(disturbed.Agent, disturbed.Run, 120)
		f.now += 100 * time.Millisecond
	}
	headroomLost := 100.0/60 - 100.0/120
	test.Between(t, 0.8*headroomLost, f.interference.Pressure("web", "heavy")/4, 1.3*headroomLost,
		test.Sprint("at a quarter of the CPU"))
	percent, ordered := f.paceOf(fill.Run)
	must.True(t, ordered)
	test.Between(t, 30, percent, 80)
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
	f.learned("web", "heavy", 10)
	for n := range 3 {
		f.add(testJob(2+n, filler("heavy")), nil, false)
	}
	for _, s := range f.plan().Starts {
		test.Eq(t, "b", s.Agent)
	}
}

// paced starts a serving task that asks for the given CPU and a job of fillers beside
// it, of which one fits, and returns that one, paced to a standstill for good.
func (f *fixture) paced(servingCPU int64, tasks int) (*job.Job, Start) {
	f.agent("a")
	serves := serving(1, "web")
	serves.CPU = servingCPU
	f.add(testJob(1, serves), nil, false)
	f.calm(f.plan().Starts)
	fills := filler("heavy")
	fills.Tasks, fills.CPU = tasks, 6_000
	j := testJob(2, fills)
	f.add(j, nil, false)
	first := f.plan().Starts
	must.Len(f.t, 1, first, must.Sprint("the second does not fit beside the first"))
	f.jobs[j.ID].accepted -= time.Hour
	f.report("a", first[0].Run, 6_000)
	f.agents["a"].runs[first[0].Run].setPace(f.now, 0)
	f.agents["a"].pacedAt = f.now + time.Hour // keeps the pace as it is
	return j, first[0]
}

// A job whose only run is paced to a standstill has another of its tasks started
// after a while, elsewhere.
func TestPattern_JobOfPacedFillerStandsStill(t *testing.T) {
	f := newFixture(t, 1)
	j, _ := f.paced(10_000, 2)
	f.now += starvedAfter
	must.Len(t, 0, f.plan().Starts)
	f.now += time.Millisecond
	second := f.plan().Starts
	must.Len(t, 1, second)
	test.Eq(t, j.ID, second[0].Run.Task.Job)
	f.now += 2 * starvedAfter
	must.Len(t, 0, f.plan().Starts, must.Sprint("it works again"))
}

// While most of the fleet is free, a job that has stood still too long before has a
// task at work all the time, however late it is.
func TestPattern_LateJobKeepsWorkingWhileFleetIsFree(t *testing.T) {
	f := newFixture(t, 1)
	j, _ := f.paced(4_000, 4)
	f.now += starvedAfterIfFree + time.Millisecond
	next := f.plan().Starts
	for range 2 {
		must.Len(t, 1, next)
		test.Eq(t, j.ID, next[0].Run.Task.Job)
		f.now += 300 * time.Millisecond
		f.end("a", next[0].Run, job.EndDone)
		next = f.plan().Starts
	}
	must.Len(t, 1, next)
}

// A filler waits rather than starting where it would be paced to a standstill, and
// starts once the serving load has fallen.
func TestPattern_FillerWaitsForServingLoad(t *testing.T) {
	f := newFixture(t, 1)
	f.agent("a")
	f.add(testJob(1, serving(1, "web")), nil, false)
	tasks := f.plan().Starts
	must.Len(t, 1, tasks)
	for range 8 {
		f.report("a", tasks[0].Run, 80)
		f.now += 250 * time.Millisecond
	}
	f.learned("web", "heavy", 8)
	f.add(testJob(2, filler("heavy")), nil, false)
	must.Len(t, 0, f.plan().Starts)
	for range 4 {
		f.report("a", tasks[0].Run, 20)
		f.now += 200 * time.Millisecond
	}
	must.Len(t, 1, f.plan().Starts)
}

// A filler that is paced to a standstill gives its place up when another runner has
// room.
func TestPattern_StandingFillerMoves(t *testing.T) {
	f := newFixture(t, 1)
	_, first := f.paced(10_000, 1)
	f.now += standstillTime + time.Millisecond
	must.Len(t, 0, f.plan().Stops, must.Sprint("there is nowhere else"))
	f.agent("b")
	stops := f.plan().Stops
	must.Len(t, 1, stops)
	test.Eq(t, first.Run, stops[0].Run)
	f.end("a", first.Run, job.EndStopped)
	again := f.plan().Starts
	must.Len(t, 1, again)
	test.Eq(t, "b", again[0].Agent)
}

// When the serving task is gone, the fillers that were slowed down for it are let go.
func TestPattern_ServingTaskLeaves(t *testing.T) {
	f := newFixture(t, 1)
	_, first := f.paced(4_000, 1)
	f.agents["a"].pacedAt = 0
	f.Cancel(f.now, testJob(1).ID)
	for _, s := range f.plan().Stops {
		f.end("a", s.Run, job.EndStopped)
	}
	f.now += paceInterval
	paces := f.plan().Throttles
	must.Len(t, 1, paces)
	test.Eq(t, Throttle{Agent: "a", Run: first.Run, Percent: fullPace}, paces[0])
}

// Serving tasks are put together, so that runners are left where fillers disturb
// nobody.
func TestPattern_RunnersLeftForFillers(t *testing.T) {
	f := newFixture(t, 1)
	for _, id := range []string{"a", "b", "c"} {
		f.agent(id)
	}
	first := serving(1, "web")
	first.RequiredLabel = "r1-b"
	f.add(testJob(0, first), nil, false)
	must.Len(t, 1, f.plan().Starts)
	for n := range 2 {
		s := serving(1, "web")
		s.MaxPerRunner = 0
		f.add(testJob(1+n, s), nil, false)
	}
	for _, s := range f.plan().Starts {
		test.Eq(t, "b", s.Agent)
	}
	f.add(testJob(9, filler("heavy")), nil, false)
	fills := f.plan().Starts
	must.Len(t, 1, fills)
	test.NotEq(t, "b", fills[0].Agent)
}
