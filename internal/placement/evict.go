package placement

import (
	"cmp"
	"slices"

	"bamboowood/internal/structs"
)

// ejected returns the VMs on which too many different jobs fail, up to MaxEjected of all
// VMs in descending order of the failure ratio.
func (p *Planner) ejected(s *Snapshot) map[string]bool {
	var failing []*VM
	for i := range s.VMs {
		vm := &s.VMs[i]
		if vm.Failed >= p.options.MinFailed && failureRatio(vm) >= p.options.FailureLimit {
			failing = append(failing, vm)
		}
	}
	slices.SortFunc(failing, func(a, b *VM) int { return cmp.Compare(failureRatio(b), failureRatio(a)) })
	limit := int(p.options.MaxEjected * float64(len(s.VMs)))
	result := map[string]bool{}
	for _, vm := range failing[:min(limit, len(failing))] {
		result[vm.ID] = true
	}
	return result
}

// evictDraining evicts the tasks of draining VMs and zones: watches first, then urgent
// tasks, then the rest. The plan has up to MaxEvictions evictions in total. Preemptions,
// planned earlier in the pass, stop at half of the limit (see preempt), which leaves
// evictions for the drains.
func (x *pass) evictDraining() {
	var evictions []drainEviction
	for i := range x.snapshot.VMs {
		vm := &x.snapshot.VMs[i]
		reason := EvictionReason("")
		switch vm.State {
		case VMZoneDrained:
			reason = EvictZoneDrained
		case VMDraining:
			reason = EvictDraining
		case VMReady, VMRevoked, VMSuspect:
			continue
		}
		for j := range vm.Tasks {
			if t := &vm.Tasks[j]; !t.Leaving {
				evictions = append(evictions, drainEviction{t, Eviction{TaskID: t.ID, VM: vm.ID, Reason: reason}})
			}
		}
	}
	slices.SortStableFunc(evictions, func(a, b drainEviction) int { return cmp.Compare(a.rank(), b.rank()) })
	remaining := x.options.MaxEvictions - len(x.plan.Evictions)
	for _, d := range evictions[:min(len(evictions), remaining)] {
		x.plan.Evictions = append(x.plan.Evictions, d.eviction)
	}
}

type drainEviction struct {
	task     *ReservedTask
	eviction Eviction
}

func (d drainEviction) rank() int {
	switch {
	case d.task.Kind == structs.KindWatch:
		return 0
	case d.task.Priority >= structs.PriorityUrgent:
		return 1
	}
	return 2
}

// preempt assigns capacity on a VM to an urgent task ahead of its release: that of tasks
// that are already leaving or, if no VM has enough, of the normal batch tasks with the
// least work at risk, which it evicts. It starts no further evictions once the plan has
// half of MaxEvictions. It reports whether capacity was assigned.
func (x *pass) preempt(t *Task) bool {
	var best *Candidate
	var victims []*ReservedTask
	bestCost := 0.0
	for i := range x.ready {
		vm := &x.ready[i]
		if !t.Size.Fits(vm.Capacity) || !x.passesFilters(t, vm) {
			continue
		}
		if t.Size.Fits(vm.Free.Add(vm.Leaving)) {
			best, victims = vm, nil
			break
		}
		if len(x.plan.Evictions) >= x.options.MaxEvictions/2 {
			continue
		}
		chosen, cost, ok := x.cheapestVictims(t, vm)
		if ok && (best == nil || cost < bestCost) {
			best, victims, bestCost = vm, chosen, cost
		}
	}
	if best == nil || len(x.plan.Evictions)+len(victims) > x.options.MaxEvictions {
		return false
	}
	for _, victim := range victims {
		best.Leaving = best.Leaving.Add(victim.Size)
		x.plan.Evictions = append(x.plan.Evictions, Eviction{TaskID: victim.ID, VM: best.ID, Reason: EvictUrgent, ForTask: t.ID})
		x.evicted[victim.ID] = true
	}
	best.Free = best.Free.Sub(t.Size)
	x.accounts.Add(t.Team, t.Size)
	x.queue.Placed(t)
	return true
}

// cheapestVictims returns normal batch tasks of the VM whose eviction frees enough
// capacity for t, and the work at risk in core-seconds.
func (x *pass) cheapestVictims(t *Task, vm *Candidate) ([]*ReservedTask, float64, bool) {
	free := vm.Free.Add(vm.Leaving)
	var chosen []*ReservedTask
	for _, victim := range vm.victims() {
		if t.Size.Fits(free) {
			break
		}
		if x.evicted[victim.ID] {
			continue
		}
		free = free.Add(victim.Size)
		chosen = append(chosen, victim)
	}
	if !t.Size.Fits(free) {
		return nil, 0, false
	}
	chosen, atRisk := dropUnneeded(t, free, chosen)
	return chosen, atRisk, true
}

// workAtRisk returns the work in core-seconds that an eviction may lose.
func (t *ReservedTask) workAtRisk() float64 {
	return t.AtRisk.Seconds() * float64(t.Size.MilliCPU) / 1000
}

// victims returns the normal batch tasks that an urgent task may preempt, in ascending
// order of the work at risk.
func (c *Candidate) victims() []*ReservedTask {
	if c.victimsSorted {
		return c.evictable
	}
	c.victimsSorted = true
	for i := range c.Tasks {
		if t := &c.Tasks[i]; t.Kind == structs.KindBatch && t.Priority < structs.PriorityUrgent && !t.Leaving {
			c.evictable = append(c.evictable, t)
		}
	}
	slices.SortFunc(c.evictable, func(a, b *ReservedTask) int {
		return cmp.Or(cmp.Compare(a.workAtRisk(), b.workAtRisk()), cmp.Compare(a.ID, b.ID))
	})
	return c.evictable
}

// dropUnneeded removes victims that are not needed to fit t, those with the most work at
// risk first.
func dropUnneeded(t *Task, free structs.Resources, chosen []*ReservedTask) ([]*ReservedTask, float64) {
	kept := make([]*ReservedTask, 0, len(chosen))
	atRisk := 0.0
	for _, victim := range slices.Backward(chosen) {
		if without := free.Sub(victim.Size); t.Size.Fits(without) {
			free = without
			continue
		}
		kept = append(kept, victim)
		atRisk += victim.workAtRisk()
	}
	return kept, atRisk
}
