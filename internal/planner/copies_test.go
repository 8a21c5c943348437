package planner

import (
	"slices"
	"testing"
	"time"

	"github.com/shoenig/test"
	"github.com/shoenig/test/must"

	"bamboowood/internal/job"
	"bamboowood/internal/speculation"
)

// copyFixture returns a job with a speculative task on agent a that is in the tail of the learned durations,
// 3 of 100 of which are 7 times as long, and agents b and c with room.
func copyFixture(t *testing.T, change func(*fixture, *job.Job)) (f *fixture, j *job.Job, first Start) {
	f = newFixture(t, 1)
	f.opts.LearnedDurations, f.opts.Speculation = true, true
	f.learnFactor("x", 1)
	f.agent("a")
	j = testJob(1, step(1))
	j.Steps[0].Image, j.Steps[0].Speculative = "x", true
	change(f, j)
	f.add(j, nil, false)
	starts := f.plan().Starts
	must.Len(t, 1, starts)
	f.ActivityReported(f.now, "a", []job.Activity{{Run: starts[0].Run}})
	f.agent("b")
	f.agent("c")
	must.SliceEmpty(t, f.plan().Starts)
	f.now += 1400 * time.Millisecond
	return f, j, starts[0]
}

func unchanged(*fixture, *job.Job) {}

func (f *fixture) confirm(s Start) {
	f.ActivityReported(f.now, s.Agent, []job.Activity{{Run: s.Run}})
}

// A copy must start on another runner, and only for the kinds of steps and in the states that allow one.
func TestPattern_LateSpeculativeTaskGetsCopy(t *testing.T) {
	for _, c := range []struct {
		name   string
		change func(*fixture, *job.Job)
		copies int
		reason speculation.Refusal
	}{
		{"late", unchanged, 1, ""},
		{"not speculative", func(_ *fixture, j *job.Job) { j.Steps[0].Speculative = false }, 0, ""},
		{"best-effort", func(_ *fixture, j *job.Job) { j.Steps[0].BestEffort = true }, 0, ""},
		{"gang", func(_ *fixture, j *job.Job) { j.Steps[0].Gang = true }, 0, ""},
		{"switched off", func(f *fixture, _ *job.Job) { f.opts.Speculation = false }, 0, ""},
		{"not learned", func(_ *fixture, j *job.Job) { j.Steps[0].Image = "y" }, 0, speculation.NotLearned},
		{"over the budget", func(_ *fixture, j *job.Job) { j.Steps[0].CPU = 2500 }, 0, speculation.OverBudget},
		{"no other runner", func(f *fixture, j *job.Job) { j.Steps[0].RequiredLabel = "r1-a" }, 0, speculation.NoRunner},
	} {
		f, _, first := copyFixture(t, c.change)
		orders := f.plan()
		must.Len(t, c.copies, orders.Starts, must.Sprint(c.name))
		test.Eq(t, c.copies, orders.Copies.Started)
		if c.copies > 0 {
			test.NotEq(t, first.Agent, orders.Starts[0].Agent)
			test.Greater(t, first.Run.Number, orders.Starts[0].Run.Number)
		}
		if c.reason != "" {
			test.Eq(t, map[speculation.Refusal]int{c.reason: 1}, orders.Copies.Refused, test.Sprint(c.name))
		}
		f.now += time.Millisecond * 100
		again := f.plan()
		test.SliceEmpty(t, again.Starts, test.Sprint("a task has at most one copy"))
		test.MapEmpty(t, again.Copies.Refused, test.Sprint("a refusal is counted once"))
	}
}

