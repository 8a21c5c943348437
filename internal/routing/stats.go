package routing

import (
	"sync/atomic"
	"time"
)

// Stats are the counters of one upstream, updated by the request path. The zero
// value is ready for use. Stats are safe for concurrent use. Times are nanoseconds
// of the entry's monotonic clock. The fields that a pick reads come first, in as
// few cache lines as possible.
type Stats struct {
	// InFlight is the number of this entry's requests that hold a slot.
	InFlight atomic.Int32
	// othersInUse is the number of slots in use by other entries at the last report.
	othersInUse atomic.Int32
	reportedAt  atomic.Int64
	// blockedUntil is the end of the current pause, during which the upstream gets no
	// requests.
	blockedUntil atomic.Int64
	estimate     estimate
	// startSum is the sum of the start times of the requests in flight, which
	// gives the sum of their ages without a list of them.
	startSum atomic.Int64
	// lastActivityAt is the time of the last reply, or of the first request sent
	// while none was in flight, whichever is later.
	lastActivityAt atomic.Int64
	// Health is the outlier detection state.
	Health Health
	// silentTries is the number of tries without any response since the last reply.
	silentTries         atomic.Int32
	consecutiveRefusals atomic.Int32
	// slow is the last result of Picker.isSlow, for its hysteresis.
	slow atomic.Bool

	// ServiceNanos is the moving mean of the service time; 0 before the first
	// measurement.
	ServiceNanos atomic.Int64
	// UpdatedNanos is the time of the last update of ServiceNanos.
	UpdatedNanos atomic.Int64
	// ReportedInUse is the last number of slots in use that the agent reported.
	ReportedInUse atomic.Int32
}

// Acquire adds a request in flight if there are fewer than limit, and reports
// whether it did.
func (s *Stats) Acquire(now time.Duration, limit int32) bool {
	for {
		n := s.InFlight.Load()
		if n >= limit {
			return false
		}
		if !s.InFlight.CompareAndSwap(n, n+1) {
			continue
		}
		s.startSum.Add(int64(now))
		if n == 0 {
			s.lastActivityAt.Store(int64(now))
		}
		return true
	}
}

// Release removes the request in flight that Acquire added at start.
func (s *Stats) Release(start time.Duration) {
	s.startSum.Add(-int64(start))
	s.InFlight.Add(-1)
}

// Replied records that the agent sent any response at all.
func (s *Stats) Replied(now time.Duration) {
	s.lastActivityAt.Store(int64(now))
	if s.silentTries.Load() != 0 {
		s.silentTries.Store(0)
	}
}

// SilentSince reports whether the agent has sent no response since start, the start
// of a try.
func (s *Stats) SilentSince(start time.Duration) bool { return s.lastActivityAt.Load() <= int64(start) }

// RecordSilence records a try during which the agent sent no response. Until the
// agent responds, it gets one request at a time, each after a pause that doubles
// from initial up to limit.
func (s *Stats) RecordSilence(now, initial, limit time.Duration) {
	pause := limit
	if n := s.silentTries.Add(1); n <= maxDoublings {
		pause = min(limit, initial<<(n-1))
	}
	s.Block(now + pause)
}

// RecordLoad records the slots in use by all entries that the agent reported; a
// negative number means no report. A report of a free slot ends the current pause.
func (s *Stats) RecordLoad(now time.Duration, inUse, slots int32) {
	if inUse < 0 {
		return
	}
	s.ReportedInUse.Store(inUse)
	s.othersInUse.Store(max(0, inUse-s.InFlight.Load()))
	s.reportedAt.Store(int64(now))
	if inUse < slots {
		s.consecutiveRefusals.Store(0)
		s.blockedUntil.Store(0)
	}
}

// Block starts a pause until the given time, during which the upstream gets no
// requests.
func (s *Stats) Block(until time.Duration) { s.blockedUntil.Store(int64(until)) }

// Refused records that the agent refused an offer because its slots were taken.
// The pause before the next offer starts at initial and doubles up to limit.
func (s *Stats) Refused(now, initial, limit time.Duration) {
	pause := limit
	if n := s.consecutiveRefusals.Add(1); n <= maxDoublings {
		pause = min(limit, initial<<(n-1))
	}
	s.Block(now + pause)
}

// maxDoublings limits how often a pause or an ejection doubles.
const maxDoublings = 16

// excessAge returns the time in nanoseconds by which the total age of the requests
// in flight exceeds their number times the mean service time; 0 if it does not.
func (s *Stats) excessAge(now, mean int64) int64 {
	n := int64(s.InFlight.Load())
	if n <= 0 {
		return 0
	}
	return max(0, n*(now-mean)-s.startSum.Load())
}

// slotsInUse returns the estimated number of slots in use: the entry's own requests
// in flight and the slots reported for other entries, whose weight falls with the
// age of the report.
func (s *Stats) slotsInUse(own int32, now, halfLife int64) int64 {
	othersInUse := int64(s.othersInUse.Load())
	if age := now - s.reportedAt.Load(); age > halfLife/8 {
		othersInUse = othersInUse * halfLife / (halfLife + age)
	}
	return int64(own) + othersInUse
}
