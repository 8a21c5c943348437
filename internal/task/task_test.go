package task_test

import (
	"errors"
	"fmt"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"bamboowood/internal/standin"
	"bamboowood/internal/state"
	"bamboowood/internal/structs"
	"bamboowood/internal/task"
)

var (
	now            = time.Date(2026, 1, 2, 3, 4, 5, 0, time.UTC)
	owner          = structs.Owner{VM: "vm1", Incarnation: 3}
	reservedAmount = structs.Resources{MilliCPU: 1000, MemoryMB: 100}
	allStates      = []structs.TaskState{
		structs.StatePending, structs.StatePlaced, structs.StateRunning, structs.StateEvicting,
		structs.StateStopping, structs.StateSucceeded, structs.StateFailed, structs.StateCancelled,
	}
)

func vmRow() task.VMRow {
	return task.VMRow{Key: state.VMKey("vm1"), Version: 5, Value: structs.VM{
		ID: "vm1", Zone: "sur", Incarnation: 3, Capacity: structs.Resources{MilliCPU: 2500, MemoryMB: 1000},
		Tasks: map[string]structs.Reservation{"t": {Resources: reservedAmount, Fence: 7}},
	}}
}

func taskRow(s structs.TaskState) task.Row {
	t := structs.Task{ID: "t", Spec: structs.TaskSpec{Kind: structs.KindBatch}, State: s, Fence: 7, Checkpoint: "old"}
	if s.HoldsResources() {
		t.Owner, t.Reserved = owner, reservedAmount
	}
	return task.Row{Key: state.TaskKey("t"), Version: 9, Value: t}
}

func zoneRow(s structs.ZoneState) task.ZoneRow {
	return task.ZoneRow{Key: state.ZoneKey("sur"), Version: 2, Value: structs.Zone{Name: "sur", State: s}}
}

func leaseRow() task.LeaseRow {
	return task.LeaseRow{Key: state.LeaseKey("vm1"), Version: 4, Value: structs.Lease{VM: "vm1", Incarnation: 3}}
}

var claim = task.Claim{Owner: owner, Fence: 7}

// Runs each operation in each state: it moves the task to the listed state or is refused.
func TestOperations(t *testing.T) {
	const p, pl, r, e, s = structs.StatePending, structs.StatePlaced, structs.StateRunning, structs.StateEvicting, structs.StateStopping
	const ok, f, c = structs.StateSucceeded, structs.StateFailed, structs.StateCancelled
	type after map[structs.TaskState]structs.TaskState
	operations := []struct {
		name string
		do   func(x *task.Tx, row task.Row) error
		want after
	}{
		{"place", func(x *task.Tx, row task.Row) error {
			return x.Place(row, vmRow(), zoneRow(structs.ZoneActive), reservedAmount, "fits")
		}, after{p: pl}},
		{"start", func(x *task.Tx, row task.Row) error { return x.Start(row, leaseRow(), zoneRow(structs.ZoneActive)) }, after{pl: r}},
		{"succeed", func(x *task.Tx, row task.Row) error { return x.Succeed(row, vmRow(), claim) }, after{p: ok, r: ok, e: ok, s: ok}},
		{"fail", func(x *task.Tx, row task.Row) error { return x.Fail(row, vmRow(), claim, "crash") }, after{pl: p, r: p, e: p, s: c}},
		{"requeue", func(x *task.Tx, row task.Row) error { return x.Requeue(row, vmRow(), "new", "lost") }, after{pl: p, r: p, e: p, s: c}},
		{"evicted", func(x *task.Tx, row task.Row) error { return x.Evicted(row, vmRow(), claim, "new") }, after{e: p}},
		{"evict", func(x *task.Tx, row task.Row) error { return x.Evict(row, vmRow(), "drain") }, after{pl: p, r: e}},
		{"cancel", func(x *task.Tx, row task.Row) error { return x.Cancel(row, vmRow(), "operator") }, after{p: c, pl: c, r: s, e: s}},
		{"fail pending", func(x *task.Tx, row task.Row) error { return x.FailPending(row, "too large") }, after{p: f}},
	}
	for _, op := range operations {
		for _, from := range allStates {
			t.Run(fmt.Sprintf("%s/%s", op.name, from), func(t *testing.T) {
				x := task.NewTx(now)
				err := op.do(x, taskRow(from))
				want, allowed := op.want[from]
				if !allowed {
					must.Error(t, err)
					must.True(t, x.Empty(), must.Sprint("a refused operation was added"))
					return
				}
				must.NoError(t, err)
				got := x.Tasks()[0].Value
				must.Eq(t, want, got.State)
				must.Eq(t, want.HoldsResources(), got.Owner == owner)
				last := got.History[len(got.History)-1]
				must.Eq(t, x.ID(), last.TxID)
				if vm, ok := x.VM("vm1"); ok {
					_, reserved := vm.Value.Tasks["t"]
					must.Eq(t, want.HoldsResources(), reserved)
				} else {
					must.Eq(t, from.HoldsResources(), want.HoldsResources())
				}
			})
		}
	}
}

