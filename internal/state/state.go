package state

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"slices"
	"strings"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/apex/log"
	"github.com/google/uuid"
	"golang.org/x/time/rate"

	"bamboowood/internal/platform"
	"bamboowood/internal/structs"
)

// envelope is the stored form of a row's value.
type envelope struct {
	TxID string          `json:"tx"`
	Data json.RawMessage `json:"data"`
}

// Row is a decoded row. A row that does not exist has Version 0 and the zero Value.
type Row[T any] struct {
	Key     string
	Version int64
	TxID    string
	Value   T
}

// Exists reports whether the row exists in the table.
func (r Row[T]) Exists() bool { return r.Version != 0 }

// Get reads one row. A row that does not exist is not an error (see Row.Exists).
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

// List reads all rows whose keys have the prefix, page by page. It skips the rows for which
// DecodeListed returns false.
func List[T any](ctx context.Context, table platform.Table, prefix string) ([]Row[T], error) {
	var rows []Row[T]
	after := ""
	for {
		page, err := table.List(ctx, prefix, after, platform.MaxPageRows)
		if err != nil {
			return nil, fmt.Errorf("list %s: %w", prefix, err)
		}
		for _, raw := range page.Rows {
			if row, ok := DecodeListed[T](raw, prefix); ok {
				rows = append(rows, row)
			}
		}
		if page.Next == "" {
			return rows, nil
		}
		after = page.Next
	}
}

// rowLogs bounds the log lines of skipped rows, which are listed again and again.
var rowLogs = rate.NewLimiter(rate.Every(time.Minute), 10)

// DecodeListed decodes a row of a list by prefix. It logs and counts a row that cannot be decoded,
// or that the method CheckRow of its type refuses for its key, and returns false: another writer
// has left it, and it must not keep the other rows from being used.
func DecodeListed[T any](raw platform.Row, prefix string) (Row[T], bool) {
	row, err := Decode[T](raw)
	if checked, ok := any(row.Value).(interface{ CheckRow(key string) error }); ok && err == nil {
		err = checked.CheckRow(raw.Key)
	}
	if err == nil {
		return row, true
	}
	metrics.GetOrCreateCounter(fmt.Sprintf("bamboowood_state_rows_unreadable_total{prefix=%q}", prefix)).Inc()
	if rowLogs.Allow() {
		log.WithError(err).WithField("key", raw.Key).Error("unreadable row skipped")
	}
	return row, false
}

// Decode decodes a stored row.
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

// Tx builds one transaction. Every written row is also checked, except by the methods
// named Unchecked, so that sending the transaction again cannot apply it twice. A Tx is
// not safe for concurrent use.
type Tx struct {
	// ID is stored with every row that the transaction writes.
	ID  string
	tx  platform.Tx
	err error
	// version is the version of the written rows, or 0 when it is not known.
	version int64
	// applied, if set, reports from the current rows whether the transaction took
	// effect, for the case that later transactions have overwritten its rows.
	applied func(ctx context.Context, table platform.Table) (bool, error)
}

// NewTx returns an empty transaction with a fresh id.
func NewTx() *Tx { return &Tx{ID: uuid.NewString()} }

// Version returns the version of the written rows. It is 0 before Commit. It
// stays 0 if the response was lost and only a task's history proved that the commit took
// effect.
func (t *Tx) Version() int64 { return t.version }

// Check makes the commit conditional on the row's version (0: does not exist).
func (t *Tx) Check(key string, version int64) {
	t.tx.Checks = append(t.tx.Checks, platform.Check{Key: key, Version: version})
}

// Put replaces the row's value and checks its version.
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

// PutUnchecked writes a row without a check of its version. It is for an index row
// that is derived from a checked row of the same transaction.
func (t *Tx) PutUnchecked(key string, value any) {
	checks := len(t.tx.Checks)
	t.Put(key, 0, value)
	t.tx.Checks = t.tx.Checks[:checks]
}

// DeleteUnchecked deletes a row without a check of its version; see PutUnchecked.
func (t *Tx) DeleteUnchecked(key string) {
	t.tx.Writes = append(t.tx.Writes, platform.Write{Key: key, Delete: true})
}

