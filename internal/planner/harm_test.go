package planner

import (
	"fmt"
	"math"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/shoenig/test"
	"github.com/shoenig/test/must"

	"bamboowood/internal/job"
)

// harmLimit is how long a task may be over its target because of best-effort tasks (RULES, HARM).
const harmLimit = 4 * time.Second

const (
	simTick     = 100 * time.Millisecond
	simReport   = 300 * time.Millisecond
	simOrderLag = 200 * time.Millisecond
	// siblingSpeed is the speed of the sibling's runner.
	siblingSpeed = 1.5
)

// simRun is a run on the simulated runner.
type simRun struct {
	start    Start
	progress float64
	speed    int
	// nextSpeed takes effect at speedAt.
	nextSpeed int
	speedAt   time.Duration
	// cpu is the CPU in use in the last half second.
	cpu []float64
}

// harmSim plays a latency-critical task beside short best-effort tasks on runner a, and its sibling
// alone on the faster runner b. A report holds the mean over the last half second with a random error,
// rounded to milliseconds.
type harmSim struct {
	*fixture
	rng               *rand.Rand
	critical, sibling Start
	runs              map[job.Run]*simRun
	// pressures are by best-effort image; idle is the headroom without best-effort tasks.
	pressures map[string]float64
	idle      func(t time.Duration) float64
	tails     []float64
	jobs      int
	reportAt  time.Duration
	// over is when the true tail latency last exceeded the target while best-effort tasks work.
	over, longest time.Duration
}

func newHarmSim(t *testing.T, seed uint64) *harmSim {
	s := &harmSim{fixture: newFixture(t, 1), rng: rand.New(rand.NewPCG(seed, 34)), runs: map[job.Run]*simRun{}, pressures: map[string]float64{}}
	base, swing, phase := 1.6+0.8*s.rng.Float64(), 0.3+0.5*s.rng.Float64(), 2*math.Pi*s.rng.Float64()
	begin := s.now
	s.idle = func(now time.Duration) float64 {
		return base + swing*math.Sin(phase+2*math.Pi*(now-begin).Seconds()/20)
	}
	for i := range 9 {
		s.pressures[fmt.Sprint("image", i)] = 0.5 + 2.5*s.rng.Float64()
	}
	s.agent("a")
	s.agent("b")
	s.add(testJob(1, criticalStep(2, "web")), nil, false)
	starts := s.plan().Starts
	must.Len(t, 2, starts)
	s.critical, s.sibling = starts[0], starts[1]
	if s.critical.Agent != "a" {
		s.critical, s.sibling = s.sibling, s.critical
	}
	return s
}

// headroom is the true headroom of the latency-critical task; working is set if best-effort tasks
// take some of it.
func (s *harmSim) headroom() (headroom float64, working bool) {
	headroom = s.idle(s.now)
	for _, r := range s.runs {
		image := r.start.Step.Image
		drift := 1 + 0.5*math.Sin(2*math.Pi*(s.now.Seconds()/7+s.pressures[image]))
		cost := s.pressures[image] * drift * float64(r.start.Step.CPU) / 16_000 * float64(r.speed) / fullSpeed
		headroom, working = headroom-cost, working || cost > 0
	}
	return headroom, working
}