func TestPlace_Refusals(t *testing.T) {
	edit := func(f func(vm *structs.VM)) task.VMRow {
		vm := vmRow()
		f(&vm.Value)
		return vm
	}
	later := taskRow(structs.StatePending)
	later.Value.NotBefore = now.Add(time.Second)
	cases := []struct {
		name   string
		row    task.Row
		vm     task.VMRow
		zone   task.ZoneRow
		amount structs.Resources
		want   task.Refusal
	}{
		{"zone drained", taskRow(structs.StatePending), vmRow(), zoneRow(structs.ZoneDrained), reservedAmount, task.RefusedZoneDrained},
		{"row of another zone", taskRow(structs.StatePending), vmRow(), task.ZoneRow{Key: state.ZoneKey("norte")}, reservedAmount, task.RefusedZoneDrained},
		{"draining", taskRow(structs.StatePending), edit(func(vm *structs.VM) { vm.Draining = true }), zoneRow(structs.ZoneActive), reservedAmount, task.RefusedDraining},
		{"revoked", taskRow(structs.StatePending), edit(func(vm *structs.VM) { vm.Revoked = true }), zoneRow(structs.ZoneActive), reservedAmount, task.RefusedRevoked},
		{"backoff", later, vmRow(), zoneRow(structs.ZoneActive), reservedAmount, task.RefusedNotDue},
		{"no capacity", taskRow(structs.StatePending), vmRow(), zoneRow(structs.ZoneActive), structs.Resources{MilliCPU: 1501}, task.RefusedNoCapacity},
		{"no accelerator", taskRow(structs.StatePending), vmRow(), zoneRow(structs.ZoneActive), structs.Resources{Accelerators: 1}, task.RefusedNoCapacity},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			x := task.NewTx(now)
			var refusal *task.RefusalError
			must.True(t, errors.As(x.Place(c.row, c.vm, c.zone, c.amount, ""), &refusal))
			must.Eq(t, c.want, refusal.Reason)
			must.True(t, x.Empty())
		})
	}
}

// Guards against overcommitting a VM and against placing in a drained zone: placements
// of one transaction accumulate on the VM, and the commit fails if another transaction
// has changed the VM or the zone.
func TestTx_Batch(t *testing.T) {
	ctx, table := t.Context(), standin.NewTable()
	setup := state.NewTx()
	vm := vmRow().Value
	vm.Tasks = nil
	setup.Put(state.VMKey("vm1"), 0, vm)
	setup.Put(state.ZoneKey("sur"), 0, zoneRow(structs.ZoneActive).Value)
	must.NoError(t, state.Commit(ctx, table, setup))
	submit := task.NewTx(now)
	for _, id := range []string{"t1", "t2", "t3"} {
		submit.Submit(id, structs.TaskSpec{Name: "n", Kind: structs.KindBatch})
	}
	must.NoError(t, submit.Commit(ctx, table))

	zone, err := state.Get[structs.Zone](ctx, table, state.ZoneKey("sur"))
	must.NoError(t, err)
	readVM := func() task.VMRow {
		row, err := state.Get[structs.VM](ctx, table, state.VMKey("vm1"))
		must.NoError(t, err)
		return row
	}
	before := readVM()
	x := task.NewTx(now)
	rows := submit.Tasks()
	must.NoError(t, x.Place(rows[0], before, zone, reservedAmount, ""))
	must.NoError(t, x.Place(rows[1], before, zone, reservedAmount, ""))
	must.Error(t, x.Place(rows[2], before, zone, reservedAmount, "")) // 2500 - 2 * 1000 < 1000
	must.Error(t, x.Place(rows[1], before, zone, structs.Resources{}, ""))
	must.MapEmpty(t, before.Value.Tasks)

	concurrent := task.NewTx(now)
	must.NoError(t, concurrent.Place(rows[2], before, zone, reservedAmount, ""))
	must.NoError(t, x.Commit(ctx, table))
	must.Error(t, concurrent.Commit(ctx, table))
	must.MapLen(t, 2, readVM().Value.Tasks)

	change := state.NewTx()
	change.Put(zone.Key, zone.Version, zoneRow(structs.ZoneDrained).Value)
	must.NoError(t, state.Commit(ctx, table, change))
	late := task.NewTx(now)
	must.NoError(t, late.Place(rows[2], readVM(), zone, structs.Resources{}, ""))
	must.Error(t, late.Commit(ctx, table))
}

