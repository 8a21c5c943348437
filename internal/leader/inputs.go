package leader

import (
	"fmt"
	"maps"
	"slices"
	"strings"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/apex/log"
)

// planInput names something that must be known, and recent, before a plan may start tasks. Stops, throttles and
// leases do not depend on it. The ledger's jobs and registrations are read before the first plan.
type planInput string

const (
	// inputRenewal is a recent renewal of the term.
	inputRenewal planInput = "term-renewal"
	// inputSettings are the drained zones and the configuration, which must not be older than an evacuation may
	// take to be in force.
	inputSettings planInput = "operator-settings"
	// inputCancels are the cancels of jobs, which must not be older than a cancel may take to be in force.
	inputCancels planInput = "cancels"
	// inputAgents are the runs of earlier leaders. Only tasks that may have one are held back.
	inputAgents planInput = "agents"
)

var planInputs = [...]planInput{inputRenewal, inputSettings, inputCancels, inputAgents}

const (
	// orderTime is how long after the expiry of an order its call may reach the runner: an agent gives a call
	// that long.
	orderTime = 400 * time.Millisecond
	// defaultEvacuationDeadline is the default of Options.EvacuationDeadline (RULES, EVAC).
	defaultEvacuationDeadline = 5 * time.Second
	// defaultCancelDeadline is the default of Options.CancelDeadline (RULES, UNASKED).
	defaultCancelDeadline = 3 * time.Second
	// maxAwaitedLogged bounds the agents named in a log line.
	maxAwaitedLogged = 8
	// heldLogInterval is the least time between two log lines about one input.
	heldLogInterval = time.Second
)

// readSettings passes the operator settings to the planner. It is called with the lock held.
func (r *leadership) readSettings() {
	if r.opts.SettingsAge != nil {
		// The age is read before the settings: newer settings may take their place in between.
		now := r.opts.Now()
		age, known := r.opts.SettingsAge()
		r.settingsAt, r.settingsKnown = now-age, known
	}
	r.planner.SetSite(r.opts.Site())
}

// validUntil returns until when each input of a plan is recent enough for a start. A change that the input lacks may
// have been confirmed right after the input was last known to be current. It is called with the lock held.
func (r *leadership) validUntil() map[planInput]time.Duration {
	until := map[planInput]time.Duration{
		inputRenewal: r.renewedAt + startValidity,
		inputCancels: r.cancelsAt + validity(r.opts.CancelDeadline, followCancelsWait),
	}
	if r.opts.SettingsAge == nil {
		return until
	}
	until[inputSettings] = 0 // never, before they have been read
	if r.settingsKnown {
		until[inputSettings] = r.settingsAt + validity(r.opts.EvacuationDeadline, followWait)
	}
	return until
}

// validity returns for how long an input is recent enough for a start, given the time after which a change of it must
// be in force. It is never shorter than two waits of the input's feed, so that starts are not held back while that
// is answered.
func validity(deadline, feedWait time.Duration) time.Duration {
	return max(deadline-orderTime, 2*feedWait)
}

// startsValidUntil returns until when agents may carry out starts that are planned now. It is called with the lock
// held.
func (r *leadership) startsValidUntil() time.Duration {
	return slices.Min(slices.Collect(maps.Values(r.validUntil())))
}

// heldInputs records since when inputs are missing.
type heldInputs struct {
	since    map[planInput]time.Duration
	loggedAt map[planInput]time.Duration
}

func newHeldInputs() heldInputs {
	return heldInputs{since: map[planInput]time.Duration{}, loggedAt: map[planInput]time.Duration{}}
}

// update records whether an input is missing. It returns for how long it has been, and whether that is to be logged.
func (h *heldInputs) update(now time.Duration, input planInput, missing bool) (held time.Duration, report bool) {
	since, was := h.since[input]
	switch {
	case missing && !was:
		since = now
		h.since[input] = now
	case missing:
	default:
		delete(h.since, input)
	}
	if !missing && !was {
		return 0, false
	}
	loggedAt, logged := h.loggedAt[input]
	report = !logged || !missing || now-loggedAt >= heldLogInterval
	h.loggedAt[input] = now
	if !report {
		h.loggedAt[input] = loggedAt
	}
	if !missing {
		delete(h.loggedAt, input)
	}
	return now - since, report
}

// mayStart reports whether a plan may start tasks now. It is called with the lock held.
func (r *leadership) mayStart(now time.Duration) bool {
	missing := map[planInput]bool{inputAgents: r.planner.UnreportedAgents() > 0}
	for input, until := range r.validUntil() {
		missing[input] = now >= until
	}
	for _, input := range planInputs {
		held, report := r.held.update(now, input, missing[input])
		inputMissing(input).Set(held.Seconds())
		if !missing[input] {
			inputMissing(input).Set(0)
		} else {
			countHeldPlan(input)
		}
		if report {
			r.logHeld(input, held, missing[input])
		}
	}
	return now < r.startsValidUntil()
}

func (r *leadership) logHeld(input planInput, held time.Duration, missing bool) {
	entry := r.opts.Logger.WithFields(log.Fields{"missing": string(input), "held_ms": held.Milliseconds()})
	if !missing {
		entry.Info("starts are not held back any more")
		return
	}
	switch {
	case input == inputSettings && r.settingsKnown:
		entry = entry.WithField("age_ms", (r.opts.Now() - r.settingsAt).Milliseconds())
	case input == inputCancels:
		entry = entry.WithField("age_ms", (r.opts.Now() - r.cancelsAt).Milliseconds())
	case input == inputAgents:
		awaited := r.planner.AwaitedAgents()
		entry = entry.WithField("unknown_agents", len(awaited)).
			WithField("agents", strings.Join(awaited[:min(len(awaited), maxAwaitedLogged)], ","))
	}
	entry.Warn("starts are held back")
}

// resetHeld clears the metrics of missing inputs at the end of a term.
func resetHeld() {
	for _, input := range planInputs {
		inputMissing(input).Set(0)
	}
}

func inputMissing(input planInput) *metrics.Gauge {
	return metrics.GetOrCreateGauge(fmt.Sprintf("bamboowood_plan_input_missing_seconds{input=%q}", string(input)), nil)
}

func countHeldPlan(input planInput) {
	metrics.GetOrCreateCounter(fmt.Sprintf("bamboowood_plans_held_total{input=%q}", string(input))).Inc()
}
