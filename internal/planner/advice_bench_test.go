package planner

import (
	"fmt"
	"testing"
	"time"

	"bamboowood/internal/job"
)

// BenchmarkPlan_Advice plans 1,000 waiting steps of a queue with a policy on 900 runners, with 64 callers of the
// advice service that answer within the plan's interval. free is a fleet with room, full one without.
func BenchmarkPlan_Advice(b *testing.B) {
	for _, full := range []bool{false, true} {
		name := "free"
		if full {
			name = "full"
		}
		b.Run(name, func(b *testing.B) {
			p := New(Options{Term: 1, EndedRetention: time.Minute, RemoteFactor: 1.5})
			now := Instant{Mono: time.Hour, Wall: time.Unix(1_000_000, 0)}
			for n := range 900 {
				id := fmt.Sprint("m", n)
				p.AgentConnected(now.Mono, id, Snapshot{Runner: testRunner(id)})
				if full {
					p.agents[id].requested.CPU = 16_000
				}
			}
			for n := range 1000 {
				j := testJob(n, step(4))
				j.Queue.Advice = &job.Advice{Decide: 20 * time.Millisecond, Each: time.Millisecond, Valid: 3 * time.Second}
				j.AcceptedAt = now.Wall
				p.AddJob(now, j, nil, false)
			}
			p.SetAdviceCallers(64)
			requests := 0
			b.ResetTimer()
			for range b.N {
				now.Mono += time.Millisecond
				for _, q := range p.Plan(now, true).AdviceRequests {
					requests++
					// Denied, so that the steps keep waiting.
					p.AdviceReceived(now.Mono, now.Mono, q, job.AdviceAnswer{})
				}
			}
			b.ReportMetric(float64(requests)/float64(b.N), "requests/op")
		})
	}
}
