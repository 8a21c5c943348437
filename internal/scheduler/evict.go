package scheduler

import (
	"context"
	"errors"
	"fmt"
	"time"

	"bamboowood/internal/placement"
	"bamboowood/internal/platform"
	"bamboowood/internal/state"
	"bamboowood/internal/structs"
	"bamboowood/internal/task"
)

// evict commits evictions in plan order, with one transaction per VM.
func (s *Scheduler) evict(ctx context.Context, evictions []placement.Eviction) error {
	return s.evictIf(ctx, evictions, isEvictable)
}

// evictIf evicts the tasks that still satisfy a condition when their rows are read again.
func (s *Scheduler) evictIf(ctx context.Context, evictions []placement.Eviction, allowed func(structs.Task, string) bool) error {
	byVM := map[string][]placement.Eviction{}
	var order []string
	for _, e := range evictions {
		if _, ok := byVM[e.VM]; !ok {
			order = append(order, e.VM)
		}
		byVM[e.VM] = append(byVM[e.VM], e)
	}
	for _, vm := range order {
		err := s.evictFrom(ctx, vm, byVM[vm], allowed)
		if err != nil && !errors.Is(err, platform.ErrConflict) {
			return fmt.Errorf("evict from %s: %w", vm, err)
		}
	}
	return nil
}

func (s *Scheduler) evictFrom(ctx context.Context, id string, evictions []placement.Eviction, allowed func(structs.Task, string) bool) error {
	vm, err := state.Get[structs.VM](ctx, s.table, state.VMKey(id))
	if err != nil {
		return err
	}
	tx := task.NewTx(time.Now())
	for _, e := range evictions {
		row, err := state.Get[structs.Task](ctx, s.table, state.TaskKey(e.TaskID))
		if err != nil {
			return err
		}
		if !allowed(row.Value, id) {
			continue
		}
		if err := tx.Evict(row, vm, string(e.Reason)); err != nil {
			countRefusal(err)
			continue
		}
		countEviction(e.Reason)
	}
	if tx.Empty() {
		s.view.updateVM(id, vm)
		return nil
	}
	if err := tx.Commit(ctx, s.table); err != nil {
		return err
	}
	if changed, ok := tx.VM(id); ok {
		s.view.updateVM(id, changed)
	}
	s.addRequeued(tx.Tasks())
	s.notify(id)
	return nil
}

func isEvictable(t structs.Task, vm string) bool {
	return t.Owner.VM == vm && (t.State == structs.StateRunning || t.State == structs.StatePlaced)
}
