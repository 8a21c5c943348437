package structs

import "time"

// Request is one counter request on its way to an upstream.
type Request struct {
	ID          string
	Service     string
	ContentType string
	Body        []byte
	// Deadline is the end of the agreed wait, by this process's clock.
	Deadline time.Time
	// Idempotent requests may be tried again and hedged.
	Idempotent bool
	// Key is the caller's Idempotency-Key, or "".
	Key string
}

// Answer is the upstream's whole answer.
type Answer struct {
	RequestID   string        `json:"request_id"`
	Status      int           `json:"status"`
	ContentType string        `json:"content_type"`
	Body        []byte        `json:"body"`
	VM          string        `json:"vm"`
	ServiceTime time.Duration `json:"service_time"`
}

// Load is what an agent says of its slots with each reply.
type Load struct {
	// InFlight is the number of slots in use; -1 when not reported.
	InFlight int32
	// ServiceTime is the upstream's own time for this request; 0 if none.
	ServiceTime time.Duration
	// MeanServiceTime is the agent's estimate over all entries' recent requests
	// and those still running; 0 if none.
	MeanServiceTime time.Duration
}

// UpstreamStatus is what an entry says of one upstream to operators.
type UpstreamStatus struct {
	VM             string   `json:"vm"`
	Zone           string   `json:"zone"`
	Rack           string   `json:"rack"`
	Services       []string `json:"services"`
	Incarnation    int64    `json:"incarnation"`
	Slots          int      `json:"slots"`
	InFlight       int      `json:"in_flight"`
	ServiceMicros  int64    `json:"service_micros"`
	State          string   `json:"state"` // ready, leaving, silent, ejected, zone-out
	ControlVersion int64    `json:"control_version"`
	// LeaseRemainingMS is what the agent last reported.
	LeaseRemainingMS int64 `json:"lease_remaining_ms"`
	// AgeMS is the time since the last heartbeat.
	AgeMS int64 `json:"age_ms"`
}

// EntryStatus is one entry as another entry or an operator sees it.
type EntryStatus struct {
	Address        string `json:"address"`
	Zone           string `json:"zone"`
	Sessions       int    `json:"sessions"`
	Scheduling     bool   `json:"scheduling"`
	ControlVersion int64  `json:"control_version"`
}

// Claim is the row "claim/{service}/{key}" of one Idempotency-Key.
type Claim struct {
	RequestID string `json:"request_id"`
	// BodyHash is the SHA-256 of the request's body, hex: a repeat with another
	// body is refused.
	BodyHash string `json:"body_hash"`
	// State is running, done or doubtful.
	State  ClaimState `json:"state"`
	Answer *Answer    `json:"answer,omitempty"`
}

// ClaimState is the state of a Claim.
type ClaimState string

// States of a claim.
const (
	ClaimRunning     ClaimState = "running"
	ClaimDone        ClaimState = "done"
	ClaimUnconfirmed ClaimState = "doubtful"
)
