package structs

import "time"

// VM is the row of one VM, key "vm/{id}": its capacity and the reservations on
// it. The sum of Tasks plus ServiceReserve never exceeds Capacity.
type VM struct {
	ID          string `json:"id"`
	Zone        string `json:"zone"`
	Rack        string `json:"rack"`
	Incarnation int64  `json:"incarnation"`
	// Capacity is the total of the VM's resources.
	Capacity Resources `json:"capacity"`
	// ServiceReserve is reserved for the services on the VM.
	ServiceReserve Resources `json:"service_reserve"`
	// Tasks are the reservations of tasks, by task id.
	Tasks map[string]Reservation `json:"tasks,omitempty"`
	// Draining VMs get no placements.
	Draining bool `json:"draining,omitempty"`
	// Revoked is set when the lease of this incarnation was revoked.
	Revoked bool `json:"revoked,omitempty"`
	// Services are the services whose upstreams run on the VM.
	Services []string `json:"services,omitempty"`
}

// Reservation is the reservation of one task on a VM.
type Reservation struct {
	Resources Resources `json:"resources"`
	Fence     int64     `json:"fence"`
	// The following fields are copied from the task, so that a scheduler can evaluate
	// quotas, spread and evictions from the VM rows alone, without reading the rows of
	// all running tasks.
	Name     string    `json:"name,omitempty"`
	Team     string    `json:"team,omitempty"`
	Kind     TaskKind  `json:"kind,omitempty"`
	Priority Priority  `json:"priority,omitempty"`
	Since    time.Time `json:"since,omitzero"`
	// Leaving is set when the task was ordered to stop or to be evicted.
	Leaving bool `json:"leaving,omitempty"`
}

// NewReservation returns the reservation of t on its owner, held since the given time.
func NewReservation(t Task, since time.Time) Reservation {
	return Reservation{
		Resources: t.Reserved, Fence: t.Fence, Name: t.Spec.Name, Team: t.Spec.Team, Kind: t.Spec.Kind,
		Priority: t.Spec.Priority, Since: since,
	}
}

// Reserved returns the sum of all reservations and ServiceReserve.
func (v *VM) Reserved() Resources {
	sum := v.ServiceReserve
	for _, r := range v.Tasks {
		sum = sum.Add(r.Resources)
	}
	return sum
}

// Free returns Capacity minus Reserved.
func (v *VM) Free() Resources { return v.Capacity.Sub(v.Reserved()) }

// Lease is the row "lease/{vm}". The agent increments Sequence at each renewal.
type Lease struct {
	VM          string `json:"vm"`
	Incarnation int64  `json:"incarnation"`
	Sequence    int64  `json:"sequence"`
	// DurationMS is the validity of one renewal in milliseconds. The holder
	// counts it from a time before it sent the renewal.
	DurationMS int64 `json:"duration_ms"`
	// Released is set by a graceful stop, Revoked by a scheduler after the lease
	// has expired.
	Released bool `json:"released,omitempty"`
	Revoked  bool `json:"revoked,omitempty"`
}

// ZoneState is the state of an availability zone; tasks start only in active zones.
type ZoneState string

// States of an availability zone.
const (
	ZoneActive  ZoneState = "in"
	ZoneDrained ZoneState = "out"
)

// Zone is the row "zone/{name}" of one availability zone.
type Zone struct {
	Name  string    `json:"name"`
	State ZoneState `json:"state"`
	// ChangedBy is the author and ChangeID the id of the last command that changed
	// the zone.
	ChangedBy string    `json:"changed_by,omitempty"`
	ChangeID  string    `json:"change_id,omitempty"`
	ChangedAt time.Time `json:"changed_at,omitzero"`
}

// Service is the row "service/{name}" of one service.
type Service struct {
	Name string `json:"name" validate:"required,max=63"`
	// WaitMS is the agreed wait, the time limit for answering a request, in
	// milliseconds.
	WaitMS int64 `json:"wait_ms" validate:"gte=1,lte=600000"`
	// Idempotent is the default for requests that do not state whether they are
	// idempotent.
	Idempotent bool `json:"idempotent"`
	// ChangeID is the id of the last command that changed the service.
	ChangeID string `json:"change_id,omitempty"`
}

// Team is the row "team/{name}".
type Team struct {
	Name string `json:"name" validate:"required,max=63"`
	// Quota bounds the sum of the team's reservations.
	Quota    Resources `json:"quota"`
	ChangeID string    `json:"change_id,omitempty"`
}

// Change is the row "change/{version, 20 digits}": one accepted command.
type Change struct {
	// Version is the control version after the command.
	Version int64 `json:"version"`
	// ID is the command id given by the sender; repeating a command has no effect.
	ID        string    `json:"id"`
	Author    string    `json:"author"`
	Statement string    `json:"statement"`
	At        time.Time `json:"at"`
	// Undo is the statement that reverts the change, or "".
	Undo string `json:"undo,omitempty"`
	// Object is the object that the command changed, such as "zone norte".
	Object string `json:"object,omitempty"`
	// Message is the answer sent to the sender; a repeat with the same ID receives
	// the same answer.
	Message string `json:"message,omitempty"`
}

// Config is the configuration at one control version: a snapshot of everything that
// commands change and all nodes need.
type Config struct {
	Version  int64              `json:"version"`
	Services map[string]Service `json:"services"`
	Zones    map[string]Zone    `json:"zones"`
	Teams    map[string]Team    `json:"teams"`
	Kinds    map[string]Kind    `json:"kinds,omitempty"`
	// DrainingVMs are the VMs that a command has ordered to drain.
	DrainingVMs map[string]bool `json:"draining_vms,omitempty"`
}

// Kind is the row "kind/{name}": the defaults for tasks with this name in their spec, used
// for fields that a submission omits.
type Kind struct {
	Name       string    `json:"name" validate:"required,max=63"`
	Kind       TaskKind  `json:"kind" validate:"required,oneof=batch watch"`
	Team       string    `json:"team" validate:"max=63"`
	Declared   Resources `json:"declared"`
	DurationMS int64     `json:"duration_ms,omitempty" validate:"gte=0"`
	MaxGapMS   int64     `json:"max_gap_ms,omitempty" validate:"gte=0"`
	ChangeID   string    `json:"change_id,omitempty"`
}

// ApplyDefaults returns spec with its zero fields set to the kind's defaults.
func (k Kind) ApplyDefaults(spec TaskSpec) TaskSpec {
	if spec.Kind == "" {
		spec.Kind = k.Kind
	}
	if spec.Team == "" {
		spec.Team = k.Team
	}
	if spec.Declared.IsZero() {
		spec.Declared = k.Declared
	}
	if spec.DurationMS == 0 {
		spec.DurationMS = k.DurationMS
	}
	if spec.MaxGapMS == 0 {
		spec.MaxGapMS = k.MaxGapMS
	}
	return spec
}
