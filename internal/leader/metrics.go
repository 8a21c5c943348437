package leader

import (
	"fmt"

	"github.com/VictoriaMetrics/metrics"

	"bamboowood/internal/job"
	"bamboowood/internal/planner"
	"bamboowood/internal/runner"
)

// Metrics of the leading entry; they stay 0 on the other entries.
var (
	startsTotal       = metrics.NewCounter("bamboowood_starts_ordered_total")
	throttlesTotal    = metrics.NewCounter("bamboowood_paces_ordered_total")
	deferralsTotal    = metrics.NewCounter("bamboowood_jobs_yielded_total")
	termsLedTotal     = metrics.NewCounter("bamboowood_terms_led_total")
	renewFailures     = metrics.NewCounter("bamboowood_term_renewals_failed_total")
	jobsQuarantined   = metrics.NewCounter("bamboowood_jobs_set_aside_total")
	jobsSetAside      = metrics.NewGauge("bamboowood_jobs_set_aside", nil)
	unmatchedCancels  = metrics.NewGauge("bamboowood_cancels_without_job", nil)
	blamedFailures    = metrics.NewCounter("bamboowood_failures_not_counted_against_runners_total")
	endsHeld          = metrics.NewCounter("bamboowood_ends_held_total")
	unreadableTerms   = metrics.NewCounter("bamboowood_terms_unreadable_total")
	rowsUnreadable    = metrics.NewCounter("bamboowood_ledger_rows_unreadable_total")
	messagesSplit     = metrics.NewCounter("bamboowood_order_messages_split_total")
	unusableAddresses = metrics.NewCounter("bamboowood_agents_without_address_total")
	adviceFailures    = metrics.NewCounter("bamboowood_advice_failed_total")
	commitSeconds     = metrics.NewHistogram("bamboowood_ledger_commit_seconds")
	planSeconds       = metrics.NewHistogram("bamboowood_plan_seconds")
	jobSeconds        = metrics.NewHistogram("bamboowood_job_seconds")
)

func countOrders(o planner.Orders) {
	startsTotal.Add(len(o.Starts))
	for _, s := range o.Stops {
		metrics.GetOrCreateCounter(fmt.Sprintf("bamboowood_stops_ordered_total{reason=%q}", string(s.Reason))).Inc()
	}
	for _, g := range o.GivenUp {
		metrics.GetOrCreateCounter(fmt.Sprintf("bamboowood_runs_given_up_total{cause=%q}", string(g.Cause))).Inc()
	}
	throttlesTotal.Add(len(o.Throttles))
	for _, t := range o.Throttles {
		if t.Reason != planner.ThrottleChanged {
			metrics.GetOrCreateCounter(fmt.Sprintf("bamboowood_throttles_repeated_total{reason=%q}", string(t.Reason))).Inc()
		}
	}
	deferralsTotal.Add(len(o.Deferrals))
}

// countAdvice counts a request for advice by why it was made and how it ended.
func countAdvice(reason planner.AdviceReason, result adviceResult) {
	metrics.GetOrCreateCounter(fmt.Sprintf("bamboowood_advice_requests_total{reason=%q,result=%q}", string(reason), string(result))).Inc()
}

// otherReason is the label value for a reason that this module does not know.
const otherReason = "other"

func countEnd(reason job.EndReason) {
	switch reason {
	case job.EndDone, job.EndFailed, job.EndStopped, job.EndLeaseExpired, job.EndGangMemberLost, job.EndGangIncomplete:
	default:
		reason = otherReason
	}
	metrics.GetOrCreateCounter(fmt.Sprintf("bamboowood_runs_ended_total{reason=%q}", string(reason))).Inc()
}

func countRefusal(reason string) {
	switch r := runner.Refusal(reason); r {
	case runner.RefusedFence, runner.RefusedStale, runner.RefusedLate, runner.RefusedCapacity, runner.RefusedTicket,
		runner.RefusedInvalid, runner.RefusedUnhealthy, runner.RefusedIncarnationEnded, runner.RefusedOther:
	default:
		reason = otherReason
	}
	metrics.GetOrCreateCounter(fmt.Sprintf("bamboowood_runs_refused_total{reason=%q}", reason)).Inc()
}

func countRejectedWrite(reason string) {
	metrics.GetOrCreateCounter(fmt.Sprintf("bamboowood_progress_writes_rejected_total{reason=%q}", reason)).Inc()
}

func countJobEnd(state job.State) {
	metrics.GetOrCreateCounter(fmt.Sprintf("bamboowood_jobs_ended_total{state=%q}", string(state))).Inc()
}
