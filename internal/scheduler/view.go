package scheduler

import (
	"cmp"
	"context"
	"fmt"
	"slices"
	"strings"
	"sync"
	"time"

	"golang.org/x/sync/errgroup"

	"bamboowood/internal/control"
	"bamboowood/internal/placement"
	"bamboowood/internal/platform"
	"bamboowood/internal/state"
	"bamboowood/internal/structs"
	"bamboowood/internal/task"
)

const (
	// idleRefresh is the age at which VM rows are read again when no task is pending.
	idleRefresh = 5 * time.Minute
	// urgentRefresh is the maximum age of VM rows while an urgent task is pending. VMs with
	// leaving tasks are then read in each pass, up to maxSingleReads.
	urgentRefresh  = 2 * time.Second
	maxSingleReads = 64
	// queueRowsPerSecond and vmRowsPerSecond limit the rate of rows read by the refreshes
	// of the normal queue and of the VMs: n VM rows are read again after
	// n/vmRowsPerSecond seconds.
	queueRowsPerSecond = 500
	vmRowsPerSecond    = 100
	// peakRefresh is the age at which measured peaks are read again.
	peakRefresh = 30 * time.Second
)

// view is the scheduler's cached copy of the table. Its parts are refreshed at different
// intervals, by their cost. A stale view leads to conflicts but never to invalid changes.
type view struct {
	vms      map[string]task.VMRow // by VM ID
	zones    map[string]task.ZoneRow
	queue    map[string]queueRow
	peaks    map[string]structs.Peak
	failures *failures
	starts   *startTracker

	vmsRead, normalRead, peaksRead readTime
	controlVersion                 int64 // of the configuration at the last read of the VM rows
	urgentWaiting                  bool  // an urgent task is pending
}

type queueRow = state.Row[structs.QueueEntry]

// readTime is the monotonic time of the last read, if there was one.
type readTime struct {
	at    time.Duration
	valid bool
}

func (r readTime) olderThan(now, age time.Duration) bool { return !r.valid || now-r.at >= age }

func newView() *view {
	return &view{
		vms: map[string]task.VMRow{}, zones: map[string]task.ZoneRow{}, queue: map[string]queueRow{},
		peaks: map[string]structs.Peak{}, failures: newFailures(), starts: newStartTracker(),
	}
}

// refresh reads the parts that are due at the monotonic time now. changed contains the IDs
// of VMs whose rows have changed.
func (v *view) refresh(ctx context.Context, table platform.Table, now time.Duration, config *structs.Config, changed map[string]bool) error {
	zonesChanged, err := v.readZones(ctx, table)
	if err != nil {
		return err
	}
	if err := v.readUrgent(ctx, table); err != nil {
		return err
	}
	if v.normalRead.olderThan(now, refreshAge(len(v.queue), queueRowsPerSecond)) {
		if err := v.readNormal(ctx, table, now); err != nil {
			return err
		}
	}
	if zonesChanged || v.controlVersion != config.Version || v.vmsRead.olderThan(now, v.vmRefreshAge()) {
		if err := v.readVMs(ctx, table, now); err != nil {
			return err
		}
		v.controlVersion = config.Version
	} else if err := v.readChangedVMs(ctx, table, changed); err != nil {
		return err
	}
	if v.peaksRead.olderThan(now, peakRefresh) {
		return v.readPeaks(ctx, table, now)
	}
	return nil
}

// refreshAge is the age at which n rows are read again at a limit of rate rows per second.
func refreshAge(n, rate int) time.Duration {
	return time.Duration(n) * time.Second / time.Duration(rate)
}

func (v *view) vmRefreshAge() time.Duration {
	switch {
	case v.urgentWaiting:
		return min(urgentRefresh, refreshAge(len(v.vms), vmRowsPerSecond))
	case len(v.queue) > 0 || v.hasDrainingTasks():
		return refreshAge(len(v.vms), vmRowsPerSecond)
	}
	return idleRefresh
}

