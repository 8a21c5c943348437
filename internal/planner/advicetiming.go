package planner

import "time"

const (
	// adviceFactor and adviceSlack bound a request: it is given up after adviceFactor times its expected
	// duration and adviceSlack, since the service may still work on an earlier one that was given up.
	adviceFactor = 2
	adviceSlack  = 2 * time.Second
	// maxAdviceDelay bounds the expected duration of a request as far as it exceeds the queue's figures.
	maxAdviceDelay = 30 * time.Second
)

// adviceTiming learns how much longer the advice service takes than the queues' figures say. The zero value
// expects what they say.
type adviceTiming struct {
	// excess is the factor less 1.
	excess float64
}

// expected returns the expected duration of a request that takes figure by the queue's figures.
func (t *adviceTiming) expected(figure time.Duration) time.Duration {
	return time.Duration((1 + t.excess) * float64(figure))
}

// timeout returns after what time such a request is given up.
func (t *adviceTiming) timeout(figure time.Duration) time.Duration {
	return adviceFactor*t.expected(figure+adviceOverhead) + adviceSlack
}

// answered records that the answer to a request took some time. A longer time counts at once, a shorter one
// by half, so that a single late answer does not shorten requests for long.
func (t *adviceTiming) answered(figure, took time.Duration) {
	excess := t.excessOf(figure, took)
	t.excess = max(excess, (t.excess+excess)/2)
}

// givenUp records that a request had no answer within its timeout. Each one in a row gets at least twice as long
// as the one before it.
func (t *adviceTiming) givenUp(figure, waited time.Duration) {
	t.excess = max(t.excess, t.excessOf(figure, min(max(waited, 2*t.expected(figure)), maxAdviceDelay)))
}

func (t *adviceTiming) excessOf(figure, took time.Duration) float64 {
	return max(float64(took)/float64(figure+adviceOverhead)-1, 0)
}
