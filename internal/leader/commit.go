package leader

import (
	"errors"
	"time"

	"github.com/apex/log"

	"bamboowood/internal/ledger"
	"bamboowood/internal/planner"
)

// commitSpacing is the least time between the starts of two commits, as a multiple of the
// duration of the first. Term renewals write to the same part of the store and must not queue
// behind commits of a slow store.
const commitSpacing = 2

func (r *leadership) commitLoop() error {
	ticker := time.NewTicker(commitInterval)
	defer ticker.Stop()
	var lastCommit, lastDuration, lastGC time.Duration
	for {
		select {
		case <-r.ctx.Done():
			return r.ctx.Err()
		case <-r.wakeCommit:
		case <-ticker.C:
		}
		if now := r.opts.Now(); now-lastGC > gcInterval {
			lastGC = now
			if err := r.collectGarbage(); errors.Is(err, ledger.ErrDeposed) {
				return err
			} else if err != nil && r.ctx.Err() == nil {
				r.opts.Logger.WithError(err).Warn("ledger garbage collection failed")
			}
		}
		if err := r.updateRegistrations(); errors.Is(err, ledger.ErrDeposed) {
			return err
		} else if err != nil && r.ctx.Err() == nil {
			r.opts.Logger.WithError(err).Warn("agent registration update failed")
			pause(r.ctx, retryPause)
		}
		r.mu.Lock()
		pending, urgent := r.planner.Pending()
		r.mu.Unlock()
		now := r.opts.Now()
		if !pending {
			if err := r.reportStoredEnds(); errors.Is(err, ledger.ErrDeposed) {
				return err
			} else if err != nil && r.ctx.Err() == nil {
				r.opts.Logger.WithError(err).Warn("ends of runs not held")
				pause(r.ctx, retryPause)
			}
			continue
		}
		if !urgent && now-lastCommit < commitInterval || now-lastCommit < commitSpacing*lastDuration {
			continue
		}
		lastCommit = now
		err := r.commitOnce()
		lastDuration = r.opts.Now() - now
		if err != nil {
			if errors.Is(err, ledger.ErrDeposed) {
				return err
			}
			r.opts.Logger.WithError(err).Warn("ledger commit failed")
			pause(r.ctx, retryPause)
		}
	}
}

// commitOnce stores pending changes. If no more were pending, it notifies the agents of the
// stored ends.
func (r *leadership) commitOnce() error {
	r.mu.Lock()
	changes := r.planner.TakeChanges(ledger.MaxCommit)
	pending, _ := r.planner.Pending()
	received := r.receivedEnds()
	r.mu.Unlock()
	if len(changes) == 0 {
		return nil // all pending changes wait for starts to take effect or expire
	}
	began := time.Now()
	outcome, err := r.term.Commit(r.ctx, changes)
	commitSeconds.UpdateDuration(began)
	r.changesDone(changes, outcome)
	if err != nil || pending {
		return err
	}
	return r.holdEnds(received)
}

// changesDone passes the result of a commit to the planner.
func (r *leadership) changesDone(changes []planner.Change, outcome ledger.Outcome) {
	r.mu.Lock()
	defer r.mu.Unlock()
	done := map[string]bool{}
	for _, c := range outcome.Stored {
		done[c.Job] = true
		r.changeStored(c)
	}
	for _, x := range outcome.Rejected {
		done[x.Change.Job] = true
		r.setAside(x)
	}
	for _, c := range changes {
		if !done[c.Job] {
			r.planner.ChangeNotCommitted(c)
		}
	}
}

// changeStored is called with the lock held.
func (r *leadership) changeStored(c planner.Change) {
	age := r.planner.ChangeCommitted(r.opts.Now(), c)
	if !c.Progress.State.Terminal() {
		return
	}
	countJobEnd(c.Progress.State)
	r.jobsToCompact = append(r.jobsToCompact, c.Job)
	jobSeconds.Update(age.Seconds())
	r.opts.Logger.WithFields(log.Fields{"job": c.Job, "state": string(c.Progress.State), "age_ms": age.Milliseconds()}).Info("job ended")
}

