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
	retry := e.cfg.LeaseDuration / retryDivisor
	for sleep(ctx, wait) {
		begun := e.clock.now()
		err := e.renew(ctx)
		switch {
		case err == nil:
			retry = e.cfg.LeaseDuration / retryDivisor
			wait = max(e.cfg.LeaseDuration/renewDivisor-(e.clock.now()-begun), 0)
			notify(e.poke)
		case errors.Is(err, errLost), errors.Is(err, ErrSuperseded):
			return err
		case ctx.Err() != nil:
			return nil
		default:
			count("lease_renewals_total", "result", "failed")
			e.log.WithError(err).WithField("remaining", e.LeaseRemaining().String()).Warn("lease renewal failed")
			wait = jittered(retry)
			retry = min(2*retry, e.maxRetry())
		}
	}
	return nil
}

// maxRetry returns the longest delay between two tries to renew. A lease that
// has lapsed has no work to save any more, so that the table's load at its return
// matters more than the time until the next try.
func (e *Executor) maxRetry() time.Duration {
	if e.LeaseRemaining() > 0 {
		return e.cfg.LeaseDuration / maxRetryDivisor
	}
	return e.cfg.LeaseDuration / lapsedRetryDivisor
}

// renew renews the lease once. Its validity counts from before the renewal is
// sent.
func (e *Executor) renew(ctx context.Context) error {
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
		version, err = e.readBack(ctx, tx.ID, err)
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

// checkOwn returns an error unless a row of the VM is of this incarnation and
// not revoked.
func (e *Executor) checkOwn(incarnation int64, revoked bool) error {
	own := e.owner().Incarnation
	switch {
	case incarnation > own:
		return fmt.Errorf("%w: %d, own is %d", ErrSuperseded, incarnation, own)
	case revoked, incarnation < own:
		return fmt.Errorf("%w: incarnation %d", errLost, own)
	}
	return nil
}

// readBack settles a renewal by the lease row: it returns the row's version when
// the renewal took effect, errLost when the lease is not this incarnation's any
// more, and otherwise cause, with the row's version taken over for the next try.
func (e *Executor) readBack(ctx context.Context, txID string, cause error) (int64, error) {
	current, err := state.Get[structs.Lease](ctx, e.table, state.LeaseKey(e.cfg.VM))
	if err != nil {
		return 0, errors.Join(cause, err)
	}
	if err := e.checkOwn(current.Value.Incarnation, current.Value.Revoked || current.Value.Released); err != nil {
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

// guardLoop extends the worker's leases while the VM's lease allows it, and
// checkpoints and stops all tasks before it lapses.
func (e *Executor) guardLoop(ctx context.Context) error {
	for sleep(ctx, e.cfg.LeaseDuration/guardDivisor) {
		remaining := e.LeaseRemaining()
		e.gauges.leaseRemaining.Set(remaining.Seconds())
		e.gauges.running.Set(float64(e.RunningTasks()))
		if remaining < e.cfg.LeaseDuration/saveDivisor {
			e.saveAll(ctx, remaining)
			continue
		}
		e.extend(ctx)
	}
	return nil
}

// extend lengthens the worker's leases when that is due.
func (e *Executor) extend(ctx context.Context) {
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
	lost, err := e.worker.Extend(ctx, fences, length)
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
		e.log.WithError(err).Warn("worker did not extend the tasks' leases")
		return
	}
	count("worker_extends_total", "result", "confirmed")
	if len(lost) > 0 {
		e.log.WithField("tasks", lost).Warn("tasks no longer run on the worker")
		notify(e.wake)
	}
}

func (e *Executor) runningFences() map[string]int64 {
	e.mu.Lock()
	defer e.mu.Unlock()
	fences := map[string]int64{}
	for id, l := range e.local {
		if l.running {
			fences[id] = l.fence
		}
	}
	return fences
}

// saveAll checkpoints and stops every running task before the lease lapses.
func (e *Executor) saveAll(ctx context.Context, remaining time.Duration) {
	fences := e.runningFences()
	if len(fences) == 0 {
		return
	}
	e.log.WithField("tasks", len(fences)).WithField("remaining", remaining.String()).
		Error("VM lease is about to lapse; checkpointing and stopping all tasks")
	count("lease_lapses_total", "vm", e.cfg.VM)
	save := remaining - e.cfg.LeaseDuration/stopDivisor
	var group errgroup.Group
	group.SetLimit(workerParallel)
	for id, fence := range fences {
		group.Go(func() error {
			e.saveOne(ctx, id, fence, save)
			return nil
		})
	}
	_ = group.Wait()
	notify(e.wake)
}

// saveOne stops a task whatever other call is under way for it.
func (e *Executor) saveOne(ctx context.Context, id string, fence int64, save time.Duration) {
	apply := e.stop(ctx, id, fence, save, requeueLapsed)
	e.mu.Lock()
	defer e.mu.Unlock()
	if l := e.local[id]; l != nil && l.fence == fence {
		apply(l)
	}
}

// Release stops gracefully: it checkpoints and stops all tasks, requeues them and
// gives the lease back, in this order. The executor starts nothing afterwards.
func (e *Executor) Release(ctx context.Context) error {
	e.mu.Lock()
	e.leaving = true
	e.mu.Unlock()
	for {
		err := e.release(ctx)
		if err == nil {
			e.log.Info("VM lease released")
			return nil
		}
		e.log.WithError(err).Warn("release failed; retrying")
		if !sleep(ctx, jittered(e.cfg.LeaseDuration/retryDivisor)) {
			return fmt.Errorf("release %s: %w", e.cfg.VM, err)
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
	held, err := state.Get[structs.Lease](ctx, e.table, state.LeaseKey(e.cfg.VM))
	if err != nil {
		return err
	}
	if held.Value.Incarnation != owner.Incarnation || held.Value.Released || held.Value.Revoked {
		e.forgetLease()
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
	return e.commitRelease(ctx, held, vm, statusesByID(statuses), checkpoints)
}

// commitRelease reports finished tasks, requeues the others and releases the
// lease in one transaction.
func (e *Executor) commitRelease(ctx context.Context, held task.LeaseRow, vm task.VMRow,
	statuses map[string]platform.TaskStatus, checkpoints map[string]string,
) error {
	rows, err := e.readTasks(ctx, vm.Value.Tasks)
	if err != nil {
		return err
	}
	tx := task.NewTx(time.Now())
	for id := range vm.Value.Tasks {
		o := observation{me: e.owner(), id: id, row: rows[id], stopped: requeueReleased}
		if s, ok := statuses[id]; ok {
			o.status = &s
		}
		if key, ok := checkpoints[savedKey(id, rows[id].Value.Fence)]; ok {
			o.checkpoint = key
		}
		d := decision{action: actDrop}
		if !o.foreign() {
			d = decideStopped(o)
		}
		if err := e.addReport(tx, vm, o, d); err != nil {
			return err
		}
	}
	if err := tx.EditVM(vm, func(v *structs.VM) { v.Revoked = true }); err != nil {
		return err
	}
	held.Value.Released = true
	tx.Put(held.Key, held.Version, held.Value)
	if err := tx.Commit(ctx, e.table); err != nil {
		return err
	}
	e.forgetLease()
	return nil
}
