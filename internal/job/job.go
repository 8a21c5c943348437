// Package job defines jobs as callers submit them, a graph of steps with identical tasks in a
// queue, and the tasks, runs and runners that the system executes them with.
package job

import (
	"fmt"
	"time"
)

// Limits of one job. A job that exceeds one is refused before it is stored.
const (
	// MaxSteps bounds the steps of a job.
	MaxSteps = 64
	// MaxTasks bounds the tasks of all occurrences that may be open at once, so that a
	// job's progress fits in one row of the store.
	MaxTasks = 20_000
	// MaxPayloadBytes bounds the payload that is passed to each task.
	MaxPayloadBytes = 4_000
	// MaxOccurrences bounds the occurrences of a scheduled job.
	MaxOccurrences = 10_000
	// MaxAmount bounds a task's request of each resource, so that sums over all tasks of a
	// runner do not overflow.
	MaxAmount = 1 << 40
	// MaxEstimate bounds the estimated duration of a task.
	MaxEstimate = 30 * 24 * time.Hour
	// MaxAhead bounds how far in the future the first occurrence of a job may be due, and
	// how long after it the last one.
	MaxAhead = 10 * 365 * 24 * time.Hour
)

// State is the state of a job as reported to callers.
type State string

// The states of a job.
const (
	Queued    State = "queued"
	Running   State = "running"
	Completed State = "completed"
	Failed    State = "failed"
	Cancelled State = "cancelled"
)

// Terminal reports whether the state is final.
func (s State) Terminal() bool { return s == Completed || s == Failed || s == Cancelled }

// Queue is the configuration of the queue that a job was submitted to.
type Queue struct {
	Name    string `json:"name"`
	Service string `json:"service"`
	// Priority 0 is the highest.
	Priority int `json:"priority,omitempty"`
	// MaxAttempts is the number of failed runs of a task that makes its job fail; 0 means no
	// limit.
	MaxAttempts int `json:"attempts,omitempty"`
	// The latency objective of a job is Stretch x its critical path + Slack. The critical path
	// is the duration of its longest chain of steps. Slack is the constant part of the
	// objective, not the time that is left until it.
	Stretch float64       `json:"stretch,omitempty"`
	Slack   time.Duration `json:"slack,omitempty"`
	// Advice is set if an advice service has to allow the runners of each step.
	Advice *Advice `json:"advice,omitempty"`
}

// Advice holds the timing of the advice service: an answer takes Decide for the request plus
// Each for every runner in it. Its tickets are valid for Valid.
type Advice struct {
	Decide time.Duration `json:"decide,omitempty"`
	Each   time.Duration `json:"each,omitempty"`
	Valid  time.Duration `json:"valid,omitempty"`
}

// Duration returns how long an answer on n runners takes.
func (a *Advice) Duration(n int) time.Duration {
	return max(a.Decide, 0) + time.Duration(n)*max(a.Each, 0)
}

// AdviceAnswer is an answer of the advice service to a request on some runners.
type AdviceAnswer struct {
	// Tickets are those of the runners that may run the step, by runner id.
	Tickets map[string]string
	// Validity is how long the tickets are valid, 0 if the answer does not say it.
	Validity time.Duration
	// Incomplete is set if some of the answer could not be read: runners without a ticket may be allowed.
	Incomplete bool
}

// Step is a set of identical tasks.
type Step struct {
	Tasks int `json:"tasks"`
	// CPU is in thousandths of a core.
	CPU      int64 `json:"cpu,omitempty"`
	MemoryMB int64 `json:"mem,omitempty"`
	GPUs     int64 `json:"gpu,omitempty"`
	// Estimate is the caller's estimate of one task's duration.
	Estimate time.Duration `json:"est,omitempty"`
	// After lists the indexes of earlier steps whose tasks must all be done first.
	After         []int `json:"after,omitempty"`
	Checkpointing bool  `json:"ckpt,omitempty"`
	// Gang tasks make progress only while all of them run.
	Gang bool `json:"gang,omitempty"`
	// RackLocal tasks are slower when they are spread over racks.
	RackLocal bool `json:"racklocal,omitempty"`
	// Speculative tasks may run in two copies at once; the first to finish counts.
	Speculative bool `json:"copies,omitempty"`
	// Continuous tasks run until the job is cancelled.
	Continuous bool `json:"cont,omitempty"`
	// BestEffort tasks use the CPU that other tasks on the runner leave idle.
	BestEffort    bool   `json:"fill,omitempty"`
	RequiredLabel string `json:"label,omitempty"`
	DataRack      string `json:"rack,omitempty"`
	Image         string `json:"image,omitempty"`
	// MaxPerRunner bounds the tasks of the step on one runner; 0 means no bound.
	MaxPerRunner int `json:"perrunner,omitempty"`
	// LatencyTarget is the highest tail latency that a continuous task may have.
	LatencyTarget time.Duration `json:"target,omitempty"`
	// MaxUnavailable is how many continuous tasks the system may stop at the same time.
	MaxUnavailable int `json:"maymiss,omitempty"`
}

// Job is an accepted job. It is immutable.
type Job struct {
	ID      string `json:"-"`
	Queue   Queue  `json:"queue"`
	Payload string `json:"payload,omitempty"`
	Steps   []Step `json:"steps"`
	// Occurrences, if above 0, is how many times the steps run: first at Start, then every
	// Interval.
	Occurrences int           `json:"occurrences,omitempty"`
	Start       time.Time     `json:"start,omitzero"`
	Interval    time.Duration `json:"interval,omitempty"`
	// AcceptedAt is the wall-clock time at the entry that accepted the job.
	AcceptedAt time.Time `json:"accepted"`
}

