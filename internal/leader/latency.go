package leader

import (
	"fmt"
	"strings"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/apex/log"

	"bamboowood/internal/planner"
)

const (
	// overTargetInterval is the time between two log lines on one task over its target.
	overTargetInterval = time.Second
	// overTargetThreshold is how long a task must have been over its target for such a line.
	overTargetThreshold = 1500 * time.Millisecond
)

// overTargetSeconds is the time for which tasks with colocated best-effort runs were over their target,
// as far as it exceeds overTargetThreshold, summed over tasks.
var overTargetSeconds = metrics.NewFloatCounter("bamboowood_task_over_target_seconds_total")

// logOverTarget logs the latency-critical tasks that stay over their target. It is called with
// the lock held.
func (r *leadership) logOverTarget(now time.Duration) {
	if now-r.overTargetLoggedAt < overTargetInterval {
		return
	}
	r.overTargetLoggedAt = now
	for _, o := range r.planner.OverTarget(now, overTargetThreshold) {
		overTargetSeconds.Add(overTargetInterval.Seconds())
		r.opts.Logger.WithFields(log.Fields{
			"task": o.Run.Task.String(), "run": o.Run.Number, "agent": o.Agent,
			"tail_ms": o.TailLatency.Milliseconds(), "target_ms": o.Target.Milliseconds(),
			"over_ms": o.Duration.Milliseconds(), "headroom": o.Headroom, "unattainable": o.Unattainable, "best_effort": describeSpeeds(o.BestEffort),
		}).Info("latency-critical task over its target")
	}
}

// describeSpeeds describes the speed limits of best-effort runs in one line.
func describeSpeeds(speeds []planner.BestEffortSpeed) string {
	var b strings.Builder
	for i, s := range speeds {
		if i > 0 {
			b.WriteString("; ")
		}
		fmt.Fprintf(&b, "%s run %d: ordered %d agent %s runner %s cpu %d of %d order_age_ms %d report_age_ms %d",
			s.Run.Task, s.Run.Number, s.Ordered, s.Agent, s.Runner, s.CPU, s.RequestedCPU,
			s.OrderAge.Milliseconds(), s.ReportAge.Milliseconds())
		if s.Stopping {
			b.WriteString(" stopping")
		}
	}
	return b.String()
}
