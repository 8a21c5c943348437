package scheduler

import (
	"context"
	"errors"
	"time"

	"bamboowood/internal/placement"
	"bamboowood/internal/platform"
	"bamboowood/internal/state"
	"bamboowood/internal/structs"
)

const (
	// transientReasonDelay is how long a task waits before a transient (not Durable) reason
	// is written to its row.
	transientReasonDelay = 5 * time.Second
	// reasonInterval is the minimum time between two reasons written to the same task.
	reasonInterval = time.Minute
)

// recordedReason is the last reason that this scheduler read from or wrote to a task's row.
type recordedReason struct {
	reason placement.Reason
	at     time.Time
}

// recordReasons writes the reasons why pending tasks wait into their rows, up to GroupSize
// per pass. Durable reasons are written at once, others after passingReasonDelay, and each
// only when it has changed.
func (s *Scheduler) recordReasons(ctx context.Context, unplaceable []placement.Unplaceable) error {
	now := time.Now()
	s.pruneReasons()
	tx := state.NewTx()
	written := 0
	for _, u := range unplaceable {
		if written == s.options.GroupSize || !s.shouldRecord(u, now) {
			continue
		}
		row, err := state.Get[structs.Task](ctx, s.table, state.TaskKey(u.TaskID))
		if err != nil {
			return err
		}
		s.recordedReasons[u.TaskID] = recordedReason{u.Reason, now}
		text := string(u.Reason) + ": " + u.Reason.Detail()
		if row.Value.State != structs.StatePending || row.Value.Reason == text {
			continue
		}
		row.Value.Reason = text
		tx.Put(row.Key, row.Version, row.Value)
		written++
	}
	if written == 0 {
		return nil
	}
	err := state.Commit(ctx, s.table, tx)
	if errors.Is(err, platform.ErrConflict) {
		clear(s.recordedReasons)
		return nil
	}
	return err
}

func (s *Scheduler) shouldRecord(u placement.Unplaceable, now time.Time) bool {
	if u.Reason == placement.Delayed {
		return false // the row already contains the failure
	}
	last, ok := s.recordedReasons[u.TaskID]
	if ok {
		return last.reason != u.Reason && now.Sub(last.at) >= reasonInterval
	}
	return u.Reason.Durable() || now.Sub(s.view.queue[u.TaskID].Value.SubmittedAt) >= transientReasonDelay
}

// pruneReasons removes the tasks that no longer wait, once there are many of them.
func (s *Scheduler) pruneReasons() {
	if len(s.recordedReasons) <= 2*len(s.view.queue)+s.options.GroupSize {
		return
	}
	for id := range s.recordedReasons {
		if _, ok := s.view.queue[id]; !ok {
			delete(s.recordedReasons, id)
		}
	}
}
