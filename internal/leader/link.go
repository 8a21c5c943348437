package leader

import (
	"context"
	"errors"
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
	// leaseMargin covers rounding and the time an agent takes to act.
	leaseMargin = 300 * time.Millisecond
	// linkDialTimeout bounds the connect and the first exchange with an agent.
	linkDialTimeout = 800 * time.Millisecond
	// linkSilence without a message means that the connection is dead: agents
	// send a beat three times a second.
	linkSilence = 1200 * time.Millisecond
	// linkRetry is the pause between tries to reach an agent.
	linkRetry = 200 * time.Millisecond
	// maxLinkRetry bounds that pause, which grows for an agent that stays away.
	maxLinkRetry = 1600 * time.Millisecond
)

// endMark names the last end that was taken from a life of a runner.
type endMark struct {
	runner   string
	born     int64
	sequence int64
}

// link is the session with one agent. Its fields are guarded by the leadership's
// lock, but for out.
type link struct {
	leadership *leadership
	id         string
	address    string
	// granted is when the last lease was granted.
	granted time.Duration
	// beat is the agent's clock when it sent its last beat, beatAt this process's when it
	// came.
	beat, beatAt time.Duration
	taken        endMark
	acked        endMark
	// version is that of the agent's latest registration, removed the one that was removed
	// last. Without registered, the ledger may not have it any more.
	version, removed int64
	registered       bool
	// held has the messages that came before the planner had the ledger's jobs, or the
	// ledger the agent.
	held []*wirepb.AgentMessage

	outMu sync.Mutex
	out   *wirepb.LeaderMessage
	// payloads are those that the session has sent.
	payloads *wire.PayloadCache
	ready    chan struct{}
}

// addLink is called with the leadership's lock held.
func (r *leadership) addLink(id string, a ledger.Agent) {
	if k := r.links[id]; k != nil {
		k.address = a.Address
		k.setRegistered(r.opts.Now(), a.Version)
		return
	}
	k := &link{
		leadership: r, id: id, address: a.Address, version: a.Version, registered: true, ready: make(chan struct{}, 1),
	}
	r.links[id] = k
	r.run("session", k.run)
}

func (k *link) run() error {
	r := k.leadership
	wait := linkRetry
	for r.ctx.Err() == nil {
		connected, err := k.session()
		if errors.Is(err, errLaterTerm) {
			return err
		}
		if connected {
			wait = linkRetry
			if r.ctx.Err() == nil {
				r.opts.Logger.WithError(err).WithField("agent", k.id).Warn("agent lost")
			}
		}
		pause(r.ctx, wait)
		wait = min(wait*2, maxLinkRetry)
	}
	return r.ctx.Err()
}

// session runs one session and says whether the agent has answered.
func (k *link) session() (connected bool, err error) {
	r := k.leadership
	r.mu.Lock()
	address := k.address
	r.mu.Unlock()
	dialCtx, cancel := context.WithTimeout(r.ctx, linkDialTimeout)
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
	if err := stream.SetDeadline(time.Now().Add(linkDialTimeout)); err != nil {
		return false, err
	}
	if err := stream.Send(&wirepb.LeaderMessage{Term: r.term.Term.Number, Leader: r.opts.Address}); err != nil {
		return false, err
	}
	k.open()
	defer k.lost()
	go func() {
		// An error closes the session, which the reading side notices.
		if contain.Do(r.opts.Logger, "messages to an agent", func() error { k.write(session, stream); return nil }) != nil {
			_ = session.Close()
		}
	}()
	for {
		var m wirepb.AgentMessage
		if err := stream.Recv(&m); err != nil {
			return connected, err
		}
		if m.LaterTerm > r.term.Term.Number {
			r.leader.hear(ledger.Term{Number: m.LaterTerm, Leader: m.LaterLeader})
			return connected, errLaterTerm
		}
		err := contain.Do(r.opts.Logger.WithField("agent", k.id), "agent's message", func() error {
			k.receive(&m, connected)
			return nil
		})
		if err != nil {
			// The next session begins with the agent's whole state.
			return false, err
		}
		connected = connected || m.Snapshot
		if err := stream.SetDeadline(time.Now().Add(linkSilence)); err != nil {
			return connected, err
		}
	}
}

