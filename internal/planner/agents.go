package planner

import (
	"time"

	"bamboowood/internal/job"
)

// agentState describes the contact with an agent.
type agentState uint8

const (
	// unreported: the agent has not reported its runs to this planner. Runs that an
	// earlier planner ordered may be alive there until leaseExpiresAt.
	unreported agentState = iota
	live
	// lost: no contact; the agent's runs may be alive until leaseExpiresAt.
	lost
	// dead: no contact, and no run can be alive there.
	dead
)

// agent is the planner's view of an agent, its runner and its runs.
type agent struct {
	id    string
	state agentState
	// leaseExpiresAt is when the agent's latest known lease expires, including leases that an
	// earlier planner may have granted.
	leaseExpiresAt time.Duration
	// unlistedUntil is the time until which runs may be alive that the agent does not list; 0 if
	// there are none. awaited is set from a takeover until all runs of earlier planners are known.
	unlistedUntil time.Duration
	awaited       bool
	// lostAt is the version of the store from which nothing can have been started on an awaited agent; 0 if
	// unknown.
	lostAt int64
	// endsIncomplete is set if the agent's last snapshot lacked ends that its runner had not listed.
	endsIncomplete bool
	runner         *job.Runner
	rack           string
	runs           map[job.Run]*run
	// requested is the sum of the resources requested by all runs, except the CPU of
	// best-effort runs.
	requested job.Resources
	// bestEffortCPU is the CPU requested by best-effort runs.
	bestEffortCPU int64
	// criticalTasks counts latency-critical runs.
	criticalTasks int
	// criticalCPU is the CPU requested by latency-critical runs.
	criticalCPU int64
	// steadyAt is the time from which reports cover only the current best-effort load.
	// Earlier ones also cover an older load or a queue that is still clearing.
	steadyAt time.Duration
	// throttleCheckedAt is when the agent's best-effort runs were last checked for throttling.
	throttleCheckedAt time.Duration
	// colocation is cached within one plan.
	colocation colocation
	health     health
	// reservations are those of capacity on the agent's runner.
	reservations []*reservation
}

// AddUnreportedAgent adds an agent that may have runs of an earlier planner. They may be
// alive until expiresAt.
func (p *Planner) AddUnreportedAgent(id string, expiresAt time.Duration) {
	if p.agents[id] == nil {
		a := p.addAgent(id, unreported)
		a.leaseExpiresAt = expiresAt
		p.await(a)
	}
}

func (p *Planner) addAgent(id string, state agentState) *agent {
	a := &agent{id: id, state: state, runs: map[job.Run]*run{}}
	p.agents[id] = a
	p.orderedAgents = append(p.orderedAgents, a)
	return a
}

// Snapshot is the full state of an agent.
type Snapshot struct {
	// Runner is nil if there is none or it does not answer.
	Runner *job.Runner
	// Active has the runs that may be alive and that the agent knows.
	Active []job.Activity
	// UnlistedFor is for how long runs may be alive that Active lacks, since the agent's process is new and its
	// runner may be as well; 0 if there are none.
	UnlistedFor time.Duration
	// MoreEnds is set if such runs may have ended only because the runner has not listed all ends yet. A later
	// snapshot without it shows which runs are absent.
	MoreEnds bool
}

// AgentConnected applies the full state of an agent. Ends that the agent reports with it must be passed to RunEnded
// first. An agent that was not added before may have runs of an earlier planner as well, if it says so.
func (p *Planner) AgentConnected(now time.Duration, id string, s Snapshot) {
	a := p.agents[id]
	if a == nil {
		a = p.addAgent(id, live)
		p.await(a)
	}
	a.state = live
	p.applyUnlisted(now, a, s)
	p.setRunner(a, s.Runner)
	p.reconcileRuns(now, a, s.Active, CauseNotInSnapshot, func(*run) bool { return true })
}

