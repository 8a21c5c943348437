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
	p.withdraw(now, js, StopQuarantined)
}

// SetAside stops a job whose progress can never be stored, so that the others can proceed. Its tasks are
// not started any more, its runs are stopped and their ends have no effect. It can still be cancelled. It
// returns false if the job was set aside before or the planner does not have it.
func (p *Planner) SetAside(now time.Duration, id string) bool {
	js := p.jobs[id]
	if js == nil || js.setAside {
		return false
	}
	js.setAside = true
	// Callers that have seen it running do not see it queued again.
	js.started = js.started || js.liveRuns > 0
	p.withdraw(now, js, StopSetAside)
	return true
}

// SetAsideJobs returns the number of jobs that are set aside.
func (p *Planner) SetAsideJobs() int {
	n := 0
	for _, js := range p.jobs {
		if js.setAside {
			n++
		}
	}
	return n
}

// withdraw removes a job from all that is to be done, and stops its runs.
func (p *Planner) withdraw(now time.Duration, js *jobState, reason StopReason) {
	delete(p.scheduled, js)
	delete(p.dirty, js)
	p.waitingSteps = slices.DeleteFunc(p.waitingSteps, func(s *stepState) bool { return s.job == js })
	p.starts = slices.DeleteFunc(p.starts, func(o Start) bool { return o.Run.Task.Job == js.job.ID })
	for _, a := range p.orderedAgents {
		for _, r := range a.runs {
			switch {
			case r.step.job != js:
			case r.planned:
				p.removeRun(now, r)
			default:
				p.stopRun(r, reason)
			}
		}
	}
}

// withdrawInterrupted removes the runs of a plan that has panicked. Their starts were not returned, and the inputs
// of that plan may have changed since: their tasks are planned anew.
func (p *Planner) withdrawInterrupted(now time.Duration) {
	starts := p.starts
	p.starts = nil
	for _, o := range starts {
		if r := p.agents[o.Agent].runs[o.Run]; r != nil {
			p.dropRun(now, r)
		}
	}
}

// CurrentJob returns the id of the job that Plan is processing, empty if none. After a
// panic in Plan it is the job whose processing panicked.
func (p *Planner) CurrentJob() string { return p.currentJob }
