package planner

import (
	"slices"
	"time"
)

const (
	// minBlamingRunners is the number of runners on which the tasks of a step must have failed before
	// the failures can be the job's own fault. With 3 or 4, runners that fail all tasks were ejected later
	// where 14% of the runners did: a small job had all of its tasks there.
	minBlamingRunners = 5
	// minClearedRunners is the same for runners on which a task of another job succeeded afterwards.
	minClearedRunners = 2
	// blamingShare is the share of the runners that ran tasks of a step above which failures are the
	// job's own fault. A wide step of a sound job also fails on several runners while some fail all
	// tasks, but not on most of those that it uses.
	blamingShare = 0.5
	// ejectedRetryPause is the additional delay before a task that has failed is started on an ejected
	// runner: a runner that fails all tasks for some seconds must not use up the attempts of the jobs that
	// no other runner may run. It leaves room within the 3 s for which a job may have no run.
	ejectedRetryPause = time.Second
)

// trials counts the runners on which the tasks of a step were started and on which they failed. The
// step's failures and those of the runners are both judged by it.
type trials struct {
	// startedOn is the number of runners on which a task of the step was started.
	startedOn int
	// failedOn are those on which one failed and none has succeeded since.
	failedOn map[*agent]struct{}
	// cleared counts the runners on which a task failed and one of another job succeeded afterwards, since
	// the last success of the step.
	cleared int
}

// blameJob reports whether the failures are the job's own fault and give no evidence against a runner.
func (t *trials) blameJob() bool {
	failed := len(t.failedOn)
	return (failed >= minBlamingRunners || t.cleared >= minClearedRunners) &&
		float64(failed) > blamingShare*float64(max(t.startedOn, failed))
}

func (t *trials) recordFailure(a *agent) {
	if t.failedOn == nil {
		t.failedOn = map[*agent]struct{}{}
	}
	t.failedOn[a] = struct{}{}
}

// recordSuccess records that a task of the step succeeded on the agent's runner: its failures there were not
// those of a step that cannot be done. A wide step of which each task fails now and then would fail on all
// runners otherwise.
func (t *trials) recordSuccess(a *agent) {
	delete(t.failedOn, a)
	t.cleared = 0
}

// recordFailure records that a task of the step failed or stalled on the agent's runner. Once that shows
// that the job is to blame, its failures neither eject a runner nor prolong an ejection. An ejection that
// its first failures have caused is not lifted: while many runners fail all tasks, a small job of which
// most tasks were started there is blamed, too.
func (p *Planner) recordFailure(now time.Duration, a *agent, s *stepState) {
	s.trials.recordFailure(a)
	if !s.trials.blameJob() {
		a.health.recordFailure(now, s.job.job.ID, s.trials)
		return
	}
	p.stats.BlamedFailures++
}

// pausesForEjected reports whether a task has failed too recently to be started on an ejected runner.
// Failures of continuous tasks are not limited, so these do not pause.
func (t *taskState) pausesForEjected(now time.Duration, s *stepState) bool {
	return !s.step.Continuous && t.failedAttempts > 0 && now < t.notBefore+ejectedRetryPause
}

// mayUseEjected reports whether no runner that is not ejected may run a task of the step, whether it
// has free capacity now or not. A step must not wait for the end of an ejection in that case.
func (p *Planner) mayUseEjected(now time.Duration, s *stepState) bool {
	return !slices.ContainsFunc(p.orderedAgents, func(a *agent) bool {
		return p.permitted(a, s) && !a.health.ejected(now) && a.runner.Capacity.Holds(s.step) &&
			(s.advice == nil || !s.advice.denied[a.runner.ID])
	})
}
