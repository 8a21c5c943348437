package daemon

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"time"

	"github.com/oklog/run"

	"bamboowood/internal/command"
	"bamboowood/internal/control"
	"bamboowood/internal/dispatch"
	"bamboowood/internal/entry"
	"bamboowood/internal/link"
	"bamboowood/internal/netcount"
	"bamboowood/internal/operators"
	"bamboowood/internal/platform"
	"bamboowood/internal/query"
	"bamboowood/internal/recovery"
	"bamboowood/internal/routing"
	"bamboowood/internal/scheduler"
	"bamboowood/internal/state"
	"bamboowood/internal/structs"
)

const (
	// wavesInterval is the time between two looks for cancellations to carry on.
	wavesInterval = 10 * time.Second
	// bootstrapDelay is the pause between tries to create the first rows.
	bootstrapDelay = 2 * time.Second
	// operatorsTimeout bounds an operator's request in flight at a stop.
	operatorsTimeout = 5 * time.Second
)

// jobs joins submission and lookup of tasks for the callers' HTTP.
type jobs struct {
	*command.Commander
	table platform.Table
	// submitted is called after each accepted submission.
	submitted func()
}

// SubmitTask submits and asks the scheduler for a pass.
func (j jobs) SubmitTask(ctx context.Context, id string, spec structs.TaskSpec) (structs.Task, error) {
	t, err := j.Commander.SubmitTask(ctx, id, spec)
	if err == nil {
		j.submitted()
	}
	return t, err
}

// GetTask returns platform.ErrNotFound for a task that does not exist.
func (j jobs) GetTask(ctx context.Context, id string) (structs.Task, error) {
	row, err := state.Get[structs.Task](ctx, j.table, state.TaskKey(id))
	if err != nil {
		return structs.Task{}, err
	}
	if !row.Exists() {
		return structs.Task{}, fmt.Errorf("job %s: %w", id, platform.ErrNotFound)
	}
	return row.Value, nil
}

// connect builds the parts of the entry and joins them.
func (e *Entry) connect(tokens []operators.Token) {
	e.table = platform.NewTableClient(e.cfg.Platform.Table, platformClient(netcount.Platform, e.cfg.Platform.Timeout.Value(), platformConns))
	e.control = control.NewHolder()
	e.peers = newPeerLoop(e.cfg.Name, e.AgentsAddr(), e.cfg.Zone, e.table, e.log)
	e.config = newConfigLoop(e.table, e.control, e.cfg.PollInterval.Value(), func() { e.link.PublishConfig() }, e.log)
	e.link = link.NewEntry(link.EntryOptions{
		Address: e.AgentsAddr(), Zone: e.cfg.Zone, Entries: e.peers.list, Holder: e.control, Table: e.table,
		OnSnapshot:   func(s *routing.Snapshot) { e.dispatcher.SetSnapshot(s) },
		OnTasksEnded: func(vm string) { e.scheduler.VMChanged(vm) },
		OnLoadReport: func(vm, service string, load structs.Load) { e.dispatcher.RecordLoad(vm, service, load) },
	})
	e.dispatcher = dispatch.New(dispatch.DefaultOptions(), e.link, e.table)
	e.scheduler = scheduler.New(scheduler.Options{}, e.table, e.control, e.link.NotifyPlacements, e.cfg.Name, e.log)
	e.recovery = recovery.New(recovery.Options{}, e.table, e.log)
	e.commander = command.New(e.table, time.Now)
	e.callers = entry.NewCallers(e.control, e.dispatcher, jobs{e.commander, e.table, e.scheduler.Wake}, entry.Limits{
		MaxBodyBytes: e.cfg.Callers.MaxBodyBytes, MaxBodiesBytes: e.cfg.Callers.MaxBodiesBytes,
		RequestsPerSecond: e.cfg.Callers.RequestsPerSecond, Burst: e.cfg.Callers.Burst,
		WriteTimeout: e.cfg.Callers.WriteTimeout.Value(),
	})
	e.operators = operators.Handler(operators.Options{
		Commander: e.commander, Queries: query.New(e.table, e, e.control), Tokens: tokens,
		OnChange: func() { e.config.poke(); e.scheduler.Wake() }, Ready: e.ready,
	})
}