// 3 of 100 runs take 7 times as long, so a quarter of the jobs with 10 tasks wait for one: copies must shorten
// these jobs, within their budget.
func TestPattern_StragglersOfShortJobs(t *testing.T) {
	latencies := func(speculative bool) (all []time.Duration, started, won int) {
		l := newClosedLoop(t, 8, true, 1)
		l.straggling, l.f.opts.Speculation = 0.03, true
		begin, ended := l.f.now, map[string]bool{}
		for n := 0; l.f.now < begin+90*time.Second; n++ {
			if n%6 == 0 && l.f.now < begin+60*time.Second {
				j := testJob(l.jobs, step(10))
				l.jobs++
				j.Steps[0].CPU, j.Steps[0].MemoryMB, j.Steps[0].Speculative = 1500, 0, speculative
				j.Steps[0].Estimate = 750 * time.Millisecond
				l.durations[j.ID], l.submitted[j.ID] = time.Duration(500+50*(n%10))*time.Millisecond, l.f.now
				l.f.add(j, nil, false)
			}
			orders := l.tick()
			started, won = started+orders.Copies.Started, won+orders.Copies.Won
			used := int64(0)
			for _, a := range l.f.orderedAgents {
				for _, r := range a.runs {
					if r.task.copyRun == r {
						used += 1500
					}
				}
			}
			must.LessEq(t, int64(speculation.MaxShare*8*16_000), used)
			for id, js := range l.f.jobs {
				if js.state.Terminal() && !ended[id] {
					ended[id] = true
					all = append(all, l.f.now-l.submitted[id])
				}
			}
		}
		slices.Sort(all)
		t.Logf("speculative=%t: %d jobs, mean %s p50 %s p95 %s max %s, copies %d won %d", speculative, len(all),
			average(all), quantile(all, 0.5), quantile(all, 0.95), quantile(all, 1), started, won)
		return all, started, won
	}
	without, none, _ := latencies(false)
	with, started, won := latencies(true)
	test.Zero(t, none)
	test.Len(t, len(without), with)
	test.Greater(t, started/2, won, test.Sprint("most copies must pay"))
	test.Less(t, quantile(without, 0.95), quantile(with, 0.95))
	test.Less(t, average(without), average(with))
}

// A waiting task must not be deprived of room by a copy.
func TestPattern_CopyLeavesRoomToWaitingTasks(t *testing.T) {
	f, _, _ := copyFixture(t, unchanged)
	waiting := testJob(2, step(1))
	f.add(waiting, nil, false)
	// Its task may not start yet, as after a failed run.
	f.jobs[waiting.ID].open[0].steps[0].tasks[0].notBefore = f.now + time.Second
	orders := f.plan()
	test.SliceEmpty(t, orders.Starts)
	test.Eq(t, 1, orders.Copies.Refused[speculation.NeededElsewhere])
}

// The first run that ends as done decides, the other is stopped at once, and the later end changes nothing.
func TestPattern_FirstEndOfTwoRunsDecides(t *testing.T) {
	for _, copyWins := range []bool{false, true} {
		f, j, first := copyFixture(t, unchanged)
		second := f.plan().Starts[0]
		f.confirm(second)
		f.now += 500 * time.Millisecond
		winner, loser := first, second
		if copyWins {
			winner, loser = second, first
		}
		f.end(winner.Agent, winner.Run, job.EndDone)
		orders := f.plan()
		must.Len(t, 1, orders.Stops)
		test.Eq(t, Stop{Agent: loser.Agent, Run: loser.Run, Reason: StopTaskDone}, orders.Stops[0])
		test.Eq(t, copyWins, orders.Copies.Won == 1)
		test.Positive(t, orders.Copies.StoppedCPU)
		f.end(loser.Agent, loser.Run, job.EndDone)
		lost := f.plan().Copies
		test.Eq(t, !copyWins, lost.Lost == 1)
		test.Zero(t, lost.Won)
		f.commit()
		test.Eq(t, job.Completed, f.state(j))
		test.Zero(t, f.jobs[j.ID].liveRuns)
	}
}

// While a copy's start may still take effect, its task must not be recorded as done: it would be started
// after its recorded end. The wait ends with the copy, or when its order has expired.
func TestPattern_EndWhileCopyStarts(t *testing.T) {
	for name, settle := range map[string]func(*fixture, Start){
		"copy stopped": func(f *fixture, c Start) { f.end(c.Agent, c.Run, job.EndStopped) },
		"copy refused": func(f *fixture, c Start) { f.StartRefused(f.now, c.Agent, c.Run, RefusedLate) },
		"copy started": func(f *fixture, c Start) { f.confirm(c) },
		"expired":      func(f *fixture, _ Start) { f.now += copyStartLimit },
	} {
		f, j, first := copyFixture(t, unchanged)
		second := f.plan().Starts[0]
		f.now += 100 * time.Millisecond
		f.end(first.Agent, first.Run, job.EndDone)
		must.Len(t, 1, f.plan().Stops)
		test.MapEmpty(t, f.commit(), test.Sprint(name))
		pending, _ := f.Pending()
		test.True(t, pending, test.Sprint("ends must not be acknowledged before they are stored"))
		settle(f, second)
		f.plan()
		f.commit()
		test.Eq(t, job.Completed, f.state(j), test.Sprint(name))
	}
}

