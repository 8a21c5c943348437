package planner

import "time"

// await begins the wait for the runs of earlier planners on an agent.
func (p *Planner) await(a *agent) {
	a.awaited = true
	p.unreported++
}

// settle ends the wait for the runs of earlier planners on an agent that has reported or is dead.
func (p *Planner) settle(a *agent) {
	if a.awaited {
		a.awaited = false
		p.unreported--
	}
}

// applyUnlisted records what an agent's snapshot says about runs that it does not list.
func (p *Planner) applyUnlisted(now time.Duration, a *agent, s Snapshot) {
	a.unlistedUntil = 0
	if s.UnlistedFor > 0 {
		a.unlistedUntil = now + s.UnlistedFor
	} else {
		p.settle(a)
	}
	if a.endsIncomplete && !s.MoreEnds {
		for _, r := range a.runs {
			r.detachedUntil = 0
		}
	}
	a.endsIncomplete = s.MoreEnds
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
