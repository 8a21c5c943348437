package planner

import (
	"time"

	"bamboowood/internal/job"
)

// Status returns the state that may be shown to callers: a final one only once
// the ledger has it.
func (p *Planner) Status(id string) (job.State, bool) {
	js := p.jobs[id]
	switch {
	case js == nil:
		return "", false
	case js.state.Terminal() && js.durable == js.state:
		return js.state, true
	case js.begun || js.live > 0:
		return job.Running, true
	}
	return job.Queued, true
}

// WaitingJobs counts the jobs of a queue of which no task has started. Timed jobs
// are not counted.
func (p *Planner) WaitingJobs(queue string) int {
	n := 0
	for _, js := range p.jobs {
		if js.job.Queue.Name == queue && !js.begun && !js.state.Terminal() && js.job.Occurrences == 0 {
			n++
		}
	}
	return n
}

// CollectEnded drops jobs that ended long ago and have no run left, and returns their
// ids.
func (p *Planner) CollectEnded(now time.Duration) []string {
	var gone []string
	kept := p.ended[:0]
	for _, js := range p.ended {
		if js.live > 0 || js.durable != js.state || now-js.endedAt < p.opts.EndedRetention {
			kept = append(kept, js)
			continue
		}
		delete(p.jobs, js.job.ID)
		gone = append(gone, js.job.ID)
	}
	clear(p.ended[len(kept):])
	p.ended = kept
	return gone
}

// Stats returns the counts of decisions.
func (p *Planner) Stats() Stats { return p.stats }

// Jobs is the number of known jobs.
func (p *Planner) Jobs() int { return len(p.jobs) }
