// Package speculation decides for which running tasks a copy is worth its capacity.
package speculation

import "time"

const (
	// TailQuantile is the share of tasks that end before a copy is considered. Of the tasks that pass it
	// many still end soon, which the expected remaining time shows.
	TailQuantile = 0.95
	// MaxShare is the share of the fleet's CPU that all copies together may use.
	MaxShare = 0.05
)

// Task is a running task. The times are 0 if Learned is false.
type Task struct {
	// Learned is set if the durations of the task's queue and image are known.
	Learned bool
	// Elapsed is the time that its run has taken, Remaining what it is expected to take from now on.
	Elapsed, Remaining time.Duration
	// Tail is the quantile TailQuantile of the durations, Expected the expected duration of a new run.
	Tail, Expected time.Duration
	// CPU is what a copy uses, in thousandths of a core.
	CPU int64
}

// Budget is the CPU of all copies, and of the fleet, in thousandths of a core.
type Budget struct{ Used, Capacity int64 }

// Refusal is the reason why a task gets no copy. It is empty if the task gets one.
type Refusal string

// The reasons for refusals. The last three are found while the copy is placed.
const (
	// NotLearned: too few tasks of the queue and image have finished.
	NotLearned Refusal = "not-learned"
	// InTime: the run has not exceeded the tail.
	InTime Refusal = "in-time"
	// NoGain: a copy is not expected to end before the run.
	NoGain Refusal = "no-gain"
	// OverBudget: the copies use their share of the fleet.
	OverBudget Refusal = "budget"
	// NoRunner: no other runner has room.
	NoRunner Refusal = "no-runner"
	// NeededElsewhere: a waiting task could use the room.
	NeededElsewhere Refusal = "needed-elsewhere"
)

// Decide returns why a task gets no copy, empty if it gets one.
func Decide(t Task, b Budget) Refusal {
	switch {
	case !t.Learned:
		return NotLearned
	case t.Elapsed <= t.Tail:
		return InTime
	case t.Remaining <= t.Expected:
		return NoGain
	case float64(b.Used+t.CPU) > MaxShare*float64(b.Capacity):
		return OverBudget
	}
	return ""
}
