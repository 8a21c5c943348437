// Package executor runs the tasks that are placed on one VM. It registers the VM,
// renews its lease, starts, checkpoints and stops tasks on the platform's worker
// and commits their outcomes. A task runs only under a worker lease that cannot
// outlive the VM's own lease.
package executor

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/apex/log"
	"golang.org/x/sync/errgroup"

	"bamboowood/internal/lease"
	"bamboowood/internal/platform"
	"bamboowood/internal/state"
	"bamboowood/internal/structs"
	"bamboowood/internal/task"
)

// Executor manages the tasks of one VM in the VM's agent. Its methods may be called
// concurrently.
type Executor struct {
	cfg    Config
	table  *tablePath
	worker platform.Worker
	log    log.Interface
	clock  *clock
	gauges gauges
	// Both signals request a sync. refreshSignal also requests a read of the VM
	// row; syncSignal is sent after worker calls and failed syncs.
	refreshSignal, syncSignal chan struct{}

	leaseMu sync.Mutex
	lease   task.LeaseRow // Version 0: not registered
	holder  *lease.Holder
	grant   *lease.Grant

	syncMu sync.Mutex // guards view and serializes all commits except renewals
	view   view

	mu         sync.Mutex
	localTasks map[string]*localTask
	background sync.WaitGroup
	releasing  bool
}

// errLeaseLost means that this incarnation's lease was revoked or released, or that
// the stored incarnation is older than this one.
var errLeaseLost = errors.New("VM lease lost")

// ErrSuperseded means that a newer process has registered the same VM. This process
// must no longer use the VM's worker.
var ErrSuperseded = errors.New("superseded by a newer incarnation of the VM")

// New returns an Executor. relay is an alternative path to the table, such as
// through an entry; it may be nil.
func New(cfg Config, table, relay platform.Table, worker platform.Worker, logger log.Interface) *Executor {
	cfg = cfg.withDefaults()
	clock := newClock(time.Now)
	return &Executor{
		cfg:           cfg,
		table:         &tablePath{primary: table, relay: relay, timeout: cfg.CallTimeout, clock: clock},
		worker:        worker,
		log:           logger.WithField("vm", cfg.VM),
		clock:         clock,
		gauges:        newGauges(cfg.VM),
		refreshSignal: make(chan struct{}, 1),
		syncSignal:    make(chan struct{}, 1),
		holder:        lease.NewHolder(cfg.LeaseDuration),
		grant:         lease.NewGrant(cfg.LeaseDuration),
		localTasks:    map[string]*localTask{},
	}
}

// PlacementsChanged requests a sync because the VM's placements may have changed.
// It never blocks.
func (e *Executor) PlacementsChanged() { signal(e.refreshSignal) }

func signal(ch chan struct{}) {
	select {
	case ch <- struct{}{}:
	default:
	}
}

// LeaseRemaining returns how long the VM's lease is still valid. It is 0 when the
// lease has expired or was never held.
func (e *Executor) LeaseRemaining() time.Duration {
	now := e.clock.now()
	e.leaseMu.Lock()
	defer e.leaseMu.Unlock()
	if !e.lease.Exists() {
		return 0
	}
	return max(e.holder.Remaining(now), 0)
}

// RunningTasks returns the number of tasks whose start was confirmed, or that the
// worker reported as running, and whose end has not been observed.
func (e *Executor) RunningTasks() int {
	e.mu.Lock()
	defer e.mu.Unlock()
	n := 0
	for _, l := range e.localTasks {
		if l.running {
			n++
		}
	}
	return n
}

// owner returns the VM and its current incarnation, which is 0 before Register.
func (e *Executor) owner() structs.Owner {
	e.leaseMu.Lock()
	defer e.leaseMu.Unlock()
	return structs.Owner{VM: e.cfg.VM, Incarnation: e.lease.Value.Incarnation}
}

// Run registers the VM unless Register already did, and runs its tasks until ctx
// ends. When the lease is lost, Run stops all tasks and registers a new
// incarnation. It returns ErrSuperseded when another process has registered the VM.
func (e *Executor) Run(ctx context.Context) error {
	for ctx.Err() == nil {
		if e.owner().Incarnation == 0 {
			if _, err := e.Register(ctx); err != nil {
				return nil //nolint:nilerr // only ctx ends Register
			}
		}
		err := e.runLoops(ctx)
		e.background.Wait()
		if ctx.Err() != nil || e.isReleasing() {
			return nil
		}
		if errors.Is(err, ErrSuperseded) {
			e.clearLease()
			return err
		}
		e.log.WithError(err).Error("VM lease lost; stopping all tasks and registering a new incarnation")
		count("lease_losses_total", "vm", e.cfg.VM)
		e.clearLease()
	}
	return nil
}

// runLoops runs the loops of one incarnation until ctx ends or the lease is lost.
func (e *Executor) runLoops(ctx context.Context) error {
	group, ctx := errgroup.WithContext(ctx)
	group.Go(func() error { return e.renewLoop(ctx) })
	group.Go(func() error { return e.leaseCheckLoop(ctx) })
	group.Go(func() error { return e.syncLoop(ctx) })
	group.Go(func() error { return e.checkpointLoop(ctx) })
	return group.Wait()
}

func (e *Executor) clearLease() {
	e.leaseMu.Lock()
	defer e.leaseMu.Unlock()
	e.lease = task.LeaseRow{}
}

func (e *Executor) isReleasing() bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.releasing
}

