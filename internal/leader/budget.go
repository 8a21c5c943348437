package leader

import "time"

const (
	// startShare is the share of the link's rate that starts may use. The rest is for term
	// renewals, leases and requests of callers.
	startShare = 0.5
	// startBacklog bounds the time that ordered starts may take to send: starts expire soon,
	// and a more urgent start cannot overtake those already ordered.
	startBacklog = 200 * time.Millisecond
	// startOverheadBytes is the size of a start without its payload.
	startOverheadBytes = 100
)

// budget limits the bytes of starts to the rate of the link. It is guarded by the
// leadership's lock.
type budget struct {
	// rate is the rate for starts, in bytes per second; 0 means no limit.
	rate float64
	// busyUntil is when all starts ordered so far will have been sent.
	busyUntil time.Duration
}

func newBudget(linkRate int64) budget { return budget{rate: startShare * float64(linkRate)} }

// remaining returns how many bytes of starts may be ordered now. bounded is false without a
// limit.
func (b *budget) remaining(now time.Duration) (bytes int64, bounded bool) {
	if b.rate <= 0 {
		return 0, false
	}
	backlogLeft := startBacklog - max(b.busyUntil-now, 0)
	return max(int64(backlogLeft.Seconds()*b.rate), 0), true
}

func (b *budget) spend(now time.Duration, bytes int) {
	if b.rate > 0 {
		b.busyUntil = max(b.busyUntil, now) + time.Duration(float64(bytes)/b.rate*float64(time.Second))
	}
}
