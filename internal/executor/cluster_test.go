package executor_test

import (
	"context"
	"errors"
	"fmt"
	"slices"
	"sync"
	"testing"
	"time"

	"github.com/apex/log"
	"github.com/apex/log/handlers/discard"
	"github.com/shoenig/test/must"

	"bamboowood/internal/executor"
	"bamboowood/internal/platform"
	"bamboowood/internal/recovery"
	"bamboowood/internal/standin"
	"bamboowood/internal/state"
	"bamboowood/internal/structs"
	"bamboowood/internal/task"
)

const (
	testLease = 30 * time.Second
	testZone  = "centro"
	taskWork  = 3 * time.Minute
)

func discardLogger() log.Interface { return &log.Logger{Handler: discard.New(), Level: log.FatalLevel} }

// process is an agent process on a VM.
type process struct {
	*executor.Executor
	table, relay, worker *faultProxy
	cancel               context.CancelFunc
	done                 chan struct{}
}

func (p *process) proxies() []*faultProxy { return []*faultProxy{p.table, p.relay, p.worker} }

// kill simulates SIGKILL: none of the process's calls has an effect afterwards.
func (p *process) kill() {
	for _, g := range p.proxies() {
		g.set(func(g *faultProxy) { g.killed = true })
	}
	p.cancel()
}

// freeze simulates SIGSTOP. The returned function simulates SIGCONT.
func (p *process) freeze() (thaw func()) {
	frozen := make(chan struct{})
	for _, g := range p.proxies() {
		g.set(func(g *faultProxy) { g.frozen = frozen })
	}
	return sync.OnceFunc(func() {
		for _, g := range p.proxies() {
			g.set(func(g *faultProxy) { g.frozen = nil })
		}
		close(frozen)
	})
}

// cluster is a table, VMs with workers, and the agent, recovery and scheduler
// processes.
type cluster struct {
	ctx       context.Context
	table     *standin.Table
	objects   *standin.Objects
	vms       []string
	workers   map[string]*standin.Worker
	processes []*process
	drainedAt map[string]time.Time // zone -> time of its drain, while it is drained
	started   time.Time
	// onPlaced, if set, is called with each VM that received a placement. Without
	// it, agents find placements by polling.
	onPlaced func(vm string)
}

// runCluster creates a cluster of VMs "a", "b", ... and calls f. All processes end
// when f returns.
func runCluster(t *testing.T, vms int, f func(c *cluster)) {
	t.Helper()
	ctx, cancel := context.WithCancel(t.Context())
	c := &cluster{
		ctx: ctx, table: standin.NewTable(), objects: standin.NewObjects(),
		workers: map[string]*standin.Worker{}, drainedAt: map[string]time.Time{}, started: time.Now(),
	}
	for i := range vms {
		vm := string(rune('a' + i))
		c.vms = append(c.vms, vm)
		c.workers[vm] = standin.NewWorker(standin.WorkerOptions{VM: vm, Objects: c.objects})
	}
	defer func() {
		cancel()
		for _, p := range c.processes {
			for _, g := range p.proxies() {
				g.set(func(g *faultProxy) { g.killed = true })
			}
			<-p.done
		}
	}()
	f(c)
}

func (c *cluster) config(vm string) executor.Config {
	return executor.Config{
		VM: vm, Zone: testZone, Rack: "r1", LeaseDuration: testLease,
		Capacity: structs.Resources{MilliCPU: 4000, MemoryMB: 4096},
	}
}

// agent starts an agent process on a VM. edit may change its settings.
func (c *cluster) agent(vm string, edit ...func(*executor.Config)) *process {
	return c.agentWithClockRate(vm, 1, edit...)
}

// agentWithClockRate starts an agent whose clock runs at the given rate relative to
// all other clocks.
func (c *cluster) agentWithClockRate(vm string, rate float64, edit ...func(*executor.Config)) *process {
	ctx, cancel := context.WithCancel(c.ctx)
	p := &process{table: &faultProxy{}, relay: &faultProxy{}, worker: &faultProxy{}, cancel: cancel, done: make(chan struct{})}
	cfg := c.config(vm)
	for _, f := range edit {
		f(&cfg)
	}
	p.Executor = executor.New(cfg, proxiedTable{p.table, c.table}, proxiedTable{p.relay, c.table},
		proxiedWorker{p.worker, c.workers[vm], 1}, discardLogger())
	base := time.Now()
	p.SetClock(func() time.Time { return base.Add(time.Duration(float64(time.Since(base)) * rate)) })
	c.processes = append(c.processes, p)
	go func() {
		defer close(p.done)
		_ = p.Run(ctx)
	}()
	return p
}

