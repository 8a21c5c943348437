package leader

import (
	"fmt"

	"github.com/VictoriaMetrics/metrics"

	"bamboowood/internal/planner"
)

var (
	copiesStarted = metrics.NewCounter("bamboowood_copies_started_total")
	copiesWon     = metrics.NewCounter("bamboowood_copies_won_total")
	copiesLost    = metrics.NewCounter("bamboowood_copies_lost_total")
	// copyCPUSeconds is the CPU time of runs that were stopped since another run of their task had ended.
	copyCPUSeconds = metrics.NewFloatCounter("bamboowood_copies_stopped_cpu_seconds_total")
)

func countCopies(c planner.CopyCounts) {
	copiesStarted.Add(c.Started)
	copiesWon.Add(c.Won)
	copiesLost.Add(c.Lost)
	copyCPUSeconds.Add(c.StoppedCPU)
	for reason, n := range c.Refused {
		metrics.GetOrCreateCounter(fmt.Sprintf("bamboowood_copies_refused_total{reason=%q}", string(reason))).Add(n)
	}
}
