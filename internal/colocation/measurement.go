package colocation

import (
	"time"

	"bamboowood/internal/structs"
)

// Measurement is a late report of one VM: the tails of its counter services over
// a window and the tasks that run now.
type Measurement struct {
	// From and Taken are the ends of the window (monotonic).
	From, Taken time.Duration
	Services    []Tail
	Tasks       []Task
}

// Tail is the tail latency of one counter service.
type Tail struct {
	Service string
	// Latency is a high quantile, as the caller chooses, of the time from the
	// request's arrival to its answer.
	Latency time.Duration
	// Wait is the agreed wait.
	Wait     time.Duration
	Requests int
}

// Task is a task on the guarded VM.
type Task struct {
	ID       string
	Kind     string // spec name
	TaskKind structs.TaskKind
	Priority structs.Priority
	// Share is the throttle in force, above 0 and at most 1.
	Share    float64
	MilliCPU int64
	// Leaving tasks are being evicted or stopped.
	Leaving bool
}

// State is what the guard made of the last measurement it acted on.
type State string

// States of a Guard.
const (
	Grow     State = "grow"
	Hold     State = "hold"
	Throttle State = "throttle"
	Evict    State = "evict"
)

// ActionKind is what to do with a task.
type ActionKind string

// Kinds of actions. A task is checkpointed at the measurement before it may be
// evicted, so that the eviction loses little work.
const (
	SetShare       ActionKind = "set-share"
	TakeCheckpoint ActionKind = "checkpoint"
	EvictTask      ActionKind = "evict"
)

// Action is one order of the guard.
type Action struct {
	Kind   ActionKind
	TaskID string
	// Share is the new throttle of SetShare.
	Share float64
	// Service and TaskName name the pair, and Ratio the tail over the agreed
	// wait that made the guard act.
	Service  string
	TaskName string
	Ratio    float64
}

// Slowdowns are estimates of slowdowns; see Estimator.
type Slowdowns interface {
	Slowdown(service, kind string) (factor, stderr float64)
}

// GuardOptions are the bounds of a Guard. Zero values take the defaults.
type GuardOptions struct {
	// GrowBelow, ThrottleAbove and EvictAbove are ratios of tail latency to the
	// agreed wait. Between the first two the guard holds.
	GrowBelow, ThrottleAbove, EvictAbove float64
	// GrowMeasurements below GrowBelow have to pass before the guard grows.
	GrowMeasurements int
	// EvictMeasurements above EvictAbove, with the worst task at MinShare, have to
	// pass before it evicts.
	EvictMeasurements int
	// MinShare is the least throttle.
	MinShare float64
	// MaxEvictionsPerHour bounds evictions; 0 takes the default, below 0 is none.
	MaxEvictionsPerHour int
	// ApplyWithin is how long an action may take at most; see Guard.Applied.
	ApplyWithin time.Duration
}
