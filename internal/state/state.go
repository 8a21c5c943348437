package state

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"slices"
	"strings"

	"github.com/google/uuid"

	"bamboowood/internal/platform"
	"bamboowood/internal/structs"
)

// envelope is the stored form of a row.
type envelope struct {
	TxID string          `json:"tx"`
	Data json.RawMessage `json:"data"`
}

// Row is a decoded row. Version is 0 and Value the zero value for a row that
// does not exist.
type Row[T any] struct {
	Key     string
	Version int64
	TxID    string
	Value   T
}

// Exists reports whether the row was found.
func (r Row[T]) Exists() bool { return r.Version != 0 }

// Get reads one row; a row that does not exist is no error (see Row.Exists).
func Get[T any](ctx context.Context, table platform.Table, key string) (Row[T], error) {
	raw, err := table.Get(ctx, key)
	if errors.Is(err, platform.ErrNotFound) {
		return Row[T]{Key: key}, nil
	}
	if err != nil {
		return Row[T]{Key: key}, fmt.Errorf("read %s: %w", key, err)
	}
	return Decode[T](raw)
}

// List reads all rows with the prefix, page by page.
func List[T any](ctx context.Context, table platform.Table, prefix string) ([]Row[T], error) {
	var rows []Row[T]
	after := ""
	for {
		page, err := table.List(ctx, prefix, after, platform.MaxPageRows)
		if err != nil {
			return nil, fmt.Errorf("list %s: %w", prefix, err)
		}
		for _, raw := range page.Rows {
			row, err := Decode[T](raw)
			if err != nil {
				return nil, err
			}
			rows = append(rows, row)
		}
		if page.Next == "" {
			return rows, nil
		}
		after = page.Next
	}
}

// Decode reads the value of a stored row.
func Decode[T any](raw platform.Row) (Row[T], error) {
	row := Row[T]{Key: raw.Key, Version: raw.Version}
	var e envelope
	if err := json.Unmarshal(raw.Value, &e); err != nil {
		return row, fmt.Errorf("decode %s: %w", raw.Key, err)
	}
	row.TxID = e.TxID
	if err := json.Unmarshal(e.Data, &row.Value); err != nil {
		return row, fmt.Errorf("decode %s: %w", raw.Key, err)
	}
	return row, nil
}

// Tx builds one transaction. Every written row is also checked, so that a
// repeat of the same transaction cannot take effect twice.
type Tx struct {
	// ID is stored with every row that the transaction writes.
	ID  string
	tx  platform.Tx
	err error
	// version is what the writes got, when the commit reported it.
	version int64
	// applied, if set, decides from the rows as they are now whether the
	// transaction took effect although later ones have overwritten its rows.
	applied func(ctx context.Context, table platform.Table) (bool, error)
}

// NewTx returns an empty transaction with a fresh id.
func NewTx() *Tx { return &Tx{ID: uuid.NewString()} }

// Version returns the version that the writes got, or 0 when it is not known:
// before Commit, and when a lost answer was settled by a task's history.
func (t *Tx) Version() int64 { return t.version }

// Check requires that the row still has the version (0: does not exist).
func (t *Tx) Check(key string, version int64) {
	t.tx.Checks = append(t.tx.Checks, platform.Check{Key: key, Version: version})
}

// Put checks the row's version and replaces its value.
func (t *Tx) Put(key string, version int64, value any) {
	data, err := json.Marshal(value)
	if err != nil {
		t.err = errors.Join(t.err, fmt.Errorf("encode %s: %w", key, err))
		return
	}
	stored, err := json.Marshal(envelope{TxID: t.ID, Data: data})
	if err != nil {
		t.err = errors.Join(t.err, fmt.Errorf("encode %s: %w", key, err))
		return
	}
	t.Check(key, version)
	t.tx.Writes = append(t.tx.Writes, platform.Write{Key: key, Value: stored})
}

// PutUnchecked writes a row without a check of its version: for an index row that only
// follows a checked row of the same transaction.
func (t *Tx) PutUnchecked(key string, value any) {
	checks := len(t.tx.Checks)
	t.Put(key, 0, value)
	t.tx.Checks = t.tx.Checks[:checks]
}

// DeleteUnchecked deletes a row without a check of its version; see PutUnchecked.
func (t *Tx) DeleteUnchecked(key string) {
	t.tx.Writes = append(t.tx.Writes, platform.Write{Key: key, Delete: true})
}

