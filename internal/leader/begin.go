package leader

import (
	"math/rand/v2"
	"time"

	"github.com/apex/log"

	"bamboowood/internal/contain"
	"bamboowood/internal/job"
	"bamboowood/internal/ledger"
	"bamboowood/internal/planner"
)

// recoverState recovers the planner's state from the ledger and then starts the loops that
// plan, commit and follow feeds.
func (r *leadership) recoverState() error {
	began := r.opts.Now()
	var agentsVersion int64
	agents, err := retryRead(r, "agents", func() (agents map[string]ledger.Agent, err error) {
		agents, agentsVersion, err = r.opts.Ledger.Agents(r.ctx)
		return agents, err
	})
	if err != nil {
		return err
	}
	readAt := r.opts.Now()
	r.addUnreportedAgents(agents, readAt)
	contents, err := r.readJobs()
	if err != nil {
		return err
	}
	r.cancelsCurrent(readAt)
	r.term.SetProgressVersions(contents)
	r.jobsToDelete, r.endsToDelete = contents.PartiallyDeleted, contents.ObsoleteEnds
	r.recoverPlanner(contents)
	r.opts.Logger.WithFields(log.Fields{
		"jobs": len(contents.Jobs), "agents": len(agents), "took": (r.opts.Now() - began).String(),
	}).Info("ledger recovered; scheduling started")
	r.leader.leadership.Store(r)
	r.run("plans", r.planLoop)
	r.run("commits", r.commitLoop)
	r.run("lost agents", r.recordLostLoop)
	r.run("jobs", func() error { return r.followJobs(contents.Version) })
	r.run("cancels", func() error { return r.followCancels(contents.Version) })
	r.run("agents", func() error { return r.followAgents(agentsVersion) })
	return nil
}

// readJobs reads all jobs, their progress and their cancels from the ledger.
func (r *leadership) readJobs() (*ledger.Contents, error) {
	loader := r.opts.Ledger.NewLoader()
	return retryRead(r, "jobs", func() (*ledger.Contents, error) { return loader.Run(r.ctx) })
}

// retryRead retries a read of the ledger until it succeeds or the term ends.
func retryRead[T any](r *leadership, what string, read func() (T, error)) (T, error) {
	for {
		result, err := read()
		if err == nil || r.ctx.Err() != nil {
			return result, err
		}
		r.opts.Logger.WithError(err).WithField("what", what).Warn("ledger read failed")
		pause(r.ctx, retryPause+rand.N(retryPause))
	}
}

// recoverPlanner passes the ledger's contents to the planner, and then the messages that agents
// have sent in the meantime.
func (r *leadership) recoverPlanner(c *ledger.Contents) {
	r.mu.Lock()
	defer r.mu.Unlock()
	now := r.instant()
	r.quarantineUnknownProgress(c)
	for _, j := range c.Jobs {
		r.addJob(now, j, c.Progress[j.ID], true)
		r.planner.JobAcceptedAt(j.ID, c.JobVersions[j.ID])
	}
	for _, e := range c.HeldEnds {
		r.applyEnd(now.Mono, "", e)
	}
	for _, cancel := range c.Cancels {
		r.cancelJob(now.Mono, cancel)
	}
	r.logUnreadable(c)
	r.recovered, r.recoveredAt = true, now.Mono
	for _, conn := range r.conns {
		if conn.registered {
			conn.applyBuffered(now.Mono)
		}
	}
}

// addJob passes a job to the planner and quarantines it if the planner panics. It is called
// with the lock held.
func (r *leadership) addJob(now planner.Instant, j *job.Job, progress *planner.Progress, recovered bool) {
	err := contain.Do(r.opts.Logger.WithField("job", j.ID), "new job", func() error {
		r.planner.AddJob(now, j, progress, recovered)
		return nil
	})
	if err != nil {
		r.quarantine(j.ID)
	}
}

// quarantineUnknownProgress keeps jobs out of the planner whose tasks may be done. It is called
// with the lock held.
func (r *leadership) quarantineUnknownProgress(c *ledger.Contents) {
	for _, id := range c.UnknownProgress {
		if !r.planner.HasJob(id) {
			r.quarantine(id)
		}
	}
}

func (r *leadership) logUnreadable(c *ledger.Contents) {
	rowsUnreadable.Add(len(c.Unreadable))
	for _, err := range c.Unreadable {
		r.opts.Logger.WithError(err).Error("unreadable ledger row skipped")
	}
}

// addUnreportedAgents adds all agents to the planner as unreported, since they may have runs of
// an earlier leader until their leases have expired. Sessions start only after all agents have been added. The
// registrations were read before readAt.
func (r *leadership) addUnreportedAgents(agents map[string]ledger.Agent, readAt time.Duration) {
	r.mu.Lock()
	defer r.mu.Unlock()
	bound := r.grants.leasesExpire(r.began, r.opts.LeaseDuration)
	for id, a := range agents {
		r.planner.AddUnreportedAgent(id, r.previous.expiry(a.Lost, readAt, bound))
		if a.Lost != (ledger.Lost{}) {
			r.planner.AgentLostAt(id, a.Lost.Since)
		}
	}
	for id, a := range agents {
		r.addConn(id, a)
	}
}
