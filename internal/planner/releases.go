package planner

import (
	"math"
	"time"

	"bamboowood/internal/forecast"
	"bamboowood/internal/job"
)

const (
	// startDelay is the time from an order to start a run to its start, stopDelay that from an order to stop
	// it to its reported end.
	startDelay = 100 * time.Millisecond
	stopDelay  = 300 * time.Millisecond
	// never is the expected end of a run that is not expected to end.
	never = time.Duration(math.MaxInt64)
	// overrunShare is the expected remaining time of a run that has exceeded its expected duration, as a
	// share of the time that it has run, while no durations are learned.
	overrunShare = 0.5
)

// usageForecast is what the current runs of an agent will still use at some time.
type usageForecast struct {
	// computedAt, and the sums of the agent's current requests, are the key of the cached result.
	computedAt           time.Duration
	current              job.Resources
	currentBestEffortCPU int64
	// requested and bestEffortCPU are as in agent.
	requested     job.Resources
	bestEffortCPU int64
}

// usageAt returns what the current runs of a reservation's agent are expected to use when it begins.
func (p *Planner) usageAt(now time.Duration, r *reservation) usageForecast {
	a, u := r.agent, &r.usage
	if u.computedAt == now && u.current == a.requested && u.currentBestEffortCPU == a.bestEffortCPU {
		return *u
	}
	*u = usageForecast{computedAt: now, current: a.requested, currentBestEffortCPU: a.bestEffortCPU}
	for _, run := range a.runs {
		if p.expectedEnd(now, run) <= r.at {
			continue
		}
		request := run.step.step.Request()
		if run.step.step.BestEffort {
			u.bestEffortCPU += request.CPU
			request.CPU = 0
		}
		u.requested = sum(u.requested, request)
	}
	return *u
}

// runnerForecasts returns the expected capacity of the runners of all agents, by their index. Runners that
// cannot be used have none.
func (p *Planner) runnerForecasts(now time.Duration) []forecast.Runner {
	runners := make([]forecast.Runner, len(p.orderedAgents))
	for i, a := range p.orderedAgents {
		if a.state != live || a.runner == nil || a.runner.Draining || p.site.Drained[a.runner.Zone] {
			continue
		}
		used := a.requested
		for _, r := range a.reservations {
			used = sum(used, r.owner.step.step.Request())
		}
		c := a.runner.Capacity
		f := &runners[i]
		f.Free = job.Resources{CPU: c.CPU - used.CPU, MemoryMB: c.MemoryMB - used.MemoryMB, GPUs: c.GPUs - used.GPUs}
		for _, r := range a.runs {
			end := p.expectedEnd(now, r)
			if end > now+reservationHorizon {
				continue
			}
			amount := r.step.step.Request()
			if r.step.step.BestEffort {
				amount.CPU = 0
			}
			f.Releases = append(f.Releases, forecast.Release{At: end, Amount: amount})
		}
	}
	return runners
}

// expectedDuration is the mean duration of a task of the step.
func (p *Planner) expectedDuration(s *stepState) time.Duration {
	d := s.job.durations.taskDurations[s.index]
	if p.opts.LearnedDurations {
		if mean, ok := p.learned.Expected(durationKey(s.job.job, s.index), p.correctedEstimate(s)); ok {
			return max(mean, d)
		}
	}
	return d
}

// correctedEstimate is the step's estimate, corrected by its own finished tasks relative to what is
// learned for its queue and image.
func (p *Planner) correctedEstimate(s *stepState) time.Duration {
	js := s.job
	return time.Duration(float64(js.durations.taskDurations[s.index]) / math.Exp(p.biases(js.job)(s.index)))
}

// expectedEnd is when a run is expected to have released its capacity.
func (p *Planner) expectedEnd(now time.Duration, r *run) time.Duration {
	switch {
	case r.phase == stopping:
		return now + stopDelay
	case r.detachedUntil != 0:
		return r.detachedUntil
	case r.step.step.Continuous, r.speedLimit == 0:
		return never
	case r.phase == starting:
		return max(r.orderedAt+p.expectedDuration(r.step), now) + startDelay
	}
	left := p.expectedRemaining(now, r)
	return now + min(left*fullSpeed/time.Duration(r.speedLimit), maxAge)
}

// expectedRemaining is the mean remaining time at full speed of a confirmed run.
func (p *Planner) expectedRemaining(now time.Duration, r *run) time.Duration {
	if left, ok := p.learnedRemaining(now, r); ok {
		return min(left, maxAge/fullSpeed)
	}
	expected, elapsed := r.step.job.durations.taskDurations[r.step.index], now-r.confirmedAt
	if elapsed < expected {
		return min(expected-elapsed, maxAge/fullSpeed)
	}
	return min(time.Duration(overrunShare*float64(elapsed)), maxAge/fullSpeed)
}
