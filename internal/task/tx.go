package task

import (
	"context"
	"fmt"
	"maps"
	"slices"
	"time"

	"bamboowood/internal/platform"
	"bamboowood/internal/state"
	"bamboowood/internal/structs"
)

// Types of the table rows that transitions read and write.
type (
	Row      = state.Row[structs.Task]
	VMRow    = state.Row[structs.VM]
	ZoneRow  = state.Row[structs.Zone]
	LeaseRow = state.Row[structs.Lease]
)

// Refusal is the reason why a transition was not added to a transaction.
type Refusal string

// Reasons of refusals.
const (
	RefusedZoneDrained Refusal = "zone-out"
	RefusedDraining    Refusal = "vm-draining"
	RefusedRevoked     Refusal = "lease-revoked"
	RefusedNoCapacity  Refusal = "no-room"
	RefusedNotOwner    Refusal = "not-owner"
	RefusedStaleFence  Refusal = "stale-fence"
	RefusedNotDue      Refusal = "not-due"
	RefusedDuplicate   Refusal = "row-twice-in-transaction"
	RefusedFinal       Refusal = "already-final"
)

// RefusalError is returned for a transition that was refused before anything was sent
// to the table.
type RefusalError struct {
	ID     string
	Reason Refusal
}

// Error implements the error interface.
func (e *RefusalError) Error() string { return fmt.Sprintf("task %s: %s", e.ID, e.Reason) }

func refuse(id string, reason Refusal) error { return &RefusalError{ID: id, Reason: reason} }

// Tx collects transitions of several tasks into one transaction. Changes to a VM row
// accumulate in one working copy, so that a transaction can change several tasks of a
// VM. A method that returns an error has added nothing. A Tx is not safe for
// concurrent use.
type Tx struct {
	tx      *state.Tx
	now     time.Time
	vms     map[string]*VMRow
	vmOrder []string
	checked map[string]int64
	tasks   []Row
	sealed  bool
}

// NewTx returns an empty transaction. now is the time of its transitions.
func NewTx(now time.Time) *Tx {
	return &Tx{tx: state.NewTx(), now: now, vms: map[string]*VMRow{}, checked: map[string]int64{}}
}

// ID returns the transaction's id.
func (x *Tx) ID() string { return x.tx.ID }

// Len returns the number of tasks that the transaction changes.
func (x *Tx) Len() int { return len(x.tasks) }

// Empty reports whether the transaction changes no task and no VM.
func (x *Tx) Empty() bool { return len(x.tasks) == 0 && len(x.vms) == 0 }

// Put adds the write of a further row, such as a command's, to the transaction.
func (x *Tx) Put(key string, version int64, value any) { x.tx.Put(key, version, value) }

// Check adds a check of a further row's version to the transaction.
func (x *Tx) Check(key string, version int64) {
	if seen, ok := x.checked[key]; ok && seen == version {
		return
	}
	x.checked[key] = version
	x.tx.Check(key, version)
}

// Commit commits the transaction; see state.Commit for the errors.
func (x *Tx) Commit(ctx context.Context, table platform.Table) error {
	return state.Commit(ctx, table, x.Build())
}

// Build adds the collected rows and returns the transaction. No transition may be added
// afterwards.
func (x *Tx) Build() *state.Tx {
	if x.sealed {
		return x.tx
	}
	x.sealed = true
	for _, t := range x.tasks {
		x.tx.Put(t.Key, t.Version, t.Value)
		x.updateQueueIndex(t.Value)
	}
	for _, key := range x.vmOrder {
		vm := x.vms[key]
		x.tx.Put(key, vm.Version, vm.Value)
	}
	return x.tx
}

