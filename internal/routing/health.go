package routing

import (
	"sync/atomic"
	"time"
)

// Health is the outlier detection state of an upstream: its recent results and
// its ejection. The zero value is a healthy upstream.
type Health struct {
	// EjectedUntilNanos is the monotonic time at which probation starts; 0 when
	// the upstream is not ejected.
	EjectedUntilNanos atomic.Int64
	// Successes and Failures are decayed counts of recent results.
	Successes atomic.Int32
	Failures  atomic.Int32
	// consecutiveFailures is the number of failures since the last success.
	consecutiveFailures atomic.Int32
	// ejections is the number of ejections since the last passed probation.
	ejections atomic.Int32
	// probationLeft is the number of successes that probation still needs.
	probationLeft atomic.Int32
}

// State is the outlier detection state of an upstream.
type State uint8

const (
	// Healthy upstreams receive requests.
	Healthy State = iota
	// Ejected upstreams receive no requests.
	Ejected
	// Probation limits the upstream to one request at a time.
	Probation
)

// State returns the state at now.
func (h *Health) State(now time.Duration) State {
	until := h.EjectedUntilNanos.Load()
	switch {
	case until == 0:
		return Healthy
	case int64(now) < until:
		return Ejected
	}
	return Probation
}

// failing reports whether the recent results are bad enough to eject: too many
// consecutive failures, or too great a share of failures.
func (h *Health) failing(o *EjectionOptions) bool {
	failed := int(h.Failures.Load())
	if int(h.consecutiveFailures.Load()) >= o.MinFailures {
		return true
	}
	return failed >= o.MinFailures && float64(failed) >= o.Ratio*float64(failed+int(h.Successes.Load()))
}

// record counts one result, and halves both counts when they reach window together.
func (h *Health) record(failed bool, window int32) {
	if failed {
		h.Failures.Add(1)
		h.consecutiveFailures.Add(1)
	} else {
		h.Successes.Add(1)
		if h.consecutiveFailures.Load() != 0 {
			h.consecutiveFailures.Store(0)
		}
	}
	s, f := h.Successes.Load(), h.Failures.Load()
	if s+f >= window {
		h.Successes.Store(s / 2)
		h.Failures.Store(f / 2)
	}
}

// eject starts an ejection at now. Its length doubles with each ejection since the
// last passed probation.
func (h *Health) eject(now time.Duration, o *EjectionOptions) {
	n := min(h.ejections.Add(1), maxDoublings)
	length := min(o.Max, o.Base<<(n-1))
	h.probationLeft.Store(int32(o.ProbationSuccesses))
	h.clear()
	h.EjectedUntilNanos.Store(int64(now + length))
}

// readmit ends probation: the upstream is healthy again.
func (h *Health) readmit() {
	h.ejections.Store(0)
	h.clear()
	h.EjectedUntilNanos.Store(0)
}

// clear discards the recent results.
func (h *Health) clear() {
	h.Successes.Store(0)
	h.Failures.Store(0)
	h.consecutiveFailures.Store(0)
}
