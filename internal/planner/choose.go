package planner

import (
	"slices"
	"time"

	"bamboowood/internal/job"
)

// pickOptions modify the choice of runners for the tasks of a step.
type pickOptions struct {
	// excludeEjected filters out ejected runners.
	excludeEjected bool
	// overcommit allows best-effort tasks to request more CPU than is idle, and to start
	// where they would be slowed down.
	overcommit bool
	// maxStarts bounds the number of tasks to start; 0 means no bound.
	maxStarts int
	// exclude is an agent that is not eligible, nil if all are.
	exclude *agent
}

// Weights of the placement cost, as shares of a task's duration.
const (
	// loadWeight spreads tasks over runners, except latency-critical ones.
	loadWeight = 0.3
	// headroomCostWeight keeps best-effort tasks away from latency-critical ones, in
	// proportion to the headroom that they would cost.
	headroomCostWeight = 0.3
	// slowdownWeight keeps best-effort tasks off runners where they would be throttled or
	// cause others to be, in proportion to the lost share of their speed.
	slowdownWeight = 2
	// maxSlowdown is the lost share of speed above which a best-effort task waits instead.
	maxSlowdown = 0.02
	// interferenceWeight keeps latency-critical tasks off runners whose best-effort tasks
	// would bring them close to their target.
	interferenceWeight = 1
	// emptyRunnerWeight keeps latency-critical tasks off runners that have no
	// latency-critical task, which remain free for best-effort tasks.
	emptyRunnerWeight = 1
	// imageMixWeight keeps latency-critical tasks off runners that have some of images that
	// suffer from other best-effort images, in proportion to the distance of the images. The
	// less these differ, the more best-effort images can run there without interference.
	imageMixWeight = 0.2
	// avoidWeight keeps a task away from the runner on which it last failed or stalled.
	avoidWeight = 3
	// noCriticalWeight keeps tasks that are neither best-effort nor latency-critical off
	// runners without latency-critical tasks, to reserve these for best-effort tasks.
	noCriticalWeight = 0.1
	// probationWeight keeps tasks away from runners that failed recently.
	probationWeight = 2
)

// pickAgent returns the agent with the lowest cost for a task, nil if none is eligible. An ejected
// runner is used if no other may run the step.
func (p *Planner) pickAgent(now time.Duration, s *stepState, t *taskState, opts pickOptions) *agent {
	a := p.pickEligible(now, s, t, opts)
	if a == nil && opts.excludeEjected && !t.pausesForEjected(now, s) && p.mayUseEjected(now, s) {
		opts.excludeEjected = false
		a = p.pickEligible(now, s, t, opts)
	}
	return a
}

func (p *Planner) pickEligible(now time.Duration, s *stepState, t *taskState, opts pickOptions) *agent {
	var best *agent
	bestCost := 0.0
	rack := ""
	if s.step.RackLocal {
		rack = s.siblingRack()
	}
	heldBack := false
	for _, a := range p.orderedAgents {
		if a == opts.exclude || !p.eligible(now, a, s, opts) || s.advice != nil && !s.advice.hasValidTicket(now, a.runner.ID) {
			continue
		}
		if p.heldBack(now, a, s) {
			heldBack = true
			continue
		}
		cost := p.placementCost(now, a, s, t, rack)
		if s.step.BestEffort {
			slowdown, headroomCost := p.predictSlowdown(now, a, s.step)
			if slowdown > maxSlowdown && !opts.overcommit {
				continue
			}
			cost += slowdownWeight*slowdown + headroomCostWeight*headroomCost
		}
		if best == nil || cost < bestCost {
			best, bestCost = a, cost
		}
	}
	if best == nil && heldBack {
		p.taskHeldBack(t)
	}
	return best
}

// usable reports whether the agent's runner may run tasks of the step, apart from its health and load.
func (p *Planner) usable(a *agent, s *stepState) bool {
	return a.state == live && a.runner != nil && !a.runner.Draining && !p.site.Drained[a.runner.Zone] &&
		a.runner.Service == s.job.job.Queue.Service &&
		(s.step.RequiredLabel == "" || slices.Contains(a.runner.Labels, s.step.RequiredLabel))
}

