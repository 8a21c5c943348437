package supervisor

import (
	"context"
	"errors"
	"time"

	"github.com/apex/log"

	"bamboowood/internal/job"
	"bamboowood/internal/runner"
)

// Limits of start, stop and throttle calls to the runner.
const (
	// orderTimeout bounds one call; the runner answers within milliseconds.
	orderTimeout = 400 * time.Millisecond
	// startAttempts is how often a start request is sent while it gets no answer. The
	// runner confirms a run that it has already started.
	startAttempts = 2
	// stopRetryPause is the pause after a stop call without an answer.
	stopRetryPause = 100 * time.Millisecond
)

// Start starts a run in the background. Its result is part of a later update.
func (s *Supervisor) Start(ctx context.Context, o Order) {
	run := o.Details.Run
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.runs[run] != nil {
		return
	}
	if s.withdrawn.refuses(s.opts.Now(), run) {
		s.runs[run] = &taskRun{details: o.Details, phase: stopping}
		s.dropRun(run, runner.RefusedLate, causeWithdrawn)
		return
	}
	speed := speedControl{ordered: o.Speed, inForce: job.SpeedOf(fullSpeed), confirmedAt: s.opts.Now()}
	if !speed.ordered.Known {
		speed.ordered = job.SpeedOf(fullSpeed)
	}
	r := &taskRun{details: o.Details, detailsKnown: true, speed: speed, activity: job.Activity{Run: run, Checkpoint: o.Checkpoint, Unconfirmed: true}}
	s.runs[run] = r
	if !o.isFor(s.runner) {
		s.dropRun(run, runner.RefusedLate, causeOtherIncarnation)
		return
	}
	if s.runner == nil || s.runner.Draining {
		s.dropRun(run, runner.RefusedUnhealthy, causeRefused)
		return
	}
	if !s.bootRegistered {
		// The next process must be able to tell that a run may have been started in this boot.
		s.dropRun(run, runner.RefusedUnhealthy, causeUnregistered)
		return
	}
	called := s.call(func() {
		if s.start(ctx, o, r) {
			s.stopUnconfirmed(ctx, run, r)
		}
	})
	if !called {
		s.dropRun(run, runner.RefusedLate, causeEnding)
	}
}

// start sends the calls to start a run. unconfirmed is set if the start may have taken effect.
func (s *Supervisor) start(ctx context.Context, o Order, r *taskRun) (unconfirmed bool) {
	s.callSlots <- struct{}{}
	defer func() { <-s.callSlots }()
	sent := false
	for range startAttempts {
		s.mu.Lock()
		fence, ok := s.fence()
		lease := s.leaseOnRunnerClock()
		if !ok || s.runs[o.Details.Run] != r || r.phase != starting || r.detachedUntil != 0 {
			s.mu.Unlock()
			break
		}
		if !o.isFor(s.runner) {
			if !sent {
				s.dropRun(o.Details.Run, runner.RefusedLate, causeOtherIncarnation)
			}
			s.mu.Unlock()
			break
		}
		if now := s.opts.Now(); lease == 0 || o.expired(now) || s.leasedBeyondGrant() {
			if !sent {
				s.opts.Logger.WithFields(log.Fields{
					"task": o.Details.Run.Task.String(), "run": o.Details.Run.Number, "leased": lease != 0,
					"late_ms":     (now - o.ValidUntil).Milliseconds(),
					"clock_known": s.runnerClockAt != 0,
				}).Warn("start order refused: expired or no lease")
				s.dropRun(o.Details.Run, s.noLeaseReason(), causeNoLease)
			}
			s.mu.Unlock()
			break
		}
		r.sent = true
		s.mu.Unlock()
		callCtx, cancel := context.WithTimeout(ctx, orderTimeout)
		refusal, _, err := s.opts.Runner.Start(callCtx, fence, runner.StartRequest{
			Run: o.Details.Run, Payload: o.Payload, Checkpoint: o.Checkpoint, Ticket: o.Ticket,
			LeaseEnd: lease,
		})
		cancel()
		if s.handleStartAnswer(o, r, fence, sent, refusal, err) {
			return false
		}
		sent = true
	}
	return sent
}

// noLeaseReason returns the reason for which a start is refused that has no lease or has expired. It
// is the runner's fault if the runner does not answer.
func (s *Supervisor) noLeaseReason() runner.Refusal {
	if s.failures > 0 && s.runnerClockAt == 0 {
		return runner.RefusedUnhealthy
	}
	return runner.RefusedLate
}

// expired reports whether the order has expired: its sender may no longer be the leader.
func (o Order) expired(now time.Duration) bool { return o.ValidUntil != 0 && now >= o.ValidUntil }

