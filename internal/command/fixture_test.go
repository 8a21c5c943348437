package command_test

import (
	"context"
	"fmt"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"bamboowood/internal/command"
	"bamboowood/internal/platform"
	"bamboowood/internal/standin"
	"bamboowood/internal/state"
	"bamboowood/internal/statement"
	"bamboowood/internal/structs"
)

var epoch = time.Date(2026, 3, 1, 8, 0, 0, 0, time.UTC)

func clock() time.Time { return epoch }

// hookedTable calls beforeCommit before each commit. beforeCommit may change the table,
// or return an error with which the commit fails before it takes effect.
type hookedTable struct {
	platform.Table
	beforeCommit func(tx platform.Tx) error
}

func (t *hookedTable) Commit(ctx context.Context, tx platform.Tx) (int64, error) {
	if hook := t.beforeCommit; hook != nil {
		if err := hook(tx); err != nil {
			return 0, err
		}
	}
	return t.Table.Commit(ctx, tx)
}

type tb interface {
	must.T
	Context() context.Context
}

// put writes a row whatever its version.
func put(t tb, table platform.Table, key string, value any) {
	row, err := state.Get[any](t.Context(), table, key)
	must.NoError(t, err)
	tx := state.NewTx()
	tx.Put(key, row.Version, value)
	must.NoError(t, state.Commit(t.Context(), table, tx))
}

func get[T any](t tb, table platform.Table, key string) T {
	row, err := state.Get[T](t.Context(), table, key)
	must.NoError(t, err)
	must.True(t, row.Exists(), must.Sprintf("row %s is missing", key))
	return row.Value
}

// newTable returns a table with two zones of two VMs each. job-1 runs on norte-1, job-2
// is placed there, and job-3 and watch-1 are pending.
func newTable(t tb) *standin.Table {
	table := standin.NewTable()
	config := structs.Config{
		Services: map[string]structs.Service{"glint-check": {Name: "glint-check", WaitMS: 200, Idempotent: true}},
		Zones:    map[string]structs.Zone{"norte": {Name: "norte", State: structs.ZoneActive}, "sur": {Name: "sur", State: structs.ZoneActive}},
		Teams:    map[string]structs.Team{"guild": {Name: "guild", Quota: structs.Resources{MilliCPU: 200_000, MemoryMB: 900_000, Accelerators: 4}}},
		Kinds:    map[string]structs.Kind{"recalibration": {Name: "recalibration", Kind: structs.KindBatch, Team: "guild", Declared: taskResources}},
	}
	must.NoError(t, command.New(table, clock).Bootstrap(t.Context(), config))
	for _, id := range []string{"norte-1", "norte-2", "sur-1", "sur-2"} {
		zone := id[:len(id)-2]
		vm := structs.VM{
			ID: id, Zone: zone, Rack: "r1", Incarnation: 1, Services: []string{"glint-check"},
			Capacity: structs.Resources{MilliCPU: 64_000, MemoryMB: 250_000},
		}
		if id == "norte-1" {
			vm.Tasks = map[string]structs.Reservation{"job-1": {Resources: taskResources, Fence: 1}, "job-2": {Resources: taskResources, Fence: 1}}
		}
		put(t, table, state.VMKey(id), vm)
	}
	owner := structs.Owner{VM: "norte-1", Incarnation: 1}
	putTask(t, table, structs.Task{ID: "job-1", State: structs.StateRunning, Owner: owner, Reserved: taskResources, Fence: 1})
	putTask(t, table, structs.Task{ID: "job-2", State: structs.StatePlaced, Owner: owner, Reserved: taskResources, Fence: 1})
	putTask(t, table, structs.Task{ID: "job-3", State: structs.StatePending})
	putTask(t, table, structs.Task{ID: "watch-1", State: structs.StatePending, Spec: structs.TaskSpec{Kind: structs.KindWatch}})
	return table
}

var taskResources = structs.Resources{MilliCPU: 4000, MemoryMB: 8192}

func putTask(t tb, table platform.Table, task structs.Task) {
	if task.Spec.Kind == "" {
		task.Spec.Kind = structs.KindBatch
	}
	task.Spec.Name, task.Spec.Team, task.Spec.Declared = "recalibration", "guild", taskResources
	task.SubmittedAt, task.ChangedAt = epoch, epoch
	put(t, table, state.TaskKey(task.ID), task)
}

func newRequest(t tb, id, author, text string) command.Request {
	s, err := statement.Parse(text)
	must.NoError(t, err)
	return command.Request{ID: id, Author: author, Statement: s}
}

// dump returns all rows as text, to compare the contents of tables.
func dump(t tb, table platform.Table) string {
	page, err := table.List(t.Context(), "", "", platform.MaxPageRows)
	must.NoError(t, err)
	return fmt.Sprint(page.Rows)
}

func version(t tb, table platform.Table) int64 {
	return get[state.Control](t, table, state.ControlKey).Version
}

var _ tb = (*testing.T)(nil)
