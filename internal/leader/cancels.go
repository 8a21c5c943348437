package leader

import (
	"maps"
	"slices"
	"time"

	"github.com/apex/log"

	"bamboowood/internal/ledger"
)

// minCancelRetention is the least time for which the cancel of a job that is not stored is kept, and keeps the job
// from being stored. The store performs an unanswered write within seconds.
const minCancelRetention = time.Minute

// cancelJob passes a cancel to the planner. One that the planner has no job for is kept. It is called with the
// lock held.
func (r *leadership) cancelJob(now time.Duration, c ledger.Cancel) (known bool) {
	if r.planner.Cancel(now, c.Job) {
		return true
	}
	if c.Version > r.unmatchedCancels[c.Job].Version {
		r.unmatchedCancels[c.Job] = c
	}
	return false
}

// cancelIfUnmatched cancels a new job whose cancel was received before it. It is called with the lock held.
func (r *leadership) cancelIfUnmatched(now time.Duration, id string) {
	if _, found := r.unmatchedCancels[id]; found || r.earlyCancels[id] {
		delete(r.unmatchedCancels, id)
		delete(r.earlyCancels, id)
		r.planner.Cancel(now, id)
	}
}

// collectCancels deletes the cancels of jobs that are not stored once their retention has expired. Its begin is
// stored with them, so that it does not depend on how long a leader leads.
func (r *leadership) collectCancels() error {
	r.mu.Lock()
	cancels := slices.Collect(maps.Values(r.unmatchedCancels))
	r.mu.Unlock()
	unmatchedCancels.Set(float64(len(cancels)))
	if len(cancels) == 0 {
		return nil
	}
	now, err := r.opts.Ledger.StoreTime(r.ctx)
	if err != nil || now == 0 {
		return err
	}
	retention := max(r.opts.Planner.EndedRetention, minCancelRetention)
	var unmarked, expired []ledger.Cancel
	for _, c := range cancels {
		switch {
		case c.UnmatchedAt == 0 || c.UnmatchedAt > now: // the latter if the store's clock has been reset
			unmarked = append(unmarked, c)
		case now-c.UnmatchedAt >= retention:
			expired = append(expired, c)
		}
	}
	marked, err := r.term.MarkUnmatched(r.ctx, unmarked, now)
	if err != nil {
		return err
	}
	r.replaceUnmatched(unmarked, marked)
	deleted, err := r.term.DeleteUnmatched(r.ctx, expired)
	if err != nil {
		return err
	}
	r.replaceUnmatched(expired, nil)
	if len(marked)+len(deleted) > 0 {
		r.opts.Logger.WithFields(log.Fields{"marked": len(marked), "deleted": len(deleted), "kept": len(cancels) - len(deleted)}).
			Info("cancels without a job collected")
	}
	return nil
}

// replaceUnmatched replaces cancels that have been handled. One that was received meanwhile stays.
func (r *leadership) replaceUnmatched(handled, replacements []ledger.Cancel) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, c := range handled {
		if r.unmatchedCancels[c.Job].Version == c.Version {
			delete(r.unmatchedCancels, c.Job)
		}
	}
	for _, c := range replacements {
		if !r.planner.HasJob(c.Job) && c.Version > r.unmatchedCancels[c.Job].Version {
			r.unmatchedCancels[c.Job] = c
		}
	}
}
