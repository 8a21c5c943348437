package statement

import (
	"reflect"
	"strings"
	"time"
)

// The rows of the tables. The JSON names are the field names of the language and
// end in the unit. Fields with a column tag are shown in a table on a terminal;
// the title is the tag's value or, if that is empty, the field's name.

// TaskRow is a row of the tables tasks and jobs.
type TaskRow struct {
	ID           string    `json:"id" column:""`
	Kind         string    `json:"kind"`
	Name         string    `json:"name" column:""`
	Team         string    `json:"team" column:""`
	State        string    `json:"state" column:""`
	Priority     string    `json:"priority"`
	Worker       string    `json:"worker" column:""`
	Zone         string    `json:"zone" column:""`
	Cores        float64   `json:"cores"`
	MemoryMB     int64     `json:"memory_mb"`
	Accelerators int64     `json:"accelerators"`
	Attempts     int64     `json:"attempts"`
	Evictions    int64     `json:"evictions"`
	Fence        int64     `json:"fence"`
	AgeMS        int64     `json:"age_ms"`
	Submitted    time.Time `json:"submitted"`
	Changed      time.Time `json:"changed"`
	Reason       string    `json:"reason" column:""`
}

// WatchRow is a row of the table watches.
type WatchRow struct {
	ID       string `json:"id" column:""`
	Name     string `json:"name" column:""`
	Team     string `json:"team"`
	State    string `json:"state" column:""`
	Worker   string `json:"worker" column:""`
	Zone     string `json:"zone"`
	MaxGapMS int64  `json:"max_gap_ms" column:"max gap ms"`
	// GapMS is the time in milliseconds since the watch last ran; 0 while it runs.
	GapMS     int64     `json:"gap_ms" column:"gap ms"`
	Silent    bool      `json:"silent" column:""`
	Evictions int64     `json:"evictions"`
	Fence     int64     `json:"fence"`
	Submitted time.Time `json:"submitted"`
	Reason    string    `json:"reason" column:""`
}

// ServiceRow is a row of the table services.
type ServiceRow struct {
	Name       string `json:"name" column:""`
	WaitMS     int64  `json:"wait_ms" column:"wait ms"`
	Idempotent bool   `json:"idempotent" column:""`
	Upstreams  int64  `json:"upstreams" column:""`
	Ready      int64  `json:"ready" column:""`
	Slots      int64  `json:"slots" column:""`
	InFlight   int64  `json:"in_flight" column:"in flight"`
	ChangeID   string `json:"change_id"`
}

// UpstreamRow is a row of the table upstreams.
type UpstreamRow struct {
	Worker      string  `json:"worker" column:""`
	Zone        string  `json:"zone" column:""`
	Rack        string  `json:"rack"`
	Services    string  `json:"services" column:""`
	State       string  `json:"state" column:""`
	Slots       int64   `json:"slots" column:""`
	InFlight    int64   `json:"in_flight" column:"in flight"`
	ServiceMS   float64 `json:"service_ms" column:"ms"`
	AgeMS       int64   `json:"age_ms" column:"age ms"`
	LeaseMS     int64   `json:"lease_ms"`
	Version     int64   `json:"version" column:""`
	Incarnation int64   `json:"incarnation"`
}

// WorkerRow is a row of the table workers: one VM.
type WorkerRow struct {
	ID               string  `json:"id" column:""`
	Zone             string  `json:"zone" column:""`
	Rack             string  `json:"rack" column:""`
	State            string  `json:"state" column:""` // in, zone-out, draining, revoked
	Tasks            int64   `json:"tasks" column:""`
	Cores            float64 `json:"cores" column:""`
	FreeCores        float64 `json:"free_cores" column:"free"`
	MemoryMB         int64   `json:"memory_mb"`
	FreeMemoryMB     int64   `json:"free_memory_mb" column:"free MB"`
	Accelerators     int64   `json:"accelerators"`
	FreeAccelerators int64   `json:"free_accelerators"`
	Services         string  `json:"services"`
	Incarnation      int64   `json:"incarnation"`
}

// ZoneRow is a row of the table zones.
type ZoneRow struct {
	Name      string    `json:"name" column:""`
	State     string    `json:"state" column:""`
	Workers   int64     `json:"workers" column:""`
	Upstreams int64     `json:"upstreams" column:""`
	Tasks     int64     `json:"tasks" column:""`
	Requests  int64     `json:"requests" column:""`
	ChangedBy string    `json:"changed_by" column:"by"`
	Changed   time.Time `json:"changed" column:""`
	ChangeID  string    `json:"change_id"`
}

