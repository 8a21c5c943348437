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
	// Ticket is set if the queue's policy asks for one.
	Ticket string
}

// Stop orders an agent to stop a run, or to see to it that it never starts.
type Stop struct {
	Agent string
	Run   job.Run
}

// Orders are what agents are to do.
type Orders struct {
	Starts    []Start
	Stops     []Stop
	Throttles []Throttle
	// AdviceRequests are for the service that knows a queue's policy.
	AdviceRequests []AdviceRequest
	// Deferrals are reported, and ask for nothing.
	Deferrals []Deferral
}

// Plan returns the orders that follow from all events so far. mayStart is false
// while this planner's leadership is in doubt.
func (p *Planner) Plan(now Instant, mayStart bool) Orders {
	p.expireLeases(now.Mono)
	for js := range p.timed {
		p.handling = js.job.ID
		p.openDue(now, js, nil)
		if js.opened == js.job.OccurrenceCount() {
			delete(p.timed, js)
			p.completeIfDone(now.Mono, js)
		}
	}
	p.handling = ""
	p.tend(now.Mono)
	var orders Orders
	if mayStart {
		p.start(now.Mono)
		orders.Starts, p.starts = p.starts, nil
		for _, o := range orders.Starts {
			p.agents[o.Agent].runs[o.Run].planned = false
		}
		orders.AdviceRequests, p.questions = p.questions, nil
	}
	orders.Stops, p.stops = p.stops, nil
	orders.Deferrals, p.yields = p.yields, nil
	orders.Throttles = p.paces(now.Mono)
	return orders
}

// Ranks of steps: those that can meet their objective come first, those whose
// result is worth nothing any more last.
const (
	// rankStarved: the job stands still; it gets one task.
	rankStarved = iota
	rankInTime
	rankLate
	rankWorthless
)

// lateFactor times the objective is the time after which a result is worth nothing to
// the users (RULES, Benefit).
const lateFactor = 3

// How long a job may stand still for others' sake. The users allow 3 s (RULES, LOST)
// while under half of the capacity is in use.
const (
	starvedAfter       = 2 * time.Second
	starvedAfterIfFree = time.Second
	// starvedAfterIfPressed holds for late jobs while new work waits: a task of each of
	// them would take the room of jobs that can still end in time.
	starvedAfterIfPressed = 15 * time.Second
	// newWork is the age of a job below which it counts as new. The users look at what
	// stands still 14 s after their last job (RULES, LOST).
	newWork = 8 * time.Second
	// freeShare of the CPU that is asked for counts as half in use; the rest is for
	// runners that the users count and that are not known here yet.
	freeShare = 0.6
)

type candidate struct {
	step     *stepState
	rank     int
	priority int
	slack    time.Duration
}

func (p *Planner) urgency(now time.Duration, s *stepState) candidate {
	c := candidate{step: s, priority: s.job.job.Queue.Priority, rank: rankInTime}
	if s.step.Continuous {
		return c
	}
	finish := now + s.job.durations.tail[s.index]
	c.slack = s.occ.due + s.job.durations.objective - finish
	switch {
	case finish > s.occ.due+lateFactor*s.job.durations.objective:
		c.rank = rankWorthless
	case c.slack < 0:
		c.rank = rankLate
	}
	if s.job.working == 0 && p.starves(now, s, c.rank) {
		s.job.starved = true
		c.rank = rankStarved
	}
	return c
}

// starves says that a job without a task at work has stood still for too long.
func (p *Planner) starves(now time.Duration, s *stepState, rank int) bool {
	if p.pressed && (rank > rankInTime || s.occ.yielded) {
		return now-s.job.idleSince > starvedAfterIfPressed
	}
	return now-s.job.idleSince > p.patience || s.job.starved && p.free
}

func (a candidate) compare(b candidate) int {
	return cmp.Or(
		cmp.Compare(a.rank, b.rank), cmp.Compare(a.priority, b.priority),
		cmp.Compare(a.slack, b.slack),
	)
}

