package planner

import (
	"cmp"
	"slices"
	"time"

	"bamboowood/internal/job"
)

// Start orders an agent to start a run.
type Start struct {
	Agent      string
	Run        job.Run
	Step       *job.Step
	Payload    string
	Checkpoint string
	// Ticket is set if the queue uses an advice service.
	Ticket string
	// Speed is the initial speed limit, in percent of the run's full speed.
	Speed int
	// RunnerID and StartTime name the incarnation of the runner for which the start was planned.
	RunnerID  string
	StartTime int64
}

// Stop orders an agent to stop a run, or to prevent its start.
type Stop struct {
	Agent  string
	Run    job.Run
	Reason StopReason
	// Repeated is set if the stop was ordered before, and the agent reports the run again.
	Repeated bool
}

// StopReason is the reason why a run is stopped.
type StopReason string

// The reasons for stops.
const (
	StopJobCancelled StopReason = "job-cancelled"
	StopJobFailed    StopReason = "job-failed"
	// StopJobEnded: the run was reported after its job had ended.
	StopJobEnded StopReason = "job-ended"
	// StopJobUnknown: the run's job is not known here.
	StopJobUnknown StopReason = "job-unknown"
	// StopTaskDone: another run of the task ended as done.
	StopTaskDone StopReason = "task-done"
	// StopOtherRun: the run was reported while another run of the task may be alive.
	StopOtherRun StopReason = "other-run"
	// StopStalled: the run made no progress.
	StopStalled StopReason = "stalled"
	// StopDraining: the run would outlast its draining runner.
	StopDraining StopReason = "runner-draining"
	// StopThrottled: the run was at speed 0, and another runner has capacity for its task.
	StopThrottled StopReason = "throttled"
	// StopQuarantined: the run's job was quarantined.
	StopQuarantined StopReason = "job-quarantined"
	// StopSetAside: the store rejects the progress of the run's job for good.
	StopSetAside StopReason = "job-set-aside"
)

// Orders are the result of a plan.
type Orders struct {
	Starts    []Start
	Stops     []Stop
	Throttles []Throttle
	// AdviceRequests are for the advice services of queues.
	AdviceRequests []AdviceRequest
	// GivenUp, Deferrals and Reservations are for logging and require no action.
	GivenUp      []GivenUp
	Deferrals    []Deferral
	Reservations []ReservationEvent
	// TasksHeldBack counts the tasks that wait because of a reservation, each once; GapsFilled counts the
	// starts on runners with a reservation of a step that ranks higher.
	TasksHeldBack, GapsFilled int
	// Copies counts what happened to copies since the last plan.
	Copies CopyCounts
}

// Plan returns the orders that follow from all events so far. mayStart must be false while
// this planner's leadership is uncertain, or its inputs are not recent enough; Starts and AdviceRequests
// are empty then.
func (p *Planner) Plan(now Instant, mayStart bool) Orders {
	p.lastInstant = now
	p.withdrawInterrupted(now.Mono)
	p.expireLeases(now.Mono)
	for js := range p.scheduled {
		p.currentJob = js.job.ID
		p.openOccurrences(now, js, 0)
		if js.opened == js.job.OccurrenceCount() {
			delete(p.scheduled, js)
			p.completeIfDone(now.Mono, js)
		}
	}
	p.currentJob = ""
	p.stopStalledRuns(now.Mono)
	var orders Orders
	if mayStart {
		p.planStarts(now.Mono)
	}
	orders.Stops, p.stops = p.stops, nil
	orders.Deferrals, p.deferrals = p.deferrals, nil
	orders.GivenUp, p.givenUp = p.givenUp, nil
	p.lookahead.report(&orders)
	orders.Copies, p.copies.counts = p.copies.counts, CopyCounts{}
	orders.Throttles = p.throttles(now.Mono)
	if mayStart {
		// Last, since what is handed over here would be lost in a panic.
		orders.Starts, p.starts = p.starts, nil
		for _, o := range orders.Starts {
			p.agents[o.Agent].runs[o.Run].planned = false
		}
		orders.AdviceRequests, p.advice.requests = p.advice.requests, nil
	}
	return orders
}

// Ranks of steps: those that can meet their objective come before late ones, those that
// have missed their hard deadline come last.
const (
	// rankStarved: the job has exceeded the starvation limit; one of its tasks comes first.
	rankStarved = iota
	rankInTime
	rankLate
	rankExpired
)

// hardDeadlineFactor is the multiple of its objective after which a result has no value to
// the users any more (RULES, Benefit).
const hardDeadlineFactor = 3

