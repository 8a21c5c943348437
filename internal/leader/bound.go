package leader

import (
	"time"

	"bamboowood/internal/ledger"
)

// leaseClockDrift bounds by how much the clocks by which leaders and agents measure grants and leases gain on
// each other, relative to the time measured.
const leaseClockDrift = 0.04

// grantsBound is until when leaders of earlier terms may extend the leases of agents, on this process's clock
// and without drift. A lease counts from the reading of the agent's clock in the heartbeat that it answers, so
// that a grant which is still in flight then extends no lease beyond that.
type grantsBound struct {
	until time.Duration
	known bool
}

// boundOfResigned returns the bound for a term that had been resigned at a time. Its leader extends no lease
// after it has resigned; those of earlier terms may, if they have lost the store.
func boundOfResigned(term ledger.Term, at time.Duration) grantsBound {
	left := term.EarlierGrantsMillis
	if !term.Resigned || left == nil || *left < 0 || *left > drifted(grantValidity).Milliseconds() {
		return grantsBound{}
	}
	return grantsBound{at + time.Duration(*left)*time.Millisecond, true}
}

// boundOfUnrenewed returns the bound for a term whose renewal has not changed since a time. Its last renewal was
// sent before that, as were those of all earlier terms.
func boundOfUnrenewed(term ledger.Term, since time.Duration) grantsBound {
	if term.Unreadable {
		return grantsBound{}
	}
	return grantsBound{since + drifted(grantValidity), true}
}

// boundAtBegin returns the bound for any term that begins at a time or has begun before it.
func boundAtBegin(at time.Duration) grantsBound {
	return grantsBound{at + drifted(grantValidity), true}
}

// or returns the earlier of two bounds.
func (b grantsBound) or(other grantsBound) grantsBound {
	if !b.known || other.known && other.until < b.until {
		return other
	}
	return b
}

// left returns for how long after now a lease may still be extended, rounded up to milliseconds.
func (b grantsBound) left(now time.Duration) time.Duration {
	return max(b.until-now+time.Millisecond-1, 0).Truncate(time.Millisecond)
}

// leasesExpire returns when the leases have expired that earlier leaders extended.
func (b grantsBound) leasesExpire(lease time.Duration) time.Duration {
	return b.until + drifted(lease) + leaseMargin
}

// drifted returns by when a time has passed on any clock.
func drifted(d time.Duration) time.Duration { return d + time.Duration(float64(d)*leaseClockDrift) }
