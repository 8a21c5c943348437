package routing

import (
	"sync/atomic"
	"time"
)

// DrainMeter measures how fast a queue gets slots: the interval between answers
// while requests wait. The zero value is ready for use.
type DrainMeter struct {
	interval atomic.Int64
	lastAt   atomic.Int64
	// since is when requests began to wait; 0 when none does.
	since atomic.Int64
}

const (
	// drainWeight is the number of answers that the interval spans.
	drainWeight = 64
	// drainMaxAge is how long a measured interval is believed.
	drainMaxAge = time.Second
)

// Answered records an answer at now; waiting tells whether requests wait.
func (d *DrainMeter) Answered(now time.Duration, waiting bool) {
	if !waiting {
		d.since.Store(0)
		return
	}
	last := d.lastAt.Swap(int64(now))
	if d.since.CompareAndSwap(0, max(1, int64(now))) {
		return
	}
	gap := max(0, int64(now)-last)
	if old := d.interval.Load(); old > 0 {
		d.interval.Add((gap - old) / drainWeight)
		return
	}
	d.interval.Store(gap)
}

// Interval returns the interval between two answers; 0 when it is not known.
func (d *DrainMeter) Interval(now time.Duration) time.Duration {
	if int64(now)-d.lastAt.Load() > int64(drainMaxAge) {
		return 0
	}
	return time.Duration(d.interval.Load())
}

// BacklogDuration returns for how long requests have waited without a break.
func (d *DrainMeter) BacklogDuration(now time.Duration) time.Duration {
	since := d.since.Load()
	if since == 0 {
		return 0
	}
	return now - time.Duration(since)
}
