package intake

import (
	"context"
	"sync"
	"time"

	"bamboowood/internal/job"
)

// smallShare is the part of the leader's remaining memory that all small jobs which an entry admits by one
// value may take. They sum up over all entries, of which there are up to 14, until the leader has
// received them.
const smallShare = 16

// room is what is known of the memory that the leader has left for jobs. It is safe for concurrent use.
type room struct {
	mu        sync.Mutex
	bytes     int64
	known     bool
	taken     int64
	fetchedAt time.Time
}

// take takes the memory of a small job from the cached value. decided is false if the value has to be
// fetched first.
func (r *room) take(now time.Time, cost int64) (admitted, decided bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	age := now.Sub(r.fetchedAt)
	fresh := age < capacityTTL && (r.known || age < unknownCapacityTTL)
	switch {
	case cost > job.LargeBytes || !fresh:
		return false, false
	case !r.known:
		return true, true
	case r.taken+cost > r.bytes/smallShare:
		return false, false
	}
	r.taken += cost
	return true, true
}

// fetched stores a new value, and reports whether a job of the given memory is admitted by it.
func (r *room) fetched(now time.Time, cost, bytes int64, known bool) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.bytes, r.known, r.taken, r.fetchedAt = bytes, known, 0, now
	if cost > job.LargeBytes {
		return !known || job.FitsRoom(cost, bytes)
	}
	if known && cost > bytes/smallShare {
		return false
	}
	r.taken = cost
	return true
}

// noRoom reports whether the leader has no memory for the job and the job has certainly not been
// accepted before.
func (s *Server) noRoom(ctx context.Context, j *job.Job) bool {
	cost := j.PlannerBytes()
	admitted, decided := s.room.take(time.Now(), cost)
	if !decided {
		queryCtx, cancel := context.WithTimeout(ctx, capacityTimeout)
		defer cancel()
		id := ""
		if cost > job.LargeBytes {
			id = j.ID
		}
		bytes, known := s.Leader.JobRoom(queryCtx, id, cost)
		admitted = s.room.fetched(time.Now(), cost, bytes, known)
	}
	if admitted {
		return false
	}
	_, accepted, err := s.Ledger.Status(ctx, j.ID)
	return err == nil && !accepted
}
