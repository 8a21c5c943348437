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
	// throttleInterval is the least time between two changes of an agent's speed limits;
	// reports cover half a second.
	throttleInterval = 250 * time.Millisecond
	// minSpeedChange is the least change of a speed limit, in percent, that is worth an order.
	minSpeedChange = 8
)

// initialSpeed is the speed limit with which a run of the step starts on the agent, in percent.
func (a *agent) initialSpeed(now time.Duration, s *stepState) int {
	if s.step.BestEffort && a.longestOverTarget(now) > maxTimeOverTarget {
		return 0
	}
	return fullSpeed
}

// Throttle orders an agent to limit the speed of a run.
type Throttle struct {
	Agent string
	Run   job.Run
	// Percent is the speed limit, in percent of the run's full speed.
	Percent int
	// OverTarget is the longest time for which a colocated latency-critical task has been
	// over its target, Headroom the least headroom forecast for such a task without
	// best-effort tasks. Both are for logging.
	OverTarget time.Duration
	Headroom   float64
}

// throttles returns the orders for all best-effort runs whose speed limit changes.
func (p *Planner) throttles(now time.Duration) []Throttle {
	var throttles []Throttle
	for _, a := range p.orderedAgents {
		if a.state != live || a.runner == nil || now-a.throttleCheckedAt < throttleInterval {
			continue
		}
		a.throttleCheckedAt = now
		limits, overTarget, headroom := p.computeSpeedLimits(now, a)
		for _, limit := range limits {
			change := limit.run.speedLimit - limit.percent
			if change == 0 || max(change, -change) < minSpeedChange && limit.percent != fullSpeed && limit.percent != 0 {
				continue
			}
			limit.run.setSpeedLimit(now, limit.percent)
			a.bestEffortChanged(now, a.cpuShare(limit.run.step.step)*float64(change)/fullSpeed)
			throttles = append(throttles, Throttle{Agent: a.id, Run: limit.run.id, Percent: limit.percent, OverTarget: overTarget, Headroom: headroom})
		}
	}
	return throttles
}

// speedLimit is the speed limit that a run should have, in percent of its full speed.
type speedLimit struct {
	run     *run
	percent int
}

// computeSpeedLimits computes the speed limits of an agent's best-effort runs. For each
// latency-critical step in turn it lowers those of the runs with the highest pressure until
// the headroom goal is met. overTarget is the longest time for which a latency-critical task
// has been over its target, minHeadroom the least forecast headroom; both are 0 without
// latency-critical tasks.
func (p *Planner) computeSpeedLimits(now time.Duration, a *agent) (limits []speedLimit, overTarget time.Duration, minHeadroom float64) {
	for _, r := range a.runs {
		if r.step.step.BestEffort && r.phase == running {
			limits = append(limits, speedLimit{run: r, percent: fullSpeed})
		}
	}
	if len(limits) == 0 {
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
			p.lowerSpeedLimits(a, s.step.Image, limits, 0)
		case p.interference.TargetUnattainable(s.job.job.ID, now+forecastHorizon):
		default:
			p.lowerSpeedLimits(a, s.step.Image, limits, max(headroom-headroomGoal, 0))
		}
	}
	return limits, overTarget, minHeadroom
}

// longestOverTarget is the longest time for which any run on the agent has been over its latency
// target.
func (a *agent) longestOverTarget(now time.Duration) time.Duration {
	longest := time.Duration(0)
	for _, r := range a.runs {
		longest = max(longest, r.latency.Over(now))
	}
	return longest
}

// timeOverTarget is the longest time for which a run of the step on the agent has been
// over its latency target.
func (a *agent) timeOverTarget(now time.Duration, s *stepState) time.Duration {
	longest := time.Duration(0)
	for _, r := range a.runs {
		if r.step == s {
			longest = max(longest, r.latency.Over(now))
		}
	}
	return longest
}

// lowerSpeedLimits lowers speed limits, starting with the highest pressure on a
// latency-critical image, until the sum of pressure x CPU share x speed limit is at most
// allowed. If allowed is 0, all speed limits become 0.
func (p *Planner) lowerSpeedLimits(a *agent, image string, limits []speedLimit, allowed float64) {
	pressure := func(l speedLimit) float64 { return p.interference.Pressure(image, l.run.step.step.Image) }
	slices.SortFunc(limits, func(x, y speedLimit) int { return cmp.Compare(pressure(y), pressure(x)) })
	sum := 0.0
	for _, l := range limits {
		sum += pressure(l) * a.cpuShare(l.run.step.step) * float64(l.percent) / fullSpeed
	}
	for i := range limits {
		if sum <= allowed && allowed > 0 {
			return
		}
		fullCost := pressure(limits[i]) * a.cpuShare(limits[i].run.step.step)
		if allowed == 0 {
			limits[i].percent = 0
			continue
		}
		if fullCost <= 0 {
			continue
		}
		cost := fullCost * float64(limits[i].percent) / fullSpeed
		allowedCost := max(cost-(sum-allowed), 0)
		limits[i].percent = int(allowedCost / fullCost * fullSpeed)
		sum += allowedCost - cost
	}
}
