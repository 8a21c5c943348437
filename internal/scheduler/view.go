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
	// idleRefresh is the age at which VM rows are read again when nothing waits.
	idleRefresh = 5 * time.Minute
	// urgentRefresh likewise while an urgent task waits; VMs that tasks are
	// leaving are then read at each pass, up to singleReads.
	urgentRefresh = 2 * time.Second
	singleReads   = 64
	// queueRows and vmRows bound the rows read a second by the refreshes of the
	// normal queue and of the VMs: n rows are read again after n/vmRows seconds.
	queueRows = 500
	vmRows    = 100
	// peakRefresh is the age at which learned peaks are read again.
	peakRefresh = 30 * time.Second
)

// view is what a scheduler knows of the table. It is read piece by piece, each
// as often as it pays. A stale view costs conflicts, never safety.
type view struct {
	vms      map[string]task.VMRow // by VM id
	zones    map[string]task.ZoneRow
	queue    map[string]queueRow
	peaks    map[string]structs.Peak
	failures *failures
	starts   *starts

	vmsAt, normalAt, peaksAt reading
	control                  int64 // version of the configuration at vmsAt
	urgent                   bool  // an urgent task waits
}

type queueRow = state.Row[structs.QueueEntry]

// reading is the time of a read (monotonic) and whether there was one.
type reading struct {
	at   time.Duration
	done bool
}

func (r reading) older(now, age time.Duration) bool { return !r.done || now-r.at >= age }

func newView() *view {
	return &view{
		vms: map[string]task.VMRow{}, zones: map[string]task.ZoneRow{}, queue: map[string]queueRow{},
		peaks: map[string]structs.Peak{}, failures: newFailures(), starts: newStarts(),
	}
}

// refresh reads what is due at the monotonic time now; changed names VMs whose
// rows have changed.
func (v *view) refresh(ctx context.Context, table platform.Table, now time.Duration, config *structs.Config, changed map[string]bool) error {
	zonesChanged, err := v.readZones(ctx, table)
	if err != nil {
		return err
	}
	if err := v.readUrgent(ctx, table); err != nil {
		return err
	}
	if v.normalAt.older(now, rowsAge(len(v.queue), queueRows)) {
		if err := v.readNormal(ctx, table, now); err != nil {
			return err
		}
	}
	if zonesChanged || v.control != config.Version || v.vmsAt.older(now, v.vmsAge()) {
		if err := v.readVMs(ctx, table, now); err != nil {
			return err
		}
		v.control = config.Version
	} else if err := v.readSingle(ctx, table, changed); err != nil {
		return err
	}
	if v.peaksAt.older(now, peakRefresh) {
		return v.readPeaks(ctx, table, now)
	}
	return nil
}

// rowsAge is the age at which n rows are read again at a rate of rows a second.
func rowsAge(n, rate int) time.Duration { return time.Duration(n) * time.Second / time.Duration(rate) }

func (v *view) vmsAge() time.Duration {
	switch {
	case v.urgent:
		return min(urgentRefresh, rowsAge(len(v.vms), vmRows))
	case len(v.queue) > 0 || v.leaving():
		return rowsAge(len(v.vms), vmRows)
	}
	return idleRefresh
}

