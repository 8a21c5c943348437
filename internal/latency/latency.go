// Package latency tells from rough measurements how long a task has been over its latency target.
package latency

import "time"

const (
	// clearShare is the share of the target up to which one measurement shows that the task is
	// below its target. Measurements differ by up to a tenth from the true latency.
	clearShare = 0.91
	// belowTime is the time after which measurements between clearShare and the target, or without a
	// figure, show the same.
	belowTime = 1500 * time.Millisecond
)

// Watch tracks one task. Its zero value is a task without measurements. Times are of one clock that
// starts above 0.
type Watch struct {
	// overSince is the time of the first measurement since which the task may have been over its
	// target all the time; 0 if it is below.
	overSince time.Duration
	// belowSince is the time of the first of the latest measurements below the target; 0 if the
	// last one was not.
	belowSince time.Duration
}

// Observe adds a measurement of the tail latency at the time now; a latency of 0 or less is a
// measurement without a figure.
func (w *Watch) Observe(now, tail, target time.Duration) {
	switch {
	case tail >= target:
		w.belowSince = 0
		if w.overSince == 0 {
			w.overSince = now
		}
	case tail > 0 && float64(tail) <= clearShare*float64(target):
		w.belowSince, w.overSince = now, 0
	default:
		if w.belowSince == 0 {
			w.belowSince = now
		}
		if now-w.belowSince >= belowTime {
			w.overSince = 0
		}
	}
}

// Over returns how long the task may have been over its target without interruption; 0 if it is
// below. It grows while there are no measurements.
func (w *Watch) Over(now time.Duration) time.Duration {
	if w.overSince == 0 {
		return 0
	}
	return now - w.overSince
}
