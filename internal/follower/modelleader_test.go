package follower

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"time"

	"google.golang.org/protobuf/proto"

	"bamboowood/internal/job"
	"bamboowood/internal/planner"
	"bamboowood/internal/wire"
	"bamboowood/internal/wire/wirepb"
)

// leader is the leader of the model: the planner, and the conversions of package leader.
type leader struct {
	*world
	p        *planner.Planner
	machines []*machine
	// network draws what happens to orders. Only the main goroutine uses it.
	network *rand.Rand
	calm    bool
	// stopped has when each run was ordered to stop.
	stopped map[job.Run]time.Duration
}

// order sends an order, in messages of its own that are repeated and overtake each other.
func (l *leader) order(m *machine, order *wirepb.LeaderMessage) {
	for first := true; first || !l.calm && l.network.IntN(8) == 0; first = false {
		delay := time.Duration(0)
		if !l.calm && l.network.IntN(2) == 0 {
			delay = time.Duration(l.network.Int64N(int64(modelReorder)))
		}
		m.out = append(m.out, timedOrder{l.now() + delay, order})
	}
}

func (l *leader) step() {
	for _, m := range l.machines {
		l.mu.Lock()
		m.runner.tick()
		closed := false
		select {
		case <-m.session.done:
			closed = true
		default:
		}
		var received []*wirepb.AgentMessage
		for len(m.session.in) > 0 && m.session.in[0].at <= l.now() {
			received, m.session.in = append(received, m.session.in[0].m), m.session.in[1:]
		}
		l.mu.Unlock()
		if closed {
			l.reconnect(m)
			continue
		}
		for _, msg := range received {
			l.receive(m, msg)
		}
	}
	l.plan()
	for _, m := range l.machines {
		l.deliver(m)
	}
}

func (l *leader) reconnect(m *machine) {
	if m.retryAt == 0 {
		m.retryAt, m.connected = l.now()+200*time.Millisecond, false
		l.p.AgentLost(m.name, m.grantedAt+modelLease+modelMargin)
	}
	if l.now() >= m.retryAt {
		m.retryAt = 0
		m.dial()
	}
}

// receive applies a message of an agent as package leader does.
func (l *leader) receive(m *machine, msg *wirepb.AgentMessage) {
	now := l.now()
	if msg.Snapshot || m.connected {
		l.applyEnds(m, msg)
		active := wire.Activities(msg.Active)
		switch {
		case msg.Snapshot:
			l.p.AgentConnected(now, m.name, planner.Snapshot{
				Runner: wire.Runner(msg.Runner), Active: active,
				UnlistedFor: time.Duration(msg.UnlistedRunsMs) * time.Millisecond, MoreEnds: msg.MoreEnds,
			})
			m.connected = true
		case msg.Runner != nil || msg.NoRunner:
			l.p.RunnerChanged(now, m.name, wire.Runner(msg.Runner), active)
		}
		for _, refusal := range msg.Refusals {
			run, _ := wire.Run(refusal.Run)
			l.p.StartRefused(now, m.name, run, planner.RefusalReason(refusal.Reason))
		}
		if len(active) > 0 && !msg.Snapshot {
			l.p.ActivityReported(now, m.name, active)
		}
	}
	hold := modelLease
	if m.connected {
		l.p.AgentLeaseExtended(m.name, now+hold+modelMargin)
	} else if at, bounded := l.p.LeaseExpiry(m.name); bounded {
		hold = min(hold, at-modelMargin-now)
	}
	if msg.Beat != 0 && hold > 0 {
		m.grantedAt = max(m.grantedAt, now+hold-modelLease)
		l.order(m, &wirepb.LeaderMessage{Grant: &wirepb.LeaseGrant{Beat: msg.Beat, HoldMs: hold.Milliseconds()}})
	}
}

func (l *leader) applyEnds(m *machine, msg *wirepb.AgentMessage) {
	if r := msg.Runner; r != nil && m.endsOf != fmt.Sprint(r.Id, r.Born) {
		m.endsOf, m.ends = fmt.Sprint(r.Id, r.Born), 0
	}
	for _, e := range msg.Ends {
		if !msg.NoRunner && e.Sequence <= m.ends {
			continue
		}
		if !msg.NoRunner {
			m.ends = e.Sequence
		}
		end, _ := wire.End(e)
		l.p.RunEnded(l.now(), m.name, end)
	}
	// The ledger stores ends at once.
	if r := msg.Runner; r != nil && m.ends > 0 {
		l.order(m, &wirepb.LeaderMessage{Stored: &wirepb.EndsStored{RunnerId: r.Id, Born: r.Born, Sequence: m.ends}})
	} else if len(msg.Ends) > 0 {
		l.mu.Lock()
		id, born := m.runner.id, m.runner.born
		l.mu.Unlock()
		if m.endsOf == fmt.Sprint(id, born) {
			l.order(m, &wirepb.LeaderMessage{Stored: &wirepb.EndsStored{RunnerId: id, Born: born, Sequence: m.ends}})
		}
	}
}

func (l *leader) plan() {
	now := l.now()
	orders := l.p.Plan(planner.Instant{Mono: now, Wall: time.Unix(0, 0).Add(now)}, true)
	byName := map[string]*machine{}
	for _, m := range l.machines {
		byName[m.name] = m
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, o := range orders.Starts {
		l.planned[o.Run] = o.RunnerID
		l.order(byName[o.Agent], &wirepb.LeaderMessage{Starts: []*wirepb.StartOrder{{
			Details: &wirepb.RunDetails{Run: wire.RunRef(o.Run)}, ValidUntil: int64(now + modelValidity),
			RunnerId: o.RunnerID, Born: o.StartTime,
		}}})
	}
	for _, o := range orders.Stops {
		if _, known := l.stopped[o.Run]; !known {
			l.stopped[o.Run] = now
		}
		l.order(byName[o.Agent], &wirepb.LeaderMessage{Stops: []*wirepb.RunRef{wire.RunRef(o.Run)}})
	}
}

// deliver delivers the orders that have arrived, each in a message of its own or together with others.
func (l *leader) deliver(m *machine) {
	message := &wirepb.LeaderMessage{}
	apply := func() {
		_ = m.agent.apply(m.ctx, m.session, message)
		message = &wirepb.LeaderMessage{}
	}
	m.out = slices.DeleteFunc(m.out, func(o timedOrder) bool {
		if o.at > l.now() {
			return false
		}
		if l.network.IntN(2) == 0 || o.m.Grant != nil && message.Grant != nil || o.m.Stored != nil && message.Stored != nil {
			apply()
		}
		proto.Merge(message, o.m)
		return true
	})
	apply()
}
