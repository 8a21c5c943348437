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

// begin reads what the store has and then begins to plan.
func (r *leadership) begin() error {
	began := r.opts.Now()
	var agentsVersion int64
	agents, err := readUntilDone(r, "agents", func() (agents map[string]ledger.Agent, err error) {
		agents, agentsVersion, err = r.opts.Ledger.Agents(r.ctx)
		return agents, err
	})
	if err != nil {
		return err
	}
	r.awaitAgents(agents, began+grantLease+r.opts.LeaseDuration+leaseMargin)
	contents, err := r.readJobs()
	if err != nil {
		return err
	}
	r.term.SetProgressVersions(contents)
	r.ended = contents.Orphans
	r.restore(contents)
	r.opts.Logger.WithFields(log.Fields{
		"jobs": len(contents.Jobs), "agents": len(agents), "took": (r.opts.Now() - began).String(),
	}).Info("leading")
	r.leader.leadership.Store(r)
	r.run("plans", r.planLoop)
	r.run("commits", r.commitLoop)
	r.run("jobs", func() error { return r.followJobs(contents.Version) })
	r.run("cancels", func() error { return r.followCancels(contents.Version) })
	r.run("agents", func() error { return r.followAgents(agentsVersion) })
	return nil
}

// readJobs reads all that the ledger has of jobs.
func (r *leadership) readJobs() (*ledger.Contents, error) {
	load := r.opts.Ledger.NewLoader()
	return readUntilDone(r, "jobs", func() (*ledger.Contents, error) { return load.Run(r.ctx) })
}

// readUntilDone repeats a read of the ledger until it succeeds or the term ends.
func readUntilDone[T any](r *leadership, what string, read func() (T, error)) (T, error) {
	for {
		found, err := read()
		if err == nil || r.ctx.Err() != nil {
			return found, err
		}
		r.opts.Logger.WithError(err).WithField("what", what).Warn("ledger cannot be read")
		pause(r.ctx, retryPause+rand.N(retryPause))
	}
}

// restore passes the ledger's contents to the planner, and then what agents have sent
// meanwhile.
func (r *leadership) restore(c *ledger.Contents) {
	r.mu.Lock()
	defer r.mu.Unlock()
	now := r.instant()
	for _, j := range c.Jobs {
		r.add(now, j, c.Progress[j.ID], true)
	}
	for _, id := range c.Cancels {
		r.planner.Cancel(now.Mono, id)
	}
	r.logUnreadable(c)
	r.restored = true
	for _, k := range r.links {
		if k.registered {
			k.takeHeld(now.Mono)
		}
	}
}

// add passes a job to the planner; one that it cannot take is set aside. It is called
// with the lock held.
func (r *leadership) add(now planner.Instant, j *job.Job, progress *planner.Progress, recovered bool) {
	err := contain.Do(r.opts.Logger.WithField("job", j.ID), "new job", func() error {
		r.planner.AddJob(now, j, progress, recovered)
		return nil
	})
	if err != nil {
		r.setAside(j.ID)
	}
}

func (r *leadership) logUnreadable(c *ledger.Contents) {
	for _, err := range c.Unreadable {
		r.opts.Logger.WithError(err).Error("row of the ledger left out")
	}
}

// awaitAgents makes the planner wait for all agents that may have runs of an
// earlier leader, and begins their sessions once it knows of all.
func (r *leadership) awaitAgents(agents map[string]ledger.Agent, lapseAt time.Duration) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for id := range agents {
		r.planner.AddUnreportedAgent(id, lapseAt)
	}
	for id, a := range agents {
		r.addLink(id, a)
	}
}
