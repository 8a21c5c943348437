package leader

import (
	"cmp"
	"context"
	"errors"
	"fmt"
	"slices"
	"sync"
	"time"

	"github.com/apex/log"

	"bamboowood/internal/contain"
	"bamboowood/internal/job"
	"bamboowood/internal/ledger"
	"bamboowood/internal/planner"
	"bamboowood/internal/wire"
	"bamboowood/internal/wire/wirepb"
)

const (
	// leaseMargin covers rounding and the time that an agent takes to act on an expiry.
	leaseMargin = 300 * time.Millisecond
	// agentDialTimeout bounds connecting to an agent and the first exchange of messages.
	agentDialTimeout = 800 * time.Millisecond
	// agentSilenceTimeout is the time without a message after which the session is closed.
	// Agents send three heartbeats per second.
	agentSilenceTimeout = 1200 * time.Millisecond
	// agentRetryDelay is the pause after the first failed attempt to reach an agent. It
	// doubles with each further one.
	agentRetryDelay = 200 * time.Millisecond
	// pageOfEnds is the number of ends that a runner lists at most. Agents of the previous version take such a
	// list for complete: for fullPageHold, runs that they do not list do not count as absent. Each further page
	// takes one commit.
	pageOfEnds   = 500
	fullPageHold = 4 * time.Second
	// maxAgentRetryDelay bounds that pause.
	maxAgentRetryDelay = 1600 * time.Millisecond
)

// endSequence identifies the last end received from an incarnation of a runner.
type endSequence struct {
	runner    string
	startTime int64
	sequence  int64
}

// agentConn is the connection to one agent. Its fields are guarded by the leadership's lock,
// except out and payloads, which outMu guards.
type agentConn struct {
	leadership *leadership
	id         string
	address    string
	// grantedAt plus LeaseDuration is when the latest lease granted to the agent expires. It is
	// earlier than the grant if that lease was shorter than LeaseDuration.
	grantedAt time.Duration
	// agentClock is the agent's clock when it sent its last heartbeat, heartbeatAt this
	// process's clock when the heartbeat was received.
	agentClock, heartbeatAt time.Duration
	receivedEnds            endSequence
	// unstored are the received ends of that incarnation of which the agent has not been notified.
	unstored []job.End
	// storedEnds are the ends of which the agent has been notified as stored in this session.
	storedEnds endSequence
	// version is the version of the agent's latest registration, removedVersion of the one
	// removed last, recordedVersion of the one that says that the agent is lost. If registered is false,
	// the registration may have been removed or say so.
	version, removedVersion, recordedVersion int64
	// lostVersion is that of ledger.Lost.Since if the registration says that the agent is lost, and otherwise 0.
	lostVersion int64
	registered  bool
	// deleted is set if the registration was deleted, by this leader or another writer.
	deleted bool
	// inSession is set while a session has messages of the agent; lostSince is when the last one ended.
	inSession bool
	lostSince time.Duration
	// buffered holds the messages received before the planner was recovered from the ledger or
	// while the agent was not registered.
	buffered []*wirepb.AgentMessage
	advice   adviceCaller

	outMu sync.Mutex
	out   *wirepb.LeaderMessage
	// payloads tracks the payloads sent in this session.
	payloads *wire.PayloadCache
	// outPending receives a value when out has data to send; its capacity is 1.
	outPending chan struct{}
}

var (
	errNoAddress      = errors.New("agent has no usable address")
	errTermOutOfRange = errors.New("agent's term is out of range")
)

// addConn opens a connection to an agent or updates it with a new registration. It is called
// with the leadership's lock held.
func (r *leadership) addConn(id string, a ledger.Agent) {
	if a.Deleted {
		if conn := r.conns[id]; conn != nil {
			conn.setDeleted(a)
		}
		return
	}
	if a.Address == "" {
		unusableAddresses.Inc()
		r.opts.Logger.WithField("agent", id).Warn("registration has no usable address")
	}
	if conn := r.conns[id]; conn != nil {
		conn.address = cmp.Or(a.Address, conn.address)
		conn.setRegistered(r.opts.Now(), a)
		return
	}
	conn := &agentConn{
		leadership: r, id: id, address: a.Address, lostSince: r.opts.Now(), outPending: make(chan struct{}, 1),
	}
	conn.setRegistered(r.opts.Now(), a)
	r.conns[id] = conn
	r.run("session", conn.run)
}

func (c *agentConn) run() error {
	r := c.leadership
	wait := agentRetryDelay
	for r.ctx.Err() == nil {
		connected, err := c.runSession()
		if errors.Is(err, errLaterTerm) {
			return err
		}
		if connected {
			wait = agentRetryDelay
			if r.ctx.Err() == nil {
				r.opts.Logger.WithError(err).WithField("agent", c.id).Warn("agent lost")
			}
		}
		pause(r.ctx, wait)
		wait = min(wait*2, maxAgentRetryDelay)
	}
	return r.ctx.Err()
}

