package supervisor

import (
	"slices"
	"time"

	"github.com/apex/log"

	"bamboowood/internal/job"
	"bamboowood/internal/runner"
)

// detach leaves a run to the end of the lease that was given to the runner.
func (s *Supervisor) detach(r *taskRun) {
	r.reconciling = false
	if r.detachedUntil != 0 {
		return
	}
	now := s.opts.Now()
	r.detachedUntil = max(s.runnerLeaseUntil, now) + killTime
	s.opts.Logger.WithFields(log.Fields{
		"task": r.details.Run.Task.String(), "run": r.details.Run.Number, "lease_left_ms": (r.detachedUntil - now).Milliseconds(),
	}).Warn("run left to the end of its lease")
}

// dropExpiredDetachedRuns drops the detached runs whose lease has expired.
func (s *Supervisor) dropExpiredDetachedRuns() {
	now := s.opts.Now()
	for run, r := range s.runs {
		if r.detachedUntil != 0 && now > r.detachedUntil {
			s.dropRun(run, runner.RefusedLate, causeLeaseExpired)
		}
	}
}

// dropAllRuns drops all runs of the current incarnation, but not detached ones. Each is reported as
// refused, since the leader may not have a record of some of their orders yet. RefusedLate is the
// reason for started runs too: the leader starts their tasks again and, as for an order that came
// too late, does not count it against the runner's health.
func (s *Supervisor) dropAllRuns(cause string) {
	for run, r := range s.runs {
		if r.detachedUntil == 0 {
			s.dropRun(run, runner.RefusedLate, cause)
		}
	}
}

// leaseLeft returns how much of the lease that was given to the runner may be left; at most 0 if it
// has expired.
func (s *Supervisor) leaseLeft() time.Duration { return s.runnerLeaseUntil - s.opts.Now() }

// forgetActivity removes a run that is gone from the pending update. The leader applies the list of active
// runs last, and would take the run for alive.
func (s *Supervisor) forgetActivity(run job.Run) {
	s.update.Active = slices.DeleteFunc(s.update.Active, func(act job.Activity) bool { return act.Run == run })
}

// dropRun removes a run that is not alive on the runner and cannot start later, and reports
// it as refused.
func (s *Supervisor) dropRun(run job.Run, reason runner.Refusal, cause string) {
	if s.runs[run] == nil {
		return
	}
	delete(s.runs, run)
	s.withdrawn.add(s.opts.Now(), run)
	s.forgetActivity(run)
	s.update.Refusals = append(s.update.Refusals, RefusedStart{Run: run, Reason: reason})
	countDroppedRun(cause, reason)
	s.opts.Logger.WithFields(log.Fields{
		"task": run.Task.String(), "run": run.Number, "reason": string(reason), "cause": cause,
		"lease_left_ms": s.leaseLeft().Milliseconds(),
	}).Info("run dropped")
	s.signal(s.notify)
}
