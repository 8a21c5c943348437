package leader

import (
	"fmt"
	"strings"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/apex/log"
)

// planInput names something that must be known before a plan may start tasks. Stops, throttles and leases do
// not depend on it. The ledger's jobs and registrations are read before the first plan.
type planInput string

const (
	// inputRenewal is a recent renewal of the term.
	inputRenewal planInput = "term-renewal"
	// inputSettings are the drained zones and the configuration.
	inputSettings planInput = "operator-settings"
	// inputAgents are the runs of earlier leaders. Only tasks that may have one are held back.
	inputAgents planInput = "agents"
)

var planInputs = [...]planInput{inputRenewal, inputSettings, inputAgents}

const (
	// settingsAgeAtBegin is by how much settings may be older than the term: an entry that has lost the store
	// for longer may lack a drained zone, and lead as soon as it reaches the store again. Operator settings
	// apply within 5 s (RULES, EVAC), and an order to start is valid for startValidity after it.
	settingsAgeAtBegin = 3 * time.Second
	// maxAwaitedLogged bounds the agents named in a log line.
	maxAwaitedLogged = 8
	// heldLogInterval is the least time between two log lines about one input.
	heldLogInterval = time.Second
)

// settingsRead reports whether operator settings of a given age are recent enough for a term that began at a time.
func settingsRead(now, began, age time.Duration, known bool) bool {
	return known && now-age >= began-settingsAgeAtBegin
}

// readSettings passes the operator settings to the planner. It is called with the lock held.
func (r *leadership) readSettings() {
	if r.opts.SettingsAge != nil {
		// The age is read before the settings: newer settings may take their place in between.
		age, known := r.opts.SettingsAge()
		r.settingsRead = settingsRead(r.opts.Now(), r.began, age, known)
	}
	r.planner.SetSite(r.opts.Site())
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
	missing := map[planInput]bool{
		inputRenewal: now >= r.renewedAt+startValidity,
		inputAgents:  r.planner.UnreportedAgents() > 0,
	}
	missing[inputSettings] = r.opts.SettingsAge != nil && !r.settingsRead
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
	return !missing[inputRenewal] && !missing[inputSettings]
}

func (r *leadership) logHeld(input planInput, held time.Duration, missing bool) {
	entry := r.opts.Logger.WithFields(log.Fields{"missing": string(input), "held_ms": held.Milliseconds()})
	if !missing {
		entry.Info("starts are not held back any more")
		return
	}
	if input == inputAgents {
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
