// Package intake takes what callers ask of an entry: it accepts jobs, cancels
// them and tells their state.
package intake

import (
	"context"
	"errors"
	"fmt"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/apex/log"

	"bamboowood/internal/contain"
	"bamboowood/internal/job"
	"bamboowood/internal/ledger"
	"bamboowood/internal/site"
	"bamboowood/internal/store"
)

// Errors of an Intake. Any other error leaves open whether the call had its
// effect.
var (
	// ErrUnknownJob: no such job was accepted.
	ErrUnknownJob = errors.New("no such job")
	// ErrInvalid: the request makes no sense and had no effect.
	ErrInvalid = errors.New("invalid job")
)

// RefusedError says that a request had no effect and never will.
type RefusedError struct {
	Reason Reason
	// RetryAfter is when another try is worthwhile; 0 if it is not known.
	RetryAfter time.Duration
}

// Error implements the error interface.
func (e *RefusedError) Error() string { return "refused, not run: " + string(e.Reason) }

// Reason says why a request was refused.
type Reason string

// The reasons of a refusal.
const (
	// StoreUnavailable: the job cannot be stored now.
	StoreUnavailable Reason = "store-unavailable"
	// TooLarge: no runner is large enough for one of the job's tasks.
	TooLarge Reason = "too-large"
	// LeaderUnavailable: nobody who knows the answer can be asked.
	LeaderUnavailable Reason = "leader-unknown"
)

// Intake is what callers may ask.
type Intake interface {
	// Site returns the operators' will.
	Site() *site.State
	Submit(ctx context.Context, j *job.Job) error
	Cancel(ctx context.Context, id string) error
	Status(ctx context.Context, id string) (job.State, error)
	WaitingJobs(ctx context.Context, queue string) (int, error)
}

// Leader is how the entry that leads is asked. leading is false if it could not
// be asked.
type Leader interface {
	Status(ctx context.Context, id string) (state job.State, known, leading bool)
	WaitingJobs(ctx context.Context, queue string) (n int, leading bool)
	// MaxCapacity is the most that any runner of a service has of each resource.
	MaxCapacity(ctx context.Context, service string) (largest job.Resources, known bool)
	// JobAccepted and JobCancelled pass on what has just been stored.
	JobAccepted(ctx context.Context, j *job.Job)
	JobCancelled(ctx context.Context, id string)
	// Store and StoreCancel write through the leader, for an entry that the store
	// refuses. Errors are those of the ledger.
	Store(ctx context.Context, j *job.Job) error
	StoreCancel(ctx context.Context, id string) error
}

const (
	// submitTime bounds a submission whose caller names no deadline.
	submitTime = 2500 * time.Millisecond
	// acceptRetryPause follows a try to store a job without an answer.
	acceptRetryPause = 50 * time.Millisecond
	// outageRetryAfter is told to callers while the store is away. Its outages
	// last seconds; a second is the shortest that the header can say.
	outageRetryAfter = time.Second
)

// Server implements Intake on the ledger and the leader.
type Server struct {
	Ledger    *ledger.Ledger
	Leader    Leader
	Logger    log.Interface
	SiteState func() *site.State

	sizes sizes
}

var _ Intake = (*Server)(nil)

// Site implements Intake.
func (e *Server) Site() *site.State { return e.SiteState() }

// Submit implements Intake. A job counts as refused only if no try to store it
// can have had an effect.
func (e *Server) Submit(ctx context.Context, j *job.Job) error {
	if err := j.Validate(); err != nil {
		count("invalid")
		return fmt.Errorf("%w: %w", ErrInvalid, err)
	}
	ctx, cancel := context.WithTimeout(ctx, submitTime)
	defer cancel()
	began := time.Now()
	j.AcceptedAt = began
	logger := e.Logger.WithFields(log.Fields{"job": j.ID, "queue": j.Queue.Name})
	if e.tooLarge(ctx, logger, j) {
		count(TooLarge)
		return &RefusedError{Reason: TooLarge, RetryAfter: tooLargeRetryAfter}
	}
	doubtful := false
	for {
		err := e.Ledger.Accept(ctx, j)
		if err != nil {
			count("relayed")
			logger.WithError(err).Info("job not stored, asking the leader to store it")
			err = worse(err, e.Leader.Store(ctx, j))
		}
		if err == nil {
			count("accepted")
			logger.WithField("took_ms", time.Since(began).Milliseconds()).Info("job accepted")
			e.tell("accepted job", func() { e.Leader.JobAccepted(context.WithoutCancel(ctx), j) })
			return nil
		}
		refused := errors.Is(err, store.ErrRefused)
		if refused && !doubtful {
			count(StoreUnavailable)
			logger.WithError(err).Warn("job refused")
			return &RefusedError{Reason: StoreUnavailable, RetryAfter: outageRetryAfter}
		}
		doubtful = doubtful || !refused
		logger.WithError(err).Warn("job may have been stored")
		select {
		case <-ctx.Done():
			count("doubtful")
			return fmt.Errorf("job may have been accepted: %w", err)
		case <-time.After(acceptRetryPause):
		}
	}
}

// worse returns nil if the second try succeeded, and otherwise the error that
// promises less.
func worse(first, second error) error {
	if second == nil || !errors.Is(second, store.ErrRefused) {
		return second
	}
	return first
}

// Cancel implements Intake.
func (e *Server) Cancel(ctx context.Context, id string) error {
	if _, err := e.Status(ctx, id); err != nil {
		return err
	}
	for {
		err := e.Ledger.Cancel(ctx, id)
		if err != nil {
			err = worse(err, e.Leader.StoreCancel(ctx, id))
		}
		if err == nil {
			count("cancelled")
			e.Logger.WithField("job", id).Info("job cancelled")
			e.tell("cancelled job", func() { e.Leader.JobCancelled(context.WithoutCancel(ctx), id) })
			return nil
		}
		e.Logger.WithError(err).WithField("job", id).Warn("cancel not stored")
		select {
		case <-ctx.Done():
			return fmt.Errorf("job may have been cancelled: %w", err)
		case <-time.After(acceptRetryPause):
		}
	}
}

// tell passes on to the leader what is stored; its feeds have it, too.
func (e *Server) tell(what string, pass func()) {
	go func() {
		_ = contain.Do(e.Logger, what, func() error { pass(); return nil })
	}()
}

// Status implements Intake. A job that the leader does not know may have been
// accepted a moment ago; then the ledger has it.
func (e *Server) Status(ctx context.Context, id string) (job.State, error) {
	if state, known, leading := e.Leader.Status(ctx, id); leading && known {
		return state, nil
	}
	state, known, err := e.Ledger.Status(ctx, id)
	switch {
	case err != nil:
		count(LeaderUnavailable)
		e.Logger.WithError(err).WithField("job", id).Warn("state of the job cannot be read")
		return "", &RefusedError{Reason: LeaderUnavailable, RetryAfter: outageRetryAfter}
	case !known:
		return "", ErrUnknownJob
	}
	return state, nil
}

// WaitingJobs implements Intake.
func (e *Server) WaitingJobs(ctx context.Context, queue string) (int, error) {
	n, leading := e.Leader.WaitingJobs(ctx, queue)
	if !leading {
		count(LeaderUnavailable)
		return 0, &RefusedError{Reason: LeaderUnavailable, RetryAfter: outageRetryAfter}
	}
	return n, nil
}

func count(result Reason) {
	metrics.GetOrCreateCounter(fmt.Sprintf(`bamboowood_job_requests_total{result=%q}`, string(result))).Inc()
}
