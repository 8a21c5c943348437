package standin

import (
	"cmp"
	"context"
	"encoding/json"
	"fmt"
	"maps"
	"slices"
	"sync"
	"time"

	"bamboowood/internal/platform"
	"bamboowood/internal/structs"
)

// Behaviour describes how the tasks of one spec name run on a Worker.
type Behaviour struct {
	// Duration is how long the task runs at full speed; 0 means that it never ends.
	Duration time.Duration `json:"duration,omitempty"`
	// FailAfter, if not 0, is the progress at which the task fails.
	FailAfter time.Duration `json:"fail_after,omitempty"`
	// FailStart fails the task as soon as it has started.
	FailStart bool `json:"fail_start,omitempty"`
	// Usage is the usage at full speed; zero means the declared resources.
	Usage structs.Resources `json:"usage,omitzero"`
	// Slowdown is the factor by which one running task multiplies the service times of the
	// VM's services; 0 means 1. A throttle scales the part above 1.
	Slowdown float64 `json:"slowdown,omitempty"`
}

// WorkerOptions configure a Worker.
type WorkerOptions struct {
	VM string
	// Objects stores the checkpoints.
	Objects platform.Objects
	// Behaviours is keyed by spec name. Batch tasks without a Behaviour run for their
	// declared duration; other tasks without one never end.
	Behaviours map[string]Behaviour
	// UsageLag is the age of the reported usage.
	UsageLag time.Duration
}

// Run records one execution of a task on a Worker, for checks in tests.
type Run struct {
	VM    string
	ID    string
	Fence int64
	// Resumed is the progress loaded from the checkpoint.
	Resumed time.Duration
	From    time.Time
	// To is the time of the end, or the zero time while the task runs.
	To    time.Time
	Phase platform.TaskPhase
	// Done is the progress at the end, or at the last checkpoint while the task runs.
	Done time.Duration
}

// Worker is a platform.Worker with simulated tasks. Each call computes their progress
// from the time elapsed; no goroutine runs. Safe for concurrent use.
type Worker struct {
	options WorkerOptions
	faults  *Faults

	mu         sync.Mutex
	tasks      map[string]*execution
	fences     map[string]int64 // highest fence received by task id, kept after Forget
	failStarts bool             // every task fails as soon as it has started
	runs       []Run
}

// NewWorker returns a Worker without tasks.
func NewWorker(options WorkerOptions) *Worker {
	if options.Behaviours == nil {
		options.Behaviours = map[string]Behaviour{}
	}
	return &Worker{options: options, faults: newFaults(), tasks: map[string]*execution{}, fences: map[string]int64{}}
}

// Faults returns the fault settings of the worker.
func (w *Worker) Faults() *Faults { return w.faults }

// SetBehaviour sets the Behaviour of the tasks of a spec name that start from now on.
func (w *Worker) SetBehaviour(name string, b Behaviour) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.options.Behaviours[name] = b
}

// FailEverything sets whether each later task fails as soon as it has started.
func (w *Worker) FailEverything(on bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.failStarts = on
}

// Kill ends all tasks and deletes their records and fences, as when the VM is replaced.
func (w *Worker) Kill() {
	w.mu.Lock()
	defer w.mu.Unlock()
	now := time.Now()
	for _, e := range w.tasks {
		w.advance(e, now)
		w.end(e, platform.PhaseStopped, "VM killed", now)
	}
	clear(w.tasks)
	clear(w.fences)
}

// Runs returns all executions so far, in the order of their start.
func (w *Worker) Runs() []Run {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.advanceAll(time.Now())
	return slices.Clone(w.runs)
}

// Slowdown returns the factor by which the running tasks multiply the service times of
// the VM's services now.
func (w *Worker) Slowdown() float64 {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.advanceAll(time.Now())
	factor := 1.0
	for _, e := range w.tasks {
		if e.phase == platform.PhaseRunning && e.behaviour.Slowdown > 1 {
			factor *= 1 + (e.behaviour.Slowdown-1)*e.share
		}
	}
	return factor
}

