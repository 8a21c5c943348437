// Package follower connects an agent's supervisor to the leader. It accepts sessions from
// leaders and applies orders only from the session with the highest term. A follower is the
// agent's end of such a session, not a peer in the leader election.
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
	"bamboowood/internal/ingress"
	"bamboowood/internal/ledger"
	"bamboowood/internal/supervisor"
	"bamboowood/internal/wire"
	"bamboowood/internal/wire/wirepb"
)

const (
	// heartbeatInterval is how often the agent requests a lease.
	heartbeatInterval = 300 * time.Millisecond
	// sessionTimeout is how long a session lasts without a message. The leader answers each
	// heartbeat.
	sessionTimeout = 1200 * time.Millisecond
	// helloTimeout bounds the first message of a session.
	helloTimeout = time.Second
	// maxSessionBytes bounds what a leader has sent and is not decoded yet: one message of the largest
	// size, and a stream's window.
	maxSessionBytes = wire.MaxMessageBytes + 1<<20
	// reregisterDelay is the time without a leader after which the agent registers again.
	reregisterDelay = 4 * time.Second
	// registerInterval is the pause between attempts to register.
	registerInterval = 500 * time.Millisecond
)

// Options configures a Follower.
type Options struct {
	Supervisor *supervisor.Supervisor
	Ledger     *ledger.Ledger
	// Boot registers the boot of the VM in which this process runs.
	Boot   *ledger.BootRegistration
	Logger log.Interface
	// Name and Address are the agent's name and address in the ledger.
	Name, Address string
	// Now is a monotonic clock that includes the time in which the machine is suspended.
	Now func() time.Duration
	// Peers holds the messages that leaders send; nil means no bound. Report counts sessions that
	// end before a valid message.
	Peers  *ingress.Pool
	Report *ingress.Report
	// Advisor is the advice service, which is called for the leader; nil if none is configured.
	Advisor Advisor
}

// Follower serves the leader's sessions for one agent.
type Follower struct {
	opts Options

	mu   sync.Mutex
	term int64
	// leader is the address of that term's leader.
	leader string
	// payloads are the payloads received in the current session.
	payloads *wire.PayloadCache
	current  wire.Session
	// idleSince is when the last session or the last attempt to register ended.
	// reregisterDelay counts from it.
	idleSince time.Duration
}

// New returns a Follower without sessions.
func New(opts Options) *Follower { return &Follower{opts: opts} }

// Serve accepts sessions on ln until ctx is done, which closes ln, or accepting fails.
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
			valid := false
			err := contain.Do(f.opts.Logger, "leader's session", func() error { return f.serve(ctx, conn, &valid) })
			switch {
			case err == nil || ctx.Err() != nil:
			case !valid:
				f.opts.Report.Refused(ingress.PeerInvalid, conn.RemoteAddr().String(), err)
			default:
				f.opts.Logger.WithError(err).WithField("peer", conn.RemoteAddr().String()).Warn("leader's session ended")
			}
		})
	}
}

// serve serves a session. It sets valid once the peer has sent the first message of a leader.
func (f *Follower) serve(ctx context.Context, conn net.Conn, valid *bool) error {
	session, err := wire.NewBoundedServerSession(conn, wire.Bounds{
		Pool: f.opts.Peers, MaxSession: maxSessionBytes, Report: f.opts.Report,
	})
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
	// Leaders of earlier versions do not name the agent.
	if hello.Agent != "" && hello.Agent != f.opts.Name {
		return fmt.Errorf("%w: %q", errOtherAgent, hello.Agent)
	}
	if hello.Term < 1 || hello.Term > ledger.MaxTermNumber {
		return fmt.Errorf("%w: %d", errTermOutOfRange, hello.Term)
	}
	*valid = true
	ingress.MarkServed(conn)
	if laterTerm, leader := f.setCurrent(session, &hello); laterTerm != 0 {
		f.opts.Logger.WithFields(log.Fields{"term": hello.Term, "later_term": laterTerm}).Warn("leader with outdated term refused")
		if err := stream.Send(&wirepb.AgentMessage{LaterTerm: laterTerm, LaterLeader: leader}); err != nil {
			return err
		}
		// The leader closes the session after reading the message. Closing it here could
		// discard the message.
		_ = stream.Recv(&hello)
		return nil
	}
	f.opts.Logger.WithFields(log.Fields{"term": hello.Term, "leader": hello.Leader}).Info("session with leader opened")
	defer f.release(session)
	sendCtx, stopSending := context.WithCancel(ctx)
	defer stopSending()
	go func() {
		defer func() { _ = session.Close() }()
		_ = contain.Do(f.opts.Logger, "messages to the leader", func() error { f.sendLoop(sendCtx, session, stream); return nil })
	}()
	if f.opts.Advisor != nil {
		go func() {
			_ = contain.Do(f.opts.Logger, "advice calls", func() error { return f.serveAdvice(sendCtx, session) })
		}()
	}
	return f.receiveLoop(ctx, session, stream)
}

// setCurrent makes a session the current one and returns 0. If the follower has seen a later
// term, it returns that term and the address of its leader instead.
func (f *Follower) setCurrent(session wire.Session, hello *wirepb.LeaderMessage) (laterTerm int64, leader string) {
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
		f.idleSince = f.opts.Now()
	}
}

// receiveLoop applies the leader's messages while the session is the current one.
func (f *Follower) receiveLoop(ctx context.Context, session wire.Session, stream wire.Stream) error {
	for {
		if err := stream.SetDeadline(time.Now().Add(sessionTimeout)); err != nil {
			return err
		}
		var m wirepb.LeaderMessage
		if err := stream.Recv(&m); err != nil {
			return err
		}
		if err := f.apply(ctx, session, &m); err != nil {
			return err
		}
	}
}

