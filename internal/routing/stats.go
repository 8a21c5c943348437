package routing

import (
	"sync/atomic"
	"time"
)

// Stats are the counters of one upstream, updated by the request path. The zero
// value is ready for use. Times are nanoseconds of the entry's monotonic clock.
// What a pick reads comes first, in as few cache lines as possible.
type Stats struct {
	// InFlight is the number of this entry's requests that hold a slot.
	InFlight atomic.Int32
	// others is the number of slots that other entries held at the last report.
	others     atomic.Int32
	reportedAt atomic.Int64
	// fullUntil is the end of the pause after a refused offer.
	fullUntil atomic.Int64
	estimate  estimate
	// startSum is the sum of the start times of the requests in flight, which
	// gives the sum of their ages without a list of them.
	startSum atomic.Int64
	// activeAt is the time of the last reply, or of the first request in flight
	// since there was none.
	activeAt atomic.Int64
	// Health is the ejector's state.
	Health Health
	// silences counts tries without any sign of the upstream since its last
	// reply.
	silences atomic.Int32
	refusals atomic.Int32
	// slow is set while the estimate says that the upstream is slow.
	slow atomic.Bool

	// ServiceNanos is the moving mean of the service time; 0 before the first
	// measurement.
	ServiceNanos atomic.Int64
	// UpdatedNanos is when ServiceNanos was last fed.
	UpdatedNanos atomic.Int64
	// ReportedInUse is the number of slots in use that the agent last reported.
	ReportedInUse atomic.Int32
}

// Acquire takes one of limit requests in flight and reports whether it could.
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
			s.activeAt.Store(int64(now))
		}
		return true
	}
}

// Release returns what Acquire took at start.
func (s *Stats) Release(start time.Duration) {
	s.startSum.Add(-int64(start))
	s.InFlight.Add(-1)
}

// Replied records that the agent said anything at all.
func (s *Stats) Replied(now time.Duration) {
	s.activeAt.Store(int64(now))
	if s.silences.Load() != 0 {
		s.silences.Store(0)
	}
}

// SilentSince reports whether the agent has said nothing since start, the start
// of a try.
func (s *Stats) SilentSince(start time.Duration) bool { return s.activeAt.Load() <= int64(start) }

// RecordSilence records a try during which the agent said nothing. Until it does, it
// gets one request at a time, after a pause that doubles from first up to most.
func (s *Stats) RecordSilence(now, first, most time.Duration) {
	pause := most
	if n := s.silences.Add(1); n <= maxDoublings {
		pause = min(most, first<<(n-1))
	}
	s.Block(now + pause)
}

// ReportLoad records the slots in use that the agent reported, all entries'
// together; a negative number is no report.
func (s *Stats) ReportLoad(now time.Duration, inUse, slots int32) {
	if inUse < 0 {
		return
	}
	s.ReportedInUse.Store(inUse)
	s.others.Store(max(0, inUse-s.InFlight.Load()))
	s.reportedAt.Store(int64(now))
	if inUse < slots {
		s.refusals.Store(0)
		s.fullUntil.Store(0)
	}
}

// Block gives the upstream no requests until the given time.
func (s *Stats) Block(until time.Duration) { s.fullUntil.Store(int64(until)) }

// Refused records that the agent refused an offer because its slots were taken.
// The pause before the next offer starts at first and doubles up to most.
func (s *Stats) Refused(now, first, most time.Duration) {
	pause := most
	if n := s.refusals.Add(1); n <= maxDoublings {
		pause = min(most, first<<(n-1))
	}
	s.Block(now + pause)
}

// maxDoublings bounds the doubling of a pause.
const maxDoublings = 16

// excessAge returns by how much the requests in flight are older together, in
// nanoseconds, than requests of the mean service time are.
func (s *Stats) excessAge(now, mean int64) int64 {
	n := int64(s.InFlight.Load())
	if n <= 0 {
		return 0
	}
	return max(0, n*(now-mean)-s.startSum.Load())
}

// busy returns the number of slots believed to be in use. What other entries
// held is believed less the older the report is.
func (s *Stats) busy(own int32, now, halfLife int64) int64 {
	others := int64(s.others.Load())
	if age := now - s.reportedAt.Load(); age > halfLife/8 {
		others = others * halfLife / (halfLife + age)
	}
	return int64(own) + others
}
