package supervisor

import (
	"context"
	"errors"
	"time"

	"github.com/apex/log"

	"bamboowood/internal/job"
	"bamboowood/internal/runner"
)

// Intervals of the lease renewals, which also return the runner's lists of runs and ends.
const (
	// renewWait is how long a renewal waits for an end. The runner's measurements cover
	// half a second.
	renewWait = 300 * time.Millisecond
	// renewTimeout is added to the wait to allow for the round trip.
	renewTimeout = 400 * time.Millisecond
	// unstoredEndsInterval is the pause between renewals while the ledger has not stored all
	// ends. Without it renewals would return at once, since the runner does not wait while it
	// holds unacknowledged ends.
	unstoredEndsInterval = 25 * time.Millisecond
	// reconcileInterval is the pause between renewals while runs are being reconciled.
	reconcileInterval = 10 * time.Millisecond
	// reportInterval is the minimum time between two progress updates of one run.
	reportInterval = 280 * time.Millisecond
	// failurePause is the pause after a failed renewal.
	failurePause = 100 * time.Millisecond
	// acknowledgeWithin is how long after an answer of an incarnation its ends may be
	// acknowledged.
	acknowledgeWithin = 50 * time.Millisecond
	// noRunnerWait is the pause while there is no runner, or only one that does not answer and has no
	// runs.
	noRunnerWait = time.Second
)

// Limits of leases, which this machine and the runner measure on separate clocks.
const (
	// clockDrift is the maximum relative drift between the clocks: 2% for the runner's clock,
	// which may be slow by that much (PROTOCOL), plus the same for this machine's clock.
	clockDrift = 0.04
	// killTime is the time that a runner needs to kill its runs when their lease expires.
	killTime = 100 * time.Millisecond
	// leaseMargin allows for rounding to milliseconds.
	leaseMargin = 20 * time.Millisecond
	// noListenerTimeout is how long connections to the runner's address must be refused
	// before the runner counts as unreachable or, if it had announced its end, as ended.
	noListenerTimeout = 300 * time.Millisecond
)

func (s *Supervisor) renewLoop(ctx context.Context) {
	for ctx.Err() == nil {
		pause := s.renewOnce(ctx)
		if pause <= 0 {
			continue
		}
		timer := time.NewTimer(pause)
		select {
		case <-ctx.Done():
		case <-s.renewNow:
		case <-timer.C:
		}
		timer.Stop()
	}
}

// renewOnce renews the lease once and returns the pause before the next renewal.
func (s *Supervisor) renewOnce(ctx context.Context) time.Duration {
	s.mu.Lock()
	s.dropExpiredDetachedRuns()
	fence, ok := s.fence()
	if !ok {
		s.mu.Unlock()
		return noRunnerWait
	}
	reconciling := s.needsReconcile()
	request := runner.RenewRequest{LeaseEnd: s.leaseOnRunnerClock(), AcknowledgedEnd: s.endToAcknowledge()}
	// An acknowledgement that waits in the next incarnation would delete its first ends as they come.
	waiting := len(s.ends) == 0 && !reconciling && s.runnerClockAt != 0 && request.AcknowledgedEnd == 0
	if waiting {
		request.Wait = renewWait
	}
	callCtx, cancel := context.WithTimeout(ctx, request.Wait+renewTimeout)
	s.cancelRenewal = cancel
	s.mu.Unlock()

	sentAt := s.opts.Now()
	report, err := s.opts.Runner.RenewLease(callCtx, fence, request)
	cancel()

	s.mu.Lock()
	defer s.mu.Unlock()
	if s.runner == nil || s.runner.ID != fence.RunnerID || s.token != fence.Token {
		return 0
	}
	if err != nil {
		if ctx.Err() != nil {
			return 0
		}
		return s.renewFailed(err)
	}
	if report.StartTime != 0 && s.runner.StartTime != 0 && report.StartTime != s.runner.StartTime {
		// The status report of the new incarnation has not arrived yet.
		s.restartSeen(report.StartTime)
		return s.renewFailed(runner.ErrRestarted)
	}
	s.acknowledgedEnd, s.answeredAt = max(s.acknowledgedEnd, request.AcknowledgedEnd), s.opts.Now()
	s.applyReport(ctx, sentAt, report)
	switch {
	case s.needsReconcile():
		return reconcileInterval
	case len(s.ends) > 0:
		return unstoredEndsInterval
	case report.Unreadable > 0:
		// The runner does not wait while it holds an end, also one that cannot be read.
		return failurePause
	}
	return 0
}

// endToAcknowledge returns the sequence number up to which the runner may delete ends, or 0
// if there is nothing to acknowledge. An acknowledgement that reaches the next incarnation
// with the same id would delete that one's ends. So each number is sent only until a renewal
// with it is answered, and only within acknowledgeWithin of an answer of this incarnation.
func (s *Supervisor) endToAcknowledge() int64 {
	if s.storedEnd <= s.acknowledgedEnd || s.answeredAt == 0 || s.opts.Now()-s.answeredAt > acknowledgeWithin {
		return 0
	}
	return s.storedEnd
}

