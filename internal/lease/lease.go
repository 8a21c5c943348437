// Package lease decides, from monotonic clocks only, how long a holder may use a
// lease and when an observer may revoke it. No wall clock of two machines is
// compared.
package lease

import "time"

// DriftPercent is the greatest difference in rate between two VMs' clocks that
// the margins allow for.
const DriftPercent = 1

// Holder is the holder's side of one VM lease.
type Holder struct {
	duration time.Duration
	validTo  time.Duration // monotonic
}

// NewHolder returns a Holder without a valid lease.
func NewHolder(duration time.Duration) *Holder { return &Holder{duration: duration} }

// Renewed records a renewal that was sent at sent (monotonic, read before
// sending) and confirmed.
func (h *Holder) Renewed(sent time.Duration) { h.validTo = max(h.validTo, sent+h.duration) }

// ValidTo returns the end of the lease's validity (monotonic).
func (h *Holder) ValidTo() time.Duration { return h.validTo }

// Remaining returns how long the lease is still valid at now; at most 0 when it
// has lapsed.
func (h *Holder) Remaining(now time.Duration) time.Duration { return h.validTo - now }

// Observer is the side that watches one lease row for a lapse.
type Observer struct {
	version  int64
	observed time.Duration // answered time at this version
	lastAt   time.Duration
	seen     bool
}

// Observe records that the table answered at now with the row at version, and
// returns for how long the row has stood at that version while the table kept
// answering. maxGap is the longest time between two answers that counts as
// answering; a longer gap does not count.
func (o *Observer) Observe(now time.Duration, version int64, maxGap time.Duration) time.Duration {
	if !o.seen || version != o.version {
		*o = Observer{version: version, lastAt: now, seen: true}
		return 0
	}
	if gap := now - o.lastAt; gap <= maxGap {
		o.observed += gap
	}
	o.lastAt = now
	return o.observed
}

// UnchangedFor returns what the last Observe returned.
func (o *Observer) UnchangedFor() time.Duration { return o.observed }

// RevokeAfter returns how long a row must stand still before its lease may be
// revoked: the duration by a holder's clock that is slow by the drift, seen by
// an observer's that is fast by it, and margin.
func RevokeAfter(duration, margin time.Duration) time.Duration {
	return duration*(100+DriftPercent)/(100-DriftPercent) + margin
}
