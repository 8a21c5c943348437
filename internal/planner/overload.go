package planner

import "time"

// Deferral under overload. With ranking by slack alone, jobs start only when they are nearly
// late, and in an overload all of them end shortly after their objective.
const (
	// deferThreshold is the maximum of (time needed for the backlog up to and including an
	// occurrence) / (time left until that occurrence's objective). Beyond it, occurrences are
	// deferred. The rest of the time allows for durations that were estimated too low and
	// for steps that wait for others.
	deferThreshold = 0.75
	// deferTarget is the value of the same ratio to which deferral reduces the backlog, so
	// that the remaining occurrences start early.
	deferTarget = 0.5
	// startedShare is the share of an occurrence's work that must be running or done for
	// the occurrence to count as started. A started occurrence is not deferred.
	startedShare = 0.2
	// minBestEffortShare is the lower bound of the share of idle CPU that counts as available
	// to best-effort tasks: while few of them run, the CPU that they request underestimates it.
	minBestEffortShare = 0.5
)

// Deferral is an occurrence that was ranked behind others in an overload, because not all
// of them can meet their objective.
type Deferral struct {
	Job        string
	Occurrence int
	// Slack is the occurrence's slack when it was deferred. Ahead is the time needed to
	// process the remaining backlog with the CPU available to best-effort tasks.
	Slack, Ahead time.Duration
}

// backlog is the best-effort work of a service that can still meet its objectives.
type backlog struct {
	// rate is the CPU available to the work, in thousandths of a core.
	rate float64
	// work is the sum over the occurrences that are not deferred, in thousandths of a
	// core x seconds.
	work    float64
	counted map[*occurrence]bool
	// deferrable are the counted occurrences that have not started, by increasing slack.
	deferrable []candidate
}

// deferOccurrences ranks occurrences as late if the CPU for best-effort tasks does not
// suffice for all of them to meet their objective. Among those that have not started it
// takes the ones with the least slack, so that the others keep some slack. candidates must
// be sorted.
func (p *Planner) deferOccurrences(now time.Duration, candidates []candidate) {
	backlogs := map[string]*backlog{}
	deferred := map[*occurrence]bool{}
	for _, c := range candidates {
		if c.rank != rankInTime || !c.step.step.BestEffort || c.step.step.Continuous {
			continue
		}
		service := c.step.job.job.Queue.Service
		b := backlogs[service]
		if b == nil {
			b = &backlog{rate: p.bestEffortRate(service), counted: map[*occurrence]bool{}}
			backlogs[service] = b
		}
		for _, d := range b.add(now, c) {
			deferred[d.step.occ] = true
			p.recordDeferral(d, b)
		}
	}
	for i := range candidates {
		if deferred[candidates[i].step.occ] {
			candidates[i].rank = rankLate
		}
	}
}

// add counts the next candidate and returns those to defer so that the others can meet
// their objective.
func (b *backlog) add(now time.Duration, c candidate) (deferred []candidate) {
	if b.counted[c.step.occ] {
		return nil
	}
	b.counted[c.step.occ] = true
	left, started := c.step.occ.remainingWork()
	b.work += left
	if !started {
		b.deferrable = append(b.deferrable, c)
	}
	timeLeft := c.step.occ.due + c.step.job.durations.objective - now
	capacity := b.rate * timeLeft.Seconds()
	if b.work <= deferThreshold*capacity {
		return nil
	}
	for b.work > deferTarget*capacity && len(b.deferrable) > 0 {
		first := b.deferrable[0]
		left, _ := first.step.occ.remainingWork()
		if b.work <= left {
			break // no other work benefits
		}
		b.deferrable = b.deferrable[1:]
		b.work -= left
		deferred = append(deferred, first)
	}
	return deferred
}

// recordDeferral reports the deferral of an occurrence, once.
func (p *Planner) recordDeferral(c candidate, b *backlog) {
	if c.step.occ.deferred {
		return
	}
	c.step.occ.deferred = true
	p.stats.Deferrals++
	p.deferrals = append(p.deferrals, Deferral{
		Job: c.step.job.job.ID, Occurrence: c.step.occ.number, Slack: c.slack,
		Ahead: time.Duration(b.work / max(b.rate, 1) * float64(time.Second)),
	})
}

// remainingWork returns the work left in an occurrence, in thousandths of a core x seconds,
// and whether the occurrence counts as started.
func (o *occurrence) remainingWork() (left float64, started bool) {
	total, notStarted := 0.0, 0.0
	for i := range o.steps {
		s := &o.steps[i]
		task := float64(s.step.CPU) * s.job.durations.taskDurations[i].Seconds()
		total += task * float64(len(s.tasks))
		left += task * float64(len(s.tasks)-s.doneTasks)
		if s.open {
			notStarted += task * float64(s.waitingTasks)
		} else {
			notStarted += task * float64(len(s.tasks)-s.doneTasks)
		}
	}
	return left, notStarted <= (1-startedShare)*total
}

// bestEffortRate is the CPU that the best-effort tasks of a service use or can expect, in
// thousandths of a core.
func (p *Planner) bestEffortRate(service string) float64 {
	used, unused := 0.0, 0.0
	for _, a := range p.orderedAgents {
		if a.state != live || a.runner == nil || a.runner.Service != service ||
			a.runner.Draining || p.site.Drained[a.runner.Zone] {
			continue
		}
		available := float64(max(a.runner.Capacity.CPU-a.expectedCPU(), 0))
		unused += available
		used += min(float64(a.bestEffortCPU), available)
	}
	return max(used, minBestEffortShare*unused)
}