// Upstreams implements query.LocalView.
func (e *Entry) Upstreams() []structs.UpstreamStatus { return e.link.Upstreams() }

// Entries implements query.LocalView.
func (e *Entry) Entries() []structs.EntryStatus {
	return e.peers.statuses(len(e.link.Upstreams()), e.scheduler.Scheduling(), e.control.Version())
}

// ready is the balancer's check: an entry that drains or has not met any agent
// yet takes no callers.
func (e *Entry) ready() error {
	if e.draining.Load() {
		return errors.New("draining")
	}
	if e.control.Version() == 0 {
		return errors.New("no configuration yet")
	}
	if e.link.Sessions() == 0 {
		return errors.New("no agent is connected yet")
	}
	return nil
}

// Run serves until ctx ends, then stops gracefully: new requests are refused as
// not run, those in flight end, and only then do the sessions close.
func (e *Entry) Run(ctx context.Context) error {
	var g run.Group
	addParent(&g, ctx)
	addServer(&g, e.addr.callers, e.callersServer(), e.cfg.DrainTimeout.Value(), e.drain)
	addServer(&g, e.addr.operators, &http.Server{
		Handler: e.operators, ReadHeaderTimeout: headerTimeout, ReadTimeout: e.cfg.Callers.ReadTimeout.Value(),
		IdleTimeout: idleTimeout, MaxHeaderBytes: e.cfg.Callers.MaxHeaderBytes,
	}, operatorsTimeout, nil)
	addContext(&g, e.scheduler.Run, nil)
	addContext(&g, e.recovery.Run, nil)
	addContext(&g, e.finishWaves, nil)
	addContext(&g, e.config.run, nil)
	addContext(&g, e.bootstrap, nil)
	addContext(&g, e.peers.run, e.releasePeer)
	addContext(&g, func(ctx context.Context) error { return e.link.Serve(ctx, e.addr.agents) }, nil)
	e.log.WithField("callers", e.CallersAddr()).WithField("operators", e.OperatorsAddr()).
		WithField("agents", e.AgentsAddr()).Info("entry ready")
	err := g.Run()
	e.log.Info("entry stopped")
	return err
}

func (e *Entry) callersServer() *http.Server {
	c := e.cfg.Callers
	return &http.Server{
		Handler: e.callers, ReadHeaderTimeout: headerTimeout, ReadTimeout: c.ReadTimeout.Value(),
		IdleTimeout: idleTimeout, MaxHeaderBytes: c.MaxHeaderBytes,
	}
}

// drain refuses new requests and waits for those in flight.
func (e *Entry) drain() {
	e.draining.Store(true)
	e.log.Info("draining")
	e.link.Leave()
	ctx, cancel := context.WithTimeout(context.Background(), e.cfg.DrainTimeout.Value())
	defer cancel()
	if err := e.dispatcher.Drain(ctx); err != nil {
		e.log.WithError(err).Warn("requests were still in flight at the end of the drain timeout")
	}
}

// finishWaves carries on cancellations whose entry has died.
func (e *Entry) finishWaves(ctx context.Context) error {
	return e.commander.RunBulkCancels(ctx, wavesInterval, e.scheduler.Scheduling, func(err error) {
		e.log.WithError(err).Warn("cancellations not carried on")
	})
}

func (e *Entry) releasePeer() {
	ctx, cancel := context.WithTimeout(context.Background(), e.cfg.Platform.Timeout.Value())
	defer cancel()
	if err := e.peers.release(ctx); err != nil {
		e.log.WithError(err).Debug("row of this entry not deleted")
	}
}

// bootstrap creates the first rows once the table answers, then waits.
func (e *Entry) bootstrap(ctx context.Context) error {
	for {
		err := e.commander.Bootstrap(ctx, e.cfg.Bootstrap.Config())
		if err == nil {
			e.config.poke()
			<-ctx.Done()
			return nil
		}
		e.log.WithError(err).Warn("first rows not created; trying again")
		select {
		case <-ctx.Done():
			return nil
		case <-time.After(bootstrapDelay):
		}
	}
}
