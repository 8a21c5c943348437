package intake

import (
	"testing"
	"time"

	"github.com/shoenig/test"
)

// The store turns all submissions away for 9 s. Guards against callers that use up their four retries
// before the outage ends.
func TestPattern_OutageOutlastsRetries(t *testing.T) {
	const outageDuration, retries, interval = 9 * time.Second, 4, 300 * time.Millisecond
	var o outage
	attempts := map[time.Duration]int{}
	waiting := map[time.Duration][]time.Duration{} // first attempts by the time of the next one
	for now := time.Duration(0); now < outageDuration; now += interval {
		for _, first := range append(waiting[now], now) {
			after := o.refused(now)
			attempts[first]++
			next := (now + after + interval - 1) / interval * interval
			waiting[next] = append(waiting[next], first)
		}
	}
	for first, n := range attempts {
		test.LessEq(t, retries, n, test.Sprintf("refusals of a caller that came first at %s", first))
	}
	for next := range waiting {
		test.Less(t, 2*outageDuration, next, test.Sprint("the last callers return soon after the outage"))
	}
}

func TestOutage_RetryAfter(t *testing.T) {
	var o outage
	test.Eq(t, minOutageRetryAfter, o.refused(100*time.Second))
	test.Eq(t, 3*time.Second, o.refused(103*time.Second))
	test.Eq(t, 7*time.Second, o.refused(107*time.Second))
	test.Eq(t, maxOutageRetryAfter, o.refused(111*time.Second))
	test.Eq(t, minOutageRetryAfter, o.refused(117*time.Second), test.Sprint("another outage"))
	test.Eq(t, 2*time.Second, o.refused(119*time.Second))
	o.ended()
	test.Eq(t, minOutageRetryAfter, o.refused(120*time.Second))
}
