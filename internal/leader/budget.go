package leader

import "time"

const (
	// startShare of the link may be used by starts; the rest is for renewals, leases and
	// what callers ask.
	startShare = 0.5
	// startBacklog is how long ordered starts may need on the link: they lapse soon, and
	// what is more urgent could not overtake them.
	startBacklog = 200 * time.Millisecond
	// orderBytes is what a start takes besides its payload.
	orderBytes = 100
)

// budget bounds the bytes of starts by what the link carries. The leadership's lock
// guards it.
type budget struct {
	// rate is what starts may use, in bytes a second; 0 means that there is no bound.
	rate float64
	// busyUntil is when the starts so far have been sent.
	busyUntil time.Duration
}

func newBudget(linkRate int64) budget { return budget{rate: startShare * float64(linkRate)} }

// left returns the bytes that may be ordered now.
func (b *budget) left(now time.Duration) (bytes int64, bounded bool) {
	if b.rate <= 0 {
		return 0, false
	}
	free := startBacklog - max(b.busyUntil-now, 0)
	return max(int64(free.Seconds()*b.rate), 0), true
}

func (b *budget) spend(now time.Duration, bytes int) {
	if b.rate > 0 {
		b.busyUntil = max(b.busyUntil, now) + time.Duration(float64(bytes)/b.rate*float64(time.Second))
	}
}
