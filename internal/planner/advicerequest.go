package planner

import (
	"cmp"
	"slices"
	"time"

	"bamboowood/internal/job"
)

// spareRunners is how many runners more than its tasks need a step asks for: some may be full when the
// answer comes.
const spareRunners = 1

// defaultTicketValidity is assumed where neither the queue nor an answer says how long tickets are valid.
const defaultTicketValidity = time.Second

// adviceOption is a runner that an advice request for a step may name.
type adviceOption struct {
	id   string
	cost float64
	// tasks is the number of tasks of the step that the runner has room for.
	tasks int
	// granted is set if an earlier answer allowed the runner.
	granted bool
}

// adviceCandidate is a step that may need advice after its tasks have been placed.
type adviceCandidate struct {
	candidate
	position int
	opts     pickOptions
}

// requestAdvice queues advice requests for the candidates, which are in the order of their ranks, as many as
// there are callers without one. Every other request goes to the step that has waited longest for its
// turn: urgent steps whose tickets cannot be used would keep the service from all others.
func (p *Planner) requestAdvice(now time.Duration) {
	byRank := p.advice.candidates
	p.advice.candidates = byRank[:0]
	free := max(p.advice.callers, 1) - p.advice.pending
	if free <= 0 || now < p.advice.retryAt || len(byRank) == 0 {
		return
	}
	byTurn := slices.Clone(byRank)
	slices.SortStableFunc(byTurn, func(a, b adviceCandidate) int {
		return cmp.Compare(a.step.advice.requestedAt, b.step.advice.requestedAt)
	})
	for ; free > 0; free-- {
		queue := &byRank
		if p.advice.byTurn {
			queue = &byTurn
		}
		if !p.requestAdviceForFirst(now, queue) {
			return
		}
		p.advice.byTurn = !p.advice.byTurn
	}
}

// requestAdviceForFirst queues a request for the first candidate that needs one, and removes the candidates up to
// it. It returns false if there is none.
func (p *Planner) requestAdviceForFirst(now time.Duration, candidates *[]adviceCandidate) bool {
	for len(*candidates) > 0 {
		c := (*candidates)[0]
		*candidates = (*candidates)[1:]
		p.currentJob = c.step.job.job.ID
		p.placing(now, c.position, c.candidate)
		requested := p.requestAdviceFor(now, c.step, c.opts)
		p.currentJob = ""
		if requested {
			return true
		}
	}
	return false
}

// requestAdviceFor queues an advice request for a step and returns true, unless the valid tickets suffice for its
// waiting tasks or no runner may be asked for. It names the eligible runners with the lowest cost, no
// more than the step is expected to use.
func (p *Planner) requestAdviceFor(now time.Duration, s *stepState, opts pickOptions) bool {
	v := s.advice
	if v.pending || now < v.retryAt {
		return false
	}
	wanted := s.tasksReadyBy(now + p.adviceDuration(s, 1))
	if wanted == 0 {
		return false
	}
	options, covered := p.adviceOptions(now, s, opts)
	if len(options) == 0 && opts.excludeEjected && p.mayUseEjected(now, s) {
		opts.excludeEjected = false
		options, covered = p.adviceOptions(now, s, opts)
	}
	if s.step.Gang && covered < wanted {
		// The members need tickets that are valid at the same time.
		covered = 0
	}
	if covered >= wanted || len(options) == 0 {
		return false
	}
	q := AdviceRequest{Task: job.Task{Job: s.job.job.ID, Occurrence: s.occ.number, Step: s.index}, Reason: v.reason(now)}
	q.Runners = p.chooseForAdvice(s, options, wanted-covered)
	q.figure = s.job.job.Queue.Advice.Duration(len(q.Runners))
	q.Expected, q.Timeout = p.advice.timing.expected(q.figure), p.advice.timing.timeout(q.figure)
	v.pending, v.requestedAt = true, now
	p.advice.pending++
	p.advice.requests = append(p.advice.requests, q)
	return true
}

// tasksReadyBy returns how many tasks of the step may start by a time; all or none of a gang.
func (s *stepState) tasksReadyBy(at time.Duration) int {
	ready := 0
	for i := range s.tasks {
		if t := &s.tasks[i]; t.waiting && t.notBefore <= at {
			ready++
		}
	}
	if s.step.Gang && ready < len(s.tasks) {
		return 0
	}
	return ready
}

