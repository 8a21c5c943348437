package planner

import (
	"fmt"
	"runtime"
	"testing"
	"time"

	"bamboowood/internal/forecast"
	"bamboowood/internal/job"
)

// BenchmarkPlanner simulates the given numbers of runners and of starts per second in
// virtual time. Jobs have two steps of 8 tasks that take one second each.
func BenchmarkPlanner(b *testing.B) {
	for _, runners := range []int{11, 73, 300, 895} {
		for _, starts := range []int{100, 500, 5000} {
			b.Run(fmt.Sprintf("runners=%d/starts=%d", runners, starts), func(b *testing.B) { benchmark(b, runners, starts) })
		}
	}
}

func benchmark(b *testing.B, runners, startsPerSecond int) {
	const tasks, interval = 8, 10 * time.Millisecond
	p := New(Options{Term: 1, EndedRetention: time.Second, RemoteFactor: 1.5})
	now := time.Hour
	for i := range runners {
		id := fmt.Sprintf("a%d", i)
		r := testRunner(id)
		r.Capacity = job.Resources{CPU: 64_000, MemoryMB: 256_000}
		p.AgentConnected(now, id, Snapshot{Runner: r})
	}
	type scheduledEnd struct {
		at    time.Duration
		start Start
	}
	var running []scheduledEnd
	events, jobs, sequence, pendingJobs := 0, 0, int64(0), 0.0
	b.ReportAllocs()
	for b.Loop() {
		now += interval
		instant := Instant{Mono: now, Wall: time.Unix(1_000_000, 0).Add(now)}
		pendingJobs += float64(startsPerSecond) * interval.Seconds() / (2 * tasks)
		for ; pendingJobs >= 1; pendingJobs-- {
			j := testJob(jobs, step(tasks), step(tasks, 0))
			j.AcceptedAt = instant.Wall
			p.AddJob(instant, j, nil, false)
			jobs++
			events++
		}
		for len(running) > 0 && running[0].at <= now {
			e := running[0]
			running = running[1:]
			sequence++
			p.RunEnded(now, e.start.Agent, job.End{Sequence: sequence, Run: e.start.Run, Reason: job.EndDone})
			events++
		}
		for _, s := range p.Plan(instant, true).Starts {
			running = append(running, scheduledEnd{now + time.Second, s})
		}
		for _, c := range p.TakeChanges(1000) {
			p.ChangeCommitted(now, c)
		}
		p.CollectEnded(now)
	}
	b.ReportMetric(float64(events)/b.Elapsed().Seconds(), "events/s")
	// CPU time of the planner in percent of the virtual time.
	b.ReportMetric(100*b.Elapsed().Seconds()/(float64(b.N)*interval.Seconds()), "%core")
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	b.ReportMetric(float64(m.HeapAlloc)/1024, "heap-KB")
	runtime.KeepAlive(p)
}

// BenchmarkPlan measures single plans with 900 runners, 12,000 runs and 6,000 waiting tasks, of which every
// tenth step is large. With the look-ahead each plan makes new reservations, which is its worst case.
func BenchmarkPlan(b *testing.B) {
	for _, lookahead := range []bool{false, true} {
		b.Run(fmt.Sprintf("lookahead=%t", lookahead), func(b *testing.B) { benchmarkPlan(b, lookahead) })
	}
}

func benchmarkPlan(b *testing.B, lookahead bool) {
	const runners, tasks = 900, 10
	p := New(Options{Term: 1, EndedRetention: time.Second, RemoteFactor: 1.5, Lookahead: lookahead, LearnedDurations: true})
	now := time.Hour
	instant := func() Instant { return Instant{Mono: now, Wall: time.Unix(1_000_000, 0).Add(now)} }
	for i := range runners {
		r := testRunner(fmt.Sprintf("a%d", i))
		r.Capacity = job.Resources{CPU: 64_000, MemoryMB: 256_000}
		p.AgentConnected(now, fmt.Sprintf("a%d", i), Snapshot{Runner: r})
	}
	add := func(from, to int, cpu int64, slack time.Duration) {
		for n := from; n < to; n++ {
			j := testJob(n, step(tasks))
			j.AcceptedAt, j.Queue.Slack = instant().Wall, slack
			j.Steps[0].CPU, j.Steps[0].Estimate = cpu, time.Duration(1+n%20)*time.Second
			p.AddJob(instant(), j, nil, false)
		}
	}
	add(0, 1260, 4500, time.Hour) // 14 tasks fit on a runner
	starts := p.Plan(instant(), true).Starts
	for _, s := range starts {
		p.ActivityReported(now, s.Agent, []job.Activity{{Run: s.Run}})
	}
	add(1260, 1800, 4500, 2*time.Hour)
	add(1800, 1860, 30_000, time.Minute)
	for image := range 40 { // learned values of this size take the longest to look up
		p.learned.Learn(forecast.Key{Queue: "q"}, time.Second, time.Duration(100+100*image)*time.Millisecond, 1)
	}
	reservations := 0
	b.ResetTimer()
	for b.Loop() {
		now += 10 * time.Millisecond
		for s, rs := range p.lookahead.steps {
			for len(rs.reservations) > 0 {
				p.removeReservation(now, rs.reservations[0], ReservationOverdue)
			}
			delete(p.lookahead.steps, s)
		}
		for _, a := range p.orderedAgents {
			for _, r := range a.runs {
				r.progressAt = now // not stalled
			}
		}
		for _, e := range p.Plan(instant(), true).Reservations {
			if e.Change == ReservationMade {
				reservations++
			}
		}
	}
	b.ReportMetric(float64(len(starts)), "runs")
	b.ReportMetric(float64(reservations)/float64(b.N), "reservations/plan")
}
