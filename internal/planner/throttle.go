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
	fullSpeed = job.FullSpeed
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
	// orderAppliedAfter is the time after an order from which an agent's reports must hold it.
	orderAppliedAfter = 400 * time.Millisecond
	// orderEffectiveAfter is the time after an order from which the CPU in reports must show it:
	// they cover half a second.
	orderEffectiveAfter = 1200 * time.Millisecond
)

// ThrottleReason is the reason for an order to throttle.
type ThrottleReason string

// The reasons for orders to throttle.
const (
	// ThrottleChanged: the limit has changed.
	ThrottleChanged ThrottleReason = "changed"
	// ThrottleUnknown: the agent does not know the run's limit, since its process is new.
	ThrottleUnknown ThrottleReason = "unknown-to-agent"
	// ThrottleNotApplied: the agent enforces another limit than the one ordered.
	ThrottleNotApplied ThrottleReason = "not-applied"
	// ThrottleNoEffect: the run uses more CPU than its limit allows.
	ThrottleNoEffect ThrottleReason = "no-effect"
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
	Reason  ThrottleReason
	// OverTarget is the longest time for which a colocated latency-critical task has been
	// over its target, Headroom the least headroom forecast for such a task without
	// best-effort tasks. Both are for logging.
	OverTarget time.Duration
	Headroom   float64
}

// throttles returns the orders for all best-effort runs whose speed limit changes or is not in force.
func (p *Planner) throttles(now time.Duration) []Throttle {
	var throttles []Throttle
	for _, a := range p.orderedAgents {
		if a.state != live || a.runner == nil || now-a.throttleCheckedAt < throttleInterval {
			continue
		}
		a.throttleCheckedAt = now
		limits, overTarget, headroom := p.computeSpeedLimits(now, a)
		for _, limit := range limits {
			r := limit.run
			reason, ordered := r.throttleReason(limit.percent)
			if !ordered {
				continue
			}
			if change := r.speedLimit - limit.percent; change != 0 {
				r.setSpeedLimit(now, limit.percent)
				a.bestEffortChanged(now, a.cpuShare(r.step.step)*float64(change)/fullSpeed)
			}
			r.speedOrderedAt, r.speedUnknown = now, false
			throttles = append(throttles, Throttle{
				Agent: a.id, Run: r.id, Percent: limit.percent, Reason: reason, OverTarget: overTarget, Headroom: headroom,
			})
		}
	}
	return throttles
}

// throttleReason returns why a run that should have a speed limit needs an order. ordered is false if
// it needs none. An order may be lost, or be carried out by a process that forgets it, so the limit
// counts as in force only as far as reports show it.
func (r *run) throttleReason(percent int) (reason ThrottleReason, ordered bool) {
	change := r.speedLimit - percent
	sinceOrder := r.reportedAt - r.speedOrderedAt
	switch {
	case max(change, -change) >= minSpeedChange, change != 0 && (percent == fullSpeed || percent == 0):
		return ThrottleChanged, true
	case r.speedUnknown:
		return ThrottleUnknown, true
	case sinceOrder >= orderAppliedAfter && r.agentSpeed.Known && r.agentSpeed.Percent != r.speedLimit:
		return ThrottleNotApplied, true
	case sinceOrder >= orderEffectiveAfter && r.exceedsSpeedLimit():
		return ThrottleNoEffect, true
	}
	return "", false
}

// exceedsSpeedLimit reports whether the last report shows the run at more than its speed limit.
func (r *run) exceedsSpeedLimit() bool {
	return r.speedLimit < fullSpeed && job.SpeedOf(r.speedLimit).Exceeded(r.cpu, r.step.step.CPU)
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
	overTarget = a.longestOverTarget(now)
	for i, s := range a.criticalSteps() {
		headroom := p.headroom(now, s)
		if i == 0 || headroom < minHeadroom {
			minHeadroom = headroom
		}
		switch {
		case overTarget > maxTimeOverTarget:
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