// setAside stops a job whose progress can never be stored. The ends that the rejected change holds are not
// stored with it: they are held for a later leader, as are those that follow. It is called with the lock held.
func (r *leadership) setAside(x ledger.Rejection) {
	reason := "rejected"
	if errors.Is(x.Err, ledger.ErrRowTooLarge) {
		reason = "too-large"
	}
	countRejectedWrite(reason)
	if !r.planner.SetAside(r.opts.Now(), x.Change.Job) {
		return
	}
	jobsQuarantined.Inc()
	r.opts.Logger.WithError(x.Err).WithFields(log.Fields{"job": x.Change.Job, "bytes": x.Bytes, "reason": reason}).
		Error("job set aside; its progress cannot be stored; it stays accepted and is not run")
}

// receivedEnds returns the sequence number of the last end received from each agent. It is
// called with the lock held.
func (r *leadership) receivedEnds() map[*agentConn]endSequence {
	received := make(map[*agentConn]endSequence, len(r.conns))
	for _, conn := range r.conns {
		received[conn] = conn.receivedEnds
	}
	return received
}

// reportStoredEnds notifies the agents of stored ends if no change is pending. It covers ends
// that caused no change. No commit has shown that the term goes on, so it must have been renewed
// recently: ends that mean nothing to this leader may matter to a later one.
func (r *leadership) reportStoredEnds() error {
	r.mu.Lock()
	pending, _ := r.planner.Pending()
	current := r.opts.Now() < r.renewedAt+startValidity
	received := r.receivedEnds()
	r.mu.Unlock()
	if pending || !current {
		return nil
	}
	return r.holdEnds(received)
}

// collectGarbage logs statistics, compacts the rows of ended jobs, and deletes jobs and cancels whose
// retention has expired.
func (r *leadership) collectGarbage() error {
	r.mu.Lock()
	ids := r.planner.CollectEnded(r.opts.Now())
	stats := r.planner.Stats()
	jobs := r.planner.Jobs()
	setAside := r.planner.SetAsideJobs()
	loads := r.planner.Loads(r.opts.Now())
	fleet := r.planner.Fleet(r.opts.Now())
	r.mu.Unlock()
	jobsSetAside.Set(float64(setAside))
	blamedFailures.Set(uint64(stats.BlamedFailures))
	r.opts.Logger.WithFields(log.Fields{
		"jobs": jobs, "starts": stats.Starts, "stops": stats.Stops, "stalls": stats.Stalls,
		"lapses": stats.LeaseExpirations, "failures": stats.Failures, "refusals": stats.Refusals,
		"yields": stats.Deferrals, "set_aside": setAside,
	}).Info("planner statistics")
	r.opts.Logger.WithFields(log.Fields{
		"agents": fleet.Agents, "serving_agents": fleet.LatencyCriticalAgents, "cpu_of": fleet.CapacityCPU, "cpu": fleet.RequestedCPU,
		"filler_cpu": fleet.BestEffortCPU, "filler_cpu_paced": fleet.AllowedBestEffortCPU, "serving": fleet.LatencyCritical, "serving_over": fleet.OverTarget,
		"waiting": fleet.Waiting, "waiting_fillers": fleet.WaitingBestEffort,
	}).Info("fleet load")
	for _, a := range loads {
		r.opts.Logger.WithFields(log.Fields{
			"agent": a.ID, "state": a.State, "runs": a.Runs, "cpu": a.Requested.CPU, "cpu_of": a.Capacity.CPU,
			"memory_mb": a.Requested.MemoryMB, "memory_mb_of": a.Capacity.MemoryMB, "filler_cpu": a.BestEffortCPU,
			"filler_cpu_paced": a.AllowedBestEffortCPU, "serving": a.LatencyCritical, "draining": a.Draining, "ejected": a.Ejected,
			"faults": a.RecentFailures,
		}).Info("agent load")
	}
	if err := r.term.CompactJobs(r.ctx, r.jobsToCompact); err != nil {
		return err
	}
	r.jobsToCompact = nil
	r.jobsToDelete = append(r.jobsToDelete, ids...)
	if err := r.term.DeleteJobs(r.ctx, r.jobsToDelete); err != nil {
		return err
	}
	r.jobsToDelete = nil
	if err := r.term.DeleteHeldEnds(r.ctx, r.endsToDelete); err != nil {
		return err
	}
	r.endsToDelete = nil
	return r.collectCancels()
}