// handleStartAnswer applies the answer to one attempt and reports whether the order is done.
// sent is set if an earlier attempt may have taken effect.
func (s *Supervisor) handleStartAnswer(
	o Order, r *taskRun, fence runner.Fence, sent bool, refusal runner.Refusal, err error,
) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	run := o.Details.Run
	if s.runs[run] != r || r.phase == stopping || r.detachedUntil != 0 {
		return true
	}
	switch {
	case errors.Is(err, runner.ErrRestarted) && sent:
		// An earlier attempt may have taken effect: the first list of the next incarnation shows that.
		return false
	case errors.Is(err, runner.ErrRestarted):
		s.dropRun(run, runner.RefusedLate, causeOtherIncarnation)
	case errors.Is(err, runner.ErrOtherIncarnation) && sent:
		s.detach(r)
	case errors.Is(err, runner.ErrOtherIncarnation):
		s.dropRun(run, runner.RefusedIncarnationEnded, causeReplaced)
	case (errors.Is(err, runner.ErrUnhealthy) || errors.Is(err, runner.ErrNoListener)) && !sent:
		s.dropRun(run, runner.RefusedUnhealthy, causeRefused)
	case err != nil:
		s.opts.Logger.WithError(err).WithFields(log.Fields{
			"task": run.Task.String(), "run": run.Number, "runner": fence.RunnerID,
		}).Warn("start call failed")
		return false
	case refusal == "":
		r.phase = running
		r.activity.Unconfirmed = false
		r.speed.confirmedAt = s.opts.Now()
		s.update.Active = append(s.update.Active, r.reported())
		s.signal(s.notify)
		s.opts.Logger.WithFields(log.Fields{
			"task": run.Task.String(), "run": run.Number, "runner": fence.RunnerID,
		}).Info("run started")
		s.enforceSpeed(run, r)
	case refusal == runner.RefusedFence:
		s.raiseToken()
		return false
	case refusal == runner.RefusedStale:
		// The run has ended or been stopped; the next report lists its end.
		s.reconcile(r, refusal)
	case sent:
		return false
	default:
		s.dropRun(run, refusal, causeRefused)
	}
	return true
}

// reconcile leaves it to the runner's next report whether the run is alive, and requests that
// report.
func (s *Supervisor) reconcile(r *taskRun, reason runner.Refusal) {
	r.reconciling, r.reconcilingSince, r.notListedReason = true, s.opts.Now(), reason
	s.signal(s.renewNow)
}

// Stop stops a run in the background. Its end is part of a later update. If the run is not known, an order
// to start it that is still to come is refused.
func (s *Supervisor) Stop(ctx context.Context, run job.Run) {
	s.mu.Lock()
	defer s.mu.Unlock()
	r := s.runs[run]
	if r == nil {
		s.withdrawn.add(s.opts.Now(), run)
		return
	}
	if r.phase == stopping {
		return
	}
	r.phase = stopping
	s.call(func() { s.stopUntilConfirmed(ctx, run, r) })
}

// stopUnconfirmed stops a run whose start is unconfirmed, so that a start request that is
// still in transit has no effect.
func (s *Supervisor) stopUnconfirmed(ctx context.Context, run job.Run, r *taskRun) {
	s.mu.Lock()
	if s.runs[run] != r || r.phase != starting || r.detachedUntil != 0 {
		s.mu.Unlock()
		return
	}
	r.phase = stopping
	s.mu.Unlock()
	s.opts.Logger.WithFields(log.Fields{"task": run.Task.String(), "run": run.Number}).Info("stopping run with unconfirmed start")
	s.stopUntilConfirmed(ctx, run, r)
}

// stopUntilConfirmed stops a run until that is confirmed or the run is no longer on record. The
// incarnation of a detached run does not answer, so that no call is sent for it.
func (s *Supervisor) stopUntilConfirmed(ctx context.Context, run job.Run, r *taskRun) {
	for ctx.Err() == nil && !s.stopOnce(ctx, run, r) {
		select {
		case <-ctx.Done():
		case <-time.After(stopRetryPause):
		}
	}
}

// stopOnce sends one call to stop a run, unless it is detached, and reports whether no further one is
// needed.
func (s *Supervisor) stopOnce(ctx context.Context, run job.Run, r *taskRun) (done bool) {
	s.callSlots <- struct{}{}
	defer func() { <-s.callSlots }()
	s.mu.Lock()
	fence, ok := s.fence()
	gone, detached := !ok || s.runs[run] != r, r.detachedUntil != 0
	s.mu.Unlock()
	if gone || detached {
		return gone
	}
	callCtx, cancel := context.WithTimeout(ctx, orderTimeout)
	refusal, err := s.opts.Runner.Stop(callCtx, fence, run)
	cancel()
	s.mu.Lock()
	defer s.mu.Unlock()
	switch {
	case s.runs[run] != r:
		return true
	case r.detachedUntil != 0:
	case errors.Is(err, runner.ErrOtherIncarnation) && !errors.Is(err, runner.ErrRestarted):
		s.detach(r)
	case err == nil && refusal == runner.RefusedFence:
		s.raiseToken()
	case err == nil:
		s.reconcile(r, runner.RefusedStale)
		if r.unlisted {
			r.reconcilingSince += unlistedStopTime
		}
		return true
	default:
		s.opts.Logger.WithError(err).WithFields(log.Fields{
			"task": run.Task.String(), "run": run.Number,
		}).Warn("stop call failed")
	}
	return false
}
