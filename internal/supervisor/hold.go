package supervisor

import (
	"context"
	"errors"
	"time"

	"github.com/apex/log"

	"bamboowood/internal/job"
	"bamboowood/internal/runner"
)

// Rhythm of the calls that extend the lease and list what runs.
const (
	// holdWait is how long a call waits for an end. The runner's figures cover
	// half a second.
	holdWait = 300 * time.Millisecond
	// holdTimeout is added to the wait for the way there and back.
	holdTimeout = 400 * time.Millisecond
	// unstoredInterval is the pause between calls while ends are not stored: the
	// runner would answer each waiting call at once.
	unstoredInterval = 25 * time.Millisecond
	// settleInterval is the same while the fate of a run is open.
	settleInterval = 10 * time.Millisecond
	// reportInterval bounds how often the progress of one run is passed on.
	reportInterval = 280 * time.Millisecond
	// failurePause follows a call without an answer.
	failurePause = 100 * time.Millisecond
	// acknowledgeWithin of an answer of the runner's life its ends are acknowledged.
	acknowledgeWithin = 50 * time.Millisecond
	// idleWait is the pause when there is no runner.
	idleWait = time.Second
)

// Leases, measured on two clocks.
const (
	// clockDrift is how much slower the runner's clock may be (PROTOCOL: 2%), with
	// as much again for this machine's.
	clockDrift = 0.04
	// killTime is what a runner needs to kill its runs when their lease ends.
	killTime = 100 * time.Millisecond
	// leaseMargin covers rounding to milliseconds.
	leaseMargin = 20 * time.Millisecond
	// refusedTime is how long nothing must listen at the runner's address before
	// its process counts as dead.
	refusedTime = 300 * time.Millisecond
)

func (s *Supervisor) holdLoop(ctx context.Context) {
	for ctx.Err() == nil {
		pause := s.holdOnce(ctx)
		if pause <= 0 {
			continue
		}
		timer := time.NewTimer(pause)
		select {
		case <-ctx.Done():
		case <-s.wake:
		case <-timer.C:
		}
		timer.Stop()
	}
}

// holdOnce makes one call and returns the pause before the next one.
func (s *Supervisor) holdOnce(ctx context.Context) time.Duration {
	s.mu.Lock()
	fence, ok := s.fence()
	if !ok {
		s.mu.Unlock()
		return idleWait
	}
	settling := s.settling()
	order := runner.RenewRequest{LeaseEnd: s.runnerLease(), AcknowledgedEnd: s.acknowledge()}
	waiting := len(s.ends) == 0 && !settling && s.clockAt != 0
	if waiting {
		order.Wait = holdWait
	}
	callCtx, cancel := context.WithTimeout(ctx, order.Wait+holdTimeout)
	s.cancelHold = cancel
	s.mu.Unlock()

	began := s.opts.Now()
	report, err := s.opts.Runner.RenewLease(callCtx, fence, order)
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
		return s.holdFailed(err)
	}
	if report.StartTime != 0 && s.runner.StartTime != 0 && report.StartTime != s.runner.StartTime {
		// The report of the new life is on its way.
		return failurePause
	}
	s.acknowledgedEnd, s.answeredAt = max(s.acknowledgedEnd, order.AcknowledgedEnd), s.opts.Now()
	s.holdAnswered(began, report)
	switch {
	case s.settling():
		return settleInterval
	case len(s.ends) > 0:
		return unstoredInterval
	}
	return 0
}

// acknowledge returns the end up to which the runner may forget; 0 acknowledges nothing.
// Each is sent once, right after an answer of this life: the next life may have the same
// id, and would forget ends of its own.
func (s *Supervisor) acknowledge() int64 {
	if s.storedEnd <= s.acknowledgedEnd || s.answeredAt == 0 || s.opts.Now()-s.answeredAt > acknowledgeWithin {
		return 0
	}
	return s.storedEnd
}

// settling says whether a report is needed that settles the fate of a run.
func (s *Supervisor) settling() bool {
	for _, r := range s.runs {
		if r.resolved {
			return true
		}
	}
	return false
}

// runnerLease is the end of the lease that is permitted, on the runner's clock;
// 0 if that is not known or has passed.
func (s *Supervisor) runnerLease() time.Duration {
	now := s.opts.Now()
	until := min(s.permitted, now+s.opts.MaxLease)
	left := until - now - leaseMargin
	if s.clockAt == 0 || left <= 0 {
		return 0
	}
	s.leaseEnd = max(s.leaseEnd, until)
	return s.clock + scale(now-s.clockAt+left, 1-clockDrift)
}

func scale(d time.Duration, factor float64) time.Duration { return time.Duration(float64(d) * factor) }

