package ledger

import (
	"context"
	"errors"
	"fmt"

	"bamboowood/internal/planner"
	"bamboowood/internal/store"
)

// MaxCommit is the maximum number of changes in a transaction: each needs an expected row
// and a write, and the term one more expected row.
const MaxCommit = (store.MaxTxEntries - 1) / 2

// Outcome is what became of the changes of a call of Commit. The others may be stored.
type Outcome struct {
	Stored   []planner.Change
	Rejected []Rejection
}

// Rejection is a change that can never be stored.
type Rejection struct {
	Change planner.Change
	// Bytes is the size of the row.
	Bytes int
	Err   error
}

// ErrRowTooLarge means that the row of a change has more than store.MaxRowBytes.
var ErrRowTooLarge = errors.New("row is longer than the store allows")

// progressRow is the encoded row of a change.
type progressRow struct {
	change planner.Change
	value  []byte
}

// Commit stores changes of progress, each atomically. After an error other than ErrDeposed, changes that
// are not in the outcome may be stored; the same changes, or newer ones of the same jobs, can be
// committed again. A change that can never be stored does not keep the others from being stored.
func (h *HeldTerm) Commit(ctx context.Context, changes []planner.Change) (Outcome, error) {
	var out Outcome
	if h.unconfirmed != nil {
		if err := h.retryUnconfirmed(ctx); err != nil {
			return out, err
		}
	}
	rows := make([]progressRow, 0, len(changes))
	for _, c := range changes {
		value, err := encodeProgress(c.Progress)
		if err == nil && len(value) > store.MaxRowBytes {
			err = ErrRowTooLarge
		}
		if err != nil {
			out.Rejected = append(out.Rejected, Rejection{c, len(value), fmt.Errorf("encode progress of %s: %w", c.Job, err)})
			continue
		}
		rows = append(rows, progressRow{c, value})
	}
	for len(rows) > 0 {
		n := batchSize(rows)
		if err := h.commitRows(ctx, rows[:n], &out); err != nil {
			return out, err
		}
		rows = rows[n:]
	}
	return out, nil
}

// batchSize returns how many of the rows, at least one, fit in a transaction.
func batchSize(rows []progressRow) int {
	n, bytes := 0, 0
	for n < min(len(rows), MaxCommit) {
		bytes += len(rows[n].value)
		if n > 0 && bytes > store.MaxTxValueBytes {
			break
		}
		n++
	}
	return n
}

// commitRows stores rows in one transaction. If the store rejects it, each half is stored by itself, until
// the rows that cause it are found.
func (h *HeldTerm) commitRows(ctx context.Context, rows []progressRow, out *Outcome) error {
	tx := store.Tx{Expect: []store.Expect{h.expectTerm()}}
	for _, r := range rows {
		k := mainKey(progressTable, r.change.Job)
		tx.Expect = append(tx.Expect, store.Expect{Key: k, Version: h.progressVersions[r.change.Job]})
		tx.Writes = append(tx.Writes, store.Write{Key: k, Value: r.value})
	}
	err := h.applyProgress(ctx, tx)
	switch {
	case err == nil:
		for _, r := range rows {
			out.Stored = append(out.Stored, r.change)
		}
		return nil
	case !errors.Is(err, store.ErrRejected):
		return err
	case len(rows) > 1:
		half := len(rows) / 2
		if err := h.commitRows(ctx, rows[:half], out); err != nil {
			return err
		}
		return h.commitRows(ctx, rows[half:], out)
	}
	// A store that rejects every transaction gives no evidence against this row.
	if renewErr := h.Renew(ctx); renewErr != nil {
		return fmt.Errorf("%w; renewal: %w", err, renewErr)
	}
	out.Rejected = append(out.Rejected, Rejection{rows[0].change, len(rows[0].value), err})
	return nil
}

// retryUnconfirmed repeats the transaction that got no answer. One that the store rejects has had no effect
// and does not keep others from being stored: if it is applied later all the same, the next transaction of
// its rows conflicts and reads their versions.
func (h *HeldTerm) retryUnconfirmed(ctx context.Context) error {
	err := h.applyProgress(ctx, *h.unconfirmed)
	if errors.Is(err, store.ErrRejected) {
		h.unconfirmed = nil
		return nil
	}
	return err
}
