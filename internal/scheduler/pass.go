package scheduler

import (
	"context"
	"errors"
	"time"

	"bamboowood/internal/placement"
)

// Pass reads what is due, plans and commits the plan. Conflicts with others are
// no error: what they concern is left to the next pass.
func (s *Scheduler) Pass(ctx context.Context) error {
	started := time.Now()
	config := s.control.Load()
	if err := s.view.refresh(ctx, s.table, s.now(), config, s.takeChanged()); err != nil {
		return err
	}
	startsErr := s.checkStarts(ctx)
	plan := s.planner.Plan(s.view.snapshot(config, time.Now(), s.now()))
	observePass(time.Since(started), plan)
	err := s.bind(ctx, plan.Bindings)
	err = errors.Join(startsErr, err, s.evict(ctx, plan.Evictions), s.explain(ctx, plan.Unplaceable), s.sweep(ctx))
	if plan.Remaining > 0 {
		s.Wake()
	}
	return err
}

// groups packs bindings into groups of up to size; those of one VM stay
// together, and the groups follow the order of their first binding.
func groups(bindings []placement.Binding, size int) [][]placement.Binding {
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