// Used returns the sum of the current usage of all running tasks, without UsageLag.
func (w *Worker) Used() structs.Resources {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.advanceAll(time.Now())
	var sum structs.Resources
	for _, e := range w.tasks {
		if e.phase == platform.PhaseRunning {
			sum = sum.Add(e.usage())
		}
	}
	return sum
}

// Start implements platform.Worker.
func (w *Worker) Start(ctx context.Context, start platform.TaskStart) error {
	return w.faults.call(ctx, OpStart, func() error { return w.startTask(ctx, start) })
}

func (w *Worker) startTask(ctx context.Context, start platform.TaskStart) error {
	if err := platform.ValidateKey(start.ID); err != nil || start.Lease <= 0 {
		return fmt.Errorf("%w: start needs an id and a lease", platform.ErrInvalid)
	}
	var resumed progressObject
	if start.Checkpoint != "" {
		data, err := w.options.Objects.Get(ctx, start.Checkpoint)
		if err != nil {
			return fmt.Errorf("load checkpoint: %w", err)
		}
		if err := json.Unmarshal(data, &resumed); err != nil {
			return fmt.Errorf("%w: checkpoint %s: %w", platform.ErrInvalid, start.Checkpoint, err)
		}
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	now := time.Now()
	previous := w.tasks[start.ID]
	if previous != nil {
		w.advance(previous, now)
		if previous.phase == platform.PhaseRunning && previous.start.Fence == start.Fence {
			return nil
		}
	}
	if start.Fence <= w.fences[start.ID] {
		return fmt.Errorf("start %s with fence %d, seen %d: %w", start.ID, start.Fence, w.fences[start.ID], platform.ErrStaleFence)
	}
	if previous != nil && previous.phase == platform.PhaseRunning {
		w.end(previous, platform.PhaseStopped, "replaced by a higher fence", now)
	}
	w.fences[start.ID] = start.Fence
	w.addExecution(start, resumed.Progress, now)
	return nil
}

// addExecution adds an execution for start, resumed at progress; w.mu is held.
func (w *Worker) addExecution(start platform.TaskStart, progress time.Duration, now time.Time) {
	start.Spec.Payload = nil // simulated tasks do not read it
	behaviour, ok := w.options.Behaviours[start.Spec.Name]
	if !ok && start.Spec.Kind == structs.KindBatch {
		behaviour = Behaviour{Duration: time.Duration(start.Spec.DurationMS) * time.Millisecond}
	}
	w.runs = append(w.runs, Run{
		VM: w.options.VM, ID: start.ID, Fence: start.Fence, Resumed: progress, From: now,
		Phase: platform.PhaseRunning, Done: progress,
	})
	e := &execution{
		start: start, behaviour: behaviour, phase: platform.PhaseRunning, startedAt: now, updatedAt: now,
		leaseEnd: now.Add(start.Lease), progress: progress, share: 1, checkpoint: start.Checkpoint, runIndex: len(w.runs) - 1,
	}
	w.tasks[start.ID] = e
	if w.failStarts || behaviour.FailStart {
		w.end(e, platform.PhaseFailed, "failed on start", now)
	}
}

// Extend implements platform.Worker.
func (w *Worker) Extend(ctx context.Context, fences map[string]int64, lease time.Duration) ([]string, error) {
	var lost []string
	err := w.faults.call(ctx, OpExtend, func() error {
		if lease <= 0 {
			return fmt.Errorf("%w: lease %s", platform.ErrInvalid, lease)
		}
		w.mu.Lock()
		defer w.mu.Unlock()
		now := time.Now()
		for _, id := range slices.Sorted(maps.Keys(fences)) {
			e := w.tasks[id]
			if e != nil {
				w.advance(e, now)
			}
			if e == nil || e.phase != platform.PhaseRunning || e.start.Fence != fences[id] {
				lost = append(lost, id)
				continue
			}
			e.leaseEnd = now.Add(lease)
		}
		return nil
	})
	if err != nil {
		return nil, err
	}
	return lost, nil
}

// runningTask returns the running execution of the task with this fence; w.mu is held.
func (w *Worker) runningTask(id string, fence int64) (*execution, error) {
	if seen := w.fences[id]; fence < seen {
		return nil, fmt.Errorf("task %s with fence %d, seen %d: %w", id, fence, seen, platform.ErrStaleFence)
	}
	e := w.tasks[id]
	if e == nil || e.start.Fence != fence {
		return nil, fmt.Errorf("task %s: %w", id, platform.ErrNotFound)
	}
	w.advance(e, time.Now())
	if e.phase != platform.PhaseRunning {
		return nil, fmt.Errorf("task %s is %s: %w", id, e.phase, platform.ErrLeaseExpired)
	}
	return e, nil
}

// Checkpoint implements platform.Worker. The key contains the progress, so that a new
// checkpoint does not overwrite an older one.
func (w *Worker) Checkpoint(ctx context.Context, id string, fence int64) (string, error) {
	var key string
	err := w.faults.call(ctx, OpCheckpoint, func() error {
		w.mu.Lock()
		e, err := w.runningTask(id, fence)
		if err != nil {
			w.mu.Unlock()
			return err
		}
		progress := e.progress
		w.mu.Unlock()
		data, err := json.Marshal(progressObject{Progress: progress})
		if err != nil {
			return fmt.Errorf("encode checkpoint: %w", err)
		}
		key = fmt.Sprintf("checkpoint/%s/%d/%d", id, fence, progress.Microseconds())
		if err := w.options.Objects.Put(ctx, key, data); err != nil {
			return fmt.Errorf("store checkpoint: %w", err)
		}
		w.mu.Lock()
		defer w.mu.Unlock()
		e.checkpoint = key
		if w.runs[e.runIndex].To.IsZero() {
			w.runs[e.runIndex].Done = progress
		}
		return nil
	})
	if err != nil {
		return "", err
	}
	return key, nil
}

// Throttle implements platform.Worker.
func (w *Worker) Throttle(ctx context.Context, id string, fence int64, share float64) error {
	return w.faults.call(ctx, OpThrottle, func() error {
		if share <= 0 || share > 1 {
			return fmt.Errorf("%w: share %g is not above 0 and at most 1", platform.ErrInvalid, share)
		}
		w.mu.Lock()
		defer w.mu.Unlock()
		e, err := w.runningTask(id, fence)
		if err != nil {
			return err
		}
		e.share = share
		return nil
	})
}

// Stop implements platform.Worker. It records the fence of an unknown task too, so that a
// later Start with this or a lower fence is refused.
func (w *Worker) Stop(ctx context.Context, id string, fence int64) error {
	return w.faults.call(ctx, OpStop, func() error {
		w.mu.Lock()
		defer w.mu.Unlock()
		if seen := w.fences[id]; fence < seen {
			return fmt.Errorf("stop %s with fence %d, seen %d: %w", id, fence, seen, platform.ErrStaleFence)
		}
		w.fences[id] = fence
		if e := w.tasks[id]; e != nil {
			now := time.Now()
			w.advance(e, now)
			w.end(e, platform.PhaseStopped, "stopped by order", now)
		}
		return nil
	})
}

// Forget implements platform.Worker.
func (w *Worker) Forget(ctx context.Context, id string, fence int64) error {
	return w.faults.call(ctx, OpForget, func() error {
		w.mu.Lock()
		defer w.mu.Unlock()
		e := w.tasks[id]
		if e == nil {
			return nil
		}
		if fence < e.start.Fence {
			return fmt.Errorf("forget %s: %w", id, platform.ErrStaleFence)
		}
		w.advance(e, time.Now())
		if e.phase == platform.PhaseRunning {
			return fmt.Errorf("%w: task %s runs", platform.ErrInvalid, id)
		}
		delete(w.tasks, id)
		return nil
	})
}

// List implements platform.Worker. The tasks are in the order of their ids.
func (w *Worker) List(ctx context.Context) ([]platform.TaskStatus, error) {
	var statuses []platform.TaskStatus
	err := w.faults.call(ctx, OpList, func() error {
		w.mu.Lock()
		defer w.mu.Unlock()
		now := time.Now()
		for _, e := range w.tasks {
			w.advance(e, now)
			statuses = append(statuses, w.status(e, now))
		}
		slices.SortFunc(statuses, func(a, b platform.TaskStatus) int { return cmp.Compare(a.ID, b.ID) })
		return nil
	})
	if err != nil {
		return nil, err
	}
	return statuses, nil
}
