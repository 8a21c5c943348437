package scheduler

import (
	"context"
	"errors"
	"time"

	"bamboowood/internal/placement"
)

// Pass refreshes the view, plans and commits the plan. Conflicts with other writers are
// not errors; the tasks and VMs concerned are left to the next pass.
func (s *Scheduler) Pass(ctx context.Context) error {
	started := time.Now()
	config := s.control.Load()
	if err := s.view.refresh(ctx, s.table, s.now(), config, s.takeChangedVMs()); err != nil {
		return err
	}
	startsErr := s.checkStarts(ctx)
	plan := s.planner.Plan(s.view.snapshot(config, time.Now(), s.now()))
	observePass(time.Since(started), plan)
	err := s.bind(ctx, plan.Bindings)
	err = errors.Join(startsErr, err, s.evict(ctx, plan.Evictions), s.recordReasons(ctx, plan.Unplaceable), s.sweep(ctx))
	if plan.Remaining > 0 {
		s.Wake()
	}
	return err
}

// groupBindings packs bindings into groups of up to size. The bindings of a VM stay
// together, even beyond size, and groups are ordered by their first binding.
func groupBindings(bindings []placement.Binding, size int) [][]placement.Binding {
	byVM := map[string][]placement.Binding{}
	var order []string
	for _, b := range bindings {
		if _, ok := byVM[b.VM]; !ok {
			order = append(order, b.VM)
		}
		byVM[b.VM] = append(byVM[b.VM], b)
	}
	var result [][]placement.Binding
	var current []placement.Binding
	for _, vm := range order {
		if len(current) > 0 && len(current)+len(byVM[vm]) > size {
			result = append(result, current)
			current = nil
		}
		current = append(current, byVM[vm]...)
	}
	if len(current) > 0 {
		result = append(result, current)
	}
	return result
}
