package query

import (
	"context"
	"fmt"
	"maps"
	"slices"
	"strings"
	"time"

	"bamboowood/internal/placement"
	"bamboowood/internal/state"
	"bamboowood/internal/statement"
	"bamboowood/internal/structs"
)

// findings collects the rows of one explain statement's result.
type findings []statement.ExplainRow

func (f *findings) add(aspect, format string, args ...any) {
	*f = append(*f, statement.ExplainRow{Aspect: aspect, Finding: fmt.Sprintf(format, args...)})
}

func (q *Queries) explain(ctx context.Context, e *statement.Explain) (statement.Result, error) {
	read := q.readTopology
	if e.Kind != "zone" && e.Kind != "worker" {
		read = q.readTeams
	}
	s, err := read(ctx)
	if err != nil {
		return statement.Result{}, err
	}
	var rows findings
	switch e.Kind {
	case "zone":
		rows, err = q.explainZone(s, e.Name.Value)
	case "worker":
		rows, err = q.explainWorker(s, e.Name.Value)
	default:
		rows, err = q.explainTask(ctx, s, e.Kind, e.Name.Value)
	}
	if err != nil {
		return statement.Result{}, err
	}
	return statement.ResultOf(rows)
}

// maxSuggestionRows bounds the rows that are searched for an id similar to an unknown one.
const maxSuggestionRows = 500

func (q *Queries) explainTask(ctx context.Context, s *snapshot, kind, id string) (findings, error) {
	row, err := state.Get[structs.Task](ctx, q.table, state.TaskKey(id))
	if err != nil {
		return nil, err
	}
	if row.Exists() && (kind == "task" || kind == kindName(row.Value)) {
		peak, err := state.Get[structs.Peak](ctx, q.table, state.PeakKey(row.Value.Spec.Name))
		if err != nil {
			return nil, err
		}
		return s.explainTask(row.Value, peak.Value.Used), nil
	}
	page, err := q.table.List(ctx, state.TaskPrefix, "", maxSuggestionRows)
	if err != nil {
		return nil, err
	}
	var existing []string
	for _, row := range page.Rows {
		existing = append(existing, strings.TrimPrefix(row.Key, state.TaskPrefix))
	}
	return nil, notFound(kind, id, existing)
}

// explainTask explains a task. peak is the peak usage by tasks of the same name.
func (s *snapshot) explainTask(t structs.Task, peak structs.Resources) findings {
	need := s.reservation(t, peak)
	var f findings
	f.add("what", "%s %s of team %s, %s, asks for %s", kindName(t), t.Spec.Name, t.Spec.Team, priorityName(t), t.Spec.Declared)
	if need != t.Spec.Declared {
		f.add("size", "reserves %s: tasks of its name were seen to use %s", need, peak)
	}
	f.add("state", "%s since %s: %s", t.State, formatTime(t.ChangedAt), t.Reason)
	switch {
	case t.State == structs.StatePending:
		s.explainPending(&f, t, need)
	case t.State.HoldsResources():
		s.explainPlaced(&f, t, need)
	}
	if t.Evictions > 0 || t.Attempts > 0 {
		f.add("runs", "%s, %s; fence %d", countNoun(t.Evictions, "eviction"), countNoun(t.Attempts, "failed attempt"), t.Fence)
	}
	if t.Checkpoint != "" {
		f.add("checkpoint", "resumes from %s", t.Checkpoint)
	}
	for _, h := range t.History {
		f.add("history", "%s %s -> %s%s: %s", formatTime(h.At), h.From, h.To, onWorker(h.VM), h.Reason)
	}
	return f
}

// reservation returns the resources that placement reserves for a task.
func (s *snapshot) reservation(t structs.Task, peak structs.Resources) structs.Resources {
	var largest structs.Resources
	for _, vm := range s.vms {
		largest = largest.Max(vm.Capacity.Sub(vm.ServiceReserve))
	}
	return placement.Reserve(t.Spec.Declared, peak, largest)
}

