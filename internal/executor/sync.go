package executor

import (
	"context"
	"errors"
	"fmt"
	"sync"
	"time"

	"golang.org/x/sync/errgroup"

	"bamboowood/internal/platform"
	"bamboowood/internal/state"
	"bamboowood/internal/structs"
	"bamboowood/internal/task"
)

// maxTxTasks is the maximum number of tasks in one transaction.
const maxTxTasks = 32

// view is the part of the table that sync last read. It is guarded by
// Executor.syncMu.
type view struct {
	vm   task.VMRow
	rows map[string]task.Row
	// refreshVM requests a read of the VM row, stale a read of the VM row and of
	// all its tasks' rows.
	refreshVM, stale bool
	// vmReads counts the reads of the VM row since all tasks were read.
	vmReads int
	// checkpoints holds the checkpoints stored during registration, by
	// taskFenceKey.
	checkpoints map[string]string
}

// conflictDelay is the first delay after a failed sync. Most failures are conflicts
// with a scheduler, which a new read resolves.
const conflictDelay = 50 * time.Millisecond

// syncLoop reads the worker's reports every StatusInterval, and the VM's row on
// refreshSignal. Failures are retried with increasing, jittered delays so that a
// recovering table does not receive the calls of all VMs at once.
func (e *Executor) syncLoop(ctx context.Context) error {
	ticker := time.NewTicker(e.cfg.StatusInterval)
	defer ticker.Stop()
	delay := conflictDelay
	for {
		refreshVM := false
		select {
		case <-ctx.Done():
			return nil
		case <-e.refreshSignal:
			refreshVM = true
		case <-e.syncSignal:
		case <-ticker.C:
		}
		if e.isReleasing() {
			continue
		}
		err := e.sync(ctx, refreshVM)
		if err == nil {
			delay = conflictDelay
			continue
		}
		if errors.Is(err, errLeaseLost) || errors.Is(err, ErrSuperseded) {
			return err
		}
		count("agent_syncs_total", "result", "failed")
		e.log.WithError(err).Warn("task sync failed; retrying")
		sleep(ctx, jittered(delay))
		signal(e.syncSignal)
		delay = min(2*delay, e.cfg.LeaseDuration/maxRetryDivisor)
	}
}

// sync reconciles the tasks on the worker with the table once.
func (e *Executor) sync(ctx context.Context, refreshVM bool) error {
	e.syncMu.Lock()
	defer e.syncMu.Unlock()
	e.view.refreshVM = e.view.refreshVM || refreshVM
	busy := e.busyTasks()
	statuses, err := e.listWorker(ctx)
	if err != nil {
		return err
	}
	if err := e.refresh(ctx); err != nil {
		e.view.stale = true
		return err
	}
	byID := statusesByID(statuses)
	e.prune(byID, busy)
	if err := e.handleOrphans(ctx, statuses, busy); err != nil {
		return err
	}
	return e.handleReservations(ctx, byID, busy)
}

func statusesByID(statuses []platform.TaskStatus) map[string]platform.TaskStatus {
	m := make(map[string]platform.TaskStatus, len(statuses))
	for _, s := range statuses {
		if existing, ok := m[s.ID]; !ok || existing.Fence < s.Fence {
			m[s.ID] = s
		}
	}
	return m
}

func (e *Executor) busyTasks() map[string]bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	busy := map[string]bool{}
	for id, l := range e.localTasks {
		if l.busy {
			busy[id] = true
		}
	}
	return busy
}

// refresh reads the VM's row when requested, and its tasks' rows when the VM's row
// has changed. Placements and orders such as evictions always write the VM's row.
func (e *Executor) refresh(ctx context.Context) error {
	v := &e.view
	if !v.refreshVM && !v.stale && v.vm.Exists() {
		return nil
	}
	v.stale = v.stale || !v.vm.Exists()
	vm, err := state.Get[structs.VM](ctx, e.table, state.VMKey(e.cfg.VM))
	if err != nil {
		return err
	}
	if err := e.checkIncarnation(vm.Value.Incarnation, vm.Value.Revoked); err != nil {
		return err
	}
	v.vmReads++
	if vm.Version != v.vm.Version || v.stale || v.vmReads >= vmReadsPerFullRead {
		rows, err := e.readTasks(ctx, vm.Value.Tasks)
		if err != nil {
			return err
		}
		v.rows, v.vmReads = rows, 0
	}
	v.vm, v.refreshVM, v.stale = vm, false, false
	return nil
}

