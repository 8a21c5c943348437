package planner

import (
	"time"

	"bamboowood/internal/job"
)

// stopOrphan stops a run that an agent lists and nobody needs: of a job that has ended, or
// of a task that is done or at work elsewhere. Until its end is listed it counts against
// its runner's capacity, like any run that is being stopped.
func (p *Planner) stopOrphan(now time.Duration, a *agent, act job.Activity) {
	step := job.Step{}
	if known := p.stepOf(act.Run.Task); known != nil {
		step = *known
	} else if a.runner != nil {
		// Its size is not known; it may be all that is not used otherwise.
		step.CPU = max(a.runner.Capacity.CPU-a.used.CPU, 0)
		step.MemoryMB = max(a.runner.Capacity.MemoryMB-a.used.MemoryMB, 0)
		step.GPUs = max(a.runner.Capacity.GPUs-a.used.GPUs, 0)
	}
	// Nothing is learned from it.
	step.Continuous, step.LatencyTarget = true, 0
	js := &jobState{
		job: &job.Job{ID: act.Run.Task.Job}, state: job.Cancelled, durable: job.Cancelled, open: map[int]*occurrence{},
	}
	s := &stepState{job: js, step: &step, tasks: make([]taskState, 1), onAgent: map[*agent]int{}}
	r := p.newRun(now, a, s, &s.tasks[0], act.Run)
	r.cpu = act.CPU
	p.stopRun(r)
}

// stepOf returns the step of a task of a known job, which may have ended.
func (p *Planner) stepOf(t job.Task) *job.Step {
	js := p.jobs[t.Job]
	if js == nil || t.Step >= len(js.job.Steps) {
		return nil
	}
	return &js.job.Steps[t.Step]
}