// recovery runs a recovery loop until the cluster ends.
func (c *cluster) recovery() {
	r := recovery.New(recovery.Options{}, c.table, discardLogger())
	go func() { _ = r.Run(c.ctx) }()
}

// scheduler places pending tasks every second, first fit, until the cluster ends.
// It never uses the VMs in except.
func (c *cluster) scheduler(except ...string) {
	go func() {
		for sleepFor(c.ctx, time.Second) {
			c.place(except...)
		}
	}()
}

func sleepFor(ctx context.Context, d time.Duration) bool {
	select {
	case <-ctx.Done():
		return false
	case <-time.After(d):
		return true
	}
}

// place runs one scheduling pass. It ignores errors, which the injected faults
// cause.
func (c *cluster) place(except ...string) {
	ctx, cancel := context.WithTimeout(c.ctx, 5*time.Second)
	defer cancel()
	tasks, err := state.List[structs.Task](ctx, c.table, state.TaskPrefix)
	if err != nil {
		return
	}
	for _, row := range tasks {
		if row.Value.State != structs.StatePending {
			continue
		}
		for _, vm := range c.vms {
			if !slices.Contains(except, vm) && c.placeOn(ctx, row, vm) == nil {
				break
			}
		}
	}
}

func (c *cluster) placeOn(ctx context.Context, row task.Row, id string) error {
	vm, err := state.Get[structs.VM](ctx, c.table, state.VMKey(id))
	if err != nil || !vm.Exists() {
		return errors.Join(err, errors.New("no such VM"))
	}
	zone, err := state.Get[structs.Zone](ctx, c.table, state.ZoneKey(vm.Value.Zone))
	if err != nil {
		return err
	}
	tx := task.NewTx(time.Now())
	if err := tx.Place(row, vm, zone, row.Value.Spec.Declared, "first fit"); err != nil {
		return err
	}
	if err := tx.Commit(ctx, c.table); err != nil {
		return err
	}
	if c.onPlaced != nil {
		c.onPlaced(id)
	}
	return nil
}

func batchSpec() structs.TaskSpec {
	return structs.TaskSpec{
		Name: "recalibration", Kind: structs.KindBatch, Team: "works",
		Declared: structs.Resources{MilliCPU: 1000, MemoryMB: 512}, DurationMS: taskWork.Milliseconds(),
	}
}

// submit creates a pending task.
func (c *cluster) submit(t must.T, id string, spec structs.TaskSpec) {
	t.Helper()
	tx := task.NewTx(time.Now())
	tx.Submit(id, spec)
	must.NoError(t, tx.Commit(c.ctx, c.table))
}

// task reads a task's row, retrying while the table's faults prevent it.
func (c *cluster) task(t must.T, id string) structs.Task {
	t.Helper()
	for {
		ctx, cancel := context.WithTimeout(c.ctx, 2*time.Second)
		row, err := state.Get[structs.Task](ctx, c.table, state.TaskKey(id))
		cancel()
		if err == nil {
			return row.Value
		}
		time.Sleep(100 * time.Millisecond)
		must.NoError(t, c.ctx.Err())
	}
}

// commitTransition commits a transition of a task together with its VM's row and
// retries conflicts.
func (c *cluster) commitTransition(id string, f func(tx *task.Tx, row task.Row, vm task.VMRow) error) error {
	ctx, cancel := context.WithTimeout(c.ctx, 10*time.Second)
	defer cancel()
	var err error
	for range 10 {
		var row task.Row
		if row, err = state.Get[structs.Task](ctx, c.table, state.TaskKey(id)); err != nil {
			return err
		}
		var vm task.VMRow
		if vm, err = state.Get[structs.VM](ctx, c.table, state.VMKey(row.Value.Owner.VM)); err != nil {
			return err
		}
		tx := task.NewTx(time.Now())
		if err = f(tx, row, vm); err != nil {
			return err
		}
		if err = tx.Commit(ctx, c.table); !errors.Is(err, platform.ErrConflict) {
			return err
		}
	}
	return err
}

