package scheduler

import (
	"errors"
	"fmt"
	"time"

	"github.com/VictoriaMetrics/metrics"

	"bamboowood/internal/placement"
	"bamboowood/internal/structs"
	"bamboowood/internal/task"
)

var (
	passSeconds = metrics.NewHistogram("bamboowood_scheduler_pass_seconds")
	placedTotal = metrics.NewCounter("bamboowood_scheduler_placed_total")
)

func observePass(took time.Duration, plan placement.Plan) {
	passSeconds.Update(took.Seconds())
	byReason := map[placement.Reason]int{}
	for _, u := range plan.Unplaceable {
		byReason[u.Reason]++
	}
	for _, reason := range placement.Reasons {
		name := fmt.Sprintf(`bamboowood_scheduler_pending_tasks{reason=%q}`, string(reason))
		metrics.GetOrCreateGauge(name, nil).Set(float64(byReason[reason]))
	}
}

func observeWait(wait time.Duration, priority structs.Priority) {
	class := "normal"
	if priority >= structs.PriorityUrgent {
		class = "urgent"
	}
	metrics.GetOrCreateHistogram(fmt.Sprintf(`bamboowood_scheduler_wait_seconds{priority=%q}`, class)).Update(wait.Seconds())
}

// countRefusal counts a planned transition that the rows, read again, no longer allow.
func countRefusal(err error) {
	reason := "transition"
	if r := (*task.RefusalError)(nil); errors.As(err, &r) {
		reason = string(r.Reason)
	}
	metrics.GetOrCreateCounter(fmt.Sprintf(`bamboowood_scheduler_refusals_total{reason=%q}`, reason)).Inc()
}

func countPlaced(n int) { placedTotal.Add(n) }

func countFailure(step string) {
	metrics.GetOrCreateCounter(fmt.Sprintf(`bamboowood_scheduler_failures_total{step=%q}`, step)).Inc()
}

func countEviction(reason placement.EvictionReason) {
	metrics.GetOrCreateCounter(fmt.Sprintf(`bamboowood_scheduler_evictions_total{reason=%q}`, string(reason))).Inc()
}
