package planner

import "time"

// turnBytes is what a job may use of the start budget in its turn. Its last start may exceed it.
const turnBytes = 8 << 10

// startBudget limits the payload bytes of starts to what the link carries. Where it does not suffice, half
// of it goes to the candidates in the order of their ranks. The other half goes to the jobs that can meet
// their objective or are starved in turn: a wide job must not keep the others without a run, in particular
// those with continuous tasks, which never count as starved.
type startBudget struct {
	bounded bool
	// bytes are left for this plan. The last start may exceed them.
	bytes int64
	// floor is what the step whose tasks are being started must leave.
	floor int64
	// turnsDue are the bytes that starts by rank have used in excess of those by turn since the budget
	// last sufficed, at most those of one plan.
	turnsDue int64
	// served holds the jobs that have had their turn.
	served map[*jobState]struct{}
}

// SetStartBudget limits the payload bytes of the starts that following calls of Plan return
// to what the link carries, in sum over these calls; a call with bounded false removes the
// limit. The last start may exceed it.
func (p *Planner) SetStartBudget(bytes int64, bounded bool) {
	p.startBudget.bytes, p.startBudget.bounded = bytes, bounded
}

// spent reports whether no further start may be ordered for the step whose tasks are being started.
func (b *startBudget) spent() bool { return b.bounded && b.bytes <= b.floor }

// startCandidates starts tasks of the candidates, as far as the budget and the runners' capacity allow.
func (p *Planner) startCandidates(now time.Duration, candidates []candidate, excludeEjected bool) {
	b := &p.startBudget
	available := b.bytes
	p.startByTurn(now, candidates, excludeEjected)
	b.floor = 0
	left := b.bytes
	for i, c := range candidates {
		if b.spent() {
			break
		}
		if !c.started {
			p.startCandidate(now, i, c, excludeEjected)
		}
	}
	p.currentJob = ""
	if b.spent() {
		b.turnsDue = min(b.turnsDue+left-b.bytes, available)
	} else {
		b.turnsDue = 0
		clear(b.served)
	}
}

// startByTurn starts tasks of the jobs that have not had their turn, for the bytes that are due to these.
func (p *Planner) startByTurn(now time.Duration, candidates []candidate, excludeEjected bool) {
	b := &p.startBudget
	if !b.bounded {
		return
	}
	if b.served == nil {
		b.served = map[*jobState]struct{}{}
	}
	for i, c := range candidates {
		if b.turnsDue <= 0 || b.bytes <= 0 {
			return
		}
		if _, served := b.served[c.step.job]; served || c.rank > rankInTime {
			continue
		}
		before := b.bytes
		b.floor = max(b.bytes-min(turnBytes, b.turnsDue), 0)
		p.startCandidate(now, i, c, excludeEjected)
		if used := before - b.bytes; used > 0 {
			b.turnsDue -= used
			b.served[c.step.job] = struct{}{}
			candidates[i].started = c.rank == rankStarved
		}
	}
	clear(b.served)
}

// startCandidate starts tasks of one candidate, given with its place in the rank order.
func (p *Planner) startCandidate(now time.Duration, position int, c candidate, excludeEjected bool) {
	if c.step.waitingTasks == 0 || c.step.step.BestEffort && now < c.step.retryAt && c.rank != rankStarved {
		return
	}
	p.currentJob = c.step.job.job.ID
	p.placing(now, position, c)
	opts := pickOptions{excludeEjected: excludeEjected}
	switch {
	case c.step.step.Gang:
		p.starts = p.startGang(now, c.step, excludeEjected, p.starts)
	case c.rank == rankStarved && c.step.job.workingRuns == 0:
		opts.overcommit, opts.maxStarts = true, 1
		p.starts = p.startTasks(now, c.step, opts, p.starts)
	default:
		p.starts = p.startTasks(now, c.step, opts, p.starts)
	}
	if c.step.advice != nil {
		p.advice.candidates = append(p.advice.candidates, adviceCandidate{c, position, opts})
	}
}
