package planner

import (
	"slices"
	"time"

	"bamboowood/internal/job"
)

// GiveUpCause is what the planner took as proof that a run is gone, other than its end or the agent's refusal.
type GiveUpCause string

const (
	// CauseNotInSnapshot: the agent's snapshot does not list the run.
	CauseNotInSnapshot GiveUpCause = "not-in-snapshot"
	// CauseNotInUpdate: an update with another incarnation of the runner, or without one, does not list it.
	CauseNotInUpdate GiveUpCause = "not-in-update"
	// CauseLeaseExpired: the lease of a silent agent has expired.
	CauseLeaseExpired GiveUpCause = "lease-expired"
	// CauseUnlistedExpired: the time has passed for which runs may be alive that the agent does not list.
	CauseUnlistedExpired GiveUpCause = "unlisted-expired"
)

// GivenUp is a run that the planner has given up, for logging. Its task waits again unless it has ended.
type GivenUp struct {
	Agent string
	Run   job.Run
	Cause GiveUpCause
	// Age is the time since the planner ordered the run or learnt of it.
	Age time.Duration
}

// giveUp removes a run that is not alive on its agent any more.
func (p *Planner) giveUp(now time.Duration, r *run, cause GiveUpCause) {
	p.givenUp = append(p.givenUp, GivenUp{Agent: r.agent.id, Run: r.id, Cause: cause, Age: now - r.orderedAt})
	p.dropRun(now, r)
}

// dropRun removes a run that is not alive and cannot start any more. Its task waits for a
// runner again.
func (p *Planner) dropRun(now time.Duration, r *run) {
	p.removeRun(now, r)
	if r.planned {
		p.starts = slices.DeleteFunc(p.starts, func(o Start) bool { return o.Run == r.id })
	}
	if r.stalled {
		r.task.avoidAgent = r.agent
	}
	p.scheduleRetry(now, r.step, r.task, 0)
}
