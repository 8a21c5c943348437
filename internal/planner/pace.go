package planner

import (
	"cmp"
	"slices"
	"time"

	"bamboowood/internal/job"
)

// Throttling of best-effort tasks, so that colocated latency-critical tasks meet their
// latency target.
const (
	// fullSpeed is a run's full speed, in percent.
	fullSpeed = 100
	// headroomGoal is the headroom, target / tail latency, that best-effort tasks must
	// leave; the part above 1 allows for forecast errors.
	headroomGoal = 1.1
	// forecastHorizon is how far ahead headroom is forecast: the time until a throttle
	// order takes effect plus the time until the next order.
	forecastHorizon = 400 * time.Millisecond
	// maxTimeOverTarget is how long a task may be continuously over its target before
	// colocated best-effort tasks are throttled to zero, regardless of the interference
	// model. The users allow 4 s (harmMs), of which reporting takes 1 s.
	maxTimeOverTarget = 2200 * time.Millisecond
	// throttleInterval is the least time between two changes of an agent's speeds; reports
	// cover half a second.
	throttleInterval = 250 * time.Millisecond
	// minSpeedChange is the least change of speed, in percent, that is worth an order.
	minSpeedChange = 8
)

// Throttle orders an agent to limit the speed of a run.
type Throttle struct {
	Agent string
	Run   job.Run
	// Percent is the share of its full speed that the run may use.
	Percent int
	// OverTarget is the longest time for which a colocated latency-critical task has been
	// over its target, Headroom the least headroom forecast for such a task without
	// best-effort tasks. Both are for logging.
	OverTarget time.Duration
	Headroom   float64
}

// throttles returns the orders for all best-effort runs whose speed changes.
func (p *Planner) throttles(now time.Duration) []Throttle {
	var throttles []Throttle
	for _, a := range p.orderedAgents {
		if a.state != live || a.runner == nil || now-a.throttledAt < throttleInterval {
			continue
		}
		a.throttledAt = now
		targets, overTarget, headroom := p.targetSpeeds(now, a)
		for _, target := range targets {
			change := target.run.speed - target.percent
			if change == 0 || max(change, -change) < minSpeedChange && target.percent != fullSpeed && target.percent != 0 {
				continue
			}
			target.run.setSpeed(now, target.percent)
			a.bestEffortChanged(now, a.cpuShare(target.run.step.step)*float64(change)/fullSpeed)
			throttles = append(throttles, Throttle{Agent: a.id, Run: target.run.id, Percent: target.percent, OverTarget: overTarget, Headroom: headroom})
		}
	}
	return throttles
}

// targetSpeed is the speed that a run should have, in percent.
type targetSpeed struct {
	run     *run
	percent int
}

// targetSpeeds computes the speeds of an agent's best-effort runs. For each
// latency-critical step in turn it lowers those with the highest pressure until the
// headroom goal is met. overTarget is the longest time for which a latency-critical task
// has been over its target, minHeadroom the least forecast headroom; both are 0 without
// latency-critical tasks.
func (p *Planner) targetSpeeds(now time.Duration, a *agent) (targets []targetSpeed, overTarget time.Duration, minHeadroom float64) {
	for _, r := range a.runs {
		if r.step.step.BestEffort && r.phase == running {
			targets = append(targets, targetSpeed{run: r, percent: fullSpeed})
		}
	}
	if len(targets) == 0 {
		return nil, 0, 0
	}
	for i, s := range a.criticalSteps() {
		headroom := p.headroom(now, s)
		if i == 0 || headroom < minHeadroom {
			minHeadroom = headroom
		}
		stepOverTarget := a.timeOverTarget(now, s)
		overTarget = max(overTarget, stepOverTarget)
		switch {
		case stepOverTarget > maxTimeOverTarget:
			p.limitSpeeds(a, s.step.Image, targets, 0)
		case p.interference.TargetUnattainable(s.job.job.ID, now+forecastHorizon):
		default:
			p.limitSpeeds(a, s.step.Image, targets, max(headroom-headroomGoal, 0))
		}
	}
	return targets, overTarget, minHeadroom
}

// timeOverTarget is the longest time for which a run of the step on the agent has been
// over its latency target.
func (a *agent) timeOverTarget(now time.Duration, s *stepState) time.Duration {
	longest := time.Duration(0)
	for _, r := range a.runs {
		if r.step == s && r.overTargetSince != 0 {
			longest = max(longest, now-r.overTargetSince)
		}
	}
	return longest
}

// limitSpeeds lowers speeds, starting with the highest pressure on a latency-critical
// image, until the sum of pressure x CPU share x speed is at most allowed. If allowed is
// 0, all speeds become 0.
func (p *Planner) limitSpeeds(a *agent, image string, targets []targetSpeed, allowed float64) {
	pressure := func(t targetSpeed) float64 { return p.interference.Pressure(image, t.run.step.step.Image) }
	slices.SortFunc(targets, func(x, y targetSpeed) int { return cmp.Compare(pressure(y), pressure(x)) })
	sum := 0.0
	for _, t := range targets {
		sum += pressure(t) * a.cpuShare(t.run.step.step) * float64(t.percent) / fullSpeed
	}
	for i := range targets {
		if sum <= allowed && allowed > 0 {
			return
		}
		fullCost := pressure(targets[i]) * a.cpuShare(targets[i].run.step.step)
		if allowed == 0 {
			targets[i].percent = 0
			continue
		}
		if fullCost <= 0 {
			continue
		}
		cost := fullCost * float64(targets[i].percent) / fullSpeed
		allowedCost := max(cost-(sum-allowed), 0)
		targets[i].percent = int(allowedCost / fullCost * fullSpeed)
		sum += allowedCost - cost
	}
}
