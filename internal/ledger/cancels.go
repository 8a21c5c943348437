package ledger

import (
	"context"
	"encoding/json"
	"errors"
	"slices"
	"time"

	"bamboowood/internal/store"
)

// A row of cancelTable whose job is not stored keeps that job from being stored: Accept requires that there
// is no such row. The store may perform an unanswered write seconds later, so that otherwise a job could be
// stored after its cancel was answered. The leader deletes these rows after a time.

var (
	// ErrCancelled means that a job was cancelled before it was stored. It is not stored, and no write of it
	// that is still under way will take effect.
	ErrCancelled = errors.New("job was cancelled before it was stored")
	// ErrNotStored means that the cancel of a job is stored, but the job is not. No write of it that is still
	// under way will take effect.
	ErrNotStored = errors.New("cancelled job is not stored")
)

// Cancel is a stored cancellation.
type Cancel struct {
	Job string
	// Version is the version of the row; 0 if it has not been read from the store.
	Version int64
	// UnmatchedAt is the store's clock at a time at which the job was not stored; 0 if the row has none.
	UnmatchedAt time.Duration
}

// cancelRow is the value of a row of cancelTable.
type cancelRow struct {
	UnmatchedMillis int64 `json:"unmatched_ms,omitempty"`
}

var plainCancel = []byte("{}")

func decodeCancel(row store.Row) Cancel {
	var value cancelRow
	// A value that cannot be decoded is replaced like one without a time.
	if json.Unmarshal(row.Value, &value) != nil || value.UnmatchedMillis < 0 || value.UnmatchedMillis > maxClockMillis {
		value = cancelRow{}
	}
	return Cancel{Job: row.Key, Version: row.Version, UnmatchedAt: time.Duration(value.UnmatchedMillis) * time.Millisecond}
}

// Cancel stores the cancellation of a job that is stored.
func (l *Ledger) Cancel(ctx context.Context, id string) error {
	return l.apply(ctx, store.Tx{Writes: []store.Write{{Key: jobKey(cancelTable, id), Value: plainCancel}}})
}

// CancelUnknown stores the cancellation of a job that may not be stored. It returns ErrNotStored if the job is
// not, in which case the cancellation is stored all the same.
func (l *Ledger) CancelUnknown(ctx context.Context, id string) error {
	err := l.apply(ctx, store.Tx{
		Expect: []store.Expect{{Key: jobKey(jobTable, id)}},
		Writes: []store.Write{{Key: jobKey(cancelTable, id), Value: plainCancel}},
	})
	if conflict := (*store.ConflictError)(nil); errors.As(err, &conflict) {
		return l.Cancel(ctx, id)
	}
	if err == nil {
		return ErrNotStored
	}
	return err
}

// acceptConflict returns the error of Accept for a transaction that was not applied.
func acceptConflict(id string, conflict *store.ConflictError) error {
	if _, stored := conflict.Row(jobTable, id); stored {
		return nil
	}
	if _, cancelled := conflict.Row(cancelTable, id); cancelled {
		return ErrCancelled
	}
	return conflict
}

// maxCancelChanges bounds the cancels in one transaction: each has two expected rows and a change.
const maxCancelChanges = store.MaxTxEntries / 3

// MarkUnmatched stores, with cancels whose jobs are not stored, a time of the store's clock. The result holds the
// new rows. A cancel that it lacks has been changed, or its job is stored.
func (h *HeldTerm) MarkUnmatched(ctx context.Context, cancels []Cancel, at time.Duration) ([]Cancel, error) {
	value, err := json.Marshal(cancelRow{UnmatchedMillis: at.Milliseconds()})
	if err != nil {
		return nil, err
	}
	return h.changeUnmatched(ctx, cancels, func(tx *store.Tx, c Cancel) {
		tx.Writes = append(tx.Writes, store.Write{Key: jobKey(cancelTable, c.Job), Value: value})
	}, at)
}

// DeleteUnmatched deletes cancels whose jobs are not stored. The result holds those that it has deleted. A cancel
// that it lacks has been changed, or its job is stored.
func (h *HeldTerm) DeleteUnmatched(ctx context.Context, cancels []Cancel) ([]Cancel, error) {
	return h.changeUnmatched(ctx, cancels, func(tx *store.Tx, c Cancel) {
		tx.Remove = append(tx.Remove, jobKey(cancelTable, c.Job))
	}, 0)
}

// changeUnmatched changes cancels in transactions of one part each, which require that the rows are unchanged and
// the jobs are not stored. The term is not checked: under these conditions a deposed leader may make the change,
// too.
func (h *HeldTerm) changeUnmatched(ctx context.Context, cancels []Cancel, add func(*store.Tx, Cancel), at time.Duration) ([]Cancel, error) {
	parts := map[string][]Cancel{}
	for _, c := range cancels {
		parts[jobPart(c.Job)] = append(parts[jobPart(c.Job)], c)
	}
	var changed []Cancel
	for _, part := range parts {
		for chunk := range slices.Chunk(part, maxCancelChanges) {
			done, version, err := h.changeInPart(ctx, chunk, add)
			if err != nil {
				return changed, err
			}
			for _, c := range done {
				changed = append(changed, Cancel{Job: c.Job, Version: version, UnmatchedAt: at})
			}
		}
	}
	return changed, nil
}

// changeInPart changes cancels of one part, and leaves out those that do not meet the conditions.
func (h *HeldTerm) changeInPart(ctx context.Context, cancels []Cancel, add func(*store.Tx, Cancel)) ([]Cancel, int64, error) {
	for len(cancels) > 0 {
		var tx store.Tx
		for _, c := range cancels {
			row := store.Expect{Key: jobKey(cancelTable, c.Job), Version: c.Version}
			tx.Expect = append(tx.Expect, store.Expect{Key: jobKey(jobTable, c.Job)}, row)
			add(&tx, c)
		}
		version, err := h.ledger.store.Apply(ctx, tx)
		conflict := (*store.ConflictError)(nil)
		if !errors.As(err, &conflict) {
			return cancels, version, err
		}
		unchanged := slices.DeleteFunc(slices.Clone(cancels), func(c Cancel) bool { return !unmatched(conflict, c) })
		if len(unchanged) == len(cancels) {
			return nil, 0, err
		}
		cancels = unchanged
	}
	return nil, 0, nil
}

// unmatched reports whether the row of a cancel is unchanged and its job is not stored.
func unmatched(conflict *store.ConflictError, c Cancel) bool {
	_, stored := conflict.Row(jobTable, c.Job)
	row, found := conflict.Row(cancelTable, c.Job)
	return !stored && found && row.Version == c.Version
}
