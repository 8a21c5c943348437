package routing

import "sync/atomic"

// RetryBudget bounds retries and hedges to a share of the first tries. The zero
// value has no tokens.
type RetryBudget struct {
	milli atomic.Int64
}

// tokenMilli is one try.
const tokenMilli = 1000

// Earn adds share tokens for a first try, up to burst tokens.
func (b *RetryBudget) Earn(share float64, burst int) {
	limit := int64(burst) * tokenMilli
	if b.milli.Load() < limit {
		b.milli.Add(int64(share * tokenMilli))
	}
}

// Spend takes one token if more than reserve would remain, and reports whether
// it did.
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
