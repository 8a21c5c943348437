package state_test

import (
	"context"
	"errors"
	"strings"
	"testing"

	"github.com/shoenig/test/must"

	"bamboowood/internal/platform"
	"bamboowood/internal/standin"
	"bamboowood/internal/state"
	"bamboowood/internal/structs"
)

// answerLosingTable calls afterCommit once, after the first commit has reached the
// table, and then loses the answer if loseAnswer is set.
type answerLosingTable struct {
	platform.Table
	afterCommit func()
	loseAnswer  bool
}

var errCut = errors.New("connection cut")

func (t *answerLosingTable) Commit(ctx context.Context, tx platform.Tx) (int64, error) {
	version, err := t.Table.Commit(ctx, tx)
	if afterCommit := t.afterCommit; afterCommit != nil {
		t.afterCommit = nil
		afterCommit()
		if t.loseAnswer {
			return 0, errCut
		}
	}
	return version, err
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

// Guards against a commit reported as not written although it may have taken effect:
// its response is lost, and other transactions change its rows before they are read
// back. A transaction whose rows had all been overwritten was reported as a conflict.
func TestCommit_LostAnswer(t *testing.T) {
	leave := func(*testing.T, *standin.Table, *state.Tx) {}
	overwrite := func(t *testing.T, table *standin.Table, _ *state.Tx) { put(t, table, "zone/a", 2) }
	cases := []struct {
		name  string
		key   string
		since func(t *testing.T, table *standin.Table, tx *state.Tx)
		want  error
	}{
		{"row unchanged", "zone/a", leave, nil},
		{"row overwritten", "zone/a", overwrite, state.ErrOutcomeUnknown},
		{"task's history has the transaction", "task/a", func(t *testing.T, table *standin.Table, tx *state.Tx) {
			put(t, table, "task/a", structs.Task{ID: "a", History: []structs.Transition{{TxID: tx.ID}}})
		}, nil},
		{"task's history lacks the transaction", "task/a", func(t *testing.T, table *standin.Table, _ *state.Tx) {
			put(t, table, "task/a", structs.Task{ID: "a"})
		}, state.ErrOutcomeUnknown},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			table := standin.NewTable()
			version := put(t, table, c.key, structs.Task{})
			tx := state.NewTx()
			tx.Put(c.key, version, structs.Task{})
			losingTable := &answerLosingTable{Table: table, loseAnswer: true, afterCommit: func() { c.since(t, table, tx) }}
			err := state.Commit(t.Context(), losingTable, tx)
			if c.want == nil {
				must.NoError(t, err)
			} else {
				must.ErrorIs(t, err, c.want)
				must.False(t, errors.Is(err, platform.ErrConflict))
			}
		})
	}
}

// A commit whose first request is lost and whose second conflicts on another row took
// no effect: Commit reports a conflict, not an unknown outcome.
func TestCommit_ProvenConflict(t *testing.T) {
	table := standin.NewTable()
	a, b := put(t, table, "zone/a", 1), put(t, table, "zone/b", 1)
	tx := state.NewTx()
	tx.Check("zone/b", b)
	tx.Put("zone/a", a, 2)
	losingTable := &requestLosingTable{Table: table, beforeLoss: func() { put(t, table, "zone/b", 2) }}
	must.ErrorIs(t, state.Commit(t.Context(), losingTable, tx), platform.ErrConflict)
}

// requestLosingTable drops the first commit before it reaches the table and calls
// beforeLoss at that time.
type requestLosingTable struct {
	platform.Table
	beforeLoss func()
}

func (t *requestLosingTable) Commit(ctx context.Context, tx platform.Tx) (int64, error) {
	if beforeLoss := t.beforeLoss; beforeLoss != nil {
		t.beforeLoss = nil
		beforeLoss()
		return 0, errCut
	}
	return t.Table.Commit(ctx, tx)
}

// The function set by VerifyWith determines the outcome when the row does not show it:
// another transaction has overwritten it.
func TestCommit_VerifyWith(t *testing.T) {
	for _, applied := range []bool{true, false} {
		table := standin.NewTable()
		version := put(t, table, "zone/a", 1)
		tx := state.NewTx()
		tx.Put("zone/a", version, 2)
		tx.VerifyWith(func(context.Context, platform.Table) (bool, error) { return applied, nil })
		losingTable := &answerLosingTable{Table: table, loseAnswer: true, afterCommit: func() { put(t, table, "zone/a", 3) }}
		err := state.Commit(t.Context(), losingTable, tx)
		must.Eq(t, applied, err == nil)
		must.Eq(t, !applied, errors.Is(err, platform.ErrConflict))
	}
}

// Guards against one odd row that keeps all others with its prefix from being read: it is skipped.
func TestList_OddRowAmongOthers(t *testing.T) {
	table := standin.NewTable()
	good := structs.VM{ID: "good", Zone: "a", Capacity: structs.Resources{MilliCPU: 1000}}
	put(t, table, "vm/good", good)
	put(t, table, "vm/other-name", structs.VM{ID: "good"})
	put(t, table, "vm/no-name", structs.VM{})
	put(t, table, "vm/negative", structs.VM{ID: "negative", Capacity: structs.Resources{MilliCPU: -1}})
	put(t, table, "vm/too-large", structs.VM{ID: "too-large", Capacity: structs.Resources{MemoryMB: structs.MaxAmount + 1}})
	put(t, table, "vm/tasks", structs.VM{ID: "tasks", Tasks: map[string]structs.Reservation{
		"t": {Resources: structs.Resources{MilliCPU: -1 << 62}},
	}})
	put(t, table, "vm/other-type", "x")
	for key, value := range map[string]string{
		"no-json": "odd", "empty": "", "number": `{"tx":"x","data":{"id":"number","capacity":{"milli_cpu":1e300}}}`, "no-data": `{"tx":"x"}`,
		"nested": `{"tx":"x","data":` + strings.Repeat("[", 20_000) + strings.Repeat("]", 20_000) + `}`,
	} {
		_, err := table.Commit(t.Context(), platform.Tx{Writes: []platform.Write{{Key: "vm/" + key, Value: []byte(value)}}})
		must.NoError(t, err)
	}
	rows, err := state.List[structs.VM](t.Context(), table, state.VMPrefix)
	must.NoError(t, err)
	must.Len(t, 1, rows)
	must.Eq(t, good, rows[0].Value)
}
