package planner

import (
	"time"

	"bamboowood/internal/job"
)

type phase uint8

const (
	// starting: ordered, and neither confirmed nor refused.
	starting phase = iota
	running
	stopping
)

// run is a run that may be alive.
type run struct {
	id      job.Run
	agent   *agent
	step    *stepState
	task    *taskState
	phase   phase
	ordered time.Duration
	// percent and its last change, to find stalled runs.
	percent   int
	changedAt time.Duration
	// cpu in use at the last report, in thousandths of a core.
	cpu int64
	// pace is the share of its speed that was ordered, in percent.
	pace int
	// pacedSince is when it was last changed.
	pacedSince time.Duration
	// overSince is when a serving run's tail latency last rose over its target; 0
	// while it is under it.
	overSince time.Duration
	// confirmedAt is when the run was first seen at work.
	confirmedAt time.Duration
	stalled     bool
	// planned runs were begun in a plan that has not returned their start yet.
	planned bool
}

type agentState uint8

const (
	// unknown: an earlier planner may have ordered runs that are alive there.
	unknown agentState = iota
	live
	// lost: no contact; what ran there may be alive until lapseAt.
	lost
	// gone: no contact, and nothing can be alive there.
	gone
)

// agent is a runner's machine.
type agent struct {
	id      string
	state   agentState
	lapseAt time.Duration
	runner  *job.Runner
	rack    string
	runs    map[job.Run]*run
	// used is what all runs but fillers occupy, with the memory of fillers.
	used job.Resources
	// fillerCPU is what fillers ask for.
	fillerCPU int64
	// serving counts runs with a latency target.
	serving int
	// servingCPU is what they ask for.
	servingCPU int64
	// settledAt is when reports show the effect of the latest change of fillers.
	settledAt time.Duration
	pacedAt   time.Duration
	// neighbours is valid within one plan.
	neighbours neighbours
	health     health
}

// AddUnreportedAgent tells of an agent that may have runs of an earlier planner, alive
// until lapseAt at the latest.
func (p *Planner) AddUnreportedAgent(id string, lapseAt time.Duration) {
	if p.agents[id] == nil {
		p.addAgent(id, unknown).lapseAt = lapseAt
		p.unknown++
	}
}

func (p *Planner) addAgent(id string, state agentState) *agent {
	a := &agent{id: id, state: state, runs: map[job.Run]*run{}}
	p.agents[id] = a
	p.order = append(p.order, a)
	return a
}

func (p *Planner) setState(a *agent, state agentState) {
	if a.state == unknown && state != unknown {
		p.unknown--
	}
	a.state = state
}

// UnreportedAgents is the number of agents that recovered jobs still wait for.
func (p *Planner) UnreportedAgents() int { return p.unknown }

// AgentConnected takes an agent's whole state: its runner (nil if there is none)
// and the runs that may be alive there. Ends that it still lists must be passed
// to RunEnded before.
func (p *Planner) AgentConnected(now time.Duration, id string, r *job.Runner, active []job.Activity) {
	a := p.agents[id]
	if a == nil {
		a = p.addAgent(id, live)
	}
	p.setState(a, live)
	p.setRunner(a, r)
	p.listed(now, a, active, func(*run) bool { return true })
}

// listed takes the runs that may be alive on an agent. The others are gone, if lost says so.
func (p *Planner) listed(now time.Duration, a *agent, active []job.Activity, lost func(*run) bool) {
	listed := make(map[job.Run]bool, len(active))
	for _, act := range active {
		listed[act.Run] = true
		p.adopt(now, a, act)
	}
	for id, r := range a.runs {
		if !listed[id] && lost(r) {
			p.runGone(now, r)
		}
	}
}

// adopt takes a run that an agent lists. One that nobody needs is stopped.
func (p *Planner) adopt(now time.Duration, a *agent, act job.Activity) {
	if r := a.runs[act.Run]; r != nil {
		if r.phase == stopping {
			p.stops = append(p.stops, Stop{Agent: a.id, Run: r.id})
		}
		p.progressed(now, r, act)
		return
	}
	s, t := p.find(act.Run.Task)
	if s != nil && !t.done && t.active == nil && !s.job.state.Terminal() {
		r := p.newRun(now, a, s, t, act.Run)
		p.progressed(now, r, act)
		if s.step.Gang {
			s.gangRun = max(s.gangRun, act.Run.Number)
		}
		return
	}
	p.stopOrphan(now, a, act)
}

func (p *Planner) find(t job.Task) (*stepState, *taskState) {
	js := p.jobs[t.Job]
	if js == nil {
		return nil, nil
	}
	occ := js.open[t.Occurrence]
	if occ == nil || t.Step >= len(occ.steps) || t.Index >= len(occ.steps[t.Step].tasks) {
		return nil, nil
	}
	return &occ.steps[t.Step], &occ.steps[t.Step].tasks[t.Index]
}

func (p *Planner) newRun(now time.Duration, a *agent, s *stepState, t *taskState, id job.Run) *run {
	r := &run{id: id, agent: a, step: s, task: t, ordered: now, changedAt: now, pace: fullPace}
	s.setWaiting(t, false)
	t.active = r
	t.run = max(t.run, id.Number)
	a.runs[id] = r
	a.occupy(now, s.step, 1)
	s.onAgent[a]++
	s.job.live++
	s.job.working++
	return r
}