// Guards against a report of another run, another VM or an older incarnation that changes
// the task.
func TestReports_WrongClaim(t *testing.T) {
	claims := map[string]task.Claim{
		"older fence": {Owner: owner, Fence: 6}, "newer fence": {Owner: owner, Fence: 8},
		"other VM":          {Owner: structs.Owner{VM: "vm2", Incarnation: 3}, Fence: 7},
		"older incarnation": {Owner: structs.Owner{VM: "vm1", Incarnation: 2}, Fence: 7},
	}
	for name, c := range claims {
		t.Run(name, func(t *testing.T) {
			x := task.NewTx(now)
			must.Error(t, x.Succeed(taskRow(structs.StateRunning), vmRow(), c))
			must.Error(t, x.Fail(taskRow(structs.StateRunning), vmRow(), c, ""))
			must.Error(t, x.Checkpoint(taskRow(structs.StateRunning), c, "k"))
			must.Error(t, x.Evicted(taskRow(structs.StateEvicting), vmRow(), c, "k"))
			must.True(t, x.Empty())
		})
	}
}

// A task that is placed again on the VM of its last run and has not started there
// accepts the success of that run, and no other report with an older fence.
func TestSucceed_RunBeforePlacement(t *testing.T) {
	previousRun := task.Claim{Owner: owner, Fence: claim.Fence - 1}
	x := task.NewTx(now)
	must.NoError(t, x.Succeed(taskRow(structs.StatePlaced), vmRow(), previousRun))
	must.Eq(t, structs.StateSucceeded, x.Tasks()[0].Value.State)

	for name, c := range map[string]task.Claim{
		"two fences before": {Owner: owner, Fence: claim.Fence - 2},
		"other VM":          {Owner: structs.Owner{VM: "vm2", Incarnation: owner.Incarnation}, Fence: claim.Fence - 1},
		"older incarnation": {Owner: structs.Owner{VM: owner.VM, Incarnation: owner.Incarnation - 1}, Fence: claim.Fence - 1},
	} {
		t.Run(name, func(t *testing.T) {
			x := task.NewTx(now)
			must.Error(t, x.Succeed(taskRow(structs.StatePlaced), vmRow(), c))
			must.Error(t, x.Fail(taskRow(structs.StatePlaced), vmRow(), c, ""))
			must.True(t, x.Empty())
		})
	}
}

// Guards against a transaction that writes a task row twice, by a transition and a
// checkpoint. The table rejects such a transaction as invalid, and the caller would
// retry it forever.
func TestTx_CheckpointBesideTransition(t *testing.T) {
	x := task.NewTx(now)
	must.NoError(t, x.Requeue(taskRow(structs.StateRunning), vmRow(), "k", "lost"))
	must.Error(t, x.Checkpoint(taskRow(structs.StateRunning), claim, "k"))
	must.Eq(t, 1, x.Len())
}

func TestBackoff(t *testing.T) {
	for attempts := 1; attempts < 20; attempts++ {
		d, next := task.Backoff("t", attempts), task.Backoff("t", attempts+1)
		must.Between(t, task.BackoffBase, d, task.BackoffMax*5/4)
		if attempts < 5 {
			must.Greater(t, d, next)
		}
	}
	must.NotEq(t, task.Backoff("t", 3), task.Backoff("u", 3))
}
