package intake

import (
	"context"
	"sync"
	"time"

	"github.com/apex/log"

	"bamboowood/internal/job"
)

const (
	// sizeAge is how long the size of the largest runner is used before it is asked for
	// again: machines come and go within seconds.
	sizeAge = 2 * time.Second
	// unknownAge is the same for an answer that it is not known: a new leader has heard of
	// all agents within moments.
	unknownAge = 200 * time.Millisecond
	// sizeTimeout bounds the question; a job is not held up for it.
	sizeTimeout = 150 * time.Millisecond
	// tooLargeRetryAfter is told to callers of jobs that no runner is large enough for:
	// a lost machine is back within some seconds if at all.
	tooLargeRetryAfter = 10 * time.Second
)

// sizes has the largest runner of each service as the leader knew it of late.
type sizes struct {
	mu        sync.Mutex
	byService map[string]size
}

type size struct {
	largest job.Resources
	known   bool
	at      time.Time
}

// tooLarge says that no runner is large enough for one of the job's tasks, and that the
// job has not been accepted before.
func (e *Server) tooLarge(ctx context.Context, logger log.Interface, j *job.Job) bool {
	s := e.largest(ctx, j.Queue.Service)
	if !s.known || !j.Exceeds(s.largest) {
		return false
	}
	logger = logger.WithFields(log.Fields{
		"largest_cpu": s.largest.CPU, "largest_memory_mb": s.largest.MemoryMB, "largest_gpus": s.largest.GPUs,
		"age_ms": time.Since(s.at).Milliseconds(),
	})
	_, accepted, err := e.Ledger.Status(ctx, j.ID)
	if err != nil || accepted {
		logger.WithError(err).WithField("accepted", accepted).Info("job too large for any runner, not refused")
		return false
	}
	logger.Warn("job refused, too large for any runner")
	return true
}

// largest returns what is known of a service's largest runner. Only one caller at a time
// asks the leader; the others use the older answer.
func (e *Server) largest(ctx context.Context, service string) size {
	e.sizes.mu.Lock()
	s := e.sizes.byService[service]
	age := time.Since(s.at)
	fresh := age < sizeAge && (s.known || age < unknownAge)
	if !fresh {
		if e.sizes.byService == nil {
			e.sizes.byService = map[string]size{}
		}
		e.sizes.byService[service] = size{largest: s.largest, known: s.known, at: time.Now()}
	}
	e.sizes.mu.Unlock()
	if fresh {
		return s
	}
	ctx, cancel := context.WithTimeout(ctx, sizeTimeout)
	defer cancel()
	s = size{at: time.Now()}
	s.largest, s.known = e.Leader.MaxCapacity(ctx, service)
	e.sizes.mu.Lock()
	defer e.sizes.mu.Unlock()
	e.sizes.byService[service] = s
	return s
}
