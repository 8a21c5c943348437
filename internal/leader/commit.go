package leader

import (
	"errors"
	"time"

	"github.com/apex/log"

	"bamboowood/internal/ledger"
)

// commitGap times the duration of a commit lies between the starts of two: a slow store
// must have time for renewals in between, which go to the same part.
const commitGap = 2

func (r *leadership) commitLoop() error {
	ticker := time.NewTicker(commitInterval)
	defer ticker.Stop()
	var last, took, tidied time.Duration
	for {
		select {
		case <-r.ctx.Done():
			return r.ctx.Err()
		case <-r.commit:
		case <-ticker.C:
		}
		if now := r.opts.Now(); now-tidied > tidyInterval {
			tidied = now
			if err := r.tidy(); errors.Is(err, ledger.ErrDeposed) {
				return err
			} else if err != nil && r.ctx.Err() == nil {
				r.opts.Logger.WithError(err).Warn("ledger not tidied")
			}
		}
		if err := r.tendAgents(); errors.Is(err, ledger.ErrDeposed) {
			return err
		} else if err != nil && r.ctx.Err() == nil {
			r.opts.Logger.WithError(err).Warn("registrations of agents not changed")
			pause(r.ctx, retryPause)
		}
		r.mu.Lock()
		pending, urgent := r.planner.Pending()
		r.mu.Unlock()
		now := r.opts.Now()
		if !pending {
			r.ackEnds()
			continue
		}
		if !urgent && now-last < commitInterval || now-last < commitGap*took {
			continue
		}
		last = now
		err := r.commitOnce()
		took = r.opts.Now() - now
		if err != nil {
			if errors.Is(err, ledger.ErrDeposed) {
				return err
			}
			r.opts.Logger.WithError(err).Warn("ends not stored")
			pause(r.ctx, retryPause)
		}
	}
}

// commitOnce stores changes, and tells agents which ends are stored if those were
// all.
func (r *leadership) commitOnce() error {
	r.mu.Lock()
	changes := r.planner.TakeChanges(ledger.MaxCommit)
	pending, _ := r.planner.Pending()
	marks := r.marks()
	r.mu.Unlock()
	began := time.Now()
	err := r.term.Commit(r.ctx, changes)
	commitSeconds.UpdateDuration(began)
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, c := range changes {
		if err != nil {
			r.planner.ChangeNotCommitted(c)
			continue
		}
		age := r.planner.ChangeCommitted(r.opts.Now(), c)
		if c.Progress.State.Terminal() {
			countJobEnd(c.Progress.State)
			r.large = append(r.large, c.Job)
			jobSeconds.Update(age.Seconds())
			r.opts.Logger.WithFields(log.Fields{"job": c.Job, "state": string(c.Progress.State), "age_ms": age.Milliseconds()}).Info("job ended")
		}
	}
	if err == nil && !pending {
		r.sendMarks(marks)
	}
	return err
}

// marks returns the last end that was taken from each agent.
func (r *leadership) marks() map[*link]endMark {
	marks := make(map[*link]endMark, len(r.links))
	for _, k := range r.links {
		marks[k] = k.taken
	}
	return marks
}

func (r *leadership) sendMarks(marks map[*link]endMark) {
	for k, m := range marks {
		k.ackEnds(m)
	}
}

// ackEnds acknowledges ends that changed nothing.
func (r *leadership) ackEnds() {
	r.mu.Lock()
	defer r.mu.Unlock()
	if pending, _ := r.planner.Pending(); !pending {
		r.sendMarks(r.marks())
	}
}

// tidy removes jobs that ended long ago, and agents on which nothing can be alive.
func (r *leadership) tidy() error {
	r.mu.Lock()
	ids := r.planner.CollectEnded(r.opts.Now())
	stats := r.planner.Stats()
	jobs := r.planner.Jobs()
	loads := r.planner.Loads(r.opts.Now())
	fleet := r.planner.Fleet()
	r.mu.Unlock()
	r.opts.Logger.WithFields(log.Fields{
		"jobs": jobs, "starts": stats.Starts, "stops": stats.Stops, "stalls": stats.Stalls,
		"lapses": stats.LeaseExpirations, "failures": stats.Failures, "refusals": stats.Refusals,
		"yields": stats.Deferrals,
	}).Info("planner")
	r.opts.Logger.WithFields(log.Fields{
		"agents": fleet.Agents, "serving_agents": fleet.LatencyCriticalAgents, "cpu_of": fleet.CapacityCPU, "cpu": fleet.UsedCPU,
		"filler_cpu": fleet.BestEffortCPU, "filler_cpu_paced": fleet.AllowedBestEffortCPU, "serving": fleet.LatencyCritical, "serving_over": fleet.OverTarget,
		"waiting": fleet.Waiting, "waiting_fillers": fleet.WaitingBestEffort,
	}).Info("fleet load")
	for _, a := range loads {
		r.opts.Logger.WithFields(log.Fields{
			"agent": a.ID, "state": a.State, "runs": a.Runs, "cpu": a.Used.CPU, "cpu_of": a.Capacity.CPU,
			"memory_mb": a.Used.MemoryMB, "memory_mb_of": a.Capacity.MemoryMB, "filler_cpu": a.BestEffortCPU,
			"filler_cpu_paced": a.AllowedBestEffortCPU, "serving": a.LatencyCritical, "draining": a.Draining, "ejected": a.Ejected,
			"faults": a.RecentFailures,
		}).Info("agent load")
	}
	if err := r.term.CompactJobs(r.ctx, r.large); err != nil {
		return err
	}
	r.large = nil
	r.ended = append(r.ended, ids...)
	if err := r.term.DeleteJobs(r.ctx, r.ended); err != nil {
		return err
	}
	r.ended = nil
	return nil
}
