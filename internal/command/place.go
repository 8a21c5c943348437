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

// fleet is the rows of all zones and VMs.
type fleet struct {
	zones map[string]state.Row[structs.Zone]
	vms   []state.Row[structs.VM]
}

func (c *Commander) readFleet(ctx context.Context) (*fleet, error) {
	zones, err := state.List[structs.Zone](ctx, c.table, state.ZonePrefix)
	if err != nil {
		return nil, err
	}
	vms, err := state.List[structs.VM](ctx, c.table, state.VMPrefix)
	if err != nil {
		return nil, err
	}
	f := &fleet{zones: make(map[string]state.Row[structs.Zone]), vms: vms}
	for _, z := range zones {
		f.zones[strings.TrimPrefix(z.Key, state.ZonePrefix)] = z
	}
	for _, vm := range vms {
		if _, ok := f.zones[vm.Value.Zone]; !ok {
			f.zones[vm.Value.Zone] = state.Row[structs.Zone]{
				Key: state.ZoneKey(vm.Value.Zone), Value: structs.Zone{Name: vm.Value.Zone, State: structs.ZoneActive},
			}
		}
	}
	return f, nil
}

// split returns the VMs that leaving selects and those of the others that take
// work.
func (f *fleet) split(leaving func(structs.VM) bool) (out, rest []structs.VM) {
	for _, row := range f.vms {
		vm := row.Value
		switch {
		case leaving(vm):
			out = append(out, vm)
		case !vm.Draining && !vm.Revoked && f.zones[vm.Zone].Value.State != structs.ZoneDrained:
			rest = append(rest, vm)
		}
	}
	return out, rest
}

func (c *Commander) drainZone(ctx context.Context, order Request, name string, force bool, control state.Control) (*plan, error) {
	f, err := c.readFleet(ctx)
	if err != nil {
		return nil, err
	}
	zone, ok := f.zones[name]
	if !ok {
		return nil, notFound("zone", name, f.zones)
	}
	p := zonePlan(zone)
	p.follow = "zone " + name
	out, rest := f.split(func(vm structs.VM) bool { return vm.Zone == name })
	rest = slices.DeleteFunc(rest, func(vm structs.VM) bool { return control.DrainingVMs[vm.ID] })
	p.effects = drainEffects(out, rest)
	if zone.Value.State == structs.ZoneDrained {
		p.tx.Check(zone.Key, zone.Version)
		p.message = fmt.Sprintf("zone %s was already out", name)
		return p, nil
	}
	if lost := notKept(out, rest); lost != nil && !force {
		return nil, needsForce("zone "+name, lost)
	}
	p.putZone(zone, structs.ZoneDrained, order, c)
	p.undo = "refill zone " + name
	p.message = fmt.Sprintf("zone %s is out: %s to move", name, plural(taskCount(out), "task"))
	return p, nil
}

func (c *Commander) refillZone(ctx context.Context, order Request, name string) (*plan, error) {
	f, err := c.readFleet(ctx)
	if err != nil {
		return nil, err
	}
	zone, ok := f.zones[name]
	if !ok {
		return nil, notFound("zone", name, f.zones)
	}
	p := zonePlan(zone)
	if zone.Value.State != structs.ZoneDrained {
		p.tx.Check(zone.Key, zone.Version)
		p.message = fmt.Sprintf("zone %s was already in", name)
		return p, nil
	}
	back, _ := f.split(func(vm structs.VM) bool { return vm.Zone == name && !vm.Draining && !vm.Revoked })
	for _, vm := range back {
		p.effects = append(p.effects, statement.EffectRow{Object: "worker " + vm.ID, Effect: "takes work again, free " + vm.Free().String()})
	}
	p.putZone(zone, structs.ZoneActive, order, c)
	p.undo = "drain zone " + name
	p.message = fmt.Sprintf("zone %s is in: %s back", name, plural(len(back), "worker"))
	return p, nil
}

func zonePlan(zone state.Row[structs.Zone]) *plan {
	return &plan{
		object: "zone " + zone.Value.Name, inForce: zone.Value.ChangeID, tx: state.NewTx(),
		state: fmt.Sprintf("zone %s is %s", zone.Value.Name, zone.Value.State),
	}
}

func (p *plan) putZone(zone state.Row[structs.Zone], to structs.ZoneState, order Request, c *Commander) {
	next := zone.Value
	next.State = to
	next.ChangedBy, next.ChangeID, next.ChangedAt = order.Author, order.ID, c.now().UTC()
	p.tx.Put(zone.Key, zone.Version, next)
}

