package scheduler

import (
	"context"
	"errors"
	"fmt"
	"sync"
	"time"

	"golang.org/x/sync/errgroup"

	"bamboowood/internal/placement"
	"bamboowood/internal/platform"
	"bamboowood/internal/state"
	"bamboowood/internal/structs"
	"bamboowood/internal/task"
)

// parallelReads limits the concurrent reads of one scheduler.
const parallelReads = 8

// bind commits bindings in groups. All bindings of a VM are in the same group.
func (s *Scheduler) bind(ctx context.Context, bindings []placement.Binding) error {
	for _, group := range groupBindings(bindings, s.options.GroupSize) {
		err := s.bindGroup(ctx, group)
		if errors.Is(err, platform.ErrConflict) {
			countFailure("bind-conflict")
			err = s.bindPerVM(ctx, group)
		}
		if err != nil {
			return fmt.Errorf("bind: %w", err)
		}
	}
	return nil
}

// bindPerVM retries a group that met a conflict with one transaction per VM, so that only
// the VMs with concurrent changes are left to the next pass.
func (s *Scheduler) bindPerVM(ctx context.Context, group []placement.Binding) error {
	for _, part := range groupBindings(group, 1) {
		err := s.bindGroup(ctx, part)
		if err != nil && !errors.Is(err, platform.ErrConflict) {
			return err
		}
	}
	return nil
}

// bindGroup reads the rows of a group again and commits, in one transaction, the bindings
// that are still valid.
func (s *Scheduler) bindGroup(ctx context.Context, group []placement.Binding) error {
	rows, err := s.readGroup(ctx, group)
	if err != nil {
		return err
	}
	tx := task.NewTx(time.Now())
	for _, b := range group {
		vm, row := rows.vms[b.VM], rows.tasks[b.TaskID]
		if row.Value.State != structs.StatePending || vm.Value.Incarnation != b.Incarnation {
			continue
		}
		if err := tx.Place(row, vm, rows.zones[b.Zone], b.Size, "placed"); err != nil {
			countRefusal(err)
		}
	}
	s.updateView(rows)
	if tx.Empty() {
		return nil
	}
	if err := tx.Commit(ctx, s.table); err != nil {
		return err
	}
	s.recordPlaced(tx, rows)
	return nil
}

// groupRows are the rows that the transaction of a group checks.
type groupRows struct {
	vms   map[string]task.VMRow
	zones map[string]task.ZoneRow
	tasks map[string]task.Row
}

func (s *Scheduler) readGroup(ctx context.Context, group []placement.Binding) (groupRows, error) {
	rows := groupRows{map[string]task.VMRow{}, map[string]task.ZoneRow{}, map[string]task.Row{}}
	var mu sync.Mutex
	reads, ctx := errgroup.WithContext(ctx)
	reads.SetLimit(parallelReads)
	seen := map[string]bool{}
	for _, b := range group {
		if !seen[state.VMKey(b.VM)] {
			seen[state.VMKey(b.VM)] = true
			reads.Go(func() error { return readInto(ctx, s.table, state.VMKey(b.VM), b.VM, rows.vms, &mu) })
		}
		if !seen[state.ZoneKey(b.Zone)] {
			seen[state.ZoneKey(b.Zone)] = true
			reads.Go(func() error { return readInto(ctx, s.table, state.ZoneKey(b.Zone), b.Zone, rows.zones, &mu) })
		}
		reads.Go(func() error { return readInto(ctx, s.table, state.TaskKey(b.TaskID), b.TaskID, rows.tasks, &mu) })
	}
	return rows, reads.Wait()
}

func readInto[T any](ctx context.Context, table platform.Table, key, id string, into map[string]state.Row[T], mu *sync.Mutex) error {
	row, err := state.Get[T](ctx, table, key)
	if err != nil {
		return err
	}
	mu.Lock()
	defer mu.Unlock()
	into[id] = row
	return nil
}

// updateView removes from the queue the tasks that are no longer pending, and stores the
// VM rows, which are newer, in the view.
func (s *Scheduler) updateView(rows groupRows) {
	for id, row := range rows.tasks {
		if row.Value.State != structs.StatePending {
			delete(s.view.queue, id)
		}
	}
	for id, row := range rows.vms {
		s.view.updateVM(id, row)
	}
}

// recordPlaced updates the view after the commit of a group and notifies its VMs.
func (s *Scheduler) recordPlaced(tx *task.Tx, rows groupRows) {
	now := time.Now()
	for _, row := range tx.Tasks() {
		delete(s.view.queue, row.Value.ID)
		s.view.starts.track(row.Value, s.now())
		s.view.failures.recordPlacement(row.Value.ID, row.Value.Owner.VM, now)
		observeWait(now.Sub(row.Value.SubmittedAt), row.Value.Spec.Priority)
	}
	countPlaced(tx.Len())
	for id := range rows.vms {
		if vm, ok := tx.VM(id); ok {
			s.view.updateVM(id, vm)
			s.notify(id)
		}
	}
}
