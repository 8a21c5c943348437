package planner

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/shoenig/test"
	"github.com/shoenig/test/must"
	"pgregory.net/rapid"

	"bamboowood/internal/job"
	"bamboowood/internal/site"
)

// closedLoop runs a planner against runners that end each run after its true duration.
type closedLoop struct {
	f         *fixture
	random    *rand.Rand
	durations map[string]time.Duration // by job
	submitted map[string]time.Duration
	// waits are the times from a job's submission to the starts of its tasks.
	waits  map[string][]time.Duration
	ends   map[time.Duration][]Start
	counts map[ReservationChange]int
	jobs   int
	// straggling is the share of runs that take 7 times as long.
	straggling float64
}

const loopTick = 50 * time.Millisecond

func newClosedLoop(t *testing.T, runners int, lookahead bool, seed uint64) *closedLoop {
	l := &closedLoop{
		f: newFixture(t, 1), random: rand.New(rand.NewPCG(seed, 0)), durations: map[string]time.Duration{},
		submitted: map[string]time.Duration{}, waits: map[string][]time.Duration{},
		ends: map[time.Duration][]Start{}, counts: map[ReservationChange]int{},
	}
	l.f.opts.Lookahead, l.f.opts.LearnedDurations = lookahead, lookahead
	for i := range runners {
		l.f.agent(fmt.Sprint(i))
	}
	return l
}

// submit adds a job of one step. error is the factor by which the task takes longer than estimated.
func (l *closedLoop) submit(tasks int, cpu int64, duration time.Duration, error float64) string {
	l.jobs++
	j := testJob(l.jobs, step(tasks))
	j.Steps[0].CPU, j.Steps[0].MemoryMB = cpu, 0
	j.Steps[0].Estimate = time.Duration(float64(duration) / error)
	l.durations[j.ID], l.submitted[j.ID] = duration.Truncate(loopTick), l.f.now
	l.f.add(j, nil, false)
	return j.ID
}

func (l *closedLoop) tick() Orders {
	for _, s := range l.ends[l.f.now] {
		if l.f.agents[s.Agent].runs[s.Run] != nil {
			l.f.end(s.Agent, s.Run, job.EndDone)
		}
	}
	delete(l.ends, l.f.now)
	for _, a := range l.f.orderedAgents {
		for _, r := range a.runs {
			r.progressAt = l.f.now // not stalled
		}
	}
	orders := l.f.plan()
	for _, s := range orders.Starts {
		l.f.ActivityReported(l.f.now, s.Agent, []job.Activity{{Run: s.Run}})
		id := s.Run.Task.Job
		l.waits[id] = append(l.waits[id], l.f.now-l.submitted[id])
		at := l.f.now + l.durations[id]
		if l.straggling > 0 && l.random.Float64() < l.straggling {
			at += 6 * l.durations[id]
		}
		l.ends[at] = append(l.ends[at], s)
	}
	for _, s := range orders.Stops {
		l.f.end(s.Agent, s.Run, job.EndStopped)
	}
	for _, e := range orders.Reservations {
		l.counts[e.Change]++
	}
	l.f.now += loopTick
	return orders
}

// smallAndWide submits small jobs at the given share of the capacity, and every two seconds a wide one whose
// task needs 14 of the 16 cores of a runner. It returns the waiting times of wide and small tasks.
func (l *closedLoop) smallAndWide(load, spread float64, duration time.Duration) (wide, small []time.Duration) {
	const cpu, mean = 1500, 1.5
	isWide := map[string]bool{}
	next := l.f.now
	begin := l.f.now
	capacity := float64(len(l.f.orderedAgents)) * 16_000
	for n := 0; l.f.now < begin+2*duration; n++ {
		error := func() float64 { return 1 + (spread-1)*l.random.Float64() }
		if n%40 == 0 && l.f.now < begin+duration {
			isWide[l.submit(1, 14_000, 2*time.Second, error())] = true
		}
		for ; next <= l.f.now && l.f.now < begin+duration; next += time.Duration(l.random.ExpFloat64() * 4 * cpu * mean / (load * capacity) * float64(time.Second)) {
			task := mean * (0.5 + l.random.Float64()) // 3 of 100 jobs take 7 times as long
			if l.random.Float64() < 0.03 {
				task *= 7
			}
			l.submit(4, cpu, time.Duration(task*float64(time.Second)), error())
		}
		l.tick()
	}
	for id, waits := range l.waits {
		if isWide[id] {
			wide = append(wide, waits...)
		} else {
			small = append(small, waits...)
		}
	}
	slices.Sort(wide)
	slices.Sort(small)
	return wide, small
}

func quantile(sorted []time.Duration, q float64) time.Duration {
	return sorted[int(q*float64(len(sorted)-1))].Round(10 * time.Millisecond)
}

func average(waits []time.Duration) time.Duration {
	total := time.Duration(0)
	for _, w := range waits {
		total += w
	}
	return (total / time.Duration(len(waits))).Round(10 * time.Millisecond)
}

