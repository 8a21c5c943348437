package planner

import (
	"cmp"
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/shoenig/test"
	"github.com/shoenig/test/must"

	"bamboowood/internal/job"
)

// overloadTest simulates wide best-effort jobs on otherwise idle runners in virtual time.
type overloadTest struct {
	f             *fixture
	random        *rand.Rand
	ends          map[time.Duration][]Start
	taskDurations map[string]time.Duration
	jobs          []overloadJob
}

type overloadJob struct {
	job        *job.Job
	acceptedAt time.Duration
	objective  time.Duration
	cpu        float64
	endedAfter time.Duration
}

const (
	overloadRunners = 8
	// overloadTasks is the median number of tasks of a step, overloadSpread the standard
	// deviation of its logarithm.
	overloadTasks  = 20
	overloadSpread = 0.6
	overloadCPU    = 7000
	overloadTick   = 20 * time.Millisecond
	// overloadEstimateSpread is the standard deviation of the logarithm of estimates.
	overloadEstimateSpread = 0.5
	// overloadDuration is the median duration of a task, overloadDurationSpread the standard
	// deviation of its logarithm over steps.
	overloadDuration       = 2200 * time.Millisecond
	overloadDurationSpread = 0.4
	overloadCapacity       = overloadRunners * 64_000.0
)

// overloadMean is the mean work of a job, in thousandths of a core x seconds.
var overloadMean = 2 * overloadTasks * overloadCPU * overloadDuration.Seconds() *
	math.Exp((overloadSpread*overloadSpread+overloadDurationSpread*overloadDurationSpread)/2)

func newOverloadTest(t *testing.T, seed uint64) *overloadTest {
	o := &overloadTest{
		f: newFixture(t, 1), random: rand.New(rand.NewPCG(seed, 0)),
		ends: map[time.Duration][]Start{}, taskDurations: map[string]time.Duration{},
	}
	for i := range overloadRunners {
		r := testRunner(fmt.Sprint(i))
		r.Capacity = job.Resources{CPU: 64_000, MemoryMB: 250_000}
		o.f.AgentConnected(o.f.now, fmt.Sprint(i), Snapshot{Runner: r})
	}
	return o
}

// submit adds a job of two consecutive steps.
func (o *overloadTest) submit() {
	n := len(o.jobs)
	width := func() int { return int(overloadTasks*math.Exp(overloadSpread*o.random.NormFloat64())) + 1 }
	j := testJob(n+1, step(width()), step(width(), 0))
	criticalPath, cpu := time.Duration(0), 0.0
	for i := range j.Steps {
		duration := time.Duration(float64(overloadDuration) * math.Exp(overloadDurationSpread*o.random.NormFloat64()))
		j.Steps[i].CPU, j.Steps[i].BestEffort, j.Steps[i].Image = overloadCPU, true, "fill"
		j.Steps[i].Estimate = time.Duration(float64(duration) * math.Exp(overloadEstimateSpread*o.random.NormFloat64()))
		o.taskDurations[fmt.Sprint(j.ID, i)] = duration
		criticalPath += duration
		cpu += float64(j.Steps[i].Tasks*overloadCPU) * duration.Seconds()
	}
	o.f.add(j, nil, false)
	o.jobs = append(o.jobs, overloadJob{job: j, acceptedAt: o.f.now, objective: j.Objective(criticalPath), cpu: cpu})
}

// tick simulates one overloadTick.
func (o *overloadTest) tick() {
	for _, s := range o.ends[o.f.now] {
		o.f.end(s.Agent, s.Run, job.EndDone)
	}
	delete(o.ends, o.f.now)
	for i := range o.jobs {
		j := &o.jobs[i]
		if j.endedAfter == 0 && o.f.jobs[j.job.ID].state.Terminal() {
			j.endedAfter = o.f.now - j.acceptedAt
		}
	}
	for _, s := range o.f.plan().Starts {
		o.f.report(s.Agent, s.Run, overloadCPU)
		duration := o.taskDurations[fmt.Sprint(s.Run.Task.Job, s.Run.Task.Step)].Truncate(overloadTick)
		o.ends[o.f.now+duration] = append(o.ends[o.f.now+duration], s)
	}
	o.f.now += overloadTick
}

