package executor

import (
	"context"
	"errors"
	"fmt"
	"time"

	"golang.org/x/sync/errgroup"

	"bamboowood/internal/platform"
	"bamboowood/internal/state"
	"bamboowood/internal/structs"
	"bamboowood/internal/task"
)

// renewLoop renews the lease until ctx ends or the lease is lost.
func (e *Executor) renewLoop(ctx context.Context) error {
	wait := jittered(e.cfg.LeaseDuration / renewDivisor * 3 / 4)
	retryDelay := e.cfg.LeaseDuration / retryDivisor
	for sleep(ctx, wait) {
		started := e.clock.now()
		err := e.renewOnce(ctx)
		switch {
		case err == nil:
			retryDelay = e.cfg.LeaseDuration / retryDivisor
			wait = max(e.cfg.LeaseDuration/renewDivisor-(e.clock.now()-started), 0)
			signal(e.refreshSignal)
		case errors.Is(err, errLeaseLost), errors.Is(err, ErrSuperseded):
			return err
		case ctx.Err() != nil:
			return nil
		default:
			count("lease_renewals_total", "result", "failed")
			e.log.WithError(err).WithField("remaining", e.LeaseRemaining().String()).Warn("lease renewal failed")
			wait = jittered(retryDelay)
			retryDelay = min(2*retryDelay, e.maxRetryDelay())
		}
	}
	return nil
}

// maxRetryDelay returns the longest delay between two attempts to renew. An expired
// lease has no running work left to protect, so limiting the load on a recovering
// table matters more than renewing early.
func (e *Executor) maxRetryDelay() time.Duration {
	if e.LeaseRemaining() > 0 {
		return e.cfg.LeaseDuration / maxRetryDivisor
	}
	return e.cfg.LeaseDuration / expiredRetryDivisor
}

// renewOnce renews the lease once. The validity counts from the time before the
// renewal is sent.
func (e *Executor) renewOnce(ctx context.Context) error {
	e.leaseMu.Lock()
	row := e.lease
	e.leaseMu.Unlock()
	ctx, cancel := context.WithTimeout(ctx, e.cfg.LeaseDuration/renewDivisor)
	defer cancel()
	next := row.Value
	next.Sequence++
	tx := state.NewTx()
	tx.Put(row.Key, row.Version, next)
	sent := e.clock.now()
	err := state.Commit(ctx, e.table, tx)
	version := tx.Version()
	if errors.Is(err, platform.ErrConflict) || errors.Is(err, state.ErrOutcomeUnknown) || (err == nil && version == 0) {
		version, err = e.reconcileRenewal(ctx, tx.ID, err)
	}
	if err != nil {
		return err
	}
	row.Value, row.Version = next, version
	e.leaseMu.Lock()
	e.lease = row
	e.holder.Renewed(sent)
	e.leaseMu.Unlock()
	count("lease_renewals_total", "result", "confirmed")
	return nil
}

// checkIncarnation returns an error unless incarnation is this process's own and is
// not revoked.
func (e *Executor) checkIncarnation(incarnation int64, revoked bool) error {
	own := e.owner().Incarnation
	switch {
	case incarnation > own:
		return fmt.Errorf("%w: registered incarnation %d, own incarnation %d", ErrSuperseded, incarnation, own)
	case revoked, incarnation < own:
		return fmt.Errorf("%w: incarnation %d", errLeaseLost, own)
	}
	return nil
}

// reconcileRenewal reads the lease row to find out whether a renewal took effect.
// It returns the row's version if it did, errLeaseLost or ErrSuperseded if the
// lease no longer belongs to this incarnation, and otherwise cause, after storing
// the row for the next attempt.
func (e *Executor) reconcileRenewal(ctx context.Context, txID string, cause error) (int64, error) {
	current, err := state.Get[structs.Lease](ctx, e.table, state.LeaseKey(e.cfg.VM))
	if err != nil {
		return 0, errors.Join(cause, err)
	}
	if err := e.checkIncarnation(current.Value.Incarnation, current.Value.Revoked || current.Value.Released); err != nil {
		return 0, err
	}
	if current.TxID == txID {
		return current.Version, nil
	}
	e.leaseMu.Lock()
	e.lease = current
	e.leaseMu.Unlock()
	return 0, fmt.Errorf("lease row changed: %w", cause)
}

// leaseCheckLoop extends the task leases on the worker while the VM's lease allows
// it, and checkpoints and stops all tasks before the VM's lease expires.
func (e *Executor) leaseCheckLoop(ctx context.Context) error {
	for sleep(ctx, e.cfg.LeaseDuration/leaseCheckDivisor) {
		remaining := e.LeaseRemaining()
		e.gauges.leaseRemaining.Set(remaining.Seconds())
		e.gauges.running.Set(float64(e.RunningTasks()))
		if remaining < e.cfg.LeaseDuration/checkpointDivisor {
			e.checkpointAndStopAll(ctx, remaining)
			continue
		}
		e.extendWorkerLeases(ctx)
	}
	return nil
}

