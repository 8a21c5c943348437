// Package placement selects a VM for each pending task. A Planner processes a Snapshot
// in steps: the queue orders the pending tasks, filters remove the VMs that are not
// feasible for a task, and scorers rank the remaining ones. The result is a Plan. The
// package uses no clock, goroutines or I/O. The caller commits a plan in transactions
// that check the rows behind the snapshot.
package placement

import (
	"time"

	"bamboowood/internal/structs"
)

// VMState is the readiness of a VM for placements.
type VMState string

// Values of VMState.
const (
	VMReady       VMState = ""
	VMDraining    VMState = "vm-draining"
	VMZoneDrained VMState = "zone-out"
	VMRevoked     VMState = "lease-revoked"
	// VMSuspect marks a VM that recently failed to start tasks placed on it.
	VMSuspect VMState = "not-starting"
)

// VM is one VM of a Snapshot.
type VM struct {
	ID          string
	Zone        string
	Rack        string
	Incarnation int64
	State       VMState
	// Capacity is the VM's capacity without its service reserve.
	Capacity structs.Resources
	// Services are the services on the VM.
	Services []string
	// Tasks are the tasks with a reservation on the VM.
	Tasks []ReservedTask
	// Failed and Ran count the different jobs that recently failed on the VM and that
	// recently ran on it.
	Failed, Ran int
}

// Free returns Capacity minus all reservations.
func (v *VM) Free() structs.Resources {
	free := v.Capacity
	for i := range v.Tasks {
		free = free.Sub(v.Tasks[i].Size)
	}
	return free
}

// ReservedTask is a task with a reservation on a VM.
type ReservedTask struct {
	ID       string
	Name     string
	Team     string
	Kind     structs.TaskKind
	Priority structs.Priority
	Size     structs.Resources
	// Leaving is set when the task has already been ordered to stop.
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
	// Size is the amount to reserve.
	Size        structs.Resources
	SubmittedAt time.Time
	// Delayed is set while the task is in backoff.
	Delayed bool
}

// Snapshot is the input of a plan.
type Snapshot struct {
	VMs     []VM
	Pending []Task
	// Quotas is keyed by team. A team without a quota is limited only by the VMs.
	Quotas map[string]structs.Resources
}

// Reason is the reason why a task was not placed.
type Reason string

// Values of Reason. NeverFits and AboveQuota hold until VMs or quotas change.
const (
	NeverFits  Reason = "never-fits"
	AboveQuota Reason = "above-quota"
	QuotaUsed  Reason = "quota-used"
	NoCapacity Reason = "no-capacity"
	// NoSuitableVM means that filters exclude every VM with enough free capacity: the
	// task would slow down its services, or the VM has reached MaxPerVM in this pass.
	NoSuitableVM Reason = "no-suitable-vm"
	NoReadyVM    Reason = "no-ready-vm"
	Delayed      Reason = "backoff"
	Preempting   Reason = "waiting-for-eviction"
)

// Reasons lists all values of Reason in the order of their declaration.
var Reasons = []Reason{NeverFits, AboveQuota, QuotaUsed, NoCapacity, NoSuitableVM, NoReadyVM, Delayed, Preempting}

// Durable reports whether the reason holds until VMs or quotas change.
func (r Reason) Durable() bool { return r == NeverFits || r == AboveQuota }

// Detail returns a description for operators.
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

// Binding assigns a task to a VM.
type Binding struct {
	TaskID      string
	VM          string
	Zone        string
	Incarnation int64
	Size        structs.Resources
	Priority    structs.Priority
}

// Unplaceable is a task that stays pending, and the reason.
type Unplaceable struct {
	TaskID string
	Reason Reason
}

// EvictionReason is the reason why a task is evicted.
type EvictionReason string

// Values of EvictionReason.
const (
	EvictZoneDrained EvictionReason = "zone-out"
	EvictDraining    EvictionReason = "vm-draining"
	EvictUrgent      EvictionReason = "preempted-by-urgent"
	// EvictNotStarted requeues a placed task that its VM did not start in time.
	EvictNotStarted EvictionReason = "not-started-in-time"
)

// Eviction orders a task to leave its VM.
type Eviction struct {
	TaskID string
	VM     string
	Reason EvictionReason
	// ForTask is the ID of the urgent task that preempts this one, or "".
	ForTask string
}

// Plan is the result of one pass. Bindings are in queue order.
type Plan struct {
	Bindings    []Binding
	Unplaceable []Unplaceable
	Evictions   []Eviction
	// Remaining counts the pending tasks that the pass did not process.
	Remaining int
}