// open lets messages gather for the session.
func (k *link) open() {
	k.outMu.Lock()
	defer k.outMu.Unlock()
	k.out = &wirepb.LeaderMessage{}
	k.payloads = wire.NewPayloadCache()
}

// connected takes the agent's snapshot.
func (k *link) connected(now time.Duration, m *wirepb.AgentMessage) {
	r := k.leadership
	k.acked = endMark{}
	k.ends(now, m)
	runner := wire.Runner(m.Runner)
	active := wire.Activities(m.Active)
	r.planner.AgentConnected(now, k.id, runner, active)
	k.describe(active)
	fields := log.Fields{"agent": k.id, "runs": len(m.Active), "ends": len(m.Ends), "unknown_agents": r.planner.UnreportedAgents()}
	if runner != nil {
		fields["runner"], fields["zone"], fields["draining"] = runner.ID, runner.Zone, runner.Draining
	}
	r.opts.Logger.WithFields(fields).Info("agent connected")
	r.changed()
}

// describe tells the agent what it cannot know of runs that it did not start.
func (k *link) describe(active []job.Activity) {
	for _, act := range active {
		if step := k.leadership.planner.Step(act.Run.Task); step != nil {
			k.outMu.Lock()
			k.out.Details = append(k.out.Details, details(act.Run, step))
			k.outMu.Unlock()
		}
	}
	kick(k.ready)
}

func details(run job.Run, step *job.Step) *wirepb.RunDetails {
	return &wirepb.RunDetails{
		Run: wire.RunRef(run), Filler: step.BestEffort, LatencyTargetMs: step.LatencyTarget.Milliseconds(),
	}
}

// ends takes the ends of a message, each once.
func (k *link) ends(now time.Duration, m *wirepb.AgentMessage) {
	if m.Runner != nil && (m.Runner.Id != k.taken.runner || m.Runner.Born != k.taken.born) {
		k.taken = endMark{runner: m.Runner.Id, born: m.Runner.Born}
	}
	for _, e := range m.Ends {
		if e.Sequence <= k.taken.sequence {
			continue
		}
		end, err := wire.End(e)
		if err != nil {
			k.leadership.opts.Logger.WithError(err).WithField("agent", k.id).Error("end of a run left out")
			continue
		}
		k.taken.sequence = e.Sequence
		countEnd(end.Reason)
		k.leadership.planner.RunEnded(now, k.id, end)
	}
}

func (k *link) lost() {
	r := k.leadership
	r.mu.Lock()
	defer r.mu.Unlock()
	k.outMu.Lock()
	k.out = nil
	k.outMu.Unlock()
	k.held = nil
	r.planner.AgentLost(k.id, k.granted+r.opts.LeaseDuration+leaseMargin)
	r.changed()
}

// receive takes a message. Until the snapshot, an agent sends nothing but beats.
func (k *link) receive(m *wirepb.AgentMessage, connected bool) {
	r := k.leadership
	r.mu.Lock()
	defer r.mu.Unlock()
	now := r.opts.Now()
	if m.Snapshot || connected {
		k.take(now, m)
	}
	if m.Beat != 0 {
		k.beat, k.beatAt = time.Duration(m.Beat), now
	}
	if m.Beat != 0 && now < r.renewed+grantLease {
		k.grant(now, m.Beat, m.Snapshot || connected)
	}
}

// grant gives a lease. Until the agent has sent its state, runs that are not known must not
// outlast what the planner waits for.
func (k *link) grant(now time.Duration, beat int64, known bool) {
	r := k.leadership
	hold := r.opts.LeaseDuration
	if known {
		r.planner.AgentLeaseExtended(k.id, now+hold+leaseMargin)
	} else if at, bounded := r.planner.LeaseExpiry(k.id); bounded {
		hold = min(hold, at-leaseMargin-now)
	}
	if hold <= 0 {
		return
	}
	k.granted = max(k.granted, now+hold-r.opts.LeaseDuration)
	k.send(func(out *wirepb.LeaderMessage) {
		out.Grant = &wirepb.LeaseGrant{Beat: beat, HoldMs: hold.Milliseconds()}
	})
}

