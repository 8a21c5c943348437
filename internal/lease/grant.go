package lease

import "time"

// Grant computes the lease durations of tasks on the holder's worker such that no task
// outlives the holder's own lease, however late an extension reaches the worker.
//
// An extension affects only tasks that still run when it arrives, so it takes
// effect no later than the expiry of the previous grants. An extension by at most
// validTo minus that expiry therefore ends within the holder's lease. Calls are
// made one at a time, and a confirmed call supersedes earlier ones. A Grant is not
// safe for concurrent use.
type Grant struct {
	maxGrant time.Duration // longest single grant
	// earliestExpiry is the time until which every running task certainly holds a
	// lease; latestExpiry is the time by which every granted lease has expired.
	// Both are monotonic.
	earliestExpiry, latestExpiry time.Duration
}

const (
	// grantDivisor limits a single grant to duration/grantDivisor.
	grantDivisor = 3
	// dueDivisor: an extension is due when a task may have less than
	// duration/dueDivisor of its lease left.
	dueDivisor = 4
)

// NewGrant returns a Grant for a lease of the given duration.
func NewGrant(duration time.Duration) *Grant { return &Grant{maxGrant: duration / grantDivisor} }

// First returns the lease duration for a task whose start reaches the worker within bound
// from now. It is 0 or negative when the holder's lease is too short for a start.
func (g *Grant) First(now, validTo, bound time.Duration) time.Duration {
	return min(g.maxGrant, shortenForDrift(validTo-now-bound))
}

// Extension returns the duration by which to extend the leases of running tasks at now.
// The second result reports whether an extension is due and makes the leases longer.
func (g *Grant) Extension(now, validTo time.Duration) (time.Duration, bool) {
	next := min(g.maxGrant, shortenForDrift(validTo-max(g.latestExpiry, now)))
	due := g.earliestExpiry-now < g.maxGrant*grantDivisor/dueDivisor
	return next, due && next > 0 && now+next > g.earliestExpiry
}

// Sent records an extension by the given duration. It must be called before the
// extension is sent to the worker.
func (g *Grant) Sent(now, duration time.Duration) {
	g.latestExpiry = max(g.latestExpiry, now) + lengthenForDrift(duration)
}

// Refused undoes Sent for an extension that certainly had no effect.
func (g *Grant) Refused(duration time.Duration) { g.latestExpiry -= lengthenForDrift(duration) }

// Confirmed records that the extension sent at sent was confirmed at now.
func (g *Grant) Confirmed(sent, now, duration time.Duration) {
	g.earliestExpiry = sent + duration
	g.latestExpiry = now + lengthenForDrift(duration)
}

// Started records that the start sent at sent was confirmed at now.
func (g *Grant) Started(sent, now, duration time.Duration) {
	if g.earliestExpiry <= sent || sent+duration < g.earliestExpiry {
		g.earliestExpiry = sent + duration
	}
	g.latestExpiry = max(g.latestExpiry, now+lengthenForDrift(duration))
}

// LatestExpiry returns the time by which every granted lease has expired.
func (g *Grant) LatestExpiry() time.Duration { return g.latestExpiry }

// shortenForDrift returns the duration to send for d, so that the receiver's clock, slow
// by up to 2*DriftPercent relative to the sender's, measures it in at most d of the
// sender's time. lengthenForDrift is its inverse.
func shortenForDrift(d time.Duration) time.Duration  { return d * (100 - 2*DriftPercent) / 100 }
func lengthenForDrift(d time.Duration) time.Duration { return d * 100 / (100 - 2*DriftPercent) }
