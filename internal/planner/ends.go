package planner

import (
	"slices"
	"time"

	"bamboowood/internal/job"
)

// runGone says that a run is not alive and will not be.
func (p *Planner) runGone(now time.Duration, r *run) {
	p.dropRun(now, r)
	if r.stalled {
		r.task.avoid = r.agent
	}
	p.wait(now, r.step, r.task, 0)
}

// wait makes a task ready to start again after a delay, unless it is done.
func (p *Planner) wait(now time.Duration, s *stepState, t *taskState, delay time.Duration) {
	if t.done || s.job.state.Terminal() || t.active != nil {
		return
	}
	t.notBefore = now + delay
	if s.open {
		s.setWaiting(t, true)
		p.enqueue(s)
	}
}

// RunEnded takes the end of a run.
func (p *Planner) RunEnded(now time.Duration, id string, e job.End) {
	a := p.agents[id]
	var r *run
	if a != nil {
		r = a.runs[e.Run]
	}
	if r != nil {
		if e.Reason == job.EndDone {
			p.finished(now, r)
		}
		p.dropRun(now, r)
		if r.stalled {
			r.task.avoid = a
		}
	}
	s, t := p.find(e.Run.Task)
	if s == nil || s.job.state.Terminal() {
		return
	}
	t.run = max(t.run, e.Run.Number)
	s.job.begun = true
	if a != nil {
		p.judge(now, a, s, r, e)
	}
	if e.Checkpoint != "" && !t.done {
		t.checkpoint = e.Checkpoint
		if s.step.Gang {
			s.gangCheckpoint = e.Checkpoint
		}
	}
	if e.Reason == job.EndDone && !s.step.Continuous {
		p.taskDone(now, s, t)
		return
	}
	if t.done {
		return
	}
	if e.Reason == job.EndFailed {
		p.taskFailed(now, s, t, a, e.Run.Number)
		if s.job.state.Terminal() {
			return
		}
	}
	if r != nil {
		t.setbacks++
		p.wait(now, s, t, retryDelay(t.setbacks, e.Reason))
	}
}

// taskDone notes a task's success. The end of one member of a gang is that of
// all.
func (p *Planner) taskDone(now time.Duration, s *stepState, t *taskState) {
	if t.done {
		// Listed again after a change of leaders.
		return
	}
	if s.step.Gang {
		for i := range s.tasks {
			p.markDone(s, &s.tasks[i])
		}
	} else {
		p.markDone(s, t)
	}
	p.dirty[s.job] = struct{}{}
	if s.done < len(s.tasks) {
		return
	}
	s.occ.left--
	if s.occ.left > 0 {
		p.openSteps(s.occ)
		return
	}
	delete(s.job.open, s.occ.k)
	p.completeIfDone(now, s.job)
}

func (p *Planner) markDone(s *stepState, t *taskState) {
	if t.done {
		return
	}
	s.setWaiting(t, false)
	t.done = true
	s.done++
	if t.active != nil && !s.step.Gang {
		p.stopRun(t.active)
	}
}

// taskFailed counts a failed run, once however often its end is listed.
func (p *Planner) taskFailed(now time.Duration, s *stepState, t *taskState, a *agent, number int64) {
	if slices.Contains(t.failures, number) {
		return
	}
	p.stats.Failures++
	t.avoid = a
	if s.step.Continuous {
		return
	}
	t.failures = append(t.failures, number)
	p.dirty[s.job] = struct{}{}
	if s.job.job.Queue.MaxAttempts > 0 && len(t.failures) >= s.job.job.Queue.MaxAttempts {
		p.finish(now, s.job, job.Failed)
	}
}

// Delays before a task is started again.
const (
	// firstRetryDelay lets a runner recover that has just failed the task.
	firstRetryDelay = 50 * time.Millisecond
	// maxRetryDelay bounds the delay; a continuous task must be back within 3 s.
	maxRetryDelay = 800 * time.Millisecond
)

func retryDelay(setbacks int, reason job.EndReason) time.Duration {
	if reason == job.EndStopped || reason == job.EndLeaseExpired || setbacks <= 1 {
		return 0
	}
	return min(firstRetryDelay<<min(setbacks-2, 10), maxRetryDelay)
}

// RefusalReason says why a run does not exist.
type RefusalReason string

// Reasons that are told apart.
const (
	// RefusedCapacity means that the runner lacked room.
	RefusedCapacity RefusalReason = "room"
	// RefusedTicket means that the ticket was missing or not valid any more.
	RefusedTicket RefusalReason = "ticket"
	// RefusedLate means that the order came too late to be carried out.
	RefusedLate RefusalReason = "late"
)

// StartRefused says that an order to start a run had no effect and will have none.
func (p *Planner) StartRefused(now time.Duration, id string, ref job.Run, reason RefusalReason) {
	a := p.agents[id]
	if a == nil || a.runs[ref] == nil {
		return
	}
	r := a.runs[ref]
	p.stats.Refusals++
	p.dropRun(now, r)
	switch {
	case reason == RefusedCapacity:
		a.health.noRoomUntil = now + noRoomPause
	case reason == RefusedTicket && r.step.advice != nil && a.runner != nil:
		// It was valid for another life of the runner, or has expired on the way.
		delete(r.step.advice.tickets, a.runner.ID)
	case reason == RefusedLate:
		// The way there was slow, not the runner.
	default:
		a.health.setback(now)
	}
	r.task.setbacks++
	p.wait(now, r.step, r.task, retryDelay(r.task.setbacks, job.EndFailed))
}