func (s *harmSim) step() {
	headroom, working := s.headroom()
	s.tails = append(s.tails, 1/max(headroom, 0.1))
	s.tails = s.tails[max(0, len(s.tails)-int(500*time.Millisecond/simTick)):]
	switch {
	case headroom >= 1 || s.idle(s.now) < 1 || !working:
		s.over = 0
	case s.over == 0:
		s.over = s.now
	default:
		s.longest = max(s.longest, s.now-s.over)
	}
	for id, r := range s.runs {
		if r.speedAt != 0 && s.now >= r.speedAt {
			r.speed, r.speedAt = r.nextSpeed, 0
		}
		r.cpu = append(r.cpu, float64(r.start.Step.CPU)*float64(r.speed)/fullSpeed)
		r.cpu = r.cpu[max(0, len(r.cpu)-int(500*time.Millisecond/simTick)):]
		r.progress += simTick.Seconds() / r.start.Step.Estimate.Seconds() * float64(r.speed) / fullSpeed
		if r.progress >= 1 {
			delete(s.runs, id)
			s.end("a", id, job.EndDone)
		}
	}
	if s.now >= s.reportAt {
		s.reportAll()
		s.reportAt = s.now + simReport + time.Duration(s.rng.Int64N(int64(simReport*2/3)))
	}
	orders := s.plan()
	for _, o := range orders.Throttles {
		if r := s.runs[o.Run]; r != nil {
			r.nextSpeed, r.speedAt = o.Percent, s.now+simOrderLag
		}
	}
	for _, o := range orders.Stops {
		if s.runs[o.Run] != nil {
			delete(s.runs, o.Run)
			s.end("a", o.Run, job.EndStopped)
		}
	}
	for _, o := range orders.Starts {
		s.runs[o.Run] = &simRun{start: o, speed: o.Speed}
		// Agents report a confirmed start at once.
		s.ActivityReported(s.now, "a", []job.Activity{{Run: o.Run}})
	}
	if s.rng.Float64() < 0.3 {
		s.jobs++
		be := bestEffortStep(fmt.Sprint("image", s.rng.IntN(9)))
		be.RequiredLabel = "r1-a"
		be.CPU, be.Estimate = 1_000+100*s.rng.Int64N(14), time.Second+time.Duration(s.rng.Int64N(int64(2*time.Second)))
		s.add(testJob(100+s.jobs, be), nil, false)
	}
	s.now += simTick
}

func mean(values []float64) float64 {
	sum := 0.0
	for _, v := range values {
		sum += v
	}
	return sum / float64(max(len(values), 1))
}

// measure returns a report of a latency-critical task; tail is a share of its target.
func (s *harmSim) measure(task Start, tail float64) job.Activity {
	ms := math.Round(float64(task.Step.LatencyTarget.Milliseconds()) * tail * (1 + 0.04*s.rng.NormFloat64()))
	return job.Activity{Run: task.Run, Percent: 100, TailLatency: time.Duration(ms) * time.Millisecond}
}

func (s *harmSim) reportAll() {
	s.ActivityReported(s.now, "b", []job.Activity{s.measure(s.sibling, 1/(siblingSpeed*s.idle(s.now)))})
	active := []job.Activity{s.measure(s.critical, mean(s.tails))}
	for id, r := range s.runs {
		active = append(active, job.Activity{Run: id, Percent: int(100 * r.progress), CPU: int64(mean(r.cpu))})
	}
	s.ActivityReported(s.now, "a", active)
}

// Guards against HARM on a calm day: best-effort tasks kept a latency-critical task slightly over its
// target for more than 4 s, since single reports at or below the target reset the time over it.
func TestPlanner_TaskSlightlyOverTargetForLong(t *testing.T) {
	for seed := range uint64(40) {
		s := newHarmSim(t, seed)
		for range int(90 * time.Second / simTick) {
			s.step()
		}
		test.Less(t, harmLimit, s.longest, test.Sprintf("seed %d", seed))
	}
}

// throttledToZero returns a fixture in which a task has stayed over its target, so that the best-effort
// run beside it has been ordered to speed 0.
func throttledToZero(t *testing.T) (f *fixture, colocated, bestEffort Start) {
	f = newFixture(t, 1)
	colocated, _, bestEffort = f.colocate("light")
	f.overTargetFor(colocated, bestEffort, maxTimeOverTarget+time.Second, 0)
	must.Eq(t, 0, f.agents[bestEffort.Agent].runs[bestEffort.Run].speedLimit)
	return f, colocated, bestEffort
}

// overTargetFor reports for a while that the task is over its target and the CPU that the best-effort
// run uses, and returns the speed limits that were ordered for that run.
func (f *fixture) overTargetFor(colocated, bestEffort Start, d time.Duration, cpu int64) (ordered []int) {
	for end := f.now + d; f.now < end; f.now += 100 * time.Millisecond {
		f.report(colocated.Agent, colocated.Run, 120)
		f.report(bestEffort.Agent, bestEffort.Run, cpu)
		if percent, ok := f.orderedSpeedLimit(bestEffort.Run); ok {
			ordered = append(ordered, percent)
		}
	}
	return ordered
}

