package recovery

import (
	"fmt"

	"github.com/VictoriaMetrics/metrics"
)

// requeueReason is the reason for which recovery requeued a task. It is a metric
// label and is recorded in the task's history.
type requeueReason string

const (
	reasonRevoked    requeueReason = "vm-lease-revoked"
	reasonReleased   requeueReason = "vm-released"
	reasonSuperseded requeueReason = "older-incarnation"
)

func counter(name, label, value string) *metrics.Counter {
	return metrics.GetOrCreateCounter(fmt.Sprintf(`bamboowood_%s{%s=%q}`, name, label, value))
}

func countPass(result string) { counter("recovery_passes_total", "result", result).Inc() }

func countRevocation(reason string) { counter("lease_revocations_total", "reason", reason).Inc() }

func countRequeues(reason requeueReason, n int) {
	counter("task_requeues_total", "reason", string(reason)).Add(n)
}
