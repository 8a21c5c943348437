// Package follower connects an agent's supervisor to the entry that leads: it
// takes the leader's sessions, of which the one of the highest term counts.
package follower

import (
	"context"
	"errors"
	"fmt"
	"net"
	"sync"
	"time"

	"github.com/apex/log"

	"bamboowood/internal/contain"
	"bamboowood/internal/ledger"
	"bamboowood/internal/supervisor"
	"bamboowood/internal/wire"
	"bamboowood/internal/wire/wirepb"
)

const (
	// beatInterval is how often a lease is asked for.
	beatInterval = 300 * time.Millisecond
	// silence without a message means that the connection is dead: the leader
	// answers each beat.
	silence = 1200 * time.Millisecond
	// helloTimeout bounds the first message of a session.
	helloTimeout = time.Second
	// orphanTime without a leader makes the agent look whether it is registered.
	orphanTime = 4 * time.Second
	// registerInterval is the pause between tries to register.
	registerInterval = 500 * time.Millisecond
)

// Options of a Follower.
type Options struct {
	Supervisor *supervisor.Supervisor
	Ledger     *ledger.Ledger
	Logger     log.Interface
	// Name and Address are what the agent registers.
	Name, Address string
	// Now is a clock that counts suspended time.
	Now func() time.Duration
}

// Follower serves one agent.
type Follower struct {
	opts Options

	mu   sync.Mutex
	term int64
	// leader is where the leader of that term is reached.
	leader string
	// payloads are those that the current session has brought.
	payloads *wire.PayloadCache
	current  wire.Session
	// heard is when the last leader's session ended.
	heard time.Duration
}

// New returns a follower.
func New(opts Options) *Follower { return &Follower{opts: opts} }

// Serve takes sessions until ctx ends.
func (f *Follower) Serve(ctx context.Context, ln net.Listener) error {
	stop := context.AfterFunc(ctx, func() { _ = ln.Close() })
	defer stop()
	var wg sync.WaitGroup
	defer wg.Wait()
	for {
		conn, err := ln.Accept()
		if ctx.Err() != nil {
			return ctx.Err()
		}
		if err != nil {
			return fmt.Errorf("accept: %w", err)
		}
		wg.Go(func() {
			defer func() { _ = conn.Close() }()
			err := contain.Do(f.opts.Logger, "leader's session", func() error { return f.serve(ctx, conn) })
			if err != nil && ctx.Err() == nil {
				f.opts.Logger.WithError(err).WithField("peer", conn.RemoteAddr().String()).Warn("leader's session ended")
			}
		})
	}
}

func (f *Follower) serve(ctx context.Context, conn net.Conn) error {
	session, err := wire.NewServerSession(conn)
	if err != nil {
		return err
	}
	defer func() { _ = session.Close() }()
	stop := context.AfterFunc(ctx, func() { _ = session.Close() })
	defer stop()
	helloCtx, cancel := context.WithTimeout(ctx, helloTimeout)
	defer cancel()
	stream, err := session.Accept(helloCtx)
	if err != nil {
		return err
	}
	if err := stream.SetDeadline(time.Now().Add(helloTimeout)); err != nil {
		return err
	}
	var hello wirepb.LeaderMessage
	if err := stream.Recv(&hello); err != nil {
		return err
	}
	if later, leader := f.adopt(session, &hello); later != 0 {
		f.opts.Logger.WithFields(log.Fields{"term": hello.Term, "later_term": later}).Warn("leader of an old term refused")
		if err := stream.Send(&wirepb.AgentMessage{LaterTerm: later, LaterLeader: leader}); err != nil {
			return err
		}
		// The leader closes the session once it has read that. Closing it here could
		// discard the message.
		_ = stream.Recv(&hello)
		return nil
	}
	f.opts.Logger.WithFields(log.Fields{"term": hello.Term, "leader": hello.Leader}).Info("following")
	defer f.release(session)
	sendCtx, stopSending := context.WithCancel(ctx)
	defer stopSending()
	go func() {
		defer func() { _ = session.Close() }()
		_ = contain.Do(f.opts.Logger, "messages to the leader", func() error { f.send(sendCtx, session, stream); return nil })
	}()
	return f.receive(ctx, session, stream)
}

// adopt makes a session the current one, unless a later term is known, which it returns
// with its leader.
func (f *Follower) adopt(session wire.Session, hello *wirepb.LeaderMessage) (later int64, leader string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if hello.Term < f.term {
		return f.term, f.leader
	}
	f.term, f.leader = hello.Term, hello.Leader
	if f.current != nil {
		_ = f.current.Close()
	}
	f.current, f.payloads = session, wire.NewPayloadCache()
	return 0, ""
}

func (f *Follower) release(session wire.Session) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.current == session {
		f.current = nil
		f.heard = f.opts.Now()
	}
}

// receive takes the leader's messages while the session is the current one.
func (f *Follower) receive(ctx context.Context, session wire.Session, stream wire.Stream) error {
	for {
		if err := stream.SetDeadline(time.Now().Add(silence)); err != nil {
			return err
		}
		var m wirepb.LeaderMessage
		if err := stream.Recv(&m); err != nil {
			return err
		}
		if err := f.take(ctx, session, &m); err != nil {
			return err
		}
	}
}

