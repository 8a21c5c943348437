// Package routing decides which upstream gets a request, whether to admit it,
// when to try again and which upstreams to eject. It has no goroutine, socket
// or clock: time and state are arguments. All state is in atomics, so that any
// number of goroutines may decide at once.
package routing

import "time"

// Upstream is one VM that runs a service, as an entry sees it. The fields above
// the line are immutable once in a Snapshot; Stats is shared between
// successive snapshots of the same incarnation.
type Upstream struct {
	VM          string
	Zone        string
	Incarnation int64
	// Slots is the number of requests that the agent admits at once.
	Slots   int32
	Leaving bool
	// ZoneDrained is set while operators have the zone taken out.
	ZoneDrained bool
	// Silent is set while no session to the agent answers.
	Silent bool

	*Stats
}

// Ready reports whether the upstream may get new requests at all.
func (u *Upstream) Ready() bool { return !u.Leaving && !u.ZoneDrained && !u.Silent && u.Slots > 0 }

// Snapshot is an immutable view of the upstreams of one service, read by many
// goroutines through an atomic.Pointer.
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
	// Censored is set when the try was given up: the service time would have
	// been at least Service.
	Censored bool
}
