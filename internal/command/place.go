package command

import (
	"context"
	"fmt"
	"maps"
	"slices"
	"strings"

	"bamboowood/internal/state"
	"bamboowood/internal/statement"
	"bamboowood/internal/structs"
)

// topology holds the rows of all zones and VMs.
type topology struct {
	zones map[string]state.Row[structs.Zone]
	vms   []state.Row[structs.VM]
}

func (c *Commander) readTopology(ctx context.Context) (*topology, error) {
	zones, err := state.List[structs.Zone](ctx, c.table, state.ZonePrefix)
	if err != nil {
		return nil, err
	}
	vms, err := state.List[structs.VM](ctx, c.table, state.VMPrefix)
	if err != nil {
		return nil, err
	}
	topo := &topology{zones: make(map[string]state.Row[structs.Zone]), vms: vms}
	for _, z := range zones {
		topo.zones[strings.TrimPrefix(z.Key, state.ZonePrefix)] = z
	}
	for _, vm := range vms {
		if _, ok := topo.zones[vm.Value.Zone]; !ok {
			topo.zones[vm.Value.Zone] = state.Row[structs.Zone]{
				Key: state.ZoneKey(vm.Value.Zone), Value: structs.Zone{Name: vm.Value.Zone, State: structs.ZoneActive},
			}
		}
	}
	return topo, nil
}

// partition returns the VMs for which selected is true and, of the others, those that
// are schedulable: not draining, not revoked and not in a drained zone.
func (t *topology) partition(selected func(structs.VM) bool) (matched, remaining []structs.VM) {
	for _, row := range t.vms {
		vm := row.Value
		switch {
		case selected(vm):
			matched = append(matched, vm)
		case !vm.Draining && !vm.Revoked && t.zones[vm.Zone].Value.State != structs.ZoneDrained:
			remaining = append(remaining, vm)
		}
	}
	return matched, remaining
}

func (c *Commander) drainZone(ctx context.Context, req Request, name string, force bool, control state.Control) (*plan, error) {
	topo, err := c.readTopology(ctx)
	if err != nil {
		return nil, err
	}
	zone, ok := topo.zones[name]
	if !ok {
		return nil, notFound("zone", name, topo.zones)
	}
	p := zonePlan(zone)
	p.follow = "zone " + name
	drained, remaining := topo.partition(func(vm structs.VM) bool { return vm.Zone == name })
	remaining = slices.DeleteFunc(remaining, func(vm structs.VM) bool { return control.DrainingVMs[vm.ID] })
	p.effects = drainEffects(drained, remaining)
	if zone.Value.State == structs.ZoneDrained {
		p.tx.Check(zone.Key, zone.Version)
		p.message = fmt.Sprintf("zone %s was already out", name)
		return p, nil
	}
	if lost := drainLosses(drained, remaining); lost != nil && !force {
		return nil, needsForce("zone "+name, lost)
	}
	p.putZone(zone, structs.ZoneDrained, req, c)
	p.undo = "refill zone " + name
	p.message = fmt.Sprintf("zone %s is out: %s to move", name, plural(taskCount(drained), "task"))
	return p, nil
}

func (c *Commander) refillZone(ctx context.Context, req Request, name string) (*plan, error) {
	topo, err := c.readTopology(ctx)
	if err != nil {
		return nil, err
	}
	zone, ok := topo.zones[name]
	if !ok {
		return nil, notFound("zone", name, topo.zones)
	}
	p := zonePlan(zone)
	if zone.Value.State != structs.ZoneDrained {
		p.tx.Check(zone.Key, zone.Version)
		p.message = fmt.Sprintf("zone %s was already in", name)
		return p, nil
	}
	returning, _ := topo.partition(func(vm structs.VM) bool { return vm.Zone == name && !vm.Draining && !vm.Revoked })
	for _, vm := range returning {
		p.effects = append(p.effects, statement.EffectRow{Object: "worker " + vm.ID, Effect: "takes work again, free " + vm.Free().String()})
	}
	p.putZone(zone, structs.ZoneActive, req, c)
	p.undo = "drain zone " + name
	p.message = fmt.Sprintf("zone %s is in: %s back", name, plural(len(returning), "worker"))
	return p, nil
}

func zonePlan(zone state.Row[structs.Zone]) *plan {
	return &plan{
		object: "zone " + zone.Value.Name, lastChangeID: zone.Value.ChangeID, tx: state.NewTx(),
		currentState: fmt.Sprintf("zone %s is %s", zone.Value.Name, zone.Value.State),
	}
}

func (p *plan) putZone(zone state.Row[structs.Zone], to structs.ZoneState, req Request, c *Commander) {
	next := zone.Value
	next.State = to
	next.ChangedBy, next.ChangeID, next.ChangedAt = req.Author, req.ID, c.now().UTC()
	p.tx.Put(zone.Key, zone.Version, next)
}

func (c *Commander) drainWorker(ctx context.Context, req Request, id string, force bool, control state.Control) (*plan, error) {
	topo, err := c.readTopology(ctx)
	if err != nil {
		return nil, err
	}
	vm, err := topo.worker(id)
	if err != nil {
		return nil, err
	}
	p := workerPlan(vm, control)
	p.follow = "worker " + id
	drained, remaining := topo.partition(func(vm structs.VM) bool { return vm.ID == id })
	p.effects = drainEffects(drained, remaining)
	if vm.Value.Draining && control.DrainingVMs[id] {
		p.tx.Check(vm.Key, vm.Version)
		p.message = fmt.Sprintf("worker %s was already draining", id)
		return p, nil
	}
	if lost := drainLosses(drained, remaining); lost != nil && !force {
		return nil, needsForce("worker "+id, lost)
	}
	next := vm.Value
	next.Draining = true
	p.tx.Put(vm.Key, vm.Version, next)
	p.control = func(control state.Control) state.Control {
		control.DrainingVMs = withEntry(control.DrainingVMs, id, true)
		control.DrainedBy = withEntry(control.DrainedBy, id, req.ID)
		return control
	}
	p.undo = "refill worker " + id
	p.message = fmt.Sprintf("worker %s is draining: %s to move", id, plural(len(vm.Value.Tasks), "task"))
	return p, nil
}

