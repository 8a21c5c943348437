package verdict

import (
	"fmt"

	"github.com/VictoriaMetrics/metrics"
)

// Event is the kind of event that is counted by reason.
type Event string

// Events that are counted by reason.
const (
	// Refusal is a request that was answered without an upstream's answer.
	Refusal Event = "refusals"
	// Retry is a further try of the same request.
	Retry Event = "retries"
	// Hedge is a further concurrent try or a probe of an idempotent request.
	Hedge Event = "hedges"
	// Ejection is the exclusion of a failing upstream from routing.
	Ejection Event = "ejections"
)

// Count adds one to bamboowood_{event}_total{reason="..."}. It is safe for
// concurrent use.
func Count(event Event, reason Reason) {
	name := fmt.Sprintf(`bamboowood_%s_total{reason=%q}`, string(event), string(reason))
	metrics.GetOrCreateCounter(name).Inc()
}
