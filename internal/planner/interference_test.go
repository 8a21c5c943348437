package planner

import (
	"testing"
	"time"

	"github.com/shoenig/test"
	"github.com/shoenig/test/must"

	"bamboowood/internal/interference"
	"bamboowood/internal/job"
)

func bestEffortStep(image string) job.Step {
	return job.Step{Tasks: 1, CPU: 4000, MemoryMB: 100, Estimate: 10 * time.Second, BestEffort: true, Image: image}
}

func criticalStep(tasks int, image string) job.Step {
	return job.Step{
		Tasks: tasks, CPU: 4000, MemoryMB: 100, Continuous: true, Image: image,
		LatencyTarget: 100 * time.Millisecond, MaxPerRunner: 1,
	}
}

// report reports a run's figure: the CPU of a best-effort run in thousandths of a core, or
// the tail latency of a latency-critical run in milliseconds.
func (f *fixture) report(agent string, run job.Run, figure int64) {
	f.ActivityReported(f.now, agent, []job.Activity{{
		Run: run, Percent: 50, CPU: figure, TailLatency: time.Duration(figure) * time.Millisecond,
	}})
}

// reportLowLatency reports for one second that the tasks are well below their target.
func (f *fixture) reportLowLatency(tasks []Start) {
	for range 4 {
		for _, s := range tasks {
			f.report(s.Agent, s.Run, 25)
		}
		f.now += 250 * time.Millisecond
	}
}

// colocate starts a latency-critical job of two tasks and a best-effort task, and returns
// the starts of the colocated latency-critical task, its sibling on the other runner, and
// the best-effort task.
func (f *fixture) colocate(image string) (colocated, sibling, bestEffort Start) {
	f.agent("a")
	f.agent("b")
	f.add(testJob(1, criticalStep(2, "web")), nil, false)
	tasks := f.plan().Starts
	must.Len(f.t, 2, tasks)
	f.reportLowLatency(tasks)
	f.add(testJob(2, bestEffortStep(image)), nil, false)
	bestEffort = f.plan().Starts[0]
	if tasks[0].Agent != bestEffort.Agent {
		tasks[0], tasks[1] = tasks[1], tasks[0]
	}
	f.now += time.Second
	f.report(bestEffort.Agent, bestEffort.Run, 4000)
	f.now += time.Second
	return tasks[0], tasks[1], bestEffort
}

// trainPressure trains the interference model with the pressure of a best-effort image on a
// latency-critical image.
func (f *fixture) trainPressure(criticalImage, bestEffortImage string, pressure float64) {
	const share, idleHeadroom = 0.1, 3.0
	for at := f.now - 5*time.Second; at < f.now; at += 100 * time.Millisecond {
		f.interference.Observe(at, interference.Report{Image: criticalImage, Job: "earlier", Headroom: idleHeadroom, Steady: true})
		f.interference.Observe(at, interference.Report{
			Image: criticalImage, Job: "earlier", Headroom: idleHeadroom - pressure*share, Steady: true,
			Shares: map[string]float64{bestEffortImage: share},
		})
	}
}

func (f *fixture) orderedSpeedLimit(run job.Run) (percent int, ordered bool) {
	for _, p := range f.plan().Throttles {
		if p.Run == run {
			return p.Percent, true
		}
	}
	return 0, false
}

// A best-effort task pushes a colocated task over its latency target, which shows in the
// difference from the task's sibling. It must be throttled.
func TestPattern_BestEffortTaskSlowsLatencyCriticalTask(t *testing.T) {
	f := newFixture(t, 1)
	colocated, sibling, bestEffort := f.colocate("heavy")
	for range 20 {
		f.report(sibling.Agent, sibling.Run, 60)
		f.report(colocated.Agent, colocated.Run, 120)
		f.now += 100 * time.Millisecond
	}
	headroomLost := 100.0/60 - 100.0/120
	test.Between(t, 0.8*headroomLost, f.interference.Pressure("web", "heavy")/4, 1.3*headroomLost,
		test.Sprint("the task uses a quarter of the CPU"))
	percent, ordered := f.orderedSpeedLimit(bestEffort.Run)
	must.True(t, ordered)
	test.Between(t, 30, percent, 80)
}

// The load of a latency-critical job alone pushes its tasks over their target. A colocated
// best-effort task that does not interfere must not be throttled.
func TestPattern_LoadOfLatencyCriticalJobSwings(t *testing.T) {
	f := newFixture(t, 1)
	colocated, sibling, bestEffort := f.colocate("light")
	for range 20 {
		f.report(sibling.Agent, sibling.Run, 130)
		f.report(colocated.Agent, colocated.Run, 130)
		f.now += 50 * time.Millisecond
	}
	if percent, ordered := f.orderedSpeedLimit(bestEffort.Run); ordered {
		test.Eq(t, fullSpeed, percent)
	}
}