func (c *cluster) evict(id string) error {
	return c.commitTransition(id, func(tx *task.Tx, row task.Row, vm task.VMRow) error { return tx.Evict(row, vm, "guard") })
}

// setZone sets the state of the test zone.
func (c *cluster) setZone(s structs.ZoneState) error { return c.setZoneContext(c.ctx, s) }

func (c *cluster) setZoneContext(ctx context.Context, s structs.ZoneState) error {
	row, err := state.Get[structs.Zone](ctx, c.table, state.ZoneKey(testZone))
	if err != nil {
		return err
	}
	tx := state.NewTx()
	tx.Put(row.Key, row.Version, structs.Zone{Name: testZone, State: s})
	if err := state.Commit(ctx, c.table, tx); err != nil {
		return err
	}
	delete(c.drainedAt, testZone)
	if s == structs.ZoneDrained {
		c.drainedAt[testZone] = time.Now()
	}
	return nil
}

// runs returns the runs of a task on all workers, ordered by start time.
func (c *cluster) runs(id string) []standin.Run {
	var runs []standin.Run
	for _, vm := range c.vms {
		for _, r := range c.workers[vm].Runs() {
			if r.ID == id {
				runs = append(runs, r)
			}
		}
	}
	slices.SortFunc(runs, func(a, b standin.Run) int { return a.From.Compare(b.From) })
	return runs
}

// waitFor waits in virtual time until f returns true and fails the test after
// limit.
func (c *cluster) waitFor(t must.T, limit time.Duration, what string, f func() bool) {
	t.Helper()
	for end := time.Now().Add(limit); time.Now().Before(end); time.Sleep(250 * time.Millisecond) {
		if f() {
			return
		}
	}
	must.True(t, f(), must.Sprintf("condition not met within %s: %s", limit, what))
}

func (c *cluster) waitForState(t must.T, id string, want structs.TaskState, limit time.Duration) {
	t.Helper()
	c.waitFor(t, limit, fmt.Sprintf("%s %s", id, want), func() bool { return c.task(t, id).State == want })
}

// verify checks what the workers really ran: each task in one place at a time,
// within the VMs' capacity, and each completion counted once.
func (c *cluster) verify(t must.T) {
	t.Helper()
	c.table.Faults().Clear()
	rows, err := state.List[structs.Task](c.ctx, c.table, state.TaskPrefix)
	must.NoError(t, err)
	for _, row := range rows {
		runs := c.runs(row.Value.ID)
		for i := 1; i < len(runs); i++ {
			must.False(t, runs[i-1].To.IsZero() || runs[i].From.Before(runs[i-1].To),
				must.Sprintf("%s has two concurrent runs: %s", row.Value.ID, c.describe(runs)))
		}
		finals := 0
		for _, h := range row.Value.History {
			if h.To.Final() {
				finals++
			}
		}
		must.LessEq(t, 1, finals, must.Sprintf("%s ended more than once", row.Value.ID))
	}
	c.verifyCapacity(t)
}

func (c *cluster) verifyCapacity(t must.T) {
	t.Helper()
	vms, err := state.List[structs.VM](c.ctx, c.table, state.VMPrefix)
	must.NoError(t, err)
	for _, vm := range vms {
		must.True(t, vm.Value.Reserved().Fits(vm.Value.Capacity), must.Sprintf("reservations of VM %s exceed its capacity", vm.Value.ID))
		must.True(t, c.workers[vm.Value.ID].Used().Fits(vm.Value.Capacity), must.Sprintf("tasks on VM %s exceed its capacity", vm.Value.ID))
	}
}

func (c *cluster) describe(runs []standin.Run) string {
	s := ""
	for _, r := range runs {
		to := "now"
		if !r.To.IsZero() {
			to = r.To.Sub(c.started).String()
		}
		s += fmt.Sprintf("[%s fence %d %s-%s %s done %s] ", r.VM, r.Fence, r.From.Sub(c.started), to, r.Phase, r.Done)
	}
	return s
}
