package executor

import (
	"context"
	"fmt"
	"hash/fnv"
	"time"

	"bamboowood/internal/task"
)

func taskFenceKey(id string, fence int64) string { return fmt.Sprintf("%s@%d", id, fence) }

// addCheckpoints adds the new checkpoints of tasks that keep running to tx.
func (e *Executor) addCheckpoints(tx *task.Tx) {
	e.mu.Lock()
	defer e.mu.Unlock()
	for id, l := range e.localTasks {
		row, ok := e.view.rows[id]
		if !ok || !l.running || l.checkpoint == "" || l.checkpoint == row.Value.Checkpoint || tx.Len() >= maxTxTasks {
			continue
		}
		// A rejection means that the task no longer belongs to this incarnation;
		// its report or the next read handles that.
		_ = tx.Checkpoint(row, task.Claim{Owner: row.Value.Owner, Fence: l.fence}, l.checkpoint)
	}
}

// checkpointLoop checkpoints all running tasks every CheckpointInterval. The phase
// is derived from the VM's name to spread the checkpoints of all VMs over the
// interval.
func (e *Executor) checkpointLoop(ctx context.Context) error {
	hash := fnv.New64a()
	hash.Write([]byte(e.cfg.VM))
	wait := time.Duration(hash.Sum64() % uint64(e.cfg.CheckpointInterval))
	for sleep(ctx, wait) {
		wait = e.cfg.CheckpointInterval
		for id, fence := range e.runningFences() {
			e.takeCheckpoint(ctx, id, fence)
		}
		signal(e.syncSignal)
	}
	return nil
}

// takeCheckpoint stores the progress of a running task unless another call for the
// task is in progress. The next sync commits the checkpoint.
func (e *Executor) takeCheckpoint(ctx context.Context, id string, fence int64) {
	l := e.markBusy(id, fence)
	if l == nil {
		return
	}
	key := e.checkpointOnce(ctx, id, fence, e.cfg.CheckpointTimeout)
	e.mu.Lock()
	defer e.mu.Unlock()
	if key != "" {
		l.checkpoint = key
	}
	l.busy = false
}