// loopResult are the waiting times of wide and of small tasks over some seeds.
func loopResult(t *testing.T, lookahead bool, spread float64) (wide, small []time.Duration, changes map[ReservationChange]int) {
	changes = map[ReservationChange]int{}
	for seed := range uint64(3) {
		l := newClosedLoop(t, 8, lookahead, seed)
		w, s := l.smallAndWide(0.6, spread, time.Minute)
		wide, small = append(wide, w...), append(small, s...)
		for k, v := range l.counts {
			changes[k] += v
		}
	}
	slices.Sort(wide)
	slices.Sort(small)
	t.Logf("lookahead=%t spread=%v: wide %d mean %s p50 %s p95 %s max %s; small %d mean %s p50 %s p95 %s max %s; %v",
		lookahead, spread, len(wide), average(wide), quantile(wide, 0.5), quantile(wide, 0.95), quantile(wide, 1),
		len(small), average(small), quantile(small, 0.5), quantile(small, 0.95), quantile(small, 1), changes)
	return wide, small, changes
}

// checkWaits checks that wide tasks do not wait for as long as small ones arrive, and that small ones do not
// pay for it. The bounds are the 3 s that the users allow a job without a run (RULES, LOST), and the starvation
// limit for small ones.
func checkWaits(t *testing.T, spread float64) {
	without, _, none := loopResult(t, false, spread)
	test.MapEmpty(t, none)
	wide, small, changes := loopResult(t, true, spread)
	test.Len(t, len(without), wide)
	test.Less(t, 3*time.Second, average(wide))
	test.Less(t, average(without)/2, average(wide))
	test.Less(t, starvationLimitIfIdle, quantile(small, 0.95))
	test.Positive(t, changes[ReservationKept])
}

// Small tasks take each gap before a wide task fits: wide tasks wait until no small ones arrive any more.
func TestPattern_WideStepsBesideSmallOnes(t *testing.T) { checkWaits(t, 1) }

// The same with tasks that take up to 1.9 times their estimates: reservations that come too late are given up.
func TestPattern_EstimatesOffByNinetyPercent(t *testing.T) { checkWaits(t, 1.9) }

// reservedFixture returns a runner of which half is in use for 4 s, with a reservation for a wide step then.
func reservedFixture(t *testing.T) (f *fixture, wide *job.Job, long Start) {
	f = newFixture(t, 1)
	f.opts.Lookahead = true
	f.agent("a")
	busy := testJob(1, step(1))
	busy.Steps[0].CPU, busy.Steps[0].Estimate = 8000, 4*time.Second
	f.add(busy, nil, false)
	starts := f.plan().Starts
	must.Len(t, 1, starts)
	f.ActivityReported(f.now, "a", []job.Activity{{Run: starts[0].Run}})
	wide = testJob(2, step(1))
	wide.Steps[0].CPU = 16_000
	f.add(wide, nil, false)
	made := f.plan().Reservations
	must.Len(t, 1, made)
	must.Eq(t, ReservationEvent{Task: job.Task{Job: wide.ID}, Agent: "a", Change: ReservationMade, In: 4 * time.Second}, made[0])
	return f, wide, starts[0]
}

// Of the tasks that rank lower, those that end before the reservation must start, and others wait; continuous
// and starved ones are never held back.
func TestPattern_GapBeforeReservation(t *testing.T) {
	for _, c := range []struct {
		name   string
		change func(*job.Step)
		later  time.Duration
		starts bool
	}{
		{"ends before", func(*job.Step) {}, 0, true},
		{"ends later", func(s *job.Step) { s.Estimate = 5 * time.Second }, 0, false},
		{"best-effort, ends later", func(s *job.Step) { s.BestEffort, s.Estimate = true, 5*time.Second }, 0, false},
		{"ends later without need", func(s *job.Step) { s.CPU, s.Estimate = 0, 5*time.Second }, 0, true},
		{"continuous", func(s *job.Step) { s.Continuous = true }, 0, true},
		{"starved", func(s *job.Step) { s.Estimate = 5 * time.Second }, 2*defaultStarvationLimit - time.Second, true},
	} {
		f, _, _ := reservedFixture(t)
		j := testJob(3, step(1))
		j.Queue.Priority, j.Queue.Slack = 1, time.Minute
		c.change(&j.Steps[0])
		f.add(j, nil, false)
		f.now += c.later
		for _, r := range f.agents["a"].runs {
			r.progressAt = f.now // not stalled
		}
		orders := f.plan()
		test.Eq(t, c.starts, len(orders.Starts) == 1, test.Sprint(c.name))
		if c.later == 0 {
			test.Eq(t, !c.starts, orders.TasksHeldBack == 1, test.Sprint(c.name))
		}
	}
}