// Starvation limits: how long a job may be without a working run in favour of others. The users
// allow 3 s (RULES, LOST) while less than half of the capacity is in use;
// starvationLimitIfIdle applies in that case.
const (
	defaultStarvationLimit = 2 * time.Second
	starvationLimitIfIdle  = time.Second
	// starvationLimitIfContended applies to late and deferred jobs while new jobs wait for
	// capacity: one task of each late job would take the capacity from jobs that can still
	// meet their objective.
	starvationLimitIfContended = 15 * time.Second
	// newJobAge is the age up to which a job counts as new. The users check for jobs without
	// a working run 14 s after they submitted their last job (RULES, LOST).
	newJobAge = 8 * time.Second
	// mostlyIdleShare is the share of requested CPU below which the fleet counts as less
	// than half in use. It exceeds one half because the users' count includes runners that
	// the planner does not have yet.
	mostlyIdleShare = 0.6
)

// candidate is a step with waiting tasks and the keys by which it is ranked.
type candidate struct {
	step     *stepState
	rank     int
	priority int
	slack    time.Duration
	// order is the key among candidates of the same rank and priority: the slack, or the fair end of
	// a best-effort step, which come after the others.
	order time.Duration
	// recovered is set for a latency-critical step with tasks that an earlier planner may have started and
	// that have not run under this one.
	recovered bool
	// started is set for a starved job once one of its tasks has been started in this plan.
	started bool
}

func (p *Planner) rankStep(now time.Duration, s *stepState) candidate {
	c := candidate{step: s, priority: s.job.job.Queue.Priority, rank: rankInTime}
	if s.step.Continuous {
		c.recovered = p.isRecovered(s)
		return c
	}
	// finish is when the occurrence would end if the step started now.
	finish := now + s.job.durations.criticalPath[s.index]
	c.slack = s.occ.due + s.job.durations.objective - finish
	switch {
	case finish > s.occ.due+hardDeadlineFactor*s.job.durations.objective:
		c.rank = rankExpired
	case c.slack < 0:
		c.rank = rankLate
	}
	if s.job.workingRuns == 0 && p.isStarved(now, s, c.rank) {
		s.job.starved = true
		c.rank = rankStarved
	}
	c.order = c.slack
	return c
}

// isStarved reports whether a job without working runs has exceeded the starvation limit.
func (p *Planner) isStarved(now time.Duration, s *stepState, rank int) bool {
	if p.newJobsWaiting && (rank > rankInTime || s.occ.deferred) {
		return now-s.job.idleSince > starvationLimitIfContended
	}
	return now-s.job.idleSince > p.starvationLimit || s.job.starved && p.mostlyIdle
}

func (a candidate) compare(b candidate) int {
	return cmp.Or(
		cmp.Compare(a.rank, b.rank), cmp.Compare(a.priority, b.priority),
		cmp.Compare(a.kind(), b.kind()), cmp.Compare(a.order, b.order),
	)
}

// Kinds of candidates of the same rank and priority, in the order in which they are placed. Regular tasks
// hold their room for a short time only, so they come before continuous ones: behind them they would wait
// for as long as more continuous tasks are asked for than there is room.
const (
	kindRegular = iota
	kindRecovered
	kindContinuous
	kindBestEffort
)

func (c candidate) kind() int {
	switch {
	case c.step.step.BestEffort:
		return kindBestEffort
	case c.recovered:
		return kindRecovered
	case c.step.step.Continuous:
		return kindContinuous
	}
	return kindRegular
}

// planStarts assigns waiting tasks to runners, the most urgent first.
func (p *Planner) planStarts(now time.Duration) {
	startsBefore := len(p.starts)
	p.starvationLimit, p.mostlyIdle = defaultStarvationLimit, p.isMostlyIdle()
	if p.mostlyIdle {
		p.starvationLimit = starvationLimitIfIdle
	}
	candidates := make([]candidate, 0, len(p.waitingSteps))
	lastOrders := p.lastUnknownOrders()
	kept := p.waitingSteps[:0]
	for _, s := range p.waitingSteps {
		if s.waitingTasks == 0 || s.job.state.Terminal() {
			s.queued = false
			continue
		}
		kept = append(kept, s)
		p.currentJob = s.job.job.ID
		if s.job.recovered && s.job.acceptedVersion <= lastOrders {
			continue
		}
		candidates = append(candidates, p.rankStep(now, s))
	}
	clear(p.waitingSteps[len(kept):])
	p.waitingSteps = kept
	slices.SortStableFunc(candidates, candidate.compare)
	p.deferOccurrences(now, candidates)
	p.setFairOrder(candidates)
	slices.SortStableFunc(candidates, candidate.compare)
	excludeEjected := p.excludesEjected(now)
	p.refreshReservations(now, candidates)
	p.startCandidates(now, candidates, excludeEjected)
	p.requestAdvice(now)
	p.placingEnds()
	p.reserve(now)
	p.planCopies(now, excludeEjected)
	p.currentJob = ""
	p.newJobsWaiting = slices.ContainsFunc(candidates, func(c candidate) bool { return c.isNewAndWaiting(now) })
	p.stats.Starts += int64(len(p.starts) - startsBefore)
}

