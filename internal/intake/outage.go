package intake

import (
	"sync"
	"time"
)

const (
	// minOutageRetryAfter is the least Retry-After, which is in whole seconds.
	minOutageRetryAfter = time.Second
	// maxOutageRetryAfter bounds the time for which a caller still waits after the outage.
	maxOutageRetryAfter = 8 * time.Second
	// outageGap is the time without a refusal after which a refusal begins another outage.
	outageGap = 5 * time.Second
)

// outage tracks for how long the store has turned submissions away. An outage is expected to last about as long
// again as it has lasted. With a constant delay of one second, callers use up their few retries within an outage
// of some seconds. They return in the order in which they were refused.
type outage struct {
	mu sync.Mutex
	// began is when the current outage began, refusedAt when a submission was refused last.
	began, refusedAt time.Duration
	active           bool
}

// refused records a refusal and returns the time after which the caller is to return.
func (o *outage) refused(now time.Duration) time.Duration {
	o.mu.Lock()
	defer o.mu.Unlock()
	if !o.active || now-o.refusedAt > outageGap {
		o.began, o.active = now, true
	}
	o.refusedAt = now
	return min(max(now-o.began, minOutageRetryAfter), maxOutageRetryAfter)
}

// ended records that a submission was stored.
func (o *outage) ended() {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.active = false
}
