package planner

import "time"

// fairDelayShare is the greatest share of its objective by which a job is put back for its size. With
// half or all of it, the widest jobs miss their objective most often in an overload.
const fairDelayShare = 1.0 / 3

// fairQueue is the best-effort work of a service that can still meet its objectives.
type fairQueue struct {
	// rate is the CPU available to the work, in thousandths of a core.
	rate        float64
	occurrences map[*occurrence]struct{}
}

// fairDelay is the time that work takes at an equal share of the rate. work is in thousandths of a
// core x seconds.
func (q *fairQueue) fairDelay(work float64, limit time.Duration) time.Duration {
	share := q.rate / float64(max(len(q.occurrences), 1))
	if work >= share*limit.Seconds() {
		return limit
	}
	return time.Duration(work / share * float64(time.Second))
}

// setFairOrder sets the order of the best-effort candidates that can meet their objective: that in which their
// jobs would end if all of them shared the CPU equally, as in fair queueing. Narrow jobs are served soon, and a
// wide one is put back by at most fairDelayShare of its objective. The slack would postpone each job until it is
// nearly late, and one with too long an estimate beyond that.
func (p *Planner) setFairOrder(candidates []candidate) {
	queues := map[string]*fairQueue{}
	for _, c := range candidates {
		if !c.sharesFairly() {
			continue
		}
		service := c.step.job.job.Queue.Service
		q := queues[service]
		if q == nil {
			q = &fairQueue{rate: p.bestEffortRate(service), occurrences: map[*occurrence]struct{}{}}
			queues[service] = q
		}
		q.occurrences[c.step.occ] = struct{}{}
	}
	for i := range candidates {
		c := &candidates[i]
		if c.sharesFairly() {
			left, _ := c.step.occ.remainingWork()
			limit := time.Duration(fairDelayShare * float64(c.step.job.durations.objective))
			c.order = c.step.occ.due + queues[c.step.job.job.Queue.Service].fairDelay(left, limit)
		}
	}
}

// sharesFairly reports whether the candidate is ranked by its fair end instead of its slack.
func (c candidate) sharesFairly() bool {
	return c.rank == rankInTime && c.step.step.BestEffort && !c.step.step.Continuous
}