var (
	errReplaced  = errors.New("replaced by another session")
	errNoPayload = errors.New("payload of a start is not known")
)

// take carries out a message if its session is still the current one. The lock
// is held, so that no order of an old session follows the snapshot of a new one.
func (f *Follower) take(ctx context.Context, session wire.Session, m *wirepb.LeaderMessage) error {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.current != session {
		return errReplaced
	}
	s := f.opts.Supervisor
	if g := m.Grant; g != nil {
		s.GrantLease(time.Duration(g.Beat) + time.Duration(g.HoldMs)*time.Millisecond)
	}
	if d := m.Stored; d != nil {
		s.EndsStored(d.RunnerId, d.Born, d.Sequence)
	}
	s.SetDetails(f.details(m.Details))
	for _, ref := range m.Stops {
		if run, err := wire.Run(ref); err == nil {
			s.Stop(ctx, run)
		} else {
			f.opts.Logger.WithError(err).Error("order to stop left out")
		}
	}
	for _, o := range m.Paces {
		if run, err := wire.Run(o.Run); err == nil {
			s.Throttle(run, int(o.Percent))
		} else {
			f.opts.Logger.WithError(err).Error("order to pace left out")
		}
	}
	for _, o := range m.Starts {
		if d := f.details([]*wirepb.RunDetails{o.Details}); len(d) == 1 {
			payload, known := f.payload(d[0].Run.Task.Job, o)
			if !known {
				// The next session begins with the leader's whole knowledge of this agent.
				return fmt.Errorf("%s: %w", d[0].Run.Task, errNoPayload)
			}
			s.Start(ctx, supervisor.Order{
				Details: d[0], Payload: payload, Checkpoint: o.Checkpoint, Ticket: o.Ticket,
				ValidUntil: time.Duration(o.ValidUntil),
			})
		}
	}
	return nil
}

// payload returns that of a start, which an earlier start of the session may have brought.
func (f *Follower) payload(job string, o *wirepb.StartOrder) (payload string, known bool) {
	if o.SamePayload {
		return f.payloads.Get(job)
	}
	f.payloads.Put(job, o.Payload)
	return o.Payload, true
}

func (f *Follower) details(in []*wirepb.RunDetails) []supervisor.RunDetails {
	out := make([]supervisor.RunDetails, 0, len(in))
	for _, d := range in {
		run, err := wire.Run(d.GetRun())
		if err != nil {
			f.opts.Logger.WithError(err).Error("details of a run left out")
			continue
		}
		out = append(out, supervisor.RunDetails{
			Run: run, BestEffort: d.Filler, LatencyTarget: time.Duration(d.LatencyTargetMs) * time.Millisecond,
		})
	}
	return out
}

// send sends beats until the snapshot is ready, then the snapshot, then updates
// and beats until the session ends.
func (f *Follower) send(ctx context.Context, session wire.Session, stream wire.Stream) {
	defer func() { _ = session.Close() }()
	m, snapshot := f.snapshot()
	ticker := time.NewTicker(beatInterval)
	defer ticker.Stop()
	for {
		m.Beat = int64(f.opts.Now())
		if err := stream.Send(m); err != nil {
			if ctx.Err() == nil {
				f.opts.Logger.WithError(err).Warn("message to leader not sent")
			}
			return
		}
		select {
		case <-ctx.Done():
			return
		case <-session.Done():
			return
		case <-ticker.C:
		case <-f.opts.Supervisor.Updates():
		}
		if !snapshot {
			m, snapshot = f.snapshot()
		} else {
			u, _ := f.opts.Supervisor.TakeUpdate()
			m = message(u)
		}
	}
}

func (f *Follower) snapshot() (m *wirepb.AgentMessage, ok bool) {
	u, ok := f.opts.Supervisor.Snapshot()
	m = message(u)
	m.Snapshot = ok
	return m, ok
}

func message(u supervisor.Update) *wirepb.AgentMessage {
	m := &wirepb.AgentMessage{}
	if u.RunnerChanged {
		m.Runner = wire.RunnerInfo(u.Runner)
		m.NoRunner = u.Runner == nil
	}
	for _, a := range u.Active {
		m.Active = append(m.Active, wire.RunActivity(a))
	}
	for _, e := range u.Ends {
		m.Ends = append(m.Ends, wire.RunEnd(e))
	}
	for _, r := range u.Refusals {
		m.Refusals = append(m.Refusals, &wirepb.RunRefusal{Run: wire.RunRef(r.Run), Reason: string(r.Reason)})
	}
	return m
}

// Register keeps the agent's address in the ledger, until ctx ends.
func (f *Follower) Register(ctx context.Context) error {
	registered := false
	ticker := time.NewTicker(registerInterval)
	defer ticker.Stop()
	for {
		if !registered || f.orphaned() {
			err := f.opts.Ledger.RegisterAgent(ctx, f.opts.Name, f.opts.Address)
			if err != nil && ctx.Err() == nil {
				f.opts.Logger.WithError(err).Warn("agent not registered")
			}
			registered = err == nil
			f.mu.Lock()
			f.heard = f.opts.Now()
			f.mu.Unlock()
		}
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-ticker.C:
		}
	}
}

// orphaned says that no leader has been heard of for long: the registration may
// have been removed.
func (f *Follower) orphaned() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.current == nil && f.opts.Now()-f.heard > orphanTime
}
