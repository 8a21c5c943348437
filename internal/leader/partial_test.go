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
	f := newPartialFixture(t)
	f.now += time.Second
	test.Len(t, 0, f.reconnect(&wirepb.AgentMessage{UnlistedRunsMs: 8000, MoreEnds: true}))
	f.now += time.Second
	test.Len(t, f.started, f.reconnect(&wirepb.AgentMessage{}))
}

// Guards against the same for an agent of the previous version, whose snapshot has the first page of ends and does
// not say that there are more.
func TestAgentConn_SnapshotWithFullPageOfEnds(t *testing.T) {
	f := newPartialFixture(t)
	m := &wirepb.AgentMessage{}
	for n := range int64(pageOfEnds) {
		run := job.Run{Task: job.Task{Job: testJob(2).ID, Index: int(n)}, Number: 1}
		m.Ends = append(m.Ends, wire.RunEnd(job.End{Sequence: n + 1, Run: run, Reason: job.EndDone}))
	}
	test.Len(t, 0, f.reconnect(m))
	f.now += fullPageHold
	test.Len(t, f.started, f.plan())
}

// partialFixture is a leader without a network, with a job that it has started on its only agent.
type partialFixture struct {
	*agentConn
	now     time.Duration
	started int
}

func newPartialFixture(t *testing.T) *partialFixture {
	f := &partialFixture{now: time.Hour}
	r := &leadership{
		opts: Options{
			Logger: &log.Logger{Handler: discard.Default}, Now: func() time.Duration { return f.now }, LeaseDuration: 5 * time.Second,
			EvacuationDeadline: defaultEvacuationDeadline, CancelDeadline: defaultCancelDeadline,
		},
		planner: planner.New(planner.Options{Term: 1, EndedRetention: time.Minute, RemoteFactor: 1.5}), recovered: true,
		held:     newHeldInputs(),
		wakePlan: make(chan struct{}, 1), wakeCommit: make(chan struct{}, 1),
	}
	f.agentConn = &agentConn{leadership: r, id: "a", registered: true, outPending: make(chan struct{}, 1)}
	r.planner.AddJob(f.instant(), testJob(1), nil, false)
	starts := f.connect(&wirepb.AgentMessage{})
	must.SliceNotEmpty(t, starts)
	f.started = len(starts)
	m := &wirepb.AgentMessage{}
	for _, o := range starts {
		m.Active = append(m.Active, &wirepb.RunActivity{Run: wire.RunRef(o.Run)})
	}
	f.receive(m, true)
	return f
}

func (f *partialFixture) instant() planner.Instant {
	return planner.Instant{Mono: f.now, Wall: time.Unix(0, 0).Add(f.now)}
}

func (f *partialFixture) plan() []planner.Start {
	return f.leadership.planner.Plan(f.instant(), true).Starts
}

func (f *partialFixture) connect(snapshot *wirepb.AgentMessage) []planner.Start {
	f.resetOut()
	snapshot.Snapshot = true
	snapshot.Runner = wire.RunnerInfo(&job.Runner{
		ID: "i-1", Service: "desk", Zone: "z1", Capacity: job.Resources{CPU: 64_000, MemoryMB: 64_000},
	})
	f.receive(snapshot, false)
	return f.plan()
}

func (f *partialFixture) reconnect(snapshot *wirepb.AgentMessage) []planner.Start {
	f.sessionLost()
	return f.connect(snapshot)
}