// Delete checks the row's version and deletes it.
func (t *Tx) Delete(key string, version int64) {
	t.Check(key, version)
	t.tx.Writes = append(t.tx.Writes, platform.Write{Key: key, Delete: true})
}

// VerifyWith sets how to decide whether the transaction took effect once later
// transactions may have overwritten all of its rows.
func (t *Tx) VerifyWith(applied func(ctx context.Context, table platform.Table) (bool, error)) {
	t.applied = applied
}

// ErrOutcomeUnknown says that a commit's outcome is still unknown: the table did not
// answer while it was being settled.
var ErrOutcomeUnknown = errors.New("commit outcome unknown")

// maxSettleTries bounds the repeats of a commit whose answer was lost.
const maxSettleTries = 3

// Commit commits t. A lost answer is settled by sending the same transaction
// again, whose checks let it take effect at most once, and on a conflict by
// reading back the transaction's id. The result is nil, or an error that wraps
// platform.ErrConflict, platform.ErrUnavailable, platform.ErrInvalid (nothing
// was written) or ErrOutcomeUnknown.
func Commit(ctx context.Context, table platform.Table, t *Tx) error {
	if t.err != nil {
		return fmt.Errorf("%w: %w", platform.ErrInvalid, t.err)
	}
	doubt := false
	var err error
	for range maxSettleTries {
		var version int64
		version, err = table.Commit(ctx, t.tx)
		switch {
		case err == nil:
			t.version = version
			return nil
		case errors.Is(err, platform.ErrConflict) && doubt:
			return settle(ctx, table, t, err)
		case platform.IsUnknown(err):
			doubt = true
		case !doubt:
			return fmt.Errorf("commit: %w", err)
		}
		if ctx.Err() != nil {
			break
		}
	}
	return fmt.Errorf("%w: %w", ErrOutcomeUnknown, err)
}

// settle decides after a conflict whether an earlier send of t took effect.
func settle(ctx context.Context, table platform.Table, t *Tx, conflict error) error {
	for _, w := range t.tx.Writes {
		effect, err := effectOn(ctx, table, t, w)
		if err != nil {
			return fmt.Errorf("%w: %w", ErrOutcomeUnknown, err)
		}
		switch effect {
		case effectWritten:
			return nil
		case effectNone:
			return fmt.Errorf("commit: %w", conflict)
		}
	}
	if t.applied == nil {
		return fmt.Errorf("%w: all rows have been overwritten", ErrOutcomeUnknown)
	}
	done, err := t.applied(ctx, table)
	if err != nil {
		return fmt.Errorf("%w: %w", ErrOutcomeUnknown, err)
	}
	if done {
		return nil
	}
	return fmt.Errorf("commit: %w", conflict)
}

// effect is what one row says about a transaction.
type effect int

const (
	effectUnclear effect = iota // overwritten since, or never written
	effectWritten
	effectNone
)

// effectOn reads a written row back. A row that is still at the checked version
// proves that the transaction took no effect, because versions only rise; the
// transaction's id in the row or in a task's history proves that it did.
func effectOn(ctx context.Context, table platform.Table, t *Tx, w platform.Write) (effect, error) {
	row, err := Get[json.RawMessage](ctx, table, w.Key)
	if err != nil {
		return effectUnclear, err
	}
	if row.Exists() && row.TxID == t.ID {
		t.version = row.Version
		return effectWritten, nil
	}
	if version, ok := t.checkedVersion(w.Key); ok && version == row.Version && (version != 0 || !w.Delete) {
		return effectNone, nil
	}
	if row.Exists() && strings.HasPrefix(w.Key, TaskPrefix) && inHistory(row.Value, t.ID) {
		return effectWritten, nil
	}
	return effectUnclear, nil
}

// inHistory reports whether a task's history has a change by the transaction.
func inHistory(data []byte, txID string) bool {
	var task structs.Task
	if err := json.Unmarshal(data, &task); err != nil {
		return false
	}
	return slices.ContainsFunc(task.History, func(c structs.Transition) bool { return c.TxID == txID })
}

func (t *Tx) checkedVersion(key string) (int64, bool) {
	for _, c := range t.tx.Checks {
		if c.Key == key {
			return c.Version, true
		}
	}
	return 0, false
}