// shareInTime simulates a load, given as a share of the capacity. It returns the work of
// the jobs that met their objective as shares of the submitted work and of the capacity,
// and the corresponding share for the widest tenth of the jobs.
func shareInTime(t *testing.T, load float64, seed uint64) (ofSubmitted, ofCapacity, ofWidest float64) {
	const duration = 40 * time.Second
	o := newOverloadTest(t, seed)
	begin, next := o.f.now, o.f.now
	for o.f.now < begin+2*duration {
		for o.f.now >= next && o.f.now < begin+duration {
			o.submit()
			next += time.Duration(o.random.ExpFloat64() * overloadMean / (load * overloadCapacity) * float64(time.Second))
		}
		o.tick()
	}
	slices.SortFunc(o.jobs, func(a, b overloadJob) int { return cmp.Compare(b.cpu, a.cpu) })
	submitted, done, widestSubmitted, widest := 0.0, 0.0, 0.0, 0.0
	for i, j := range o.jobs {
		submitted += j.cpu
		if i < len(o.jobs)/10 {
			widestSubmitted += j.cpu
		}
		if j.endedAfter > 0 && j.endedAfter <= j.objective {
			done += j.cpu
			if i < len(o.jobs)/10 {
				widest += j.cpu
			}
		}
	}
	return done / submitted, done / (overloadCapacity * duration.Seconds()), widest / widestSubmitted
}

// Wide jobs arrive at 1.2 and 2.5 times the capacity. Without deferral all of them
// end shortly after their objective. At least half of the capacity must go into jobs that
// meet their objective, and the widest jobs must get their share.
func TestPattern_WideJobsBeyondCapacity(t *testing.T) {
	const (
		seeds = 8
		// minCapacityShare is the share of the capacity that must go into jobs that meet
		// their objective, at any load.
		minCapacityShare = 0.5
		// minWidestShare is the least ratio of the widest tenth's share in time to that of
		// all jobs (RULES, Sizes).
		minWidestShare = 0.5
	)
	for _, load := range []float64{1.2, 2.5} {
		t.Run(fmt.Sprint(load), func(t *testing.T) {
			var submitted, capacity, widest float64
			for seed := range uint64(seeds) {
				a, c, w := shareInTime(t, load, seed)
				submitted, capacity, widest = submitted+a/seeds, capacity+c/seeds, widest+w/seeds
			}
			t.Logf("in time: %.2f of the submitted work, %.2f of the capacity, %.2f of the widest tenth", submitted, capacity, widest)
			test.GreaterEq(t, minCapacityShare, capacity)
			test.GreaterEq(t, minWidestShare*submitted, widest)
		})
	}
}

// A late job must wait beyond the default starvation limit while new jobs wait for capacity, and
// start again as soon as none does.
func TestPattern_LateJobWaitsForNewJobs(t *testing.T) {
	f := newFixture(t, 1)
	f.agent("a")
	wide := bestEffortStep("heavy")
	wide.CPU, wide.Tasks = 8_000, 8
	late, newer := testJob(1, wide), testJob(2, wide)
	f.add(late, nil, false)
	f.now += time.Hour
	f.add(newer, nil, false)
	f.jobs[late.ID].idleSince = f.now
	running := f.plan().Starts
	must.Len(t, 2, running)
	for _, s := range running {
		must.Eq(t, newer.ID, s.Run.Task.Job)
	}
	f.now += defaultStarvationLimit + time.Second
	must.Len(t, 0, f.plan().Starts, must.Sprint("the late job waits"))
	f.now += newJobAge
	f.plan() // no new job waits any more
	next := f.plan().Starts
	must.Len(t, 1, next)
	test.Eq(t, late.ID, next[0].Run.Task.Job)
}

// New jobs wait for capacity all the time. A late job must still get a task soon after
// stallLimitIfContended.
func TestPattern_LateJobStartsDespiteNewJobs(t *testing.T) {
	f := newFixture(t, 1)
	f.agent("a")
	wide := bestEffortStep("heavy")
	wide.CPU, wide.Tasks = 8_000, 8
	late := testJob(1, wide)
	f.add(late, nil, false)
	f.now += time.Hour
	f.jobs[late.ID].idleSince = f.now
	begin := f.now
	for n := 2; ; n++ {
		must.Less(t, starvationLimitIfContended+2*time.Second, f.now-begin)
		f.add(testJob(n, wide), nil, false)
		for _, s := range f.plan().Starts {
			if s.Run.Task.Job == late.ID {
				return
			}
		}
		f.now += time.Second
	}
}

// A deferred job is reported once. A job is not deferred if no other job benefits.
func TestPlanner_DeferralReportedOnce(t *testing.T) {
	f := newFixture(t, 1)
	f.agent("a")
	wide := bestEffortStep("heavy")
	wide.CPU, wide.Tasks = 8_000, 16
	older, newer := testJob(1, wide), testJob(2, wide)
	f.add(older, nil, false)
	orders := f.plan()
	must.Len(t, 0, orders.Deferrals)
	must.Len(t, 2, orders.Starts)
	f = newFixture(t, 1)
	f.agent("a")
	f.add(older, nil, false)
	f.now += time.Millisecond
	f.add(newer, nil, false)
	orders = f.plan()
	must.Len(t, 1, orders.Deferrals)
	test.Eq(t, older.ID, orders.Deferrals[0].Job)
	for _, s := range orders.Starts {
		test.Eq(t, newer.ID, s.Run.Task.Job)
	}
	test.Len(t, 0, f.plan().Deferrals)
}
