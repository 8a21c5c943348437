package structs

import "time"

// VM is the row of one VM, key "vm/{id}": its capacity and what is reserved on
// it. The sum of Tasks plus ServiceReserve never exceeds Capacity.
type VM struct {
	ID          string `json:"id"`
	Zone        string `json:"zone"`
	Rack        string `json:"rack"`
	Incarnation int64  `json:"incarnation"`
	// Capacity is what the VM has.
	Capacity Resources `json:"capacity"`
	// ServiceReserve is held back for the counter services on the VM.
	ServiceReserve Resources `json:"service_reserve"`
	// Tasks is keyed by task id.
	Tasks map[string]Reservation `json:"tasks,omitempty"`
	// Draining VMs get no placements.
	Draining bool `json:"draining,omitempty"`
	// Revoked is set when the lease of this incarnation was taken back.
	Revoked bool `json:"revoked,omitempty"`
	// Services are the counter services that run beside the agent.
	Services []string `json:"services,omitempty"`
}

// Reservation is what one task holds on a VM.
type Reservation struct {
	Resources Resources `json:"resources"`
	Fence     int64     `json:"fence"`
	// The rest lets a scheduler judge quotas, spread and evictions from the VM
	// rows alone, without reading the rows of all running tasks.
	Name     string    `json:"name,omitempty"`
	Team     string    `json:"team,omitempty"`
	Kind     TaskKind  `json:"kind,omitempty"`
	Priority Priority  `json:"priority,omitempty"`
	Since    time.Time `json:"since,omitzero"`
	// Leaving is set when the task was ordered to stop or to be evicted.
	Leaving bool `json:"leaving,omitempty"`
}

// NewReservation returns what t holds on its owner since the given time.
func NewReservation(t Task, since time.Time) Reservation {
	return Reservation{
		Resources: t.Reserved, Fence: t.Fence, Name: t.Spec.Name, Team: t.Spec.Team, Kind: t.Spec.Kind,
		Priority: t.Spec.Priority, Since: since,
	}
}

// Reserved returns the sum of all reservations with ServiceReserve.
func (v *VM) Reserved() Resources {
	sum := v.ServiceReserve
	for _, r := range v.Tasks {
		sum = sum.Add(r.Resources)
	}
	return sum
}

// Free returns Capacity minus Reserved.
func (v *VM) Free() Resources { return v.Capacity.Sub(v.Reserved()) }

// Lease is the row "lease/{vm}". The agent raises Sequence at each renewal.
type Lease struct {
	VM          string `json:"vm"`
	Incarnation int64  `json:"incarnation"`
	Sequence    int64  `json:"sequence"`
	// DurationMS is the validity of one renewal in milliseconds, counted by
	// the holder from before the renewal was sent.
	DurationMS int64 `json:"duration_ms"`
	// Released is set by a graceful stop; Revoked by a scheduler after a lapse.
	Released bool `json:"released,omitempty"`
	Revoked  bool `json:"revoked,omitempty"`
}

// ZoneState says whether tasks may start in an availability zone.
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
	// ChangedBy and ChangeID name the last command.
	ChangedBy string    `json:"changed_by,omitempty"`
	ChangeID  string    `json:"change_id,omitempty"`
	ChangedAt time.Time `json:"changed_at,omitzero"`
}

// Service is the row "service/{name}" of one counter service.
type Service struct {
	Name string `json:"name" validate:"required,max=63"`
	// WaitMS is the agreed wait in milliseconds.
	WaitMS int64 `json:"wait_ms" validate:"gte=1,lte=600000"`
	// Idempotent is the default for requests that do not say.
	Idempotent bool `json:"idempotent"`
	// ChangeID names the last command.
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
	// Version is the control version that the command raised to.
	Version int64 `json:"version"`
	// ID is the command id given by the sender; a repeat has no effect.
	ID        string    `json:"id"`
	Author    string    `json:"author"`
	Statement string    `json:"statement"`
	At        time.Time `json:"at"`
	// Undo is the statement that reverts the change, or "".
	Undo string `json:"undo,omitempty"`
	// Object is what the command changed, such as "zone norte".
	Object string `json:"object,omitempty"`
	// Message is what the sender was told; a repeat of ID is told the same.
	Message string `json:"message,omitempty"`
}

// Config is the snapshot of all that commands change and all nodes must have:
// the payload of one control version.
type Config struct {
	Version  int64              `json:"version"`
	Services map[string]Service `json:"services"`
	Zones    map[string]Zone    `json:"zones"`
	Teams    map[string]Team    `json:"teams"`
	Kinds    map[string]Kind    `json:"kinds,omitempty"`
	// DrainingVMs are VMs under a drain order.
	DrainingVMs map[string]bool `json:"draining_vms,omitempty"`
}

// Kind is the row "kind/{name}": the defaults of a batch kind or watch, taken
// by submissions that leave the fields out.
type Kind struct {
	Name       string    `json:"name" validate:"required,max=63"`
	Kind       TaskKind  `json:"kind" validate:"required,oneof=batch watch"`
	Team       string    `json:"team" validate:"max=63"`
	Declared   Resources `json:"declared"`
	DurationMS int64     `json:"duration_ms,omitempty" validate:"gte=0"`
	MaxGapMS   int64     `json:"max_gap_ms,omitempty" validate:"gte=0"`
	ChangeID   string    `json:"change_id,omitempty"`
}

// ApplyDefaults returns spec with the kind's defaults in place of zero fields.
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
