package planner

import (
	"time"

	"bamboowood/internal/job"
)

// OverTarget describes a latency-critical task over its latency target, and the best-effort
// runs colocated with it.
type OverTarget struct {
	Agent       string
	Run         job.Run
	TailLatency time.Duration
	Target      time.Duration
	// Duration is how long the task has been over its target.
	Duration time.Duration
	// Headroom is the forecast headroom without best-effort tasks. Unattainable is set if the
	// model expects the target to be missed without them.
	Headroom     float64
	Unattainable bool
	BestEffort   []BestEffortSpeed
}

// BestEffortSpeed holds the speed limits of a best-effort run in percent, as ordered by the
// planner, as the agent has it, and as the runner has confirmed it.
type BestEffortSpeed struct {
	Run           job.Run
	Ordered       int
	Agent, Runner job.Speed
	// CPU is the CPU in use, RequestedCPU that at full speed, in thousandths of a core.
	CPU, RequestedCPU int64
	// OrderAge is the time since Ordered last changed, ReportAge that since the last report.
	OrderAge, ReportAge time.Duration
	Stopping            bool
}

// OverTarget returns the latency-critical tasks that have been over their target for longer than
// threshold and have colocated best-effort runs.
func (p *Planner) OverTarget(now, threshold time.Duration) []OverTarget {
	var tasks []OverTarget
	for _, a := range p.orderedAgents {
		if a.criticalTasks == 0 || a.bestEffortCPU == 0 {
			continue
		}
		for _, r := range a.runs {
			over := r.latency.Over(now)
			if over <= threshold {
				continue
			}
			tasks = append(tasks, OverTarget{
				Agent: a.id, Run: r.id, TailLatency: r.tailLatency, Target: r.step.step.LatencyTarget, Duration: over,
				Headroom:     p.headroom(now, r.step),
				Unattainable: p.interference.TargetUnattainable(r.step.job.job.ID, now+forecastHorizon),
				BestEffort:   a.bestEffortSpeeds(now),
			})
		}
	}
	return tasks
}

func (a *agent) bestEffortSpeeds(now time.Duration) []BestEffortSpeed {
	var speeds []BestEffortSpeed
	for _, r := range a.runs {
		if r.step.step.BestEffort {
			speeds = append(speeds, BestEffortSpeed{
				Run: r.id, Ordered: r.speedLimit, Agent: r.agentSpeed, Runner: r.runnerSpeed,
				CPU: r.cpu, RequestedCPU: r.step.step.CPU, OrderAge: now - max(r.speedLimitChangedAt, r.orderedAt),
				ReportAge: now - r.reportedAt, Stopping: r.phase == stopping,
			})
		}
	}
	return speeds
}
