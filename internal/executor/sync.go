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

// maxTxTasks bounds the tasks of one transaction.
const maxTxTasks = 32

// view is what sync last read of the table. It is guarded by Executor.syncMu.
type view struct {
	vm   task.VMRow
	rows map[string]task.Row
	// poked asks for a fresh read of the VM row, stale for one of all its tasks
	// too.
	poked, stale bool
	// sweep counts the polls since all tasks were read.
	sweep int
	// saved holds the checkpoints made at registration, by savedKey.
	saved map[string]string
}

// conflictDelay is the first delay after a failed sync. Most failures are
// conflicts with a scheduler, which a fresh read settles.
const conflictDelay = 50 * time.Millisecond

// syncLoop looks at the worker's reports every StatusInterval, and at the VM's
// row when it was poked. Failures are repeated after a growing delay, so that a
// table that comes back is not met by all VMs at once.
func (e *Executor) syncLoop(ctx context.Context) error {
	ticker := time.NewTicker(e.cfg.StatusInterval)
	defer ticker.Stop()
	delay := conflictDelay
	for {
		poked := false
		select {
		case <-ctx.Done():
			return nil
		case <-e.poke:
			poked = true
		case <-e.wake:
		case <-ticker.C:
		}
		if e.isLeaving() {
			continue
		}
		err := e.sync(ctx, poked)
		if err == nil {
			delay = conflictDelay
			continue
		}
		if errors.Is(err, errLost) || errors.Is(err, ErrSuperseded) {
			return err
		}
		count("agent_syncs_total", "result", "failed")
		e.log.WithError(err).Warn("sync of tasks failed; retrying")
		sleep(ctx, jittered(delay))
		notify(e.wake)
		delay = min(2*delay, e.cfg.LeaseDuration/maxRetryDivisor)
	}
}

// sync brings the worker and the table together once.
func (e *Executor) sync(ctx context.Context, poked bool) error {
	e.syncMu.Lock()
	defer e.syncMu.Unlock()
	e.view.poked = e.view.poked || poked
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
	if err := e.handleStrays(ctx, statuses, busy); err != nil {
		return err
	}
	return e.handleOwn(ctx, byID, busy)
}

func statusesByID(statuses []platform.TaskStatus) map[string]platform.TaskStatus {
	m := make(map[string]platform.TaskStatus, len(statuses))
	for _, s := range statuses {
		if have, ok := m[s.ID]; !ok || have.Fence < s.Fence {
			m[s.ID] = s
		}
	}
	return m
}

func (e *Executor) busyTasks() map[string]bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	busy := map[string]bool{}
	for id, l := range e.local {
		if l.busy {
			busy[id] = true
		}
	}
	return busy
}

// refresh reads the VM's row when poked or stale, and its tasks' rows when the
// VM's row has changed: placements and orders all write it.
func (e *Executor) refresh(ctx context.Context) error {
	v := &e.view
	if !v.poked && !v.stale && v.vm.Exists() {
		return nil
	}
	v.stale = v.stale || !v.vm.Exists()
	vm, err := state.Get[structs.VM](ctx, e.table, state.VMKey(e.cfg.VM))
	if err != nil {
		return err
	}
	if err := e.checkOwn(vm.Value.Incarnation, vm.Value.Revoked); err != nil {
		return err
	}
	v.sweep++
	if vm.Version != v.vm.Version || v.stale || v.sweep >= sweepPolls {
		rows, err := e.readTasks(ctx, vm.Value.Tasks)
		if err != nil {
			return err
		}
		v.rows, v.sweep = rows, 0
	}
	v.vm, v.poked, v.stale = vm, false, false
	return nil
}

func (e *Executor) readTasks(ctx context.Context, ids map[string]structs.Reservation) (map[string]task.Row, error) {
	var mu sync.Mutex
	rows := make(map[string]task.Row, len(ids))
	group, ctx := errgroup.WithContext(ctx)
	group.SetLimit(workerParallel)
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

// handleOwn decides about every task that the VM's row names.
func (e *Executor) handleOwn(ctx context.Context, statuses map[string]platform.TaskStatus, busy map[string]bool) error {
	zone, err := e.zoneForStarts(ctx, busy)
	if err != nil {
		return err
	}
	reports := task.NewTx(time.Now())
	var starts []task.Row
	var done []platform.TaskStatus
	for id := range e.view.vm.Value.Tasks {
		if busy[id] {
			continue
		}
		o := e.observe(id, statuses, zone)
		d := decide(o)
		switch d.action {
		case actKeep:
			e.adopt(o)
		case actStart:
			starts = append(starts, o.row)
		case actSave:
			e.spawnStop(ctx, o.row.Value, e.cfg.CheckpointTimeout, requeueReason(d.reason))
		case actStop:
			e.spawnStop(ctx, o.row.Value, 0, requeueReason(d.reason))
		default:
			if reports.Len() >= maxTxTasks {
				notify(e.wake)
				continue
			}
			if err := e.addReport(reports, e.view.vm, o, d); err != nil {
				e.log.WithError(err).WithField("task", id).Error("report refused; reading the task again")
				e.view.stale = true
				continue
			}
			done = append(done, platform.TaskStatus{ID: id, Fence: o.row.Value.Fence})
		}
	}
	e.addCheckpoints(reports)
	if err := e.commitReports(ctx, reports, done); err != nil {
		return err
	}
	return e.startAll(ctx, starts, zone)
}

// zoneForStarts reads the zone's row when a task waits to be started.
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
		me: e.owner(), id: id, row: row,
		draining:   e.view.vm.Value.Draining,
		zoneOut:    zone.Exists() && zone.Value.State != structs.ZoneActive,
		startable:  e.LeaseRemaining() > e.cfg.LeaseDuration/startDivisor,
		checkpoint: e.view.saved[savedKey(id, row.Value.Fence)],
	}
	if s, ok := statuses[id]; ok {
		o.status = &s
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	if l := e.local[id]; l != nil && l.fence == row.Value.Fence {
		o.stopped, o.failed = l.stopped, l.failed
		if l.checkpoint != "" {
			o.checkpoint = l.checkpoint
		}
	}
	return o
}

