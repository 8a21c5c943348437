// Package planner decides which runner starts, stops and repeats which task. It
// takes events and the time as arguments and returns orders; it has no clock,
// goroutine or connection of its own.
//
// Runners, through their agents, are the truth about what runs; the ledger is
// the truth about what was accepted and what has ended. A planner is a cache of
// both. Invariants:
//
//   - A task has at most one run that may be alive, unless its step allows
//     copies. A run may be alive from the order to start it until its end is
//     reported, its agent reports that it is not there, or the lease of its agent
//     has run out for certain.
//   - A task of a recovered job is not started while an agent is unknown, because
//     a run that an earlier planner ordered may be alive there.
//   - A task that is done is never started again.
package planner

import (
	"time"

	"bamboowood/internal/interference"
	"bamboowood/internal/job"
	"bamboowood/internal/site"
)

// Instant is a moment on the clock that no one sets, and the time of day, which
// callers' schedules refer to.
type Instant struct {
	Mono time.Duration
	Wall time.Time
}

// Options of a planner.
type Options struct {
	// Term is the number of this planner's leadership. Run numbers of a later
	// term are higher than those of all earlier ones.
	Term int64
	// EarlyStart is how long before its due time an occurrence may start.
	EarlyStart time.Duration
	// EndedRetention is how long an ended job stays known.
	EndedRetention time.Duration
	// RemoteFactor is how much longer a task takes away from its data.
	RemoteFactor float64
}

// runsPerTerm is the number of starts of one task in one term that keeps run
// numbers of two terms apart.
const runsPerTerm = 1 << 16

// Planner is not safe for concurrent use.
type Planner struct {
	opts   Options
	site   *site.State
	jobs   map[string]*jobState
	agents map[string]*agent
	// order has the agents in the order in which they became known, so that
	// equal scores are decided the same way in every run.
	order []*agent
	// unknown counts agents whose runs are not known yet.
	unknown int
	// ready has the steps with tasks that wait for a runner.
	ready []*stepState
	// timed has the jobs with occurrences that are not open yet.
	timed map[*jobState]struct{}
	dirty map[*jobState]struct{}
	ended []*jobState
	stops []Stop
	gone  []string
	// questions are to be asked; asking counts those without an answer.
	questions []AdviceRequest
	asking    int
	yields    []Deferral
	stats     Stats

	interference *interference.Model
	// bias is, by queue, the logarithm of the factor by which its tasks take longer than
	// estimated.
	bias map[string]float64
	// patience is how long a job may stand still at present; free says that most of
	// the fleet's CPU is not asked for, pressed that new jobs waited after the last plan.
	patience      time.Duration
	free, pressed bool
	// budget is how many bytes of payload may still be ordered in this plan, if bounded.
	budget  int64
	bounded bool
	// starts are those of the current plan that are complete. They outlive a plan that is
	// cut short, since their runs count.
	starts []Start
	// aside has the jobs that were set aside.
	aside    map[string]bool
	handling string
}

// Stats count decisions since the planner was made.
type Stats struct {
	Starts, Stops, Stalls, LeaseExpirations, Failures, Refusals, Deferrals int64
}

// New returns a planner that knows no job and no agent.
func New(opts Options) *Planner {
	return &Planner{
		opts: opts, site: &site.State{},
		jobs: map[string]*jobState{}, agents: map[string]*agent{},
		timed: map[*jobState]struct{}{}, dirty: map[*jobState]struct{}{},
		interference: interference.New(), bias: map[string]float64{}, aside: map[string]bool{},
	}
}

// jobState is a job and what has become of it.
type jobState struct {
	job   *job.Job
	state job.State
	// durable is the state that the ledger has.
	durable job.State
	// recovered jobs may have runs that this planner has not ordered.
	recovered bool
	// begun says that a runner has begun a task: an order to start may be refused.
	begun     bool
	accepted  time.Duration
	durations durations
	// opened is the number of occurrences that were opened; open has those of
	// them that are not done.
	opened int
	open   map[int]*occurrence
	// live counts runs that may be alive.
	live int
	// working counts those of them that are not paced to a standstill; without any,
	// idleSince is when the last one ended or was.
	working   int
	idleSince time.Duration
	// starved says that the job has stood still for too long before: while there is
	// room it always has a task at work from then on.
	starved bool
	endedAt time.Duration
}

// occurrence is one execution of a job's steps.
type occurrence struct {
	k     int
	due   time.Duration
	steps []stepState
	left  int
	// yielded says that it has given way to others before.
	yielded bool
}

type stepState struct {
	job   *jobState
	occ   *occurrence
	index int
	step  *job.Step
	tasks []taskState
	done  int
	// waiting counts tasks that are ready to start.
	waiting int
	open    bool
	queued  bool
	// retryAt is when a step of fillers without a runner is tried again.
	retryAt time.Duration
	// advice is set if only some runners may run the step.
	advice *advice
	// onAgent counts runs by agent, for MaxPerRunner.
	onAgent map[*agent]int
	// gangRun is the last run number of a gang; its members share it, and its
	// checkpoint.
	gangRun        int64
	gangCheckpoint string
}

type taskState struct {
	done bool
	// waiting tasks may start once notBefore has passed.
	waiting bool
	// failures are the numbers of the failed runs.
	failures []int64
	// run is the last run number that was used.
	run        int64
	active     *run
	checkpoint string
	notBefore  time.Duration
	// avoid is the agent on which the last run went wrong.
	avoid *agent
	// setbacks counts ends that were not the task's success, for the delay
	// before the next start.
	setbacks int
}