func (c *Commander) drainWorker(ctx context.Context, order Request, id string, force bool, control state.Control) (*plan, error) {
	f, err := c.readFleet(ctx)
	if err != nil {
		return nil, err
	}
	vm, err := f.worker(id)
	if err != nil {
		return nil, err
	}
	p := workerPlan(vm, control)
	p.follow = "worker " + id
	out, rest := f.split(func(vm structs.VM) bool { return vm.ID == id })
	p.effects = drainEffects(out, rest)
	if vm.Value.Draining && control.DrainingVMs[id] {
		p.tx.Check(vm.Key, vm.Version)
		p.message = fmt.Sprintf("worker %s was already draining", id)
		return p, nil
	}
	if lost := notKept(out, rest); lost != nil && !force {
		return nil, needsForce("worker "+id, lost)
	}
	next := vm.Value
	next.Draining = true
	p.tx.Put(vm.Key, vm.Version, next)
	p.control = func(control state.Control) state.Control {
		control.DrainingVMs = with(control.DrainingVMs, id, true)
		control.DrainedBy = with(control.DrainedBy, id, order.ID)
		return control
	}
	p.undo = "refill worker " + id
	p.message = fmt.Sprintf("worker %s is draining: %s to move", id, plural(len(vm.Value.Tasks), "task"))
	return p, nil
}

func (c *Commander) refillWorker(ctx context.Context, order Request, id string, control state.Control) (*plan, error) {
	f, err := c.readFleet(ctx)
	if err != nil {
		return nil, err
	}
	vm, err := f.worker(id)
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
		control.DrainingVMs = without(control.DrainingVMs, id)
		control.DrainedBy = without(control.DrainedBy, id)
		return control
	}
	p.undo = "drain worker " + id
	p.message = fmt.Sprintf("worker %s takes work again", id)
	return p, nil
}

func (f *fleet) worker(id string) (state.Row[structs.VM], error) {
	known := make(map[string]bool, len(f.vms))
	for _, vm := range f.vms {
		if vm.Value.ID == id {
			return vm, nil
		}
		known[vm.Value.ID] = true
	}
	return state.Row[structs.VM]{}, notFound("worker", id, known)
}

func workerPlan(vm state.Row[structs.VM], control state.Control) *plan {
	p := &plan{object: "worker " + vm.Value.ID, inForce: control.DrainedBy[vm.Value.ID], tx: state.NewTx()}
	p.state = p.object + " takes work"
	if vm.Value.Draining {
		p.state = p.object + " is draining"
	}
	return p
}

// drainEffects says for each task on the leaving VMs whether it fits elsewhere.
func drainEffects(out, rest []structs.VM) []statement.EffectRow {
	free := make([]structs.Resources, len(rest))
	for i, vm := range rest {
		free[i] = vm.Free()
	}
	var effects []statement.EffectRow
	for _, vm := range out {
		for _, id := range slices.Sorted(maps.Keys(vm.Tasks)) {
			need := vm.Tasks[id].Resources
			effect := "waits: no free room elsewhere for " + need.String()
			if i := slices.IndexFunc(free, need.Fits); i >= 0 {
				free[i] = free[i].Sub(need)
				effect = "moves from " + vm.ID + ", for example to " + rest[i].ID
			}
			effects = append(effects, statement.EffectRow{Object: "task " + id, Effect: effect})
		}
	}
	return effects
}

// notKept returns what no other VM can take over, even when it is empty.
func notKept(out, rest []structs.VM) []string {
	if len(out) > 0 && len(rest) == 0 {
		return []string{"no worker is left that takes work; all tasks wait and all services stop"}
	}
	var lost []string
	services := make(map[string]bool)
	for _, vm := range rest {
		for _, s := range vm.Services {
			services[s] = true
		}
	}
	for _, vm := range out {
		for _, s := range vm.Services {
			if !services[s] {
				services[s] = true
				lost = append(lost, "service "+s+" has no other upstream")
			}
		}
		for _, id := range slices.Sorted(maps.Keys(vm.Tasks)) {
			need := vm.Tasks[id].Resources
			fits := func(vm structs.VM) bool { return need.Fits(vm.Capacity.Sub(vm.ServiceReserve)) }
			if !slices.ContainsFunc(rest, fits) {
				lost = append(lost, fmt.Sprintf("task %s fits no other worker (%s)", id, need))
			}
		}
	}
	return lost
}

// maxLostNamed bounds the losses that a refusal names.
const maxLostNamed = 5

func needsForce(object string, lost []string) error {
	text := strings.Join(lost[:min(len(lost), maxLostNamed)], "; ")
	if more := len(lost) - maxLostNamed; more > 0 {
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

func with[V any](m map[string]V, key string, value V) map[string]V {
	next := maps.Clone(m)
	if next == nil {
		next = make(map[string]V)
	}
	next[key] = value
	return next
}

func without[V any](m map[string]V, key string) map[string]V {
	next := maps.Clone(m)
	delete(next, key)
	return next
}
