package ingress

import (
	"fmt"
	"sync"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/apex/log"
	"golang.org/x/time/rate"
)

// Reason says why something of a client was refused or closed.
type Reason string

// The reasons.
const (
	// BodyMemory: a body, or its decoded form, has no room in memory.
	BodyMemory Reason = "body-memory"
	// BodyEvicted: an incomplete body was closed to make room.
	BodyEvicted Reason = "body-evicted"
	// BodyStalled: a body made no progress.
	BodyStalled Reason = "body-stalled"
	// Connections: a listener has as many connections as it may, all with a request in progress.
	Connections Reason = "connections"
	// ConnectionEvicted: a connection without a request in progress was closed to make room.
	ConnectionEvicted Reason = "connection-evicted"
	// AcceptFailed: a connection could not be accepted; the process may lack descriptors.
	AcceptFailed Reason = "accept-failed"
	// ResponseUnread: a client did not read its response in time.
	ResponseUnread Reason = "response-unread"
	// PeerMemory: a peer's messages have no room in memory.
	PeerMemory Reason = "peer-memory"
	// PeerInvalid: a session of a peer ended with an error before its first valid message.
	PeerInvalid Reason = "peer-invalid"
)

// Report counts refusals by reason, and logs at most one line a second for each. A nil Report only
// counts.
type Report struct {
	logger log.Interface
	mu     sync.Mutex
	limits map[Reason]*rate.Sometimes
}

// NewReport returns a Report that logs to logger.
func NewReport(logger log.Interface) *Report {
	return &Report{logger: logger, limits: map[Reason]*rate.Sometimes{}}
}

// Refused counts one refusal. where names the listener or the peer.
func (r *Report) Refused(reason Reason, where string, err error) {
	metrics.GetOrCreateCounter(fmt.Sprintf(`bamboowood_ingress_refused_total{reason=%q}`, string(reason))).Inc()
	if r == nil {
		return
	}
	r.mu.Lock()
	sometimes := r.limits[reason]
	if sometimes == nil {
		sometimes = &rate.Sometimes{Interval: time.Second}
		r.limits[reason] = sometimes
	}
	r.mu.Unlock()
	sometimes.Do(func() {
		entry := r.logger.WithFields(log.Fields{"reason": string(reason), "at": where})
		if err != nil {
			entry = entry.WithError(err)
		}
		entry.Warn("client refused or closed")
	})
}