// SetSite takes the operators' will.
func (p *Planner) SetSite(s *site.State) { p.site = s }

// SetStartBudget bounds the payloads of the starts of each plan from now on, by what the
// link carries. The most urgent starts come first; the last one may exceed it.
func (p *Planner) SetStartBudget(bytes int64, bounded bool) { p.budget, p.bounded = bytes, bounded }

// HasJob says whether the planner has the job or has set it aside.
func (p *Planner) HasJob(id string) bool { return p.jobs[id] != nil || p.aside[id] }

// AddJob takes an accepted job. progress is nil for a job that has just been
// accepted. recovered says that an earlier planner may have started it. Adding
// a known job does nothing.
func (p *Planner) AddJob(now Instant, j *job.Job, progress *Progress, recovered bool) {
	if p.HasJob(j.ID) {
		return
	}
	age := max(now.Wall.Sub(j.AcceptedAt), 0)
	js := &jobState{
		job: j, state: job.Queued, durable: job.Queued, recovered: recovered,
		accepted: now.Mono - age, idleSince: now.Mono, durations: newDurations(j, p.bias[j.Queue.Name]), open: map[int]*occurrence{},
	}
	p.jobs[j.ID] = js
	if progress != nil {
		js.durable = progress.State
		js.begun = progress.State != job.Queued
		if progress.State.Terminal() {
			p.finish(now.Mono, js, progress.State)
			return
		}
	}
	p.openDue(now, js, progress)
	if js.opened < j.OccurrenceCount() {
		p.timed[js] = struct{}{}
	}
	p.completeIfDone(now.Mono, js)
}

// openDue opens the occurrences whose time has come.
func (p *Planner) openDue(now Instant, js *jobState, progress *Progress) {
	for js.opened < js.job.OccurrenceCount() {
		k := js.opened
		due := js.job.Due(k)
		if js.job.Occurrences > 0 && now.Wall.Before(due.Add(-p.opts.EarlyStart/2)) {
			return
		}
		js.opened++
		if progress.occurrenceDone(k) {
			continue
		}
		occ := &occurrence{k: k, due: js.accepted, steps: make([]stepState, len(js.job.Steps)), left: len(js.job.Steps)}
		if js.job.Occurrences > 0 {
			occ.due = now.Mono - now.Wall.Sub(due)
		}
		js.open[k] = occ
		for i := range occ.steps {
			step := &js.job.Steps[i]
			occ.steps[i] = stepState{
				job: js, occ: occ, index: i, step: step, tasks: make([]taskState, step.Tasks),
				onAgent: map[*agent]int{},
			}
			if js.job.Queue.Advice != nil {
				occ.steps[i].advice = newAdvice()
			}
			progress.restore(&occ.steps[i], k)
		}
		for i := range occ.steps {
			if occ.steps[i].done == len(occ.steps[i].tasks) {
				occ.left--
			}
		}
		p.openSteps(occ)
		if occ.left == 0 {
			delete(js.open, k)
		}
	}
}

// openSteps opens the steps of which all predecessors are done.
func (p *Planner) openSteps(occ *occurrence) {
	for i := range occ.steps {
		s := &occ.steps[i]
		if s.open || !occ.predecessorsDone(s.step) {
			continue
		}
		s.open = true
		for t := range s.tasks {
			if !s.tasks[t].done && s.tasks[t].active == nil {
				s.setWaiting(&s.tasks[t], true)
			}
		}
		p.enqueue(s)
	}
}

func (s *stepState) setWaiting(t *taskState, waiting bool) {
	if t.waiting == waiting {
		return
	}
	t.waiting = waiting
	if waiting {
		s.waiting++
	} else {
		s.waiting--
	}
}

func (o *occurrence) predecessorsDone(step *job.Step) bool {
	for _, before := range step.After {
		if o.steps[before].done < len(o.steps[before].tasks) {
			return false
		}
	}
	return true
}

func (p *Planner) enqueue(s *stepState) {
	if s.waiting > 0 && !s.queued {
		s.queued = true
		p.ready = append(p.ready, s)
	}
}

// Cancel ends a job on its caller's request. It reports whether the job is
// known.
func (p *Planner) Cancel(now time.Duration, id string) bool {
	js := p.jobs[id]
	if js == nil {
		return false
	}
	if !js.state.Terminal() {
		p.finish(now, js, job.Cancelled)
	}
	return true
}

// finish makes a job terminal and stops what still runs of it.
func (p *Planner) finish(now time.Duration, js *jobState, state job.State) {
	js.state = state
	js.endedAt = now
	delete(p.timed, js)
	p.interference.ForgetJob(js.job.ID)
	p.ended = append(p.ended, js)
	if js.durable != state {
		p.dirty[js] = struct{}{}
	}
	for _, occ := range js.open {
		for i := range occ.steps {
			for t := range occ.steps[i].tasks {
				p.stopTask(&occ.steps[i].tasks[t])
			}
		}
	}
}

func (p *Planner) stopTask(t *taskState) {
	if t.active != nil {
		p.stopRun(t.active)
	}
}

// stopRun orders the end of a run, once.
func (p *Planner) stopRun(r *run) {
	if r.phase == stopping {
		return
	}
	r.phase = stopping
	r.agent.neighbours.at = 0
	p.stats.Stops++
	p.stops = append(p.stops, Stop{Agent: r.agent.id, Run: r.id})
}

func (p *Planner) completeIfDone(now time.Duration, js *jobState) {
	if js.state.Terminal() || js.opened < js.job.OccurrenceCount() || len(js.open) > 0 {
		return
	}
	p.finish(now, js, job.Completed)
}