// needsReconcile reports whether any run waits for a report to be reconciled.
func (s *Supervisor) needsReconcile() bool {
	for _, r := range s.runs {
		if r.reconciling {
			return true
		}
	}
	return false
}

// leaseOnRunnerClock returns the end of the granted lease on the runner's clock; 0 if the lease
// has expired or the runner's clock is unknown.
func (s *Supervisor) leaseOnRunnerClock() time.Duration {
	now := s.opts.Now()
	until := min(s.grantedUntil, now+s.opts.MaxLease)
	remaining := until - now - leaseMargin
	if s.runnerClockAt == 0 || remaining <= 0 {
		return 0
	}
	s.runnerLeaseUntil = max(s.runnerLeaseUntil, until)
	// The runner's clock may have stood still while the machine was suspended.
	elapsed := min(now-s.runnerClockAt, s.opts.SteadyNow()-s.runnerClockSteadyAt)
	return s.runnerClock + scale(elapsed+remaining, 1-clockDrift)
}

func scale(d time.Duration, factor float64) time.Duration { return time.Duration(float64(d) * factor) }

func (s *Supervisor) renewFailed(err error) time.Duration {
	now := s.opts.Now()
	// The next incarnation may be running: nothing is acknowledged, and no lease is given on this
	// one's clock, before another answer.
	s.answeredAt, s.runnerClockAt = 0, 0
	var refused interface{ Reason() runner.Refusal }
	if errors.As(err, &refused) && refused.Reason() == runner.RefusedFence {
		countFailedRenewal("fence")
		s.raiseToken()
		return reconcileInterval
	}
	countFailedRenewal(renewalFailure(err))
	if s.failures == 0 {
		s.opts.Logger.WithError(err).WithField("runner", s.runner.ID).Warn("lease renewal failed")
	}
	s.failures++
	switch {
	case errors.Is(err, runner.ErrOtherIncarnation):
		s.noListenerSince = 0
		s.setUnreachable(true)
	case !errors.Is(err, runner.ErrNoListener):
		s.noListenerSince = 0
	case s.noListenerSince == 0:
		s.noListenerSince = now
	case now-s.noListenerSince > noListenerTimeout && s.left:
		s.dropRunner()
		return noRunnerWait
	case now-s.noListenerSince > noListenerTimeout:
		// The process may be alive: only the end of their lease proves that its runs are gone.
		s.setUnreachable(true)
	}
	if s.runnerLeaseUntil != 0 && now > s.runnerLeaseUntil+killTime {
		s.expireRuns()
	}
	if s.unreachable && len(s.runs) == 0 {
		return noRunnerWait
	}
	return failurePause
}

// renewalFailure returns the cause of a failed renewal as a label value.
func renewalFailure(err error) string {
	switch {
	case errors.Is(err, runner.ErrNoListener):
		return "no-listener"
	case errors.Is(err, runner.ErrOtherIncarnation):
		return "other-incarnation"
	case errors.Is(err, runner.ErrUnhealthy):
		return "unhealthy"
	}
	return "no-answer"
}

// dropRunner removes the record of a runner that had announced its end and has ended, and drops its
// runs.
func (s *Supervisor) dropRunner() {
	s.opts.Logger.WithFields(log.Fields{
		"runner": s.runner.ID, "born": s.runner.StartTime, "runs_lost": len(s.runs),
		"refused_ms": (s.opts.Now() - s.noListenerSince).Milliseconds(), "lease_left_ms": s.leaseLeft().Milliseconds(),
	}).Warn("runner has left")
	s.endedIncarnations[incarnationOf(s.runner)] = true
	s.token++
	s.runner = nil
	s.dropAllRuns(causeNoListener)
	s.ends = nil
	s.noListenerSince, s.runnerLeaseUntil = 0, 0
	s.left, s.unreachable = false, false
	s.forgetRestart()
	s.reportFullState()
}

// expireRuns drops the runs of an unresponsive runner after its lease has expired. The lease
// in a start request that is still in transit has expired as well.
func (s *Supervisor) expireRuns() {
	s.dropAllRuns(causeLeaseExpired)
	s.runnerLeaseUntil = 0
}

