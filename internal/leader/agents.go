package leader

import (
	"strings"
	"time"

	"bamboowood/internal/ledger"
)

// addAgents opens or updates the connections of newly registered agents.
func (r *leadership) addAgents(agents map[string]ledger.Agent) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for id, a := range agents {
		r.addConn(id, a)
	}
}

// updateRegistrations removes the registrations of dead agents, so that a later leader does
// not wait for their reports, and registers agents again that have reconnected.
//
// Nothing is started on an agent without a registration, or with one that says that the agent is lost: a
// later leader would not wait for its report, or not as long as its lease, and would start the same
// task elsewhere.
func (r *leadership) updateRegistrations() error {
	r.mu.Lock()
	for _, id := range r.planner.TakeDeadAgents() {
		r.deadAgents[id] = true
	}
	var dead, returned []*agentConn
	for id, conn := range r.conns {
		if !conn.registered && (len(conn.buffered) > 0 || conn.inSession && !r.planner.AgentDead(id)) {
			returned = append(returned, conn)
		}
	}
	for id := range r.deadAgents {
		switch conn := r.conns[id]; {
		case conn == nil || conn.registered && !r.planner.AgentDead(id):
			delete(r.deadAgents, id)
		case !conn.registered && len(conn.buffered) > 0:
			// registered again below
		case r.planner.AgentDead(id):
			conn.registered = false
			dead = append(dead, conn)
		}
	}
	r.mu.Unlock()
	for _, conn := range returned {
		if err := r.reregisterAgent(conn); err != nil {
			return err
		}
	}
	return r.removeAgents(dead)
}

func (r *leadership) removeAgents(dead []*agentConn) error {
	var removed []string
	for _, conn := range dead {
		r.mu.Lock()
		version, done := conn.version, conn.removedVersion == conn.version
		r.mu.Unlock()
		if done {
			continue
		}
		if err := r.term.RemoveAgent(r.ctx, conn.id, version); err != nil {
			return err
		}
		r.mu.Lock()
		conn.removedVersion = version
		r.mu.Unlock()
		removed = append(removed, conn.id)
	}
	if len(removed) > 0 {
		r.opts.Logger.WithField("agents", strings.Join(removed, ",")).Info("agents removed")
	}
	return nil
}

// reregisterAgent registers an agent again and then applies the messages buffered for it.
func (r *leadership) reregisterAgent(conn *agentConn) error {
	r.mu.Lock()
	address := conn.address
	r.mu.Unlock()
	version, err := r.term.ReregisterAgent(r.ctx, conn.id, address)
	if err != nil {
		return err
	}
	r.opts.Logger.WithField("agent", conn.id).Info("agent registered again")
	r.mu.Lock()
	defer r.mu.Unlock()
	conn.setRegistered(r.opts.Now(), ledger.Agent{Address: address, Version: version})
	return nil
}

// setRegistered records a registration if its version is newer, and applies the buffered
// messages unless it says that the agent is lost. It is called with the lock held.
func (c *agentConn) setRegistered(now time.Duration, a ledger.Agent) {
	if a.Version <= c.version {
		return
	}
	c.version, c.registered = a.Version, a.Lost == ledger.Lost{}
	if !c.registered {
		c.recordedVersion = a.Version
		return
	}
	if c.leadership.recovered {
		c.applyBuffered(now)
	}
}
