// Package executor runs the tasks that are placed on one VM: it registers the
// VM, renews its lease, starts, checkpoints and stops tasks on the platform's
// worker and commits what became of them. A task runs only under a worker lease
// that cannot outlast the VM's own.
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

// Executor is the task side of one VM's agent. Its methods may be called
// concurrently.
type Executor struct {
	cfg    Config
	table  *tablePath
	worker platform.Worker
	log    log.Interface
	clock  *clock
	gauges gauges
	// poke and wake ask for a sync: poke with a fresh read of the VM row, wake
	// because a worker call ended.
	poke, wake chan struct{}

	leaseMu sync.Mutex
	lease   task.LeaseRow // Version 0: not registered
	holder  *lease.Holder
	grant   *lease.Grant

	syncMu sync.Mutex // guards view and serializes all commits but renewals
	view   view

	mu      sync.Mutex
	local   map[string]*local
	jobs    sync.WaitGroup
	leaving bool
}

// errLost says that this incarnation's lease was revoked.
var errLost = errors.New("lease lost")

// ErrSuperseded says that a newer process has registered the same VM. This one
// must not use the VM's worker any more.
var ErrSuperseded = errors.New("superseded by a newer incarnation of the VM")

// New returns an Executor. relay reaches the table by another way, such as
// through an entry; it may be nil.
func New(cfg Config, table, relay platform.Table, worker platform.Worker, logger log.Interface) *Executor {
	cfg = cfg.withDefaults()
	clock := newClock(time.Now)
	return &Executor{
		cfg:    cfg,
		table:  &tablePath{primary: table, relay: relay, timeout: cfg.CallTimeout, clock: clock},
		worker: worker,
		log:    logger.WithField("vm", cfg.VM),
		clock:  clock,
		gauges: newGauges(cfg.VM),
		poke:   make(chan struct{}, 1),
		wake:   make(chan struct{}, 1),
		holder: lease.NewHolder(cfg.LeaseDuration),
		grant:  lease.NewGrant(cfg.LeaseDuration),
		local:  map[string]*local{},
	}
}

// PlacementsChanged says that the VM's placements may have changed. It never blocks.
func (e *Executor) PlacementsChanged() { notify(e.poke) }

func notify(ch chan struct{}) {
	select {
	case ch <- struct{}{}:
	default:
	}
}

// LeaseRemaining returns how long the VM's lease is still valid; 0 when it has
// lapsed or was never held.
func (e *Executor) LeaseRemaining() time.Duration {
	now := e.clock.now()
	e.leaseMu.Lock()
	defer e.leaseMu.Unlock()
	if !e.lease.Exists() {
		return 0
	}
	return max(e.holder.Remaining(now), 0)
}

// RunningTasks returns the number of tasks that run on the worker as far as is
// known.
func (e *Executor) RunningTasks() int {
	e.mu.Lock()
	defer e.mu.Unlock()
	n := 0
	for _, l := range e.local {
		if l.running {
			n++
		}
	}
	return n
}

// owner returns this incarnation; its Incarnation is 0 before Register.
func (e *Executor) owner() structs.Owner {
	e.leaseMu.Lock()
	defer e.leaseMu.Unlock()
	return structs.Owner{VM: e.cfg.VM, Incarnation: e.lease.Value.Incarnation}
}

// Run registers the VM unless Register did, and runs its tasks until ctx ends.
// After a lost lease it stops all tasks and registers a new incarnation; it
// returns ErrSuperseded when another process has done so.
func (e *Executor) Run(ctx context.Context) error {
	for ctx.Err() == nil {
		if e.owner().Incarnation == 0 {
			if _, err := e.Register(ctx); err != nil {
				return nil //nolint:nilerr // only ctx ends Register
			}
		}
		err := e.serve(ctx)
		e.jobs.Wait()
		if ctx.Err() != nil || e.isLeaving() {
			return nil
		}
		if errors.Is(err, ErrSuperseded) {
			e.forgetLease()
			return err
		}
		e.log.WithError(err).Error("VM lease was taken back; stopping all tasks and registering anew")
		count("lease_losses_total", "vm", e.cfg.VM)
		e.forgetLease()
	}
	return nil
}

// serve runs the loops of one incarnation.
func (e *Executor) serve(ctx context.Context) error {
	group, ctx := errgroup.WithContext(ctx)
	group.Go(func() error { return e.renewLoop(ctx) })
	group.Go(func() error { return e.guardLoop(ctx) })
	group.Go(func() error { return e.syncLoop(ctx) })
	group.Go(func() error { return e.checkpointLoop(ctx) })
	return group.Wait()
}

func (e *Executor) forgetLease() {
	e.leaseMu.Lock()
	defer e.leaseMu.Unlock()
	e.lease = task.LeaseRow{}
}

