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

// BulkCancelObject is the Progress.Object of a wave of cancellations.
const BulkCancelObject = "jobs"

// Bounds of a wave of cancellations.
const (
	// maxWaveTasks bounds the row that lists the jobs of one wave.
	maxWaveTasks = 5000
	// waveBatchTasks is the number of jobs that one transaction cancels.
	waveBatchTasks = 25
	// waveBatchesPerSecond leaves most of the table's writes to others.
	waveBatchesPerSecond, waveBurst = 8, 4
	// wavePreviewTasks bounds the jobs that a preview lists.
	wavePreviewTasks = 50
)

// wave is the row wave/{command id}: accepted cancellations not yet carried out.
type wave struct {
	Author string   `json:"author"`
	Tasks  []string `json:"tasks"`
}

// cancelJobs plans a wave: the command accepts the list of the jobs, and
// transactions of a bounded size then cancel them.
func (c *Commander) cancelJobs(ctx context.Context, order Request) (*plan, error) {
	ids, effects, err := c.matchingJobs(ctx, order.Statement.Cancel.Where)
	if err != nil {
		return nil, err
	}
	if len(ids) > maxWaveTasks {
		return nil, statement.Refuse(statement.InvalidValue, "%d jobs match, more than %d; narrow the conditions", len(ids), maxWaveTasks)
	}
	count := plural(len(ids), "job")
	if !order.Confirm && !order.Statement.Cancel.Confirm {
		e := statement.Refuse(statement.NeedsConfirm, "%s would be cancelled; nothing was done", count)
		e.Expected = []string{"confirm"}
		return nil, e
	}
	p := &plan{object: count, tx: state.NewTx(), message: count + " cancelled", effects: effects}
	if len(ids) > 0 {
		p.follow = BulkCancelObject
		p.message = count + " to cancel"
		p.tx.Put(state.BulkCancelKey(order.ID), 0, wave{Author: order.Author, Tasks: ids})
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
		if len(effects) < wavePreviewTasks {
			effects = append(effects, statement.EffectRow{Object: "job " + t.ID, Effect: fmt.Sprintf("%s, is cancelled", t.State)})
		}
	}
	return ids, effects, nil
}

// FinishBulkCancels carries on with the cancellations that commands have accepted and
// whose process ended before they were done. It is called from time to time by
// the holder of the scheduling lease.
func (c *Commander) FinishBulkCancels(ctx context.Context) error {
	page, err := c.table.List(ctx, state.BulkCancelPrefix, "", platform.MaxPageRows)
	if err != nil {
		return fmt.Errorf("list waves: %w", err)
	}
	for _, row := range page.Rows {
		if p := c.runWave(ctx, strings.TrimPrefix(row.Key, state.BulkCancelPrefix)); !p.Done && ctx.Err() != nil {
			return ctx.Err()
		}
	}
	return nil
}

// runWave cancels the jobs of a wave until it is done, the context ends or the
// table fails. The wave's row keeps the rest, so that anyone may go on.
func (c *Commander) runWave(ctx context.Context, id string) statement.Progress {
	progress := statement.Progress{Object: BulkCancelObject}
	failures := 0
	for failures < maxAttempts && ctx.Err() == nil {
		row, err := state.Get[wave](ctx, c.table, state.BulkCancelKey(id))
		if err != nil {
			failures++
			continue
		}
		progress.Tasks = len(row.Value.Tasks)
		if !row.Exists() {
			progress.Done = true
			return progress
		}
		if err := c.waves.Wait(ctx); err != nil {
			return progress
		}
		if err := c.waveBatch(ctx, row); err != nil {
			failures++
			continue
		}
		failures = 0
	}
	return progress
}

// waveBatch cancels the next jobs of a wave and takes them off its row, in one
// transaction. A batch that was decided on old rows is a conflict. Jobs that
// cannot be cancelled now go to the end of the row.
func (c *Commander) waveBatch(ctx context.Context, row state.Row[wave]) error {
	ids := row.Value.Tasks[:min(waveBatchTasks, len(row.Value.Tasks))]
	rest := slices.Clone(row.Value.Tasks[len(ids):])
	tx := task.NewTx(c.now().UTC())
	vms := make(map[string]task.VMRow)
	postponed := 0
	for _, id := range ids {
		err := c.waveTask(ctx, tx, vms, id, "cancelled by "+row.Value.Author)
		var refusal *task.RefusalError
		switch {
		case errors.As(err, &refusal):
			rest = append(rest, id)
			postponed++
		case err != nil:
			return err
		}
	}
	if postponed == len(row.Value.Tasks) {
		return fmt.Errorf("none of %d jobs can be cancelled now", postponed)
	}
	if len(rest) > 0 {
		tx.Put(row.Key, row.Version, wave{Author: row.Value.Author, Tasks: rest})
	} else {
		tx.State().Delete(row.Key, row.Version)
	}
	return tx.Commit(ctx, c.table)
}

// waveTask adds the cancellation of one job to tx; vms keeps the VM rows read.
func (c *Commander) waveTask(ctx context.Context, tx *task.Tx, vms map[string]task.VMRow, id, reason string) error {
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

// RunBulkCancels calls FinishBulkCancels at each interval while holds reports that this
// process has the scheduling lease. It returns when ctx ends.
func (c *Commander) RunBulkCancels(ctx context.Context, interval time.Duration, holds func() bool, failed func(error)) error {
	ticker := time.NewTicker(interval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-ticker.C:
		}
		if !holds() {
			continue
		}
		if err := c.FinishBulkCancels(ctx); err != nil && ctx.Err() == nil {
			failed(err)
		}
	}
}
