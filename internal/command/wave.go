package command

import (
	"context"
	"errors"
	"fmt"
	"slices"
	"strings"
	"time"

	"bamboowood/internal/platform"
	"bamboowood/internal/state"
	"bamboowood/internal/statement"
	"bamboowood/internal/structs"
	"bamboowood/internal/task"
)

// BulkCancelObject is the Progress.Object of a bulk cancellation.
const BulkCancelObject = "jobs"

// Limits of bulk cancellations.
const (
	// maxBulkCancelTasks bounds the jobs of one bulk cancellation, which its row lists.
	maxBulkCancelTasks = 5000
	// bulkCancelBatchTasks is the number of jobs that one transaction cancels.
	bulkCancelBatchTasks = 25
	// bulkCancelBatchesPerSecond leaves most of the table's write capacity to others.
	bulkCancelBatchesPerSecond, bulkCancelBurst = 8, 4
	// maxPreviewTasks bounds the jobs that a preview lists.
	maxPreviewTasks = 50
)

// bulkCancel is the value of the row wave/{command id}: the jobs of a bulk cancellation
// that are still to be cancelled.
type bulkCancel struct {
	Author string   `json:"author"`
	Tasks  []string `json:"tasks"`
}

// cancelJobs plans a bulk cancellation. The command's transaction stores the list of the
// jobs, and further transactions of a bounded size cancel them.
func (c *Commander) cancelJobs(ctx context.Context, req Request) (*plan, error) {
	ids, effects, err := c.matchingJobs(ctx, req.Statement.Cancel.Where)
	if err != nil {
		return nil, err
	}
	if len(ids) > maxBulkCancelTasks {
		return nil, statement.Refuse(statement.InvalidValue, "%d jobs match, more than %d; narrow the conditions", len(ids), maxBulkCancelTasks)
	}
	count := plural(len(ids), "job")
	if !req.Confirm && !req.Statement.Cancel.Confirm {
		e := statement.Refuse(statement.NeedsConfirm, "%s would be cancelled; nothing was done", count)
		e.Expected = []string{"confirm"}
		return nil, e
	}
	p := &plan{object: count, tx: state.NewTx(), message: count + " cancelled", effects: effects}
	if len(ids) > 0 {
		p.follow = BulkCancelObject
		p.message = count + " to cancel"
		p.tx.Put(state.BulkCancelKey(req.ID), 0, bulkCancel{Author: req.Author, Tasks: ids})
	}
	return p, nil
}

func (c *Commander) matchingJobs(ctx context.Context, where []statement.Condition) ([]string, []statement.EffectRow, error) {
	vms, err := state.List[structs.VM](ctx, c.table, state.VMPrefix)
	if err != nil {
		return nil, nil, err
	}
	tasks, err := state.List[structs.Task](ctx, c.table, state.TaskPrefix)
	if err != nil {
		return nil, nil, err
	}
	zones := make(map[string]string, len(vms))
	for _, vm := range vms {
		zones[vm.Value.ID] = vm.Value.Zone
	}
	var ids []string
	var effects []statement.EffectRow
	for _, row := range tasks {
		t := row.Value
		if t.Spec.Kind != structs.KindBatch || t.State.Final() || t.State == structs.StateStopping {
			continue
		}
		if !statement.Match("jobs", where, statement.TaskRowOf(t, zones[t.Owner.VM], c.now())) {
			continue
		}
		ids = append(ids, t.ID)
		if len(effects) < maxPreviewTasks {
			effects = append(effects, statement.EffectRow{Object: "job " + t.ID, Effect: fmt.Sprintf("%s, is cancelled", t.State)})
		}
	}
	return ids, effects, nil
}