// runSession runs one session until it ends. connected reports whether the agent has sent its
// snapshot.
func (c *agentConn) runSession() (connected bool, err error) {
	r := c.leadership
	r.mu.Lock()
	address := c.address
	r.mu.Unlock()
	if address == "" {
		return false, errNoAddress
	}
	dialCtx, cancel := context.WithTimeout(r.ctx, agentDialTimeout)
	defer cancel()
	session, err := wire.Dial(dialCtx, address, nil)
	if err != nil {
		return false, err
	}
	defer func() { _ = session.Close() }()
	stop := context.AfterFunc(r.ctx, func() { _ = session.Close() })
	defer stop()
	stream, err := session.Open(dialCtx)
	if err != nil {
		return false, err
	}
	if err := stream.SetDeadline(time.Now().Add(agentDialTimeout)); err != nil {
		return false, err
	}
	if err := stream.Send(&wirepb.LeaderMessage{Term: r.term.Term.Number, Leader: r.opts.Address, Agent: c.id}); err != nil {
		return false, err
	}
	c.resetOut()
	defer c.sessionLost()
	go func() {
		// Closing the session ends the receive loop below.
		if contain.Do(r.opts.Logger, "messages to an agent", func() error { c.writeLoop(session, stream); return nil }) != nil {
			_ = session.Close()
		}
	}()
	for {
		var m wirepb.AgentMessage
		if err := stream.Recv(&m); err != nil {
			return connected, err
		}
		if m.LaterTerm > ledger.MaxTermNumber {
			return false, fmt.Errorf("%w: %d", errTermOutOfRange, m.LaterTerm)
		}
		if m.LaterTerm > r.term.Term.Number {
			r.leader.observeLater(ledger.Term{Number: m.LaterTerm, Leader: m.LaterLeader})
			return connected, errLaterTerm
		}
		err := contain.Do(r.opts.Logger.WithField("agent", c.id), "agent's message", func() error {
			c.receive(&m, connected)
			return nil
		})
		if err != nil {
			// The next session begins with a snapshot of the agent's whole state.
			return false, err
		}
		connected = connected || m.Snapshot
		if m.Advises {
			c.acceptAdviceCalls(session)
		}
		if err := stream.SetDeadline(time.Now().Add(agentSilenceTimeout)); err != nil {
			return connected, err
		}
	}
}

// resetOut clears the outgoing message and the sent payloads for a new session.
func (c *agentConn) resetOut() {
	c.outMu.Lock()
	defer c.outMu.Unlock()
	c.out = &wirepb.LeaderMessage{}
	c.payloads = wire.NewPayloadCache()
}

// applySnapshot passes the agent's whole state to the planner.
func (c *agentConn) applySnapshot(now time.Duration, m *wirepb.AgentMessage) {
	r := c.leadership
	c.storedEnds = endSequence{}
	c.applyEnds(now, m)
	runner := wire.Runner(m.Runner)
	active := wire.Activities(m.Active)
	unlisted := time.Duration(m.UnlistedRunsMs) * time.Millisecond
	if len(m.Ends) >= pageOfEnds && !m.MoreEnds {
		unlisted = max(unlisted, fullPageHold)
	}
	r.planner.AgentConnected(now, c.id, planner.Snapshot{
		Runner: runner, Active: active, UnlistedFor: unlisted, MoreEnds: m.MoreEnds,
	})
	c.sendDetails(active)
	fields := log.Fields{"agent": c.id, "runs": len(m.Active), "ends": len(m.Ends), "unlisted_ms": m.UnlistedRunsMs, "more_ends": m.MoreEnds, "unknown_agents": r.planner.UnreportedAgents()}
	if runner != nil {
		fields["runner"], fields["zone"], fields["draining"] = runner.ID, runner.Zone, runner.Draining
	}
	r.opts.Logger.WithFields(fields).Info("agent connected")
	r.signalChange()
}

// sendDetails sends the agent the details of active runs, which it lacks for runs that an earlier
// process started.
func (c *agentConn) sendDetails(active []job.Activity) {
	for _, act := range active {
		if step := c.leadership.planner.Step(act.Run.Task); step != nil {
			c.send(func(out *wirepb.LeaderMessage) { out.Details = append(out.Details, runDetails(act.Run, step)) })
		}
	}
}

func runDetails(run job.Run, step *job.Step) *wirepb.RunDetails {
	return &wirepb.RunDetails{
		Run: wire.RunRef(run), Filler: step.BestEffort, LatencyTargetMs: step.LatencyTarget.Milliseconds(),
		Cpu: step.CPU,
	}
}

// applyEnds passes the ends of a message to the planner, except those received before. Without a runner the
// message does not tell which incarnation numbered its ends, so that they may all be new; the message with
// which the runner answers again has them as well.
func (c *agentConn) applyEnds(now time.Duration, m *wirepb.AgentMessage) {
	if m.Runner != nil && (m.Runner.Id != c.receivedEnds.runner || m.Runner.Born != c.receivedEnds.startTime) {
		c.receivedEnds, c.unstored = endSequence{runner: m.Runner.Id, startTime: m.Runner.Born}, nil
	}
	for _, e := range m.Ends {
		if !m.NoRunner && e.Sequence <= c.receivedEnds.sequence {
			continue
		}
		end, err := wire.End(e)
		if err != nil {
			c.leadership.opts.Logger.WithError(err).WithField("agent", c.id).Error("malformed run end skipped")
			continue
		}
		if !m.NoRunner {
			c.receivedEnds.sequence = e.Sequence
			c.recordUnstored(end)
		}
		countEnd(end.Reason)
		c.leadership.applyEnd(now, c.id, end)
	}
}

