package planner

import (
	"math"
	"slices"
	"time"

	"bamboowood/internal/forecast"
	"bamboowood/internal/job"
)

// Look-ahead placement: capacity that is expected to become free is reserved for large steps that are
// blocked. Lower-ranked tasks may use it as long as they are expected to end before the reservation begins.
const (
	// reservationHorizon is how far ahead capacity is reserved: the errors of durations add up.
	reservationHorizon = 20 * time.Second
	// maxReservedSteps bounds the steps with reservations, maxReservedTasks the reserved tasks of a step
	// that is not a gang, and maxReservedGang the size of a gang with reservations.
	maxReservedSteps, maxReservedTasks, maxReservedGang = 4, 8, 64
	// largeShare is the share of the largest runner from which a task counts as large. Smaller tasks find
	// gaps without help.
	largeShare = 0.125
	// maxReservedShare and maxReservedGangShare bound the reserved capacity as a share of the service's
	// runners, so that the other tasks are never held back everywhere.
	maxReservedShare, maxReservedGangShare = 0.25, 0.5
	// A reservation is given up when its time has passed by its lead time, so that durations may be up to
	// twice the expected ones, but by at least minReservationMargin and at most maxReservationMargin.
	minReservationMargin, maxReservationMargin = 500 * time.Millisecond, 5 * time.Second
	// reservationInterval is the time between two attempts to reserve capacity for a step. It doubles with
	// each overdue reservation and each attempt without one, up to maxReservationInterval, so that steps that
	// no runner can run leave the attempts to others.
	reservationInterval, maxReservationInterval = 250 * time.Millisecond, 8 * time.Second
)

// ReservationChange is what happened to a reservation.
type ReservationChange string

// The changes of reservations; all but the first two give it up.
const (
	ReservationMade ReservationChange = "made"
	// ReservationKept: a task of the step started on the reserved runner.
	ReservationKept ReservationChange = "kept"
	// ReservationMoved: a task of the step started on another runner.
	ReservationMoved ReservationChange = "started-elsewhere"
	// ReservationOverdue: the capacity did not become free in time.
	ReservationOverdue ReservationChange = "overdue"
	// ReservationStepEnded: the step has no waiting task any more.
	ReservationStepEnded ReservationChange = "step-ended"
	// ReservationRunnerLost: the runner left, drains or cannot run the step any more.
	ReservationRunnerLost ReservationChange = "runner-lost"
	// ReservationIncomplete: a reservation of another member of the gang was given up.
	ReservationIncomplete ReservationChange = "gang-incomplete"
	// ReservationOutranked: a step that ranks higher needs a reservation.
	ReservationOutranked ReservationChange = "outranked"
)

// ReservationEvent is a change of a reservation, for logging. In is the time from now to its beginning.
type ReservationEvent struct {
	Task   job.Task
	Agent  string
	Change ReservationChange
	In     time.Duration
}

// lookahead holds the reservations. There are none while no large step is blocked.
type lookahead struct {
	steps map[*stepState]*reservedStep
	// blocked are the large steps of the current plan that found no runner, in rank order.
	blocked []*reservedStep
	// capacities are computed once per plan, by service.
	capacities map[string]serviceCapacity
	// position is the rank order of the step that is being placed; exempt is set if it is not held back.
	position int
	exempt   bool
	events   []ReservationEvent
	// tasksHeldBack counts the tasks that waited because of a reservation, gapsFilled those that started on
	// a runner with a reservation of a step that ranks higher, since the last plan.
	tasksHeldBack, gapsFilled int
}

// report moves what is to be logged and counted to the orders.
func (l *lookahead) report(o *Orders) {
	o.Reservations, l.events = l.events, nil
	o.TasksHeldBack, o.GapsFilled, l.tasksHeldBack, l.gapsFilled = l.tasksHeldBack, l.gapsFilled, 0, 0
}

