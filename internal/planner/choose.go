package planner

import (
	"slices"
	"time"

	"bamboowood/internal/job"
)

// choice says how a runner is chosen.
type choice struct {
	// eject leaves out runners that are ejected.
	eject bool
	// crowd lets fillers ask for more CPU than is unused.
	crowd bool
	// limit bounds the tasks to start; 0 means all.
	limit int
}

// Weights of the choice of a runner, as shares of a task's duration.
const (
	// loadWeight spreads work over runners; tasks with a latency target are not spread.
	loadWeight = 0.3
	// besideServingWeight keeps fillers away from tasks with a latency target, by the
	// headroom that they would cost.
	besideServingWeight = 0.3
	// slowdownWeight keeps fillers away from where they and others would be slowed
	// down, by the part of their speed that is lacking there.
	slowdownWeight = 2
	// admittedSlowdown is the part above which a filler rather waits.
	admittedSlowdown = 0.02
	// disturbanceWeight keeps tasks with a latency target away from fillers that would
	// bring them near it.
	disturbanceWeight = 1
	// emptyWeight keeps tasks with a latency target off runners that have none, so that
	// these are free for fillers.
	emptyWeight = 1
	// mixWeight keeps tasks with a latency target off runners that have some of other
	// images: the fewer images a runner has, the more kinds of fillers disturb none.
	mixWeight = 0.1
	// avoidWeight keeps a task away from the runner on which it went wrong.
	avoidWeight = 3
	// besideFillerWeight keeps other tasks off runners where fillers disturb nobody.
	besideFillerWeight = 0.1
	// probationWeight keeps work away from runners that have failed of late.
	probationWeight = 2
)

// pick returns the best runner for a task, nil if none will do.
func (p *Planner) pick(now time.Duration, s *stepState, t *taskState, c choice) *agent {
	var best *agent
	bestCost := 0.0
	rack := ""
	if s.step.RackLocal {
		rack = s.siblingRack()
	}
	for _, a := range p.order {
		if !p.eligible(now, a, s, c) || s.advice != nil && !s.advice.valid(now, a.runner.ID) {
			continue
		}
		cost := p.cost(now, a, s, t, rack)
		if s.step.BestEffort {
			slowed, headroom := p.slowed(now, a, s.step)
			if slowed > admittedSlowdown && !c.crowd {
				continue
			}
			cost += slowdownWeight*slowed + besideServingWeight*headroom
		}
		if best == nil || cost < bestCost {
			best, bestCost = a, cost
		}
	}
	return best
}

func (p *Planner) eligible(now time.Duration, a *agent, s *stepState, c choice) bool {
	switch {
	case a.state != live || a.runner == nil || a.runner.Draining,
		p.site.Drained[a.runner.Zone],
		a.runner.Service != s.job.job.Queue.Service,
		now < a.health.noRoomUntil,
		c.eject && a.health.ejected(now),
		s.step.RequiredLabel != "" && !slices.Contains(a.runner.Labels, s.step.RequiredLabel),
		s.step.MaxPerRunner > 0 && s.onAgent[a] >= s.step.MaxPerRunner:
		return false
	}
	return a.fits(s.step, c.crowd)
}

// fits says whether the task has room. Fillers need CPU that is unused, though
// the runner does not ask for it: more of them would only slow each other down.
func (a *agent) fits(step *job.Step, crowd bool) bool {
	capacity := a.runner.Capacity
	if a.used.MemoryMB+step.MemoryMB > capacity.MemoryMB || a.used.GPUs+step.GPUs > capacity.GPUs {
		return false
	}
	if step.BestEffort && crowd {
		return true
	}
	if step.BestEffort {
		return a.fillerCPU == 0 || a.busyCPU()+a.fillerCPU+step.CPU <= capacity.CPU
	}
	return a.used.CPU+step.CPU <= capacity.CPU
}

// servingShare of the CPU that serving tasks ask for is what they use on average.
const servingShare = 0.6

// busyCPU is what is expected to be used by all but fillers.
func (a *agent) busyCPU() int64 {
	return a.used.CPU - int64((1-servingShare)*float64(a.servingCPU))
}

// cost is the expected delay of the task on the runner, as a share of its
// duration.
func (p *Planner) cost(now time.Duration, a *agent, s *stepState, t *taskState, rack string) float64 {
	step := s.step
	cost := 0.0
	if step.DataRack != "" && step.DataRack != a.rack || rack != "" && rack != a.rack {
		cost += p.opts.RemoteFactor - 1
	}
	if step.LatencyTarget == 0 {
		cost += loadWeight * a.load(step)
	}
	if !step.BestEffort && step.LatencyTarget == 0 && a.serving == 0 {
		cost += besideFillerWeight
	}
	if step.LatencyTarget > 0 {
		cost += p.disturbanceCost(now, a, s) + p.mixCost(now, a, step.Image)
	} else if step.Continuous {
		cost += float64(s.onAgent[a])
	}
	if t.avoid == a {
		cost += avoidWeight
	}
	if a.health.onProbation() {
		cost += probationWeight
	}
	return cost
}

// mixCost is what a serving task of an image makes worse for fillers to come.
func (p *Planner) mixCost(now time.Duration, a *agent, image string) float64 {
	if a.serving == 0 {
		return emptyWeight
	}
	cost := 0.0
	for _, n := range p.neighboursOf(now, a) {
		if n.image != image {
			cost += mixWeight
		}
	}
	return cost
}

// disturbanceCost is what the fillers of an agent cost a serving task.
func (p *Planner) disturbanceCost(now time.Duration, a *agent, s *stepState) float64 {
	load, _ := p.load(a, s.step.Image)
	return disturbanceWeight * max(load-(p.headroom(now, s)-paceGoal), 0)
}

// load is the share of the runner's capacity that is asked for with the task.
func (a *agent) load(step *job.Step) float64 {
	if a.runner.Capacity.CPU <= 0 {
		return 1
	}
	return float64(a.busyCPU()+a.fillerCPU+step.CPU) / float64(a.runner.Capacity.CPU)
}

// siblingRack is the rack of a task of the step that has a runner.
func (s *stepState) siblingRack() string {
	for a, n := range s.onAgent {
		if n > 0 {
			return a.rack
		}
	}
	return ""
}