// isNewAndWaiting reports whether the candidate's job is new and the candidate can meet its
// objective but still waits for capacity.
func (c candidate) isNewAndWaiting(now time.Duration) bool {
	return c.rank == rankInTime && !c.step.step.Continuous && c.step.waitingTasks > 0 && now-c.step.occ.due < newJobAge
}

// isMostlyIdle reports whether the requested share of the fleet's CPU is below
// mostlyIdleShare. Best-effort tasks are not counted.
func (p *Planner) isMostlyIdle() bool {
	var requested, capacity int64
	for _, a := range p.orderedAgents {
		if a.state == live && a.runner != nil {
			requested += a.requested.CPU
			capacity += a.runner.Capacity.CPU
		}
	}
	return float64(requested) < mostlyIdleShare*float64(capacity)
}

// bestEffortRetryDelay is the pause after which a best-effort step for which no runner was
// found is tried again: loads change slowly, and there may be hundreds of such steps.
const bestEffortRetryDelay = 30 * time.Millisecond

func (p *Planner) startTasks(now time.Duration, s *stepState, opts pickOptions, starts []Start) []Start {
	startsBefore := len(starts)
	for i := range s.tasks {
		t := &s.tasks[i]
		if !t.waiting || now < t.notBefore {
			continue
		}
		if opts.maxStarts > 0 && len(starts)-startsBefore == opts.maxStarts || p.startBudget.spent() {
			return starts
		}
		a := p.pickAgent(now, s, t, opts)
		if a == nil {
			s.retryAt = now + bestEffortRetryDelay
			p.noteBlocked(now, s)
			return starts
		}
		number := max(t.lastRunNumber+1, p.firstRunNumber())
		p.taskPlaced(now, s, a)
		starts = append(starts, p.startRun(now, a, s, i, number, t.checkpoint))
	}
	return starts
}

// firstRunNumber is the lowest run number of this term.
func (p *Planner) firstRunNumber() int64 { return (p.opts.Term-1)*runsPerTerm + 1 }

// startGang starts all members of a gang at once, or none.
func (p *Planner) startGang(now time.Duration, s *stepState, excludeEjected bool, starts []Start) []Start {
	if s.waitingTasks < len(s.tasks) {
		return starts
	}
	number := max(s.gangRunNumber+1, p.firstRunNumber())
	startsBefore, bytesBefore, idleSince := len(starts), p.startBudget.bytes, s.job.idleSince
	for i := range s.tasks {
		t := &s.tasks[i]
		a := p.pickAgent(now, s, t, pickOptions{excludeEjected: excludeEjected})
		if a == nil || now < t.notBefore {
			if a == nil {
				p.noteBlocked(now, s)
			}
			for _, undo := range starts[startsBefore:] {
				r := p.agents[undo.Agent].runs[undo.Run]
				p.removeRun(now, r)
				s.setWaiting(r.task, true)
			}
			p.startBudget.bytes, s.job.idleSince = bytesBefore, idleSince
			return starts[:startsBefore]
		}
		starts = append(starts, p.startRun(now, a, s, i, number, s.gangCheckpoint))
	}
	s.gangRunNumber = number
	for _, o := range starts[startsBefore:] {
		p.taskPlaced(now, s, p.agents[o.Agent])
	}
	return starts
}

// startRun adds one run and returns the order to start it.
func (p *Planner) startRun(now time.Duration, a *agent, s *stepState, index int, number int64, checkpoint string) Start {
	id := job.Run{
		Task:   job.Task{Job: s.job.job.ID, Occurrence: s.occ.number, Step: s.index, Index: index},
		Number: number,
	}
	r := p.addRun(now, a, s, &s.tasks[index], id)
	r.planned = true
	if speed := a.initialSpeed(now, s); speed != fullSpeed {
		r.setSpeedLimit(now, speed)
	}
	p.startBudget.bytes -= int64(len(s.job.job.Payload))
	o := Start{
		Agent: a.id, Run: id, Step: s.step, Payload: s.job.job.Payload, Checkpoint: checkpoint, Speed: r.speedLimit,
		RunnerID: a.runner.ID, StartTime: a.runner.StartTime,
	}
	if s.advice != nil {
		s.advice.unused = 0
		o.Ticket = s.advice.tickets[a.runner.ID].text
	}
	return o
}