func (s *snapshot) explainPending(f *findings, t structs.Task, need structs.Resources) {
	if t.NotBefore.After(s.now) {
		f.add("why not yet", "a failed run delays the next attempt until %s", formatTime(t.NotBefore))
	}
	s.explainQuota(f, t, need)
	fit := s.countFits(t, need)
	f.add("workers", "%s in all: %d in a zone that is out, %d draining, %d revoked, %d too small even when empty, %d without free room, %d could take it now",
		countNoun(len(s.vms), "worker"), fit.zoneOut, fit.draining, fit.revoked, fit.tooSmall, fit.full, fit.free)
	if fit.free == 0 && fit.largeEnough > 0 {
		f.add("waits for", "room on one of %s; the nearest, %s, has %s free", countNoun(fit.largeEnough, "worker"), fit.nearest, fit.nearestFree)
	}
	if fit.largeEnough == 0 && len(s.vms) > 0 {
		f.add("waits for", "a worker of its size: none that takes work is large enough, so it cannot run now")
	}
	if ahead := s.countAhead(t); ahead > 0 {
		f.add("queue", "%s of higher priority or longer wait in the same team", countNoun(ahead, "task"))
	}
}

func (s *snapshot) explainQuota(f *findings, t structs.Task, need structs.Resources) {
	team, ok := s.teams[t.Spec.Team]
	if !ok {
		f.add("quota", "team %s has no row", t.Spec.Team)
		return
	}
	used := s.usageByTeam()[team.Name].used
	after := used.Add(need)
	text := "does not bind"
	if !after.Fits(team.Quota) {
		text = "binds on " + exceededResources(after, team.Quota)
	}
	f.add("quota", "%s: team %s uses %s of %s", text, team.Name, used, team.Quota)
}

// exceededResources returns the names of the resources of which want exceeds limit.
func exceededResources(want, limit structs.Resources) string {
	text := ""
	for _, c := range []struct {
		name        string
		want, limit int64
	}{{"cores", want.MilliCPU, limit.MilliCPU}, {"memory", want.MemoryMB, limit.MemoryMB}, {"accelerators", want.Accelerators, limit.Accelerators}} {
		if c.want > c.limit {
			if text != "" {
				text += ", "
			}
			text += c.name
		}
	}
	return text
}

func (s *snapshot) explainPlaced(f *findings, t structs.Task, need structs.Resources) {
	i := slices.IndexFunc(s.vms, func(vm structs.VM) bool { return vm.ID == t.Owner.VM })
	if i < 0 {
		f.add("why here", "placed on worker %s, which has no row any more", t.Owner.VM)
		return
	}
	vm := s.vms[i]
	f.add("why here", "holds %s on worker %s (zone %s, rack %s), which has %s free", t.Reserved, vm.ID, vm.Zone, vm.Rack, vm.Free())
	fit := s.countFits(t, need)
	f.add("elsewhere", "of the other workers: %d in a zone that is out, %d draining, %d revoked, %d too small, %d without free room, %d could take it",
		fit.zoneOut, fit.draining, fit.revoked, fit.tooSmall, fit.full, fit.free)
	switch state := s.vmState(vm); {
	case t.State == structs.StateEvicting:
		f.add("waits for", "its checkpoint and confirmed stop on %s", vm.ID)
	case state != "in":
		f.add("waits for", "eviction: worker %s is %s", vm.ID, state)
	}
}

// fitCounts counts VMs by the first reason why the task cannot be placed on them; free
// counts those without such a reason.
type fitCounts struct {
	zoneOut, draining, revoked, tooSmall, full, free int
	// largeEnough counts the schedulable VMs that are large enough when empty.
	largeEnough int
	nearest     string
	nearestFree structs.Resources
}

// countFits checks each VM except the task's own.
func (s *snapshot) countFits(t structs.Task, need structs.Resources) fitCounts {
	var c fitCounts
	for _, vm := range s.vms {
		if vm.ID == t.Owner.VM {
			continue
		}
		switch s.vmState(vm) {
		case "zone-out":
			c.zoneOut++
			continue
		case "draining":
			c.draining++
			continue
		case "revoked":
			c.revoked++
			continue
		}
		c.addSchedulable(vm, need)
	}
	return c
}

