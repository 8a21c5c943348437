// Package link keeps the sessions between entries and agents: announcements,
// heartbeats, the spread of configuration, and the replacement of sessions that
// went silent. Entry is the entry's side, Agent the agent's.
package link

import (
	"math/rand/v2"
	"time"
)

// Durations of the sessions' supervision.
const (
	// HeartbeatInterval is the least time between two heartbeats of a session; an
	// entry with many sessions asks for a longer one, see intervalFor.
	HeartbeatInterval = time.Second
	// MaxHeartbeatInterval bounds what an entry asks for.
	MaxHeartbeatInterval = 10 * time.Second
	// AckTimeout is the time after which a heartbeat that is due or unanswered
	// means that the session is silent.
	AckTimeout = 1500 * time.Millisecond
	// SilentAfter is the longest that silence goes unnoticed by either end while
	// the interval is HeartbeatInterval.
	SilentAfter = HeartbeatInterval + AckTimeout
	// DropAfter is the time without a heartbeat after which an entry closes a
	// session.
	DropAfter = 30 * time.Second
	// RemoveAfter is the time without a heartbeat after which an entry no longer
	// shows an upstream.
	RemoveAfter = 60 * time.Second
	// DiscoverInterval is the longest time between two calls of an agent to a
	// seed address while heartbeats are HeartbeatInterval apart. The time starts
	// at minDiscoverInterval and doubles while a seed names no new entry.
	DiscoverInterval    = 15 * time.Second
	minDiscoverInterval = 500 * time.Millisecond
	// GiveUpAfter is the time of failed dials after which an agent drops an
	// address that no entry names.
	GiveUpAfter = 60 * time.Second

	// publishInterval is the least time between two snapshots of an entry.
	publishInterval = 5 * time.Millisecond
	// handshakeTimeout bounds the first message of a session or stream.
	handshakeTimeout = 5 * time.Second
	// flushTimeout bounds the wait for the entries' answers to the last
	// heartbeat of a leaving agent.
	flushTimeout = time.Second
	// lingerTimeout bounds how long requests may finish on a replaced session.
	lingerTimeout = 30 * time.Second
	// resendBeats is the number of heartbeats after which a configuration that
	// did not arrive is sent again.
	resendBeats = 3

	// beatSpacing is the mean time between two heartbeats that an entry takes
	// from all its sessions: it bounds what supervision costs an entry.
	beatSpacing = 5 * time.Millisecond

	minBackoff = 100 * time.Millisecond
	maxBackoff = 5 * time.Second
)

// intervalFor returns the heartbeat interval of an entry with so many sessions,
// in whole seconds so that it changes seldom.
func intervalFor(sessions int) time.Duration {
	interval := (time.Duration(sessions) * beatSpacing).Round(time.Second)
	return min(max(interval, HeartbeatInterval), MaxHeartbeatInterval)
}

// backoff is an exponential backoff with full jitter.
type backoff struct{ limit time.Duration }

// next returns the next delay, between minBackoff/2 and the present limit.
func (b *backoff) next() time.Duration {
	b.limit = min(max(2*b.limit, minBackoff), maxBackoff)
	return minBackoff/2 + rand.N(b.limit)
}

func (b *backoff) reset() { b.limit = 0 }

// jitter returns a duration within a tenth of d.
func jitter(d time.Duration) time.Duration { return d - d/10 + rand.N(d/5+1) }