var (
	errReplaced   = errors.New("replaced by another session")
	errOtherAgent = errors.New("leader expects another agent at this address")
	errNoPayload  = errors.New("start order refers to a payload not received in this session")

	errTermOutOfRange = errors.New("leader's term is out of range")
)

// apply applies a message if its session is still the current one. It holds the lock, so that
// no order of an old session takes effect after the snapshot of a new one.
//
// A message holds several orders for one run if the leader has made them since its last message. Stops come
// first: they are urgent, and prevent starts that follow them. Speed limits come after the starts of their runs.
func (f *Follower) apply(ctx context.Context, session wire.Session, m *wirepb.LeaderMessage) error {
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
	for _, ref := range m.Stops {
		if run, err := wire.Run(ref); err == nil {
			s.Stop(ctx, run)
		} else {
			f.opts.Logger.WithError(err).Error("malformed stop order skipped")
		}
	}
	for _, o := range m.Starts {
		if d := f.details([]*wirepb.RunDetails{o.Details}); len(d) == 1 {
			payload, ok := f.payload(d[0].Run.Task.Job, o)
			if !ok {
				// The next session begins with a snapshot of this agent.
				return fmt.Errorf("%s: %w", d[0].Run.Task, errNoPayload)
			}
			s.Start(ctx, supervisor.Order{
				Details: d[0], Payload: payload, Checkpoint: o.Checkpoint, Ticket: o.Ticket,
				ValidUntil: time.Duration(o.ValidUntil), Speed: wire.Speed(o.Speed),
				RunnerID: o.RunnerId, StartTime: o.Born,
			})
		}
	}
	s.SetDetails(f.details(m.Details))
	for _, o := range m.Paces {
		if run, err := wire.Run(o.Run); err == nil {
			s.Throttle(run, int(o.Percent))
		} else {
			f.opts.Logger.WithError(err).Error("malformed throttle order skipped")
		}
	}
	return nil
}

// payload returns the payload of a start order. The order may refer to the payload of an
// earlier order of the session; ok is false if there is none.
func (f *Follower) payload(job string, o *wirepb.StartOrder) (payload string, ok bool) {
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
			f.opts.Logger.WithError(err).Error("malformed details of a run skipped")
			continue
		}
		out = append(out, supervisor.RunDetails{
			Run: run, BestEffort: d.Filler, LatencyTarget: time.Duration(d.LatencyTargetMs) * time.Millisecond,
			CPU: d.Cpu,
		})
	}
	return out
}

// sendLoop sends heartbeats until the snapshot is ready, then the snapshot, then updates and
// heartbeats until the session ends.
func (f *Follower) sendLoop(ctx context.Context, session wire.Session, stream wire.Stream) {
	defer func() { _ = session.Close() }()
	m, snapshot, current := f.nextMessage(session, false)
	ticker := time.NewTicker(heartbeatInterval)
	defer ticker.Stop()
	for current {
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
		m, snapshot, current = f.nextMessage(session, snapshot)
	}
}

// nextMessage returns the next message of a session: the snapshot once it is ready, and updates after
// it. sent is set once the snapshot has been returned. current is false if the session is to end: another one
// has taken over, or is to begin with a new snapshot. That one has all further updates.
func (f *Follower) nextMessage(session wire.Session, snapshot bool) (m *wirepb.AgentMessage, sent, current bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.current != session {
		return nil, snapshot, false
	}
	if snapshot && f.opts.Supervisor.SnapshotOutdated() {
		f.opts.Logger.Info("session closed; the next one begins with a snapshot with more ends")
		return nil, true, false
	}
	if snapshot {
		u, _ := f.opts.Supervisor.TakeUpdate()
		return message(u), true, true
	}
	u, ok := f.opts.Supervisor.Snapshot()
	m = message(u)
	m.Snapshot, m.Advises = ok, f.opts.Advisor != nil
	m.UnlistedRunsMs, m.MoreEnds = u.UnlistedFor.Milliseconds(), u.MoreEnds
	return m, ok, true
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

// Register keeps the agent registered in the ledger until ctx is done and returns ctx.Err().
func (f *Follower) Register(ctx context.Context) error {
	registered, bootRegistered := false, false
	ticker := time.NewTicker(registerInterval)
	defer ticker.Stop()
	for {
		if !bootRegistered {
			first, err := f.opts.Boot.Register(ctx)
			bootRegistered = err == nil
			switch {
			case bootRegistered:
				f.logBoot(first)
				f.opts.Supervisor.BootRegistered(bootClaim(first, f.opts.Boot.Basis().Evidence))
			case ctx.Err() == nil:
				f.opts.Logger.WithError(err).Warn("registration of the boot failed")
			}
		}
		if !registered || f.registrationStale() {
			err := f.opts.Ledger.RegisterAgent(ctx, f.opts.Name, f.opts.Address)
			if err != nil && ctx.Err() == nil {
				f.opts.Logger.WithError(err).Warn("agent registration failed")
			}
			registered = err == nil
			f.mu.Lock()
			f.idleSince = f.opts.Now()
			f.mu.Unlock()
		}
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-ticker.C:
		}
	}
}

// registrationStale reports whether the registration may have been deleted: there has been
// neither a session nor an attempt to register for reregisterDelay.
func (f *Follower) registrationStale() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.current == nil && f.opts.Now()-f.idleSince > reregisterDelay
}
