package scheduler

import (
	"context"
	"errors"
	"time"

	"bamboowood/internal/platform"
	"bamboowood/internal/state"
	"bamboowood/internal/structs"
)

const (
	// sweepInterval is the time between two pages of the sweep and sweepRows the size of a
	// page: a sweep of 12,000 tasks takes about ten minutes.
	sweepInterval = 5 * time.Second
	sweepRows     = 100
)

// sweep reads all task rows, page by page, and repairs the queue's index: a pending task
// without a queue entry would wait forever. Queue entries are written in the transactions of
// their tasks and should never be missing, so each repair increments the failure counter.
func (s *Scheduler) sweep(ctx context.Context) error {
	now := s.now()
	if !s.lastSweep.olderThan(now, sweepInterval) {
		return nil
	}
	page, err := s.table.List(ctx, state.TaskPrefix, s.sweepCursor, sweepRows)
	if err != nil {
		return err
	}
	s.lastSweep, s.sweepCursor = readTime{now, true}, page.Next
	for _, raw := range page.Rows {
		row, err := state.Decode[structs.Task](raw)
		if err != nil {
			s.log.WithError(err).Error("malformed task row skipped")
			continue
		}
		if row.Value.State != structs.StatePending {
			continue
		}
		if err := s.repairQueueEntry(ctx, row); err != nil {
			return err
		}
	}
	return nil
}

// repairQueueEntry adds the queue entry of a pending task that has none.
func (s *Scheduler) repairQueueEntry(ctx context.Context, row state.Row[structs.Task]) error {
	if _, ok := s.view.queue[row.Value.ID]; ok {
		return nil
	}
	key := state.QueueKey(row.Value.Spec.Priority, row.Value.ID)
	entry, err := state.Get[structs.QueueEntry](ctx, s.table, key)
	if err != nil || entry.Exists() {
		return err
	}
	tx := state.NewTx()
	tx.Check(row.Key, row.Version)
	tx.Put(key, 0, structs.NewQueueEntry(row.Value))
	err = state.Commit(ctx, s.table, tx)
	if errors.Is(err, platform.ErrConflict) {
		return nil
	}
	if err == nil {
		countFailure("queue-repair")
		s.log.WithField("task", row.Value.ID).Warn("missing queue entry of pending task added")
	}
	return err
}