// While another run of the task is live, a failed run counts as an attempt but no further run is started; a lost
// or stopped one does not count.
func TestPattern_OneOfTwoRunsEndsWithoutSuccess(t *testing.T) {
	for _, reason := range []job.EndReason{job.EndFailed, job.EndStopped, job.EndLeaseExpired} {
		for _, copyEnds := range []bool{false, true} {
			f, j, first := copyFixture(t, unchanged)
			second := f.plan().Starts[0]
			f.confirm(second)
			ends, other := first, second
			if copyEnds {
				ends, other = second, first
			}
			f.end(ends.Agent, ends.Run, reason)
			test.SliceEmpty(t, f.plan().Starts)
			task := &f.jobs[j.ID].open[0].steps[0].tasks[0]
			test.Eq(t, reason == job.EndFailed, len(task.failedRuns) == 1)
			test.Zero(t, task.failedAttempts)
			f.end(other.Agent, other.Run, job.EndFailed)
			if reason == job.EndFailed {
				test.Eq(t, job.Failed, f.jobs[j.ID].state, test.Sprint("two attempts are allowed"))
			} else {
				test.Len(t, 1, f.plan().Starts)
			}
		}
	}
}

// A new leader must adopt both runs, must not start a third one while the agent of one has not reported, and
// must stop a third run and a second one of other steps.
func TestPattern_TakeoverWithCopy(t *testing.T) {
	old, j, first := copyFixture(t, unchanged)
	second := old.plan().Starts[0]
	f := newFixture(t, 2)
	f.opts.LearnedDurations, f.opts.Speculation = true, true
	f.learnFactor("x", 1)
	f.now = old.now
	f.AddUnreportedAgent(first.Agent, f.now+time.Minute)
	f.AddUnreportedAgent(second.Agent, f.now+time.Minute)
	f.add(j, nil, true)
	f.agent(first.Agent, job.Activity{Run: first.Run})
	f.agent("d")
	f.now += 1400 * time.Millisecond
	must.SliceEmpty(t, f.plan().Starts)
	f.agent(second.Agent, job.Activity{Run: second.Run})
	orders := f.plan()
	test.SliceEmpty(t, orders.Starts)
	test.SliceEmpty(t, orders.Stops)
	third := job.Activity{Run: job.Run{Task: first.Run.Task, Number: second.Run.Number + 1}}
	f.ActivityReported(f.now, "d", []job.Activity{third})
	must.Len(t, 1, f.plan().Stops)
	f.end(second.Agent, second.Run, job.EndDone)
	stops := f.plan().Stops
	must.Len(t, 1, stops)
	test.Eq(t, first.Run, stops[0].Run)
	f.commit()
	test.Eq(t, job.Completed, f.state(j))

	// The cancellation of the job stops both runs.
	old.Cancel(old.now, j.ID)
	test.Len(t, 2, old.plan().Stops)
}

// Runs that were stopped since their copy had ended must not make the learned durations shorter.
func TestPattern_StoppedRunsAreCensored(t *testing.T) {
	f, j, _ := copyFixture(t, unchanged)
	key := durationKey(j, 0)
	before, _ := f.learned.Expected(key, time.Second)
	for range 30 {
		f.learned.LearnCensored(key, time.Second, 1500*time.Millisecond, 1)
	}
	after, _ := f.learned.Expected(key, time.Second)
	test.Greater(t, before, after)
	left, _ := f.learned.Remaining(key, time.Second, 2*time.Second)
	test.InDelta(t, 5, left.Seconds(), 0.2)
}
