// Package intake implements the requests of callers to an entry: it accepts jobs,
// cancels them and returns their state.
package intake

import (
	"context"
	"errors"
	"fmt"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/apex/log"

	"bamboowood/internal/boottime"
	"bamboowood/internal/contain"
	"bamboowood/internal/job"
	"bamboowood/internal/ledger"
	"bamboowood/internal/site"
	"bamboowood/internal/store"
)

// Errors of an Intake, besides RefusedError. After any other error the call may have
// taken effect.
var (
	// ErrUnknownJob means that no such job was accepted.
	ErrUnknownJob = errors.New("no such job")
	// ErrInvalid means that the job is invalid. The request had no effect.
	ErrInvalid = errors.New("invalid job")
	// ErrNoRoute means that the current configuration has no queue for the request's path.
	ErrNoRoute = errors.New("no such queue")
)

// RefusedError means that a request had no effect and never will.
type RefusedError struct {
	Reason Reason
	// RetryAfter is the time after which a retry may succeed; 0 if unknown.
	RetryAfter time.Duration
}

// Error implements error.
func (e *RefusedError) Error() string { return "refused, not run: " + string(e.Reason) }

// Reason is the reason for which a request was refused.
type Reason string

// Reasons of a refusal.
const (
	// StoreUnavailable means that the job cannot be stored at present.
	StoreUnavailable Reason = "store-unavailable"
	// TooLarge means that no runner is large enough for one of the job's tasks.
	TooLarge Reason = "too-large"
	// RowTooLarge means that the job does not fit in a row of the store.
	RowTooLarge Reason = "row-too-large"
	// NoConfiguration means that this entry has not read a configuration yet.
	NoConfiguration Reason = "no-configuration"
	// StaleSettings means that the known configuration has no queue for the path, but a newer
	// one, which this entry could not read, may have it.
	StaleSettings Reason = "stale-settings"
	// NoRoom means that the leader has no memory for the job's tasks.
	NoRoom Reason = "no-room"
	// Cancelled means that the job was cancelled before it was stored.
	Cancelled Reason = "cancelled"
	// TooManyCancels means that more unknown jobs are being cancelled than cancelRate allows.
	TooManyCancels Reason = "too-many-cancels"
	// LeaderUnavailable means that neither the leader nor, for the state of a job, the
	// ledger could answer.
	LeaderUnavailable Reason = "leader-unknown"
)

// Intake handles the requests of callers.
type Intake interface {
	// Route returns the route that serves the path at the host, and the limits of requests. It
	// returns ErrNoRoute or a RefusedError (NoConfiguration, StaleSettings).
	Route(host, path string) (site.Route, site.Limits, error)
	// Submit accepts a job. It returns ErrInvalid, a RefusedError (StoreUnavailable, TooLarge, NoRoom,
	// Cancelled), or another error if the job may have been accepted.
	Submit(ctx context.Context, j *job.Job) error
	// Cancel cancels a job. It returns ErrUnknownJob if the job has not been accepted and will not be by a
	// submission that is under way, a RefusedError (TooManyCancels), or another error if the job may have been
	// cancelled.
	Cancel(ctx context.Context, id string) error
	// Status returns the state of a job, ErrUnknownJob, or a RefusedError (LeaderUnavailable).
	Status(ctx context.Context, id string) (job.State, error)
	// WaitingJobs returns the number of a queue's jobs of which no task has started, or a
	// RefusedError (LeaderUnavailable).
	WaitingJobs(ctx context.Context, queue string) (int, error)
}

// Leader is a client of the leading entry. The result leading is false if the leading entry did
// not answer, found is false if it does not have the job.
type Leader interface {
	Status(ctx context.Context, id string) (state job.State, found, leading bool)
	WaitingJobs(ctx context.Context, queue string) (n int, leading bool)
	// MaxCapacity returns, for each resource, the largest capacity of any runner of a
	// service. known is false if the leader did not answer or does not have it yet.
	MaxCapacity(ctx context.Context, service string) (largest job.Resources, known bool)
	// JobRoom returns how many bytes of memory are left for further jobs, and reserves cost bytes for
	// job id if that fits; an empty id reserves nothing. known is false if the leader did not answer
	// or has no bound.
	JobRoom(ctx context.Context, id string, cost int64) (bytes int64, known bool)
	// JobAccepted and JobCancelled notify the leader of a job or cancel that has just been
	// stored.
	JobAccepted(ctx context.Context, j *job.Job)
	JobCancelled(ctx context.Context, id string)
	// Store and StoreCancel write through the leader, for an entry that cannot write to
	// the store. Errors are those of the ledger.
	Store(ctx context.Context, j *job.Job) error
	// StoreCancel is like Ledger.CancelUnknown.
	StoreCancel(ctx context.Context, id string) error
}

const (
	// submitTimeout bounds a submission. Callers may set an earlier deadline.
	submitTimeout = 2500 * time.Millisecond
	// acceptRetryPause is the pause after an attempt to store a job or cancel whose
	// outcome is unknown.
	acceptRetryPause = 50 * time.Millisecond
	// outageRetryAfter is the RetryAfter of other requests than submissions while the leader or
	// the store is unavailable: 1 s is the least that the HTTP header can express.
	outageRetryAfter = time.Second
)

