package planner

import (
	"time"

	"bamboowood/internal/job"
)

// Status returns the state of a job to show to callers, false if the planner does not have
// the job. A terminal state is returned only once it is stored in the ledger.
func (p *Planner) Status(id string) (job.State, bool) {
	js := p.jobs[id]
	switch {
	case js == nil:
		return "", false
	case js.state.Terminal() && js.storedState == js.state:
		return js.state, true
	case js.started || js.liveRuns > 0:
		return job.Running, true
	}
	return job.Queued, true
}

// WaitingJobs returns the number of jobs of a queue of which no task has started.
// Scheduled jobs are not counted.
func (p *Planner) WaitingJobs(queue string) int {
	n := 0
	for _, js := range p.jobs {
		if js.job.Queue.Name == queue && !js.started && !js.state.Terminal() && js.job.Occurrences == 0 {
			n++
		}
	}
	return n
}

// CollectEnded removes the jobs that ended EndedRetention ago or earlier and have no live
// run and no unstored change, and returns their ids.
func (p *Planner) CollectEnded(now time.Duration) []string {
	var removed []string
	kept := p.ended[:0]
	for _, js := range p.ended {
		if js.liveRuns > 0 || js.storedState != js.state || now-js.endedAt < p.opts.EndedRetention {
			kept = append(kept, js)
			continue
		}
		delete(p.jobs, js.job.ID)
		removed = append(removed, js.job.ID)
	}
	clear(p.ended[len(kept):])
	p.ended = kept
	return removed
}

// Stats returns the counts of decisions so far.
func (p *Planner) Stats() Stats { return p.stats }

// Jobs returns the number of jobs that the planner has.
func (p *Planner) Jobs() int { return len(p.jobs) }