// take passes a snapshot or an update on, or keeps it until the ledger's jobs are known
// and the ledger has the agent.
func (k *link) take(now time.Duration, m *wirepb.AgentMessage) {
	hold := !k.leadership.restored || !k.registered
	switch {
	case hold && (m.Snapshot || tellsChange(m)):
		k.held = append(k.held, m)
		kick(k.leadership.commit)
	case hold:
		// Figures of runs come again.
	case m.Snapshot:
		k.connected(now, m)
	default:
		k.update(now, m)
	}
}

// takeHeld passes on what was kept.
func (k *link) takeHeld(now time.Duration) {
	held := k.held
	k.held = nil
	for _, m := range held {
		k.take(now, m)
	}
}

// tellsChange says whether the message has more than figures of runs.
func tellsChange(m *wirepb.AgentMessage) bool {
	return len(m.Ends) > 0 || len(m.Refusals) > 0 || m.Runner != nil || m.NoRunner
}

// update takes what has changed at an agent.
func (k *link) update(now time.Duration, m *wirepb.AgentMessage) {
	r := k.leadership
	if m.Runner != nil || m.NoRunner {
		k.ends(now, m)
		r.planner.RunnerChanged(now, k.id, wire.Runner(m.Runner), wire.Activities(m.Active))
	} else {
		k.ends(now, m)
	}
	for _, refusal := range m.Refusals {
		run, err := wire.Run(refusal.Run)
		if err != nil {
			r.opts.Logger.WithError(err).WithField("agent", k.id).Error("refusal of a run left out")
			continue
		}
		countRefusal(refusal.Reason)
		r.planner.StartRefused(now, k.id, run, planner.RefusalReason(refusal.Reason))
	}
	if len(m.Active) > 0 {
		r.planner.ActivityReported(now, k.id, wire.Activities(m.Active))
	}
	if tellsChange(m) {
		r.changed()
	}
}

// send adds to the next message; it does nothing without a session.
func (k *link) send(add func(out *wirepb.LeaderMessage)) {
	k.outMu.Lock()
	defer k.outMu.Unlock()
	if k.out != nil {
		add(k.out)
		kick(k.ready)
	}
}

// start orders a start. An order may be held up on its way, or this process before it
// sends it, so the agent is told until when it may be carried out. Counted from its last
// beat, the agent's clock is not behind what is worked out here, so the permission never
// lasts longer than the leader's.
func (k *link) start(o planner.Start) {
	until := k.beat + k.leadership.renewed + startLease - k.beatAt
	k.send(func(out *wirepb.LeaderMessage) {
		order := &wirepb.StartOrder{
			Details: details(o.Run, o.Step), Payload: o.Payload, Checkpoint: o.Checkpoint,
			Ticket: o.Ticket, ValidUntil: int64(until),
		}
		if k.payloads.MarkSent(o.Run.Task.Job) {
			order.Payload, order.SamePayload = "", true
		}
		k.leadership.budget.spend(k.leadership.opts.Now(), len(order.Payload)+orderBytes)
		out.Starts = append(out.Starts, order)
	})
}

func (k *link) stop(o planner.Stop) {
	k.send(func(out *wirepb.LeaderMessage) { out.Stops = append(out.Stops, wire.RunRef(o.Run)) })
}

func (k *link) pace(o planner.Throttle) {
	k.send(func(out *wirepb.LeaderMessage) {
		out.Paces = append(out.Paces, &wirepb.PaceOrder{Run: wire.RunRef(o.Run), Percent: int32(o.Percent)})
	})
}

// ackEnds tells the agent that ends are stored.
func (k *link) ackEnds(m endMark) {
	if m == k.acked || m.sequence == 0 {
		return
	}
	k.send(func(out *wirepb.LeaderMessage) {
		out.Stored = &wirepb.EndsStored{RunnerId: m.runner, Born: m.born, Sequence: m.sequence}
		k.acked = m
	})
}

// write sends what has gathered until the session ends.
func (k *link) write(session wire.Session, stream wire.Stream) {
	for {
		select {
		case <-session.Done():
			return
		case <-k.ready:
		}
		k.outMu.Lock()
		m := k.out
		if m != nil {
			k.out = &wirepb.LeaderMessage{}
		}
		k.outMu.Unlock()
		if m == nil {
			return
		}
		m.Term = k.leadership.term.Term.Number
		if err := stream.Send(m); err != nil {
			k.leadership.opts.Logger.WithError(err).WithField("agent", k.id).Warn("message to agent not sent")
			_ = session.Close()
			return
		}
	}
}
