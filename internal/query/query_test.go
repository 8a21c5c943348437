package query_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"bamboowood/internal/control"
	"bamboowood/internal/query"
	"bamboowood/internal/standin"
	"bamboowood/internal/state"
	"bamboowood/internal/statement"
	"bamboowood/internal/structs"
)

var now = time.Date(2026, 3, 1, 8, 0, 0, 0, time.UTC)

type staticView []structs.UpstreamStatus

func (l staticView) Upstreams() []structs.UpstreamStatus { return l }
func (staticView) Entries() []structs.EntryStatus        { return nil }

func putRow(t *testing.T, table *standin.Table, key string, value any) {
	tx := state.NewTx()
	tx.Put(key, 0, value)
	must.NoError(t, state.Commit(t.Context(), table, tx))
}

var (
	small = structs.Resources{MilliCPU: 1000, MemoryMB: 1024}
	large = structs.Resources{MilliCPU: 64_000, MemoryMB: 65_536}
)

// Guards against missing and false alarms: each case raises exactly the alarm listed.
func TestAlarms(t *testing.T) {
	minutesAgo := func(n int) time.Time { return now.Add(-time.Duration(n) * time.Minute) }
	watch := func(state structs.TaskState, submitted, stopped time.Time) structs.Task {
		t := structs.Task{ID: "w", State: state, SubmittedAt: submitted, Spec: structs.TaskSpec{
			Kind: structs.KindWatch, Team: "guild", Declared: small, MaxGapMS: 60_000,
		}}
		if !stopped.IsZero() {
			t.History = []structs.Transition{{At: stopped, From: structs.StateRunning, To: structs.StatePending}}
		}
		return t
	}
	job := func(declared structs.Resources) structs.Task {
		return structs.Task{ID: "j", State: structs.StatePending, SubmittedAt: now, Spec: structs.TaskSpec{
			Kind: structs.KindBatch, Team: "guild", Declared: declared,
		}}
	}
	upstream := func(remaining, age int64) staticView {
		return staticView{{VM: "vm-1", Zone: "norte", LeaseRemainingMS: remaining, AgeMS: age}}
	}
	reservations := map[string]structs.Reservation{"x": {Resources: small}}
	cases := []struct {
		name  string
		rows  map[string]any
		view  staticView
		fault standin.Fault
		want  string
	}{
		{name: "no tasks", want: ""},
		{name: "watch runs", rows: map[string]any{"task/w": watch(structs.StateRunning, minutesAgo(60), minutesAgo(30))}},
		{name: "watch is new", rows: map[string]any{"task/w": watch(structs.StatePending, now.Add(-30*time.Second), time.Time{})}},
		{name: "watch never ran", rows: map[string]any{"task/w": watch(structs.StatePending, minutesAgo(2), time.Time{})}, want: "silent-watch watch w"},
		{name: "watch stopped recently", rows: map[string]any{"task/w": watch(structs.StatePending, minutesAgo(60), now.Add(-59*time.Second))}},
		{name: "watch stopped", rows: map[string]any{"task/w": watch(structs.StatePending, minutesAgo(60), minutesAgo(2))}, want: "silent-watch watch w"},
		{name: "watch failed permanently", rows: map[string]any{"task/w": watch(structs.StateFailed, minutesAgo(60), minutesAgo(2))}, want: "silent-watch watch w"},
		{name: "watch was cancelled", rows: map[string]any{"task/w": watch(structs.StateCancelled, minutesAgo(60), minutesAgo(2))}},
		{name: "job fits", rows: map[string]any{"task/j": job(small)}},
		{name: "job is too large", rows: map[string]any{"task/j": job(structs.Resources{MilliCPU: 1, MemoryMB: 65_536})}, want: "unplaceable-job job j"},
		{name: "job is above its quota", rows: map[string]any{"task/j": job(structs.Resources{MilliCPU: 61_000, MemoryMB: 1})}, want: "unplaceable-job job j"},
		{name: "zone drained, empty", rows: map[string]any{"zone/norte": structs.Zone{Name: "norte", State: structs.ZoneDrained, ChangedAt: minutesAgo(60)}}},
		{name: "zone drained recently", rows: map[string]any{"zone/sur": structs.Zone{Name: "sur", State: structs.ZoneDrained, ChangedAt: minutesAgo(5)}, "vm/s": structs.VM{ID: "s", Zone: "sur", Tasks: reservations}}},
		{name: "zone drain stuck", rows: map[string]any{"zone/sur": structs.Zone{Name: "sur", State: structs.ZoneDrained, ChangedAt: minutesAgo(6)}, "vm/s": structs.VM{ID: "s", Zone: "sur", Tasks: reservations}}, want: "stuck-drain zone sur"},
		{name: "worker drain stuck", rows: map[string]any{
			"control":     state.Control{Version: 2, DrainingVMs: map[string]bool{"s": true}, DrainedBy: map[string]string{"s": "c-1"}},
			"command/c-1": structs.Change{ID: "c-1", At: minutesAgo(6)}, "vm/s": structs.VM{ID: "s", Zone: "sur", Draining: true, Tasks: reservations},
		}, want: "stuck-drain worker s"},
		{name: "lease renewed", view: upstream(21_000, 4000)},
		{name: "lease not renewed", view: upstream(17_000, 4000), want: "lease-ending worker vm-1"},
		{name: "lease expired", view: upstream(0, 500), want: "lease-ending worker vm-1"},
		{name: "table unavailable", fault: standin.Fault{Refuse: true}, want: "table-outage table"},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			table := standin.NewTable()
			putRow(t, table, state.VMKey("vm-1"), structs.VM{ID: "vm-1", Zone: "norte", Capacity: large, ServiceReserve: small})
			putRow(t, table, state.LeaseKey("vm-1"), structs.Lease{VM: "vm-1", DurationMS: 30_000})
			putRow(t, table, state.TeamKey("guild"), structs.Team{Name: "guild", Quota: structs.Resources{MilliCPU: 60_000, MemoryMB: 90_000}})
			for key, value := range c.rows {
				putRow(t, table, key, value)
			}
			table.Faults().Set(standin.AnyOperation, c.fault)
			q := query.NewAt(table, c.view, control.NewHolder(), func() time.Time { return now })
			got := ""
			for _, a := range q.Alarms(t.Context()) {
				got += fmt.Sprintf("%s %s", a.Alarm, a.Object)
				must.NotEq(t, "", a.Detail)
			}
			must.Eq(t, c.want, got)
		})
	}
}