func (p *Planner) dropRun(now time.Duration, r *run) {
	delete(r.agent.runs, r.id)
	r.agent.occupy(now, r.step.step, -1)
	r.step.onAgent[r.agent]--
	r.step.job.live--
	if r.pace > 0 {
		r.step.job.stopsWorking(now)
	}
	if r.task.active == r {
		r.task.active = nil
	}
}

func (js *jobState) stopsWorking(now time.Duration) {
	js.working--
	js.idleSince = now
}

// setPace notes the pace that is ordered for a run.
func (r *run) setPace(now time.Duration, percent int) {
	js := r.step.job
	switch {
	case r.pace > 0 && percent == 0:
		js.stopsWorking(now)
	case r.pace == 0 && percent > 0:
		js.working++
	}
	r.pace, r.pacedSince = percent, now
}

func (a *agent) occupy(now time.Duration, s *job.Step, sign int64) {
	a.neighbours.at = 0
	if s.BestEffort {
		a.fillerCPU += sign * s.CPU
		if a.runner != nil {
			a.fillersChange(now, a.share(s))
		}
	} else {
		a.used.CPU += sign * s.CPU
	}
	a.used.MemoryMB += sign * s.MemoryMB
	a.used.GPUs += sign * s.GPUs
	if s.LatencyTarget > 0 {
		a.serving += int(sign)
		a.servingCPU += sign * s.CPU
	}
}

// fillersChange notes that fillers are to use more or less of the agent's CPU.
func (a *agent) fillersChange(now time.Duration, share float64) {
	if max(share, -share) > settledShare {
		a.settledAt = now + settleTime
	}
}

// setRunner takes what the runner says of itself.
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

// RunnerChanged takes a report of the runner of a connected agent. With a new life active
// has the runs that may be alive there. Of a run that has not been confirmed the order may
// still be on its way to the agent, which tells what becomes of it.
func (p *Planner) RunnerChanged(now time.Duration, id string, r *job.Runner, active []job.Activity) {
	a := p.agents[id]
	if a == nil || a.state != live {
		return
	}
	newLife := a.runner != nil && (r == nil || !a.runner.SameIncarnation(r))
	p.setRunner(a, r)
	if newLife {
		p.listed(now, a, active, func(r *run) bool { return r.confirmedAt != 0 })
	}
}

func (p *Planner) setGone(a *agent) {
	p.setState(a, gone)
	p.gone = append(p.gone, a.id)
}

// TakeDeadAgents returns the agents without contact on which nothing is alive any more,
// each once until it is connected again.
func (p *Planner) TakeDeadAgents() []string {
	gone := p.gone
	p.gone = nil
	return gone
}

// AgentDead says whether an agent is still without contact and without runs.
func (p *Planner) AgentDead(id string) bool {
	a := p.agents[id]
	return a != nil && a.state == gone
}

// Step returns the step of a task of a job that has not ended, nil if there is
// none.
func (p *Planner) Step(t job.Task) *job.Step {
	s, _ := p.find(t)
	if s == nil {
		return nil
	}
	return s.step
}

// AgentLost says that there is no contact to an agent. What ran there may be
// alive until lapseAt.
func (p *Planner) AgentLost(id string, lapseAt time.Duration) {
	a := p.agents[id]
	switch {
	case a == nil:
	case a.state == live && a.runner == nil && len(a.runs) == 0:
		// Without a runner nothing runs, and nothing can be started.
		p.setGone(a)
	case a.state == live:
		a.state = lost
		a.lapseAt = lapseAt
	case a.state == unknown:
		a.lapseAt = max(a.lapseAt, lapseAt)
	}
}

// AgentLeaseExtended says that an agent whose state is about to be taken got a lease. What runs
// there may be alive until lapseAt.
func (p *Planner) AgentLeaseExtended(id string, lapseAt time.Duration) {
	if a := p.agents[id]; a != nil && (a.state == lost || a.state == unknown) {
		a.lapseAt = max(a.lapseAt, lapseAt)
	}
}

// LeaseExpiry is until when runs that are not known may be alive on an agent; bounded is false
// if there are none.
func (p *Planner) LeaseExpiry(id string) (at time.Duration, bounded bool) {
	if a := p.agents[id]; a != nil && (a.state == lost || a.state == unknown) {
		return a.lapseAt, true
	}
	return 0, false
}

// expireLeases gives up the runs of agents whose leases have run out for certain.
func (p *Planner) expireLeases(now time.Duration) {
	for _, a := range p.order {
		if now < a.lapseAt || a.state != unknown && a.state != lost {
			continue
		}
		p.setGone(a)
		for _, r := range a.runs {
			p.stats.LeaseExpirations++
			p.runGone(now, r)
		}
	}
}

// ActivityReported takes what an agent lists of its active runs.
func (p *Planner) ActivityReported(now time.Duration, id string, active []job.Activity) {
	a := p.agents[id]
	if a == nil || a.state != live {
		return
	}
	for _, act := range active {
		if r := a.runs[act.Run]; r != nil {
			p.progressed(now, r, act)
		}
	}
	p.learn(now, a, active)
}

func (p *Planner) progressed(now time.Duration, r *run, act job.Activity) {
	r.step.job.begun = r.step.job.begun || !act.Unconfirmed
	if r.phase == starting && !act.Unconfirmed {
		r.phase = running
		r.confirmedAt = now
		r.changedAt = now
	}
	r.cpu = act.CPU
	if act.Percent != r.percent {
		r.percent = act.Percent
		r.changedAt = now
	}
	if act.Checkpoint != "" {
		r.task.checkpoint = act.Checkpoint
		if r.step.step.Gang {
			r.step.gangCheckpoint = act.Checkpoint
		}
	}
}
