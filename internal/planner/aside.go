package planner

import (
	"slices"
	"time"
)

// Quarantine removes a job whose processing panicked, so that the others can proceed. Its
// tasks are not started any more and its runs are stopped. It stays accepted in the ledger.
func (p *Planner) Quarantine(now time.Duration, id string) {
	p.quarantined[id] = true
	js := p.jobs[id]
	if js == nil {
		return
	}
	delete(p.jobs, id)
	delete(p.scheduled, js)
	delete(p.dirty, js)
	p.waitingSteps = slices.DeleteFunc(p.waitingSteps, func(s *stepState) bool { return s.job == js })
	p.starts = slices.DeleteFunc(p.starts, func(o Start) bool { return o.Run.Task.Job == id })
	for _, a := range p.orderedAgents {
		for _, r := range a.runs {
			switch {
			case r.step.job != js:
			case r.planned:
				p.removeRun(now, r)
			default:
				p.stopRun(r, StopQuarantined)
			}
		}
	}
}

// CurrentJob returns the id of the job that Plan is processing, empty if none. After a
// panic in Plan it is the job whose processing panicked.
func (p *Planner) CurrentJob() string { return p.currentJob }