// adopt notes that the worker reports a task of ours as running.
func (e *Executor) adopt(o observation) {
	if o.phase() != platform.PhaseRunning {
		return
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	l := e.local[o.row.Value.ID]
	if l == nil || l.fence != o.row.Value.Fence {
		l = &local{fence: o.row.Value.Fence}
		e.local[o.row.Value.ID] = l
	}
	l.running = true
}

func (e *Executor) spawnStop(ctx context.Context, t structs.Task, save time.Duration, reason requeueReason) {
	e.spawn(t.ID, t.Fence, func(*local) func(*local) { return e.stop(ctx, t.ID, t.Fence, save, reason) })
}

// addReport adds a decision's transition to tx.
func (e *Executor) addReport(tx *task.Tx, vm task.VMRow, o observation, d decision) error {
	claim := task.Claim{Owner: o.me, Fence: o.row.Value.Fence}
	if o.doneBefore() {
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
		delay = task.Backoff(o.row.Value.ID, 1) // a worker that is down must not be tried without end
	}
	return tx.RequeueLater(o.row, vm, o.newestCheckpoint(), d.reason, delay)
}

// commitReports commits tx and forgets the tasks that it ended.
func (e *Executor) commitReports(ctx context.Context, tx *task.Tx, done []platform.TaskStatus) error {
	if tx.Empty() {
		return nil
	}
	if err := tx.Commit(ctx, e.table); err != nil {
		e.view.stale = true
		return err
	}
	e.committed(tx)
	for _, s := range done {
		delete(e.view.rows, s.ID)
		e.forget(ctx, s.ID, s.Fence)
	}
	return nil
}

// committed takes over the rows that a transaction wrote.
func (e *Executor) committed(tx *task.Tx) {
	if vm, ok := tx.VM(e.cfg.VM); ok {
		e.view.vm = vm
		e.view.stale = e.view.stale || !vm.Exists()
	}
	for _, row := range tx.Tasks() {
		e.view.rows[row.Value.ID] = row
		e.view.stale = e.view.stale || !row.Exists()
	}
}

// forget drops a task's records here and, in the background, on the worker.
func (e *Executor) forget(ctx context.Context, id string, fence int64) {
	e.mu.Lock()
	if l := e.local[id]; l != nil && l.fence <= fence {
		delete(e.local, id)
	}
	e.mu.Unlock()
	e.jobs.Go(func() {
		ctx, cancel := context.WithTimeout(ctx, e.cfg.WorkerTimeout)
		defer cancel()
		if err := e.worker.Forget(ctx, id, fence); err != nil && !errors.Is(err, platform.ErrNotFound) {
			e.log.WithError(err).WithField("task", id).Debug("worker did not forget the task")
		}
	})
}

// startAll commits the start of all tasks in one transaction and starts them.
func (e *Executor) startAll(ctx context.Context, rows []task.Row, zone task.ZoneRow) error {
	e.leaseMu.Lock()
	held := e.lease
	e.leaseMu.Unlock()
	tx := task.NewTx(time.Now())
	for _, row := range rows[:min(len(rows), maxTxTasks)] {
		if err := tx.Start(row, held, zone); err != nil {
			count("task_start_refusals_total", "reason", err.Error())
		}
	}
	if tx.Empty() {
		return nil
	}
	sent := e.clock.now()
	if err := tx.Commit(ctx, e.table); err != nil {
		e.view.stale = true
		return fmt.Errorf("start %d tasks: %w", tx.Len(), err)
	}
	e.committed(tx)
	for _, row := range tx.Tasks() {
		e.spawn(row.Value.ID, row.Value.Fence, func(*local) func(*local) { return e.start(ctx, row, sent) })
	}
	return nil
}
