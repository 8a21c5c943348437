package executor

import (
	"context"
	"time"

	"bamboowood/internal/platform"
	"bamboowood/internal/state"
	"bamboowood/internal/structs"
	"bamboowood/internal/task"
)

// prune removes the local state of tasks that appear neither in the VM's row nor in
// the worker's reports.
func (e *Executor) prune(statuses map[string]platform.TaskStatus, busy map[string]bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	for id, l := range e.localTasks {
		_, reserved := e.view.vm.Value.Tasks[id]
		_, reported := statuses[id]
		if !reserved && !reported && !busy[id] && !l.busy {
			delete(e.localTasks, id)
		}
	}
}

// handleOrphans handles tasks on the worker that are not in the VM's row. It stops
// running ones, reports completions that have not been committed, and removes the
// rest.
func (e *Executor) handleOrphans(ctx context.Context, statuses []platform.TaskStatus, busy map[string]bool) error {
	for _, s := range statuses {
		if _, reserved := e.view.vm.Value.Tasks[s.ID]; reserved || busy[s.ID] {
			continue
		}
		switch s.Phase {
		case platform.PhaseRunning:
			e.spawnStop(ctx, structs.Task{ID: s.ID, Fence: s.Fence}, 0, requeueNotRunning)
		case platform.PhaseSucceeded:
			if err := e.reportOrphanCompletion(ctx, s); err != nil {
				return err
			}
		default:
			e.removeTask(ctx, s.ID, s.Fence)
		}
	}
	return nil
}

// reportOrphanCompletion reports the completion of a task that has been requeued in
// the meantime. The task's fence decides whether the completion still counts.
func (e *Executor) reportOrphanCompletion(ctx context.Context, s platform.TaskStatus) error {
	row, err := state.Get[structs.Task](ctx, e.table, state.TaskKey(s.ID))
	if err != nil {
		return err
	}
	tx := task.NewTx(time.Now())
	claim := task.Claim{Owner: e.owner(), Fence: s.Fence}
	if row.Exists() && row.Value.State == structs.StatePending && tx.Succeed(row, e.view.vm, claim) == nil {
		if err := tx.Commit(ctx, e.table); err != nil {
			e.view.stale = true
			return err
		}
		e.applyCommitted(tx)
	}
	delete(e.view.rows, s.ID)
	e.removeTask(ctx, s.ID, s.Fence)
	return nil
}
