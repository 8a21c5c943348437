package query

import (
	"cmp"
	"maps"
	"slices"
	"strings"

	"bamboowood/internal/statement"
)

// States of upstreams: receiving requests, and not answering.
const (
	stateReady  = "ready"
	stateSilent = "silent"
)

func (q *Queries) upstreamRows() []statement.UpstreamRow {
	var rows []statement.UpstreamRow
	for _, u := range q.local.Upstreams() {
		rows = append(rows, statement.UpstreamRow{
			Worker: u.VM, Zone: u.Zone, Rack: u.Rack, Services: strings.Join(u.Services, " "), State: u.State,
			Slots: int64(u.Slots), InFlight: int64(u.InFlight), ServiceMS: float64(u.ServiceMicros) / 1000,
			AgeMS: u.AgeMS, LeaseMS: u.LeaseRemainingMS, Version: u.ControlVersion, Incarnation: u.Incarnation,
		})
	}
	slices.SortFunc(rows, func(a, b statement.UpstreamRow) int { return cmp.Compare(a.Worker, b.Worker) })
	return rows
}

func (q *Queries) entryRows() []statement.EntryRow {
	var rows []statement.EntryRow
	for _, e := range q.local.Entries() {
		rows = append(rows, statement.EntryRow{
			Address: e.Address, Zone: e.Zone, Sessions: int64(e.Sessions), Scheduling: e.Scheduling, Version: e.ControlVersion,
		})
	}
	slices.SortFunc(rows, func(a, b statement.EntryRow) int { return cmp.Compare(a.Address, b.Address) })
	return rows
}

func (q *Queries) serviceRows() []statement.ServiceRow {
	config := q.control.Load()
	upstreams := q.local.Upstreams()
	var rows []statement.ServiceRow
	for _, name := range slices.Sorted(maps.Keys(config.Services)) {
		service := config.Services[name]
		row := statement.ServiceRow{Name: name, WaitMS: service.WaitMS, Idempotent: service.Idempotent, ChangeID: service.ChangeID}
		for _, u := range upstreams {
			if !slices.Contains(u.Services, name) {
				continue
			}
			row.Upstreams++
			row.Slots += int64(u.Slots)
			row.InFlight += int64(u.InFlight)
			if u.State == stateReady {
				row.Ready++
			}
		}
		rows = append(rows, row)
	}
	return rows
}
