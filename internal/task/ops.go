package task

import (
	"time"

	"bamboowood/internal/state"
	"bamboowood/internal/structs"
)

// Claim is what a VM's agent states with a report: who it is and the fence
// under which the task ran.
type Claim struct {
	Owner structs.Owner
	Fence int64
}

// check reports whether the claim is the task's current one.
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
	x.keep(Row{Key: state.TaskKey(id), Value: structs.Task{
		ID: id, Spec: spec, State: structs.StatePending, SubmittedAt: x.now, ChangedAt: x.now,
	}}, nil)
}

// Place moves a pending task to a VM: it reserves amount there and raises the
// fence. The zone must be in and the VM neither draining nor revoked, and both
// must still be so at the commit. zone may be a row that does not exist, which
// counts as in.
func (x *Tx) Place(t Row, vm VMRow, zone ZoneRow, amount structs.Resources, reason string) error {
	id := t.Value.ID
	work, err := x.vm(vm)
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
	case !amount.Fits(work.Value.Free()):
		return refuse(id, RefusedNoCapacity)
	}
	t.Value.Owner = structs.Owner{VM: vm.Value.ID, Incarnation: vm.Value.Incarnation}
	t.Value.Reserved = amount
	t.Value.Fence++
	next, err := x.apply(t, structs.StatePlaced, reason)
	if err != nil {
		return err
	}
	work.Value.Tasks[id] = structs.NewReservation(next.Value, x.now)
	x.Check(zone.Key, zone.Version)
	x.keep(next, work)
	return nil
}

// Start moves a placed task to running. The commit fails unless the owner's
// lease and the zone are still as they were read.
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
	x.keep(next, nil)
	return nil
}

// Checkpoint records the key of a newer checkpoint of a task that the claim
// holds. It is no transition, and is refused for a task that the transaction
// changes otherwise.
func (x *Tx) Checkpoint(t Row, claim Claim, key string) error {
	if err := claim.check(t.Value); err != nil {
		return err
	}
	if x.has(t.Key) {
		return refuse(t.Value.ID, RefusedDuplicate)
	}
	t.Value.Checkpoint = key
	x.keep(t, nil)
	return nil
}

// Succeed ends a batch task and releases its reservation. A task that was
// requeued and has not been started since still accepts the report, because its
// fence proves that nothing else has run. A watch has no end and is requeued.
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
	return x.leave(t, vm, structs.StateSucceeded, "succeeded", nil)
}

// checkReport accepts the current claim, that of an older incarnation of the
// same VM, and the last fence of a task that is pending again.
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

// checkEarlierRun accepts, for a task that is placed again on the claim's VM and
// has not started there, the fence of the run before.
func checkEarlierRun(t structs.Task, claim Claim) error {
	switch {
	case t.Owner != claim.Owner:
		return refuse(t.ID, RefusedNotOwner)
	case t.Fence != claim.Fence+1:
		return refuse(t.ID, RefusedStaleFence)
	}
	return nil
}

// Fail records a failed run: the task is requeued after a backoff, or fails for
// good after MaxAttempts runs. A watch is always requeued. A task that was
// ordered to stop becomes cancelled.
func (x *Tx) Fail(t Row, vm VMRow, claim Claim, reason string) error {
	if err := checkReport(t.Value, claim); err != nil {
		return err
	}
	if t.Value.State == structs.StatePending {
		return refuse(t.Value.ID, RefusedNotOwner)
	}
	if t.Value.State == structs.StateStopping {
		return x.leave(t, vm, structs.StateCancelled, reason, nil)
	}
	attempts := attemptsAfter(t.Value, x.now)
	if t.Value.Spec.Kind == structs.KindBatch && attempts >= MaxAttempts {
		return x.leave(t, vm, structs.StateFailed, reason, func(next *structs.Task) { next.Attempts = attempts })
	}
	return x.leave(t, vm, structs.StatePending, reason, func(next *structs.Task) {
		next.Attempts = attempts
		next.NotBefore = x.now.Add(Backoff(next.ID, attempts))
	})
}