func (p *Planner) eligible(now time.Duration, a *agent, s *stepState, opts pickOptions) bool {
	return p.permitted(a, s) && now >= a.health.backoffUntil && !(opts.excludeEjected && a.health.ejected(now)) &&
		a.fits(s.step, opts.overcommit)
}

// permitted reports whether the rules allow another task of the step on the agent's runner.
func (p *Planner) permitted(a *agent, s *stepState) bool {
	switch {
	case !p.usable(a, s),
		s.step.MaxPerRunner > 0 && s.runsOnAgent[a] >= s.step.MaxPerRunner:
		return false
	}
	return true
}

// fits reports whether a task of the step fits into the runner's free capacity.
// Best-effort tasks need idle CPU, although the runner does not require it: more of them
// would only slow each other down.
func (a *agent) fits(step *job.Step, overcommit bool) bool {
	capacity := a.runner.Capacity
	if a.requested.MemoryMB+step.MemoryMB > capacity.MemoryMB || a.requested.GPUs+step.GPUs > capacity.GPUs {
		return false
	}
	if step.BestEffort && overcommit {
		return true
	}
	if step.BestEffort {
		return a.bestEffortCPU == 0 || a.expectedCPU()+a.bestEffortCPU+step.CPU <= capacity.CPU
	}
	return a.requested.CPU+step.CPU <= capacity.CPU
}

// criticalUsageShare is the share of their requested CPU that latency-critical tasks use
// on average.
const criticalUsageShare = 0.6

// expectedCPU is the expected CPU usage of all runs that are not best-effort.
func (a *agent) expectedCPU() int64 {
	return a.requested.CPU - int64((1-criticalUsageShare)*float64(a.criticalCPU))
}

// placementCost is the expected delay of a task on the agent's runner, as a share of its
// duration.
func (p *Planner) placementCost(now time.Duration, a *agent, s *stepState, t *taskState, rack string) float64 {
	step := s.step
	cost := 0.0
	if step.DataRack != "" && step.DataRack != a.rack || rack != "" && rack != a.rack {
		cost += p.opts.RemoteFactor - 1
	}
	if step.LatencyTarget == 0 {
		cost += loadWeight * a.requestedShare(step)
	}
	if !step.BestEffort && step.LatencyTarget == 0 && a.criticalTasks == 0 {
		cost += noCriticalWeight
	}
	if step.LatencyTarget > 0 {
		cost += p.interferenceCost(now, a, s) + p.imageMixCost(now, a, step.Image)
	} else if step.Continuous {
		cost += float64(s.runsOnAgent[a])
	}
	if t.avoidAgent == a {
		cost += avoidWeight
	}
	if a.health.onProbation() {
		cost += probationWeight
	}
	return cost
}

// imageMixCost is the cost that placing a latency-critical task of an image has for later
// best-effort tasks.
func (p *Planner) imageMixCost(now time.Duration, a *agent, image string) float64 {
	if a.criticalTasks == 0 {
		return emptyRunnerWeight
	}
	cost := 0.0
	for _, n := range p.colocatedImages(now, a) {
		cost += imageMixWeight * p.interference.Distance(n.image, image)
	}
	return cost
}

// interferenceCost is the headroom that a latency-critical task would lack because of
// the agent's best-effort tasks.
func (p *Planner) interferenceCost(now time.Duration, a *agent, s *stepState) float64 {
	cost, _ := p.bestEffortCost(a, s.step.Image)
	return interferenceWeight * max(cost-(p.headroom(now, s)-headroomGoal), 0)
}

// requestedShare is the share of the runner's CPU that would be in use with the task.
func (a *agent) requestedShare(step *job.Step) float64 {
	if a.runner.Capacity.CPU <= 0 {
		return 1
	}
	return float64(a.expectedCPU()+a.bestEffortCPU+step.CPU) / float64(a.runner.Capacity.CPU)
}

// siblingRack returns the rack of a running task of the step, empty if there is none.
func (s *stepState) siblingRack() string {
	for a, n := range s.runsOnAgent {
		if n > 0 {
			return a.rack
		}
	}
	return ""
}
