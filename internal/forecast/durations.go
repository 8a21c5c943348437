// Package forecast predicts how long tasks take and when capacity becomes free on runners. It has
// no clock: all times are arguments.
package forecast

import (
	"time"

	"github.com/hashicorp/golang-lru/v2/simplelru"
)

const (
	// maxKeys bounds the memory: a key takes at most about 3 KB.
	maxKeys = 1024
	// minWeight is the weight of finished tasks from which a key counts as learned. The tasks of one
	// step together have weight 1, because they take about the same time.
	minWeight = 6
	// maxWeight is the weight at which all earlier tasks are halved, so that a changed image is
	// followed within some hundred steps.
	maxWeight = 400
	// maxRatio bounds the ratio of a duration to its estimate, and 1/maxRatio bounds it from below.
	maxRatio = 256
)

// Key identifies the tasks whose durations are expected to err in the same way.
type Key struct{ Queue, Image string }

// Durations learns, by key, the durations of tasks relative to their estimates. The keys that were
// used least recently are forgotten. It is not safe for concurrent use.
type Durations struct {
	records *simplelru.LRU[Key, *record]
}

// NewDurations returns Durations without learned values.
func NewDurations() *Durations {
	records, err := simplelru.NewLRU[Key, *record](maxKeys, nil)
	if err != nil {
		panic(err) // only for a size below 1
	}
	return &Durations{records: records}
}

// Learn records a finished task. weight is 1 divided by the number of tasks of its step. Tasks
// without an estimate are ignored.
func (d *Durations) Learn(k Key, estimate, duration time.Duration, weight float64) {
	if estimate <= 0 || duration <= 0 || weight <= 0 {
		return
	}
	r, ok := d.records.Get(k)
	if !ok {
		r = newRecord()
		d.records.Add(k, r)
	}
	r.add(min(max(float64(duration)/float64(estimate), 1.0/maxRatio), maxRatio), weight)
}

// LearnCensored records a task that was stopped after elapsed, so that its duration is known to be longer. It
// counts as the longer known durations do, in proportion to their weights (Efron's redistribution to the
// right, which is the estimate of Kaplan and Meier); without any it is ignored.
func (d *Durations) LearnCensored(k Key, estimate, elapsed time.Duration, weight float64) {
	r, ok := d.records.Get(k)
	if !ok || estimate <= 0 || weight <= 0 {
		return
	}
	r.addBeyond(float64(elapsed)/float64(estimate), weight)
}

// Len returns the number of keys.
func (d *Durations) Len() int { return d.records.Len() }

// learned returns the record of a key, nil if too few tasks have finished.
func (d *Durations) learned(k Key) *record {
	r, ok := d.records.Get(k)
	if !ok || r.weight < minWeight {
		return nil
	}
	return r
}

// Expected returns the mean duration of a task. ok is false if the key is not learned.
func (d *Durations) Expected(k Key, estimate time.Duration) (mean time.Duration, ok bool) {
	r := d.learned(k)
	if r == nil {
		return 0, false
	}
	return scale(estimate, r.meanBeyond(0)), true
}

// Quantile returns the duration that a share q of the tasks does not exceed. ok is false if the key
// is not learned.
func (d *Durations) Quantile(k Key, estimate time.Duration, q float64) (duration time.Duration, ok bool) {
	r := d.learned(k)
	if r == nil {
		return 0, false
	}
	return scale(estimate, r.quantile(q)), true
}

// Remaining returns the mean remaining time of a task that has run for elapsed and still runs. ok is
// false if the key is not learned.
func (d *Durations) Remaining(k Key, estimate, elapsed time.Duration) (left time.Duration, ok bool) {
	r := d.learned(k)
	if r == nil || estimate <= 0 {
		return 0, false
	}
	ratio := max(float64(elapsed)/float64(estimate), 0)
	return scale(estimate, r.meanBeyond(ratio)-ratio), true
}

// minPercent is the progress from which extrapolating it is more accurate than an estimate.
const minPercent = 5

// RemainingByProgress extrapolates the progress of a task from one percentage to another within elapsed.
// ok is false if the progress is too small.
func RemainingByProgress(elapsed time.Duration, from, percent int) (left time.Duration, ok bool) {
	if percent-from < minPercent {
		return 0, false
	}
	return elapsed * time.Duration(max(100-percent, 0)) / time.Duration(percent-from), true
}

// maxScaled bounds results, so that sums of them do not overflow.
const maxScaled = 10 * 365 * 24 * time.Hour

func scale(estimate time.Duration, ratio float64) time.Duration {
	return time.Duration(min(float64(estimate)*ratio, float64(maxScaled)))
}