// updateQueueIndex writes the queue's index row of a pending task, and deletes that of
// a task that this transaction moves out of pending.
func (x *Tx) updateQueueIndex(t structs.Task) {
	key := state.QueueKey(t.Spec.Priority, t.ID)
	if t.State == structs.StatePending {
		x.tx.PutUnchecked(key, structs.NewQueueEntry(t))
		return
	}
	if n := len(t.History); n > 0 && t.History[n-1].TxID == x.tx.ID && t.History[n-1].From == structs.StatePending {
		x.tx.DeleteUnchecked(key)
	}
}

// Tasks returns the changed task rows. Their versions are those after the commit, or 0
// when they are not known (see state.Tx.Version).
func (x *Tx) Tasks() []Row {
	rows := make([]Row, len(x.tasks))
	for i, t := range x.tasks {
		t.Version, t.TxID = x.tx.Version(), x.tx.ID
		rows[i] = t
	}
	return rows
}

// VM returns the changed row of a VM, with the version as in Tasks, and whether the
// transaction changes that VM.
func (x *Tx) VM(id string) (VMRow, bool) {
	vm, ok := x.vms[state.VMKey(id)]
	if !ok {
		return VMRow{}, false
	}
	row := *vm
	row.Version, row.TxID = x.tx.Version(), x.tx.ID
	return row, true
}

// workingVM returns the transaction's working copy of a VM row, or a new copy if the
// transaction has none. recordVM adds a new copy to the transaction.
func (x *Tx) workingVM(row VMRow) (*VMRow, error) {
	if existing, ok := x.vms[row.Key]; ok {
		if existing.Version != row.Version {
			return nil, fmt.Errorf("row %s was read at two versions: %w", row.Key, platform.ErrConflict)
		}
		return existing, nil
	}
	row.Value.Tasks = maps.Clone(row.Value.Tasks)
	if row.Value.Tasks == nil {
		row.Value.Tasks = map[string]structs.Reservation{}
	}
	return &row, nil
}

// record adds a changed task and, when vm is not nil, its VM to the transaction.
func (x *Tx) record(t Row, vm *VMRow) {
	x.tasks = append(x.tasks, t)
	x.recordVM(vm)
}

func (x *Tx) recordVM(vm *VMRow) {
	if vm == nil {
		return
	}
	if _, ok := x.vms[vm.Key]; !ok {
		x.vms[vm.Key] = vm
		x.vmOrder = append(x.vmOrder, vm.Key)
	}
}

// changesTask reports whether the transaction already changes the task row.
func (x *Tx) changesTask(key string) bool {
	return slices.ContainsFunc(x.tasks, func(t Row) bool { return t.Key == key })
}

// apply returns the row after a transition. It refuses a second change of a task.
func (x *Tx) apply(t Row, to structs.TaskState, reason string) (Row, error) {
	if x.changesTask(t.Key) {
		return t, refuse(t.Value.ID, RefusedDuplicate)
	}
	next, err := Apply(t.Value, Transition{To: to, At: x.now, Reason: reason, TxID: x.tx.ID})
	if err != nil {
		return t, err
	}
	t.Value = next
	return t, nil
}

// release removes the task's reservation from the VM row. A reservation under a higher
// fence belongs to a later placement and stays.
func release(vm *VMRow, t structs.Task) {
	if r, ok := vm.Value.Tasks[t.ID]; ok && r.Fence <= t.Fence {
		delete(vm.Value.Tasks, t.ID)
	}
}

// applyAndRelease applies a transition that ends the use of the owner's resources and
// releases the reservation. edit, unless nil, changes the task further.
func (x *Tx) applyAndRelease(t Row, vm VMRow, to structs.TaskState, reason string, edit func(*structs.Task)) error {
	if t.Value.State.HoldsResources() && t.Value.Owner.VM != vm.Value.ID {
		return refuse(t.Value.ID, RefusedNotOwner)
	}
	next, err := x.apply(t, to, reason)
	if err != nil {
		return err
	}
	vmCopy, err := x.workingVM(vm)
	if err != nil {
		return err
	}
	release(vmCopy, t.Value)
	if edit != nil {
		edit(&next.Value)
	}
	x.record(next, vmCopy)
	return nil
}
