package structs

import "time"

// TaskKind is batch (runs to completion once) or watch (runs without end).
type TaskKind string

// Kinds of tasks.
const (
	KindBatch TaskKind = "batch"
	KindWatch TaskKind = "watch"
)

// TaskState is the state of a task; package task defines the transitions.
type TaskState string

// States of a task.
const (
	// StatePending tasks wait for placement.
	StatePending TaskState = "pending"
	// StatePlaced tasks have resources reserved on a VM and have not started.
	StatePlaced TaskState = "placed"
	// StateRunning tasks have been started by the VM's agent.
	StateRunning TaskState = "running"
	// StateEvicting tasks have been ordered to checkpoint and stop; they then become
	// pending again.
	StateEvicting TaskState = "evicting"
	// StateStopping tasks have been cancelled and ordered to stop.
	StateStopping TaskState = "stopping"
	// StateSucceeded, StateFailed and StateCancelled are final.
	StateSucceeded TaskState = "succeeded"
	StateFailed    TaskState = "failed"
	StateCancelled TaskState = "cancelled"
)

// Final reports whether the state is final: no transition leaves it.
func (s TaskState) Final() bool {
	return s == StateSucceeded || s == StateFailed || s == StateCancelled
}

// HoldsResources reports whether a task in this state has a reservation on a VM.
func (s TaskState) HoldsResources() bool {
	return s == StatePlaced || s == StateRunning || s == StateEvicting || s == StateStopping
}

// Priority orders the queue of pending tasks; higher values are placed first.
type Priority int

// Priorities.
const (
	PriorityNormal Priority = 0
	PriorityUrgent Priority = 10
)

// TaskSpec is the specification of a task as submitted. It is immutable.
type TaskSpec struct {
	// Name is the batch kind or watch name, such as "recalibration".
	Name     string    `json:"name" toml:"name" validate:"required,max=63"`
	Kind     TaskKind  `json:"kind" toml:"kind" validate:"required,oneof=batch watch"`
	Team     string    `json:"team" toml:"team" validate:"required,max=63"`
	Priority Priority  `json:"priority" toml:"priority" validate:"oneof=0 10"`
	Declared Resources `json:"declared" toml:"declared"`
	// DurationMS is the declared run time of a batch task in milliseconds; 0 for
	// a watch. It is a hint and often inaccurate.
	DurationMS int64 `json:"duration_ms" toml:"duration_ms" validate:"gte=0"`
	// Payload is passed to the worker unchanged.
	Payload []byte `json:"payload,omitempty" toml:"payload" validate:"max=65536"`
	// MaxGapMS is the longest time, in milliseconds, that a watch may have no running
	// instance before an alarm is raised.
	MaxGapMS int64 `json:"max_gap_ms,omitempty" toml:"max_gap_ms" validate:"gte=0"`
}

// Owner identifies the VM and its incarnation on which a task is placed.
type Owner struct {
	VM          string `json:"vm"`
	Incarnation int64  `json:"incarnation"`
}

// Task is the row of one submitted job or watch, key "task/{id}".
type Task struct {
	ID    string    `json:"id"`
	Spec  TaskSpec  `json:"spec"`
	State TaskState `json:"state"`
	// Owner is set while State.HoldsResources().
	Owner Owner `json:"owner,omitzero"`
	// Reserved is the amount reserved on the owner.
	Reserved Resources `json:"reserved,omitzero"`
	// Fence is the fencing token, incremented at every placement. A worker's
	// report with a lower fence is ignored.
	Fence int64 `json:"fence"`
	// Attempts counts failed runs; evictions do not count.
	Attempts int `json:"attempts"`
	// Evictions counts evictions: the task was checkpointed and queued again.
	Evictions int `json:"evictions"`
	// Checkpoint is the object key of the newest accepted checkpoint; "" if there is
	// none.
	Checkpoint string `json:"checkpoint,omitempty"`
	// NotBefore delays the next placement after a failure.
	NotBefore time.Time `json:"not_before,omitzero"`
	// Reason is why the task is in its state, shown by explain.
	Reason string `json:"reason,omitempty"`
	// SubmittedAt, ChangedAt and StartedAt are used for display and queue order
	// only; no safety decision depends on them.
	SubmittedAt time.Time `json:"submitted_at"`
	ChangedAt   time.Time `json:"changed_at"`
	StartedAt   time.Time `json:"started_at,omitzero"`
	// History has the last MaxHistory transitions, oldest first.
	History []Transition `json:"history,omitempty"`
}

// MaxHistory is the maximum number of transitions stored in a task row.
const MaxHistory = 16

// Transition is one change of a task's state.
type Transition struct {
	At     time.Time `json:"at"`
	From   TaskState `json:"from"`
	To     TaskState `json:"to"`
	VM     string    `json:"vm,omitempty"`
	Fence  int64     `json:"fence"`
	Reason string    `json:"reason,omitempty"`
	// TxID is the id of the transaction that made the change. It shows whether a
	// transaction without an answer was committed.
	TxID string `json:"tx_id"`
}

// QueueEntry is the index row of a pending task, "queue/{urgent|normal}/{id}". It is
// written and deleted in the transactions in which the task becomes pending and stops
// being pending, so that a scheduler finds work without reading the rows of all tasks.
type QueueEntry struct {
	ID          string    `json:"id"`
	Name        string    `json:"name"`
	Team        string    `json:"team"`
	Kind        TaskKind  `json:"kind"`
	Priority    Priority  `json:"priority,omitempty"`
	Declared    Resources `json:"declared"`
	SubmittedAt time.Time `json:"submitted_at"`
	NotBefore   time.Time `json:"not_before,omitzero"`
	// Attempts counts failed runs; LastVM is the VM of the last transition.
	Attempts int    `json:"attempts,omitempty"`
	LastVM   string `json:"last_vm,omitempty"`
}

// NewQueueEntry returns the index row of a pending task.
func NewQueueEntry(t Task) QueueEntry {
	e := QueueEntry{
		ID: t.ID, Name: t.Spec.Name, Team: t.Spec.Team, Kind: t.Spec.Kind, Priority: t.Spec.Priority,
		Declared: t.Spec.Declared, SubmittedAt: t.SubmittedAt, NotBefore: t.NotBefore, Attempts: t.Attempts,
	}
	if len(t.History) > 0 {
		e.LastVM = t.History[len(t.History)-1].VM
	}
	return e
}

// Peak is the row "peak/{spec name}": the peak resource usage observed for tasks of
// the name.
type Peak struct {
	Name string    `json:"name"`
	Used Resources `json:"used"`
}
