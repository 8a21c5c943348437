package planner

import (
	"strings"
	"time"

	"bamboowood/internal/job"
)

// Judgement of runners.
const (
	// ejectAfter is the number of jobs in a row that must fail on a runner
	// before it is ejected; one alone may be the job's own fault.
	ejectAfter = 2
	// firstEjection is doubled with each ejection up to maxEjection.
	firstEjection = 2 * time.Second
	maxEjection   = 8 * time.Second
	// maxEjectedShare bounds the share of runners that are ejected at once:
	// beyond it the fault is more likely to lie elsewhere.
	maxEjectedShare = 0.5
	// noRoomPause is how long a runner that lacked room gets nothing, so that its
	// next report comes first.
	noRoomPause = 250 * time.Millisecond
	// stallTime without any progress makes a run count as stalled. Reports come
	// twice a second; a sound task moves by a percent in a twentieth of it.
	stallTime = 1500 * time.Millisecond
	// fillerStallTime allows for fillers that get no CPU for a while.
	fillerStallTime = 4 * time.Second
	// standstillTime at pace 0 a filler gives its place up if another runner has room.
	standstillTime = 1500 * time.Millisecond
	// drainMargin is left between the expected end of a run and that of its
	// draining runner.
	drainMargin = 500 * time.Millisecond
	// telling is the progress, in percent, from which on a run's pace so far tells
	// more than its estimate.
	telling = 5
)

// health is what the planner has seen of a runner's work.
type health struct {
	// failed has the jobs that failed here since the last success.
	failed       map[string]struct{}
	ejections    int
	ejectedUntil time.Duration
	noRoomUntil  time.Duration
}

// setback notes a run that did not come about.
func (h *health) setback(now time.Duration) {
	h.noRoomUntil = max(h.noRoomUntil, now+noRoomPause)
}

func (h *health) ejected(now time.Duration) bool { return now < h.ejectedUntil }

// onProbation says that the runner has been ejected and not succeeded since.
func (h *health) onProbation() bool { return h.ejections > 0 && len(h.failed) > 0 }

func (h *health) fail(now time.Duration, job string) {
	if h.failed == nil {
		h.failed = map[string]struct{}{}
	}
	h.failed[job] = struct{}{}
	if len(h.failed) < ejectAfter && !h.onProbation() {
		return
	}
	h.ejectedUntil = now + min(firstEjection<<min(h.ejections, 10), maxEjection)
	h.ejections++
}

func (h *health) succeed() {
	clear(h.failed)
	h.ejections = 0
}

// judge learns from the end of a run.
func (p *Planner) judge(now time.Duration, a *agent, s *stepState, r *run, e job.End) {
	switch {
	case e.Reason == job.EndDone:
		a.health.succeed()
	case e.Reason == job.EndFailed, r != nil && r.stalled:
		a.health.fail(now, s.job.job.ID)
	}
}

// ejectionAllowed says whether few enough of the live agents are ejected.
func (p *Planner) ejectionAllowed(now time.Duration) bool {
	alive, ejected := 0, 0
	for _, a := range p.order {
		if a.state != live || a.runner == nil {
			continue
		}
		alive++
		if a.health.ejected(now) {
			ejected++
		}
	}
	return float64(ejected) <= maxEjectedShare*float64(alive)
}

// tend stops runs that stall and runs that a draining runner will not finish.
func (p *Planner) tend(now time.Duration) {
	for _, a := range p.order {
		if a.state != live || a.runner == nil {
			continue
		}
		for _, r := range a.runs {
			if r.phase != running {
				continue
			}
			if r.step.stalled(now, r) {
				r.stalled = true
				p.stats.Stalls++
				p.stopRun(r)
			} else if a.runner.Draining && r.outlasts(now, a.runner.Remaining) {
				p.stopRun(r)
			} else if r.pace == 0 && now-r.pacedSince > standstillTime && p.pick(now, r.step, r.task, choice{}) != nil {
				p.stopRun(r)
			}
		}
	}
}

func (s *stepState) stalled(now time.Duration, r *run) bool {
	if s.step.Continuous || s.step.Gang {
		return false
	}
	limit := stallTime
	if s.step.BestEffort {
		if r.pace < fullPace {
			return false
		}
		limit = fillerStallTime
	}
	return now-r.changedAt > limit
}

// outlasts says whether a run is expected to be at work when its runner leaves.
func (r *run) outlasts(now, remaining time.Duration) bool {
	if r.step.step.Continuous {
		return true
	}
	estimate := r.step.step.Estimate
	left := estimate - estimate*time.Duration(r.percent)/100
	if r.percent >= telling {
		// The pace so far tells more than the caller's estimate.
		left = (now - r.confirmedAt) * time.Duration(100-r.percent) / time.Duration(r.percent)
	}
	return left > remaining+drainMargin
}

// rackOf finds the rack among a runner's labels, which are its kind and its rack.
func rackOf(labels []string) string {
	for _, l := range labels {
		if strings.HasPrefix(l, "r") && strings.Contains(l, "-") {
			return l
		}
	}
	return ""
}