// reservedStep is a large step that was blocked. It may have no reservation.
type reservedStep struct {
	step         *stepState
	reservations []*reservation
	// position is the step's place in the rank order of the current plan.
	position int
	// attemptAt is when a reservation may be tried again; failures counts the attempts without a reservation
	// and the overdue ones since a reservation was last kept.
	attemptAt time.Duration
	failures  int
}

// reservation is capacity for one task of a step on a runner from at on.
type reservation struct {
	owner      *reservedStep
	agent      *agent
	runner     *job.Runner
	madeAt, at time.Duration
	// usage caches what the agent's current runs will still use at that time.
	usage usageForecast
}

func (r *reservation) expired(now time.Duration) bool {
	return now > r.at+min(max(r.at-r.madeAt, minReservationMargin), maxReservationMargin)
}

// refreshReservations gives up the reservations that have lost their reason. candidates must be sorted.
func (p *Planner) refreshReservations(now time.Duration, candidates []candidate) {
	l := &p.lookahead
	l.blocked, l.capacities = l.blocked[:0], nil
	for s, rs := range l.steps {
		p.refreshStep(now, rs)
		rs.position = math.MaxInt
		if s.waitingTasks == 0 || !p.holds(s) {
			delete(l.steps, s)
		}
	}
	if len(l.steps) == 0 {
		return
	}
	for i, c := range candidates {
		if rs := l.steps[c.step]; rs != nil {
			rs.position = i
		}
	}
}

// holds reports whether the step's job is being scheduled.
func (p *Planner) holds(s *stepState) bool {
	return p.jobs[s.job.job.ID] == s.job && !s.job.state.Terminal()
}

func (p *Planner) refreshStep(now time.Duration, rs *reservedStep) {
	waiting := rs.step.waitingTasks
	if !p.holds(rs.step) {
		waiting = 0
	}
	overdue, before := false, len(rs.reservations)
	for _, r := range slices.Clone(rs.reservations) {
		switch {
		case len(rs.reservations) > waiting:
			p.removeReservation(now, r, ReservationStepEnded)
		case r.agent.runner == nil || !r.agent.runner.SameIncarnation(r.runner) || !p.usable(r.agent, rs.step):
			p.removeReservation(now, r, ReservationRunnerLost)
		case r.expired(now):
			overdue = true
			p.removeReservation(now, r, ReservationOverdue)
		}
	}
	if rs.step.step.Gang && len(rs.reservations) < before {
		// The members start together or not at all.
		for len(rs.reservations) > 0 {
			p.removeReservation(now, rs.reservations[0], ReservationIncomplete)
		}
	}
	if overdue {
		rs.attemptFailed(now)
	}
}

func (rs *reservedStep) attemptFailed(now time.Duration) {
	rs.failures++
	rs.attemptAt = now + min(reservationInterval<<min(rs.failures, 10), maxReservationInterval)
}

func (p *Planner) removeReservation(now time.Duration, r *reservation, change ReservationChange) {
	isRemoved := func(x *reservation) bool { return x == r }
	r.owner.reservations = slices.DeleteFunc(r.owner.reservations, isRemoved)
	r.agent.reservations = slices.DeleteFunc(r.agent.reservations, isRemoved)
	p.recordReservation(now, r, change)
}

func (p *Planner) recordReservation(now time.Duration, r *reservation, change ReservationChange) {
	s := r.owner.step
	p.lookahead.events = append(p.lookahead.events, ReservationEvent{
		Task:  job.Task{Job: s.job.job.ID, Occurrence: s.occ.number, Step: s.index},
		Agent: r.agent.id, Change: change, In: r.at - now,
	})
}

