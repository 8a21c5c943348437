package executor

import (
	"context"
	"slices"
	"strings"

	"bamboowood/internal/structs"
)

// RunningTask is a task that the executor has started and that has not ended.
type RunningTask struct {
	ID    string
	Fence int64
	Spec  structs.TaskSpec
}

// Running returns the running tasks sorted by ID.
func (e *Executor) Running() []RunningTask {
	e.mu.Lock()
	defer e.mu.Unlock()
	var tasks []RunningTask
	for id, l := range e.localTasks {
		if l.running && l.stopReason == "" {
			tasks = append(tasks, RunningTask{ID: id, Fence: l.fence, Spec: l.spec})
		}
	}
	slices.SortFunc(tasks, func(a, b RunningTask) int { return strings.Compare(a.ID, b.ID) })
	return tasks
}

// Checkpoint stores the progress of a running task now and requests a sync that
// commits it.
func (e *Executor) Checkpoint(ctx context.Context, id string, fence int64) {
	e.takeCheckpoint(ctx, id, fence)
	e.PlacementsChanged()
}
