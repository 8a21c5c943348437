package planner

import (
	"time"

	"bamboowood/internal/job"
)

// stopOrphan stops an orphaned run: its job has ended or is not known here, or its task is
// done or has another run. Until its end is reported it counts against its runner's
// capacity, like any run that is being stopped.
func (p *Planner) stopOrphan(now time.Duration, a *agent, act job.Activity) {
	step := job.Step{}
	if jobStep := p.stepOf(act.Run.Task); jobStep != nil {
		step = *jobStep
	} else if a.runner != nil {
		// The run's size is unknown; assume all capacity that other runs do not request.
		step.CPU = max(a.runner.Capacity.CPU-a.requested.CPU, 0)
		step.MemoryMB = max(a.runner.Capacity.MemoryMB-a.requested.MemoryMB, 0)
		step.GPUs = max(a.runner.Capacity.GPUs-a.requested.GPUs, 0)
	}
	// Exclude the run from duration, stall and latency tracking.
	step.Continuous, step.LatencyTarget = true, 0
	js := &jobState{
		job: &job.Job{ID: act.Run.Task.Job}, state: job.Cancelled, storedState: job.Cancelled, open: map[int]*occurrence{},
	}
	s := &stepState{job: js, step: &step, tasks: make([]taskState, 1), runsOnAgent: map[*agent]int{}, trials: &trials{}}
	r := p.addRun(now, a, s, &s.tasks[0], act.Run)
	r.cpu = act.CPU
	p.stopRun(r, p.orphanReason(act.Run.Task))
}

// orphanReason returns why a run of a task is orphaned.
func (p *Planner) orphanReason(task job.Task) StopReason {
	js := p.jobs[task.Job]
	_, t := p.findTask(task)
	switch {
	case js == nil:
		return StopJobUnknown
	case js.state.Terminal():
		return StopJobEnded
	case js.setAside:
		return StopSetAside
	case t != nil && !t.done:
		return StopOtherRun
	}
	return StopTaskDone
}

// stepOf returns the step of a task of a job that is still kept, ended or not; nil if
// there is none.
func (p *Planner) stepOf(t job.Task) *job.Step {
	js := p.jobs[t.Job]
	if js == nil || t.Step >= len(js.job.Steps) {
		return nil
	}
	return &js.job.Steps[t.Step]
}
