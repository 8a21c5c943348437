package planner

import (
	"time"

	"bamboowood/internal/job"
	"bamboowood/internal/latency"
	"bamboowood/internal/speculation"
)

// phase is the stage of a run's life cycle.
type phase uint8

const (
	// starting: the start was ordered and is neither confirmed nor refused.
	starting phase = iota
	running
	stopping
)

// run is a run that may be alive.
type run struct {
	id        job.Run
	agent     *agent
	step      *stepState
	task      *taskState
	phase     phase
	orderedAt time.Duration
	// percent is the reported progress and progressAt the time of its last change; they
	// serve to detect stalled runs.
	percent    int
	progressAt time.Duration
	// cpu is the CPU usage in the last report, in thousandths of a core.
	cpu int64
	// speedLimit is the ordered speed limit, in percent of the run's full speed.
	speedLimit int
	// speedLimitChangedAt is when speedLimit last changed; 0 if it never did.
	speedLimitChangedAt time.Duration
	// speedOrderedAt is when the speed limit was last ordered. speedUnknown is set while the agent's
	// process, which is new, has no order for it.
	speedOrderedAt time.Duration
	speedUnknown   bool
	// agentSpeed is the speed limit that the agent reports as ordered, runnerSpeed the one that
	// it reports as confirmed. They and the run's figure were reported at reportedAt.
	agentSpeed, runnerSpeed job.Speed
	reportedAt              time.Duration
	// latency tracks a latency-critical run; tailLatency is that of its last report.
	latency     latency.Watch
	tailLatency time.Duration
	// confirmedAt is when the run was first reported as started; 0 before.
	confirmedAt time.Duration
	// confirmedPercent is the progress that was reported then; a checkpoint may have contributed to it.
	confirmedPercent int
	stalled          bool
	// isCopy is set for a copy of a task until its end is counted. copyRefusal is why the run had no copy
	// when that was last decided.
	isCopy      bool
	copyRefusal speculation.Refusal
	// stopReason is set in phase stopping.
	stopReason StopReason
	// planned is set until the plan that created the run has returned its start.
	planned bool
	// detachedUntil is set for a run that its agent's process may not know: it may be alive until
	// this time. 0 for all others.
	detachedUntil time.Duration
}

func (p *Planner) addRun(now time.Duration, a *agent, s *stepState, t *taskState, id job.Run) *run {
	r := &run{id: id, agent: a, step: s, task: t, orderedAt: now, progressAt: now, speedLimit: fullSpeed}
	s.setWaiting(t, false)
	if t.liveRun == nil {
		t.liveRun = r
	} else {
		t.copyRun = r
	}
	t.lastRunNumber = max(t.lastRunNumber, id.Number)
	a.runs[id] = r
	a.addRequest(now, s.step, 1)
	s.runsOnAgent[a]++
	s.trials.startedOn = len(s.runsOnAgent)
	s.job.liveRuns++
	s.job.workingRuns++
	return r
}

func (p *Planner) removeRun(now time.Duration, r *run) {
	delete(r.agent.runs, r.id)
	r.agent.addRequest(now, r.step.step, -1)
	r.step.runsOnAgent[r.agent]--
	r.step.job.liveRuns--
	if r.speedLimit > 0 {
		r.step.job.decrementWorkingRuns(now)
	}
	switch r {
	case r.task.liveRun:
		r.task.liveRun, r.task.copyRun = r.task.copyRun, nil
	case r.task.copyRun:
		r.task.copyRun = nil
	}
	p.copies.ended(r, false)
}

func (js *jobState) decrementWorkingRuns(now time.Duration) {
	js.workingRuns--
	js.idleSince = now
}

// setSpeedLimit records the speed limit that is ordered for a run, in percent.
func (r *run) setSpeedLimit(now time.Duration, percent int) {
	js := r.step.job
	switch {
	case r.speedLimit > 0 && percent == 0:
		js.decrementWorkingRuns(now)
	case r.speedLimit == 0 && percent > 0:
		js.workingRuns++
	}
	r.speedLimit, r.speedLimitChangedAt = percent, now
}

func (p *Planner) applyActivity(now time.Duration, r *run, act job.Activity) {
	r.step.job.started = r.step.job.started || !act.Unconfirmed
	if r.confirmedAt == 0 && !act.Unconfirmed {
		if r.phase == starting {
			r.phase = running
		}
		r.confirmedAt, r.confirmedPercent = now, act.Percent
		r.progressAt = now
	}
	r.cpu = act.CPU
	r.agentSpeed, r.runnerSpeed, r.reportedAt = act.OrderedSpeed, act.RunnerSpeed, now
	if act.Percent != r.percent {
		r.percent = act.Percent
		r.progressAt = now
	}
	if act.Checkpoint != "" {
		r.task.checkpoint = act.Checkpoint
		if r.step.step.Gang {
			r.step.gangCheckpoint = act.Checkpoint
		}
	}
}