// placing records which step is placed next. Continuous and starved tasks are not held back, nor are
// tasks of a job that has had no working run for starvationLimitIfIdle while the fleet is mostly idle: the
// users do not allow that to last (RULES, LOST).
func (p *Planner) placing(now time.Duration, position int, c candidate) {
	js := c.step.job
	idle := p.mostlyIdle && js.workingRuns == 0 && now-js.idleSince > starvationLimitIfIdle
	p.lookahead.position, p.lookahead.exempt = position, c.rank == rankStarved || c.step.step.Continuous || idle
}

// placingEnds ends the placement of steps; later choices of runners respect all reservations.
func (p *Planner) placingEnds() { p.lookahead.position, p.lookahead.exempt = math.MaxInt, false }

// noteBlocked records a step that found no runner for its next task, if it is large and may be tried now.
func (p *Planner) noteBlocked(now time.Duration, s *stepState) {
	l := &p.lookahead
	if !p.opts.Lookahead || s.step.BestEffort || len(l.blocked) == maxReservedSteps {
		return
	}
	if s.advice != nil {
		return // its tickets expire before a reservation begins
	}
	if l.capacities == nil {
		l.capacities = p.serviceCapacities()
	}
	if !l.capacities[s.job.job.Queue.Service].isLarge(s) {
		return
	}
	rs := l.steps[s]
	if rs == nil {
		rs = &reservedStep{step: s}
	}
	if now < rs.attemptAt {
		return
	}
	rs.position = l.position
	l.blocked = append(l.blocked, rs)
}

// taskPlaced records the start of a task, which uses up a reservation of its step.
func (p *Planner) taskPlaced(now time.Duration, s *stepState, a *agent) {
	l := &p.lookahead
	if !l.exempt && slices.ContainsFunc(a.reservations, func(r *reservation) bool { return r.owner.position < l.position }) {
		l.gapsFilled++
	}
	rs := l.steps[s]
	if rs == nil || len(rs.reservations) == 0 {
		return
	}
	for _, r := range rs.reservations {
		if r.agent == a {
			rs.failures = 0
			p.removeReservation(now, r, ReservationKept)
			return
		}
	}
	p.removeReservation(now, rs.reservations[len(rs.reservations)-1], ReservationMoved)
}

// taskHeldBack records a task that found no runner because of reservations.
func (p *Planner) taskHeldBack(t *taskState) {
	if !t.heldBack {
		t.heldBack = true
		p.lookahead.tasksHeldBack++
	}
}

// heldBack reports whether a task of the step would use room on the agent that is reserved for steps that
// rank higher, at a time when it is expected to be still running.
func (p *Planner) heldBack(now time.Duration, a *agent, s *stepState) bool {
	l := &p.lookahead
	if len(a.reservations) == 0 || l.exempt {
		return false
	}
	end := now + p.expectedDuration(s) + startDelay
	for _, r := range a.reservations {
		if r.owner.position >= l.position || r.owner.step == s || end <= r.at {
			continue
		}
		if !p.fitsBeside(now, r, s.step) {
			return true
		}
	}
	return false
}

// fitsBeside reports whether a task of the step fits on the runner of a reservation when it begins, beside
// all reservations there that begin by then and rank before the step.
func (p *Planner) fitsBeside(now time.Duration, r *reservation, step *job.Step) bool {
	a := r.agent
	usage := p.usageAt(now, r)
	free := a.runner.Capacity
	for _, other := range a.reservations {
		if other.at <= r.at && other.owner.position < p.lookahead.position {
			usage.requested = sum(usage.requested, other.owner.step.step.Request())
		}
	}
	free.CPU -= usage.requested.CPU
	free.MemoryMB -= usage.requested.MemoryMB
	free.GPUs -= usage.requested.GPUs
	if step.BestEffort {
		free.CPU -= usage.bestEffortCPU
	}
	return forecast.Fits(step.Request(), free)
}

func sum(a, b job.Resources) job.Resources {
	return job.Resources{CPU: a.CPU + b.CPU, MemoryMB: a.MemoryMB + b.MemoryMB, GPUs: a.GPUs + b.GPUs}
}
