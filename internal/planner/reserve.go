package planner

import (
	"time"

	"bamboowood/internal/forecast"
	"bamboowood/internal/job"
)

// serviceCapacity is the capacity of the usable runners of a service.
type serviceCapacity struct {
	largest job.Resources
	runners float64
}

// isLarge reports whether the tasks of a step, or a gang as a whole, need reservations to find room. A task
// that no runner could run is not large.
func (c serviceCapacity) isLarge(s *stepState) bool {
	share := dominantShare(s.step, c.largest)
	if s.step.Gang {
		return share <= 1 && share*float64(len(s.tasks)) >= largeShare
	}
	return share <= 1 && share >= largeShare
}

// reserve makes reservations for the blocked steps of this plan, in rank order.
func (p *Planner) reserve(now time.Duration) {
	var steps []*reservedStep
	var blocked []forecast.Blocked
	for _, rs := range p.lookahead.blocked {
		s := rs.step
		p.currentJob = s.job.job.ID
		tasks := p.tasksToReserve(now, rs)
		if tasks <= 0 {
			continue
		}
		steps = append(steps, rs)
		blocked = append(blocked, forecast.Blocked{
			Need: s.step.Request(), Tasks: tasks, Together: s.step.Gang,
			Slots: func(i int) int { return p.slots(now, p.orderedAgents[i], rs, tasks) },
		})
	}
	p.currentJob = ""
	if len(blocked) == 0 {
		return
	}
	for _, found := range forecast.Plan(now, p.runnerForecasts(now), blocked, reservationHorizon) {
		a, rs := p.orderedAgents[found.Runner], steps[found.Step]
		r := &reservation{owner: rs, agent: a, runner: a.runner, madeAt: now, at: found.At}
		rs.reservations = append(rs.reservations, r)
		a.reservations = append(a.reservations, r)
		p.recordReservation(now, r, ReservationMade)
	}
	for _, rs := range steps {
		if len(rs.reservations) == 0 {
			rs.attemptFailed(now)
		}
	}
	p.giveUpLast(now)
}

// tasksToReserve returns for how many further tasks of a blocked step capacity may be reserved now.
func (p *Planner) tasksToReserve(now time.Duration, rs *reservedStep) int {
	l, s := &p.lookahead, rs.step
	if s.waitingTasks == 0 || len(rs.reservations) == 0 && !p.mayReserve(rs) {
		return 0
	}
	rs.attemptAt = now + reservationInterval
	if l.steps == nil {
		l.steps = map[*stepState]*reservedStep{}
	}
	l.steps[s] = rs
	capacity := l.capacities[s.job.job.Queue.Service]
	share := dominantShare(s.step, capacity.largest)
	if s.step.Gang {
		if len(rs.reservations) > 0 || len(s.tasks) > maxReservedGang ||
			share*float64(len(s.tasks)) > maxReservedGangShare*capacity.runners {
			return 0
		}
		return len(s.tasks)
	}
	// One large task may be reserved even in a small fleet.
	allowed := max(int(maxReservedShare*capacity.runners/share), 1)
	return min(allowed, maxReservedTasks, s.waitingTasks) - len(rs.reservations)
}

// lastReserved returns the number of steps with reservations, and the one of them that ranks last.
func (p *Planner) lastReserved() (n int, last *reservedStep) {
	for _, rs := range p.lookahead.steps {
		if len(rs.reservations) == 0 {
			continue
		}
		n++
		if last == nil || rs.position > last.position {
			last = rs
		}
	}
	return n, last
}

// mayReserve reports whether a step may be one of the steps with reservations.
func (p *Planner) mayReserve(rs *reservedStep) bool {
	n, last := p.lastReserved()
	return n < maxReservedSteps || rs.position <= last.position
}

// giveUpLast gives up the reservations of the steps that rank last while there are too many. It follows the
// attempts, so that a step that finds no room takes none from others.
func (p *Planner) giveUpLast(now time.Duration) {
	for n, last := p.lastReserved(); n > maxReservedSteps; n, last = p.lastReserved() {
		for len(last.reservations) > 0 {
			p.removeReservation(now, last.reservations[0], ReservationOutranked)
		}
		last.attemptFailed(now)
	}
}

// dominantShare is the largest share of the given capacity that a task of the step needs of any resource.
func dominantShare(step *job.Step, capacity job.Resources) float64 {
	share := func(need, capacity int64) float64 {
		if need == 0 {
			return 0
		}
		return float64(need) / float64(max(capacity, 1))
	}
	return max(share(step.CPU, capacity.CPU), share(step.MemoryMB, capacity.MemoryMB), share(step.GPUs, capacity.GPUs))
}

func (p *Planner) serviceCapacities() map[string]serviceCapacity {
	capacities := map[string]serviceCapacity{}
	for _, a := range p.orderedAgents {
		if a.state != live || a.runner == nil || a.runner.Draining || p.site.Drained[a.runner.Zone] {
			continue
		}
		c := capacities[a.runner.Service]
		c.runners++
		c.largest.CPU = max(c.largest.CPU, a.runner.Capacity.CPU)
		c.largest.MemoryMB = max(c.largest.MemoryMB, a.runner.Capacity.MemoryMB)
		c.largest.GPUs = max(c.largest.GPUs, a.runner.Capacity.GPUs)
		capacities[a.runner.Service] = c
	}
	return capacities
}

// slots returns how many further tasks of a step, up to tasks, the agent's runner may run.
func (p *Planner) slots(now time.Duration, a *agent, rs *reservedStep, tasks int) int {
	s := rs.step
	if !p.usable(a, s) || a.health.ejected(now) {
		return 0
	}
	if s.step.MaxPerRunner == 0 {
		return tasks
	}
	slots := s.step.MaxPerRunner - s.runsOnAgent[a]
	for _, r := range rs.reservations {
		if r.agent == a {
			slots--
		}
	}
	return slots
}
