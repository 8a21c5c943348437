package state_test

import (
	"context"
	"errors"
	"testing"

	"github.com/shoenig/test/must"

	"bamboowood/internal/platform"
	"bamboowood/internal/standin"
	"bamboowood/internal/state"
	"bamboowood/internal/structs"
)

// interposed runs after once, after the first commit reached the table.
type interposed struct {
	platform.Table
	after func()
	lose  bool
}

var errCut = errors.New("connection cut")

func (i *interposed) Commit(ctx context.Context, tx platform.Tx) (int64, error) {
	v, err := i.Table.Commit(ctx, tx)
	if after := i.after; after != nil {
		i.after = nil
		after()
		if i.lose {
			return 0, errCut
		}
	}
	return v, err
}

func put(t *testing.T, table platform.Table, key string, value any) int64 {
	t.Helper()
	row, err := table.Get(t.Context(), key)
	if err != nil {
		must.ErrorIs(t, err, platform.ErrNotFound)
	}
	tx := state.NewTx()
	tx.Put(key, row.Version, value)
	must.NoError(t, state.Commit(t.Context(), table, tx))
	return tx.Version()
}

// What Commit says after a lost answer, by what happened to the rows since.
// Before, a transaction whose rows had all been overwritten was reported as a
// conflict, hence as not written.
func TestCommit_LostAnswer(t *testing.T) {
	keep := func(*testing.T, *standin.Table, *state.Tx) {}
	overwrite := func(t *testing.T, table *standin.Table, _ *state.Tx) { put(t, table, "zone/a", 2) }
	cases := []struct {
		name  string
		key   string
		since func(t *testing.T, table *standin.Table, tx *state.Tx)
		want  error
	}{
		{"row as written", "zone/a", keep, nil},
		{"row overwritten", "zone/a", overwrite, state.ErrOutcomeUnknown},
		{"task's history knows the transaction", "task/a", func(t *testing.T, table *standin.Table, tx *state.Tx) {
			put(t, table, "task/a", structs.Task{ID: "a", History: []structs.Transition{{TxID: tx.ID}}})
		}, nil},
		{"task's history does not", "task/a", func(t *testing.T, table *standin.Table, _ *state.Tx) {
			put(t, table, "task/a", structs.Task{ID: "a"})
		}, state.ErrOutcomeUnknown},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			table := standin.NewTable()
			version := put(t, table, c.key, structs.Task{})
			tx := state.NewTx()
			tx.Put(c.key, version, structs.Task{})
			lossy := &interposed{Table: table, lose: true, after: func() { c.since(t, table, tx) }}
			err := state.Commit(t.Context(), lossy, tx)
			if c.want == nil {
				must.NoError(t, err)
			} else {
				must.ErrorIs(t, err, c.want)
				must.False(t, errors.Is(err, platform.ErrConflict))
			}
		})
	}
}

// A request that never arrived and then conflicts on another row took no effect,
// and is said to be a conflict.
func TestCommit_ProvenConflict(t *testing.T) {
	table := standin.NewTable()
	a, b := put(t, table, "zone/a", 1), put(t, table, "zone/b", 1)
	tx := state.NewTx()
	tx.Check("zone/b", b)
	tx.Put("zone/a", a, 2)
	lost := &losing{Table: table, then: func() { put(t, table, "zone/b", 2) }}
	must.ErrorIs(t, state.Commit(t.Context(), lost, tx), platform.ErrConflict)
}

// losing loses the first request itself.
type losing struct {
	platform.Table
	then func()
}

func (l *losing) Commit(ctx context.Context, tx platform.Tx) (int64, error) {
	if then := l.then; then != nil {
		l.then = nil
		then()
		return 0, errCut
	}
	return l.Table.Commit(ctx, tx)
}

// VerifyWith settles what the rows cannot.
func TestCommit_ProveBy(t *testing.T) {
	for _, applied := range []bool{true, false} {
		table := standin.NewTable()
		version := put(t, table, "zone/a", 1)
		tx := state.NewTx()
		tx.Put("zone/a", version, 2)
		tx.VerifyWith(func(context.Context, platform.Table) (bool, error) { return applied, nil })
		lossy := &interposed{Table: table, lose: true, after: func() { put(t, table, "zone/a", 3) }}
		err := state.Commit(t.Context(), lossy, tx)
		must.Eq(t, applied, err == nil)
		must.Eq(t, !applied, errors.Is(err, platform.ErrConflict))
	}
}
