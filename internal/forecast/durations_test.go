package forecast

import (
	"fmt"
	"testing"
	"time"

	"github.com/shoenig/test"
	"github.com/shoenig/test/must"
	"pgregory.net/rapid"
)

var key = Key{Queue: "q", Image: "i"}

// learnTail learns tasks of which 3 of 100 take 7 times as long, relative to estimates that are too low
// by factor.
func learnTail(d *Durations, estimate time.Duration, factor float64) {
	for i := range 300 {
		duration := factor * float64(estimate)
		if i%100 < 3 {
			duration *= 7
		}
		d.Learn(key, estimate, time.Duration(duration), 1)
	}
}

// A task that exceeds the usual duration must be expected to take the time of the tail, not to end at once.
func TestPattern_ThreeOfHundredTakeSevenTimesAsLong(t *testing.T) {
	d := NewDurations()
	learnTail(d, time.Second, 1.5)
	for _, c := range []struct{ elapsed, left time.Duration }{
		{0, 1770 * time.Millisecond},
		{time.Second, 770 * time.Millisecond},
		{2 * time.Second, 8500 * time.Millisecond},
		{10 * time.Second, 500 * time.Millisecond},
		{20 * time.Second, 10 * time.Second}, // longer than any known task
	} {
		left, ok := d.Remaining(key, time.Second, c.elapsed)
		must.True(t, ok)
		test.InDelta(t, c.left.Seconds(), left.Seconds(), 0.25, test.Sprint(c.elapsed))
	}
	mean, _ := d.Expected(key, 2*time.Second)
	test.InDelta(t, 3.54, mean.Seconds(), 0.1)
	median, _ := d.Quantile(key, 2*time.Second, 0.5)
	test.InDelta(t, 3, median.Seconds(), 0.07)
	tail, _ := d.Quantile(key, 2*time.Second, 0.99)
	test.InDelta(t, 21, tail.Seconds(), 0.5)
}

// Few tasks, or one step of many tasks, must not replace the estimates.
func TestDurations_FewTasksAreNotLearned(t *testing.T) {
	d := NewDurations()
	for range 1000 {
		d.Learn(key, time.Second, 3*time.Second, 1.0/1000)
	}
	for range minWeight - 2 {
		d.Learn(key, time.Second, 3*time.Second, 1)
	}
	_, ok := d.Expected(key, time.Second)
	test.False(t, ok)
	d.Learn(key, time.Second, 3*time.Second, 2)
	_, ok = d.Expected(key, time.Second)
	test.True(t, ok)
	_, ok = d.Expected(Key{Queue: "q"}, time.Second)
	test.False(t, ok)
}

// The durations of an image that has become slower must be followed.
func TestDurations_ChangedImage(t *testing.T) {
	d := NewDurations()
	for range 3 * maxWeight {
		d.Learn(key, time.Second, time.Second, 1)
	}
	for range 2 * maxWeight {
		d.Learn(key, time.Second, 4*time.Second, 1)
	}
	median, _ := d.Quantile(key, time.Second, 0.5)
	test.InDelta(t, 4, median.Seconds(), 0.1)
}

// Callers choose images: their number must not grow the memory.
func TestDurations_BoundedKeys(t *testing.T) {
	d := NewDurations()
	for i := range 3 * maxKeys {
		d.Learn(Key{Queue: "q", Image: fmt.Sprint(i)}, time.Second, time.Second, 1)
	}
	test.Eq(t, maxKeys, d.Len())
}

// For any durations, the expected end of a task that runs on must never move back, and the remaining time
// must not be negative; a regression would release capacity that is in use.
func TestDurations_ExpectedEndNeverMovesBack(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		d := NewDurations()
		for range rapid.IntRange(minWeight, 60).Draw(t, "tasks") {
			d.Learn(key, time.Second, time.Duration(rapid.Int64Range(1, int64(time.Hour)).Draw(t, "duration")), 1)
		}
		last := time.Duration(0)
		elapsed := time.Duration(0)
		for range 50 {
			left, ok := d.Remaining(key, time.Second, elapsed)
			must.True(t, ok)
			must.GreaterEq(t, 0, left)
			must.GreaterEq(t, last-time.Microsecond, elapsed+left)
			last = elapsed + left
			elapsed += time.Duration(rapid.Int64Range(0, int64(time.Minute)).Draw(t, "step"))
		}
	})
}

// A run that resumed from a checkpoint must not be extrapolated as if it had done all in its own time.
func TestRemainingByProgress(t *testing.T) {
	for _, c := range []struct {
		from, percent int
		left          time.Duration
		ok            bool
	}{{0, 4, 0, false}, {0, 40, 3 * time.Second, true}, {60, 64, 0, false}, {60, 80, 2 * time.Second, true}, {0, 120, 0, true}} {
		left, ok := RemainingByProgress(2*time.Second, c.from, c.percent)
		test.Eq(t, c.ok, ok)
		test.Eq(t, c.left, left)
	}
}
