package leader

import (
	"fmt"
	"time"

	"github.com/VictoriaMetrics/metrics"

	"bamboowood/internal/job"
)

// maxEarlyCancels bounds the cancels of unknown jobs that peers may have the leader keep. The store's
// feed delivers each cancel as well, without a bound.
const maxEarlyCancels = 1000

func (r *leadership) earlyCancelsFull(id string) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return len(r.earlyCancels) >= maxEarlyCancels && !r.planner.HasJob(id)
}

func countNotification(result string) {
	metrics.GetOrCreateCounter(fmt.Sprintf(`bamboowood_leader_notifications_total{result=%q}`, result)).Inc()
}

// reservationTime is how long memory is reserved for a job that an entry is about to accept. An entry
// attempts to store a job for at most 2.5 s.
const reservationTime = 4 * time.Second

// reservation is memory for a job that is not in the planner yet.
type reservation struct {
	bytes   int64
	expires time.Duration
}

// JobRoom returns how many bytes of memory are left for further jobs. If there is room for job id, which
// takes cost bytes, these are reserved; an empty id reserves nothing. known is false if there is no
// bound. leading is false if this process does not lead.
func (l *Leader) JobRoom(id string, cost int64) (bytes int64, known, leading bool) {
	r := l.leadership.Load()
	if r == nil {
		return 0, false, false
	}
	bytes, known = r.jobRoom(id, cost)
	return bytes, known, true
}

// jobRoom returns the memory that is left for job id and others, and reserves cost bytes for the job if
// it fits. known is false until all jobs have been loaded, and if there is no bound.
func (r *leadership) jobRoom(id string, cost int64) (bytes int64, known bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	now := r.opts.Now()
	bytes = r.opts.JobMemory - r.planner.JobMemory()
	for other, held := range r.reservedRoom {
		switch {
		case held.expires <= now || r.planner.HasJob(other):
			delete(r.reservedRoom, other)
		case other != id:
			bytes -= held.bytes
		}
	}
	known = r.recovered && r.opts.JobMemory > 0
	if known && id != "" && cost > 0 && !r.planner.HasJob(id) && job.FitsRoom(cost, bytes) {
		r.reservedRoom[id] = reservation{bytes: cost, expires: now + reservationTime}
	}
	return max(bytes, 0), known
}