// OccurrenceCount returns the number of occurrences, 1 for a job that is not scheduled.
func (j *Job) OccurrenceCount() int { return max(j.Occurrences, 1) }

// HasTask reports whether the job has the task.
func (j *Job) HasTask(t Task) bool {
	return t.Job == j.ID && t.Occurrence >= 0 && t.Occurrence < j.OccurrenceCount() &&
		t.Step >= 0 && t.Step < len(j.Steps) && t.Index >= 0 && t.Index < j.Steps[t.Step].Tasks
}

// Due returns the time at which occurrence k is due.
func (j *Job) Due(k int) time.Time {
	if j.Occurrences == 0 {
		return j.AcceptedAt
	}
	return j.Start.Add(time.Duration(k) * j.Interval)
}

// Continuous reports whether any step of the job runs until the job is cancelled.
func (j *Job) Continuous() bool {
	for i := range j.Steps {
		if j.Steps[i].Continuous {
			return true
		}
	}
	return false
}

// Objective returns the latency objective of one occurrence, from its due time, if the job's
// critical path takes the given time. Each of its two parts is at most MaxAhead, since a
// conversion out of range and a sum that overflows would be negative.
func (j *Job) Objective(criticalPath time.Duration) time.Duration {
	stretched := time.Duration(max(min(j.Queue.Stretch*float64(criticalPath), float64(MaxAhead)), 0))
	return stretched + max(min(j.Queue.Slack, MaxAhead), 0)
}

// Exceeds reports whether a task of the job requests more than the given resources.
func (j *Job) Exceeds(r Resources) bool {
	for i := range j.Steps {
		if !r.Holds(&j.Steps[i]) {
			return true
		}
	}
	return false
}

// Validate returns an error for the first invalid part of the job. Steps may only follow
// earlier steps, so a valid graph has no cycle.
func (j *Job) Validate() error {
	if err := j.CheckBounds(); err != nil {
		return err
	}
	if j.Occurrences > 1 && j.Interval <= 0 {
		return fmt.Errorf("interval of a scheduled job must be positive")
	}
	if !j.Start.IsZero() && j.Start.Before(time.Unix(0, 0)) {
		return fmt.Errorf("the first occurrence is due before 1970")
	}
	if j.Interval > MaxAhead/time.Duration(j.OccurrenceCount()) || time.Until(j.Start) > MaxAhead {
		return fmt.Errorf("an occurrence is due later than in %s", MaxAhead)
	}
	for i := range j.Steps {
		if err := j.Steps[i].validate(i); err != nil {
			return fmt.Errorf("step %d: %w", i, err)
		}
	}
	return nil
}

// CheckBounds returns an error if the job has no steps, or if a number or the payload is out of bounds,
// so that the job would take too much memory or distort the sums over all jobs. It is part of Validate.
func (j *Job) CheckBounds() error {
	if len(j.Payload) > MaxPayloadBytes {
		return fmt.Errorf("payload has %d bytes, at most %d are allowed", len(j.Payload), MaxPayloadBytes)
	}
	if len(j.Steps) == 0 {
		return fmt.Errorf("job has no steps")
	}
	if len(j.Steps) > MaxSteps {
		return fmt.Errorf("job has %d steps, at most %d are allowed", len(j.Steps), MaxSteps)
	}
	if j.Occurrences < 0 || j.Occurrences > MaxOccurrences {
		return fmt.Errorf("job has %d occurrences, 0 to %d are allowed", j.Occurrences, MaxOccurrences)
	}
	total := 0
	for i := range j.Steps {
		if err := j.Steps[i].checkBounds(); err != nil {
			return fmt.Errorf("step %d: %w", i, err)
		}
		total += j.Steps[i].Tasks
	}
	if total > MaxTasks {
		return fmt.Errorf("job has %d tasks, at most %d are allowed", total, MaxTasks)
	}
	return nil
}

func (s *Step) checkBounds() error {
	if s.Tasks < 1 || s.Tasks > MaxTasks {
		return fmt.Errorf("count is %d, must be 1 to %d", s.Tasks, MaxTasks)
	}
	if s.CPU < 0 || s.MemoryMB < 0 || s.GPUs < 0 || s.Estimate < 0 || s.MaxPerRunner < 0 {
		return fmt.Errorf("a resource, estimate or bound is negative")
	}
	if s.CPU > MaxAmount || s.MemoryMB > MaxAmount || s.GPUs > MaxAmount || s.Estimate > MaxEstimate {
		return fmt.Errorf("a resource is above %d or an estimate above %s", int64(MaxAmount), MaxEstimate)
	}
	return nil
}

func (s *Step) validate(index int) error {
	if s.LatencyTarget < 0 || s.LatencyTarget > MaxEstimate || s.MaxUnavailable < 0 {
		return fmt.Errorf("a latency target is not in 0 to %s or the number of unavailable tasks is negative", MaxEstimate)
	}
	for _, before := range s.After {
		if before < 0 || before >= index {
			return fmt.Errorf("after: step %d is not an earlier step", before)
		}
	}
	return nil
}
