package planner

import "math"

// AgentLostAt records the version of the store from which no earlier planner has started anything on an agent
// that was added as unreported.
func (p *Planner) AgentLostAt(id string, version int64) {
	if a := p.agents[id]; a != nil {
		a.lostAt = version
	}
}

// JobAcceptedAt records the version of the store with which a recovered job was accepted.
func (p *Planner) JobAcceptedAt(id string, version int64) {
	if js := p.jobs[id]; js != nil {
		js.acceptedVersion = version
	}
}

// lastUnknownOrders returns the version of the store up to which a recovered job may have runs of earlier
// planners on agents that have not reported; -1 if there are no such agents.
func (p *Planner) lastUnknownOrders() int64 {
	last := int64(-1)
	if p.unreported == 0 {
		return last
	}
	for _, a := range p.orderedAgents {
		switch {
		case !a.awaited:
		case a.lostAt == 0:
			return math.MaxInt64
		default:
			last = max(last, a.lostAt)
		}
	}
	return last
}

// isRecovered reports whether a latency-critical step has a waiting task that has not run in this term, although
// an earlier planner may have started it.
func (p *Planner) isRecovered(s *stepState) bool {
	if !s.job.recovered || s.step.LatencyTarget == 0 {
		return false
	}
	first := p.firstRunNumber()
	for i := range s.tasks {
		if t := &s.tasks[i]; t.waiting && t.lastRunNumber < first {
			return true
		}
	}
	return false
}
