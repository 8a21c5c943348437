package planner

import "time"

// Work beyond the capacity. Ordered by slack alone, jobs are begun when they are nearly
// late, and in an overload all of them end a little too late.
const (
	// crowdedShare of the time until a job's objective may be filled with the work before
	// it. The rest is for lengths that were estimated too low and steps that wait for others.
	crowdedShare = 0.75
	// plannedShare is what may be filled once jobs have to yield, so that those that are
	// kept are begun early.
	plannedShare = 0.5
	// begunShare of its work at work or done keeps a job in its place.
	begunShare = 0.2
	// leastFillerShare of the CPU that others leave unused is what fillers are expected to
	// get at least, while few of them run.
	leastFillerShare = 0.5
)

// Deferral is an occurrence that gives way to others, since not all can end in time.
type Deferral struct {
	Job        string
	Occurrence int
	// Slack is what it had left until its objective; Ahead is the work that was kept, as the
	// time that it takes with all the CPU that fillers get.
	Slack, Ahead time.Duration
}

// backlog is the work of a service's fillers that is to end in time.
type backlog struct {
	// rate is the CPU that they get, in thousandths of a core.
	rate float64
	// work is the sum over the occurrences that are kept, in rate x seconds.
	work    float64
	counted map[*occurrence]bool
	// unbegun are those of them that may yield, by slack.
	unbegun []candidate
}

// shed makes occurrences late that cannot all end in time with the CPU that fillers get: of
// those that have not begun the ones with the least slack, so that those that are kept
// have time to spare. candidates are in their order.
func (p *Planner) shed(now time.Duration, candidates []candidate) {
	backlogs := map[string]*backlog{}
	yielded := map[*occurrence]bool{}
	for _, c := range candidates {
		if c.rank != rankInTime || !c.step.step.BestEffort || c.step.step.Continuous {
			continue
		}
		service := c.step.job.job.Queue.Service
		b := backlogs[service]
		if b == nil {
			b = &backlog{rate: p.fillerRate(service), counted: map[*occurrence]bool{}}
			backlogs[service] = b
		}
		for _, y := range b.add(now, c) {
			yielded[y.step.occ] = true
			p.noteYield(y, b)
		}
	}
	for i := range candidates {
		if yielded[candidates[i].step.occ] {
			candidates[i].rank = rankLate
		}
	}
}

// add takes the next candidate, and returns those that yield so that the others end in
// time.
func (b *backlog) add(now time.Duration, c candidate) (yield []candidate) {
	if b.counted[c.step.occ] {
		return nil
	}
	b.counted[c.step.occ] = true
	left, begun := c.step.occ.work()
	b.work += left
	if !begun {
		b.unbegun = append(b.unbegun, c)
	}
	until := c.step.occ.due + c.step.job.durations.objective - now
	room := b.rate * until.Seconds()
	if b.work <= crowdedShare*room {
		return nil
	}
	for b.work > plannedShare*room && len(b.unbegun) > 0 {
		first := b.unbegun[0]
		left, _ := first.step.occ.work()
		if b.work <= left {
			break // there is no other work to yield to
		}
		b.unbegun = b.unbegun[1:]
		b.work -= left
		yield = append(yield, first)
	}
	return yield
}

// noteYield reports an occurrence once.
func (p *Planner) noteYield(c candidate, b *backlog) {
	if c.step.occ.yielded {
		return
	}
	c.step.occ.yielded = true
	p.stats.Deferrals++
	p.yields = append(p.yields, Deferral{
		Job: c.step.job.job.ID, Occurrence: c.step.occ.k, Slack: c.slack,
		Ahead: time.Duration(b.work / max(b.rate, 1) * float64(time.Second)),
	})
}

// work is what is left of an occurrence, in thousandths of a core x seconds, and whether
// it has begun.
func (o *occurrence) work() (left float64, begun bool) {
	total, untouched := 0.0, 0.0
	for i := range o.steps {
		s := &o.steps[i]
		task := float64(s.step.CPU) * s.job.durations.lengths[i].Seconds()
		total += task * float64(len(s.tasks))
		left += task * float64(len(s.tasks)-s.done)
		if s.open {
			untouched += task * float64(s.waiting)
		} else {
			untouched += task * float64(len(s.tasks)-s.done)
		}
	}
	return left, untouched <= (1-begunShare)*total
}

// fillerRate is the CPU that the fillers of a service get, or could.
func (p *Planner) fillerRate(service string) float64 {
	used, unused := 0.0, 0.0
	for _, a := range p.order {
		if a.state != live || a.runner == nil || a.runner.Service != service ||
			a.runner.Draining || p.site.Drained[a.runner.Zone] {
			continue
		}
		free := float64(max(a.runner.Capacity.CPU-a.busyCPU(), 0))
		unused += free
		used += min(float64(a.fillerCPU), free)
	}
	return max(used, leastFillerShare*unused)
}
