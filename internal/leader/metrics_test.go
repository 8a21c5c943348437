package leader

import (
	"fmt"
	"strings"
	"testing"

	"github.com/VictoriaMetrics/metrics"
	"github.com/shoenig/test"

	"bamboowood/internal/job"
)

// Guards against reasons of runners that add a metric each, or panic as they are no label value:
// the session with the agent would end again and again.
func TestCounters_OddReasons(t *testing.T) {
	countEnd(job.EndDone)
	countRefusal("room")
	before := len(metrics.ListMetricNames())
	for _, reason := range []string{
		"", `a"b`, `\`, "a\nb", "\x00", "\xff", `{}`, `"},x{y="`, "é", "\u2028", strings.Repeat("x", 100_000),
	} {
		countEnd(job.EndReason(reason))
		countRefusal(reason)
	}
	for i := range 1000 {
		countEnd(job.EndReason(fmt.Sprint("odd", i)))
		countRefusal(fmt.Sprint("odd", i))
	}
	test.LessEq(t, before+2, len(metrics.ListMetricNames()))
}