// hasDrainingTasks reports whether any VM that is draining, or is in a drained zone, still
// has tasks.
func (v *view) hasDrainingTasks() bool {
	for _, row := range v.vms {
		zone := v.zone(row.Value.Zone)
		if len(row.Value.Tasks) > 0 && (row.Value.Draining || zone.Value.State == structs.ZoneDrained) {
			return true
		}
	}
	return false
}

func (v *view) readZones(ctx context.Context, table platform.Table) (changed bool, err error) {
	rows, err := state.List[structs.Zone](ctx, table, state.ZonePrefix)
	if err != nil {
		return false, err
	}
	zones := make(map[string]task.ZoneRow, len(rows))
	for _, row := range rows {
		name := strings.TrimPrefix(row.Key, state.ZonePrefix)
		changed = changed || v.zones[name].Version != row.Version
		zones[name] = row
	}
	v.zones = zones
	return changed, nil
}

// readUrgent replaces the urgent tasks in the queue.
func (v *view) readUrgent(ctx context.Context, table platform.Table) error {
	rows, err := listChanged(ctx, table, state.UrgentQueuePrefix, v.queue)
	if err != nil {
		return err
	}
	v.urgentWaiting = len(rows) > 0
	v.replace(rows, func(e structs.QueueEntry) bool { return e.Priority >= structs.PriorityUrgent })
	return nil
}

func (v *view) readNormal(ctx context.Context, table platform.Table, now time.Duration) error {
	rows, err := listChanged(ctx, table, state.NormalQueuePrefix, v.queue)
	if err != nil {
		return err
	}
	v.replace(rows, func(e structs.QueueEntry) bool { return e.Priority < structs.PriorityUrgent })
	v.normalRead = readTime{now, true}
	return nil
}

// replace replaces the rows of the queue for which selected returns true with rows.
func (v *view) replace(rows map[string]queueRow, selected func(structs.QueueEntry) bool) {
	for id, row := range v.queue {
		if _, ok := rows[id]; !ok && selected(row.Value) {
			delete(v.queue, id)
		}
	}
	for id, row := range rows {
		if v.queue[id].Version != row.Version {
			v.failures.recordAttempts(row.Value, time.Now())
		}
		v.queue[id] = row
	}
}

func (v *view) readVMs(ctx context.Context, table platform.Table, now time.Duration) error {
	rows, err := listChanged(ctx, table, state.VMPrefix, v.vms)
	if err != nil {
		return err
	}
	v.vms = rows
	v.vmsRead = readTime{now, true}
	return nil
}

// listChanged lists all rows with the prefix, keyed by the rest of their key. Rows whose
// version has not changed are copied from cached without being decoded again.
func listChanged[T any](ctx context.Context, table platform.Table, prefix string, cached map[string]state.Row[T]) (map[string]state.Row[T], error) {
	rows := make(map[string]state.Row[T], len(cached))
	for after := ""; ; {
		page, err := table.List(ctx, prefix, after, platform.MaxPageRows)
		if err != nil {
			return nil, fmt.Errorf("list %s: %w", prefix, err)
		}
		for _, raw := range page.Rows {
			id := strings.TrimPrefix(raw.Key, prefix)
			row, ok := cached[id]
			if !ok || row.Version != raw.Version {
				if row, ok = state.DecodeListed[T](raw, prefix); !ok {
					continue
				}
			}
			rows[id] = row
		}
		if page.Next == "" {
			return rows, nil
		}
		after = page.Next
	}
}

// readChangedVMs reads the rows of VMs that were reported as changed and, while an urgent
// task is pending, of VMs with leaving tasks.
func (v *view) readChangedVMs(ctx context.Context, table platform.Table, changed map[string]bool) error {
	if len(v.queue) == 0 {
		return nil
	}
	var mu sync.Mutex
	rows := map[string]task.VMRow{}
	reads, ctx := errgroup.WithContext(ctx)
	reads.SetLimit(parallelReads)
	count := 0
	for id, row := range v.vms {
		if count < maxSingleReads && (changed[id] || v.urgentWaiting && hasLeavingTask(row.Value)) {
			count++
			reads.Go(func() error { return readInto(ctx, table, row.Key, id, rows, &mu) })
		}
	}
	if err := reads.Wait(); err != nil {
		return err
	}
	for id, row := range rows {
		v.updateVM(id, row)
	}
	return nil
}

