package planner

import (
	"time"

	"bamboowood/internal/job"
)

// maxAge bounds the times since a job was accepted and an occurrence was due, so that differences
// between times do not overflow.
const maxAge = 100 * 365 * 24 * time.Hour

// openReported opens the occurrence of a task of which an agent has reported a run or an end,
// and all before it: an earlier leader has opened them. The bound of open tasks does not apply.
// That leader kept it, but may have received ends of earlier occurrences that it did not store.
func (p *Planner) openReported(now time.Duration, t job.Task) {
	js := p.jobs[t.Job]
	if js == nil || js.state.Terminal() || js.setAside || !js.job.HasTask(t) {
		return
	}
	wall := p.lastInstant.Wall.Add(now - p.lastInstant.Mono)
	for js.opened <= t.Occurrence {
		p.openNextOccurrence(Instant{Mono: now, Wall: wall}, js)
	}
}

// openOccurrences opens the first atLeast occurrences, and those that are due or will be
// within EarlyStart/2. Those that exceed job.MaxTasks together with the open ones are opened once
// these are done.
func (p *Planner) openOccurrences(now Instant, js *jobState, atLeast int) {
	for js.opened < js.job.OccurrenceCount() {
		k := js.opened
		if k >= atLeast && js.job.Occurrences > 0 && now.Wall.Before(js.job.Due(k).Add(-p.opts.EarlyStart/2)) {
			return
		}
		exceeds := len(js.open) > 0 && (len(js.open)+1)*js.occurrenceTasks > job.MaxTasks
		if exceeds && !js.recoveredProgress.occurrenceDone(k) {
			return
		}
		p.openNextOccurrence(now, js)
	}
}

// openNextOccurrence opens the first occurrence that is not opened.
func (p *Planner) openNextOccurrence(now Instant, js *jobState) {
	progress, k := js.recoveredProgress, js.opened
	js.opened++
	if progress.occurrenceDone(k) {
		return
	}
	occ := &occurrence{number: k, due: js.acceptedAt, steps: make([]stepState, len(js.job.Steps)), stepsLeft: len(js.job.Steps)}
	if js.job.Occurrences > 0 {
		// An earlier leader may have opened it by a wall clock that is ahead of this one.
		occ.due = now.Mono + min(max(js.job.Due(k).Sub(now.Wall), -maxAge), p.opts.EarlyStart/2)
	}
	js.open[k] = occ
	for i := range occ.steps {
		step := &js.job.Steps[i]
		occ.steps[i] = stepState{
			job: js, occ: occ, index: i, step: step, tasks: make([]taskState, step.Tasks),
			runsOnAgent: map[*agent]int{}, trials: &trials{},
		}
		if js.job.Queue.Advice != nil {
			occ.steps[i].advice = newAdvice()
		}
		progress.restore(&occ.steps[i], k)
	}
	for i := range occ.steps {
		if occ.steps[i].doneTasks == len(occ.steps[i].tasks) {
			occ.stepsLeft--
		}
	}
	p.openSteps(occ)
	if occ.stepsLeft == 0 {
		delete(js.open, k)
	}
}
