package scheduler

import (
	"context"
	"errors"
	"maps"
	"time"

	"bamboowood/internal/placement"
	"bamboowood/internal/state"
	"bamboowood/internal/structs"
	"bamboowood/internal/task"
)

const (
	// startTimeout is how long a VM may take to start a placed task before the task is
	// placed elsewhere. It doubles each time this happens to the task, up to
	// maxStartDoublings times.
	startTimeout       = 3 * time.Second
	urgentStartTimeout = 2 * time.Second
	maxStartDoublings  = 5
	// suspectDuration is how long a VM that did not start a task receives no others.
	suspectDuration = 30 * time.Second
	// maxStartChecks limits the task rows read in one pass.
	maxStartChecks = 64
)

// startTracker tracks whether placed tasks are started, so that a dead VM whose lease has
// not expired yet does not delay them. It is kept in memory. For tasks placed by an earlier
// holder of the scheduling lease, a scheduler relies on the leases of the VMs.
type startTracker struct {
	pending      map[string]placedTask
	missedStarts map[string]int // by task ID
	suspectUntil map[string]time.Duration
}

type placedTask struct {
	vm    string
	fence int64
	due   time.Duration // monotonic
}

func newStartTracker() *startTracker {
	return &startTracker{pending: map[string]placedTask{}, missedStarts: map[string]int{}, suspectUntil: map[string]time.Duration{}}
}

func (s *startTracker) track(t structs.Task, now time.Duration) {
	timeout := startTimeout
	if t.Spec.Priority >= structs.PriorityUrgent {
		timeout = urgentStartTimeout
	}
	s.pending[t.ID] = placedTask{t.Owner.VM, t.Fence, now + timeout<<min(s.missedStarts[t.ID], maxStartDoublings)}
}

// isSuspect reports whether the VM failed to start a task within suspectDuration.
func (s *startTracker) isSuspect(vm string, now time.Duration) bool {
	until, ok := s.suspectUntil[vm]
	if ok && now >= until {
		delete(s.suspectUntil, vm)
		return false
	}
	return ok
}

// recordMissed records that a VM has not started a task in time. The task stays tracked in
// case it cannot be requeued now.
func (s *startTracker) recordMissed(id string, p placedTask, now time.Duration) {
	s.missedStarts[id]++
	s.suspectUntil[p.vm] = now + suspectDuration
	p.due = now + startTimeout
	s.pending[id] = p
}

// takeDue removes and returns the tasks whose start is due, up to maxStartChecks.
func (s *startTracker) takeDue(now time.Duration) map[string]placedTask {
	result := map[string]placedTask{}
	for id, p := range s.pending {
		if len(result) == maxStartChecks {
			break
		}
		if now >= p.due {
			result[id] = p
			delete(s.pending, id)
		}
	}
	return result
}

// checkStarts requeues tasks that their VM has not started in time. This is safe at any
// time, because the start is a transaction on the task's row.
func (s *Scheduler) checkStarts(ctx context.Context) error {
	now := s.now()
	due := s.view.starts.takeDue(now)
	var evictions []placement.Eviction
	var readErr error
	for id, p := range due {
		row, err := state.Get[structs.Task](ctx, s.table, state.TaskKey(id))
		if err != nil {
			readErr = err
			break
		}
		delete(due, id)
		if row.Value.State != structs.StatePlaced || row.Value.Fence != p.fence {
			delete(s.view.starts.missedStarts, id)
			continue
		}
		s.view.starts.recordMissed(id, p, now)
		evictions = append(evictions, placement.Eviction{TaskID: id, VM: p.vm, Reason: placement.EvictNotStarted})
	}
	maps.Copy(s.view.starts.pending, due) // rows not read are retried in the next pass
	return errors.Join(readErr, s.requeueNotStarted(ctx, evictions))
}

// requeueNotStarted requeues those of the tasks that are still placed on their VM. evictIf
// adds them to the queue in the view, so that this pass can place them elsewhere.
func (s *Scheduler) requeueNotStarted(ctx context.Context, evictions []placement.Eviction) error {
	onlyPlaced := func(t structs.Task, vm string) bool { return t.Owner.VM == vm && t.State == structs.StatePlaced }
	return s.evictIf(ctx, evictions, onlyPlaced)
}

// addRequeued adds tasks that an eviction made pending to the queue in the view.
func (s *Scheduler) addRequeued(rows []task.Row) {
	for _, row := range rows {
		if row.Value.State == structs.StatePending {
			s.view.queue[row.Value.ID] = queueRow{Value: structs.NewQueueEntry(row.Value)}
		}
	}
}
