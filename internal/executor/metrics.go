package executor

import (
	"fmt"

	"github.com/VictoriaMetrics/metrics"
)

// requeueReason is the reason for which the VM's agent requeued a task. It is a
// metric label and is recorded in the task's history.
type requeueReason string

const (
	requeueStartLate        requeueReason = "start-bound-exceeded"
	requeueStartFailed      requeueReason = "worker-refused-start"
	requeueZoneDrained      requeueReason = "zone-out"
	requeueDraining         requeueReason = "vm-draining"
	requeueNotRunning       requeueReason = "not-running-on-worker"
	requeueLeaseExpired     requeueReason = "lease-lapsed"
	requeueOlderIncarnation requeueReason = "older-incarnation"
	requeueReleased         requeueReason = "vm-released"
)

func count(name, label, value string) {
	metrics.GetOrCreateCounter(fmt.Sprintf(`bamboowood_%s{%s=%q}`, name, label, value)).Inc()
}

func countRequeue(reason requeueReason) { count("task_requeues_total", "reason", string(reason)) }

func countTableCall(relayed bool, result string) {
	path := "direct"
	if relayed {
		path = "relay"
	}
	metrics.GetOrCreateCounter(fmt.Sprintf(`bamboowood_agent_table_calls_total{path=%q,result=%q}`, path, result)).Inc()
}

// gauges are the gauges of one VM.
type gauges struct {
	leaseRemaining *metrics.Gauge
	running        *metrics.Gauge
}

func newGauges(vm string) gauges {
	gauge := func(name string) *metrics.Gauge {
		return metrics.GetOrCreateGauge(fmt.Sprintf(`bamboowood_%s{vm=%q}`, name, vm), nil)
	}
	return gauges{leaseRemaining: gauge("lease_remaining_seconds"), running: gauge("tasks_running")}
}
