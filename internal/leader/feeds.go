package leader

import (
	"errors"

	"github.com/apex/log"

	"bamboowood/internal/ledger"
	"bamboowood/internal/store"
)

// follow calls next with the version that its last call returned, and reload when
// the store has dropped that history.
func (r *leadership) follow(
	version int64, next func(after int64) (int64, error), reload func() (int64, error),
) error {
	for r.ctx.Err() == nil {
		v, err := next(version)
		if errors.Is(err, store.ErrCompacted) {
			v, err = reload()
		}
		if err != nil {
			if r.ctx.Err() == nil {
				r.opts.Logger.WithError(err).Warn("feed of the store interrupted")
			}
			pause(r.ctx, retryPause)
			continue
		}
		version = v
	}
	return r.ctx.Err()
}

func (r *leadership) followJobs(version int64) error {
	return r.follow(version, func(after int64) (int64, error) {
		c, err := r.opts.Ledger.FollowJobs(r.ctx, after, followWait)
		if err != nil {
			return 0, err
		}
		r.take(c)
		return c.Version, nil
	}, r.reload)
}

func (r *leadership) followCancels(version int64) error {
	return r.follow(version, func(after int64) (int64, error) {
		c, err := r.opts.Ledger.FollowCancels(r.ctx, after, followWait)
		if err != nil {
			return 0, err
		}
		r.take(c)
		return c.Version, nil
	}, r.reload)
}

// reload reads all jobs and cancels, of which the planner may know most.
func (r *leadership) reload() (int64, error) {
	r.opts.Logger.Warn("store has dropped the history of a feed; reading all jobs")
	c, err := r.readJobs()
	if err != nil {
		return 0, err
	}
	r.take(c)
	return c.Version, nil
}

// take passes new jobs and cancels to the planner.
func (r *leadership) take(c *ledger.Contents) {
	r.mu.Lock()
	defer r.mu.Unlock()
	now := r.instant()
	for _, j := range c.Jobs {
		if !r.planner.HasJob(j.ID) {
			// A job that has ended and is being forgotten comes with its progress.
			r.add(now, j, c.Progress[j.ID], false)
			r.opts.Logger.WithFields(log.Fields{
				"job": j.ID, "queue": j.Queue.Name, "age_ms": now.Wall.Sub(j.AcceptedAt).Milliseconds(),
			}).Info("job known")
		}
		if r.early[j.ID] {
			delete(r.early, j.ID)
			r.planner.Cancel(now.Mono, j.ID)
		}
	}
	for _, id := range c.Cancels {
		if !r.planner.Cancel(now.Mono, id) {
			r.earlyCancel(id)
		}
	}
	r.logUnreadable(c)
	r.changed()
}

// earlyCancel keeps a cancel that overtook its job until the job is known or the ledger
// says that there is none: whoever cancelled was told that it is taken. It is called with
// the lock held.
func (r *leadership) earlyCancel(id string) {
	if r.early[id] {
		return
	}
	r.early[id] = true
	r.run("cancelled job", func() error {
		c, err := readUntilDone(r, "cancelled job", func() (*ledger.Contents, error) {
			return r.opts.Ledger.ReadJob(r.ctx, id)
		})
		if err != nil {
			return nil // the term has ended; the next leader reads all cancels
		}
		r.take(c)
		r.mu.Lock()
		defer r.mu.Unlock()
		if r.early[id] {
			delete(r.early, id)
			r.opts.Logger.WithField("job", id).Info("cancel of a job that the ledger does not have")
		}
		return nil
	})
}

func (r *leadership) followAgents(version int64) error {
	return r.follow(version, func(after int64) (int64, error) {
		agents, v, err := r.opts.Ledger.FollowAgents(r.ctx, after, followWait)
		if err == nil {
			r.addAgents(agents)
		}
		return v, err
	}, func() (int64, error) {
		agents, v, err := r.opts.Ledger.Agents(r.ctx)
		if err == nil {
			r.addAgents(agents)
		}
		return v, err
	})
}
