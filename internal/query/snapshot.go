package query

import (
	"context"
	"fmt"
	"maps"
	"slices"
	"strings"
	"time"

	"bamboowood/internal/platform"
	"bamboowood/internal/state"
	"bamboowood/internal/statement"
	"bamboowood/internal/structs"
)

// snapshot has the rows read from the table for one query. Tasks, teams and queue
// are read only if the query needs them, because tasks are most of the table.
type snapshot struct {
	now     time.Time
	vms     []structs.VM
	zones   map[string]structs.Zone
	control state.Control
	// zoneOf maps VM ids to zones.
	zoneOf map[string]string

	tasks []structs.Task
	teams map[string]structs.Team
	queue []structs.QueueEntry
	// drainedAt maps VM ids to the times of their drain commands; read only for alarms.
	drainedAt map[string]time.Time
}

// readTopology reads the VMs and zones.
func (q *Queries) readTopology(ctx context.Context) (*snapshot, error) {
	s := &snapshot{now: q.now(), zones: make(map[string]structs.Zone), zoneOf: make(map[string]string)}
	control, err := state.Get[state.Control](ctx, q.table, state.ControlKey)
	if err != nil {
		return nil, err
	}
	s.control = control.Value
	if s.vms, err = listAfter[structs.VM](ctx, q.table, state.VMPrefix, ""); err != nil {
		return nil, err
	}
	zones, err := listAfter[structs.Zone](ctx, q.table, state.ZonePrefix, "")
	if err != nil {
		return nil, err
	}
	for _, vm := range s.vms {
		s.zoneOf[vm.ID] = vm.Zone
		s.zones[vm.Zone] = structs.Zone{Name: vm.Zone, State: structs.ZoneActive}
	}
	for _, z := range zones {
		s.zones[z.Name] = z
	}
	return s, nil
}

// readTeams reads the VMs, zones, teams and pending tasks.
func (q *Queries) readTeams(ctx context.Context) (*snapshot, error) {
	s, err := q.readTopology(ctx)
	if err != nil {
		return nil, err
	}
	if s.queue, err = listAfter[structs.QueueEntry](ctx, q.table, state.QueuePrefix, ""); err != nil {
		return nil, err
	}
	s.teams, err = q.teams(ctx)
	return s, err
}

func (q *Queries) teams(ctx context.Context) (map[string]structs.Team, error) {
	rows, err := listAfter[structs.Team](ctx, q.table, state.TeamPrefix, "")
	if err != nil {
		return nil, err
	}
	teams := make(map[string]structs.Team, len(rows))
	for _, t := range rows {
		teams[t.Name] = t
	}
	return teams, nil
}

// readTasks reads the VMs, the zones and the tasks for which keep returns true.
func (q *Queries) readTasks(ctx context.Context, keep func(s *snapshot, t structs.Task) bool) (*snapshot, error) {
	s, err := q.readTopology(ctx)
	if err != nil {
		return nil, err
	}
	s.tasks, err = listWhere(ctx, q.table, state.TaskPrefix, "", func(t structs.Task) bool { return keep(s, t) })
	return s, err
}

// listAfter reads the values of all rows that have the prefix and follow the key after.
func listAfter[T any](ctx context.Context, table platform.Table, prefix, after string) ([]T, error) {
	return listWhere(ctx, table, prefix, after, func(T) bool { return true })
}

// listWhere is like listAfter but returns only the values for which keep returns true.
// It has one page of rows in memory at a time.
func listWhere[T any](ctx context.Context, table platform.Table, prefix, after string, keep func(T) bool) ([]T, error) {
	var values []T
	for {
		page, err := table.List(ctx, prefix, after, platform.MaxPageRows)
		if err != nil {
			return nil, fmt.Errorf("list %s: %w", prefix, err)
		}
		for _, raw := range page.Rows {
			if row, ok := state.DecodeListed[T](raw, prefix); ok && keep(row.Value) {
				values = append(values, row.Value)
			}
		}
		if page.Next == "" {
			return values, nil
		}
		after = page.Next
	}
}

func (s *snapshot) taskRow(t structs.Task) statement.TaskRow {
	return statement.TaskRowOf(t, s.zoneOf[t.Owner.VM], s.now)
}

func (s *snapshot) watchRow(t structs.Task) statement.WatchRow {
	return statement.WatchRow{
		ID: t.ID, Name: t.Spec.Name, Team: t.Spec.Team, State: string(t.State), Worker: t.Owner.VM,
		Zone: s.zoneOf[t.Owner.VM], MaxGapMS: t.Spec.MaxGapMS, GapMS: watchGap(t, s.now).Milliseconds(), Silent: isSilent(t, s.now),
		Evictions: int64(t.Evictions), Fence: t.Fence, Submitted: t.SubmittedAt, Reason: t.Reason,
	}
}

// watchGap returns how long a watch has not been running. It is 0 while the watch
// runs and after it was cancelled.
func watchGap(t structs.Task, now time.Time) time.Duration {
	if t.State == structs.StateRunning || t.State == structs.StateCancelled || t.State == structs.StateStopping {
		return 0
	}
	since := t.SubmittedAt
	for _, h := range t.History {
		if h.From == structs.StateRunning {
			since = h.At
		}
	}
	return now.Sub(since)
}

// isSilent reports whether a task is a watch that has not run for longer than its maximum gap.
func isSilent(t structs.Task, now time.Time) bool {
	bound := time.Duration(t.Spec.MaxGapMS) * time.Millisecond
	if bound == 0 {
		bound = defaultMaxGap
	}
	return t.Spec.Kind == structs.KindWatch && watchGap(t, now) > bound
}

