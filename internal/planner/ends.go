package planner

import (
	"slices"
	"time"

	"bamboowood/internal/job"
)

// scheduleRetry makes a task wait for a runner again, at least for a delay, unless it is
// done.
func (p *Planner) scheduleRetry(now time.Duration, s *stepState, t *taskState, delay time.Duration) {
	if t.done || s.job.state.Terminal() || s.job.setAside || t.liveRun != nil {
		return
	}
	t.notBefore = now + delay
	if s.open {
		s.setWaiting(t, true)
		p.enqueue(s)
	}
}

// RunEnded applies the end of a run. The same end may be reported more than once.
func (p *Planner) RunEnded(now time.Duration, id string, e job.End) {
	a := p.agents[id]
	var r *run
	if a != nil {
		r = a.runs[e.Run]
	}
	if r != nil {
		if e.Reason == job.EndDone {
			p.recordDuration(now, r)
			p.copies.ended(r, !r.task.done)
		}
		p.removeRun(now, r)
		if r.stalled {
			r.task.avoidAgent = a
		}
	}
	p.openReported(now, e.Run.Task)
	s, t := p.findTask(e.Run.Task)
	if s == nil || s.job.state.Terminal() {
		return
	}
	t.lastRunNumber = max(t.lastRunNumber, e.Run.Number)
	s.job.started = true
	if a != nil {
		p.updateHealth(now, a, s, r, e)
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
	if r != nil && t.liveRun == nil {
		t.failedAttempts++
		p.scheduleRetry(now, s, t, retryDelay(t.failedAttempts, e.Reason))
	}
}

// taskDone records a task's success. The success of one member of a gang counts for all.
func (p *Planner) taskDone(now time.Duration, s *stepState, t *taskState) {
	if t.done {
		// The end was reported again after a takeover.
		return
	}
	if s.step.Gang {
		for i := range s.tasks {
			p.markDone(s, &s.tasks[i])
		}
	} else {
		p.otherRunsDone(now, s, t)
		p.markDone(s, t)
	}
	p.dirty[s.job] = struct{}{}
	if s.doneTasks < len(s.tasks) {
		return
	}
	s.occ.stepsLeft--
	if s.occ.stepsLeft > 0 {
		p.openSteps(s.occ)
		return
	}
	delete(s.job.open, s.occ.number)
	p.completeIfDone(now, s.job)
}

func (p *Planner) markDone(s *stepState, t *taskState) {
	if t.done {
		return
	}
	s.setWaiting(t, false)
	t.done = true
	s.doneTasks++
	if t.liveRun != nil && !s.step.Gang {
		p.stopRun(t.liveRun, StopTaskDone)
	}
}

// taskFailed counts a failed run, once even if its end is reported repeatedly.
func (p *Planner) taskFailed(now time.Duration, s *stepState, t *taskState, a *agent, number int64) {
	if slices.Contains(t.failedRuns, number) {
		return
	}
	p.stats.Failures++
	t.avoidAgent = a
	if s.step.Continuous {
		return
	}
	if s.job.job.Queue.MaxAttempts <= 0 {
		// Only the next run number depends on the failures: the list must not grow without bound.
		t.failedRuns = append(t.failedRuns[:0], slices.Max(append(t.failedRuns, number)))
		p.dirty[s.job] = struct{}{}
		return
	}
	t.failedRuns = append(t.failedRuns, number)
	p.dirty[s.job] = struct{}{}
	if len(t.failedRuns) >= s.job.job.Queue.MaxAttempts {
		p.finishJob(now, s.job, job.Failed)
	}
}

// Delays before a task is started again.
const (
	// firstRetryDelay is the delay after the second failed attempt; the first retry is
	// immediate. It gives a runner time to recover after the task failed there.
	firstRetryDelay = 50 * time.Millisecond
	// maxRetryDelay bounds the delay; a continuous task must run again within 3 s.
	maxRetryDelay = 800 * time.Millisecond
)

func retryDelay(failedAttempts int, reason job.EndReason) time.Duration {
	if reason == job.EndStopped || reason == job.EndLeaseExpired || failedAttempts <= 1 {
		return 0
	}
	return min(firstRetryDelay<<min(failedAttempts-2, 10), maxRetryDelay)
}

// RefusalReason is the reason why a start was refused: a value of runner.Refusal, as
// received from the agent.
type RefusalReason string

// Refusal reasons that are handled differently from all others.
const (
	// RefusedCapacity means that the runner lacked free capacity.
	RefusedCapacity RefusalReason = "room"
	// RefusedTicket means that the ticket was missing, invalid or expired.
	RefusedTicket RefusalReason = "ticket"
	// RefusedLate means that the order arrived too late to be carried out.
	RefusedLate RefusalReason = "late"
)

// StartRefused records that an order to start a run had no effect and will have none.
func (p *Planner) StartRefused(now time.Duration, id string, ref job.Run, reason RefusalReason) {
	a := p.agents[id]
	if a == nil || a.runs[ref] == nil {
		return
	}
	r := a.runs[ref]
	p.stats.Refusals++
	p.removeRun(now, r)
	switch {
	case reason == RefusedCapacity:
		a.health.backoffUntil = now + capacityBackoff
	case reason == RefusedTicket && r.step.advice != nil && a.runner != nil:
		// The ticket was issued for another incarnation of the runner, or expired in transit.
		r.step.advice.ticketRejected(r.orderedAt, a.runner.ID)
	case reason == RefusedLate:
		// The delay was in transit; the runner's health is unaffected.
	default:
		a.health.recordRefusal(now)
	}
	if r.task.liveRun != nil {
		return
	}
	r.task.failedAttempts++
	p.scheduleRetry(now, r.step, r.task, retryDelay(r.task.failedAttempts, job.EndFailed))
}
