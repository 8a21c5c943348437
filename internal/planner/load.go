package planner

import (
	"time"

	"bamboowood/internal/job"
)

// AgentLoad is the load of one agent. CPU is in thousandths of a core.
//
// Requested is the sum of the requests of all runs, without the CPU of best-effort runs.
// BestEffortCPU is their CPU, and AllowedBestEffortCPU is the same scaled by the speed limits of
// these runs. LatencyCritical counts the latency-critical runs. RecentFailures counts the
// jobs that have failed on the runner since its last success.
type AgentLoad struct {
	ID                   string
	State                string
	Runs                 int
	Requested            job.Resources
	Capacity             job.Resources
	BestEffortCPU        int64
	AllowedBestEffortCPU int64
	LatencyCritical      int
	Draining             bool
	Ejected              bool
	RecentFailures       int
}

// Loads returns the load of each agent.
func (p *Planner) Loads(now time.Duration) []AgentLoad {
	loads := make([]AgentLoad, 0, len(p.orderedAgents))
	for _, a := range p.orderedAgents {
		l := AgentLoad{
			ID: a.id, State: a.state.String(), Runs: len(a.runs), Requested: a.requested, BestEffortCPU: a.bestEffortCPU,
			LatencyCritical: a.criticalTasks, Ejected: a.health.ejected(now),
			RecentFailures: a.health.suspectingJobs(),
		}
		for _, r := range a.runs {
			if r.step.step.BestEffort {
				l.AllowedBestEffortCPU += r.step.step.CPU * int64(r.speedLimit) / fullSpeed
			}
		}
		if a.runner != nil {
			l.Capacity, l.Draining = a.runner.Capacity, a.runner.Draining
		}
		loads = append(loads, l)
	}
	return loads
}

// FleetLoad is the load of all live agents with a runner, and the number of waiting tasks.
type FleetLoad struct {
	// Agents counts the agents, LatencyCriticalAgents those with latency-critical tasks.
	Agents, LatencyCriticalAgents int
	// CPU in thousandths of a core: CapacityCPU is the runners' capacity, RequestedCPU the
	// request of all runs that are not best-effort, BestEffortCPU that of best-effort runs,
	// and AllowedBestEffortCPU the same scaled by their speed limits.
	CapacityCPU, RequestedCPU, BestEffortCPU, AllowedBestEffortCPU int64
	// LatencyCritical counts latency-critical tasks, OverTarget those above their target.
	LatencyCritical, OverTarget int
	// WaitingBestEffort counts the waiting best-effort tasks, Waiting all other ones.
	WaitingBestEffort, Waiting int
}

// Fleet returns the load of the whole fleet.
func (p *Planner) Fleet(now time.Duration) FleetLoad {
	var l FleetLoad
	for _, a := range p.orderedAgents {
		if a.state != live || a.runner == nil {
			continue
		}
		l.Agents++
		l.CapacityCPU += a.runner.Capacity.CPU
		l.RequestedCPU += a.requested.CPU
		l.BestEffortCPU += a.bestEffortCPU
		l.LatencyCritical += a.criticalTasks
		if a.criticalTasks > 0 {
			l.LatencyCriticalAgents++
		}
		for _, r := range a.runs {
			if r.step.step.BestEffort {
				l.AllowedBestEffortCPU += r.step.step.CPU * int64(r.speedLimit) / fullSpeed
			}
			if r.latency.Over(now) > 0 {
				l.OverTarget++
			}
		}
	}
	for _, s := range p.waitingSteps {
		if s.step.BestEffort {
			l.WaitingBestEffort += s.waitingTasks
		} else {
			l.Waiting += s.waitingTasks
		}
	}
	return l
}

// MaxCapacity returns the maximum of each resource over all runners of a service. known is
// false while an agent is unreported, or if no agent has a runner of the service.
func (p *Planner) MaxCapacity(service string) (capacity job.Resources, known bool) {
	allReported := true
	for _, a := range p.orderedAgents {
		allReported = allReported && a.state != unreported
		if a.runner == nil || a.runner.Service != service {
			continue
		}
		c := a.runner.Capacity
		capacity.CPU = max(capacity.CPU, c.CPU)
		capacity.MemoryMB = max(capacity.MemoryMB, c.MemoryMB)
		capacity.GPUs = max(capacity.GPUs, c.GPUs)
		known = true
	}
	return capacity, known && allReported
}

func (s agentState) String() string {
	return [...]string{unreported: "unknown", live: "live", lost: "lost", dead: "gone"}[s]
}
