package scheduler_test

import (
	"context"
	"fmt"
	"sync"
	"time"

	"github.com/shoenig/test/must"

	"bamboowood/internal/platform"
	"bamboowood/internal/standin"
	"bamboowood/internal/state"
	"bamboowood/internal/structs"
	"bamboowood/internal/task"
)

// checkpointTime is the time in which the fleet checkpoints and stops a task.
const checkpointTime = 2 * time.Second

// fleet simulates the agents of all VMs: when notified of a change, it starts placed tasks
// and completes evictions.
type fleet struct {
	ctx   context.Context
	table platform.Table
	wg    sync.WaitGroup

	mu      sync.Mutex
	dead    map[string]bool
	started map[string]time.Time // by task ID
	evicted int
}

func newFleet(ctx context.Context, t must.T, table *standin.Table, vms int, size structs.Resources) *fleet {
	f := &fleet{ctx: ctx, table: table, dead: map[string]bool{}, started: map[string]time.Time{}}
	for i := range vms {
		id := fmt.Sprintf("v%03d", i)
		putVM(t, table, structs.VM{ID: id, Zone: fmt.Sprintf("z%d", i%4), Rack: fmt.Sprintf("r%d", i/3), Incarnation: 1, Capacity: size})
		tx := state.NewTx()
		tx.Put(state.LeaseKey(id), 0, structs.Lease{VM: id, Incarnation: 1, Sequence: 1, DurationMS: 30_000})
		must.NoError(t, state.Commit(ctx, table, tx))
	}
	return f
}

// stopAndWait stops all goroutines of the fleet's context and waits for them, also after
// the test has failed.
func (f *fleet) stopAndWait(stop context.CancelFunc) {
	stop()
	f.wg.Wait()
}

// notify applies the changes of a VM's tasks, as its agent does after a heartbeat.
func (f *fleet) notify(vm string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if !f.dead[vm] {
		f.wg.Go(func() { f.sync(vm) })
	}
}

func (f *fleet) sync(vm string) {
	row, err := state.Get[structs.VM](f.ctx, f.table, state.VMKey(vm))
	if err != nil {
		return
	}
	for id := range row.Value.Tasks {
		if f.isStarted(id) && !row.Value.Tasks[id].Leaving {
			continue
		}
		t, err := state.Get[structs.Task](f.ctx, f.table, state.TaskKey(id))
		if err != nil {
			continue
		}
		switch t.Value.State {
		case structs.StatePlaced:
			f.start(t)
		case structs.StateEvicting:
			f.wg.Go(func() { f.finish(t, true) })
		}
	}
}

func (f *fleet) isStarted(id string) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	_, ok := f.started[id]
	return ok
}

func (f *fleet) start(t task.Row) {
	lease, err := state.Get[structs.Lease](f.ctx, f.table, state.LeaseKey(t.Value.Owner.VM))
	if err != nil {
		return
	}
	tx := task.NewTx(time.Now())
	if tx.Start(t, lease, task.ZoneRow{Key: state.ZoneKey("none")}) != nil || tx.Commit(f.ctx, f.table) != nil {
		return
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	f.started[t.Value.ID] = time.Now()
}

// finish ends a task, by an eviction or with success, and retries on conflicts.
func (f *fleet) finish(t task.Row, evicted bool) {
	claim := task.Claim{Owner: t.Value.Owner, Fence: t.Value.Fence}
	if evicted {
		time.Sleep(checkpointTime)
	}
	for range 20 {
		row, err := state.Get[structs.Task](f.ctx, f.table, state.TaskKey(t.Value.ID))
		if err != nil {
			continue
		}
		vm, err := state.Get[structs.VM](f.ctx, f.table, state.VMKey(claim.Owner.VM))
		if err != nil {
			continue
		}
		tx := task.NewTx(time.Now())
		if evicted {
			err = tx.Evicted(row, vm, claim, "checkpoint")
		} else {
			err = tx.Succeed(row, vm, claim)
		}
		if err != nil {
			return
		}
		if tx.Commit(f.ctx, f.table) == nil {
			break
		}
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	if evicted {
		f.evicted++
		delete(f.started, t.Value.ID)
	}
}

// startedCount returns the number of running tasks.
func (f *fleet) startedCount() int {
	f.mu.Lock()
	defer f.mu.Unlock()
	return len(f.started)
}

// startOf returns the time when the task was started, if it was.
func (f *fleet) startOf(id string) (time.Time, bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	at, ok := f.started[id]
	return at, ok
}

// waitStart waits for the start of the task, up to limit.
func (f *fleet) waitStart(id string, limit time.Duration) (time.Time, bool) {
	for waited := time.Duration(0); waited < limit; waited += time.Second {
		if at, ok := f.startOf(id); ok {
			return at, true
		}
		time.Sleep(time.Second)
	}
	return f.startOf(id)
}
