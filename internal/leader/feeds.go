package leader

import (
	"errors"
	"time"

	"github.com/apex/log"

	"bamboowood/internal/ledger"
	"bamboowood/internal/store"
)

// follow calls next in a loop, each time with the version that the last call returned. It
// calls reload if the feed cannot go on from there: the store has compacted the history, or the changes
// exceed the size limit.
func (r *leadership) follow(
	version int64, next func(after int64) (int64, error), reload func() (int64, error),
) error {
	for r.ctx.Err() == nil {
		v, err := next(version)
		if feedInterrupted(err) {
			r.opts.Logger.WithError(err).Warn("store feed cannot go on; reading the whole table")
			v, err = reload()
		}
		if err != nil {
			if r.ctx.Err() == nil {
				r.opts.Logger.WithError(err).Warn("store feed interrupted")
			}
			pause(r.ctx, retryPause)
			continue
		}
		version = v
	}
	return r.ctx.Err()
}

// feedInterrupted reports whether a feed cannot go on from the version that it was called with.
func feedInterrupted(err error) bool {
	return errors.Is(err, store.ErrCompacted) || errors.Is(err, store.ErrTooLarge)
}

func (r *leadership) followJobs(version int64) error {
	return r.follow(version, func(after int64) (int64, error) {
		c, err := r.opts.Ledger.FollowJobs(r.ctx, after, followWait)
		if err != nil {
			return 0, err
		}
		r.applyContents(c)
		return c.Version, nil
	}, r.reload)
}

func (r *leadership) followCancels(version int64) error {
	return r.follow(version, func(after int64) (int64, error) {
		sent := r.opts.Now()
		feed := store.FeedRequest{After: after, Wait: r.cancelsWait(sent)}
		c, err := r.opts.Ledger.FollowCancels(r.ctx, feed.After, feed.Wait)
		if err != nil {
			return 0, err
		}
		at, known := feed.CurrentAt(sent, r.opts.Now(), c.Rows)
		r.applyContents(c)
		if known {
			r.cancelsCurrent(at)
		}
		return c.Version, nil
	}, r.reload)
}

// cancelsWait returns how long the next call of the feed of cancels may wait for a change.
func (r *leadership) cancelsWait(now time.Duration) time.Duration {
	r.mu.Lock()
	defer r.mu.Unlock()
	if now-r.cancelsAt > store.StaleAge {
		return 0
	}
	return followCancelsWait
}

// cancelsCurrent records that the planner has all cancels that were confirmed up to a time.
func (r *leadership) cancelsCurrent(at time.Duration) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.cancelsAt = max(r.cancelsAt, at)
}

// reload reads all jobs and cancels again. Those that the planner has already have no effect.
func (r *leadership) reload() (int64, error) {
	began := r.opts.Now()
	c, err := r.readJobs()
	if err != nil {
		return 0, err
	}
	r.applyContents(c)
	r.cancelsCurrent(began)
	return c.Version, nil
}

// applyContents passes new jobs and all cancels to the planner.
func (r *leadership) applyContents(c *ledger.Contents) {
	r.mu.Lock()
	defer r.mu.Unlock()
	now := r.instant()
	r.quarantineUnknownProgress(c)
	for _, j := range c.Jobs {
		if !r.planner.HasJob(j.ID) {
			// Progress is set for a job that has ended and is being deleted.
			r.addJob(now, j, c.Progress[j.ID], false)
			r.opts.Logger.WithFields(log.Fields{
				"job": j.ID, "queue": j.Queue.Name, "age_ms": now.Wall.Sub(j.AcceptedAt).Milliseconds(),
			}).Info("job added")
		}
		r.cancelIfUnmatched(now.Mono, j.ID)
	}
	for _, cancel := range c.Cancels {
		// A leader that stores since when a cancel has no job has found that the job is not stored.
		if !r.cancelJob(now.Mono, cancel) && cancel.UnmatchedAt == 0 {
			r.bufferEarlyCancel(cancel.Job)
		}
	}
	r.logUnreadable(c)
	r.signalChange()
}

// bufferEarlyCancel looks for the job of a cancel that was received before it, which has been confirmed to the
// caller. A job that is not stored cannot be stored while the ledger has the cancel. It is called with the lock
// held.
func (r *leadership) bufferEarlyCancel(id string) {
	if r.earlyCancels[id] {
		return
	}
	r.earlyCancels[id] = true
	r.run("cancelled job", func() error {
		c, err := retryRead(r, "cancelled job", func() (*ledger.Contents, error) {
			return r.opts.Ledger.ReadJob(r.ctx, id)
		})
		if err != nil {
			return nil // the term has ended; the next leader reads all cancels
		}
		r.applyContents(c)
		r.mu.Lock()
		defer r.mu.Unlock()
		if r.earlyCancels[id] {
			delete(r.earlyCancels, id)
			r.opts.Logger.WithField("job", id).Info("cancelled job is not stored")
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