func (e *Executor) isLeaving() bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.leaving
}

// sleep waits for d or until ctx ends and reports whether it was d.
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

// jittered returns d changed by up to a quarter either way.
func jittered(d time.Duration) time.Duration {
	return d*3/4 + time.Duration(rand.Int64N(int64(d)/2+1))
}

// Register makes sure that nothing runs on the worker and then writes the VM's
// row and lease with a higher incarnation, which proves to all others that the
// tasks of older incarnations do not run. It retries until ctx ends.
func (e *Executor) Register(ctx context.Context) (int64, error) {
	delay := e.cfg.LeaseDuration / retryDivisor
	for {
		incarnation, err := e.register(ctx)
		if err == nil {
			e.log.WithField("incarnation", incarnation).Info("VM registered")
			e.PlacementsChanged()
			return incarnation, nil
		}
		e.log.WithError(err).Warn("registration failed; retrying")
		if !sleep(ctx, jittered(delay)) {
			return 0, fmt.Errorf("register %s: %w", e.cfg.VM, ctx.Err())
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
	held, err := state.Get[structs.Lease](ctx, e.table, state.LeaseKey(e.cfg.VM))
	if err != nil {
		return 0, err
	}
	if err := e.fenceReservations(ctx, vm.Value); err != nil {
		return 0, err
	}
	incarnation := max(vm.Value.Incarnation, held.Value.Incarnation) + 1
	vm.Value = structs.VM{
		ID: e.cfg.VM, Zone: e.cfg.Zone, Rack: e.cfg.Rack, Incarnation: incarnation,
		Capacity: e.cfg.Capacity, ServiceReserve: e.cfg.ServiceReserve, Services: e.cfg.Services,
		Tasks: vm.Value.Tasks, Draining: vm.Value.Draining,
	}
	held.Value = structs.Lease{
		VM: e.cfg.VM, Incarnation: incarnation, Sequence: 1, DurationMS: e.cfg.LeaseDuration.Milliseconds(),
	}
	tx := state.NewTx()
	tx.Put(vm.Key, vm.Version, vm.Value)
	tx.Put(held.Key, held.Version, held.Value)
	sent := e.clock.now()
	if err := state.Commit(ctx, e.table, tx); err != nil {
		return 0, err
	}
	held.Version = tx.Version()
	e.begin(held, sent, checkpoints)
	return incarnation, nil
}

// begin resets the executor to a new incarnation.
func (e *Executor) begin(held task.LeaseRow, sent time.Duration, checkpoints map[string]string) {
	e.leaseMu.Lock()
	e.lease = held
	e.holder = lease.NewHolder(e.cfg.LeaseDuration)
	e.grant = lease.NewGrant(e.cfg.LeaseDuration)
	e.holder.Renewed(sent)
	e.leaseMu.Unlock()
	e.view = view{saved: checkpoints}
	e.mu.Lock()
	e.local = map[string]*local{}
	e.mu.Unlock()
}

// stopAllOnWorker checkpoints and stops whatever the worker still runs, and
// returns the checkpoints by task and fence.
func (e *Executor) stopAllOnWorker(ctx context.Context) (map[string]string, error) {
	statuses, err := e.listWorker(ctx)
	if err != nil {
		return nil, err
	}
	var mu sync.Mutex
	checkpoints := map[string]string{}
	group, ctx := errgroup.WithContext(ctx)
	group.SetLimit(workerParallel)
	for _, s := range statuses {
		if s.Phase != platform.PhaseRunning {
			continue
		}
		group.Go(func() error {
			key := e.checkpointOnce(ctx, s.ID, s.Fence, e.cfg.WorkerTimeout)
			if key != "" {
				mu.Lock()
				checkpoints[savedKey(s.ID, s.Fence)] = key
				mu.Unlock()
			}
			return e.stopOnce(ctx, s.ID, s.Fence)
		})
	}
	return checkpoints, group.Wait()
}

// fenceReservations stops every task that the VM's row or this process names, so
// that the worker refuses a start of theirs that is still on its way to it.
func (e *Executor) fenceReservations(ctx context.Context, vm structs.VM) error {
	fences := make(map[string]int64, len(vm.Tasks))
	for id, r := range vm.Tasks {
		fences[id] = r.Fence
	}
	e.mu.Lock()
	for id, l := range e.local {
		fences[id] = max(fences[id], l.fence)
	}
	e.mu.Unlock()
	group, ctx := errgroup.WithContext(ctx)
	group.SetLimit(workerParallel)
	for id, fence := range fences {
		group.Go(func() error { return e.stopOnce(ctx, id, fence) })
	}
	return group.Wait()
}
