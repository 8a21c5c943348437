package leader

import (
	"slices"
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
	var dead []ledger.Registration
	var returned []*agentConn
	for id, conn := range r.conns {
		_, lost := r.planner.LeaseExpiry(id)
		if !conn.registered && (len(conn.buffered) > 0 || conn.inSession && !r.planner.AgentDead(id) || conn.deleted && lost) {
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
			if conn.removedVersion != conn.version {
				// The agent may register again from now on.
				dead = append(dead, ledger.Registration{Name: id, Address: conn.address, Version: conn.version})
			}
		}
	}
	r.mu.Unlock()
	for conns := range slices.Chunk(returned, ledger.MaxRegistrations) {
		if err := r.reregisterAgents(conns); err != nil {
			return err
		}
	}
	for agents := range slices.Chunk(dead, ledger.MaxRegistrations) {
		if err := r.removeAgents(agents); err != nil {
			return err
		}
	}
	return nil
}

// removeAgents removes the registrations of dead agents, at most ledger.MaxRegistrations.
func (r *leadership) removeAgents(agents []ledger.Registration) error {
	if err := r.term.RemoveAgents(r.ctx, agents); err != nil {
		return err
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	names := make([]string, len(agents))
	for i, a := range agents {
		names[i] = a.Name
		r.conns[a.Name].removedVersion = max(r.conns[a.Name].removedVersion, a.Version)
	}
	r.opts.Logger.WithField("agents", strings.Join(names, ",")).Info("agents removed")
	return nil
}

// reregisterAgents registers agents again, at most ledger.MaxRegistrations, and then applies the messages
// buffered for them.
func (r *leadership) reregisterAgents(returned []*agentConn) error {
	r.mu.Lock()
	agents := make([]ledger.Registration, len(returned))
	for i, c := range returned {
		agents[i] = ledger.Registration{Name: c.id, Address: c.address}
	}
	r.mu.Unlock()
	version, err := r.term.ReregisterAgents(r.ctx, agents)
	if err != nil {
		return err
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	for i, c := range returned {
		r.opts.Logger.WithField("agent", c.id).Info("agent registered again")
		c.setRegistered(r.opts.Now(), ledger.Agent{Address: agents[i].Address, Version: version})
	}
	return nil
}

// setRegistered records a registration if its version is newer, and applies the buffered
// messages unless it says that the agent is lost. It is called with the lock held.
func (c *agentConn) setRegistered(now time.Duration, a ledger.Agent) {
	if a.Version <= c.version {
		return
	}
	c.version, c.registered, c.deleted, c.lostVersion = a.Version, a.Lost == ledger.Lost{}, false, a.Lost.Since
	if !c.registered {
		// A later leader knows the clock of the last one only, so that records of others are written again.
		if a.Lost.Process == c.leadership.term.Term.Process {
			c.recordedVersion = a.Version
		}
		return
	}
	if c.leadership.recovered {
		c.applyBuffered(now)
	}
}

// setDeleted records that the registration was deleted. If that was another writer, runs may be alive on the agent, and
// it is registered again. It is called with the lock held.
func (c *agentConn) setDeleted(a ledger.Agent) {
	if a.Version <= c.version {
		return
	}
	c.version, c.removedVersion, c.recordedVersion = a.Version, a.Version, a.Version
	c.registered, c.deleted = false, true
	signal(c.leadership.wakeCommit)
}
