package planner

import (
	"cmp"
	"slices"
	"time"

	"bamboowood/internal/speculation"
)

const (
	// copyInterval is the time between two searches for tasks that need a copy.
	copyInterval = 100 * time.Millisecond
	// copyStartLimit is the time after which an order to start a copy has no effect any more: orders are
	// valid for 1.8 s.
	copyStartLimit = 2500 * time.Millisecond
)

// CopyCounts count what happened to copies of tasks.
type CopyCounts struct {
	// Started copies end as Won if their end decided the result, and as Lost otherwise.
	Started, Won, Lost int
	// Refused counts runs without a copy by reason, each reason of a run at most once in a row. Runs that are
	// in time are not counted.
	Refused map[speculation.Refusal]int
	// StoppedCPU is the CPU time of the runs that were stopped since another run of their task had ended
	// as done, in core seconds.
	StoppedCPU float64
}

// copies holds the state of copies that is not part of a task.
type copies struct {
	checkedAt time.Duration
	counts    CopyCounts
}

// planCopies starts copies of late tasks on capacity that no waiting task could use.
func (p *Planner) planCopies(now time.Duration, excludeEjected bool) {
	if !p.opts.Speculation || now-p.copies.checkedAt < copyInterval {
		return
	}
	p.copies.checkedAt = now
	known := map[*stepState]speculation.Task{}
	late, budget := p.copyCandidates()
	for _, r := range late {
		if p.startBudget.spent() {
			return
		}
		p.currentJob = r.step.job.job.ID
		refusal := speculation.Decide(p.copyTask(now, r, known), budget)
		if refusal == "" {
			refusal = p.startCopy(now, r, excludeEjected)
		}
		if refusal == "" {
			budget.Used += r.step.step.CPU
		} else if refusal != r.copyRefusal && refusal != speculation.InTime {
			p.copies.refuse(refusal)
		}
		r.copyRefusal = refusal
	}
}

// copyCandidates returns the runs that may have a copy, longest first, and the CPU of the copies.
func (p *Planner) copyCandidates() (candidates []*run, budget speculation.Budget) {
	for _, a := range p.orderedAgents {
		if a.state == live && a.runner != nil {
			budget.Capacity += a.runner.Capacity.CPU
		}
		for _, r := range a.runs {
			if r.task.copyRun == r {
				budget.Used += r.step.step.CPU
			}
			if p.mayHaveCopy(r) {
				candidates = append(candidates, r)
			}
		}
	}
	slices.SortFunc(candidates, func(a, b *run) int {
		return cmp.Or(
			cmp.Compare(a.confirmedAt, b.confirmedAt), cmp.Compare(a.id.Task.Job, b.id.Task.Job),
			cmp.Compare(a.id.Task.Occurrence, b.id.Task.Occurrence), cmp.Compare(a.id.Task.Step, b.id.Task.Step),
			cmp.Compare(a.id.Task.Index, b.id.Task.Index),
		)
	})
	return candidates, budget
}

// mayHaveCopy reports whether a run is the only one of a running task of a speculative step. Continuous tasks
// have no duration, best-effort tasks are slow because others need the CPU, and gangs run together.
func (p *Planner) mayHaveCopy(r *run) bool {
	step, js := r.step.step, r.step.job
	if !step.Speculative || step.Gang || step.Continuous || step.BestEffort {
		return false
	}
	if r.phase != running || r.detachedUntil != 0 || r.task.liveRun != r || r.task.copyRun != nil || r.task.done {
		return false
	}
	// As for starts, an earlier planner may have started a copy that is not reported yet.
	return p.holds(r.step) && (!js.recovered || p.unreported == 0)
}

// copyTask returns what decides on a copy of a run. known holds what is the same for all tasks of a step.
func (p *Planner) copyTask(now time.Duration, r *run, known map[*stepState]speculation.Task) speculation.Task {
	s := r.step
	t, ok := known[s]
	if !ok {
		key, estimate := durationKey(s.job.job, s.index), p.correctedEstimate(s)
		t.CPU = s.step.CPU
		t.Tail, t.Learned = p.learned.Quantile(key, estimate, speculation.TailQuantile)
		t.Expected, _ = p.learned.Expected(key, estimate)
		t.Expected += startDelay
		known[s] = t
	}
	t.Elapsed = now - r.confirmedAt
	if t.Elapsed > t.Tail {
		t.Remaining = p.expectedRemaining(now, r)
	}
	return t
}

// startCopy starts a copy of a task on another runner than its run's.
func (p *Planner) startCopy(now time.Duration, r *run, excludeEjected bool) speculation.Refusal {
	s, t := r.step, r.task
	a := p.pickAgent(now, s, t, pickOptions{excludeEjected: excludeEjected, exclude: r.agent})
	if a == nil {
		return speculation.NoRunner
	}
	if p.neededByWaiting(a) {
		return speculation.NeededElsewhere
	}
	number := max(t.lastRunNumber+1, p.firstRunNumber())
	p.starts = append(p.starts, p.startRun(now, a, s, r.id.Task.Index, number, t.checkpoint))
	t.copyRun.isCopy = true
	p.copies.counts.Started++
	return ""
}

// neededByWaiting reports whether a waiting task that is not best-effort could use room on the agent.
func (p *Planner) neededByWaiting(a *agent) bool {
	return slices.ContainsFunc(p.waitingSteps, func(s *stepState) bool {
		return s.waitingTasks > 0 && !s.step.BestEffort && p.usable(a, s) && a.fits(s.step, false)
	})
}

// otherRunsDone stops the other runs of a task of which one has ended as done. What is known of their
// durations is that they are longer than the time that they have run.
func (p *Planner) otherRunsDone(now time.Duration, s *stepState, t *taskState) {
	if !s.step.Speculative || t.done {
		return
	}
	for _, r := range []*run{t.liveRun, t.copyRun} {
		if r == nil {
			continue
		}
		if r.confirmedAt == 0 {
			// The order to start it may still take effect. The task must not be recorded as done before.
			s.job.unsettled = append(s.job.unsettled, r)
		} else if r.phase == running {
			elapsed := now - r.confirmedAt
			p.copies.counts.StoppedCPU += elapsed.Seconds() * float64(s.step.CPU) / 1000
			if r.id.Number == p.firstRunNumber() && r.speedLimitChangedAt == 0 {
				p.learned.LearnCensored(durationKey(s.job.job, s.index), s.step.Estimate, elapsed, 1/float64(len(s.tasks)))
			}
		}
		p.stopRun(r, StopTaskDone)
	}
}

// settled reports whether no run may start any more of a task of the job that is done.
func (js *jobState) settled(now time.Duration) bool {
	js.unsettled = slices.DeleteFunc(js.unsettled, func(r *run) bool {
		return r.agent.runs[r.id] != r || r.confirmedAt != 0 || now > r.orderedAt+copyStartLimit
	})
	return len(js.unsettled) == 0
}

func (c *copies) refuse(reason speculation.Refusal) {
	if c.counts.Refused == nil {
		c.counts.Refused = map[speculation.Refusal]int{}
	}
	c.counts.Refused[reason]++
}

// ended counts the end of a copy; won is set if it decided the result of its task.
func (c *copies) ended(r *run, won bool) {
	switch {
	case !r.isCopy:
	case won:
		c.counts.Won++
	default:
		c.counts.Lost++
	}
	r.isCopy = false
}