// Server implements Intake with the ledger and the leader. It is safe for concurrent use.
type Server struct {
	Ledger *ledger.Ledger
	Leader Leader
	Logger log.Interface
	Site   Site
	// MaxSettingsAge is the time after which a confirmed change of the settings must be in
	// force. Settings that are older say nothing about queues that they do not have.
	MaxSettingsAge time.Duration

	capacities capacityCache
	outage     outage
	room       room
	// unknownCancels limits the cancels of jobs that the leader does not have.
	unknownCancels cancelLimiter
}

// Site gives access to the operator settings; site.Watcher implements it.
type Site interface {
	// State returns the latest known settings.
	State() *site.State
	// Age returns an upper bound of the time since the settings that State returns afterwards
	// were the operators' latest.
	Age() (age time.Duration, known bool)
}

var _ Intake = (*Server)(nil)

// Submit implements Intake. It returns a RefusedError only if no attempt to store the
// job can have taken effect.
func (s *Server) Submit(ctx context.Context, j *job.Job) error {
	if err := j.Validate(); err != nil {
		countRequest("invalid")
		return fmt.Errorf("%w: %w", ErrInvalid, err)
	}
	ctx, cancel := context.WithTimeout(ctx, submitTimeout)
	defer cancel()
	began := time.Now()
	j.AcceptedAt = began
	logger := s.Logger.WithFields(log.Fields{"job": j.ID, "queue": j.Queue.Name})
	if s.tooLarge(ctx, logger, j) {
		countRequest(TooLarge)
		return &RefusedError{Reason: TooLarge, RetryAfter: tooLargeRetryAfter}
	}
	if s.noRoom(ctx, j) {
		countRequest(NoRoom)
		return &RefusedError{Reason: NoRoom, RetryAfter: tooLargeRetryAfter}
	}
	if s.rowTooLarge(ctx, logger, j) {
		countRequest(RowTooLarge)
		return &RefusedError{Reason: RowTooLarge, RetryAfter: tooLargeRetryAfter}
	}
	unconfirmed := false
	for {
		err := s.Ledger.Accept(ctx, j)
		if err != nil && !errors.Is(err, ledger.ErrCancelled) {
			countRequest("relayed")
			logger.WithError(err).Info("job not stored; relaying it to the leader")
			err = combineErrors(err, s.Leader.Store(ctx, j))
		}
		if err == nil {
			s.outage.ended()
			countRequest("accepted")
			logger.WithField("took_ms", time.Since(began).Milliseconds()).Info("job accepted")
			s.notifyLeader("accepted job", func() { s.Leader.JobAccepted(context.WithoutCancel(ctx), j) })
			return nil
		}
		if errors.Is(err, ledger.ErrCancelled) {
			countRequest(Cancelled)
			logger.Warn("job refused; it was cancelled before it was stored")
			return &RefusedError{Reason: Cancelled}
		}
		refused := errors.Is(err, store.ErrRefused)
		if refused && !unconfirmed {
			countRequest(StoreUnavailable)
			logger.WithError(err).Warn("job refused")
			return &RefusedError{Reason: StoreUnavailable, RetryAfter: s.outage.refused(boottime.Now())}
		}
		unconfirmed = unconfirmed || !refused
		logger.WithError(err).Warn("job may have been stored")
		select {
		case <-ctx.Done():
			countRequest("doubtful")
			return fmt.Errorf("job may have been accepted: %w", err)
		case <-time.After(acceptRetryPause):
		}
	}
}

// combineErrors combines the errors of two attempts to write, the first of which failed. It returns
// nil if the second attempt succeeded, an error that wraps store.ErrRefused only if both attempts
// were refused, and otherwise an error after which the write may have taken effect.
func combineErrors(first, second error) error {
	if second == nil || !errors.Is(second, store.ErrRefused) {
		return second
	}
	return first
}

// notifyLeader runs notify in the background. The leader also receives the change from the
// store's feeds.
func (s *Server) notifyLeader(what string, notify func()) {
	go func() {
		_ = contain.Do(s.Logger, what, func() error { notify(); return nil })
	}()
}

// Status implements Intake. It reads the ledger if the leader does not have the job,
// which may have just been accepted.
func (s *Server) Status(ctx context.Context, id string) (job.State, error) {
	if state, found, leading := s.Leader.Status(ctx, id); leading && found {
		return state, nil
	}
	state, found, err := s.Ledger.Status(ctx, id)
	switch {
	case err != nil:
		countRequest(LeaderUnavailable)
		s.Logger.WithError(err).WithField("job", id).Warn("job state read failed")
		return "", &RefusedError{Reason: LeaderUnavailable, RetryAfter: outageRetryAfter}
	case !found:
		return "", ErrUnknownJob
	}
	return state, nil
}

// WaitingJobs implements Intake.
func (s *Server) WaitingJobs(ctx context.Context, queue string) (int, error) {
	n, leading := s.Leader.WaitingJobs(ctx, queue)
	if !leading {
		countRequest(LeaderUnavailable)
		return 0, &RefusedError{Reason: LeaderUnavailable, RetryAfter: outageRetryAfter}
	}
	return n, nil
}

func countRequest(result Reason) {
	metrics.GetOrCreateCounter(fmt.Sprintf(`bamboowood_job_requests_total{result=%q}`, string(result))).Inc()
}