// leaving reports whether a VM that is being emptied still has tasks.
func (v *view) leaving() bool {
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

// readUrgent replaces the urgent part of the queue.
func (v *view) readUrgent(ctx context.Context, table platform.Table) error {
	rows, err := listChanged(ctx, table, state.UrgentQueuePrefix, v.queue)
	if err != nil {
		return err
	}
	v.urgent = len(rows) > 0
	v.replace(rows, func(e structs.QueueEntry) bool { return e.Priority >= structs.PriorityUrgent })
	return nil
}

func (v *view) readNormal(ctx context.Context, table platform.Table, now time.Duration) error {
	rows, err := listChanged(ctx, table, state.NormalQueuePrefix, v.queue)
	if err != nil {
		return err
	}
	v.replace(rows, func(e structs.QueueEntry) bool { return e.Priority < structs.PriorityUrgent })
	v.normalAt = reading{now, true}
	return nil
}

// replace puts rows in place of the part of the queue that was read again.
func (v *view) replace(rows map[string]queueRow, part func(structs.QueueEntry) bool) {
	for id, row := range v.queue {
		if _, ok := rows[id]; !ok && part(row.Value) {
			delete(v.queue, id)
		}
	}
	for id, row := range rows {
		if v.queue[id].Version != row.Version {
			v.failures.waiting(row.Value, time.Now())
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
	v.vmsAt = reading{now, true}
	return nil
}

// listChanged reads all rows with the prefix, by the rest of their keys. Rows
// whose version is known are taken from known without being decoded again.
func listChanged[T any](ctx context.Context, table platform.Table, prefix string, known map[string]state.Row[T]) (map[string]state.Row[T], error) {
	rows := make(map[string]state.Row[T], len(known))
	for after := ""; ; {
		page, err := table.List(ctx, prefix, after, platform.MaxPageRows)
		if err != nil {
			return nil, fmt.Errorf("list %s: %w", prefix, err)
		}
		for _, raw := range page.Rows {
			id := strings.TrimPrefix(raw.Key, prefix)
			row, ok := known[id]
			if !ok || row.Version != raw.Version {
				if row, err = state.Decode[T](raw); err != nil {
					return nil, err
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

// readSingle reads the VMs again that are said to have changed and, while an
// urgent task waits, those that room is being made on.
func (v *view) readSingle(ctx context.Context, table platform.Table, changed map[string]bool) error {
	if len(v.queue) == 0 {
		return nil
	}
	var mu sync.Mutex
	rows := map[string]task.VMRow{}
	reads, ctx := errgroup.WithContext(ctx)
	reads.SetLimit(parallelReads)
	count := 0
	for id, row := range v.vms {
		if count < singleReads && (changed[id] || v.urgent && hasLeaving(row.Value)) {
			count++
			reads.Go(func() error { return readInto(ctx, table, row.Key, id, rows, &mu) })
		}
	}
	if err := reads.Wait(); err != nil {
		return err
	}
	for id, row := range rows {
		v.keepVM(id, row)
	}
	return nil
}

func hasLeaving(vm structs.VM) bool {
	for _, r := range vm.Tasks {
		if r.Leaving {
			return true
		}
	}
	return false
}

// keepVM takes a newer row of a VM.
func (v *view) keepVM(id string, row task.VMRow) {
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
	v.peaksAt = reading{now, true}
	return nil
}

// zone returns the zone's row, at version 0 when there is none.
func (v *view) zone(name string) task.ZoneRow {
	if row, ok := v.zones[name]; ok {
		return row
	}
	return task.ZoneRow{Key: state.ZoneKey(name)}
}

// snapshot returns the planner's input at the wall time now and
// the monotonic time mono.
func (v *view) snapshot(config *structs.Config, now time.Time, mono time.Duration) *placement.Snapshot {
	s := &placement.Snapshot{Quotas: make(map[string]structs.Resources, len(config.Teams))}
	for name, team := range config.Teams {
		s.Quotas[name] = team.Quota
	}
	v.failures.expire(now)
	var largest structs.Resources
	s.VMs = make([]placement.VM, 0, len(v.vms))
	for _, row := range v.vms {
		vm := v.vm(row.Value, config, now)
		if vm.State == placement.VMReady && v.starts.suspect(vm.ID, mono) {
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

// checkpointInterval bounds the run time that an eviction can lose.
const checkpointInterval = 60 * time.Second

func (v *view) vm(row structs.VM, config *structs.Config, now time.Time) placement.VM {
	vm := placement.VM{
		ID: row.ID, Zone: row.Zone, Rack: row.Rack, Incarnation: row.Incarnation,
		State: v.vmState(row, config), Capacity: row.Capacity.Sub(row.ServiceReserve), Services: row.Services,
		Tasks: make([]placement.ReservedTask, 0, len(row.Tasks)),
	}
	vm.Failed, vm.Ran = v.failures.of(row.ID)
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
