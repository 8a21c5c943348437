// Package job describes a batch job as its caller hands it in: a graph of steps,
// each of a number of equal tasks, and the queue that it was handed in to.
package job

import (
	"fmt"
	"time"
)

// Limits of one job. A job beyond them is refused before it is stored.
const (
	// MaxSteps bounds the steps of a job.
	MaxSteps = 64
	// MaxTasks bounds the tasks of all occurrences that may be open at once; it
	// keeps a job's progress within one row of the store.
	MaxTasks = 20_000
	// MaxPayloadBytes bounds the payload that is passed to each task.
	MaxPayloadBytes = 4_000
	// MaxOccurrences bounds the occurrences of a timed job.
	MaxOccurrences = 10_000
	// MaxAmount bounds what a task asks of each resource: sums over all tasks of a runner
	// must not overflow.
	MaxAmount = 1 << 40
	// MaxEstimate bounds the estimate of a task.
	MaxEstimate = 30 * 24 * time.Hour
	// MaxAhead bounds how far ahead the first occurrence of a job may be due, and how far
	// the last one lies after it.
	MaxAhead = 10 * 365 * 24 * time.Hour
)

// State is the state of a job that callers see.
type State string

// The states of a job.
const (
	Queued    State = "queued"
	Running   State = "running"
	Completed State = "completed"
	Failed    State = "failed"
	Cancelled State = "cancelled"
)

// Terminal says whether the state is final.
func (s State) Terminal() bool { return s == Completed || s == Failed || s == Cancelled }

// Queue holds what the configuration says of the queue a job was handed in to.
type Queue struct {
	Name    string `json:"name"`
	Service string `json:"service"`
	// Priority 0 comes first.
	Priority int `json:"priority,omitempty"`
	// MaxAttempts is how often a task may fail before its job fails.
	MaxAttempts int `json:"attempts,omitempty"`
	// Stretch times the longest chain of work, plus Slack, is the latency
	// objective of a job.
	Stretch float64       `json:"stretch,omitempty"`
	Slack   time.Duration `json:"slack,omitempty"`
	// Advice is set if only runners that an outside policy allows may run a step.
	Advice *Advice `json:"advice,omitempty"`
}

// Advice is how long the service that knows the policy takes: Decide for each question
// and Each for every runner that it names. Its tickets are valid for Valid.
type Advice struct {
	Decide time.Duration `json:"decide,omitempty"`
	Each   time.Duration `json:"each,omitempty"`
	Valid  time.Duration `json:"valid,omitempty"`
}

// Step is a set of equal tasks.
type Step struct {
	Tasks int `json:"tasks"`
	// CPU is in thousandths of a core.
	CPU      int64 `json:"cpu,omitempty"`
	MemoryMB int64 `json:"mem,omitempty"`
	GPUs     int64 `json:"gpu,omitempty"`
	// Estimate is the caller's guess of one task's duration.
	Estimate time.Duration `json:"est,omitempty"`
	// After names earlier steps whose tasks must all be done first.
	After         []int `json:"after,omitempty"`
	Checkpointing bool  `json:"ckpt,omitempty"`
	// Gang tasks work only while all of them run.
	Gang bool `json:"gang,omitempty"`
	// RackLocal tasks are slower when they are spread over racks.
	RackLocal bool `json:"racklocal,omitempty"`
	// Speculative copies may run beside each other; the first to finish counts.
	Speculative bool `json:"copies,omitempty"`
	// Continuous tasks run until the job is cancelled.
	Continuous bool `json:"cont,omitempty"`
	// BestEffort tasks use the CPU that others on the runner leave unused.
	BestEffort    bool   `json:"fill,omitempty"`
	RequiredLabel string `json:"label,omitempty"`
	DataRack      string `json:"rack,omitempty"`
	Image         string `json:"image,omitempty"`
	// MaxPerRunner bounds the tasks of the step on one runner; 0 means no bound.
	MaxPerRunner int `json:"perrunner,omitempty"`
	// LatencyTarget is the tail latency that a continuous task must keep.
	LatencyTarget time.Duration `json:"target,omitempty"`
	// MaxUnavailable is how many continuous tasks the system may take away at once.
	MaxUnavailable int `json:"maymiss,omitempty"`
}

