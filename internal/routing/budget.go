package routing

import "sync/atomic"

// RetryBudget is a token bucket that limits retries and hedges to a share of the
// first tries. The zero value has no tokens. It is safe for concurrent use.
type RetryBudget struct {
	milli atomic.Int64
}

// tokenMilli is the cost of one try in thousandths of a token.
const tokenMilli = 1000

// Earn adds share tokens for a first try unless the budget already has burst
// tokens.
func (b *RetryBudget) Earn(share float64, burst int) {
	limit := int64(burst) * tokenMilli
	if b.milli.Load() < limit {
		b.milli.Add(int64(share * tokenMilli))
	}
}

// Spend takes one token if at least reserve tokens remain afterwards, and reports
// whether it took one.
func (b *RetryBudget) Spend(reserve int) bool {
	for {
		n := b.milli.Load()
		if n < int64(reserve+1)*tokenMilli {
			return false
		}
		if b.milli.CompareAndSwap(n, n-tokenMilli) {
			return true
		}
	}
}
