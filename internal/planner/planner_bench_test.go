package planner

import (
	"fmt"
	"runtime"
	"testing"
	"time"

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
		p.AgentConnected(now, id, r, nil)
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
