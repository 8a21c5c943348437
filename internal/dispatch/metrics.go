package dispatch

import (
	"fmt"

	"github.com/VictoriaMetrics/metrics"

	"bamboowood/internal/verdict"
)

// serviceMetrics are the metrics of one service.
type serviceMetrics struct {
	// duration is indexed by verdict.Outcome.
	duration [verdict.Ran + 1]*metrics.Histogram
}

func newServiceMetrics(service string) *serviceMetrics {
	m := &serviceMetrics{}
	for outcome := range m.duration {
		name := fmt.Sprintf(`bamboowood_request_duration_seconds{service=%q,outcome=%q}`, service, verdict.Outcome(outcome))
		m.duration[outcome] = metrics.GetOrCreateHistogram(name)
	}
	return m
}

// droppedAnswers counts answers that arrived after their request had its result.
var droppedAnswers = metrics.NewCounter("bamboowood_dropped_answers_total")
