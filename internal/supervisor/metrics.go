package supervisor

import (
	"fmt"

	"github.com/VictoriaMetrics/metrics"

	"bamboowood/internal/runner"
)

// Causes for which runs are dropped, as label values and in logs.
const (
	// causeRefused: the start was refused, or the runner confirmed that the run is not there.
	causeRefused = "refused"
	// causeUnregistered: the boot of the VM was not registered.
	causeUnregistered = "unregistered"
	// causeNoLease: the order expired, or there was no lease for it.
	causeNoLease = "expired-order"
	// causeReplaced: the runner was replaced by another incarnation.
	causeReplaced = "runner-replaced"
	// causeNoListener: nothing listens at the runner's address.
	causeNoListener = "no-listener"
	// causeLeaseExpired: the lease of an unresponsive runner has expired.
	causeLeaseExpired = "lease-expired"
	// causeWithdrawn: the run was stopped before its start arrived, or had been reported as not started.
	causeWithdrawn = "withdrawn"
	// causeOtherIncarnation: the start was planned for another incarnation of the runner.
	causeOtherIncarnation = "other-incarnation"
	// causeEnding: the agent's process is ending.
	causeEnding = "agent-ending"
	// causeNotListed: the runner's lists do not name the run.
	causeNotListed = "not-listed"
)

func countDroppedRun(cause string, reason runner.Refusal) {
	metrics.GetOrCreateCounter(fmt.Sprintf("bamboowood_runs_dropped_total{cause=%q,reason=%q}", cause, string(reason))).Inc()
}

// Results of status reports, as label values.
const (
	reportCurrent = "current"
	// reportOutdated: a later report of the current incarnation has been applied.
	reportOutdated = "outdated"
	// reportAdopted: the reported incarnation became the current one.
	reportAdopted = "adopted"
	// reportOther: another incarnation answers at the runner's address.
	reportOther = "other-incarnation"
	// reportUnconfirmed: nothing answered at the runner's address in time.
	reportUnconfirmed = "unconfirmed"
)

func countReport(result string) {
	metrics.GetOrCreateCounter(fmt.Sprintf("bamboowood_runner_reports_total{result=%q}", result)).Inc()
}

var (
	// throttleCallsFailed counts throttle calls without a confirmation.
	throttleCallsFailed = metrics.NewCounter("bamboowood_throttle_calls_failed_total")
	// pauses counts the pauses of the best-effort runs on the runner.
	pauses = metrics.NewCounter("bamboowood_best_effort_pauses_total")
	// partialSnapshots counts snapshots that were taken before the runner had listed all of its ends.
	partialSnapshots = metrics.NewCounter("bamboowood_partial_snapshots_total")
)

// countSpeedContradicted counts reports whose CPU contradicts the speed limit in force.
func countSpeedContradicted(how string) {
	metrics.GetOrCreateCounter(fmt.Sprintf("bamboowood_speed_limits_contradicted_total{how=%q}", how)).Inc()
}

func countFailedRenewal(cause string) {
	metrics.GetOrCreateCounter(fmt.Sprintf("bamboowood_lease_renewals_failed_total{cause=%q}", cause)).Inc()
}
