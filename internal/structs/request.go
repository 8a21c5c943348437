package structs

import "time"

// Request is one service request to an upstream.
type Request struct {
	ID          string
	Service     string
	ContentType string
	Body        []byte
	// Deadline is the end of the agreed wait, on this process's clock.
	Deadline time.Time
	// Idempotent requests may be retried and hedged.
	Idempotent bool
	// Key is the caller's Idempotency-Key; "" if there is none.
	Key string
}

// Answer is the upstream's complete answer.
type Answer struct {
	RequestID   string        `json:"request_id"`
	Status      int           `json:"status"`
	ContentType string        `json:"content_type"`
	Body        []byte        `json:"body"`
	VM          string        `json:"vm"`
	ServiceTime time.Duration `json:"service_time"`
}

// Load is the load that an agent reports with each reply.
type Load struct {
	// InFlight is the number of slots in use; -1 when not reported.
	InFlight int32
	// ServiceTime is the time that the upstream took for this request; 0 if not
	// reported.
	ServiceTime time.Duration
	// MeanServiceTime is the agent's estimate of the service time over the recent
	// and the running requests of all entries; 0 if not reported.
	MeanServiceTime time.Duration
}

// UpstreamStatus is the status of one upstream, as an entry reports it to operators.
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
	// LeaseRemainingMS is the remaining lease validity that the agent last reported.
	LeaseRemainingMS int64 `json:"lease_remaining_ms"`
	// AgeMS is the time since the last heartbeat.
	AgeMS int64 `json:"age_ms"`
}

// EntryStatus is the status of one entry, as reported to other entries and operators.
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
	// BodyHash is the SHA-256 of the request's body, in hex. A repeated request with
	// a different body is refused.
	BodyHash string `json:"body_hash"`
	// State is ClaimRunning, ClaimDone or ClaimUnconfirmed (the request may have run).
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