// A latency-critical task stays over its target. Colocated best-effort tasks must be
// throttled to zero, regardless of the interference model.
func TestPattern_LatencyCriticalTaskStaysOverTarget(t *testing.T) {
	f := newFixture(t, 1)
	colocated, _, bestEffort := f.colocate("light")
	begin := f.now
	for f.now-begin <= maxTimeOverTarget+2*throttleInterval {
		f.report(colocated.Agent, colocated.Run, 105)
		f.plan()
		f.now += 100 * time.Millisecond
	}
	test.Eq(t, 0, f.agents[bestEffort.Agent].runs[bestEffort.Run].speedLimit)
	f.report(colocated.Agent, colocated.Run, 50)
	f.now += throttleInterval
	percent, ordered := f.orderedSpeedLimit(bestEffort.Run)
	must.True(t, ordered)
	test.Greater(t, 50, percent)
}

// Best-effort tasks of an image with high pressure must be placed on the runner without
// latency-critical tasks.
func TestPattern_HeavyBestEffortTaskAvoidsLatencyCriticalTask(t *testing.T) {
	f := newFixture(t, 1)
	f.agent("a")
	f.add(testJob(1, criticalStep(1, "web")), nil, false)
	must.Len(t, 1, f.plan().Starts)
	f.agent("b")
	f.trainPressure("web", "heavy", 10)
	for n := range 3 {
		f.add(testJob(2+n, bestEffortStep("heavy")), nil, false)
	}
	for _, s := range f.plan().Starts {
		test.Eq(t, "b", s.Agent)
	}
}

// throttleToZero starts a latency-critical task with the given CPU request and a colocated
// best-effort job of which only one task fits. It throttles that task to zero permanently
// and returns its job and start.
func (f *fixture) throttleToZero(criticalCPU int64, tasks int) (*job.Job, Start) {
	f.agent("a")
	critical := criticalStep(1, "web")
	critical.CPU = criticalCPU
	f.add(testJob(1, critical), nil, false)
	f.reportLowLatency(f.plan().Starts)
	bestEffort := bestEffortStep("heavy")
	bestEffort.Tasks, bestEffort.CPU = tasks, 6_000
	j := testJob(2, bestEffort)
	f.add(j, nil, false)
	first := f.plan().Starts
	must.Len(f.t, 1, first, must.Sprint("only one best-effort task fits"))
	f.jobs[j.ID].acceptedAt -= time.Hour
	f.report("a", first[0].Run, 6_000)
	f.agents["a"].runs[first[0].Run].setSpeedLimit(f.now, 0)
	f.agents["a"].throttleCheckedAt = f.now + time.Hour // keeps the speed limit unchanged
	return j, first[0]
}

// A job's only run is throttled to zero, so the job makes no progress. Another of its tasks
// must be started once the starvation limit is exceeded.
func TestPattern_StarvedJobStartsAnotherTask(t *testing.T) {
	f := newFixture(t, 1)
	j, _ := f.throttleToZero(10_000, 2)
	f.now += defaultStarvationLimit
	must.Len(t, 0, f.plan().Starts)
	f.now += time.Millisecond
	second := f.plan().Starts
	must.Len(t, 1, second)
	test.Eq(t, j.ID, second[0].Run.Task.Job)
	f.now += 2 * defaultStarvationLimit
	must.Len(t, 0, f.plan().Starts, must.Sprint("the job has a working run again"))
}