func (c *agentConn) sessionLost() {
	r := c.leadership
	r.mu.Lock()
	defer r.mu.Unlock()
	c.outMu.Lock()
	c.out = nil
	c.outMu.Unlock()
	c.buffered, c.advice.session = nil, nil
	if c.inSession {
		c.inSession, c.lostSince = false, r.opts.Now()
	}
	r.planner.AgentLost(c.id, c.grantedAt+r.opts.LeaseDuration+leaseMargin)
	r.signalChange()
}

// receive handles a message. Until its snapshot, an agent sends only heartbeats.
func (c *agentConn) receive(m *wirepb.AgentMessage, connected bool) {
	r := c.leadership
	r.mu.Lock()
	defer r.mu.Unlock()
	now := r.opts.Now()
	c.inSession = true
	if !c.registered {
		signal(r.wakeCommit)
	}
	if m.Snapshot || connected {
		c.applyOrBuffer(now, m)
	}
	if m.Beat != 0 {
		c.agentClock, c.heartbeatAt = time.Duration(m.Beat), now
	}
	if m.Beat != 0 && now < r.renewedAt+grantValidity {
		c.grant(now, m.Beat, m.Snapshot || connected)
	}
}

// grant extends the agent's lease. Until the agent has sent its snapshot, the lease must not
// outlast the time for which the planner waits for its report: after that time its tasks are
// started on other agents. An agent that may be recorded as lost gets an empty message, which
// keeps the session, until it is registered again.
func (c *agentConn) grant(now time.Duration, heartbeat int64, reported bool) {
	r := c.leadership
	duration := r.opts.LeaseDuration
	if !c.registered {
		c.send(func(*wirepb.LeaderMessage) {})
		return
	}
	if reported {
		r.planner.AgentLeaseExtended(c.id, now+duration+leaseMargin)
	} else if at, bounded := r.planner.LeaseExpiry(c.id); bounded {
		duration = min(duration, at-leaseMargin-now)
	}
	if duration <= 0 {
		return
	}
	c.grantedAt = max(c.grantedAt, now+duration-r.opts.LeaseDuration)
	c.send(func(out *wirepb.LeaderMessage) {
		out.Grant = &wirepb.LeaseGrant{Beat: heartbeat, HoldMs: duration.Milliseconds()}
	})
}

// applyOrBuffer applies a snapshot or an update, or buffers it until the planner has been
// recovered and the agent is registered.
func (c *agentConn) applyOrBuffer(now time.Duration, m *wirepb.AgentMessage) {
	buffer := !c.leadership.recovered || !c.registered
	switch {
	case buffer && (m.Snapshot || hasStateChange(m)):
		c.buffered = append(c.buffered, m)
		signal(c.leadership.wakeCommit)
	case buffer:
		// Activity of runs is reported again.
	case m.Snapshot:
		c.applySnapshot(now, m)
	default:
		c.applyUpdate(now, m)
	}
}

// applyBuffered applies the buffered messages.
func (c *agentConn) applyBuffered(now time.Duration) {
	buffered := c.buffered
	c.buffered = nil
	for _, m := range buffered {
		c.applyOrBuffer(now, m)
	}
}

// hasStateChange reports whether the message has more than the activity of runs.
func hasStateChange(m *wirepb.AgentMessage) bool {
	return len(m.Ends) > 0 || len(m.Refusals) > 0 || m.Runner != nil || m.NoRunner
}

// applyUpdate passes the changes at an agent to the planner.
func (c *agentConn) applyUpdate(now time.Duration, m *wirepb.AgentMessage) {
	r := c.leadership
	if m.Runner != nil || m.NoRunner {
		c.applyEnds(now, m)
		r.planner.RunnerChanged(now, c.id, wire.Runner(m.Runner), wire.Activities(m.Active))
	} else {
		c.applyEnds(now, m)
	}
	for _, refusal := range m.Refusals {
		run, err := wire.Run(refusal.Run)
		if err != nil {
			r.opts.Logger.WithError(err).WithField("agent", c.id).Error("malformed run refusal skipped")
			continue
		}
		countRefusal(refusal.Reason)
		r.opts.Logger.WithFields(log.Fields{
			"task": run.Task.String(), "run": run.Number, "agent": c.id, "reason": refusal.Reason,
		}).Info("start refused")
		r.planner.StartRefused(now, c.id, run, planner.RefusalReason(refusal.Reason))
	}
	if len(m.Active) > 0 {
		active := wire.Activities(m.Active)
		r.planner.ActivityReported(now, c.id, active)
		c.sendDetails(slices.DeleteFunc(active, func(act job.Activity) bool { return !act.DetailsUnknown }))
	}
	if hasStateChange(m) {
		r.signalChange()
	}
}