// TeamRow is a row of the table teams.
type TeamRow struct {
	Name              string  `json:"name" column:""`
	QuotaCores        float64 `json:"quota_cores" column:"cores"`
	UsedCores         float64 `json:"used_cores" column:"used"`
	QuotaMemoryMB     int64   `json:"quota_memory_mb" column:"memory MB"`
	UsedMemoryMB      int64   `json:"used_memory_mb" column:"used MB"`
	QuotaAccelerators int64   `json:"quota_accelerators"`
	UsedAccelerators  int64   `json:"used_accelerators"`
	Running           int64   `json:"running" column:""`
	Pending           int64   `json:"pending" column:""`
	ChangeID          string  `json:"change_id"`
}

// EntryRow is a row of the table entries.
type EntryRow struct {
	Address    string `json:"address" column:""`
	Zone       string `json:"zone" column:""`
	Sessions   int64  `json:"sessions" column:""`
	Scheduling bool   `json:"scheduling" column:""`
	Version    int64  `json:"version" column:""`
}

// AlarmRow is a row of the table alarms.
type AlarmRow struct {
	Alarm  string `json:"alarm" column:""`
	Object string `json:"object" column:""`
	Detail string `json:"detail" column:""`
}

// ChangeRow is a row of the table changes.
type ChangeRow struct {
	Version   int64     `json:"version" column:""`
	At        time.Time `json:"at" column:""`
	Author    string    `json:"author" column:""`
	Statement string    `json:"statement" column:""`
	ID        string    `json:"id"`
	Object    string    `json:"object"`
	Undo      string    `json:"undo"`
}

// CapacityRow is a row of show capacity.
type CapacityRow struct {
	Name             string  `json:"name" column:""`
	Workers          int64   `json:"workers" column:""`
	Cores            float64 `json:"cores" column:""`
	FreeCores        float64 `json:"free_cores" column:"free"`
	MemoryMB         int64   `json:"memory_mb" column:"memory MB"`
	FreeMemoryMB     int64   `json:"free_memory_mb" column:"free MB"`
	Accelerators     int64   `json:"accelerators" column:"acc"`
	FreeAccelerators int64   `json:"free_accelerators" column:"free acc"`
	Tasks            int64   `json:"tasks"`
}

// ExplainRow is one row of an explain statement's result.
type ExplainRow struct {
	Aspect  string `json:"aspect" column:""`
	Finding string `json:"finding" column:""`
}

// EffectRow is one effect of a command, as listed by a dry run or a preview.
type EffectRow struct {
	Object string `json:"object" column:""`
	Effect string `json:"effect" column:""`
}

// Kind is the type of a field.
type Kind string

// Kinds of fields.
const (
	Text     Kind = "text"
	Number   Kind = "number"
	Duration Kind = "duration" // a number of milliseconds; values may have a unit
	Bool     Kind = "true or false"
	Time     Kind = "time"
)

// Field is one field of a table.
type Field struct {
	Name string
	Kind Kind
	// Column is set for fields that are shown in a table on a terminal, with Title.
	Column bool
	Title  string
	// Index is the field's index in its row type.
	Index int
}

// Tables maps each table's name to its fields.
var Tables = map[string][]Field{
	"tasks": FieldsOf(TaskRow{}), "jobs": FieldsOf(TaskRow{}), "watches": FieldsOf(WatchRow{}),
	"services": FieldsOf(ServiceRow{}), "upstreams": FieldsOf(UpstreamRow{}), "workers": FieldsOf(WorkerRow{}),
	"zones": FieldsOf(ZoneRow{}), "teams": FieldsOf(TeamRow{}), "entries": FieldsOf(EntryRow{}),
	"alarms": FieldsOf(AlarmRow{}), "changes": FieldsOf(ChangeRow{}),
}

// FieldsOf returns the fields of the type of row.
func FieldsOf(row any) []Field {
	t := reflect.TypeOf(row)
	fields := make([]Field, 0, t.NumField())
	for i := range t.NumField() {
		f := t.Field(i)
		title, column := f.Tag.Lookup("column")
		name := f.Tag.Get("json")
		if title == "" {
			title = name
		}
		fields = append(fields, Field{Name: name, Kind: kindOf(f.Type, name), Column: column, Title: title, Index: i})
	}
	return fields
}

func kindOf(t reflect.Type, name string) Kind {
	switch {
	case t == reflect.TypeFor[time.Time]():
		return Time
	case t.Kind() == reflect.Bool:
		return Bool
	case t.Kind() == reflect.String:
		return Text
	case strings.HasSuffix(name, "_ms"):
		return Duration
	}
	return Number
}

// Column is one column of a table on a terminal.
type Column struct {
	Field string `json:"field"`
	Title string `json:"title"`
}

// columnsOf returns the fields that are shown as columns on a terminal.
func columnsOf(fields []Field) []Column {
	var columns []Column
	for _, f := range fields {
		if f.Column {
			columns = append(columns, Column{Field: f.Name, Title: f.Title})
		}
	}
	return columns
}