// reconcileRuns compares the planner's runs on an agent with the runs that the agent
// lists. Runs that are not listed are given up for a cause if canDrop returns true for them, once they cannot be
// alive without the agent's knowledge.
func (p *Planner) reconcileRuns(now time.Duration, a *agent, active []job.Activity, cause GiveUpCause, canDrop func(*run) bool) {
	reported := make(map[job.Run]bool, len(active))
	for _, act := range active {
		reported[act.Run] = true
		p.applyReportedRun(now, a, act)
	}
	for id, r := range a.runs {
		switch {
		case reported[id] || !canDrop(r):
		case !r.planned && now < max(a.unlistedUntil, r.detachedUntil):
			r.detachedUntil = max(a.unlistedUntil, r.detachedUntil)
		default:
			p.giveUp(now, r, cause)
		}
	}
}

// applyReportedRun applies the report of one run. A run that the planner does not have is
// adopted if its task needs one, and stopped otherwise.
func (p *Planner) applyReportedRun(now time.Duration, a *agent, act job.Activity) {
	if r := a.runs[act.Run]; r != nil {
		r.detachedUntil, r.speedUnknown = 0, !act.OrderedSpeed.Known
		if r.phase == stopping {
			p.stops = append(p.stops, Stop{Agent: a.id, Run: r.id, Reason: r.stopReason, Repeated: true})
		}
		p.applyActivity(now, r, act)
		return
	}
	p.openReported(now, act.Run.Task)
	s, t := p.findTask(act.Run.Task)
	if s != nil && !t.done && s.mayAdopt(t, a) && !s.job.state.Terminal() {
		r := p.addRun(now, a, s, t, act.Run)
		r.speedUnknown = !act.OrderedSpeed.Known
		if limit := act.OrderedSpeed; limit.Known && limit.Percent != fullSpeed && s.step.BestEffort {
			r.setSpeedLimit(now, limit.Percent)
		}
		p.applyActivity(now, r, act)
		if s.step.Gang {
			s.gangRunNumber = max(s.gangRunNumber, act.Run.Number)
		}
		return
	}
	p.stopOrphan(now, a, act)
}

// mayAdopt reports whether a run of the task that the agent reports may live: as its only run, or as a second
// one on another runner if the step is speculative.
func (s *stepState) mayAdopt(t *taskState, a *agent) bool {
	return t.liveRun == nil || s.step.Speculative && !s.step.Gang && t.copyRun == nil && t.liveRun.agent != a
}

// findTask returns a task and its step, nil if its occurrence is not open or its job is set aside.
func (p *Planner) findTask(t job.Task) (*stepState, *taskState) {
	js := p.jobs[t.Job]
	if js == nil || js.setAside {
		return nil, nil
	}
	occ := js.open[t.Occurrence]
	if occ == nil || t.Step >= len(occ.steps) || t.Index >= len(occ.steps[t.Step].tasks) {
		return nil, nil
	}
	return &occ.steps[t.Step], &occ.steps[t.Step].tasks[t.Index]
}

func (a *agent) addRequest(now time.Duration, s *job.Step, sign int64) {
	a.colocation.computedAt = 0
	if s.BestEffort {
		a.bestEffortCPU += sign * s.CPU
		if a.runner != nil {
			a.bestEffortChanged(now, a.cpuShare(s))
		}
	} else {
		a.requested.CPU += sign * s.CPU
	}
	a.requested.MemoryMB += sign * s.MemoryMB
	a.requested.GPUs += sign * s.GPUs
	if s.LatencyTarget > 0 {
		a.criticalTasks += int(sign)
		a.criticalCPU += sign * s.CPU
	}
}

// bestEffortChanged records that the share of the agent's CPU available to best-effort
// runs changes by share. Reports are not steady for a while after a large change.
func (a *agent) bestEffortChanged(now time.Duration, share float64) {
	if max(share, -share) > steadyTolerance {
		a.steadyAt = now + steadyDelay
	}
}

// setRunner sets the agent's runner. The health record is reset when the runner leaves
// or restarts.
func (p *Planner) setRunner(a *agent, r *job.Runner) {
	if r == nil || a.runner != nil && !a.runner.SameIncarnation(r) {
		a.health = health{}
	}
	a.runner = r
	a.rack = ""
	if r != nil {
		a.rack = rackOf(r.Labels)
	}
}