func (e *Executor) readTasks(ctx context.Context, ids map[string]structs.Reservation) (map[string]task.Row, error) {
	var mu sync.Mutex
	rows := make(map[string]task.Row, len(ids))
	group, ctx := errgroup.WithContext(ctx)
	group.SetLimit(maxParallelCalls)
	for id := range ids {
		group.Go(func() error {
			row, err := state.Get[structs.Task](ctx, e.table, state.TaskKey(id))
			if err != nil {
				return err
			}
			mu.Lock()
			rows[id] = row
			mu.Unlock()
			return nil
		})
	}
	return rows, group.Wait()
}

// handleReservations decides on every task in the VM's row and carries out the
// decisions.
func (e *Executor) handleReservations(ctx context.Context, statuses map[string]platform.TaskStatus, busy map[string]bool) error {
	zone, err := e.zoneForStarts(ctx, busy)
	if err != nil {
		return err
	}
	reports := task.NewTx(time.Now())
	var starts []task.Row
	var ended []platform.TaskStatus
	for id := range e.view.vm.Value.Tasks {
		if busy[id] {
			continue
		}
		o := e.observe(id, statuses, zone)
		d := decide(o)
		switch d.action {
		case actKeep:
			e.markRunning(o)
		case actStart:
			starts = append(starts, o.row)
		case actCheckpointAndStop:
			e.spawnStop(ctx, o.row.Value, e.cfg.CheckpointTimeout, requeueReason(d.reason))
		case actStop:
			e.spawnStop(ctx, o.row.Value, 0, requeueReason(d.reason))
		default:
			if reports.Len() >= maxTxTasks {
				signal(e.syncSignal)
				continue
			}
			if err := e.addReport(reports, e.view.vm, o, d); err != nil {
				e.log.WithError(err).WithField("task", id).Error("task report rejected; reading the task again")
				e.view.stale = true
				continue
			}
			ended = append(ended, platform.TaskStatus{ID: id, Fence: o.row.Value.Fence})
		}
	}
	e.addCheckpoints(reports)
	if err := e.commitReports(ctx, reports, ended); err != nil {
		return err
	}
	return e.startAll(ctx, starts, zone)
}

// zoneForStarts reads the zone's row when a task is waiting to be started.
// Otherwise it returns an empty row.
func (e *Executor) zoneForStarts(ctx context.Context, busy map[string]bool) (task.ZoneRow, error) {
	for id, row := range e.view.rows {
		if row.Value.State == structs.StatePlaced && !busy[id] {
			return state.Get[structs.Zone](ctx, e.table, state.ZoneKey(e.cfg.Zone))
		}
	}
	return task.ZoneRow{Key: state.ZoneKey(e.cfg.Zone)}, nil
}

