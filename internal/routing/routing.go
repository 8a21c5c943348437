// Package routing decides which upstream gets a request, whether to admit it, when
// to retry it and which upstreams to eject. It has no goroutines, sockets or
// clock: time and state are arguments. All state that a decision reads is atomic,
// so that decisions may run concurrently.
//
// The reference service time, in which many options are stated, is the 25th
// percentile of the upstreams' mean service times.
package routing

import "time"

// Upstream is one VM that runs a service, from the view of an entry. Its fields are
// immutable once in a Snapshot, except those of Stats, which successive snapshots
// of the same incarnation share.
type Upstream struct {
	VM          string
	Zone        string
	Incarnation int64
	// Slots is the number of requests that the agent runs concurrently.
	Slots   int32
	Leaving bool
	// ZoneDrained is set while operators have drained the zone.
	ZoneDrained bool
	// Silent is set while no session to the agent responds.
	Silent bool

	*Stats
}

// Ready reports whether the upstream may get new requests.
func (u *Upstream) Ready() bool { return !u.Leaving && !u.ZoneDrained && !u.Silent && u.Slots > 0 }

// Snapshot is an immutable view of the upstreams of one service. It is safe for
// concurrent use.
type Snapshot struct {
	Service   string
	LocalZone string
	Upstreams []*Upstream
}

// Sample is the result of one try, for estimates and ejection.
type Sample struct {
	Now     time.Duration // monotonic
	Service time.Duration
	// Mean is the agent's own estimate of its service time; 0 if none.
	Mean   time.Duration
	Failed bool
	// Censored is set if the try was abandoned: Service is then a lower bound of the
	// service time.
	Censored bool
}
