// Package placement decides which VM gets which pending task. A Planner goes
// through a Snapshot in steps: the queue orders the pending tasks, filters drop
// the VMs that cannot take a task, scorers order the rest, and the result is a
// Plan. The package has no clock, no goroutine and no input or output; the
// caller commits a plan in transactions that check what the snapshot showed.
package placement

import (
	"time"

	"bamboowood/internal/structs"
)

// VMState says whether a VM takes placements.
type VMState string

// States of a VM for the planner.
const (
	VMReady       VMState = ""
	VMDraining    VMState = "vm-draining"
	VMZoneDrained VMState = "zone-out"
	VMRevoked     VMState = "lease-revoked"
	// VMSuspect VMs did not start what was placed on them lately.
	VMSuspect VMState = "not-starting"
)

// VM is one VM of a Snapshot.
type VM struct {
	ID          string
	Zone        string
	Rack        string
	Incarnation int64
	State       VMState
	// Capacity is what tasks may use: the VM's without its service reserve.
	Capacity structs.Resources
	// Services are the counter services on the VM.
	Services []string
	// Tasks are the tasks with a reservation on the VM.
	Tasks []ReservedTask
	// Failed and Ran count the different jobs that failed on the VM and that ran
	// on it lately.
	Failed, Ran int
}

// Free returns Capacity minus the reservations.
func (v *VM) Free() structs.Resources {
	free := v.Capacity
	for i := range v.Tasks {
		free = free.Sub(v.Tasks[i].Size)
	}
	return free
}

// ReservedTask is a task with a reservation.
type ReservedTask struct {
	ID       string
	Name     string
	Team     string
	Kind     structs.TaskKind
	Priority structs.Priority
	Size     structs.Resources
	// Leaving tasks are ordered to stop already.
	Leaving bool
	// AtRisk is the run time that an eviction may lose.
	AtRisk time.Duration
}

// Task is a pending task of a Snapshot.
type Task struct {
	ID       string
	Name     string
	Team     string
	Kind     structs.TaskKind
	Priority structs.Priority
	// Size is what to reserve.
	Size        structs.Resources
	SubmittedAt time.Time
	// Delayed tasks wait for the end of their backoff.
	Delayed bool
}

// Snapshot is all that a plan is decided on.
type Snapshot struct {
	VMs     []VM
	Pending []Task
	// Quotas is keyed by team; a team without one is bounded by the VMs only.
	Quotas map[string]structs.Resources
}

// Reason says why a task was not placed.
type Reason string

// Reasons. NeverFits and AboveQuota stay true until VMs or quotas change.
const (
	NeverFits  Reason = "never-fits"
	AboveQuota Reason = "above-quota"
	QuotaUsed  Reason = "quota-used"
	NoCapacity Reason = "no-capacity"
	// NoSuitableVM says that the VMs with room are kept free of the task: it
	// would disturb their services, or they have had enough starts in this pass.
	NoSuitableVM Reason = "no-suitable-vm"
	NoReadyVM    Reason = "no-ready-vm"
	Delayed      Reason = "backoff"
	Preempting   Reason = "waiting-for-eviction"
)

// Reasons lists all reasons in the order of their declaration.
var Reasons = []Reason{NeverFits, AboveQuota, QuotaUsed, NoCapacity, NoSuitableVM, NoReadyVM, Delayed, Preempting}

// Durable reports whether waiting alone does not change the reason.
func (r Reason) Durable() bool { return r == NeverFits || r == AboveQuota }

// Detail returns a sentence for operators.
func (r Reason) Detail() string {
	switch r {
	case NeverFits:
		return "larger than every VM"
	case AboveQuota:
		return "larger than the team's whole quota"
	case QuotaUsed:
		return "the team's quota is used up"
	case NoCapacity:
		return "no VM has room now"
	case NoSuitableVM:
		return "the VMs with room take none of its kind now"
	case NoReadyVM:
		return "no VM is ready for placements"
	case Delayed:
		return "waits after a failed run"
	case Preempting:
		return "tasks are being evicted to make room"
	}
	return string(r)
}

// Binding gives a task to a VM.
type Binding struct {
	TaskID      string
	VM          string
	Zone        string
	Incarnation int64
	Size        structs.Resources
	Priority    structs.Priority
}

// Unplaceable is a pending task that stays pending.
type Unplaceable struct {
	TaskID string
	Reason Reason
}

// EvictionReason says why a task is evicted.
type EvictionReason string

// Reasons of an Eviction.
const (
	EvictZoneDrained EvictionReason = "zone-out"
	EvictDraining    EvictionReason = "vm-draining"
	EvictUrgent      EvictionReason = "preempted-by-urgent"
	// EvictNotStarted takes a placed task back from a VM that did not start it.
	EvictNotStarted EvictionReason = "not-started-in-time"
)

// Eviction orders a task off its VM.
type Eviction struct {
	TaskID string
	VM     string
	Reason EvictionReason
	// ForTask is the urgent task that needs the room, or "".
	ForTask string
}

// Plan is the result of one pass. Bindings are in the order of the queue.
type Plan struct {
	Bindings    []Binding
	Unplaceable []Unplaceable
	Evictions   []Eviction
	// Remaining counts pending tasks that the pass did not come to.
	Remaining int
}