// RunnerChanged applies a new description of a connected agent's runner, nil if it has
// left or does not answer. Unless the runner is still the same incarnation, active holds the runs
// that may be alive there. Unconfirmed runs that are not in active are kept: their start may still
// be in flight to the agent, which will report the outcome.
func (p *Planner) RunnerChanged(now time.Duration, id string, r *job.Runner, active []job.Activity) {
	a := p.agents[id]
	if a == nil || a.state != live {
		return
	}
	sameIncarnation := a.runner != nil && r != nil && a.runner.SameIncarnation(r)
	p.setRunner(a, r)
	if !sameIncarnation {
		p.reconcileRuns(now, a, active, CauseNotInUpdate, func(r *run) bool { return r.confirmedAt != 0 })
	}
}

func (p *Planner) setDead(a *agent) {
	a.state = dead
	p.settle(a)
	p.deadAgents = append(p.deadAgents, a.id)
}

// TakeDeadAgents returns the ids of the agents that have become dead since the last call:
// they have no contact, and no run can be alive there.
func (p *Planner) TakeDeadAgents() []string {
	ids := p.deadAgents
	p.deadAgents = nil
	return ids
}

// AgentDead reports whether an agent has no contact and can have no live run.
func (p *Planner) AgentDead(id string) bool {
	a := p.agents[id]
	return a != nil && a.state == dead
}

// Step returns the step of a task, nil if its occurrence is not open.
func (p *Planner) Step(t job.Task) *job.Step {
	s, _ := p.findTask(t)
	if s == nil {
		return nil
	}
	return s.step
}

// AgentLost records that the contact to an agent was lost. Its runs may be alive until
// expiresAt.
func (p *Planner) AgentLost(id string, expiresAt time.Duration) {
	a := p.agents[id]
	switch {
	case a == nil:
	case a.state == live && a.runner == nil && len(a.runs) == 0 && a.unlistedUntil == 0:
		// No run can be alive or start without a runner.
		p.setDead(a)
	case a.state == live:
		a.state = lost
		fallthrough
	case a.state == unreported:
		a.leaseExpiresAt = max(a.leaseExpiresAt, expiresAt)
	}
}

// AgentLeaseExtended records that the lease of an agent was extended by the full lease
// duration. Its runs may be alive until expiresAt.
func (p *Planner) AgentLeaseExtended(id string, expiresAt time.Duration) {
	a := p.agents[id]
	switch {
	case a == nil:
	case a.state == live:
		// All leases that were granted earlier expire earlier.
		a.leaseExpiresAt = expiresAt
	case a.state == lost || a.state == unreported:
		a.leaseExpiresAt = max(a.leaseExpiresAt, expiresAt)
	}
}

// LeaseExpiry returns the time until which runs may be alive on a lost or unreported
// agent. ok is false for live, dead and unknown agents.
func (p *Planner) LeaseExpiry(id string) (at time.Duration, ok bool) {
	if a := p.agents[id]; a != nil && (a.state == lost || a.state == unreported) {
		return a.leaseExpiresAt, true
	}
	return 0, false
}

// expireLeases marks the agents whose leases have certainly expired as dead and drops
// their runs, and the detached runs of which the same holds.
func (p *Planner) expireLeases(now time.Duration) {
	for _, a := range p.orderedAgents {
		p.expireUnlisted(now, a)
		if now < a.leaseExpiresAt || a.state != unreported && a.state != lost {
			continue
		}
		p.setDead(a)
		for _, r := range a.runs {
			p.stats.LeaseExpirations++
			p.giveUp(now, r, CauseLeaseExpired)
		}
	}
}

// ActivityReported applies an agent's report on some of its active runs. It may be the first that lists
// a run which started before its process did.
func (p *Planner) ActivityReported(now time.Duration, id string, active []job.Activity) {
	a := p.agents[id]
	if a == nil || a.state != live {
		return
	}
	for _, act := range active {
		if r := a.runs[act.Run]; r != nil && r.detachedUntil == 0 {
			p.applyActivity(now, r, act)
		} else {
			p.applyReportedRun(now, a, act)
		}
	}
	p.observeInterference(now, a, active)
}