// Delete deletes the row and checks its version.
func (t *Tx) Delete(key string, version int64) {
	t.Check(key, version)
	t.tx.Writes = append(t.tx.Writes, platform.Write{Key: key, Delete: true})
}

// VerifyWith sets the function that reports whether the transaction took effect. Commit
// calls it when its response was lost and later transactions may have overwritten all rows.
func (t *Tx) VerifyWith(applied func(ctx context.Context, table platform.Table) (bool, error)) {
	t.applied = applied
}

// ErrOutcomeUnknown is returned when a commit may or may not have taken effect: its
// response was lost and the table's rows did not show the outcome or could not be read.
var ErrOutcomeUnknown = errors.New("commit outcome unknown")

// maxCommitAttempts bounds how often a commit is sent when its response is lost.
const maxCommitAttempts = 3

// Commit commits t. After a lost response it sends the same transaction again, whose
// checks let it take effect at most once; a conflict is then resolved by reading back
// the transaction's id. The result is nil, or an error that wraps
// platform.ErrConflict, platform.ErrUnavailable, platform.ErrInvalid (nothing was
// written) or ErrOutcomeUnknown.
func Commit(ctx context.Context, table platform.Table, t *Tx) error {
	if t.err != nil {
		return fmt.Errorf("%w: %w", platform.ErrInvalid, t.err)
	}
	unconfirmed := false
	var err error
	for range maxCommitAttempts {
		var version int64
		version, err = table.Commit(ctx, t.tx)
		switch {
		case err == nil:
			t.version = version
			return nil
		case errors.Is(err, platform.ErrConflict) && unconfirmed:
			return determineOutcome(ctx, table, t, err)
		case platform.IsUnknown(err):
			unconfirmed = true
		case !unconfirmed:
			return fmt.Errorf("commit: %w", err)
		}
		if ctx.Err() != nil {
			break
		}
	}
	return fmt.Errorf("%w: %w", ErrOutcomeUnknown, err)
}

// determineOutcome finds out, after a conflict, whether an earlier send of t took
// effect. It returns nil if it did.
func determineOutcome(ctx context.Context, table platform.Table, t *Tx, conflict error) error {
	for _, w := range t.tx.Writes {
		evidence, err := readEvidence(ctx, table, t, w)
		if err != nil {
			return fmt.Errorf("%w: %w", ErrOutcomeUnknown, err)
		}
		switch evidence {
		case evidenceCommitted:
			return nil
		case evidenceNotCommitted:
			return fmt.Errorf("commit: %w", conflict)
		}
	}
	if t.applied == nil {
		return fmt.Errorf("%w: all rows have been overwritten", ErrOutcomeUnknown)
	}
	applied, err := t.applied(ctx, table)
	if err != nil {
		return fmt.Errorf("%w: %w", ErrOutcomeUnknown, err)
	}
	if applied {
		return nil
	}
	return fmt.Errorf("commit: %w", conflict)
}

// rowEvidence is what the state of one row shows about a transaction's outcome.
type rowEvidence int

const (
	evidenceInconclusive rowEvidence = iota // the row was overwritten since, or never written
	evidenceCommitted
	evidenceNotCommitted
)

// readEvidence reads a written row back. A row that still has the checked version
// proves that the transaction took no effect, because versions only rise. The
// transaction's id in the row or in a task's history proves that it took effect.
func readEvidence(ctx context.Context, table platform.Table, t *Tx, w platform.Write) (rowEvidence, error) {
	row, err := Get[json.RawMessage](ctx, table, w.Key)
	if err != nil {
		return evidenceInconclusive, err
	}
	if row.Exists() && row.TxID == t.ID {
		t.version = row.Version
		return evidenceCommitted, nil
	}
	if version, ok := t.checkedVersion(w.Key); ok && version == row.Version && (version != 0 || !w.Delete) {
		return evidenceNotCommitted, nil
	}
	if row.Exists() && strings.HasPrefix(w.Key, TaskPrefix) && inHistory(row.Value, t.ID) {
		return evidenceCommitted, nil
	}
	return evidenceInconclusive, nil
}

// inHistory reports whether the history of an encoded task contains a transition by
// the transaction.
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