// addSchedulable counts a VM that is schedulable: not draining, not revoked and not in a
// drained zone.
func (c *fitCounts) addSchedulable(vm structs.VM, need structs.Resources) {
	if !need.Fits(vm.Capacity.Sub(vm.ServiceReserve)) {
		c.tooSmall++
		return
	}
	c.largeEnough++
	free := vm.Free()
	if need.Fits(free) {
		c.free++
		return
	}
	c.full++
	if c.nearest == "" || free.MilliCPU > c.nearestFree.MilliCPU {
		c.nearest, c.nearestFree = vm.ID, free
	}
}

// countAhead counts the pending tasks of the same team that are queued before t.
func (s *snapshot) countAhead(t structs.Task) int {
	n := 0
	for _, o := range s.queue {
		if o.Team != t.Spec.Team || o.ID == t.ID {
			continue
		}
		if o.Priority > t.Spec.Priority || o.Priority == t.Spec.Priority && o.SubmittedAt.Before(t.SubmittedAt) {
			n++
		}
	}
	return n
}

func (q *Queries) explainWorker(s *snapshot, id string) (findings, error) {
	i := slices.IndexFunc(s.vms, func(vm structs.VM) bool { return vm.ID == id })
	if i < 0 {
		return nil, notFound("worker", id, slices.Sorted(maps.Keys(s.zoneOf)))
	}
	vm := s.vms[i]
	var f findings
	f.add("what", "incarnation %d in zone %s, rack %s, services %v", vm.Incarnation, vm.Zone, vm.Rack, vm.Services)
	f.add("state", "%s", s.vmState(vm))
	if by := s.control.DrainedBy[vm.ID]; by != "" {
		f.add("drained by", "command %s", by)
	}
	f.add("capacity", "%s, of which %s are held back for services, %s reserved in all, %s free", vm.Capacity, vm.ServiceReserve, vm.Reserved(), vm.Free())
	for _, u := range q.local.Upstreams() {
		if u.VM == id {
			f.add("upstream", "%s, %d of %d slots in use, last heartbeat %s ago", u.State, u.InFlight, u.Slots, millis(u.AgeMS))
		}
	}
	for _, task := range slices.Sorted(maps.Keys(vm.Tasks)) {
		f.add("task", "%s holds %s", task, vm.Tasks[task].Resources)
	}
	return f, nil
}

func (q *Queries) explainZone(s *snapshot, name string) (findings, error) {
	zone, ok := s.zones[name]
	if !ok {
		return nil, notFound("zone", name, slices.Sorted(maps.Keys(s.zones)))
	}
	var f findings
	state := string(zone.State)
	if zone.ChangedBy != "" {
		state += fmt.Sprintf(" since %s by %s (command %s)", formatTime(zone.ChangedAt), zone.ChangedBy, zone.ChangeID)
	}
	f.add("state", "%s", state)
	for _, row := range s.zoneRows(q.local.Upstreams()) {
		if row.Name != name {
			continue
		}
		f.add("what", "%s, %s, %s, %s in flight", countNoun(int(row.Workers), "worker"), countNoun(int(row.Upstreams), "upstream"),
			countNoun(int(row.Tasks), "task"), countNoun(int(row.Requests), "request"))
		if zone.State == structs.ZoneDrained && row.Tasks+row.Requests > 0 {
			f.add("waits for", "%s and %s to leave", countNoun(int(row.Tasks), "task"), countNoun(int(row.Requests), "request"))
		}
	}
	f.add("elsewhere", "%s elsewhere that take work", countNoun(s.countSchedulable(name), "worker"))
	return f, nil
}

// countSchedulable counts the schedulable VMs outside the zone.
func (s *snapshot) countSchedulable(zone string) int {
	n := 0
	for _, vm := range s.vms {
		if vm.Zone != zone && s.vmState(vm) == "in" {
			n++
		}
	}
	return n
}

func priorityName(t structs.Task) string {
	if t.Spec.Priority >= structs.PriorityUrgent {
		return "urgent"
	}
	return "normal priority"
}

func countNoun(n int, noun string) string {
	if n == 1 {
		return "1 " + noun
	}
	return fmt.Sprintf("%d %ss", n, noun)
}

func onWorker(vm string) string {
	if vm == "" {
		return ""
	}
	return " on " + vm
}

func formatTime(t time.Time) string { return t.UTC().Format(time.RFC3339) }