// Requeue makes a placed, running or evicting task pending again, at no cost to
// its attempts; a stopping one becomes cancelled. The caller has proof that the
// task does not run: a confirmed stop, a start that was never made, or a revoked
// lease. checkpoint replaces the row's when it is not "".
func (x *Tx) Requeue(t Row, vm VMRow, checkpoint, reason string) error {
	return x.RequeueLater(t, vm, checkpoint, reason, 0)
}

// RequeueLater is Requeue with a delay before the next placement.
func (x *Tx) RequeueLater(t Row, vm VMRow, checkpoint, reason string, delay time.Duration) error {
	to := structs.StatePending
	if t.Value.State == structs.StateStopping {
		to = structs.StateCancelled
	}
	return x.leave(t, vm, to, reason, func(next *structs.Task) {
		if checkpoint != "" {
			next.Checkpoint = checkpoint
		}
		if delay > 0 {
			next.NotBefore = x.now.Add(delay)
		}
	})
}

// Evicted completes an eviction: the task was checkpointed and its stop was
// confirmed.
func (x *Tx) Evicted(t Row, vm VMRow, claim Claim, checkpoint string) error {
	if err := claim.check(t.Value); err != nil {
		return err
	}
	if t.Value.State != structs.StateEvicting {
		return &TransitionError{ID: t.Value.ID, From: t.Value.State, To: structs.StatePending}
	}
	return x.leave(t, vm, structs.StatePending, t.Value.Reason, func(next *structs.Task) {
		next.Evictions++
		if checkpoint != "" {
			next.Checkpoint = checkpoint
		}
	})
}

// Evict orders a running task to checkpoint, stop and be requeued, and requeues
// a placed one at once. The VM row is written too: its version tells the agent
// that there are new orders.
func (x *Tx) Evict(t Row, vm VMRow, reason string) error {
	if t.Value.State == structs.StatePlaced {
		return x.Requeue(t, vm, "", reason)
	}
	return x.order(t, vm, structs.StateEvicting, reason)
}

// Cancel cancels a pending or placed task at once, and orders a running or
// evicting one to stop.
func (x *Tx) Cancel(t Row, vm VMRow, reason string) error {
	switch t.Value.State {
	case structs.StatePending:
		next, err := x.apply(t, structs.StateCancelled, reason)
		if err != nil {
			return err
		}
		x.keep(next, nil)
		return nil
	case structs.StatePlaced:
		return x.leave(t, vm, structs.StateCancelled, reason, nil)
	}
	return x.order(t, vm, structs.StateStopping, reason)
}

// order moves a task to a state that its agent has to act on.
func (x *Tx) order(t Row, vm VMRow, to structs.TaskState, reason string) error {
	if t.Value.State.HoldsResources() && t.Value.Owner.VM != vm.Value.ID {
		return refuse(t.Value.ID, RefusedNotOwner)
	}
	next, err := x.apply(t, to, reason)
	if err != nil {
		return err
	}
	work, err := x.vm(vm)
	if err != nil {
		return err
	}
	if r, ok := work.Value.Tasks[t.Value.ID]; ok {
		r.Leaving = true
		work.Value.Tasks[t.Value.ID] = r
	}
	x.keep(next, work)
	return nil
}

// FailPending ends a pending task that can never run.
func (x *Tx) FailPending(t Row, reason string) error {
	if t.Value.State != structs.StatePending {
		return &TransitionError{ID: t.Value.ID, From: t.Value.State, To: structs.StateFailed}
	}
	next, err := x.apply(t, structs.StateFailed, reason)
	if err != nil {
		return err
	}
	x.keep(next, nil)
	return nil
}

// DropReservation removes a reservation whose task is not on the VM any more.
func (x *Tx) DropReservation(vm VMRow, id string) error {
	work, err := x.vm(vm)
	if err != nil {
		return err
	}
	delete(work.Value.Tasks, id)
	x.keepVM(work)
	return nil
}

// EditVM applies a change to the working copy of a VM row, such as a drain.
func (x *Tx) EditVM(vm VMRow, edit func(*structs.VM)) error {
	work, err := x.vm(vm)
	if err != nil {
		return err
	}
	edit(&work.Value)
	x.keepVM(work)
	return nil
}
