package planner

import (
	"strings"
	"time"

	"bamboowood/internal/job"
)

// Outlier ejection of runners, and detection of stalled runs.
const (
	// ejectAfter is the number of jobs that must fail on a runner without a success in
	// between before it is ejected; a single failure may be the job's own fault.
	ejectAfter = 2
	// firstEjection is the duration of the first ejection. It doubles with each further
	// ejection, up to maxEjection.
	firstEjection = 2 * time.Second
	maxEjection   = 8 * time.Second
	// maxEjectedShare is the share of ejected runners above which ejections are ignored: the
	// cause of so many failures is more likely elsewhere.
	maxEjectedShare = 0.5
	// capacityBackoff is how long a runner that lacked capacity gets no new task, so that
	// its next report arrives first.
	capacityBackoff = 250 * time.Millisecond
	// stallTimeout is the time without progress after which a run counts as stalled.
	// Reports arrive twice a second; a healthy short task progresses by one percent in a
	// twentieth of this time. For long ones see stallLimit.
	stallTimeout = 1500 * time.Millisecond
	// bestEffortStallTimeout is the same for best-effort runs, which may get no CPU for a
	// while.
	bestEffortStallTimeout = 4 * time.Second
	// slowestPercent is the longest time that a healthy run takes for one percent, as a share of its
	// estimate: estimates are short by a factor of up to 1.9, and 3 of 100 tasks take 7 times as long.
	slowestPercent = 1.9 * 7 / 100
	// reportTime is by how much a report may be later than the progress it shows.
	reportTime = 500 * time.Millisecond
	// zeroSpeedTimeout is the time at speed 0 after which a best-effort run is stopped if
	// another runner has capacity for its task.
	zeroSpeedTimeout = 1500 * time.Millisecond
	// drainMargin is the tolerance by which the expected end of a run may lie after the
	// end of its draining runner.
	drainMargin = 500 * time.Millisecond
)

// health holds a runner's recent failures, its ejection and its backoff.
type health struct {
	// failures holds the jobs that have failed on the runner since its last success, with the trials of
	// the step that failed.
	failures map[string]*trials
	// ejections counts the ejections since the last success.
	ejections    int
	ejectedUntil time.Duration
	// backoffUntil is the time until which the runner gets no new task after a refusal.
	backoffUntil time.Duration
}

// recordRefusal records that the runner refused a start.
func (h *health) recordRefusal(now time.Duration) {
	h.backoffUntil = max(h.backoffUntil, now+capacityBackoff)
}

func (h *health) ejected(now time.Duration) bool { return now < h.ejectedUntil }

// suspectingJobs counts the jobs whose failures give evidence against the runner.
func (h *health) suspectingJobs() int {
	n := 0
	for _, t := range h.failures {
		if !t.blameJob() {
			n++
		}
	}
	return n
}

// onProbation reports whether the runner was ejected and has not succeeded since.
func (h *health) onProbation() bool { return h.ejections > 0 && h.suspectingJobs() > 0 }

func (h *health) recordFailure(now time.Duration, job string, t *trials) {
	if h.failures == nil {
		h.failures = map[string]*trials{}
	}
	if h.suspectingJobs() == 0 {
		h.ejections = 0
	}
	h.failures[job] = t
	if h.suspectingJobs() < ejectAfter && !h.onProbation() {
		return
	}
	h.ejectedUntil = now + min(firstEjection<<min(h.ejections, 10), maxEjection)
	h.ejections++
}

// recordSuccess records that a task of a job succeeded on the runner.
func (h *health) recordSuccess(job string) {
	for id, t := range h.failures {
		if id != job {
			t.cleared++
		}
	}
	clear(h.failures)
	h.ejections = 0
}

// updateHealth updates the health of the agent's runner from the end of a run.
func (p *Planner) updateHealth(now time.Duration, a *agent, s *stepState, r *run, e job.End) {
	switch {
	case e.Reason == job.EndDone:
		a.health.recordSuccess(s.job.job.ID)
		s.trials.recordSuccess(a)
	case e.Reason == job.EndFailed, r != nil && r.stalled:
		p.recordFailure(now, a, s)
	}
}

// excludesEjected reports whether any of the live agents are ejected, and at most maxEjectedShare.
func (p *Planner) excludesEjected(now time.Duration) bool {
	alive, ejected := 0, 0
	for _, a := range p.orderedAgents {
		if a.state != live || a.runner == nil {
			continue
		}
		alive++
		if a.health.ejected(now) {
			ejected++
		}
	}
	return ejected > 0 && float64(ejected) <= maxEjectedShare*float64(alive)
}

// stopStalledRuns stops stalled runs, runs that would outlast their draining runner, and
// runs at speed 0 that can move to another runner. Runs that their agent may not know are left alone.
func (p *Planner) stopStalledRuns(now time.Duration) {
	for _, a := range p.orderedAgents {
		if a.state != live || a.runner == nil {
			continue
		}
		for _, r := range a.runs {
			if r.phase != running || r.detachedUntil != 0 {
				continue
			}
			if r.step.isStalled(now, r) {
				r.stalled = true
				p.stats.Stalls++
				p.stopRun(r, StopStalled)
			} else if a.runner.Draining && p.outlasts(now, r, a.runner.Remaining) {
				p.stopRun(r, StopDraining)
			} else if r.speedLimit == 0 && now-r.speedLimitChangedAt > zeroSpeedTimeout && p.pickAgent(now, r.step, r.task, pickOptions{}) != nil {
				p.stopRun(r, StopThrottled)
			}
		}
	}
}

// Suspended records that this process was suspended for d and processed no reports. That time
// does not count as time without progress.
func (p *Planner) Suspended(now, d time.Duration) {
	for _, a := range p.orderedAgents {
		for _, r := range a.runs {
			r.progressAt = min(r.progressAt+d, now)
		}
	}
}

func (s *stepState) isStalled(now time.Duration, r *run) bool {
	if s.step.Continuous || s.step.Gang {
		return false
	}
	limit := stallTimeout
	if s.step.BestEffort {
		if r.speedLimit < fullSpeed || r.runnerSpeed.Known && r.runnerSpeed.Percent < fullSpeed {
			return false
		}
		limit = bestEffortStallTimeout
	}
	return now-r.progressAt > stallLimit(limit, s.step.Estimate)
}

// stallLimit returns how long a run may show no progress: at least atLeast, and as long as one percent may
// take, since progress is reported in whole percents.
func stallLimit(atLeast, estimate time.Duration) time.Duration {
	return max(atLeast, time.Duration(slowestPercent*float64(estimate))+reportTime)
}

// outlasts reports whether a run is expected to be still running when its runner leaves.
func (p *Planner) outlasts(now time.Duration, r *run, remaining time.Duration) bool {
	if r.step.step.Continuous {
		return true
	}
	left, ok := p.learnedRemaining(now, r)
	if !ok {
		left = r.step.step.Estimate * time.Duration(100-r.percent) / 100
	}
	return left > remaining+drainMargin
}

// rackOf returns the rack among a runner's labels, which are its kind and its rack.
func rackOf(labels []string) string {
	for _, l := range labels {
		if strings.HasPrefix(l, "r") && strings.Contains(l, "-") {
			return l
		}
	}
	return ""
}
