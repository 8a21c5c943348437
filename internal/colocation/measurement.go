package colocation

import (
	"time"

	"bamboowood/internal/structs"
)

// Measurement is a report about one VM: the tail latencies of its services over a past
// window and the tasks that are running now.
type Measurement struct {
	// From and Taken are the start and the end of the window (monotonic).
	From, Taken time.Duration
	Services    []Tail
	Tasks       []Task
}

// Tail is the tail latency of one service.
type Tail struct {
	Service string
	// Latency is a high quantile, chosen by the caller, of the time from a request's
	// arrival to its answer.
	Latency time.Duration
	// Wait is the agreed wait, the time limit for answering a request.
	Wait     time.Duration
	Requests int
}

// Task is a task on the VM of a Guard.
type Task struct {
	ID       string
	Kind     string           // the name in the spec; slowdowns are estimated by it
	TaskKind structs.TaskKind // batch or watch
	Priority structs.Priority
	// Share is the fraction of full speed at which the task may run, above 0 and at
	// most 1.
	Share    float64
	MilliCPU int64
	// Leaving is set for tasks that are being evicted or stopped.
	Leaving bool
}

// State is the state of a Guard, set by each measurement that it evaluates.
type State string

// States of a Guard.
const (
	Grow     State = "grow"
	Hold     State = "hold"
	Throttle State = "throttle"
	Evict    State = "evict"
)

// ActionKind is the kind of an action on a task.
type ActionKind string

// Kinds of actions. A task is checkpointed at one measurement and evicted at a later
// one at the earliest, so that the eviction loses little work.
const (
	SetShare       ActionKind = "set-share"
	TakeCheckpoint ActionKind = "checkpoint"
	EvictTask      ActionKind = "evict"
)

// Action is an action on one task that a Guard has decided.
type Action struct {
	Kind   ActionKind
	TaskID string
	// Share is the new fraction of full speed, for SetShare.
	Share float64
	// Service and TaskName (Task.Kind) identify the pair, and Ratio is the ratio of tail
	// latency to agreed wait that caused the action.
	Service  string
	TaskName string
	Ratio    float64
}

// Slowdowns returns estimates of slowdowns; see Estimator.Slowdown.
type Slowdowns interface {
	Slowdown(service, kind string) (factor, stderr float64)
}

// GuardOptions configure a Guard. Zero values take the defaults.
type GuardOptions struct {
	// GrowBelow, ThrottleAbove and EvictAbove are ratios of tail latency to the agreed
	// wait. Between GrowBelow and ThrottleAbove the guard changes nothing.
	GrowBelow, ThrottleAbove, EvictAbove float64
	// GrowMeasurements is the number of consecutive measurements below GrowBelow after
	// which the guard raises shares.
	GrowMeasurements int
	// EvictMeasurements is the number of measurements at or above EvictAbove after
	// which the guard throttles all tasks to MinShare and, once they are there, evicts.
	EvictMeasurements int
	// MinShare is the smallest share to which a task is throttled.
	MinShare float64
	// MaxEvictionsPerHour bounds evictions; 0 takes the default, a negative value
	// disables evictions.
	MaxEvictionsPerHour int
	// ApplyWithin is the time after which actions are assumed to have taken effect;
	// see Guard.Applied.
	ApplyWithin time.Duration
}
