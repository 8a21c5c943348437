// Package link maintains the sessions between entries and agents: announcements,
// heartbeats, the distribution of configuration, and the replacement of sessions that
// went silent. Entry is the entry's side, Agent the agent's.
package link

import (
	"math/rand/v2"
	"time"
)

// Intervals and timeouts of sessions.
const (
	// HeartbeatInterval is the default interval of an agent's periodic heartbeats and the
	// shortest one that an entry may request. An entry with many sessions requests a longer
	// one, see intervalFor. Changes are reported at once.
	HeartbeatInterval = time.Second
	// MaxHeartbeatInterval is the longest interval that an entry requests.
	MaxHeartbeatInterval = 10 * time.Second
	// AckTimeout is how long a heartbeat may be overdue or unanswered before the session
	// counts as silent.
	AckTimeout = 1500 * time.Millisecond
	// SilentAfter is the longest time in which either end detects a silent session while
	// the interval is HeartbeatInterval.
	SilentAfter = HeartbeatInterval + AckTimeout
	// DropAfter is the time without a heartbeat after which an entry closes a
	// session.
	DropAfter = 30 * time.Second
	// RemoveAfter is the time without a heartbeat after which an entry removes an
	// upstream from its snapshots and status.
	RemoveAfter = 60 * time.Second
	// DiscoverInterval is the longest time between two discovery requests of an agent to a
	// seed address while heartbeats are HeartbeatInterval apart. The interval starts at
	// minDiscoverInterval and doubles while discovery finds no new entry.
	DiscoverInterval    = 15 * time.Second
	minDiscoverInterval = 500 * time.Millisecond
	// GiveUpAfter is how long dials to an address must fail before an agent stops dialing
	// it, unless an entry lists the address.
	GiveUpAfter = 60 * time.Second

	// publishInterval is the shortest time between two publications of snapshots.
	publishInterval = 5 * time.Millisecond
	// handshakeTimeout bounds the wait for the first message of a session or stream.
	handshakeTimeout = 5 * time.Second
	// flushTimeout bounds the wait for the entries' acknowledgements of a leaving agent's
	// last heartbeat.
	flushTimeout = time.Second
	// lingerTimeout bounds how long a replaced session stays open for its requests.
	lingerTimeout = 30 * time.Second
	// resendHeartbeats is the number of heartbeats after which an unconfirmed
	// configuration is sent again.
	resendHeartbeats = 3

	// heartbeatSpacing is the mean time between two heartbeats that an entry receives
	// over all its sessions. It bounds the cost of heartbeats for an entry.
	heartbeatSpacing = 5 * time.Millisecond

	minBackoff = 100 * time.Millisecond
	maxBackoff = 5 * time.Second
)

// intervalFor returns the heartbeat interval of an entry with the number of sessions,
// in whole seconds so that it rarely changes.
func intervalFor(sessions int) time.Duration {
	interval := (time.Duration(sessions) * heartbeatSpacing).Round(time.Second)
	return min(max(interval, HeartbeatInterval), MaxHeartbeatInterval)
}

// backoff is an exponential backoff with full jitter.
type backoff struct{ limit time.Duration }

// next doubles the limit and returns minBackoff/2 plus a random part of the limit.
func (b *backoff) next() time.Duration {
	b.limit = min(max(2*b.limit, minBackoff), maxBackoff)
	return minBackoff/2 + rand.N(b.limit)
}

func (b *backoff) reset() { b.limit = 0 }

// jitter returns d changed at random by at most a tenth.
func jitter(d time.Duration) time.Duration { return d - d/10 + rand.N(d/5+1) }
