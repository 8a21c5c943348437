package supervisor

import (
	"context"
	"errors"
	"time"

	"github.com/apex/log"

	"bamboowood/internal/job"
	"bamboowood/internal/runner"
)

// Limits of orders to the runner.
const (
	// orderTimeout bounds one call; the runner answers within milliseconds.
	orderTimeout = 400 * time.Millisecond
	// startTries is how often a start without an answer is sent. A runner that
	// has the run already confirms it.
	startTries = 2
	// stopRetryPause follows a stop without an answer.
	stopRetryPause = 100 * time.Millisecond
)

// Start carries out an order to start a run. Its result comes as an update.
func (s *Supervisor) Start(ctx context.Context, o Order) {
	run := o.Details.Run
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.runs[run] != nil {
		return
	}
	r := &taskRun{details: o.Details, pace: fullPace, paceSet: fullPace, activity: job.Activity{Run: run, Checkpoint: o.Checkpoint, Unconfirmed: true}}
	s.runs[run] = r
	if s.runner == nil || s.runner.Draining {
		s.gone(run, runner.RefusedUnhealthy)
		return
	}
	s.waiters.Go(func() { s.start(ctx, o, r) })
}

func (s *Supervisor) start(ctx context.Context, o Order, r *taskRun) {
	s.slots <- struct{}{}
	defer func() { <-s.slots }()
	sent := false
	for range startTries {
		s.mu.Lock()
		fence, ok := s.fence()
		lease := s.runnerLease()
		if !ok || s.runs[o.Details.Run] != r || r.phase != ordered {
			s.mu.Unlock()
			break
		}
		if now := s.opts.Now(); lease == 0 || o.expired(now) {
			if !sent {
				s.opts.Logger.WithFields(log.Fields{
					"task": o.Details.Run.Task.String(), "run": o.Details.Run.Number, "leased": lease != 0,
					"late_ms": (now - o.ValidUntil).Milliseconds(),
				}).Warn("order to start came too late")
				s.gone(o.Details.Run, runner.RefusedLate)
			}
			s.mu.Unlock()
			break
		}
		s.mu.Unlock()
		callCtx, cancel := context.WithTimeout(ctx, orderTimeout)
		refusal, _, err := s.opts.Runner.Start(callCtx, fence, runner.StartRequest{
			Run: o.Details.Run, Payload: o.Payload, Checkpoint: o.Checkpoint, Ticket: o.Ticket,
			LeaseEnd: lease,
		})
		cancel()
		if s.startAnswered(o, r, fence, sent, refusal, err) {
			return
		}
		sent = true
	}
	if sent {
		s.stopDoubtful(ctx, o.Details.Run, r)
	}
}

// expired says that whoever gave the order may not have been the leader any more.
func (o Order) expired(now time.Duration) bool { return o.ValidUntil != 0 && now >= o.ValidUntil }

// startAnswered handles one answer and says whether it settles the order. sent
// says that an earlier try may have been carried out.
func (s *Supervisor) startAnswered(
	o Order, r *taskRun, fence runner.Fence, sent bool, refusal runner.Refusal, err error,
) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	run := o.Details.Run
	if s.runs[run] != r || r.phase == stopping {
		return true
	}
	switch {
	case errors.Is(err, runner.ErrOtherIncarnation):
		s.gone(run, runner.RefusedIncarnationEnded)
	case errors.Is(err, runner.ErrUnhealthy) && !sent:
		s.gone(run, runner.RefusedUnhealthy)
	case err != nil:
		s.opts.Logger.WithError(err).WithFields(log.Fields{
			"task": run.Task.String(), "run": run.Number, "runner": fence.RunnerID,
		}).Warn("start has no answer")
		return false
	case refusal == "":
		r.phase = active
		r.activity.Unconfirmed = false
		s.update.Active = append(s.update.Active, r.activity)
		s.signal(s.notify)
		s.opts.Logger.WithFields(log.Fields{
			"task": run.Task.String(), "run": run.Number, "runner": fence.RunnerID,
		}).Info("run started")
		s.paceRun(run, r)
	case refusal == runner.RefusedFence:
		s.raiseToken()
		return false
	case refusal == runner.RefusedStale:
		// It has ended or been stopped; the next report tells.
		s.resolve(r, refusal)
	case sent && refusal != runner.RefusedCapacity:
		return false
	default:
		s.gone(run, refusal)
	}
	return true
}

// resolve says that the run is alive only if the next report lists it.
func (s *Supervisor) resolve(r *taskRun, reason runner.Refusal) {
	r.resolved, r.resolvedAt, r.reason = true, s.opts.Now(), reason
	s.signal(s.wake)
}

// Stop carries out an order to stop a run. Its end comes as an update.
func (s *Supervisor) Stop(ctx context.Context, run job.Run) {
	s.mu.Lock()
	defer s.mu.Unlock()
	r := s.runs[run]
	if r == nil || r.phase == stopping {
		return
	}
	r.phase = stopping
	s.waiters.Go(func() {
		s.slots <- struct{}{}
		defer func() { <-s.slots }()
		s.stopUntilConfirmed(ctx, run, r)
	})
}

// stopDoubtful makes sure that a run without a result is not started later.
func (s *Supervisor) stopDoubtful(ctx context.Context, run job.Run, r *taskRun) {
	s.mu.Lock()
	if s.runs[run] != r || r.phase != ordered {
		s.mu.Unlock()
		return
	}
	r.phase = stopping
	s.mu.Unlock()
	s.stopUntilConfirmed(ctx, run, r)
}

func (s *Supervisor) stopUntilConfirmed(ctx context.Context, run job.Run, r *taskRun) {
	for ctx.Err() == nil {
		s.mu.Lock()
		fence, ok := s.fence()
		if !ok || s.runs[run] != r {
			s.mu.Unlock()
			return
		}
		s.mu.Unlock()
		callCtx, cancel := context.WithTimeout(ctx, orderTimeout)
		refusal, err := s.opts.Runner.Stop(callCtx, fence, run)
		cancel()
		s.mu.Lock()
		done := s.runs[run] != r
		switch {
		case done:
		case errors.Is(err, runner.ErrOtherIncarnation):
			s.gone(run, runner.RefusedIncarnationEnded)
			done = true
		case err == nil && refusal == runner.RefusedFence:
			s.raiseToken()
		case err == nil:
			s.resolve(r, runner.RefusedStale)
			done = true
		default:
			s.opts.Logger.WithError(err).WithFields(log.Fields{
				"task": run.Task.String(), "run": run.Number,
			}).Warn("stop has no answer")
		}
		s.mu.Unlock()
		if done {
			return
		}
		select {
		case <-ctx.Done():
		case <-time.After(stopRetryPause):
		}
	}
}
