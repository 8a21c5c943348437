package intake

import (
	"context"
	"errors"
	"fmt"
	"sync"
	"time"

	"golang.org/x/time/rate"

	"bamboowood/internal/ledger"
)

// cancelTimeout bounds a cancel, for callers that set no earlier deadline.
const cancelTimeout = 5 * time.Second

// Limits of the cancels of jobs that the leader does not have, for an entry. Each leaves a row in the store and a
// record in the leader for a time.
const (
	// cancelRate is in cancels a second.
	cancelRate  = 25
	cancelBurst = 100
)

// cancelLimiter limits the cancels of unknown jobs. It is safe for concurrent use.
type cancelLimiter struct {
	once    sync.Once
	limiter *rate.Limiter
}

func (l *cancelLimiter) allow() bool {
	l.once.Do(func() { l.limiter = rate.NewLimiter(cancelRate, cancelBurst) })
	return l.limiter.Allow()
}

// Cancel implements Intake. Its answer that there is no such job holds also for a submission that the store
// performs later: the stored cancel keeps the job from being stored.
func (s *Server) Cancel(ctx context.Context, id string) error {
	ctx, cancel := context.WithTimeout(ctx, cancelTimeout)
	defer cancel()
	cancelJob := s.Ledger.Cancel
	if _, found, leading := s.Leader.Status(ctx, id); !found || !leading {
		if !s.unknownCancels.allow() {
			countRequest(TooManyCancels)
			return &RefusedError{Reason: TooManyCancels, RetryAfter: outageRetryAfter}
		}
		cancelJob = s.Ledger.CancelUnknown
	}
	logger := s.Logger.WithField("job", id)
	for {
		err := cancelJob(ctx, id)
		if err != nil && !errors.Is(err, ledger.ErrNotStored) {
			err = combineErrors(err, s.Leader.StoreCancel(ctx, id))
		}
		switch {
		case err == nil:
			countRequest("cancelled")
			logger.Info("job cancelled")
			s.notifyLeader("cancelled job", func() { s.Leader.JobCancelled(context.WithoutCancel(ctx), id) })
			return nil
		case errors.Is(err, ledger.ErrNotStored):
			countRequest("cancelled-unknown")
			logger.Info("unknown job cancelled")
			return ErrUnknownJob
		}
		logger.WithError(err).Warn("cancel not stored")
		select {
		case <-ctx.Done():
			return fmt.Errorf("job may have been cancelled: %w", err)
		case <-time.After(acceptRetryPause):
		}
	}
}
