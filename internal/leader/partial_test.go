package leader

import (
	"testing"
	"time"

	"github.com/apex/log"
	"github.com/apex/log/handlers/discard"
	"github.com/shoenig/test"
	"github.com/shoenig/test/must"

	"bamboowood/internal/job"
	"bamboowood/internal/planner"
	"bamboowood/internal/wire"
	"bamboowood/internal/wire/wirepb"
)

// Guards against taking runs that a partial snapshot does not list for absent (TWICE), and against holding them
// after the complete snapshot (LOST).
func TestAgentConn_PartialSnapshot(t *testing.T) {
	now := time.Hour
	r := &leadership{
		opts: Options{
			Logger: &log.Logger{Handler: discard.Default}, Now: func() time.Duration { return now }, LeaseDuration: 5 * time.Second,
		},
		planner: planner.New(planner.Options{Term: 1, EndedRetention: time.Minute, RemoteFactor: 1.5}), recovered: true,
		wakePlan: make(chan struct{}, 1), wakeCommit: make(chan struct{}, 1),
	}
	c := &agentConn{leadership: r, id: "a", registered: true, outPending: make(chan struct{}, 1)}
	connect := func(m *wirepb.AgentMessage) []planner.Start {
		c.resetOut()
		m.Snapshot = true
		m.Runner = wire.RunnerInfo(&job.Runner{ID: "i-1", Service: "desk", Zone: "z1", Capacity: job.Resources{CPU: 64_000, MemoryMB: 64_000}})
		c.receive(m, false)
		return r.planner.Plan(planner.Instant{Mono: now, Wall: time.Unix(0, 0).Add(now)}, true).Starts
	}
	j := testJob(1)
	r.planner.AddJob(planner.Instant{Mono: now, Wall: time.Unix(0, 0).Add(now)}, j, nil, false)
	starts := connect(&wirepb.AgentMessage{})
	must.SliceNotEmpty(t, starts)
	c.receive(&wirepb.AgentMessage{Active: []*wirepb.RunActivity{{Run: wire.RunRef(starts[0].Run)}}}, true)
	c.sessionLost()
	test.Len(t, 0, connect(&wirepb.AgentMessage{UnlistedRunsMs: 8000, MoreEnds: true}))
	now += time.Second
	c.sessionLost()
	test.Len(t, len(starts), connect(&wirepb.AgentMessage{}))
}