func (s *snapshot) vmState(vm structs.VM) string {
	switch {
	case vm.Revoked:
		return "revoked"
	case vm.Draining || s.control.DrainingVMs[vm.ID]:
		return "draining"
	case s.zones[vm.Zone].State == structs.ZoneDrained:
		return "zone-out"
	}
	return "in"
}

func (s *snapshot) workerRows() []statement.WorkerRow {
	var rows []statement.WorkerRow
	for _, vm := range s.vms {
		free := vm.Free()
		rows = append(rows, statement.WorkerRow{
			ID: vm.ID, Zone: vm.Zone, Rack: vm.Rack, State: s.vmState(vm), Tasks: int64(len(vm.Tasks)),
			Cores: cores(vm.Capacity.MilliCPU), FreeCores: cores(free.MilliCPU),
			MemoryMB: vm.Capacity.MemoryMB, FreeMemoryMB: free.MemoryMB,
			Accelerators: vm.Capacity.Accelerators, FreeAccelerators: free.Accelerators,
			Services: strings.Join(vm.Services, " "), Incarnation: vm.Incarnation,
		})
	}
	return rows
}

func (s *snapshot) zoneRows(upstreams []structs.UpstreamStatus) []statement.ZoneRow {
	var rows []statement.ZoneRow
	for _, name := range slices.Sorted(maps.Keys(s.zones)) {
		z := s.zones[name]
		row := statement.ZoneRow{
			Name: name, State: string(z.State), ChangedBy: z.ChangedBy, Changed: z.ChangedAt, ChangeID: z.ChangeID,
		}
		for _, vm := range s.vms {
			if vm.Zone == name {
				row.Workers++
				row.Tasks += int64(len(vm.Tasks))
			}
		}
		for _, u := range upstreams {
			if u.Zone == name {
				row.Upstreams++
				row.Requests += int64(u.InFlight)
			}
		}
		rows = append(rows, row)
	}
	return rows
}

// teamUsage is the resources reserved by one team's tasks and the numbers of its tasks.
type teamUsage struct {
	used             structs.Resources
	running, pending int64
}

// usageByTeam sums the reservations on the VMs and the queued tasks of each team.
func (s *snapshot) usageByTeam() map[string]teamUsage {
	uses := make(map[string]teamUsage)
	for _, vm := range s.vms {
		for _, r := range vm.Tasks {
			use := uses[r.Team]
			use.used = use.used.Add(r.Resources)
			use.running++
			uses[r.Team] = use
		}
	}
	for _, e := range s.queue {
		use := uses[e.Team]
		use.pending++
		uses[e.Team] = use
	}
	return uses
}

func (s *snapshot) teamRows() []statement.TeamRow {
	uses := s.usageByTeam()
	var rows []statement.TeamRow
	for _, name := range slices.Sorted(maps.Keys(s.teams)) {
		team, use := s.teams[name], uses[name]
		rows = append(rows, statement.TeamRow{
			Name: name, QuotaCores: cores(team.Quota.MilliCPU), UsedCores: cores(use.used.MilliCPU),
			QuotaMemoryMB: team.Quota.MemoryMB, UsedMemoryMB: use.used.MemoryMB,
			QuotaAccelerators: team.Quota.Accelerators, UsedAccelerators: use.used.Accelerators,
			Running: use.running, Pending: use.pending, ChangeID: team.ChangeID,
		})
	}
	return rows
}

// capacityRows sums the schedulable VMs by zone, by rack, or over all.
func (s *snapshot) capacityRows(by string) []statement.CapacityRow {
	groups := make(map[string]statement.CapacityRow)
	for _, vm := range s.vms {
		if s.vmState(vm) != "in" {
			continue
		}
		name := "all"
		switch by {
		case "zone":
			name = vm.Zone
		case "rack":
			name = fmt.Sprintf("%s/%s", vm.Zone, vm.Rack)
		}
		free, row := vm.Free(), groups[name]
		row.Name = name
		row.Workers++
		row.Tasks += int64(len(vm.Tasks))
		row.Cores += cores(vm.Capacity.MilliCPU)
		row.FreeCores += cores(free.MilliCPU)
		row.MemoryMB += vm.Capacity.MemoryMB
		row.FreeMemoryMB += free.MemoryMB
		row.Accelerators += vm.Capacity.Accelerators
		row.FreeAccelerators += free.Accelerators
		groups[name] = row
	}
	var rows []statement.CapacityRow
	for _, name := range slices.Sorted(maps.Keys(groups)) {
		rows = append(rows, groups[name])
	}
	return rows
}

// teamCapacity returns each team's quota as capacity and its unused part as free.
func (s *snapshot) teamCapacity() []statement.CapacityRow {
	var rows []statement.CapacityRow
	for _, t := range s.teamRows() {
		rows = append(rows, statement.CapacityRow{
			Name: t.Name, Cores: t.QuotaCores, FreeCores: t.QuotaCores - t.UsedCores,
			MemoryMB: t.QuotaMemoryMB, FreeMemoryMB: t.QuotaMemoryMB - t.UsedMemoryMB,
			Accelerators: t.QuotaAccelerators, FreeAccelerators: t.QuotaAccelerators - t.UsedAccelerators,
			Tasks: t.Running,
		})
	}
	return rows
}
