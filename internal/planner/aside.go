package planner

import (
	"slices"
	"time"
)

// Quarantine drops a job that the planner cannot handle, so that it can go on with the
// others: nothing of it is started any more, and what runs is stopped. It stays accepted.
func (p *Planner) Quarantine(now time.Duration, id string) {
	p.aside[id] = true
	js := p.jobs[id]
	if js == nil {
		return
	}
	delete(p.jobs, id)
	delete(p.timed, js)
	delete(p.dirty, js)
	p.ready = slices.DeleteFunc(p.ready, func(s *stepState) bool { return s.job == js })
	p.starts = slices.DeleteFunc(p.starts, func(o Start) bool { return o.Run.Task.Job == id })
	for _, a := range p.order {
		for _, r := range a.runs {
			switch {
			case r.step.job != js:
			case r.planned:
				p.dropRun(now, r)
			default:
				p.stopRun(r)
			}
		}
	}
}

// CurrentJob is the job that the current call handles, empty if none; after a panic it is
// the one that caused it.
func (p *Planner) CurrentJob() string { return p.handling }
