// Package ingress bounds the memory and the connections that unknown clients can take of a process:
// the bodies and decoded requests of callers, the connections of each listener, and the messages of
// peers that have not been authenticated.
package ingress

import (
	"cmp"
	"slices"
	"time"
)

const (
	// smallBody is the largest grant of a small body. Only small bodies get the last quarter of an
	// account, so that bodies of ordinary callers, of a few KiB, are admitted beside large ones.
	smallBody = 32 << 10
	// evictableAge is the age at which an incomplete body may be closed for the sake of others.
	// Bodies of ordinary callers are complete within milliseconds.
	evictableAge = 250 * time.Millisecond
)

// Account decides which bodies are held in memory. It has no clock and is not safe for concurrent use.
// The sum of all grants never exceeds its limit.
type Account struct {
	limit, used int64
	grants      map[*Grant]struct{}
}

// Grant is the memory that is granted to one body and what is made of it.
type Grant struct {
	bytes    int64
	received int64
	since    time.Time
	complete bool
	evicted  bool
	// interrupt ends a pending read of the body.
	interrupt func()
}

// NewAccount returns an account with a limit in bytes.
func NewAccount(limit int64) *Account {
	return &Account{limit: limit, grants: map[*Grant]struct{}{}}
}

// Open grants n bytes to a new body. It returns nil if these are not free.
func (a *Account) Open(now time.Time, n int64, interrupt func()) *Grant {
	g := &Grant{since: now, interrupt: interrupt}
	if !a.fits(0, n) {
		return nil
	}
	g.bytes = n
	a.used += n
	a.grants[g] = struct{}{}
	return g
}

// Grow raises a grant to n bytes. It returns false, and grants nothing, if these are not free or the
// body has been evicted.
func (a *Account) Grow(g *Grant, n int64) bool {
	if n <= g.bytes {
		return !g.evicted
	}
	if g.evicted || !a.open(g) || !a.fits(g.bytes, n) {
		return false
	}
	a.used += n - g.bytes
	g.bytes = n
	return true
}

// fits reports whether a grant may change from before to after bytes.
func (a *Account) fits(before, after int64) bool {
	limit := a.limit
	if after > smallBody && a.used > before {
		limit -= a.limit / 4
	}
	return a.used-before+after <= limit
}

// Received records that the body has n bytes so far.
func (a *Account) Received(g *Grant, n int64) { g.received = n }

// Complete records that the body has been received, after which it is not evicted. It returns false
// if it has been evicted before.
func (a *Account) Complete(g *Grant) bool {
	g.complete = !g.evicted
	return g.complete
}

// Close frees the memory of a grant. A second call has no effect.
func (a *Account) Close(g *Grant) {
	if a.open(g) {
		a.used -= g.bytes
		delete(a.grants, g)
	}
}

func (a *Account) open(g *Grant) bool {
	_, found := a.grants[g]
	return found
}

// Evict chooses incomplete bodies that are to be closed so that n bytes become free: the slowest
// first, and of equally slow ones the largest. Their memory is free once they are closed. It
// returns none if that would not be enough. Bodies that have been chosen before count as free.
func (a *Account) Evict(now time.Time, n int64) []*Grant {
	limit := a.limit
	if n > smallBody {
		limit -= a.limit / 4
	}
	missing := a.used + n - limit
	var candidates []*Grant
	for g := range a.grants {
		switch {
		case g.evicted:
			missing -= g.bytes
		case !g.complete && now.Sub(g.since) >= evictableAge:
			candidates = append(candidates, g)
		}
	}
	slices.SortFunc(candidates, func(x, y *Grant) int {
		return cmp.Or(cmp.Compare(x.rate(now), y.rate(now)), cmp.Compare(y.bytes, x.bytes))
	})
	var chosen []*Grant
	for _, g := range candidates {
		if missing <= 0 {
			break
		}
		missing -= g.bytes
		chosen = append(chosen, g)
	}
	if missing > 0 {
		return nil
	}
	for _, g := range chosen {
		g.evicted = true
	}
	return chosen
}

// Evicting reports whether memory of evicted bodies is about to become free.
func (a *Account) Evicting() bool {
	for g := range a.grants {
		if g.evicted {
			return true
		}
	}
	return false
}

// rate is the rate at which a body has been received, in KiB per second. Whole units make bodies that
// have stopped equally slow.
func (g *Grant) rate(now time.Time) int64 {
	return int64(float64(g.received>>10) / max(now.Sub(g.since).Seconds(), 1e-3))
}
