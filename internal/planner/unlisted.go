package planner

import "time"

// settle ends the wait for the runs of earlier planners on an agent that has reported or is dead.
func (p *Planner) settle(a *agent) {
	if a.awaited {
		a.awaited = false
		p.unreported--
	}
}

// RunsUnlistedUntil records that until a time runs may be alive on an agent that it does not list,
// since its process is new and its runner may be as well; 0 if there are none. It is called before
// AgentConnected.
func (p *Planner) RunsUnlistedUntil(id string, until time.Duration) {
	if a := p.agents[id]; a != nil {
		a.unlistedUntil = until
	}
}

// EndsIncomplete records whether runs that an agent does not list may have ended only because its runner has
// not listed all ends yet. A later snapshot without that shows which runs are absent. It is called before
// AgentConnected.
func (p *Planner) EndsIncomplete(id string, incomplete bool) {
	a := p.agents[id]
	if a == nil {
		return
	}
	if a.endsIncomplete && !incomplete {
		for _, r := range a.runs {
			r.detachedUntil = 0
		}
	}
	a.endsIncomplete = incomplete
}

// UnreportedAgents returns the number of agents that have not reported all of their runs yet.
// Tasks of recovered jobs are not started until it is 0.
func (p *Planner) UnreportedAgents() int { return p.unreported }

// AwaitedAgents returns their ids.
func (p *Planner) AwaitedAgents() []string {
	var ids []string
	for _, a := range p.orderedAgents {
		if a.awaited {
			ids = append(ids, a.id)
		}
	}
	return ids
}

// expireUnlisted drops the detached runs of an agent that cannot be alive any more.
func (p *Planner) expireUnlisted(now time.Duration, a *agent) {
	for _, r := range a.runs {
		if r.detachedUntil != 0 && now >= r.detachedUntil {
			p.stats.LeaseExpirations++
			p.giveUp(now, r, CauseUnlistedExpired)
		}
	}
	if a.unlistedUntil != 0 && now >= a.unlistedUntil {
		a.unlistedUntil = 0
		if a.state != unreported {
			p.settle(a)
		}
	}
}