func (s *Supervisor) applyReport(ctx context.Context, sentAt time.Duration, report runner.Report) {
	if s.failures > 0 {
		s.opts.Logger.WithField("runner", s.runner.ID).Info("lease renewal succeeds again")
	}
	s.failures, s.noListenerSince = 0, 0
	defer func() { s.setUnreachable(s.leasedBeyondGrant()) }()
	if !s.runsListed {
		defer s.signal(s.notify)
		s.runsListed = true
	}
	s.runnerClock, s.runnerClockAt, s.runnerClockSteadyAt = report.Clock, s.opts.Now(), s.opts.SteadyNow()
	if report.Unreadable > 0 && !s.listMalformed {
		s.opts.Logger.WithError(report.UnreadableReason).WithField("entries", report.Unreadable).Warn("malformed entries in runner's report skipped")
	}
	s.listMalformed = report.Unreadable > 0
	s.applyEnds(report.Ends)
	s.applyEndPage(report)
	listed := make(map[job.Run]bool, len(report.Active))
	for _, act := range report.Active {
		listed[act.Run] = true
		s.applyActivity(act)
		s.stopIfWithdrawn(ctx, act.Run)
	}
	for run, r := range s.runs {
		// A run in neither list may have an end that the runner has not listed yet.
		if !listed[run] && !report.MoreEnds {
			s.runNotListed(ctx, sentAt, run, r)
		}
	}
	if s.restarted {
		s.forgetRestart()
		s.runnerLeaseUntil = s.leaseOfEarlierCalls()
		if s.opts.RunnerMaxLease > s.opts.MaxLease {
			s.ungrantedLeaseUntil = s.runnerLeaseUntil
		}
		s.reportFullState()
	}
	if now := s.opts.Now(); now-s.latenciesAppliedAt >= reportInterval {
		s.latenciesAppliedAt = now
		s.applyLatencies(report.Active)
	}
}

// leaseOfEarlierCalls returns until when the leases last that calls for an earlier incarnation may have given until now
// to one that has just answered, and that shortened each lease to RunnerMaxLease. If it has answered a call with a higher
// fencing token, it has refused all further ones since.
func (s *Supervisor) leaseOfEarlierCalls() time.Duration {
	return s.opts.Now() + scale(s.opts.RunnerMaxLease, 1+clockDrift) + leaseMargin
}

// leasedBeyondGrant reports whether the runner may have a lease that lasts longer than the leader counts with. Runs
// that are started now would outlive it.
func (s *Supervisor) leasedBeyondGrant() bool { return s.ungrantedLeaseUntil > s.grantedUntil }

func (s *Supervisor) applyEnds(ends []job.End) {
	for _, e := range ends {
		if e.Sequence <= s.receivedEnd {
			continue
		}
		s.receivedEnd = e.Sequence
		delete(s.runs, e.Run)
		s.ends = append(s.ends, e)
		s.update.Ends = append(s.update.Ends, e)
		s.forgetActivity(e.Run)
		s.opts.Logger.WithFields(log.Fields{
			"task": e.Run.Task.String(), "run": e.Run.Number, "reason": string(e.Reason), "sequence": e.Sequence,
		}).Info("run ended")
		s.signal(s.notify)
	}
}

func (s *Supervisor) applyActivity(act job.Activity) {
	r := s.runs[act.Run]
	if r == nil {
		// The run was started by an earlier process on this machine, or by a start request
		// that arrived late.
		r = &taskRun{details: RunDetails{Run: act.Run}, phase: running}
		s.runs[act.Run] = r
	}
	if r.phase == starting {
		r.phase = running
	}
	if r.detachedUntil != 0 {
		r.speed.inForce = job.Speed{}
	}
	r.reportsNotListed, r.detachedUntil = 0, 0
	r.reconciling = false
	wasUnconfirmed := r.activity.Unconfirmed
	if act.CheckpointUnknown {
		act.Checkpoint = r.activity.Checkpoint
	}
	r.activity = act
	if now := s.opts.Now(); wasUnconfirmed || now-r.reportedAt >= reportInterval {
		r.reportedAt = now
		s.update.Active = append(s.update.Active, r.reported())
		s.signal(s.notify)
	}
}

// reported returns the activity of a run with its speed limits.
func (r *taskRun) reported() job.Activity {
	act := r.activity
	act.OrderedSpeed, act.RunnerSpeed = r.speed.ordered, r.speed.inForce
	act.DetailsUnknown = !r.detailsKnown
	return act
}

// maxReportsNotListed is the number of consecutive reports without a confirmed run after which
// the run is dropped. A single report may be older than the confirmation of the start.
const maxReportsNotListed = 3

// unlistedStopTime is how long the end of a run that was stopped because it is not listed may take to be
// listed.
const unlistedStopTime = 2 * time.Second

// runNotListed handles a run that a report does not list as active or ended. If an entry of the report
// cannot be read, it may be that of the run, which is stopped before it is dropped.
func (s *Supervisor) runNotListed(ctx context.Context, sentAt time.Duration, run job.Run, r *taskRun) {
	switch {
	case r.detachedUntil != 0:
	case r.reconciling && sentAt > r.reconcilingSince:
		s.dropRun(run, r.notListedReason, causeNotListed)
	case r.phase == running && !r.reconciling:
		r.reportsNotListed++
		switch {
		case r.reportsNotListed < maxReportsNotListed:
		case s.listMalformed:
			r.phase, r.unlisted = stopping, true
			s.opts.Logger.WithFields(log.Fields{"task": run.Task.String(), "run": run.Number}).Warn("run not listed beside a malformed entry; stopping it")
			s.call(func() { s.stopUntilConfirmed(ctx, run, r) })
		default:
			s.dropRun(run, runner.RefusedIncarnationEnded, causeNotListed)
		}
	}
}
