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

func quiet() log.Interface { return &log.Logger{Handler: discard.New(), Level: log.FatalLevel} }

// process is one agent process on a VM.
type process struct {
	*executor.Executor
	table, relay, worker *gate
	cancel               context.CancelFunc
	done                 chan struct{}
}

func (p *process) gates() []*gate { return []*gate{p.table, p.relay, p.worker} }

// kill ends the process as SIGKILL does.
func (p *process) kill() {
	for _, g := range p.gates() {
		g.set(func(g *gate) { g.dead = true })
	}
	p.cancel()
}

// freeze stops the process as SIGSTOP does, and returns its SIGCONT.
func (p *process) freeze() (thaw func()) {
	frozen := make(chan struct{})
	for _, g := range p.gates() {
		g.set(func(g *gate) { g.frozen = frozen })
	}
	return sync.OnceFunc(func() {
		for _, g := range p.gates() {
			g.set(func(g *gate) { g.frozen = nil })
		}
		close(frozen)
	})
}

// cluster is a table, VMs with workers, and the processes around them.
type cluster struct {
	ctx     context.Context
	table   *standin.Table
	objects *standin.Objects
	vms     []string
	workers map[string]*standin.Worker
	ended   []*process
	outAt   map[string]time.Time // zone -> when it was taken out, while it is
	started time.Time
	// poke is called with a VM that got a placement; nil leaves it to the poll.
	poke func(vm string)
}

// run makes a cluster of VMs "a", "b", ... and calls f; everything ends with it.
func run(t *testing.T, vms int, f func(c *cluster)) {
	t.Helper()
	ctx, cancel := context.WithCancel(t.Context())
	c := &cluster{
		ctx: ctx, table: standin.NewTable(), objects: standin.NewObjects(),
		workers: map[string]*standin.Worker{}, outAt: map[string]time.Time{}, started: time.Now(),
	}
	for i := range vms {
		vm := string(rune('a' + i))
		c.vms = append(c.vms, vm)
		c.workers[vm] = standin.NewWorker(standin.WorkerOptions{VM: vm, Objects: c.objects})
	}
	defer func() {
		cancel()
		for _, p := range c.ended {
			for _, g := range p.gates() {
				g.set(func(g *gate) { g.dead = true })
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

// agent starts an agent process on a VM; edit may change its settings.
func (c *cluster) agent(vm string, edit ...func(*executor.Config)) *process {
	return c.agentWithRate(vm, 1, edit...)
}

// agentWithRate starts an agent whose clock goes at rate against all others.
func (c *cluster) agentWithRate(vm string, rate float64, edit ...func(*executor.Config)) *process {
	ctx, cancel := context.WithCancel(c.ctx)
	p := &process{table: &gate{}, relay: &gate{}, worker: &gate{}, cancel: cancel, done: make(chan struct{})}
	cfg := c.config(vm)
	for _, f := range edit {
		f(&cfg)
	}
	p.Executor = executor.New(cfg, gatedTable{p.table, c.table}, gatedTable{p.relay, c.table},
		gatedWorker{p.worker, c.workers[vm], 1}, quiet())
	base := time.Now()
	p.SetClock(func() time.Time { return base.Add(time.Duration(float64(time.Since(base)) * rate)) })
	c.ended = append(c.ended, p)
	go func() {
		defer close(p.done)
		_ = p.Run(ctx)
	}()
	return p
}

// recovery runs a Recovery until the end.
func (c *cluster) recovery() {
	r := recovery.New(recovery.Options{}, c.table, quiet())
	go func() { _ = r.Run(c.ctx) }()
}

// scheduler places pending tasks every second, first fit, until the end.
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

// place makes one scheduling pass. Its errors are the faults under test.
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
	if c.poke != nil {
		c.poke(id)
	}
	return nil
}

func batchSpec() structs.TaskSpec {
	return structs.TaskSpec{
		Name: "recalibration", Kind: structs.KindBatch, Team: "works",
		Declared: structs.Resources{MilliCPU: 1000, MemoryMB: 512}, DurationMS: taskWork.Milliseconds(),
	}
}

// submit adds a task row.
func (c *cluster) submit(t must.T, id string, spec structs.TaskSpec) {
	t.Helper()
	tx := task.NewTx(time.Now())
	tx.Submit(id, spec)
	must.NoError(t, tx.Commit(c.ctx, c.table))
}

// task reads a task's row, as soon as the table's faults let it.
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

// order commits a transition of a task with its VM's row, retrying conflicts.
func (c *cluster) order(id string, f func(tx *task.Tx, row task.Row, vm task.VMRow) error) error {
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
	return c.order(id, func(tx *task.Tx, row task.Row, vm task.VMRow) error { return tx.Evict(row, vm, "guard") })
}

// setZone takes the test zone in or out.
func (c *cluster) setZone(s structs.ZoneState) error { return c.setZoneBy(c.ctx, s) }

func (c *cluster) setZoneBy(ctx context.Context, s structs.ZoneState) error {
	row, err := state.Get[structs.Zone](ctx, c.table, state.ZoneKey(testZone))
	if err != nil {
		return err
	}
	tx := state.NewTx()
	tx.Put(row.Key, row.Version, structs.Zone{Name: testZone, State: s})
	if err := state.Commit(ctx, c.table, tx); err != nil {
		return err
	}
	delete(c.outAt, testZone)
	if s == structs.ZoneDrained {
		c.outAt[testZone] = time.Now()
	}
	return nil
}

// runs returns the executions of one task on all workers in order of their start.
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

// until waits in virtual time for a condition.
func (c *cluster) until(t must.T, limit time.Duration, what string, f func() bool) {
	t.Helper()
	for end := time.Now().Add(limit); time.Now().Before(end); time.Sleep(250 * time.Millisecond) {
		if f() {
			return
		}
	}
	must.True(t, f(), must.Sprintf("not within %s: %s", limit, what))
}

func (c *cluster) untilState(t must.T, id string, want structs.TaskState, limit time.Duration) {
	t.Helper()
	c.until(t, limit, fmt.Sprintf("%s %s", id, want), func() bool { return c.task(t, id).State == want })
}

// verify checks the workers' ground truth for all tasks: one place at a time,
// within capacity, and each completion counted once.
func (c *cluster) verify(t must.T) {
	t.Helper()
	c.table.Faults().Clear()
	rows, err := state.List[structs.Task](c.ctx, c.table, state.TaskPrefix)
	must.NoError(t, err)
	for _, row := range rows {
		runs := c.runs(row.Value.ID)
		for i := 1; i < len(runs); i++ {
			must.False(t, runs[i-1].To.IsZero() || runs[i].From.Before(runs[i-1].To),
				must.Sprintf("%s runs twice at once: %s", row.Value.ID, c.describe(runs)))
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
		must.True(t, vm.Value.Reserved().Fits(vm.Value.Capacity), must.Sprintf("%s is overcommitted", vm.Value.ID))
		must.True(t, c.workers[vm.Value.ID].Used().Fits(vm.Value.Capacity), must.Sprintf("%s uses too much", vm.Value.ID))
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
