package task

import (
	"time"

	"bamboowood/internal/state"
	"bamboowood/internal/structs"
)

// Claim identifies the run that an agent reports: the agent's VM and incarnation, and
// the fence under which the task ran. It is unrelated to structs.Claim.
type Claim struct {
	Owner structs.Owner
	Fence int64
}

// check returns a RefusalError unless the claim has the task's current owner and fence.
func (c Claim) check(t structs.Task) error {
	if t.Owner != c.Owner {
		return refuse(t.ID, RefusedNotOwner)
	}
	if t.Fence != c.Fence {
		return refuse(t.ID, RefusedStaleFence)
	}
	return nil
}

// Submit adds a new pending task. Its row must not exist.
func (x *Tx) Submit(id string, spec structs.TaskSpec) {
	x.record(Row{Key: state.TaskKey(id), Value: structs.Task{
		ID: id, Spec: spec, State: structs.StatePending, SubmittedAt: x.now, ChangedAt: x.now,
	}}, nil)
}

// Place moves a pending task to a VM: it reserves amount there and raises the fence.
// The zone must be active and the VM neither draining nor revoked, and the commit
// fails if either row has changed. A zone row that does not exist counts as active.
func (x *Tx) Place(t Row, vm VMRow, zone ZoneRow, amount structs.Resources, reason string) error {
	id := t.Value.ID
	vmCopy, err := x.workingVM(vm)
	if err != nil {
		return err
	}
	switch {
	case zone.Exists() && zone.Value.State != structs.ZoneActive, zone.Key != state.ZoneKey(vm.Value.Zone):
		return refuse(id, RefusedZoneDrained)
	case vm.Value.Revoked:
		return refuse(id, RefusedRevoked)
	case vm.Value.Draining:
		return refuse(id, RefusedDraining)
	case x.now.Before(t.Value.NotBefore):
		return refuse(id, RefusedNotDue)
	case !amount.Fits(vmCopy.Value.Free()):
		return refuse(id, RefusedNoCapacity)
	}
	t.Value.Owner = structs.Owner{VM: vm.Value.ID, Incarnation: vm.Value.Incarnation}
	t.Value.Reserved = amount
	t.Value.Fence++
	next, err := x.apply(t, structs.StatePlaced, reason)
	if err != nil {
		return err
	}
	vmCopy.Value.Tasks[id] = structs.NewReservation(next.Value, x.now)
	x.Check(zone.Key, zone.Version)
	x.record(next, vmCopy)
	return nil
}

// Start moves a placed task to running. The commit fails if the owner's lease or the
// zone has changed since it was read.
func (x *Tx) Start(t Row, lease LeaseRow, zone ZoneRow) error {
	id := t.Value.ID
	owner := structs.Owner{VM: lease.Value.VM, Incarnation: lease.Value.Incarnation}
	switch {
	case t.Value.Owner != owner:
		return refuse(id, RefusedNotOwner)
	case lease.Value.Revoked, lease.Value.Released:
		return refuse(id, RefusedRevoked)
	case zone.Exists() && zone.Value.State != structs.ZoneActive:
		return refuse(id, RefusedZoneDrained)
	}
	next, err := x.apply(t, structs.StateRunning, "started")
	if err != nil {
		return err
	}
	next.Value.StartedAt = x.now
	x.Check(lease.Key, lease.Version)
	x.Check(zone.Key, zone.Version)
	x.record(next, nil)
	return nil
}

// Checkpoint records the key of a newer checkpoint of a task whose current owner and
// fence match the claim. It is not a transition. It is refused for a task that the
// transaction already changes.
func (x *Tx) Checkpoint(t Row, claim Claim, key string) error {
	if err := claim.check(t.Value); err != nil {
		return err
	}
	if x.changesTask(t.Key) {
		return refuse(t.Value.ID, RefusedDuplicate)
	}
	t.Value.Checkpoint = key
	x.record(t, nil)
	return nil
}

// Succeed ends a batch task and releases its reservation. A task that was requeued and
// has not been started since still accepts the report of its last run, because its
// fence proves that no later run exists. A watch never succeeds; Succeed counts its end
// as a failed run and requeues it.
func (x *Tx) Succeed(t Row, vm VMRow, claim Claim) error {
	if t.Value.Spec.Kind == structs.KindWatch {
		return x.Fail(t, vm, claim, "watch ended")
	}
	check := checkReport
	if t.Value.State == structs.StatePlaced {
		check = checkEarlierRun
	}
	if err := check(t.Value, claim); err != nil {
		return err
	}
	return x.applyAndRelease(t, vm, structs.StateSucceeded, "succeeded", nil)
}

// checkReport returns a RefusalError unless the task is not final and the claim has its
// current fence and, if the task is not pending, its VM and the same or a newer
// incarnation. A task that is pending again accepts its last fence from any VM.
func checkReport(t structs.Task, claim Claim) error {
	switch {
	case t.State.Final():
		return refuse(t.ID, RefusedFinal)
	case t.Fence != claim.Fence:
		return refuse(t.ID, RefusedStaleFence)
	case t.State == structs.StatePending:
		return nil
	case t.Owner.VM != claim.Owner.VM, t.Owner.Incarnation > claim.Owner.Incarnation:
		return refuse(t.ID, RefusedNotOwner)
	}
	return nil
}

// checkEarlierRun returns a RefusalError unless the claim has the task's current owner and
// the fence preceding the task's: that of the run before this placement. It is for a
// placed task that has not started.
func checkEarlierRun(t structs.Task, claim Claim) error {
	switch {
	case t.Owner != claim.Owner:
		return refuse(t.ID, RefusedNotOwner)
	case t.Fence != claim.Fence+1:
		return refuse(t.ID, RefusedStaleFence)
	}
	return nil
}

