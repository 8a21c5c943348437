package leader

import (
	"slices"
	"time"

	"github.com/apex/log"

	"bamboowood/internal/contain"
	"bamboowood/internal/job"
)

// applyEnd passes an end to the planner and quarantines its job if the planner panics. It is called with the
// lock held. agent is empty for an end that an earlier leader held.
func (r *leadership) applyEnd(now time.Duration, agent string, end job.End) {
	err := contain.Do(r.opts.Logger.WithField("job", end.Run.Task.Job), "end of a run", func() error {
		r.planner.RunEnded(now, agent, end)
		return nil
	})
	if err != nil {
		r.quarantine(end.Run.Task.Job)
	}
}

// recordUnstored records an end that the ledger may not have. Ends for any other reason do not matter to a
// later leader.
func (c *agentConn) recordUnstored(end job.End) {
	if end.Reason == job.EndDone || end.Reason == job.EndFailed {
		c.unstored = append(c.unstored, end)
	}
}

// endsToHold returns the received ends of jobs that the planner does not have. The commits lack them, and a
// later leader may be able to read the job. It is called with the lock held.
func (r *leadership) endsToHold(received map[*agentConn]endSequence) (ends []job.End) {
	for conn, last := range received {
		for _, e := range conn.unstored {
			if e.Sequence <= last.sequence && !r.planner.Tracks(e.Run.Task.Job) {
				ends = append(ends, e)
			}
		}
	}
	return ends
}

// holdEnds stores the received ends that no commit has, and then notifies the agents that all are stored.
func (r *leadership) holdEnds(received map[*agentConn]endSequence) error {
	r.mu.Lock()
	ends := r.endsToHold(received)
	r.mu.Unlock()
	if len(ends) > 0 {
		if err := r.term.HoldEnds(r.ctx, ends); err != nil {
			return err
		}
		endsHeld.Add(len(ends))
		r.opts.Logger.WithFields(log.Fields{"ends": len(ends), "job": ends[0].Run.Task.Job}).Warn("ends of jobs that are not scheduled held for a later leader")
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	for conn, last := range received {
		if conn.receivedEnds.runner != last.runner || conn.receivedEnds.startTime != last.startTime {
			continue
		}
		conn.unstored = slices.DeleteFunc(conn.unstored, func(e job.End) bool { return e.Sequence <= last.sequence })
		conn.sendStoredEnds(last)
	}
	return nil
}
