package scheduler_test

import (
	"context"
	"fmt"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/apex/log"
	"github.com/apex/log/handlers/discard"
	"github.com/shoenig/test/must"

	"bamboowood/internal/control"
	"bamboowood/internal/platform"
	"bamboowood/internal/scheduler"
	"bamboowood/internal/standin"
	"bamboowood/internal/state"
	"bamboowood/internal/structs"
	"bamboowood/internal/task"
)

var discardLogger = &log.Logger{Handler: discard.New()}

func cores(n int64) structs.Resources {
	return structs.Resources{MilliCPU: n * 1000, MemoryMB: n * 1000}
}

func newScheduler(table platform.Table, name string) *scheduler.Scheduler {
	return scheduler.New(scheduler.Options{}, table, control.NewHolder(), func(string) {}, name, discardLogger)
}

func putVM(t must.T, table platform.Table, vm structs.VM) {
	t.Helper()
	tx := state.NewTx()
	tx.Put(state.VMKey(vm.ID), 0, vm)
	must.NoError(t, state.Commit(context.Background(), table, tx))
}

func submit(t must.T, table platform.Table, id string, spec structs.TaskSpec) {
	t.Helper()
	tx := task.NewTx(time.Now())
	tx.Submit(id, spec)
	must.NoError(t, tx.Commit(context.Background(), table))
}

func get[T any](t must.T, table platform.Table, key string) T {
	t.Helper()
	row, err := state.Get[T](context.Background(), table, key)
	must.NoError(t, err)
	return row.Value
}

func spec(team string, size structs.Resources) structs.TaskSpec {
	return structs.TaskSpec{Name: "fee-run", Kind: structs.KindBatch, Team: team, Declared: size}
}

func TestPass_PlacesWithinCapacity(t *testing.T) {
	table := standin.NewTable()
	putVM(t, table, structs.VM{ID: "v1", Zone: "a", Incarnation: 7, Capacity: cores(4), ServiceReserve: cores(1)})
	for i := range 5 {
		submit(t, table, fmt.Sprintf("j%d", i), spec("t", cores(1)))
	}
	submit(t, table, "huge", spec("t", cores(9)))
	must.NoError(t, newScheduler(table, "e1").Pass(t.Context()))
	vm := get[structs.VM](t, table, state.VMKey("v1"))
	must.MapLen(t, 3, vm.Tasks)
	must.Eq(t, cores(4), vm.Reserved())
	first := get[structs.Task](t, table, state.TaskKey("j0"))
	must.Eq(t, structs.StatePlaced, first.State)
	must.Eq(t, structs.Owner{VM: "v1", Incarnation: 7}, first.Owner)
	must.Eq(t, 1, first.Fence)
	must.StrHasPrefix(t, "never-fits", get[structs.Task](t, table, state.TaskKey("huge")).Reason)
}

// partitionedTable is a table that fails reads while partitioned is set.
type partitionedTable struct {
	platform.Table
	partitioned *atomic.Bool
}

// Get implements platform.Table.
func (t partitionedTable) Get(ctx context.Context, key string) (platform.Row, error) {
	if t.partitioned.Load() {
		return platform.Row{}, platform.ErrUnavailable
	}
	return t.Table.Get(ctx, key)
}

// An entry that cannot reach the table must stop scheduling, and another must take over once
// the lease's row has stayed unchanged long enough. The two must not overlap, although
// correctness depends only on the checks of the transactions. A table outage that affects
// both entries must not cause a takeover.
func TestRun_LeaseExpiry(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		table := standin.NewTable()
		var partitionedA, partitionedB atomic.Bool
		a, b := newScheduler(partitionedTable{table, &partitionedA}, "a"), newScheduler(partitionedTable{table, &partitionedB}, "b")
		ctx, stop := context.WithCancel(t.Context())
		go func() { _ = a.Run(ctx) }()
		time.Sleep(time.Second)
		go func() { _ = b.Run(ctx) }()
		time.Sleep(5 * time.Second)
		partitionedA.Store(true)
		time.Sleep(1500 * time.Millisecond) // b reads the last version of the row
		partitionedB.Store(true)
		time.Sleep(30 * time.Second)
		partitionedB.Store(false) // b reads the row before its holder can renew it
		time.Sleep(time.Second)
		must.False(t, b.Scheduling())
		partitionedA.Store(false)
		time.Sleep(5 * time.Second)
		must.True(t, a.Scheduling())
		must.False(t, b.Scheduling())
		partitionedA.Store(true)
		for range 100 {
			must.False(t, a.Scheduling() && b.Scheduling())
			time.Sleep(100 * time.Millisecond)
		}
		must.False(t, a.Scheduling())
		must.True(t, b.Scheduling())
		stop()
		time.Sleep(5 * time.Second)
	})
}

// A released lease must be acquired by another entry at once.
func TestRun_LeaseRelease(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		table := standin.NewTable()
		a, b := newScheduler(table, "a"), newScheduler(table, "b")
		ctxA, stopA := context.WithCancel(t.Context())
		ctxB, stopB := context.WithCancel(t.Context())
		defer stopB()
		go func() { _ = a.Run(ctxA) }()
		time.Sleep(time.Second)
		go func() { _ = b.Run(ctxB) }()
		time.Sleep(10 * time.Second)
		must.True(t, a.Scheduling())
		must.False(t, b.Scheduling())
		stopA()
		time.Sleep(2 * time.Second)
		must.False(t, a.Scheduling())
		must.True(t, b.Scheduling())
		stopB()
		synctest.Wait()
	})
}