// extendWorkerLeases extends the leases of the running tasks on the worker when an
// extension is due.
func (e *Executor) extendWorkerLeases(ctx context.Context) {
	fences := e.runningFences()
	if len(fences) == 0 {
		return
	}
	sent := e.clock.now()
	e.leaseMu.Lock()
	length, due := e.grant.Extension(sent, e.holder.ValidTo())
	if due {
		e.grant.Sent(sent, length)
	}
	e.leaseMu.Unlock()
	if !due {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, e.cfg.WorkerTimeout)
	defer cancel()
	notRunning, err := e.worker.Extend(ctx, fences, length)
	now := e.clock.now()
	e.leaseMu.Lock()
	switch {
	case err == nil:
		e.grant.Confirmed(sent, now, length)
	case !platform.IsUnknown(err):
		e.grant.Refused(length)
	}
	e.leaseMu.Unlock()
	if err != nil {
		count("worker_extends_total", "result", "failed")
		e.log.WithError(err).Warn("task lease extension on the worker failed")
		return
	}
	count("worker_extends_total", "result", "confirmed")
	if len(notRunning) > 0 {
		e.log.WithField("tasks", notRunning).Warn("tasks no longer run on the worker")
		signal(e.syncSignal)
	}
}

func (e *Executor) runningFences() map[string]int64 {
	e.mu.Lock()
	defer e.mu.Unlock()
	fences := map[string]int64{}
	for id, l := range e.localTasks {
		if l.running {
			fences[id] = l.fence
		}
	}
	return fences
}

// checkpointAndStopAll checkpoints and stops every running task before the lease
// expires.
func (e *Executor) checkpointAndStopAll(ctx context.Context, remaining time.Duration) {
	fences := e.runningFences()
	if len(fences) == 0 {
		return
	}
	e.log.WithField("tasks", len(fences)).WithField("remaining", remaining.String()).
		Error("VM lease is about to expire; checkpointing and stopping all tasks")
	count("lease_lapses_total", "vm", e.cfg.VM)
	checkpointTimeout := remaining - e.cfg.LeaseDuration/stopDivisor
	var group errgroup.Group
	group.SetLimit(maxParallelCalls)
	for id, fence := range fences {
		group.Go(func() error {
			e.checkpointAndStop(ctx, id, fence, checkpointTimeout)
			return nil
		})
	}
	_ = group.Wait()
	signal(e.syncSignal)
}

// checkpointAndStop stops a task even if another call for it is in progress.
func (e *Executor) checkpointAndStop(ctx context.Context, id string, fence int64, checkpointTimeout time.Duration) {
	apply := e.stop(ctx, id, fence, checkpointTimeout, requeueLeaseExpired)
	e.mu.Lock()
	defer e.mu.Unlock()
	if l := e.localTasks[id]; l != nil && l.fence == fence {
		apply(l)
	}
}

// Release shuts down gracefully: it checkpoints and stops all tasks, then requeues
// them and releases the lease in one transaction. The executor starts no tasks
// afterwards. Release retries until ctx ends.
func (e *Executor) Release(ctx context.Context) error {
	e.mu.Lock()
	e.releasing = true
	e.mu.Unlock()
	for {
		err := e.release(ctx)
		if err == nil {
			e.log.Info("VM lease released")
			return nil
		}
		e.log.WithError(err).Warn("VM lease release failed; retrying")
		if !sleep(ctx, jittered(e.cfg.LeaseDuration/retryDivisor)) {
			return fmt.Errorf("release lease of VM %s: %w", e.cfg.VM, err)
		}
	}
}

func (e *Executor) release(ctx context.Context) error {
	e.syncMu.Lock()
	defer e.syncMu.Unlock()
	owner := e.owner()
	if owner.Incarnation == 0 {
		return nil
	}
	checkpoints, err := e.stopAllOnWorker(ctx)
	if err != nil {
		return err
	}
	leaseRow, err := state.Get[structs.Lease](ctx, e.table, state.LeaseKey(e.cfg.VM))
	if err != nil {
		return err
	}
	if leaseRow.Value.Incarnation != owner.Incarnation || leaseRow.Value.Released || leaseRow.Value.Revoked {
		e.clearLease()
		return nil
	}
	vm, err := state.Get[structs.VM](ctx, e.table, state.VMKey(e.cfg.VM))
	if err != nil {
		return err
	}
	if err := e.fenceReservations(ctx, vm.Value); err != nil {
		return err
	}
	statuses, err := e.listWorker(ctx)
	if err != nil {
		return err
	}
	return e.commitRelease(ctx, leaseRow, vm, statusesByID(statuses), checkpoints)
}

// commitRelease reports finished tasks, requeues the others and releases the lease
// in one transaction.
func (e *Executor) commitRelease(ctx context.Context, leaseRow task.LeaseRow, vm task.VMRow,
	statuses map[string]platform.TaskStatus, checkpoints map[string]string,
) error {
	rows, err := e.readTasks(ctx, vm.Value.Tasks)
	if err != nil {
		return err
	}
	tx := task.NewTx(time.Now())
	for id := range vm.Value.Tasks {
		o := observation{self: e.owner(), id: id, row: rows[id], stopReason: requeueReleased}
		if s, ok := statuses[id]; ok {
			o.status = &s
		}
		if key, ok := checkpoints[taskFenceKey(id, rows[id].Value.Fence)]; ok {
			o.checkpoint = key
		}
		d := decision{action: actDrop}
		if !o.staleReservation() {
			d = decideStopped(o)
		}
		if err := e.addReport(tx, vm, o, d); err != nil {
			return err
		}
	}
	if err := tx.EditVM(vm, func(v *structs.VM) { v.Revoked = true }); err != nil {
		return err
	}
	leaseRow.Value.Released = true
	tx.Put(leaseRow.Key, leaseRow.Version, leaseRow.Value)
	if err := tx.Commit(ctx, e.table); err != nil {
		return err
	}
	e.clearLease()
	return nil
}
