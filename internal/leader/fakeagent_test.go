package leader

import (
	"context"
	"net"
	"sync"
	"testing"
	"time"

	"github.com/shoenig/test/must"
	"github.com/shoenig/test/wait"

	"bamboowood/internal/boottime"
	"bamboowood/internal/job"
	"bamboowood/internal/wire"
	"bamboowood/internal/wire/wirepb"
)

// fakeAgent accepts sessions of any leader and has a runner with ample capacity. It records all
// messages with the time at which they were received.
type fakeAgent struct {
	address  string
	mu       sync.Mutex
	active   []*wirepb.RunActivity
	ends     []*wirepb.RunEnd
	received []receivedMessage
	// noRunner means that it has no runner, noSnapshot that it sends only heartbeats.
	noRunner, noSnapshot bool
	// unlisted is for how long its snapshot says that runs may be alive which it does not list.
	unlisted time.Duration
	// refuse means that it closes each connection at once, mute that it sends nothing.
	refuse, mute bool
	sessions     []wire.Session
	// laterTerm, unless 0, is the term that it claims to have seen.
	laterTerm int64
	// updated are the runs whose activity the next message reports.
	updated []*wirepb.RunActivity
}

// closeSessions closes all sessions, so that the leader has to reconnect.
func (a *fakeAgent) closeSessions() {
	a.mu.Lock()
	defer a.mu.Unlock()
	for _, s := range a.sessions {
		_ = s.Close()
	}
	a.sessions = nil
}

func (a *fakeAgent) set(change func()) {
	a.mu.Lock()
	defer a.mu.Unlock()
	change()
}

// firstMessage returns the first message of a session.
func (a *fakeAgent) firstMessage() *wirepb.AgentMessage {
	a.mu.Lock()
	defer a.mu.Unlock()
	m := &wirepb.AgentMessage{Beat: int64(boottime.Now()), Snapshot: !a.noSnapshot, Active: a.active, Ends: a.ends, NoRunner: a.noRunner, LaterTerm: a.laterTerm, LaterLeader: "10.0.0.9:1", UnlistedRunsMs: a.unlisted.Milliseconds()}
	if !a.noRunner {
		m.Runner = wire.RunnerInfo(&job.Runner{
			ID: "i-1", Service: "desk", Zone: "z1", Capacity: job.Resources{CPU: 64_000, MemoryMB: 64_000},
		})
	}
	return m
}

type receivedMessage struct {
	at      time.Duration
	message *wirepb.LeaderMessage
}

func newFakeAgent(t *testing.T, active ...job.Run) *fakeAgent {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	must.NoError(t, err)
	a := &fakeAgent{address: ln.Addr().String()}
	for _, run := range active {
		a.active = append(a.active, &wirepb.RunActivity{Run: wire.RunRef(run)})
	}
	ctx, cancel := context.WithCancel(context.Background())
	t.Cleanup(cancel)
	context.AfterFunc(ctx, func() { _ = ln.Close() })
	go func() {
		for {
			conn, err := ln.Accept()
			if err != nil {
				return
			}
			refused := false
			a.set(func() { refused = a.refuse })
			if refused {
				_ = conn.Close()
				continue
			}
			go a.serve(ctx, conn)
		}
	}()
	return a
}

func (a *fakeAgent) serve(ctx context.Context, conn net.Conn) {
	session, err := wire.NewServerSession(conn)
	if err != nil {
		return
	}
	defer func() { _ = session.Close() }()
	stop := context.AfterFunc(ctx, func() { _ = session.Close() })
	defer stop()
	stream, err := session.Accept(ctx)
	if err != nil {
		return
	}
	mute := false
	a.set(func() { a.sessions, mute = append(a.sessions, session), a.mute })
	if mute {
		<-session.Done()
		return
	}
	go func() {
		m := a.firstMessage()
		for ctx.Err() == nil && stream.Send(m) == nil {
			m = &wirepb.AgentMessage{}
			time.Sleep(50 * time.Millisecond)
			a.set(func() { m.Active, a.updated = a.updated, nil })
			m.Beat = int64(boottime.Now())
		}
	}()
	for {
		var m wirepb.LeaderMessage
		if stream.Recv(&m) != nil {
			return
		}
		a.mu.Lock()
		a.received = append(a.received, receivedMessage{boottime.Now(), &m})
		a.mu.Unlock()
	}
}

// await waits for a message that matches.
func (a *fakeAgent) await(t *testing.T, matches func(*wirepb.LeaderMessage) bool) receivedMessage {
	var found receivedMessage
	must.Wait(t, wait.InitialSuccess(wait.BoolFunc(func() bool {
		a.mu.Lock()
		defer a.mu.Unlock()
		for _, m := range a.received {
			if matches(m.message) {
				found = m
				return true
			}
		}
		return false
	}), wait.Timeout(8*time.Second), wait.Gap(5*time.Millisecond)))
	return found
}

func (a *fakeAgent) count(matches func(*wirepb.LeaderMessage) bool) int {
	a.mu.Lock()
	defer a.mu.Unlock()
	n := 0
	for _, m := range a.received {
		if matches(m.message) {
			n++
		}
	}
	return n
}

// countStarts returns the number of runs that the agent was ordered to start.
func (a *fakeAgent) countStarts() int {
	a.mu.Lock()
	defer a.mu.Unlock()
	started := map[string]bool{}
	for _, m := range a.received {
		for _, s := range m.message.Starts {
			started[s.Details.Run.String()] = true
		}
	}
	return len(started)
}

func hasGrant(m *wirepb.LeaderMessage) bool  { return m.Grant != nil }
func hasStarts(m *wirepb.LeaderMessage) bool { return len(m.Starts) > 0 }
func hasStored(m *wirepb.LeaderMessage) bool { return m.Stored != nil }
func hasStops(m *wirepb.LeaderMessage) bool  { return len(m.Stops) > 0 }
