package leader

import (
	"strings"
	"time"

	"bamboowood/internal/ledger"
)

// addAgents takes registrations that are new.
func (r *leadership) addAgents(agents map[string]ledger.Agent) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for id, a := range agents {
		r.addLink(id, a)
	}
}

// tendAgents removes the registrations of agents on which nothing is alive, so that a
// later leader need not wait for them, and restores those of agents that have returned.
//
// Nothing is started on an agent that is not registered: a later leader would not know of
// it, and start the same elsewhere.
func (r *leadership) tendAgents() error {
	r.mu.Lock()
	for _, id := range r.planner.TakeDeadAgents() {
		r.away[id] = true
	}
	var gone, back []*link
	for id := range r.away {
		switch k := r.links[id]; {
		case k == nil || k.registered && !r.planner.AgentDead(id):
			delete(r.away, id)
		case len(k.held) > 0:
			back = append(back, k)
		case r.planner.AgentDead(id):
			k.registered = false
			gone = append(gone, k)
		}
	}
	r.mu.Unlock()
	for _, k := range back {
		if err := r.restoreAgent(k); err != nil {
			return err
		}
	}
	return r.removeAgents(gone)
}

func (r *leadership) removeAgents(gone []*link) error {
	var removed []string
	for _, k := range gone {
		r.mu.Lock()
		version, done := k.version, k.removed == k.version
		r.mu.Unlock()
		if done {
			continue
		}
		if err := r.term.RemoveAgent(r.ctx, k.id, version); err != nil {
			return err
		}
		r.mu.Lock()
		k.removed = version
		r.mu.Unlock()
		removed = append(removed, k.id)
	}
	if len(removed) > 0 {
		r.opts.Logger.WithField("agents", strings.Join(removed, ",")).Info("agents removed")
	}
	return nil
}

// restoreAgent registers an agent again, and then takes what it has sent meanwhile.
func (r *leadership) restoreAgent(k *link) error {
	r.mu.Lock()
	address := k.address
	r.mu.Unlock()
	version, err := r.term.RestoreAgent(r.ctx, k.id, address)
	if err != nil {
		return err
	}
	r.opts.Logger.WithField("agent", k.id).Info("agent registered again")
	r.mu.Lock()
	defer r.mu.Unlock()
	k.setRegistered(r.opts.Now(), version)
	return nil
}

// setRegistered takes a registration, if it is a new one. It is called with the lock
// held.
func (k *link) setRegistered(now time.Duration, version int64) {
	if version <= k.version {
		return
	}
	k.version, k.registered = version, true
	if k.leadership.restored {
		k.takeHeld(now)
	}
}