// Job is one accepted job. It never changes after acceptance.
type Job struct {
	ID      string `json:"-"`
	Queue   Queue  `json:"queue"`
	Payload string `json:"payload,omitempty"`
	Steps   []Step `json:"steps"`
	// Occurrences above 0 run the steps so many times, the first at Start and
	// each following one Interval later.
	Occurrences int           `json:"occurrences,omitempty"`
	Start       time.Time     `json:"start,omitzero"`
	Interval    time.Duration `json:"interval,omitempty"`
	// AcceptedAt is the time of day at the entry that accepted the job.
	AcceptedAt time.Time `json:"accepted"`
}

// OccurrenceCount is the number of occurrences, 1 for a job without a schedule.
func (j *Job) OccurrenceCount() int { return max(j.Occurrences, 1) }

// Due is the time at which occurrence k may start.
func (j *Job) Due(k int) time.Time {
	if j.Occurrences == 0 {
		return j.AcceptedAt
	}
	return j.Start.Add(time.Duration(k) * j.Interval)
}

// Continuous says whether any step of the job runs until it is cancelled.
func (j *Job) Continuous() bool {
	for i := range j.Steps {
		if j.Steps[i].Continuous {
			return true
		}
	}
	return false
}

// Objective is the latency objective of one occurrence, from its due time, if the
// longest chain of work takes the given time.
func (j *Job) Objective(chain time.Duration) time.Duration {
	return time.Duration(j.Queue.Stretch*float64(chain)) + j.Queue.Slack
}

// Exceeds says that a task of the job needs more than the given resources. The CPU of
// fillers does not count: they take what others leave.
func (j *Job) Exceeds(r Resources) bool {
	for i := range j.Steps {
		s := &j.Steps[i]
		if s.MemoryMB > r.MemoryMB || s.GPUs > r.GPUs || !s.BestEffort && s.CPU > r.CPU {
			return true
		}
	}
	return false
}

// Validate reports the first fault of the job. Steps may only follow earlier
// steps, so a valid graph has no cycle.
func (j *Job) Validate() error {
	if len(j.Payload) > MaxPayloadBytes {
		return fmt.Errorf("payload has %d bytes, at most %d are allowed", len(j.Payload), MaxPayloadBytes)
	}
	if len(j.Steps) == 0 || len(j.Steps) > MaxSteps {
		return fmt.Errorf("job has %d steps, 1 to %d are allowed", len(j.Steps), MaxSteps)
	}
	if j.Occurrences < 0 || j.Occurrences > MaxOccurrences {
		return fmt.Errorf("job has %d occurrences, 0 to %d are allowed", j.Occurrences, MaxOccurrences)
	}
	if j.Occurrences > 1 && j.Interval <= 0 {
		return fmt.Errorf("interval of a timed job must be positive")
	}
	if j.Interval > MaxAhead/time.Duration(j.OccurrenceCount()) || time.Until(j.Start) > MaxAhead {
		return fmt.Errorf("an occurrence is due later than in %s", MaxAhead)
	}
	total := 0
	for i := range j.Steps {
		if err := j.Steps[i].validate(i); err != nil {
			return fmt.Errorf("step %d: %w", i, err)
		}
		total += j.Steps[i].Tasks
	}
	if total > MaxTasks {
		return fmt.Errorf("job has %d tasks, at most %d are allowed", total, MaxTasks)
	}
	return nil
}

func (s *Step) validate(index int) error {
	if s.Tasks < 1 || s.Tasks > MaxTasks {
		return fmt.Errorf("count %d, 1 to %d are allowed", s.Tasks, MaxTasks)
	}
	if s.CPU < 0 || s.MemoryMB < 0 || s.GPUs < 0 || s.Estimate < 0 || s.MaxPerRunner < 0 {
		return fmt.Errorf("a resource, estimate or bound is negative")
	}
	if s.CPU > MaxAmount || s.MemoryMB > MaxAmount || s.GPUs > MaxAmount || s.Estimate > MaxEstimate {
		return fmt.Errorf("a resource is above %d or an estimate above %s", int64(MaxAmount), MaxEstimate)
	}
	for _, before := range s.After {
		if before < 0 || before >= index {
			return fmt.Errorf("follows step %d, only earlier steps are allowed", before)
		}
	}
	return nil
}