// While the fleet is mostly idle, a job that has exceeded the starvation limit before must have
// a working run all the time, however late the job is.
func TestPattern_LateJobKeepsWorkingWhileFleetIsIdle(t *testing.T) {
	f := newFixture(t, 1)
	j, _ := f.throttleToZero(4_000, 4)
	f.now += starvationLimitIfIdle + time.Millisecond
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

// A best-effort task must not start where it would be throttled to zero. It starts once the
// load of the latency-critical task has fallen.
func TestPattern_BestEffortTaskWaitsForLoadToFall(t *testing.T) {
	f := newFixture(t, 1)
	f.agent("a")
	f.add(testJob(1, criticalStep(1, "web")), nil, false)
	tasks := f.plan().Starts
	must.Len(t, 1, tasks)
	for range 8 {
		f.report("a", tasks[0].Run, 80)
		f.now += 250 * time.Millisecond
	}
	f.trainPressure("web", "heavy", 8)
	f.add(testJob(2, bestEffortStep("heavy")), nil, false)
	must.Len(t, 0, f.plan().Starts)
	for range 4 {
		f.report("a", tasks[0].Run, 20)
		f.now += 200 * time.Millisecond
	}
	must.Len(t, 1, f.plan().Starts)
}

// A best-effort task that is throttled to zero must move when another runner has capacity.
func TestPattern_TaskAtZeroSpeedMoves(t *testing.T) {
	f := newFixture(t, 1)
	_, first := f.throttleToZero(10_000, 1)
	f.now += zeroSpeedTimeout + time.Millisecond
	must.Len(t, 0, f.plan().Stops, must.Sprint("no other runner has capacity"))
	f.agent("b")
	stops := f.plan().Stops
	must.Len(t, 1, stops)
	test.Eq(t, first.Run, stops[0].Run)
	f.end("a", first.Run, job.EndStopped)
	again := f.plan().Starts
	must.Len(t, 1, again)
	test.Eq(t, "b", again[0].Agent)
}

// When the latency-critical task leaves, the best-effort tasks that were throttled for it
// must return to full speed.
func TestPattern_LatencyCriticalTaskLeaves(t *testing.T) {
	f := newFixture(t, 1)
	_, first := f.throttleToZero(4_000, 1)
	f.agents["a"].throttleCheckedAt = 0
	f.Cancel(f.now, testJob(1).ID)
	for _, s := range f.plan().Stops {
		f.end("a", s.Run, job.EndStopped)
	}
	f.now += throttleInterval
	throttles := f.plan().Throttles
	must.Len(t, 1, throttles)
	test.Eq(t, Throttle{Agent: "a", Run: first.Run, Percent: fullSpeed, Reason: ThrottleChanged}, throttles[0])
}

// Latency-critical tasks must be packed onto few runners, so that best-effort tasks find
// runners where they cause no interference.
func TestPattern_RunnersLeftForBestEffortTasks(t *testing.T) {
	f := newFixture(t, 1)
	for _, id := range []string{"a", "b", "c"} {
		f.agent(id)
	}
	first := criticalStep(1, "web")
	first.RequiredLabel = "r1-b"
	f.add(testJob(0, first), nil, false)
	must.Len(t, 1, f.plan().Starts)
	for n := range 2 {
		s := criticalStep(1, "web")
		s.MaxPerRunner = 0
		f.add(testJob(1+n, s), nil, false)
	}
	for _, s := range f.plan().Starts {
		test.Eq(t, "b", s.Agent)
	}
	f.add(testJob(9, bestEffortStep("heavy")), nil, false)
	starts := f.plan().Starts
	must.Len(t, 1, starts)
	test.NotEq(t, "b", starts[0].Agent)
}

// The load of a latency-critical job rises. Guards against a best-effort task that is started where there
// is headroom at the moment, and throttled while it runs: it must wait, or start elsewhere.
func TestPattern_LoadRisesWhileBestEffortTaskRuns(t *testing.T) {
	f := newFixture(t, 1)
	f.agent("a")
	f.add(testJob(1, criticalStep(1, "web")), nil, false)
	critical := f.plan().Starts
	must.Len(t, 1, critical)
	f.trainPressure("web", "heavy", 1)
	for tail := int64(26); tail < 50; tail += 3 {
		f.report("a", critical[0].Run, tail)
		f.now += 250 * time.Millisecond
	}
	step := f.jobs[critical[0].Run.Task.Job].open[0].steps
	must.Greater(t, headroomGoal+0.25, f.headroom(f.now, &step[0]), must.Sprint("there is headroom now"))
	f.add(testJob(2, bestEffortStep("heavy")), nil, false)
	must.Len(t, 0, f.plan().Starts)
	f.agent("b")
	f.now += bestEffortRetryDelay
	starts := f.plan().Starts
	must.Len(t, 1, starts)
	test.Eq(t, "b", starts[0].Agent)
}

// Latency-critical images suffer from the same or from different best-effort images. Guards against mixing
// images on one runner so that hardly any best-effort image can run there.
func TestPattern_LatencyCriticalImagesCompeteForDifferentResources(t *testing.T) {
	f := newFixture(t, 1)
	f.agent("a")
	f.agent("b")
	for _, image := range []string{"cache-1", "cache-2"} {
		f.trainPressure(image, "scan", 10)
		f.trainPressure(image, "solve", 0.5)
	}
	f.trainPressure("cpu", "scan", 0.5)
	f.trainPressure("cpu", "solve", 10)
	f.add(testJob(1, criticalStep(1, "cpu")), nil, false)
	f.add(testJob(2, func() job.Step { s := criticalStep(1, "cache-1"); s.CPU = 14_000; return s }()), nil, false)
	agents := map[string]string{}
	for _, s := range f.plan().Starts {
		agents[s.Step.Image] = s.Agent
	}
	must.NotEq(t, agents["cpu"], agents["cache-1"])
	f.add(testJob(3, func() job.Step { s := criticalStep(1, "cache-2"); s.CPU = 1_000; return s }()), nil, false)
	starts := f.plan().Starts
	must.Len(t, 1, starts)
	test.Eq(t, agents["cache-1"], starts[0].Agent)
}
