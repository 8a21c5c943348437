package planner

import (
	"time"

	"bamboowood/internal/job"
)

// AgentLoad is what the planner holds of an agent.
type AgentLoad struct {
	ID                   string
	State                string
	Runs                 int
	Used                 job.Resources
	Capacity             job.Resources
	BestEffortCPU        int64
	AllowedBestEffortCPU int64
	LatencyCritical      int
	Draining             bool
	Ejected              bool
	RecentFailures       int
}

// Loads returns what the planner holds of each agent.
func (p *Planner) Loads(now time.Duration) []AgentLoad {
	loads := make([]AgentLoad, 0, len(p.order))
	for _, a := range p.order {
		l := AgentLoad{
			ID: a.id, State: a.state.String(), Runs: len(a.runs), Used: a.used, BestEffortCPU: a.fillerCPU,
			LatencyCritical: a.serving, Ejected: a.health.ejected(now),
			RecentFailures: len(a.health.failed),
		}
		for _, r := range a.runs {
			if r.step.step.BestEffort {
				l.AllowedBestEffortCPU += r.step.step.CPU * int64(r.pace) / fullPace
			}
		}
		if a.runner != nil {
			l.Capacity, l.Draining = a.runner.Capacity, a.runner.Draining
		}
		loads = append(loads, l)
	}
	return loads
}

// FleetLoad is what the live agents of all services run and what waits for them.
type FleetLoad struct {
	Agents, LatencyCriticalAgents int
	// CapacityCPU is what they have; UsedCPU what all runs but fillers ask for; BestEffortCPU
	// what fillers ask for, AllowedBestEffortCPU the same at the pace that was ordered.
	CapacityCPU, UsedCPU, BestEffortCPU, AllowedBestEffortCPU int64
	// LatencyCritical counts tasks with a latency target, OverTarget those of them above it.
	LatencyCritical, OverTarget int
	// WaitingBestEffort and Waiting count tasks that are ready to start.
	WaitingBestEffort, Waiting int
}

// Fleet sums up the loads.
func (p *Planner) Fleet() FleetLoad {
	var l FleetLoad
	for _, a := range p.order {
		if a.state != live || a.runner == nil {
			continue
		}
		l.Agents++
		l.CapacityCPU += a.runner.Capacity.CPU
		l.UsedCPU += a.used.CPU
		l.BestEffortCPU += a.fillerCPU
		l.LatencyCritical += a.serving
		if a.serving > 0 {
			l.LatencyCriticalAgents++
		}
		for _, r := range a.runs {
			if r.step.step.BestEffort {
				l.AllowedBestEffortCPU += r.step.step.CPU * int64(r.pace) / fullPace
			}
			if r.overSince != 0 {
				l.OverTarget++
			}
		}
	}
	for _, s := range p.ready {
		if s.step.BestEffort {
			l.WaitingBestEffort += s.waiting
		} else {
			l.Waiting += s.waiting
		}
	}
	return l
}

// MaxCapacity returns the most that any runner of a service has of each resource. known is
// false unless all agents have been heard of and one of them has such a runner.
func (p *Planner) MaxCapacity(service string) (largest job.Resources, known bool) {
	for _, a := range p.order {
		if a.runner == nil || a.runner.Service != service {
			continue
		}
		c := a.runner.Capacity
		largest.CPU = max(largest.CPU, c.CPU)
		largest.MemoryMB = max(largest.MemoryMB, c.MemoryMB)
		largest.GPUs = max(largest.GPUs, c.GPUs)
		known = p.unknown == 0
	}
	return largest, known
}

func (s agentState) String() string {
	return [...]string{unknown: "unknown", live: "live", lost: "lost", gone: "gone"}[s]
}