// start gives waiting tasks to runners, the most urgent first.
func (p *Planner) start(now time.Duration) {
	begun := len(p.starts)
	p.patience, p.free = starvedAfter, p.mostlyFree()
	if p.free {
		p.patience = starvedAfterIfFree
	}
	candidates := make([]candidate, 0, len(p.ready))
	kept := p.ready[:0]
	for _, s := range p.ready {
		if s.waiting == 0 || s.job.state.Terminal() {
			s.queued = false
			continue
		}
		kept = append(kept, s)
		p.handling = s.job.job.ID
		if s.job.recovered && p.unknown > 0 {
			continue
		}
		candidates = append(candidates, p.urgency(now, s))
	}
	clear(p.ready[len(kept):])
	p.ready = kept
	slices.SortStableFunc(candidates, candidate.compare)
	p.shed(now, candidates)
	slices.SortStableFunc(candidates, candidate.compare)
	eject := p.ejectionAllowed(now)
	for _, c := range candidates {
		if p.spent() {
			break
		}
		p.handling = c.step.job.job.ID
		if c.step.step.BestEffort && now < c.step.retryAt && c.rank != rankStarved {
			continue
		}
		if c.step.advice != nil {
			p.consult(now, c.step, eject)
		}
		switch {
		case c.step.step.Gang:
			p.starts = p.startGang(now, c.step, eject, p.starts)
		case c.rank == rankStarved && c.step.job.working == 0:
			p.starts = p.startTasks(now, c.step, choice{eject: eject, crowd: true, limit: 1}, p.starts)
		default:
			p.starts = p.startTasks(now, c.step, choice{eject: eject}, p.starts)
		}
	}
	p.handling = ""
	p.pressed = slices.ContainsFunc(candidates, func(c candidate) bool { return c.presses(now) })
	p.stats.Starts += int64(len(p.starts) - begun)
}

// presses says that the candidate is new, can end in time and waits for room.
func (c candidate) presses(now time.Duration) bool {
	return c.rank == rankInTime && !c.step.step.Continuous && c.step.waiting > 0 && now-c.step.occ.due < newWork
}

// spent says that no further start may be ordered in this plan.
func (p *Planner) spent() bool { return p.bounded && p.budget <= 0 }

// mostlyFree says that little of the CPU of all runners is asked for; fillers do not
// count.
func (p *Planner) mostlyFree() bool {
	var asked, capacity int64
	for _, a := range p.order {
		if a.state == live && a.runner != nil {
			asked += a.used.CPU
			capacity += a.runner.Capacity.CPU
		}
	}
	return float64(asked) < freeShare*float64(capacity)
}

// fillerRetry is the pause after which a filler without a runner is tried again: loads
// move slowly, and there may be hundreds of them.
const fillerRetry = 30 * time.Millisecond

func (p *Planner) startTasks(now time.Duration, s *stepState, c choice, starts []Start) []Start {
	begun := len(starts)
	for i := range s.tasks {
		t := &s.tasks[i]
		if !t.waiting || now < t.notBefore {
			continue
		}
		if c.limit > 0 && len(starts)-begun == c.limit || p.spent() {
			return starts
		}
		a := p.pick(now, s, t, c)
		if a == nil {
			s.retryAt = now + fillerRetry
			return starts
		}
		number := max(t.run+1, p.firstRun())
		starts = append(starts, p.begin(now, a, s, i, number, t.checkpoint))
	}
	return starts
}

// firstRun is the lowest run number of this term.
func (p *Planner) firstRun() int64 { return (p.opts.Term-1)*runsPerTerm + 1 }

// startGang starts all members at once or none.
func (p *Planner) startGang(now time.Duration, s *stepState, eject bool, starts []Start) []Start {
	if s.waiting < len(s.tasks) {
		return starts
	}
	number := max(s.gangRun+1, p.firstRun())
	begun := len(starts)
	for i := range s.tasks {
		t := &s.tasks[i]
		a := p.pick(now, s, t, choice{eject: eject})
		if a == nil || now < t.notBefore {
			for _, undo := range starts[begun:] {
				r := p.agents[undo.Agent].runs[undo.Run]
				p.dropRun(now, r)
				s.setWaiting(r.task, true)
			}
			return starts[:begun]
		}
		starts = append(starts, p.begin(now, a, s, i, number, s.gangCheckpoint))
	}
	s.gangRun = number
	return starts
}

// begin orders one run.
func (p *Planner) begin(now time.Duration, a *agent, s *stepState, index int, number int64, checkpoint string) Start {
	id := job.Run{
		Task:   job.Task{Job: s.job.job.ID, Occurrence: s.occ.k, Step: s.index, Index: index},
		Number: number,
	}
	p.newRun(now, a, s, &s.tasks[index], id).planned = true
	p.budget -= int64(len(s.job.job.Payload))
	o := Start{Agent: a.id, Run: id, Step: s.step, Payload: s.job.job.Payload, Checkpoint: checkpoint}
	if s.advice != nil {
		o.Ticket = s.advice.tickets[a.runner.ID].text
	}
	return o
}