// Fail records a failed run. A batch task is requeued with a backoff, or becomes failed
// after MaxAttempts failed runs. A watch is always requeued. A stopping task becomes
// cancelled.
func (x *Tx) Fail(t Row, vm VMRow, claim Claim, reason string) error {
	if err := checkReport(t.Value, claim); err != nil {
		return err
	}
	if t.Value.State == structs.StatePending {
		return refuse(t.Value.ID, RefusedNotOwner)
	}
	if t.Value.State == structs.StateStopping {
		return x.applyAndRelease(t, vm, structs.StateCancelled, reason, nil)
	}
	attempts := attemptsAfter(t.Value, x.now)
	if t.Value.Spec.Kind == structs.KindBatch && attempts >= MaxAttempts {
		return x.applyAndRelease(t, vm, structs.StateFailed, reason, func(next *structs.Task) { next.Attempts = attempts })
	}
	return x.applyAndRelease(t, vm, structs.StatePending, reason, func(next *structs.Task) {
		next.Attempts = attempts
		next.NotBefore = x.now.Add(Backoff(next.ID, attempts))
	})
}

// Requeue makes a placed, running or evicting task pending again without counting a
// failed attempt. A stopping task becomes cancelled. The caller must have proof that
// the task does not run: a confirmed stop, a start that was never made, or a revoked
// lease. checkpoint, unless it is "", replaces the task's checkpoint.
func (x *Tx) Requeue(t Row, vm VMRow, checkpoint, reason string) error {
	return x.RequeueLater(t, vm, checkpoint, reason, 0)
}

// RequeueLater is Requeue with a minimum delay before the next placement.
func (x *Tx) RequeueLater(t Row, vm VMRow, checkpoint, reason string, delay time.Duration) error {
	to := structs.StatePending
	if t.Value.State == structs.StateStopping {
		to = structs.StateCancelled
	}
	return x.applyAndRelease(t, vm, to, reason, func(next *structs.Task) {
		if checkpoint != "" {
			next.Checkpoint = checkpoint
		}
		if delay > 0 {
			next.NotBefore = x.now.Add(delay)
		}
	})
}

// Evicted completes an eviction after the agent has checkpointed the task and confirmed
// its stop. checkpoint, unless it is "", replaces the task's checkpoint.
func (x *Tx) Evicted(t Row, vm VMRow, claim Claim, checkpoint string) error {
	if err := claim.check(t.Value); err != nil {
		return err
	}
	if t.Value.State != structs.StateEvicting {
		return &TransitionError{ID: t.Value.ID, From: t.Value.State, To: structs.StatePending}
	}
	return x.applyAndRelease(t, vm, structs.StatePending, t.Value.Reason, func(next *structs.Task) {
		next.Evictions++
		if checkpoint != "" {
			next.Checkpoint = checkpoint
		}
	})
}

// Evict orders the agent of a running task to checkpoint and stop it, after which it is
// requeued. A placed task is requeued at once. The VM row is written too, because the
// agent detects new orders by the version of that row.
func (x *Tx) Evict(t Row, vm VMRow, reason string) error {
	if t.Value.State == structs.StatePlaced {
		return x.Requeue(t, vm, "", reason)
	}
	return x.requestStop(t, vm, structs.StateEvicting, reason)
}

// Cancel cancels a pending or placed task at once. For a running or evicting task it
// orders the agent to stop it.
func (x *Tx) Cancel(t Row, vm VMRow, reason string) error {
	switch t.Value.State {
	case structs.StatePending:
		next, err := x.apply(t, structs.StateCancelled, reason)
		if err != nil {
			return err
		}
		x.record(next, nil)
		return nil
	case structs.StatePlaced:
		return x.applyAndRelease(t, vm, structs.StateCancelled, reason, nil)
	}
	return x.requestStop(t, vm, structs.StateStopping, reason)
}

// requestStop moves a task to a state in which its agent has to stop it, evicting or
// stopping, and marks its reservation as leaving.
func (x *Tx) requestStop(t Row, vm VMRow, to structs.TaskState, reason string) error {
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
	if r, ok := vmCopy.Value.Tasks[t.Value.ID]; ok {
		r.Leaving = true
		vmCopy.Value.Tasks[t.Value.ID] = r
	}
	x.record(next, vmCopy)
	return nil
}

// FailPending moves a pending task that can never run to failed.
func (x *Tx) FailPending(t Row, reason string) error {
	if t.Value.State != structs.StatePending {
		return &TransitionError{ID: t.Value.ID, From: t.Value.State, To: structs.StateFailed}
	}
	next, err := x.apply(t, structs.StateFailed, reason)
	if err != nil {
		return err
	}
	x.record(next, nil)
	return nil
}

// DropReservation removes the reservation of a task that is no longer on the VM.
func (x *Tx) DropReservation(vm VMRow, id string) error {
	vmCopy, err := x.workingVM(vm)
	if err != nil {
		return err
	}
	delete(vmCopy.Value.Tasks, id)
	x.recordVM(vmCopy)
	return nil
}

// EditVM applies edit, such as a drain, to the transaction's working copy of a VM row.
func (x *Tx) EditVM(vm VMRow, edit func(*structs.VM)) error {
	vmCopy, err := x.workingVM(vm)
	if err != nil {
		return err
	}
	edit(&vmCopy.Value)
	x.recordVM(vmCopy)
	return nil
}
