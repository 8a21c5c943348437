package executor

import (
	"context"
	"slices"
	"strings"

	"bamboowood/internal/structs"
)

// RunningTask is one task that the executor has started and that has not ended.
type RunningTask struct {
	ID    string
	Fence int64
	Spec  structs.TaskSpec
}

// Running returns the running tasks in the order of their ids.
func (e *Executor) Running() []RunningTask {
	e.mu.Lock()
	defer e.mu.Unlock()
	var tasks []RunningTask
	for id, l := range e.local {
		if l.running && l.stopped == "" {
			tasks = append(tasks, RunningTask{ID: id, Fence: l.fence, Spec: l.spec})
		}
	}
	slices.SortFunc(tasks, func(a, b RunningTask) int { return strings.Compare(a.ID, b.ID) })
	return tasks
}

// Checkpoint stores the progress of a running task now and commits it soon.
func (e *Executor) Checkpoint(ctx context.Context, id string, fence int64) {
	e.takeCheckpoint(ctx, id, fence)
	e.PlacementsChanged()
}
