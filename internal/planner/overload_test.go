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

// overload plays wide jobs of fillers on runners without other work, in virtual time.
type overload struct {
	f       *fixture
	random  *rand.Rand
	ends    map[time.Duration][]Start
	lengths map[string]time.Duration
	jobs    []overloadJob
}

type overloadJob struct {
	job       *job.Job
	accepted  time.Duration
	objective time.Duration
	cpu       float64
	endedIn   time.Duration
}

const (
	overloadRunners = 8
	// overloadTasks of a step, in the median; overloadSpread is the standard deviation of
	// its logarithm.
	overloadTasks  = 20
	overloadSpread = 0.6
	overloadCPU    = 7000
	overloadTick   = 20 * time.Millisecond
	// overloadError is the standard deviation of the logarithm of estimates.
	overloadError = 0.5
	// overloadLength of a task in the median, and the spread from step to step.
	overloadLength       = 2200 * time.Millisecond
	overloadLengthSpread = 0.4
	overloadCapacity     = overloadRunners * 64_000.0
)

// overloadMean is the mean work of a job, in thousandths of a core x seconds.
var overloadMean = 2 * overloadTasks * overloadCPU * overloadLength.Seconds() *
	math.Exp((overloadSpread*overloadSpread+overloadLengthSpread*overloadLengthSpread)/2)

func newOverload(t *testing.T, seed uint64) *overload {
	o := &overload{
		f: newFixture(t, 1), random: rand.New(rand.NewPCG(seed, 0)),
		ends: map[time.Duration][]Start{}, lengths: map[string]time.Duration{},
	}
	for i := range overloadRunners {
		r := testRunner(fmt.Sprint(i))
		r.Capacity = job.Resources{CPU: 64_000, MemoryMB: 250_000}
		o.f.AgentConnected(o.f.now, fmt.Sprint(i), r, nil)
	}
	return o
}

// submit hands in a job of two steps, one after the other.
func (o *overload) submit() {
	n := len(o.jobs)
	width := func() int { return int(overloadTasks*math.Exp(overloadSpread*o.random.NormFloat64())) + 1 }
	j := testJob(n+1, step(width()), step(width(), 0))
	chain, cpu := time.Duration(0), 0.0
	for i := range j.Steps {
		length := time.Duration(float64(overloadLength) * math.Exp(overloadLengthSpread*o.random.NormFloat64()))
		j.Steps[i].CPU, j.Steps[i].BestEffort, j.Steps[i].Image = overloadCPU, true, "fill"
		j.Steps[i].Estimate = time.Duration(float64(length) * math.Exp(overloadError*o.random.NormFloat64()))
		o.lengths[fmt.Sprint(j.ID, i)] = length
		chain += length
		cpu += float64(j.Steps[i].Tasks*overloadCPU) * length.Seconds()
	}
	o.f.add(j, nil, false)
	o.jobs = append(o.jobs, overloadJob{job: j, accepted: o.f.now, objective: j.Objective(chain), cpu: cpu})
}

// tick passes one step of time.
func (o *overload) tick() {
	for _, s := range o.ends[o.f.now] {
		o.f.end(s.Agent, s.Run, job.EndDone)
	}
	delete(o.ends, o.f.now)
	for i := range o.jobs {
		j := &o.jobs[i]
		if j.endedIn == 0 && o.f.jobs[j.job.ID].state.Terminal() {
			j.endedIn = o.f.now - j.accepted
		}
	}
	for _, s := range o.f.plan().Starts {
		o.f.report(s.Agent, s.Run, overloadCPU)
		length := o.lengths[fmt.Sprint(s.Run.Task.Job, s.Run.Task.Step)].Truncate(overloadTick)
		o.ends[o.f.now+length] = append(o.ends[o.f.now+length], s)
	}
	o.f.now += overloadTick
}