// adviceOptions returns the runners on which tasks of the step could start now but for a ticket, and for how many
// tasks the others, which have a valid one, have room. For a gang it returns the others, too.
func (p *Planner) adviceOptions(now time.Duration, s *stepState, opts pickOptions) (options []adviceOption, covered int) {
	for _, a := range p.orderedAgents {
		if !p.eligible(now, a, s, opts) || s.advice.denied[a.runner.ID] || p.heldBack(now, a, s) {
			continue
		}
		if s.step.BestEffort && !opts.overcommit {
			if slowdown, _ := p.predictSlowdown(now, a, s.step); slowdown > maxSlowdown {
				continue
			}
		}
		tasks := a.roomFor(s, opts.overcommit)
		if s.advice.hasValidTicket(now, a.runner.ID) {
			covered += tasks
			if !s.step.Gang {
				continue
			}
		}
		_, granted := s.advice.tickets[a.runner.ID]
		options = append(options, adviceOption{a.runner.ID, p.placementCost(now, a, s, &s.tasks[0], ""), tasks, granted})
	}
	return options, covered
}

// roomFor returns how many waiting tasks of the step the runner, which is eligible for one, has room for.
func (a *agent) roomFor(s *stepState, overcommit bool) int {
	step, capacity := s.step, a.runner.Capacity
	room := int64(s.waitingTasks)
	bound := func(free, request int64) {
		if request > 0 {
			room = min(room, free/request)
		}
	}
	if step.MaxPerRunner > 0 {
		bound(int64(step.MaxPerRunner-s.runsOnAgent[a]), 1)
	}
	bound(capacity.MemoryMB-a.requested.MemoryMB, step.MemoryMB)
	bound(capacity.GPUs-a.requested.GPUs, step.GPUs)
	switch {
	case !step.BestEffort:
		bound(capacity.CPU-a.requested.CPU, step.CPU)
	case !overcommit:
		bound(capacity.CPU-a.expectedCPU()-a.bestEffortCPU, step.CPU)
	}
	return int(max(room, 1))
}

// chooseForAdvice returns the runners that a request names to start wanted tasks: those that are known to be
// allowed, and as many others as are expected to be needed. Unless the step is a gang, which starts as a whole,
// the answer is to take at most half of the time for which its tickets are valid.
func (p *Planner) chooseForAdvice(s *stepState, options []adviceOption, wanted int) []string {
	slices.SortStableFunc(options, func(a, b adviceOption) int { return cmp.Compare(a.cost, b.cost) })
	slices.SortStableFunc(options, func(a, b adviceOption) int { return compareBool(b.granted, a.granted) })
	most := min(len(options), maxRunnersPerRequest)
	if !s.step.Gang {
		most = min(most, p.timelyRunners(s, most))
	}
	known, spare := 0, spareRunners
	for known < most && options[known].granted && (wanted > 0 || spare > 0) {
		if wanted <= 0 {
			spare--
		}
		wanted -= options[known].tasks
		known++
	}
	size := known
	if wanted > 0 && known < most {
		others := options[known:]
		needed := min(runnersFor(others, wanted)+spareRunners, len(others))
		size += requestSize(needed, most-known, p.grantShareOf(s).estimate(), func(n int) time.Duration {
			return p.adviceDuration(s, known+n)
		})
	}
	runners := make([]string, 0, size)
	for _, o := range options[:size] {
		runners = append(runners, o.id)
	}
	return runners
}

// timelyRunners returns for how many runners, 1 to most, an answer takes at most half of the time for which the
// step's tickets are valid.
func (p *Planner) timelyRunners(s *stepState, most int) int {
	n := 1
	for n < most && p.adviceDuration(s, n+1) <= s.ticketValidity()/2 {
		n++
	}
	return n
}

// runnersFor returns how many of the runners, in their order, have room for tasks in sum; all if that is not enough.
func runnersFor(options []adviceOption, tasks int) int {
	for i, o := range options {
		if tasks -= o.tasks; tasks <= 0 {
			return i + 1
		}
	}
	return len(options)
}

// adviceDuration returns how long the service is expected to take for a request on n runners.
func (p *Planner) adviceDuration(s *stepState, n int) time.Duration {
	return p.advice.timing.expected(s.job.job.Queue.Advice.Duration(n))
}

// ticketValidity returns how long tickets for the step are expected to be valid.
func (s *stepState) ticketValidity() time.Duration {
	return cmp.Or(max(s.job.job.Queue.Advice.Valid, 0), defaultTicketValidity)
}

// grantShareOf returns the learned share of allowed runners for the step's queue.
func (p *Planner) grantShareOf(s *stepState) *grantShare {
	name := s.job.job.Queue.Name
	if p.advice.grantShares[name] == nil {
		p.advice.grantShares[name] = &grantShare{}
	}
	return p.advice.grantShares[name]
}

func compareBool(a, b bool) int {
	switch {
	case a == b:
		return 0
	case b:
		return -1
	}
	return 1
}
