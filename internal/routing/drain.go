package routing

import (
	"sync/atomic"
	"time"
)

// DrainMeter measures how fast a queue drains: the moving average of the interval
// between answers while requests wait. The zero value is ready for use. It is
// safe for concurrent use. It is unrelated to the drain of a VM, zone or entry.
type DrainMeter struct {
	interval     atomic.Int64
	lastAnswerAt atomic.Int64
	// backlogSince is the time at which requests began to wait; 0 when none waits.
	backlogSince atomic.Int64
}

const (
	// drainWeight is the number of answers that the moving average spans.
	drainWeight = 64
	// drainMaxAge is the time after the last answer at which the interval expires.
	drainMaxAge = time.Second
)

// Answered records an answer at now; waiting is true if requests wait.
func (d *DrainMeter) Answered(now time.Duration, waiting bool) {
	if !waiting {
		d.backlogSince.Store(0)
		return
	}
	last := d.lastAnswerAt.Swap(int64(now))
	if d.backlogSince.CompareAndSwap(0, max(1, int64(now))) {
		return
	}
	gap := max(0, int64(now)-last)
	if old := d.interval.Load(); old > 0 {
		d.interval.Add((gap - old) / drainWeight)
		return
	}
	d.interval.Store(gap)
}

// Interval returns the mean interval between two answers; 0 if there is no recent
// measurement.
func (d *DrainMeter) Interval(now time.Duration) time.Duration {
	if int64(now)-d.lastAnswerAt.Load() > int64(drainMaxAge) {
		return 0
	}
	return time.Duration(d.interval.Load())
}

// BacklogDuration returns how long at least one request has been waiting without
// interruption.
func (d *DrainMeter) BacklogDuration(now time.Duration) time.Duration {
	since := d.backlogSince.Load()
	if since == 0 {
		return 0
	}
	return now - time.Duration(since)
}
