package guard

import (
	"context"
	"errors"
	"fmt"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/apex/log"

	"bamboowood/internal/colocation"
	"bamboowood/internal/control"
	"bamboowood/internal/executor"
	"bamboowood/internal/platform"
	"bamboowood/internal/state"
	"bamboowood/internal/structs"
	"bamboowood/internal/task"
	"bamboowood/internal/usage"
)

// DefaultInterval is the time between two measurements.
const DefaultInterval = 2 * time.Second

// defaultCallTimeout bounds one call to the worker or the table.
const defaultCallTimeout = 2 * time.Second

// Executor lists and checkpoints the tasks that run on the VM; see executor.Executor.
type Executor interface {
	Running() []executor.RunningTask
	Checkpoint(ctx context.Context, id string, fence int64)
	PlacementsChanged()
}

// Options configure a Guard. Zero durations take the defaults.
type Options struct {
	VM       string
	Services []string
	Slots    int
	Interval time.Duration
	// Colocation are the thresholds and limits of throttling and eviction.
	Colocation colocation.GuardOptions
}

// Guard measures the services of one VM and throttles, checkpoints and evicts its tasks.
// It is not safe for concurrent use.
type Guard struct {
	opts      Options
	meter     *Meter
	executor  Executor
	worker    platform.Worker
	table     platform.Table
	control   *control.Holder
	log       log.Interface
	peaks     *usage.Recorder
	estimator *colocation.Estimator
	policy    *colocation.Guard
	epoch     time.Time
	// windowStart is the start of the current window; shares are the fractions of full
	// speed at which the tasks may run, by task and fence.
	windowStart time.Duration
	shares      map[runKey]float64
}

type runKey struct {
	id    string
	fence int64
}

// New returns a Guard. The VM's requests must go through meter.
func New(opts Options, meter *Meter, exec Executor, worker platform.Worker, table platform.Table, holder *control.Holder, logger log.Interface) *Guard {
	if opts.Interval <= 0 {
		opts.Interval = DefaultInterval
	}
	estimator := colocation.NewEstimator()
	return &Guard{
		opts: opts, meter: meter, executor: exec, worker: worker, table: table, control: holder, log: logger,
		peaks: usage.NewRecorder(table), estimator: estimator,
		policy: colocation.NewGuard(opts.Colocation, estimator),
		epoch:  time.Now(), shares: map[runKey]float64{},
	}
}

// Run measures at each interval and carries out the resulting actions until ctx ends. It
// returns the error of ctx.
func (g *Guard) Run(ctx context.Context) error {
	ticker := time.NewTicker(g.opts.Interval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-ticker.C:
			g.round(ctx)
		}
	}
}

func (g *Guard) now() time.Duration { return time.Since(g.epoch) }

// round takes one measurement and carries out the resulting actions.
func (g *Guard) round(ctx context.Context) {
	running := g.executor.Running()
	g.trackRunning(ctx, running)
	g.reportUsage(ctx, running)
	m := g.measure(running)
	actions := g.policy.Decide(g.now(), m)
	for _, a := range actions {
		if err := g.apply(ctx, a, running); err != nil {
			failures.Inc()
			g.log.WithError(err).WithField("task", a.TaskID).WithField("action", string(a.Kind)).Warn("guard action failed")
		}
	}
	if len(actions) > 0 {
		g.policy.Applied(g.now())
	}
}

// trackRunning throttles newly started tasks to their start share and removes the shares
// of tasks that have ended.
func (g *Guard) trackRunning(ctx context.Context, running []executor.RunningTask) {
	shares := make(map[runKey]float64, len(running))
	for _, t := range running {
		k := runKey{t.ID, t.Fence}
		share, ok := g.shares[k]
		if !ok {
			share = g.startShare(ctx, t)
		}
		shares[k] = share
	}
	g.shares = shares
}

// startShare throttles a new task and returns its share, which is 1 if throttling failed.
func (g *Guard) startShare(ctx context.Context, t executor.RunningTask) float64 {
	share := g.policy.StartShare(g.opts.Services, t.Spec.Name)
	if share >= 1 {
		return 1
	}
	if err := g.throttle(ctx, t, share); err != nil {
		failures.Inc()
		return 1
	}
	return share
}