func (e *Executor) observe(id string, statuses map[string]platform.TaskStatus, zone task.ZoneRow) observation {
	row := e.view.rows[id]
	o := observation{
		self: e.owner(), id: id, row: row,
		draining:    e.view.vm.Value.Draining,
		zoneDrained: zone.Exists() && zone.Value.State != structs.ZoneActive,
		canStart:    e.LeaseRemaining() > e.cfg.LeaseDuration/startDivisor,
		checkpoint:  e.view.checkpoints[taskFenceKey(id, row.Value.Fence)],
	}
	if s, ok := statuses[id]; ok {
		o.status = &s
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	if l := e.localTasks[id]; l != nil && l.fence == row.Value.Fence {
		o.stopReason, o.startFailure = l.stopReason, l.startFailure
		if l.checkpoint != "" {
			o.checkpoint = l.checkpoint
		}
	}
	return o
}

// markRunning records that the worker reports the task as running under the row's
// fence.
func (e *Executor) markRunning(o observation) {
	if o.phase() != platform.PhaseRunning {
		return
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	l := e.localTasks[o.row.Value.ID]
	if l == nil || l.fence != o.row.Value.Fence {
		l = &localTask{fence: o.row.Value.Fence}
		e.localTasks[o.row.Value.ID] = l
	}
	l.running = true
}

func (e *Executor) spawnStop(ctx context.Context, t structs.Task, checkpointTimeout time.Duration, reason requeueReason) {
	e.spawn(t.ID, t.Fence, func(*localTask) func(*localTask) { return e.stop(ctx, t.ID, t.Fence, checkpointTimeout, reason) })
}

// addReport adds the transition for a decision to tx.
func (e *Executor) addReport(tx *task.Tx, vm task.VMRow, o observation, d decision) error {
	claim := task.Claim{Owner: o.self, Fence: o.row.Value.Fence}
	if o.previousRunSucceeded() {
		claim.Fence = o.status.Fence
	}
	switch d.action {
	case actSucceed:
		return tx.Succeed(o.row, vm, claim)
	case actFail:
		return tx.Fail(o.row, vm, claim, d.reason)
	case actEvicted:
		return tx.Evicted(o.row, vm, claim, o.newestCheckpoint())
	case actDrop:
		return tx.DropReservation(vm, o.id)
	}
	countRequeue(requeueReason(d.reason))
	delay := time.Duration(0)
	if d.reason == string(requeueStartFailed) {
		delay = task.Backoff(o.row.Value.ID, 1) // avoid a tight retry loop while the worker is down
	}
	return tx.RequeueLater(o.row, vm, o.newestCheckpoint(), d.reason, delay)
}

// commitReports commits tx and removes the tasks that it ended.
func (e *Executor) commitReports(ctx context.Context, tx *task.Tx, ended []platform.TaskStatus) error {
	if tx.Empty() {
		return nil
	}
	if err := tx.Commit(ctx, e.table); err != nil {
		e.view.stale = true
		return err
	}
	e.applyCommitted(tx)
	for _, s := range ended {
		delete(e.view.rows, s.ID)
		e.removeTask(ctx, s.ID, s.Fence)
	}
	return nil
}

// applyCommitted updates the view with the rows that a transaction wrote.
func (e *Executor) applyCommitted(tx *task.Tx) {
	if vm, ok := tx.VM(e.cfg.VM); ok {
		e.view.vm = vm
		e.view.stale = e.view.stale || !vm.Exists()
	}
	for _, row := range tx.Tasks() {
		e.view.rows[row.Value.ID] = row
		e.view.stale = e.view.stale || !row.Exists()
	}
}

// removeTask removes a task's local state and, in the background, its record on the
// worker.
func (e *Executor) removeTask(ctx context.Context, id string, fence int64) {
	e.mu.Lock()
	if l := e.localTasks[id]; l != nil && l.fence <= fence {
		delete(e.localTasks, id)
	}
	e.mu.Unlock()
	e.background.Go(func() {
		ctx, cancel := context.WithTimeout(ctx, e.cfg.WorkerTimeout)
		defer cancel()
		if err := e.worker.Forget(ctx, id, fence); err != nil && !errors.Is(err, platform.ErrNotFound) {
			e.log.WithError(err).WithField("task", id).Debug("removing the task's record on the worker failed")
		}
	})
}

// startAll commits the start of at most maxTxTasks tasks in one transaction and
// then starts them on the worker.
func (e *Executor) startAll(ctx context.Context, rows []task.Row, zone task.ZoneRow) error {
	e.leaseMu.Lock()
	leaseRow := e.lease
	e.leaseMu.Unlock()
	tx := task.NewTx(time.Now())
	for _, row := range rows[:min(len(rows), maxTxTasks)] {
		if err := tx.Start(row, leaseRow, zone); err != nil {
			count("task_start_refusals_total", "reason", err.Error())
		}
	}
	if tx.Empty() {
		return nil
	}
	sent := e.clock.now()
	if err := tx.Commit(ctx, e.table); err != nil {
		e.view.stale = true
		return fmt.Errorf("commit the start of %d tasks: %w", tx.Len(), err)
	}
	e.applyCommitted(tx)
	for _, row := range tx.Tasks() {
		e.spawn(row.Value.ID, row.Value.Fence, func(*localTask) func(*localTask) { return e.start(ctx, row, sent) })
	}
	return nil
}