func (c *Commander) refillWorker(ctx context.Context, req Request, id string, control state.Control) (*plan, error) {
	topo, err := c.readTopology(ctx)
	if err != nil {
		return nil, err
	}
	vm, err := topo.worker(id)
	if err != nil {
		return nil, err
	}
	p := workerPlan(vm, control)
	if !vm.Value.Draining && !control.DrainingVMs[id] {
		p.tx.Check(vm.Key, vm.Version)
		p.message = fmt.Sprintf("worker %s was not draining", id)
		return p, nil
	}
	p.effects = []statement.EffectRow{{Object: "worker " + id, Effect: "takes work again, free " + vm.Value.Free().String()}}
	next := vm.Value
	next.Draining = false
	p.tx.Put(vm.Key, vm.Version, next)
	p.control = func(control state.Control) state.Control {
		control.DrainingVMs = withoutEntry(control.DrainingVMs, id)
		control.DrainedBy = withoutEntry(control.DrainedBy, id)
		return control
	}
	p.undo = "drain worker " + id
	p.message = fmt.Sprintf("worker %s takes work again", id)
	return p, nil
}

func (t *topology) worker(id string) (state.Row[structs.VM], error) {
	ids := make(map[string]bool, len(t.vms))
	for _, vm := range t.vms {
		if vm.Value.ID == id {
			return vm, nil
		}
		ids[vm.Value.ID] = true
	}
	return state.Row[structs.VM]{}, notFound("worker", id, ids)
}

func workerPlan(vm state.Row[structs.VM], control state.Control) *plan {
	p := &plan{object: "worker " + vm.Value.ID, lastChangeID: control.DrainedBy[vm.Value.ID], tx: state.NewTx()}
	p.currentState = p.object + " takes work"
	if vm.Value.Draining {
		p.currentState = p.object + " is draining"
	}
	return p
}

// drainEffects returns for each task on the drained VMs whether it fits into the free
// capacity of a remaining VM.
func drainEffects(drained, remaining []structs.VM) []statement.EffectRow {
	free := make([]structs.Resources, len(remaining))
	for i, vm := range remaining {
		free[i] = vm.Free()
	}
	var effects []statement.EffectRow
	for _, vm := range drained {
		for _, id := range slices.Sorted(maps.Keys(vm.Tasks)) {
			need := vm.Tasks[id].Resources
			effect := "waits: no free room elsewhere for " + need.String()
			if i := slices.IndexFunc(free, need.Fits); i >= 0 {
				free[i] = free[i].Sub(need)
				effect = "moves from " + vm.ID + ", for example to " + remaining[i].ID
			}
			effects = append(effects, statement.EffectRow{Object: "task " + id, Effect: effect})
		}
	}
	return effects
}

// drainLosses lists the services without another upstream, and the tasks that fit no
// remaining VM even if it is empty.
func drainLosses(drained, remaining []structs.VM) []string {
	if len(drained) > 0 && len(remaining) == 0 {
		return []string{"no worker is left that takes work; all tasks wait and all services stop"}
	}
	var lost []string
	services := make(map[string]bool)
	for _, vm := range remaining {
		for _, s := range vm.Services {
			services[s] = true
		}
	}
	for _, vm := range drained {
		for _, s := range vm.Services {
			if !services[s] {
				services[s] = true
				lost = append(lost, "service "+s+" has no other upstream")
			}
		}
		for _, id := range slices.Sorted(maps.Keys(vm.Tasks)) {
			need := vm.Tasks[id].Resources
			fits := func(vm structs.VM) bool { return need.Fits(vm.Capacity.Sub(vm.ServiceReserve)) }
			if !slices.ContainsFunc(remaining, fits) {
				lost = append(lost, fmt.Sprintf("task %s fits no other worker (%s)", id, need))
			}
		}
	}
	return lost
}

// maxListedLosses bounds the losses that a refusal lists.
const maxListedLosses = 5

func needsForce(object string, lost []string) error {
	text := strings.Join(lost[:min(len(lost), maxListedLosses)], "; ")
	if more := len(lost) - maxListedLosses; more > 0 {
		text += fmt.Sprintf("; and %d more", more)
	}
	e := statement.Refuse(statement.NeedsForce, "without %s not everything can be kept: %s", object, text)
	e.Expected = []string{"force"}
	return e
}

func taskCount(vms []structs.VM) int {
	n := 0
	for _, vm := range vms {
		n += len(vm.Tasks)
	}
	return n
}

func plural(n int, noun string) string {
	if n == 1 {
		return "1 " + noun
	}
	return fmt.Sprintf("%d %ss", n, noun)
}

func withEntry[V any](m map[string]V, key string, value V) map[string]V {
	next := maps.Clone(m)
	if next == nil {
		next = make(map[string]V)
	}
	next[key] = value
	return next
}

func withoutEntry[V any](m map[string]V, key string) map[string]V {
	next := maps.Clone(m)
	delete(next, key)
	return next
}
