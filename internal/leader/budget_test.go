package leader

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/shoenig/test"
	"github.com/shoenig/test/must"

	"bamboowood/internal/job"
	"bamboowood/internal/planner"
)

// A leader on a slow link receives a burst of wide jobs with large payloads and then one urgent
// job. The starts ordered at any time are sent within startBacklog and half an interval
// between plans, the urgent job is started ahead of the burst, and all jobs are started in the
// end.
func TestPattern_BurstOverASlowLink(t *testing.T) {
	const (
		linkRate  = 250_000 // 2 Mbit/s
		agents    = 16
		jobs      = 20
		width     = 30
		payload   = 2_400
		urgentAt  = time.Second
		planEvery = 50 * time.Millisecond
	)
	p := planner.New(planner.Options{Term: 1, EndedRetention: time.Minute, RemoteFactor: 1.5})
	now := time.Hour
	instant := func() planner.Instant { return planner.Instant{Mono: now, Wall: time.Unix(0, 0).Add(now)} }
	for i := range agents {
		id := fmt.Sprintf("a%02d", i)
		p.AgentConnected(now, id, planner.Snapshot{Runner: &job.Runner{
			ID: id, Service: "desk", Zone: "z1", Capacity: job.Resources{CPU: 1_000_000, MemoryMB: 1_000_000},
		}})
	}
	add := func(n, tasks, priority int) {
		p.AddJob(instant(), &job.Job{
			ID: fmt.Sprintf("%016x", n), AcceptedAt: instant().Wall, Payload: strings.Repeat("x", payload),
			Queue: job.Queue{Name: "q", Service: "desk", MaxAttempts: 2, Stretch: 2, Slack: time.Second, Priority: priority},
			Steps: []job.Step{{Tasks: tasks, CPU: 1000, MemoryMB: 100, Estimate: time.Second}},
		}, nil, false)
	}
	for n := range jobs {
		add(n, width, 1)
	}
	b := newBudget(linkRate)
	begin, started, urgentStarted := now, 0, time.Duration(0)
	const urgent = 1_000
	for started < jobs*width+1 {
		must.Less(t, time.Minute, now-begin)
		if now-begin == urgentAt {
			add(urgent, 1, 0)
		}
		p.SetStartBudget(b.remaining(now))
		orders := p.Plan(instant(), true)
		for _, o := range orders.Starts {
			b.spend(now, len(o.Payload)+startOverheadBytes)
			if o.Run.Task.Job == fmt.Sprintf("%016x", urgent) {
				urgentStarted = b.busyUntil
			}
		}
		started += len(orders.Starts)
		test.LessEq(t, startBacklog+planEvery/2, b.busyUntil-now)
		now += planEvery
	}
	test.LessEq(t, urgentAt+2*startBacklog, urgentStarted-begin)
	// The time to send all bytes at the rate for starts.
	bytes := float64(jobs*width) * (payload + startOverheadBytes)
	test.LessEq(t, 1.1*bytes/(startShare*linkRate), (now - begin).Seconds())
}

// Without a known link rate, starts are not limited.
func TestBudget_UnknownLink(t *testing.T) {
	b := newBudget(0)
	b.spend(0, 1<<30)
	_, bounded := b.remaining(0)
	test.False(t, bounded)
}
