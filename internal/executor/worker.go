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

// localTask is the executor's state of one task on its worker. Its fields are
// guarded by Executor.mu.
type localTask struct {
	fence int64
	// busy is set while a worker call for the task is in progress; sync skips such
	// tasks.
	busy bool
	// running is set from a confirmed start until the task ends.
	running bool
	// spec is set together with running by a confirmed start.
	spec structs.TaskSpec
	// stopReason is the reason for the requeue. It is set once it is proven that
	// the task does not run and cannot start under this fence.
	stopReason requeueReason
	// startFailure is set when the worker rejected the start.
	startFailure string
	// checkpoint is the key of the newest checkpoint stored by this process, or "".
	checkpoint string
}

func (e *Executor) listWorker(ctx context.Context) ([]platform.TaskStatus, error) {
	ctx, cancel := context.WithTimeout(ctx, e.cfg.WorkerTimeout)
	defer cancel()
	statuses, err := e.worker.List(ctx)
	if err != nil {
		return nil, fmt.Errorf("list tasks on the worker: %w", err)
	}
	return statuses, nil
}

// stopOnce returns nil when the worker confirmed that the task does not run and
// cannot start under this fence. ErrStaleFence counts as confirmation: the worker
// has received a higher fence.
func (e *Executor) stopOnce(ctx context.Context, id string, fence int64) error {
	ctx, cancel := context.WithTimeout(ctx, e.cfg.WorkerTimeout)
	defer cancel()
	err := e.worker.Stop(ctx, id, fence)
	if err == nil || errors.Is(err, platform.ErrNotFound) || errors.Is(err, platform.ErrStaleFence) {
		return nil
	}
	return fmt.Errorf("stop task %s: %w", id, err)
}

// checkpointOnce returns the key of a new checkpoint, or "" when the checkpoint
// failed.
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

// markBusy marks the task busy and returns its state. It returns nil when the task
// is already busy.
func (e *Executor) markBusy(id string, fence int64) *localTask {
	e.mu.Lock()
	defer e.mu.Unlock()
	l := e.localTasks[id]
	if l == nil || l.fence != fence {
		if l != nil && l.busy {
			return nil
		}
		l = &localTask{fence: fence}
		e.localTasks[id] = l
	}
	if l.busy {
		return nil
	}
	l.busy = true
	return l
}

// finishCall applies the outcome of a worker call and requests a sync.
func (e *Executor) finishCall(l *localTask, edit func(*localTask)) {
	e.mu.Lock()
	edit(l)
	l.busy = false
	e.mu.Unlock()
	signal(e.syncSignal)
}

// spawn runs f for the task in the background unless another call for the task is
// in progress.
func (e *Executor) spawn(id string, fence int64, f func(l *localTask) func(*localTask)) bool {
	l := e.markBusy(id, fence)
	if l == nil {
		return false
	}
	e.background.Go(func() { e.finishCall(l, f(l)) })
	return true
}

// startRetryDelay is the delay before a start whose answer was lost is sent again.
const startRetryDelay = 20 * time.Millisecond

// start starts a task whose start transaction was sent at sent, and repeats a call
// whose answer was lost. It abandons the start when StartBound has passed, even if
// the worker confirmed it after the bound.
func (e *Executor) start(ctx context.Context, row task.Row, sent time.Duration) func(*localTask) {
	t := row.Value
	var err error
	for {
		callStart := e.clock.now()
		remaining := e.cfg.StartBound - (callStart - sent)
		grant := e.firstLease()
		if remaining <= 0 || grant <= 0 {
			return e.abandonStart(ctx, t.ID, t.Fence, err)
		}
		callCtx, cancel := context.WithTimeout(ctx, remaining)
		err = e.worker.Start(callCtx, platform.TaskStart{
			ID: t.ID, Fence: t.Fence, Spec: t.Spec, Checkpoint: t.Checkpoint, Lease: grant,
		})
		cancel()
		now := e.clock.now()
		if err == nil && now-sent <= e.cfg.StartBound {
			e.leaseMu.Lock()
			e.grant.Started(callStart, now, grant)
			e.leaseMu.Unlock()
			return func(l *localTask) { l.running, l.spec = true, t.Spec }
		}
		if !platform.IsUnknown(err) || isWorkerRefusal(err) || !sleep(ctx, startRetryDelay) {
			return e.abandonStart(ctx, t.ID, t.Fence, err)
		}
	}
}

// isWorkerRefusal reports whether the worker rejected the task's fence or lease, so
// that repeating the start is useless.
func isWorkerRefusal(err error) bool {
	return errors.Is(err, platform.ErrStaleFence) || errors.Is(err, platform.ErrLeaseExpired)
}

// abandonStart stops a task whose start failed or was confirmed too late.
func (e *Executor) abandonStart(ctx context.Context, id string, fence int64, cause error) func(*localTask) {
	if err := e.stopOnce(ctx, id, fence); err != nil {
		return func(*localTask) {} // sync retries the stop before it does anything else with the task
	}
	switch {
	case cause == nil, errors.Is(cause, context.DeadlineExceeded):
		return func(l *localTask) { l.stopReason = requeueStartLate }
	case errors.Is(cause, platform.ErrInvalid), errors.Is(cause, platform.ErrNotFound):
		return func(l *localTask) { l.startFailure = "worker refused the start: " + cause.Error() }
	}
	return func(l *localTask) { l.stopReason = requeueStartFailed }
}

// firstLease returns the initial lease of a task whose start is sent now.
func (e *Executor) firstLease() time.Duration {
	now := e.clock.now()
	e.leaseMu.Lock()
	defer e.leaseMu.Unlock()
	return e.grant.First(now, e.holder.ValidTo(), e.cfg.StartBound)
}

// stop stops a task and waits for the worker's confirmation. With a positive
// checkpointTimeout the task is checkpointed first.
func (e *Executor) stop(ctx context.Context, id string, fence int64, checkpointTimeout time.Duration, reason requeueReason) func(*localTask) {
	key := ""
	if checkpointTimeout > 0 {
		key = e.checkpointOnce(ctx, id, fence, checkpointTimeout)
	}
	err := e.stopOnce(ctx, id, fence)
	if err != nil {
		e.log.WithError(err).WithField("task", id).Warn("task stop not confirmed; retrying")
		sleep(ctx, e.cfg.StatusInterval) // the end of this call triggers the next attempt
	}
	return func(l *localTask) {
		if key != "" {
			l.checkpoint = key
		}
		if err == nil {
			l.running = false
			l.stopReason = reason
		}
	}
}