// Guards against HARM: one rough report at the target, between reports over it, took the throttling to
// zero back or kept it from beginning.
func TestPlanner_SingleReportAtTarget(t *testing.T) {
	f := newFixture(t, 1)
	colocated, _, bestEffort := f.colocate("light")
	for _, figure := range []int64{100, 97} {
		f.overTargetFor(colocated, bestEffort, maxTimeOverTarget-time.Second, 4_000)
		f.report(colocated.Agent, colocated.Run, figure)
		f.plan()
		f.now += 300 * time.Millisecond
		f.overTargetFor(colocated, bestEffort, time.Second, 4_000)
		limit := &f.agents[bestEffort.Agent].runs[bestEffort.Run].speedLimit
		must.Eq(t, 0, *limit, must.Sprintf("after a report of %d ms", figure))
		f.report(colocated.Agent, colocated.Run, figure)
		f.now += throttleInterval
		f.plan()
		test.Eq(t, 0, *limit, test.Sprintf("a report of %d ms must not end the throttling", figure))
	}
}

// Guards against HARM: a best-effort task was started at full speed beside a task for which all
// others are throttled to zero.
func TestPlanner_NoBestEffortStartBesideTaskOverTarget(t *testing.T) {
	f := newFixture(t, 1)
	f.agent("a")
	f.add(testJob(1, criticalStep(1, "web")), nil, false)
	tasks := f.plan().Starts
	must.Len(t, 1, tasks)
	f.reportLowLatency(tasks)
	f.trainPressure("web", "harmless", 0.1)
	f.add(testJob(2, bestEffortStep("harmless")), nil, false)
	first := f.plan().Starts
	must.Len(t, 1, first)
	for range 10 {
		// As if best-effort tasks kept starting and ending, so that the model learns little.
		f.agents["a"].steadyAt = f.now + time.Second
		f.report("a", first[0].Run, 4_000)
		f.report("a", tasks[0].Run, 120)
		f.plan()
		f.now += 300 * time.Millisecond
	}
	must.Eq(t, 0, f.agents["a"].runs[first[0].Run].speedLimit)
	f.add(testJob(3, bestEffortStep("harmless")), nil, false)
	test.SliceEmpty(t, f.plan().Starts)
}

// Guards against HARM: an order that was lost with its session was never repeated, since the planner
// took it for the speed in force.
func TestPlanner_ThrottleRepeatedInNewSession(t *testing.T) {
	f, colocated, bestEffort := throttledToZero(t)
	f.AgentLost(bestEffort.Agent, f.now+6*time.Second)
	f.now += 500 * time.Millisecond
	f.agent(bestEffort.Agent,
		job.Activity{Run: colocated.Run, Percent: 100},
		job.Activity{Run: bestEffort.Run, OrderedSpeed: job.SpeedOf(fullSpeed), RunnerSpeed: job.SpeedOf(fullSpeed)})
	f.report(colocated.Agent, colocated.Run, 120)
	percent, ordered := f.orderedSpeedLimit(bestEffort.Run)
	must.True(t, ordered)
	test.Eq(t, 0, percent)
}

// Guards against HARM: an order without effect was never repeated.
func TestPlanner_ThrottleWithoutEffectRepeated(t *testing.T) {
	f, colocated, bestEffort := throttledToZero(t)
	ordered := f.overTargetFor(colocated, bestEffort, 2*time.Second, 4_000)
	must.SliceNotEmpty(t, ordered)
	test.Eq(t, 0, ordered[0])
	test.SliceEmpty(t, f.overTargetFor(colocated, bestEffort, 2*time.Second, 0), test.Sprint("the run stands still"))
}

// Guards against a run that stands still for good: a new leader took runs that an earlier one, or an
// agent without a leader, had throttled for runs at full speed.
func TestPlanner_SpeedLimitOfEarlierLeader(t *testing.T) {
	f := newFixture(t, 2)
	j := testJob(2, bestEffortStep("light"))
	f.add(j, nil, true)
	run := job.Run{Task: job.Task{Job: j.ID}, Number: 1}
	f.agent("a", job.Activity{Run: run, OrderedSpeed: job.SpeedOf(0), RunnerSpeed: job.SpeedOf(0)})
	f.now += throttleInterval
	percent, ordered := f.orderedSpeedLimit(run)
	must.True(t, ordered)
	test.Eq(t, fullSpeed, percent)
}