func hasLeavingTask(vm structs.VM) bool {
	for _, r := range vm.Tasks {
		if r.Leaving {
			return true
		}
	}
	return false
}

// updateVM stores a newer row of a VM, or removes the VM if the row does not exist.
func (v *view) updateVM(id string, row task.VMRow) {
	if row.Exists() {
		v.vms[id] = row
		return
	}
	delete(v.vms, id)
}

func (v *view) readPeaks(ctx context.Context, table platform.Table, now time.Duration) error {
	rows, err := state.List[structs.Peak](ctx, table, state.PeakPrefix)
	if err != nil {
		return err
	}
	clear(v.peaks)
	for _, row := range rows {
		v.peaks[row.Value.Name] = row.Value
	}
	v.peaksRead = readTime{now, true}
	return nil
}

// zone returns the zone's row, or a row of version 0 if there is none.
func (v *view) zone(name string) task.ZoneRow {
	if row, ok := v.zones[name]; ok {
		return row
	}
	return task.ZoneRow{Key: state.ZoneKey(name)}
}

// snapshot returns the planner's input at the wall time now and the monotonic time mono.
func (v *view) snapshot(config *structs.Config, now time.Time, mono time.Duration) *placement.Snapshot {
	s := &placement.Snapshot{Quotas: make(map[string]structs.Resources, len(config.Teams))}
	for name, team := range config.Teams {
		s.Quotas[name] = team.Quota
	}
	v.failures.expire(now)
	var largest structs.Resources
	s.VMs = make([]placement.VM, 0, len(v.vms))
	for _, row := range v.vms {
		vm := v.placementVM(row.Value, config, now)
		if vm.State == placement.VMReady && v.starts.isSuspect(vm.ID, mono) {
			vm.State = placement.VMSuspect
		}
		largest = largest.Max(vm.Capacity)
		s.VMs = append(s.VMs, vm)
	}
	slices.SortFunc(s.VMs, func(a, b placement.VM) int { return cmp.Compare(a.ID, b.ID) })
	s.Pending = make([]placement.Task, 0, len(v.queue))
	for _, row := range v.queue {
		e := row.Value
		s.Pending = append(s.Pending, placement.Task{
			ID: e.ID, Name: e.Name, Team: e.Team, Kind: e.Kind, Priority: e.Priority,
			Size:        placement.Reserve(e.Declared, v.peaks[e.Name].Used, largest),
			SubmittedAt: e.SubmittedAt, Delayed: now.Before(e.NotBefore),
		})
	}
	return s
}

// checkpointInterval limits the run time that an eviction can lose.
const checkpointInterval = 60 * time.Second

func (v *view) placementVM(row structs.VM, config *structs.Config, now time.Time) placement.VM {
	vm := placement.VM{
		ID: row.ID, Zone: row.Zone, Rack: row.Rack, Incarnation: row.Incarnation,
		State: v.vmState(row, config), Capacity: row.Capacity.Sub(row.ServiceReserve), Services: row.Services,
		Tasks: make([]placement.ReservedTask, 0, len(row.Tasks)),
	}
	vm.Failed, vm.Ran = v.failures.counts(row.ID)
	for id, r := range row.Tasks {
		vm.Tasks = append(vm.Tasks, placement.ReservedTask{
			ID: id, Name: r.Name, Team: r.Team, Kind: r.Kind, Priority: r.Priority, Size: r.Resources,
			Leaving: r.Leaving, AtRisk: min(now.Sub(r.Since), checkpointInterval),
		})
	}
	return vm
}

func (v *view) vmState(row structs.VM, config *structs.Config) placement.VMState {
	zone := v.zone(row.Zone)
	switch {
	case row.Revoked:
		return placement.VMRevoked
	case zone.Exists() && zone.Value.State != structs.ZoneActive, !control.ZoneActive(config, row.Zone):
		return placement.VMZoneDrained
	case row.Draining, config.DrainingVMs[row.ID]:
		return placement.VMDraining
	}
	return placement.VMReady
}