// measure ends the current window and returns its measurement. It also adds samples to the
// slowdown estimator.
func (g *Guard) measure(running []executor.RunningTask) colocation.Measurement {
	taken := g.now()
	m := colocation.Measurement{From: g.windowStart, Taken: taken}
	load := map[string]float64{}
	for _, t := range running {
		share := g.shares[runKey{t.ID, t.Fence}]
		load[t.Spec.Name] += share
		m.Tasks = append(m.Tasks, colocation.Task{
			ID: t.ID, Kind: t.Spec.Name, TaskKind: t.Spec.Kind, Priority: t.Spec.Priority,
			Share: share, MilliCPU: t.Spec.Declared.MilliCPU,
		})
	}
	windows := g.meter.take()
	services := g.control.Load().Services
	for _, name := range g.opts.Services {
		w := windows[name]
		wait := time.Duration(services[name].WaitMS) * time.Millisecond
		if wait <= 0 {
			continue // no wait is configured for the service (yet)
		}
		m.Services = append(m.Services, colocation.Tail{Service: name, Latency: w.tail, Wait: wait, Requests: w.count})
		if w.count >= colocation.MinRequests {
			g.estimator.Add(colocation.Sample{
				Service: name, Taken: taken, MeanTime: w.mean, Requests: w.count, Load: load,
				Utilisation: g.utilisation(w, taken-g.windowStart),
			})
		}
		tailRatio(name).Set(w.tail.Seconds() / wait.Seconds())
	}
	g.windowStart = taken
	return m
}

// utilisation returns the mean fraction of the slots that were in use, 0 to 1.
func (g *Guard) utilisation(w window, duration time.Duration) float64 {
	if duration <= 0 || g.opts.Slots <= 0 {
		return 0
	}
	return min(1, w.busy.Seconds()/(duration.Seconds()*float64(g.opts.Slots)))
}

// apply carries out one action.
func (g *Guard) apply(ctx context.Context, a colocation.Action, running []executor.RunningTask) error {
	t, ok := findTask(running, a.TaskID)
	if !ok {
		return nil // the task has ended since the measurement
	}
	actionsTotal(a.Kind).Inc()
	g.log.WithField("task", a.TaskID).WithField("action", string(a.Kind)).WithField("share", a.Share).
		WithField("service", a.Service).WithField("ratio", a.Ratio).Info("applying guard action")
	switch a.Kind {
	case colocation.SetShare:
		return g.throttle(ctx, t, a.Share)
	case colocation.TakeCheckpoint:
		g.executor.Checkpoint(ctx, t.ID, t.Fence)
		return nil
	case colocation.EvictTask:
		return g.evict(ctx, t, a)
	}
	return fmt.Errorf("unknown action kind %q", a.Kind)
}

func findTask(running []executor.RunningTask, id string) (executor.RunningTask, bool) {
	for _, t := range running {
		if t.ID == id {
			return t, true
		}
	}
	return executor.RunningTask{}, false
}

func (g *Guard) throttle(ctx context.Context, t executor.RunningTask, share float64) error {
	ctx, cancel := context.WithTimeout(ctx, defaultCallTimeout)
	defer cancel()
	if err := g.worker.Throttle(ctx, t.ID, t.Fence, share); err != nil {
		return fmt.Errorf("throttle: %w", err)
	}
	g.shares[runKey{t.ID, t.Fence}] = share
	return nil
}

// evict orders the task's eviction from this VM in a transaction. The executor carries out
// the eviction.
func (g *Guard) evict(ctx context.Context, t executor.RunningTask, a colocation.Action) error {
	ctx, cancel := context.WithTimeout(ctx, defaultCallTimeout)
	defer cancel()
	row, err := state.Get[structs.Task](ctx, g.table, state.TaskKey(t.ID))
	if err != nil {
		return err
	}
	if row.Value.Fence != t.Fence || row.Value.State != structs.StateRunning {
		return nil // the task has been stopped, evicted or placed again
	}
	vm, err := state.Get[structs.VM](ctx, g.table, state.VMKey(g.opts.VM))
	if err != nil {
		return err
	}
	tx := task.NewTx(time.Now())
	reason := fmt.Sprintf("disturbs %s (%.2f of the agreed wait)", a.Service, a.Ratio)
	if err := tx.Evict(row, vm, reason); err != nil {
		return err
	}
	err = tx.Commit(ctx, g.table)
	if errors.Is(err, platform.ErrConflict) {
		return nil // retried after the next measurement
	}
	if err == nil {
		g.executor.PlacementsChanged()
	}
	return err
}

// reportUsage raises the stored usage peaks of the running tasks' names.
func (g *Guard) reportUsage(ctx context.Context, running []executor.RunningTask) {
	if len(running) == 0 {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, defaultCallTimeout)
	defer cancel()
	statuses, err := g.worker.List(ctx)
	if err != nil {
		failures.Inc()
		return
	}
	for _, s := range statuses {
		t, ok := findTask(running, s.ID)
		if !ok || t.Fence != s.Fence || s.Phase != platform.PhaseRunning {
			continue
		}
		if err := g.peaks.Report(ctx, t.Spec.Name, s.Usage); err != nil {
			failures.Inc()
			return
		}
	}
}

var failures = metrics.NewCounter("bamboowood_guard_failures_total")

func actionsTotal(kind colocation.ActionKind) *metrics.Counter {
	return metrics.GetOrCreateCounter(fmt.Sprintf(`bamboowood_guard_actions_total{action=%q}`, string(kind)))
}

func tailRatio(service string) *metrics.Gauge {
	return metrics.GetOrCreateGauge(fmt.Sprintf(`bamboowood_service_tail_ratio{service=%q}`, service), nil)
}