// sleep waits for d or until ctx ends and reports whether d has passed.
func sleep(ctx context.Context, d time.Duration) bool {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-ctx.Done():
		return false
	}
}

// jittered returns d changed at random by up to a quarter in either direction.
func jittered(d time.Duration) time.Duration {
	return d*3/4 + time.Duration(rand.Int64N(int64(d)/2+1))
}

// Register stops every task on the worker and then writes the VM's row and lease
// with a higher incarnation. Other processes take the new incarnation as proof that
// no task of an older one is running. Register retries until ctx ends.
func (e *Executor) Register(ctx context.Context) (int64, error) {
	delay := e.cfg.LeaseDuration / retryDivisor
	for {
		incarnation, err := e.register(ctx)
		if err == nil {
			e.log.WithField("incarnation", incarnation).Info("VM registered")
			e.PlacementsChanged()
			return incarnation, nil
		}
		e.log.WithError(err).Warn("VM registration failed; retrying")
		if !sleep(ctx, jittered(delay)) {
			return 0, fmt.Errorf("register VM %s: %w", e.cfg.VM, ctx.Err())
		}
		delay = min(2*delay, e.cfg.LeaseDuration/maxRetryDivisor)
	}
}

func (e *Executor) register(ctx context.Context) (int64, error) {
	e.syncMu.Lock()
	defer e.syncMu.Unlock()
	checkpoints, err := e.stopAllOnWorker(ctx)
	if err != nil {
		return 0, err
	}
	vm, err := state.Get[structs.VM](ctx, e.table, state.VMKey(e.cfg.VM))
	if err != nil {
		return 0, err
	}
	leaseRow, err := state.Get[structs.Lease](ctx, e.table, state.LeaseKey(e.cfg.VM))
	if err != nil {
		return 0, err
	}
	if err := e.fenceReservations(ctx, vm.Value); err != nil {
		return 0, err
	}
	incarnation := max(vm.Value.Incarnation, leaseRow.Value.Incarnation) + 1
	vm.Value = structs.VM{
		ID: e.cfg.VM, Zone: e.cfg.Zone, Rack: e.cfg.Rack, Incarnation: incarnation,
		Capacity: e.cfg.Capacity, ServiceReserve: e.cfg.ServiceReserve, Services: e.cfg.Services,
		Tasks: vm.Value.Tasks, Draining: vm.Value.Draining,
	}
	leaseRow.Value = structs.Lease{
		VM: e.cfg.VM, Incarnation: incarnation, Sequence: 1, DurationMS: e.cfg.LeaseDuration.Milliseconds(),
	}
	tx := state.NewTx()
	tx.Put(vm.Key, vm.Version, vm.Value)
	tx.Put(leaseRow.Key, leaseRow.Version, leaseRow.Value)
	sent := e.clock.now()
	if err := state.Commit(ctx, e.table, tx); err != nil {
		return 0, err
	}
	leaseRow.Version = tx.Version()
	e.resetForIncarnation(leaseRow, sent, checkpoints)
	return incarnation, nil
}

// resetForIncarnation resets the executor's state to a new incarnation.
func (e *Executor) resetForIncarnation(leaseRow task.LeaseRow, sent time.Duration, checkpoints map[string]string) {
	e.leaseMu.Lock()
	e.lease = leaseRow
	e.holder = lease.NewHolder(e.cfg.LeaseDuration)
	e.grant = lease.NewGrant(e.cfg.LeaseDuration)
	e.holder.Renewed(sent)
	e.leaseMu.Unlock()
	e.view = view{checkpoints: checkpoints}
	e.mu.Lock()
	e.localTasks = map[string]*localTask{}
	e.mu.Unlock()
}

// stopAllOnWorker checkpoints and stops every task that runs on the worker. It
// returns the checkpoints by taskFenceKey.
func (e *Executor) stopAllOnWorker(ctx context.Context) (map[string]string, error) {
	statuses, err := e.listWorker(ctx)
	if err != nil {
		return nil, err
	}
	var mu sync.Mutex
	checkpoints := map[string]string{}
	group, ctx := errgroup.WithContext(ctx)
	group.SetLimit(maxParallelCalls)
	for _, s := range statuses {
		if s.Phase != platform.PhaseRunning {
			continue
		}
		group.Go(func() error {
			key := e.checkpointOnce(ctx, s.ID, s.Fence, e.cfg.WorkerTimeout)
			if key != "" {
				mu.Lock()
				checkpoints[taskFenceKey(s.ID, s.Fence)] = key
				mu.Unlock()
			}
			return e.stopOnce(ctx, s.ID, s.Fence)
		})
	}
	return checkpoints, group.Wait()
}

// fenceReservations stops every task in the VM's row or in localTasks, so that the
// worker rejects starts of these tasks that are still in flight.
func (e *Executor) fenceReservations(ctx context.Context, vm structs.VM) error {
	fences := make(map[string]int64, len(vm.Tasks))
	for id, r := range vm.Tasks {
		fences[id] = r.Fence
	}
	e.mu.Lock()
	for id, l := range e.localTasks {
		fences[id] = max(fences[id], l.fence)
	}
	e.mu.Unlock()
	group, ctx := errgroup.WithContext(ctx)
	group.SetLimit(maxParallelCalls)
	for id, fence := range fences {
		group.Go(func() error { return e.stopOnce(ctx, id, fence) })
	}
	return group.Wait()
}
