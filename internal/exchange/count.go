package exchange

import (
	"fmt"
	"slices"

	"github.com/VictoriaMetrics/metrics"
	"google.golang.org/protobuf/proto"

	"bamboowood/internal/verdict"
)

type message = proto.Message

// Counters by reason, created at start so that counting takes no lock.
var (
	failures = reasonCounters("bamboowood_exchange_failures_total")
	refusals = reasonCounters("bamboowood_agent_refusals_total")

	lateAnswers = metrics.NewCounter("bamboowood_agent_late_answers_total")
	lostAnswers = metrics.NewCounter("bamboowood_agent_lost_answers_total")
	requests    = metrics.NewCounter("bamboowood_agent_requests_total")
)

func reasonCounters(name string) map[verdict.Reason]*metrics.Counter {
	counters := make(map[verdict.Reason]*metrics.Counter, len(verdict.Reasons))
	for _, reason := range verdict.Reasons {
		counters[reason] = metrics.GetOrCreateCounter(fmt.Sprintf(`%s{reason=%q}`, name, string(reason)))
	}
	return counters
}

func countFailure(err error) { failures[knownReason(verdict.ReasonOf(err), verdict.Internal)].Inc() }

// wireReason returns the reason with the name that a peer sent, or fallback when this
// version does not define it.
func wireReason(name string, fallback verdict.Reason) verdict.Reason {
	return knownReason(verdict.Reason(name), fallback)
}

func knownReason(reason, fallback verdict.Reason) verdict.Reason {
	if slices.Contains(verdict.Reasons, reason) {
		return reason
	}
	return fallback
}