// inTime plays a load, as a share of the capacity, and returns the part of the work that
// was handed in, of the capacity, and of the work of the widest tenth of the jobs, that
// ended within its objective.
func inTime(t *testing.T, load float64, seed uint64) (ofAsked, ofCapacity, ofWidest float64) {
	const lasts = 40 * time.Second
	o := newOverload(t, seed)
	begin, next := o.f.now, o.f.now
	for o.f.now < begin+2*lasts {
		for o.f.now >= next && o.f.now < begin+lasts {
			o.submit()
			next += time.Duration(o.random.ExpFloat64() * overloadMean / (load * overloadCapacity) * float64(time.Second))
		}
		o.tick()
	}
	slices.SortFunc(o.jobs, func(a, b overloadJob) int { return cmp.Compare(b.cpu, a.cpu) })
	asked, done, widestAsked, widest := 0.0, 0.0, 0.0, 0.0
	for i, j := range o.jobs {
		asked += j.cpu
		if i < len(o.jobs)/10 {
			widestAsked += j.cpu
		}
		if j.endedIn > 0 && j.endedIn <= j.objective {
			done += j.cpu
			if i < len(o.jobs)/10 {
				widest += j.cpu
			}
		}
	}
	return done / asked, done / (overloadCapacity * lasts.Seconds()), widest / widestAsked
}

// Wide jobs come at 1.2 and 2.5 times what the runners can do. What the runners do goes
// into jobs that end within their objective, not into all of them a little too late, and
// the widest jobs have their part.
func TestPattern_WideJobsBeyondCapacity(t *testing.T) {
	const (
		seeds = 8
		// half of what the runners can do is to end in time, however much is asked for.
		half = 0.5
		// widestShare is the least that the widest tenth gets of what all get (RULES, Sizes).
		widestShare = 0.5
	)
	for _, load := range []float64{1.2, 2.5} {
		t.Run(fmt.Sprint(load), func(t *testing.T) {
			var asked, capacity, widest float64
			for seed := range uint64(seeds) {
				a, c, w := inTime(t, load, seed)
				asked, capacity, widest = asked+a/seeds, capacity+c/seeds, widest+w/seeds
			}
			t.Logf("in time: %.2f of what was asked for, %.2f of the capacity, %.2f of the widest tenth", asked, capacity, widest)
			test.GreaterEq(t, half, capacity)
			test.GreaterEq(t, widestShare*asked, widest)
		})
	}
}

// A late job stands still while new ones wait for room, for a while, and works again as
// soon as none does.
func TestPattern_LateJobStandsBackForNewOnes(t *testing.T) {
	f := newFixture(t, 1)
	f.agent("a")
	wide := filler("heavy")
	wide.CPU, wide.Tasks = 8_000, 8
	late, fresh := testJob(1, wide), testJob(2, wide)
	f.add(late, nil, false)
	f.now += time.Hour
	f.add(fresh, nil, false)
	f.jobs[late.ID].idleSince = f.now
	running := f.plan().Starts
	must.Len(t, 2, running)
	for _, s := range running {
		must.Eq(t, fresh.ID, s.Run.Task.Job)
	}
	f.now += starvedAfter + time.Second
	must.Len(t, 0, f.plan().Starts, must.Sprint("it stands back"))
	f.now += newWork
	f.plan() // sees that nothing new waits
	next := f.plan().Starts
	must.Len(t, 1, next)
	test.Eq(t, late.ID, next[0].Run.Task.Job)
}

// Even while new jobs never cease to wait, a late one gets a task in the end.
func TestPattern_LateJobBehindNewOnesWithoutEnd(t *testing.T) {
	f := newFixture(t, 1)
	f.agent("a")
	wide := filler("heavy")
	wide.CPU, wide.Tasks = 8_000, 8
	late := testJob(1, wide)
	f.add(late, nil, false)
	f.now += time.Hour
	f.jobs[late.ID].idleSince = f.now
	begin := f.now
	for n := 2; ; n++ {
		must.Less(t, starvedAfterIfPressed+2*time.Second, f.now-begin)
		f.add(testJob(n, wide), nil, false)
		for _, s := range f.plan().Starts {
			if s.Run.Task.Job == late.ID {
				return
			}
		}
		f.now += time.Second
	}
}

// A job that yields is reported once, and one that has no other to yield to does not.
func TestPlanner_YieldReportedOnce(t *testing.T) {
	f := newFixture(t, 1)
	f.agent("a")
	wide := filler("heavy")
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
