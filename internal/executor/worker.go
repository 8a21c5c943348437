package executor

import (
	"context"
	"errors"
	"fmt"
	"time"

	"bamboowood/internal/platform"
	"bamboowood/internal/structs"
	"bamboowood/internal/task"
)

// local is what the executor knows of one task on its worker. Fields are
// guarded by Executor.mu.
type local struct {
	fence int64
	// busy is set while a worker call for the task is under way; sync leaves
	// such tasks alone.
	busy bool
	// running is set from a confirmed start until the end.
	running bool
	// spec is set with running.
	spec structs.TaskSpec
	// stopped is set by proof that the task does not run and will not under
	// this fence, with the reason for the requeue.
	stopped requeueReason
	// failed is set when the worker refused the start.
	failed string
	// checkpoint is the newest checkpoint known here, or "".
	checkpoint string
}

func (e *Executor) listWorker(ctx context.Context) ([]platform.TaskStatus, error) {
	ctx, cancel := context.WithTimeout(ctx, e.cfg.WorkerTimeout)
	defer cancel()
	statuses, err := e.worker.List(ctx)
	if err != nil {
		return nil, fmt.Errorf("list the worker's tasks: %w", err)
	}
	return statuses, nil
}

// stopOnce returns nil when the worker confirmed that the task does not run under
// this fence and will not: a worker that has seen a higher one says so.
func (e *Executor) stopOnce(ctx context.Context, id string, fence int64) error {
	ctx, cancel := context.WithTimeout(ctx, e.cfg.WorkerTimeout)
	defer cancel()
	err := e.worker.Stop(ctx, id, fence)
	if err == nil || errors.Is(err, platform.ErrNotFound) || errors.Is(err, platform.ErrStaleFence) {
		return nil
	}
	return fmt.Errorf("stop %s: %w", id, err)
}

// checkpointOnce returns the key of a new checkpoint, or "" when there is none.
func (e *Executor) checkpointOnce(ctx context.Context, id string, fence int64, timeout time.Duration) string {
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	key, err := e.worker.Checkpoint(ctx, id, fence)
	if err != nil {
		count("checkpoints_total", "result", "failed")
		e.log.WithError(err).WithField("task", id).Warn("checkpoint failed")
		return ""
	}
	count("checkpoints_total", "result", "stored")
	return key
}

// begun marks the task busy; it returns nil when it already is.
func (e *Executor) begun(id string, fence int64) *local {
	e.mu.Lock()
	defer e.mu.Unlock()
	l := e.local[id]
	if l == nil || l.fence != fence {
		if l != nil && l.busy {
			return nil
		}
		l = &local{fence: fence}
		e.local[id] = l
	}
	if l.busy {
		return nil
	}
	l.busy = true
	return l
}

// ended applies the outcome of a worker call and asks for a sync.
func (e *Executor) ended(l *local, edit func(*local)) {
	e.mu.Lock()
	edit(l)
	l.busy = false
	e.mu.Unlock()
	notify(e.wake)
}

// spawn runs f for the task in the background unless a call is under way.
func (e *Executor) spawn(id string, fence int64, f func(l *local) func(*local)) bool {
	l := e.begun(id, fence)
	if l == nil {
		return false
	}
	e.jobs.Go(func() { e.ended(l, f(l)) })
	return true
}

// startRetry is the pause before a start is repeated whose answer was lost.
const startRetry = 20 * time.Millisecond

// start starts a task whose transaction was sent at sent, and repeats a start
// whose answer was lost. It gives up when the start bound has passed, also when
// the worker's answer came after it.
func (e *Executor) start(ctx context.Context, row task.Row, sent time.Duration) func(*local) {
	t := row.Value
	var err error
	for {
		called := e.clock.now()
		left := e.cfg.StartBound - (called - sent)
		grant := e.firstLease()
		if left <= 0 || grant <= 0 {
			return e.abandonStart(ctx, t.ID, t.Fence, err)
		}
		callCtx, cancel := context.WithTimeout(ctx, left)
		err = e.worker.Start(callCtx, platform.TaskStart{
			ID: t.ID, Fence: t.Fence, Spec: t.Spec, Checkpoint: t.Checkpoint, Lease: grant,
		})
		cancel()
		now := e.clock.now()
		if err == nil && now-sent <= e.cfg.StartBound {
			e.leaseMu.Lock()
			e.grant.Started(called, now, grant)
			e.leaseMu.Unlock()
			return func(l *local) { l.running, l.spec = true, t.Spec }
		}
		if !platform.IsUnknown(err) || isWorkerRefusal(err) || !sleep(ctx, startRetry) {
			return e.abandonStart(ctx, t.ID, t.Fence, err)
		}
	}
}

// isWorkerRefusal reports whether the worker answered that it holds no such task.
func isWorkerRefusal(err error) bool {
	return errors.Is(err, platform.ErrStaleFence) || errors.Is(err, platform.ErrLeaseExpired)
}

// abandonStart stops a task whose start failed or came too late.
func (e *Executor) abandonStart(ctx context.Context, id string, fence int64, cause error) func(*local) {
	if err := e.stopOnce(ctx, id, fence); err != nil {
		return func(*local) {} // sync stops it again before anything else
	}
	switch {
	case cause == nil, errors.Is(cause, context.DeadlineExceeded):
		return func(l *local) { l.stopped = requeueStartLate }
	case errors.Is(cause, platform.ErrInvalid), errors.Is(cause, platform.ErrNotFound):
		return func(l *local) { l.failed = "worker refused the start: " + cause.Error() }
	}
	return func(l *local) { l.stopped = requeueStartFailed }
}

// firstLease returns the first lease of a task whose start is sent now.
func (e *Executor) firstLease() time.Duration {
	now := e.clock.now()
	e.leaseMu.Lock()
	defer e.leaseMu.Unlock()
	return e.grant.First(now, e.holder.ValidTo(), e.cfg.StartBound)
}

// stop confirms that a task does not run; with save it is checkpointed first.
func (e *Executor) stop(ctx context.Context, id string, fence int64, save time.Duration, reason requeueReason) func(*local) {
	key := ""
	if save > 0 {
		key = e.checkpointOnce(ctx, id, fence, save)
	}
	err := e.stopOnce(ctx, id, fence)
	if err != nil {
		e.log.WithError(err).WithField("task", id).Warn("stop not confirmed; retrying")
		sleep(ctx, e.cfg.StatusInterval) // the end of this call asks for the next try
	}
	return func(l *local) {
		if key != "" {
			l.checkpoint = key
		}
		if err == nil {
			l.running = false
			l.stopped = reason
		}
	}
}
