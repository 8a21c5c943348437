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

// boundOfEnded returns the bound for a term whose leader had certainly ended at a time. Leaders of earlier terms may
// extend leases until the time in the last renewal.
func boundOfEnded(term ledger.Term, renewal ledger.Renewal, at time.Duration) grantsBound {
	if renewal.SentAt == 0 || renewal.Process != term.Process || renewal.EarlierGrantsUntil-renewal.SentAt > drifted(grantValidity) {
		return grantsBound{}
	}
	return grantsBound{clockOf(renewal, at).passed(renewal.EarlierGrantsUntil), true}
}

// end returns until when leaders of the terms before one that had begun at a time may extend leases.
func (b grantsBound) end(began time.Duration) time.Duration {
	until := began + grantValidity
	if b.known {
		until = min(until, b.until)
	}
	return until
}

// left returns for how long after now a lease may still be extended, rounded up to milliseconds, by leaders of
// the terms before one that had begun at a time.
func (b grantsBound) left(now, began time.Duration) time.Duration {
	return max(b.end(began)-now+time.Millisecond-1, 0).Truncate(time.Millisecond)
}

// leasesExpire returns when the leases have expired that leaders of the terms before one that had begun at a
// time extended. There is no allowance for drift if they are counted from the begin, as before: the last renewal
// of the earlier leader was sent before the election.
func (b grantsBound) leasesExpire(began, lease time.Duration) time.Duration {
	expire := began + grantValidity + lease + leaseMargin
	if b.known {
		expire = min(expire, b.until+drifted(lease)+leaseMargin)
	}
	return expire
}

// drifted returns by when a time has passed on any clock.
func drifted(d time.Duration) time.Duration { return d + time.Duration(float64(d)*leaseClockDrift) }