// Guards against losing the lease alarms during a table outage: they are evaluated
// with the lease durations that were read before it.
func TestAlarms_LeaseInOutage(t *testing.T) {
	table := standin.NewTable()
	putRow(t, table, state.LeaseKey("vm-1"), structs.Lease{VM: "vm-1", DurationMS: 30_000})
	upstreams := staticView{{VM: "vm-1", LeaseRemainingMS: 25_000}}
	q := query.NewAt(table, upstreams, control.NewHolder(), func() time.Time { return now })
	must.SliceEmpty(t, q.Alarms(t.Context()))
	table.Faults().Set(standin.AnyOperation, standin.Fault{Refuse: true})
	upstreams[0].LeaseRemainingMS = 9000
	must.SliceLen(t, 2, q.Alarms(t.Context()))
}

func TestProgress(t *testing.T) {
	table := standin.NewTable()
	putRow(t, table, state.VMKey("a"), structs.VM{ID: "a", Zone: "norte", Tasks: map[string]structs.Reservation{"x": {}, "y": {}}})
	putRow(t, table, state.VMKey("b"), structs.VM{ID: "b", Zone: "sur"})
	q := query.New(table, staticView{
		{VM: "a", Zone: "norte", ControlVersion: 7},
		{VM: "b", Zone: "sur", InFlight: 3, ControlVersion: 8},
		{VM: "c", Zone: "este", State: "silent", ControlVersion: 1},
	}, control.NewHolder())
	cases := []struct {
		object  string
		version int64
		want    string
	}{
		{"zone norte", 7, "2 0 0 false"},
		{"zone sur", 7, "0 3 0 false"},
		{"worker a", 7, "2 0 0 false"},
		{"worker b", 7, "0 3 0 false"},
		{"zone centro", 7, "0 0 0 true"},
		{"zone centro", 8, "0 0 1 false"},
		{"version 7", 7, "0 0 0 true"},
		{"version 9", 9, "0 0 2 false"},
	}
	for _, c := range cases {
		p := q.Progress(t.Context(), c.object, c.version)
		must.Eq(t, c.want, fmt.Sprint(p.Tasks, " ", p.Requests, " ", p.Behind, " ", p.Done), must.Sprint(c.object))
	}
	table.Faults().Set(standin.AnyOperation, standin.Fault{Refuse: true})
	p := q.Progress(t.Context(), "zone centro", 7)
	must.Eq(t, -1, p.Tasks)
	must.False(t, p.Done)
}

// Guards against explaining a task by its declared resources: placement reserves more
// if tasks of the same name have used more.
func TestExplain_ObservedPeak(t *testing.T) {
	table := standin.NewTable()
	putRow(t, table, state.VMKey("vm-1"), structs.VM{ID: "vm-1", Zone: "norte", Capacity: large, ServiceReserve: small})
	putRow(t, table, state.TeamKey("guild"), structs.Team{Name: "guild", Quota: structs.Resources{MilliCPU: 10_000, MemoryMB: 90_000}})
	putRow(t, table, state.TaskKey("j"), structs.Task{ID: "j", State: structs.StatePending, Spec: structs.TaskSpec{Name: "fee-run", Kind: structs.KindBatch, Team: "guild", Declared: small}})
	putRow(t, table, state.PeakKey("fee-run"), structs.Peak{Name: "fee-run", Used: structs.Resources{MilliCPU: 20_000, MemoryMB: 1024}})
	s, err := statement.Parse("explain job j")
	must.NoError(t, err)
	result, err := query.New(table, staticView{}, control.NewHolder()).Run(t.Context(), s)
	must.NoError(t, err)
	text := fmt.Sprintf("%s", result.Rows)
	must.StrContains(t, text, "reserves 22.0 cores, 1126 MB, 0 acc: tasks of its name were seen to use 20.0 cores")
	must.StrContains(t, text, "binds on cores")
}