// FinishBulkCancels continues the bulk cancellations that were accepted and not
// completed, because their process ended or the table failed. The holder of the
// scheduling lease calls it periodically. It returns an error if the cancellations
// cannot be listed or ctx ends.
func (c *Commander) FinishBulkCancels(ctx context.Context) error {
	page, err := c.table.List(ctx, state.BulkCancelPrefix, "", platform.MaxPageRows)
	if err != nil {
		return fmt.Errorf("list bulk cancellations: %w", err)
	}
	for _, row := range page.Rows {
		if p := c.runBulkCancel(ctx, strings.TrimPrefix(row.Key, state.BulkCancelPrefix)); !p.Done && ctx.Err() != nil {
			return ctx.Err()
		}
	}
	return nil
}

// runBulkCancel cancels the jobs of a bulk cancellation until none is left, the context
// ends or maxAttempts attempts in a row fail. The row keeps the remaining jobs, so that
// any process can continue.
func (c *Commander) runBulkCancel(ctx context.Context, id string) statement.Progress {
	progress := statement.Progress{Object: BulkCancelObject}
	failures := 0
	for failures < maxAttempts && ctx.Err() == nil {
		row, err := state.Get[bulkCancel](ctx, c.table, state.BulkCancelKey(id))
		if err != nil {
			failures++
			continue
		}
		progress.Tasks = len(row.Value.Tasks)
		if !row.Exists() {
			progress.Done = true
			return progress
		}
		if err := c.bulkCancelLimiter.Wait(ctx); err != nil {
			return progress
		}
		if err := c.cancelBatch(ctx, row); err != nil {
			failures++
			continue
		}
		failures = 0
	}
	return progress
}

// cancelBatch cancels the next jobs of a bulk cancellation and removes them from its
// row, in one transaction. The commit conflicts if a row has changed since it was read.
// Jobs that cannot be cancelled now move to the end of the row.
func (c *Commander) cancelBatch(ctx context.Context, row state.Row[bulkCancel]) error {
	ids := row.Value.Tasks[:min(bulkCancelBatchTasks, len(row.Value.Tasks))]
	remaining := slices.Clone(row.Value.Tasks[len(ids):])
	tx := task.NewTx(c.now().UTC())
	vms := make(map[string]task.VMRow)
	postponed := 0
	for _, id := range ids {
		err := c.addBulkCancelTask(ctx, tx, vms, id, "cancelled by "+row.Value.Author)
		var refusal *task.RefusalError
		switch {
		case errors.As(err, &refusal):
			remaining = append(remaining, id)
			postponed++
		case err != nil:
			return err
		}
	}
	if postponed == len(row.Value.Tasks) {
		return fmt.Errorf("none of %d jobs can be cancelled now", postponed)
	}
	if len(remaining) > 0 {
		tx.Put(row.Key, row.Version, bulkCancel{Author: row.Value.Author, Tasks: remaining})
	} else {
		tx.Build().Delete(row.Key, row.Version)
	}
	return tx.Commit(ctx, c.table)
}

// addBulkCancelTask adds the cancellation of one job to tx. vms caches the VM rows that
// were read.
func (c *Commander) addBulkCancelTask(ctx context.Context, tx *task.Tx, vms map[string]task.VMRow, id, reason string) error {
	t, err := state.Get[structs.Task](ctx, c.table, state.TaskKey(id))
	if err != nil {
		return err
	}
	if !t.Exists() || t.Value.State.Final() || t.Value.State == structs.StateStopping {
		return nil
	}
	owner := t.Value.Owner.VM
	if _, ok := vms[owner]; !ok && t.Value.State.HoldsResources() {
		if vms[owner], err = state.Get[structs.VM](ctx, c.table, state.VMKey(owner)); err != nil {
			return err
		}
	}
	return tx.Cancel(t, vms[owner], reason)
}

// RunBulkCancels calls FinishBulkCancels at each interval while isScheduler reports that
// this process holds the scheduling lease. It passes errors to onError and returns nil
// when ctx ends.
func (c *Commander) RunBulkCancels(ctx context.Context, interval time.Duration, isScheduler func() bool, onError func(error)) error {
	ticker := time.NewTicker(interval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-ticker.C:
		}
		if !isScheduler() {
			continue
		}
		if err := c.FinishBulkCancels(ctx); err != nil && ctx.Err() == nil {
			onError(err)
		}
	}
}