// A reservation must end with its start, its job, its runner and its time, so that it holds back no task for
// longer than its margin.
func TestPattern_ReservationEnds(t *testing.T) {
	for change, event := range map[ReservationChange]func(f *fixture, wide *job.Job, long Start){
		ReservationKept:       func(f *fixture, _ *job.Job, long Start) { f.end("a", long.Run, job.EndDone) },
		ReservationStepEnded:  func(f *fixture, wide *job.Job, _ Start) { f.Cancel(f.now, wide.ID) },
		ReservationRunnerLost: func(f *fixture, _ *job.Job, _ Start) { f.AgentLost("a", f.now+time.Minute) },
		ReservationMoved:      func(f *fixture, _ *job.Job, _ Start) { f.agent("b") },
		ReservationOverdue: func(f *fixture, _ *job.Job, long Start) {
			f.now += 9 * time.Second
			f.agents["a"].runs[long.Run].progressAt = f.now // not stalled
		},
	} {
		f, wide, long := reservedFixture(t)
		event(f, wide, long)
		events := f.plan().Reservations
		must.Len(t, 1, events, must.Sprint(change))
		test.Eq(t, change, events[0].Change)
		test.SliceEmpty(t, f.agents["a"].reservations)
	}
}

// Large steps that no runner can run rank first; a wide step behind them must get a reservation all the same.
func TestPattern_ReservationBesideHopelessSteps(t *testing.T) {
	f, first, _ := reservedFixture(t)
	f.Cancel(f.now, first.ID)
	for n := range 3 * maxReservedSteps {
		hopeless := testJob(10+n, step(1))
		hopeless.Steps[0].CPU, hopeless.Steps[0].RequiredLabel, hopeless.Queue.Slack = 16_000, "none", time.Millisecond
		f.add(hopeless, nil, false)
	}
	wide := testJob(3, step(1))
	wide.Steps[0].CPU, wide.Queue.Slack = 16_000, time.Minute
	f.add(wide, nil, false)
	made := 0
	for range 100 {
		for _, e := range f.plan().Reservations {
			if e.Change == ReservationMade && e.Task.Job == wide.ID {
				made++
			}
		}
		f.now += 10 * time.Millisecond
	}
	test.Eq(t, 1, made)
}

// The zone of a reserved runner is drained and returns: its reservation must be given up, nothing may start
// there meanwhile, and the wide step must start once the zone is back.
func TestPattern_DrainedZoneReturns(t *testing.T) {
	f, wide, long := reservedFixture(t)
	f.SetSite(&site.State{Drained: map[string]bool{"z1": true}})
	events := f.plan().Reservations
	must.Len(t, 1, events)
	test.Eq(t, ReservationRunnerLost, events[0].Change)
	f.end("a", long.Run, job.EndDone)
	f.now += time.Second
	drained := f.plan()
	test.SliceEmpty(t, drained.Starts)
	test.SliceEmpty(t, drained.Reservations)
	f.SetSite(&site.State{})
	starts := f.plan().Starts
	must.Len(t, 1, starts)
	test.Eq(t, wide.ID, starts[0].Run.Task.Job)
}

// The members of a gang that needs all runners start together; tasks that rank lower must not take their room
// one after the other.
func TestPattern_GangBesideSmallTasks(t *testing.T) {
	started := func(lookahead bool) (at time.Duration) {
		l := newClosedLoop(t, 4, lookahead, 1)
		begin := l.f.now
		gang := testJob(900, step(2))
		gang.Steps[0].Gang, gang.Steps[0].CPU = true, 14_000
		for n := range 1200 {
			l.submit(2, 3000, time.Duration(700+100*(n%14))*time.Millisecond, 1)
			if n == 20 {
				l.durations[gang.ID], l.submitted[gang.ID] = time.Second, l.f.now
				l.f.add(gang, nil, false)
			}
			for range 6 {
				l.tick()
			}
			if len(l.waits[gang.ID]) > 0 {
				return l.f.now - begin
			}
		}
		return never
	}
	without, with := started(false), started(true)
	t.Log(without, with)
	test.Less(t, without/2, with)
}

// Without a reservation, the look-ahead must not change any start.
func TestPattern_NoReservationNoChange(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		loops := []*closedLoop{newClosedLoop(t, 3, false, 1), newClosedLoop(t, 3, false, 1)}
		loops[1].f.opts.Lookahead = true
		for range rapid.IntRange(1, 60).Draw(rt, "ticks") {
			if rapid.Bool().Draw(rt, "submit") {
				tasks, cpu := rapid.IntRange(1, 6).Draw(rt, "tasks"), rapid.Int64Range(0, 5000).Draw(rt, "cpu")
				duration := time.Duration(rapid.Int64Range(50, 1400).Draw(rt, "ms")) * time.Millisecond
				for _, l := range loops {
					l.submit(tasks, cpu, duration, 1)
				}
			}
			want, got := loops[0].tick(), loops[1].tick()
			if len(want.Starts) != len(got.Starts) {
				rt.Fatalf("starts %v, without look-ahead %v", got.Starts, want.Starts)
			}
			for i := range want.Starts {
				if want.Starts[i].Run != got.Starts[i].Run || want.Starts[i].Agent != got.Starts[i].Agent {
					rt.Fatalf("start %v, without look-ahead %v", got.Starts[i], want.Starts[i])
				}
			}
			if len(got.Reservations) > 0 {
				return
			}
		}
	})
}