func (s *Supervisor) holdFailed(err error) time.Duration {
	now := s.opts.Now()
	var refused interface{ Reason() runner.Refusal }
	if errors.As(err, &refused) && refused.Reason() == runner.RefusedFence {
		s.raiseToken()
		return settleInterval
	}
	if s.failures == 0 {
		s.opts.Logger.WithError(err).WithField("runner", s.runner.ID).Warn("runner does not answer")
	}
	s.failures++
	switch {
	case !errors.Is(err, runner.ErrNoListener):
		s.refusedAt = 0
	case s.refusedAt == 0:
		s.refusedAt = now
	case now-s.refusedAt > refusedTime:
		s.runnerDead("its process has ended")
	}
	if s.runner != nil && s.leaseEnd != 0 && now > s.leaseEnd+killTime {
		s.runsLapsed()
	}
	return failurePause
}

// runnerDead forgets a runner whose process has ended.
func (s *Supervisor) runnerDead(why string) {
	s.opts.Logger.WithFields(log.Fields{
		"runner": s.runner.ID, "why": why, "runs_lost": len(s.runs),
	}).Warn("runner is gone")
	s.past[life{s.runner.ID, s.runner.StartTime}] = true
	s.token++
	s.runner = nil
	s.runsLost()
	s.ends = nil
	s.refusedAt, s.leaseEnd = 0, 0
	s.reborn = false
	s.update.Active, s.update.Ends = nil, nil
	s.runnerChanged()
}

// runsLapsed gives up the runs of a runner that does not answer, after the end of
// its lease. An order to start that is still under way carries a lease that has
// run out, too.
func (s *Supervisor) runsLapsed() {
	s.runsLost()
	s.leaseEnd = 0
}

func (s *Supervisor) holdAnswered(began time.Duration, report runner.Report) {
	if s.failures > 0 {
		s.opts.Logger.WithField("runner", s.runner.ID).Info("runner answers again")
	}
	s.failures, s.refusedAt = 0, 0
	if !s.ready {
		defer s.signal(s.notify)
		s.ready = true
	}
	s.clock, s.clockAt = report.Clock, s.opts.Now()
	if report.Unreadable > 0 {
		s.opts.Logger.WithField("entries", report.Unreadable).Warn("entries of the runner's lists make no sense")
	}
	s.takeEnds(report.Ends)
	listed := make(map[job.Run]bool, len(report.Active))
	for _, act := range report.Active {
		listed[act.Run] = true
		s.takeActivity(act)
	}
	for run, r := range s.runs {
		if !listed[run] {
			s.notListed(began, run, r)
		}
	}
	if s.reborn {
		s.reborn = false
		refused := s.update.Refusals
		s.update = s.whole()
		s.update.Refusals = refused
	}
	if now := s.opts.Now(); now-s.pacedAt >= reportInterval {
		s.pacedAt = now
		s.pace(report.Active)
	}
}

func (s *Supervisor) takeEnds(ends []job.End) {
	for _, e := range ends {
		if e.Sequence <= s.lastEnd {
			continue
		}
		s.lastEnd = e.Sequence
		delete(s.runs, e.Run)
		s.ends = append(s.ends, e)
		s.update.Ends = append(s.update.Ends, e)
		s.opts.Logger.WithFields(log.Fields{
			"task": e.Run.Task.String(), "run": e.Run.Number, "reason": string(e.Reason), "sequence": e.Sequence,
		}).Info("run ended")
		s.signal(s.notify)
	}
}

func (s *Supervisor) takeActivity(act job.Activity) {
	r := s.runs[act.Run]
	if r == nil {
		// Of an earlier process on this machine, or an order carried out late.
		r = &taskRun{details: RunDetails{Run: act.Run}, phase: active, pace: fullPace}
		s.runs[act.Run] = r
	}
	if r.phase == ordered {
		r.phase = active
	}
	r.missing = 0
	r.resolved = false
	confirmed := r.activity.Unconfirmed
	r.activity = act
	if now := s.opts.Now(); confirmed || now-r.reportedAt >= reportInterval {
		r.reportedAt = now
		s.update.Active = append(s.update.Active, act)
		s.signal(s.notify)
	}
}

// maxMissing is the number of reports without a confirmed run after which it is
// given up; a report may have been overtaken by the confirmation.
const maxMissing = 3

// notListed handles a run that a report does not list as active or ended.
func (s *Supervisor) notListed(began time.Duration, run job.Run, r *taskRun) {
	switch {
	case r.resolved && began > r.resolvedAt:
		s.gone(run, r.reason)
	case r.phase == active && !r.resolved:
		if r.missing++; r.missing >= maxMissing {
			s.gone(run, runner.RefusedIncarnationEnded)
		}
	}
}
