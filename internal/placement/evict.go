package placement

import (
	"cmp"
	"slices"

	"bamboowood/internal/structs"
)

// ejected returns the VMs that fail most of the different jobs they are given,
// the worst first up to MaxEjected of all VMs.
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

// drain orders tasks off the VMs that are being emptied: watches first, then
// urgent tasks, then the rest. Together with the evictions for urgent tasks,
// which come first and take at most half, there are up to MaxEvictions.
func (x *pass) drain() {
	var orders []drainOrder
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
			if h := &vm.Tasks[j]; !h.Leaving {
				orders = append(orders, drainOrder{h, Eviction{TaskID: h.ID, VM: vm.ID, Reason: reason}})
			}
		}
	}
	slices.SortStableFunc(orders, func(a, b drainOrder) int { return cmp.Compare(a.rank(), b.rank()) })
	left := x.options.MaxEvictions - len(x.plan.Evictions)
	for _, o := range orders[:min(len(orders), left)] {
		x.plan.Evictions = append(x.plan.Evictions, o.eviction)
	}
}

type drainOrder struct {
	held     *ReservedTask
	eviction Eviction
}

func (o drainOrder) rank() int {
	switch {
	case o.held.Kind == structs.KindWatch:
		return 0
	case o.held.Priority >= structs.PriorityUrgent:
		return 1
	}
	return 2
}

// preempt promises an urgent task the room of tasks that are leaving already or,
// failing that, evicts the normal batch tasks whose eviction may lose the least
// work. It reports whether room was promised.
func (x *pass) preempt(t *Task) bool {
	var best *Candidate
	var victims []*ReservedTask
	bestCost := 0.0
	for i := range x.ready {
		vm := &x.ready[i]
		if !t.Size.Fits(vm.Capacity) || !x.keep(t, vm) {
			continue
		}
		if t.Size.Fits(vm.Free.Add(vm.Releasing)) {
			best, victims = vm, nil
			break
		}
		if len(x.plan.Evictions) >= x.options.MaxEvictions/2 {
			continue
		}
		chosen, cost, ok := x.leastLoss(t, vm)
		if ok && (best == nil || cost < bestCost) {
			best, victims, bestCost = vm, chosen, cost
		}
	}
	if best == nil || len(x.plan.Evictions)+len(victims) > x.options.MaxEvictions {
		return false
	}
	for _, h := range victims {
		best.Releasing = best.Releasing.Add(h.Size)
		x.plan.Evictions = append(x.plan.Evictions, Eviction{TaskID: h.ID, VM: best.ID, Reason: EvictUrgent, ForTask: t.ID})
		x.taken[h.ID] = true
	}
	best.Free = best.Free.Sub(t.Size)
	x.accounts.Add(t.Team, t.Size)
	x.queue.Placed(t)
	return true
}

// leastLoss returns normal batch tasks of the VM that make room for t when they
// are evicted, and the work that may be lost with them.
func (x *pass) leastLoss(t *Task, vm *Candidate) ([]*ReservedTask, float64, bool) {
	room := vm.Free.Add(vm.Releasing)
	var chosen []*ReservedTask
	for _, h := range vm.victims() {
		if t.Size.Fits(room) {
			break
		}
		if x.taken[h.ID] {
			continue
		}
		room = room.Add(h.Size)
		chosen = append(chosen, h)
	}
	if !t.Size.Fits(room) {
		return nil, 0, false
	}
	chosen, lost := prune(t, room, chosen)
	return chosen, lost, true
}

// loss is the work in core-seconds that an eviction may lose.
func (h *ReservedTask) loss() float64 { return h.AtRisk.Seconds() * float64(h.Size.MilliCPU) / 1000 }

// victims returns the normal batch tasks that an urgent one may displace, the
// least loss first.
func (c *Candidate) victims() []*ReservedTask {
	if c.sorted {
		return c.evictable
	}
	c.sorted = true
	for i := range c.Tasks {
		if h := &c.Tasks[i]; h.Kind == structs.KindBatch && h.Priority < structs.PriorityUrgent && !h.Leaving {
			c.evictable = append(c.evictable, h)
		}
	}
	slices.SortFunc(c.evictable, func(a, b *ReservedTask) int {
		return cmp.Or(cmp.Compare(a.loss(), b.loss()), cmp.Compare(a.ID, b.ID))
	})
	return c.evictable
}

// prune drops tasks whose room turned out not to be needed, the greatest loss
// first.
func prune(t *Task, room structs.Resources, chosen []*ReservedTask) ([]*ReservedTask, float64) {
	kept := make([]*ReservedTask, 0, len(chosen))
	lost := 0.0
	for _, h := range slices.Backward(chosen) {
		if without := room.Sub(h.Size); t.Size.Fits(without) {
			room = without
			continue
		}
		kept = append(kept, h)
		lost += h.loss()
	}
	return kept, lost
}
