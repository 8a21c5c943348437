// Package lease computes, from monotonic clocks only, how long a holder may use a
// lease and when an observer may revoke it. Wall clocks of different machines are
// never compared.
package lease

import "time"

// DriftPercent is the largest drift of a VM's clock, in percent of its rate, that
// the margins allow for.
const DriftPercent = 1

// Holder tracks the validity of one lease on the holder's side. It is not safe for
// concurrent use.
type Holder struct {
	duration time.Duration
	validTo  time.Duration // monotonic
}

// NewHolder returns a Holder without a valid lease.
func NewHolder(duration time.Duration) *Holder { return &Holder{duration: duration} }

// Renewed records a confirmed renewal that was sent at sent (monotonic, read before
// sending).
func (h *Holder) Renewed(sent time.Duration) { h.validTo = max(h.validTo, sent+h.duration) }

// ValidTo returns the end of the lease's validity (monotonic).
func (h *Holder) ValidTo() time.Duration { return h.validTo }

// Remaining returns how long the lease is still valid at now. It is 0 or negative
// when the lease has expired.
func (h *Holder) Remaining(now time.Duration) time.Duration { return h.validTo - now }

// Observer detects the expiry of a lease by watching its row. It is not safe for
// concurrent use.
type Observer struct {
	version    int64
	unchanged  time.Duration // time at this version during which the table answered
	lastAnswer time.Duration
	seen       bool
}

// Observe records that the table answered at now with the row at version. It
// returns how long the row has been unchanged while the table kept answering. A gap
// between two answers that is longer than maxGap does not count.
func (o *Observer) Observe(now time.Duration, version int64, maxGap time.Duration) time.Duration {
	if !o.seen || version != o.version {
		*o = Observer{version: version, lastAnswer: now, seen: true}
		return 0
	}
	if gap := now - o.lastAnswer; gap <= maxGap {
		o.unchanged += gap
	}
	o.lastAnswer = now
	return o.unchanged
}

// UnchangedFor returns the result of the last Observe.
func (o *Observer) UnchangedFor() time.Duration { return o.unchanged }

// RevokeAfter returns how long a row must be unchanged before its lease may be
// revoked: the duration measured by a holder's clock that is slow by DriftPercent,
// as seen by an observer's clock that is fast by DriftPercent, plus margin.
func RevokeAfter(duration, margin time.Duration) time.Duration {
	return duration*(100+DriftPercent)/(100-DriftPercent) + margin
}
