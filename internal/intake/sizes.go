package intake

import (
	"context"
	"sync"
	"time"

	"github.com/apex/log"

	"bamboowood/internal/job"
	"bamboowood/internal/ledger"
	"bamboowood/internal/store"
)

const (
	// capacityTTL is how long a cached capacity is used. Machines are added and removed
	// within seconds.
	capacityTTL = 2 * time.Second
	// unknownCapacityTTL is the same while the capacity is unknown. A new leader has the
	// reports of all agents soon after it begins.
	unknownCapacityTTL = 200 * time.Millisecond
	// capacityTimeout bounds the query to the leader, which must not delay a job.
	capacityTimeout = 150 * time.Millisecond
	// tooLargeRetryAfter is the RetryAfter of jobs that are too large for all runners. A
	// lost machine returns within seconds or not at all.
	tooLargeRetryAfter = 10 * time.Second
)

// capacityCache caches the maximum capacity of the runners of each service.
type capacityCache struct {
	mu        sync.Mutex
	byService map[string]cachedCapacity
}

type cachedCapacity struct {
	capacity  job.Resources
	known     bool
	fetchedAt time.Time
}

// tooLarge reports whether no runner is large enough for one of the job's tasks and the job
// has certainly not been accepted before.
func (s *Server) tooLarge(ctx context.Context, logger log.Interface, j *job.Job) bool {
	largest := s.maxCapacity(ctx, j.Queue.Service)
	if !largest.known || !j.Exceeds(largest.capacity) {
		return false
	}
	logger = logger.WithFields(log.Fields{
		"largest_cpu": largest.capacity.CPU, "largest_memory_mb": largest.capacity.MemoryMB, "largest_gpus": largest.capacity.GPUs,
		"age_ms": time.Since(largest.fetchedAt).Milliseconds(),
	})
	if s.mayBeAccepted(ctx, logger, j) {
		return false
	}
	logger.Warn("job refused; too large for any runner")
	return true
}

// mayBeAccepted reports whether a job that would be refused for its size may have been accepted before.
func (s *Server) mayBeAccepted(ctx context.Context, logger log.Interface, j *job.Job) bool {
	_, accepted, err := s.Ledger.Status(ctx, j.ID)
	if err == nil && !accepted {
		return false
	}
	logger.WithError(err).WithField("accepted", accepted).Info("job too large; not refused as it may have been accepted before")
	return true
}

// rowTooLarge reports whether the job does not fit in a row of the store, which rejects it each time, and has
// certainly not been accepted before. Its size varies by some bytes with the time of its acceptance.
func (s *Server) rowTooLarge(ctx context.Context, logger log.Interface, j *job.Job) bool {
	value, err := ledger.EncodeJob(j)
	if err != nil || len(value) <= store.MaxRowBytes {
		return false
	}
	logger = logger.WithField("bytes", len(value))
	if s.mayBeAccepted(ctx, logger, j) {
		return false
	}
	logger.Warn("job refused; too large for a row of the store")
	return true
}

// maxCapacity returns the maximum capacity of a service's runners. When the cached value has
// expired, one caller queries the leader while the others use the expired value.
func (s *Server) maxCapacity(ctx context.Context, service string) cachedCapacity {
	s.capacities.mu.Lock()
	cached := s.capacities.byService[service]
	age := time.Since(cached.fetchedAt)
	fresh := age < capacityTTL && (cached.known || age < unknownCapacityTTL)
	if !fresh {
		if s.capacities.byService == nil {
			s.capacities.byService = map[string]cachedCapacity{}
		}
		s.capacities.byService[service] = cachedCapacity{capacity: cached.capacity, known: cached.known, fetchedAt: time.Now()}
	}
	s.capacities.mu.Unlock()
	if fresh {
		return cached
	}
	ctx, cancel := context.WithTimeout(ctx, capacityTimeout)
	defer cancel()
	cached = cachedCapacity{fetchedAt: time.Now()}
	cached.capacity, cached.known = s.Leader.MaxCapacity(ctx, service)
	s.capacities.mu.Lock()
	defer s.capacities.mu.Unlock()
	s.capacities.byService[service] = cached
	return cached
}
