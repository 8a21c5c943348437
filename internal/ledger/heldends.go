package ledger

import (
	"context"
	"fmt"
	"slices"
	"strconv"
	"strings"

	"bamboowood/internal/job"
	"bamboowood/internal/store"
)

// heldEndTable has one row for each held end: the end of a run of a stored job that the leader did not
// have, since it could not read the job or its progress, or had quarantined it. The key is TASK/RUN, the value
// the reason of the end.
const heldEndTable = "heldends"

func heldEndKey(e job.End) store.Key {
	return mainKey(heldEndTable, e.Run.Task.String()+"/"+strconv.FormatInt(e.Run.Number, 10))
}

func decodeHeldEnd(row store.Row) (job.End, error) {
	name, number, _ := strings.Cut(row.Key, "/")
	task, err := job.ParseTask(name)
	if err != nil {
		return job.End{}, fmt.Errorf("decode held end: %w", err)
	}
	e := job.End{Run: job.Run{Task: task}, Reason: job.EndReason(row.Value)}
	if e.Run.Number, err = strconv.ParseInt(number, 10, 64); err != nil || e.Run.Number < 1 {
		return job.End{}, fmt.Errorf("decode held end of %s: run number %q", name, number)
	}
	return e, nil
}

// HoldEnds stores ends of jobs that this leader does not have, for a later one. It returns ErrDeposed if a
// later term has begun.
func (h *HeldTerm) HoldEnds(ctx context.Context, ends []job.End) error {
	for chunk := range slices.Chunk(ends, store.MaxTxEntries-1) {
		tx := store.Tx{Expect: []store.Expect{h.expectTerm()}}
		for _, e := range chunk {
			tx.Writes = append(tx.Writes, store.Write{Key: heldEndKey(e), Value: []byte(e.Reason)})
		}
		if err := conflictAsDeposed(h.ledger.apply(ctx, tx)); err != nil {
			return err
		}
	}
	return nil
}

// DeleteHeldEnds deletes held ends.
func (h *HeldTerm) DeleteHeldEnds(ctx context.Context, ends []job.End) error {
	for chunk := range slices.Chunk(ends, store.MaxTxEntries-1) {
		tx := store.Tx{Expect: []store.Expect{h.expectTerm()}}
		for _, e := range chunk {
			tx.Remove = append(tx.Remove, heldEndKey(e))
		}
		if err := conflictAsDeposed(h.ledger.apply(ctx, tx)); err != nil {
			return err
		}
	}
	return nil
}

// addHeldEnds decodes the rows of held ends. Those of jobs that are not stored any more are obsolete.
func (c *Contents) addHeldEnds(rows []store.Row, stored, ended map[string]bool) {
	for _, row := range rows {
		e, err := decodeHeldEnd(row)
		switch {
		case err != nil:
			c.Unreadable = append(c.Unreadable, err)
		case !stored[e.Run.Task.Job] || ended[e.Run.Task.Job]:
			c.ObsoleteEnds = append(c.ObsoleteEnds, e)
		default:
			c.HeldEnds = append(c.HeldEnds, e)
		}
	}
}
