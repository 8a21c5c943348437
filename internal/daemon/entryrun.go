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
	"bamboowood/internal/ingress"
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
	"bamboowood/internal/wire"
)

const (
	// bulkCancelInterval is the time between two checks for unfinished bulk cancellations.
	bulkCancelInterval = 10 * time.Second
	// bootstrapRetryDelay is the pause between attempts to create the initial rows.
	bootstrapRetryDelay = 2 * time.Second
	// operatorsTimeout bounds the wait for operators' requests in flight at shutdown.
	operatorsTimeout = 5 * time.Second
)

// jobService implements entry.Jobs, which submits and reads what callers name a job and the
// other packages of this deployment a task.
type jobService struct {
	*command.Commander
	table platform.Table
	// submitted is called after each accepted submission.
	submitted func()
}

// SubmitTask submits the task and, if it is accepted, triggers a scheduling pass.
func (j jobService) SubmitTask(ctx context.Context, id string, spec structs.TaskSpec) (structs.Task, error) {
	t, err := j.Commander.SubmitTask(ctx, id, spec)
	if err == nil {
		j.submitted()
	}
	return t, err
}

// GetTask returns platform.ErrNotFound for a task that does not exist.
func (j jobService) GetTask(ctx context.Context, id string) (structs.Task, error) {
	row, err := state.Get[structs.Task](ctx, j.table, state.TaskKey(id))
	if err != nil {
		return structs.Task{}, err
	}
	if !row.Exists() {
		return structs.Task{}, fmt.Errorf("job %s: %w", id, platform.ErrNotFound)
	}
	return row.Value, nil
}

// connect builds the components of the entry and connects them to each other.
func (e *Entry) connect(tokens []operators.Token) {
	e.table = platform.NewTableClient(e.cfg.Platform.Table, platformClient(netcount.Platform, e.cfg.Platform.Timeout.Value(), platformConns))
	e.control = control.NewHolder()
	e.peers = newPeerLoop(e.cfg.Name, e.AgentsAddr(), e.cfg.Zone, e.table, e.log)
	e.config = newConfigLoop(e.table, e.control, e.cfg.PollInterval.Value(), func() { e.link.PublishConfig() }, e.log)
	e.link = link.NewEntry(link.EntryOptions{
		Address: e.AgentsAddr(), Zone: e.cfg.Zone, Entries: e.peers.entryAddresses, Holder: e.control, Table: e.table,
		Bounds:       wire.Bounds{Pool: e.shared.messages, Report: e.shared.report},
		OnSnapshot:   func(s *routing.Snapshot) { e.dispatcher.SetSnapshot(s) },
		OnTasksEnded: func(vm string) { e.scheduler.VMChanged(vm) },
		OnLoadReport: func(vm, service string, load structs.Load) { e.dispatcher.RecordLoad(vm, service, load) },
	})
	e.dispatcher = dispatch.New(dispatch.DefaultOptions(), e.link, e.table)
	e.scheduler = scheduler.New(scheduler.Options{}, e.table, e.control, e.link.NotifyPlacements, e.cfg.Name, e.log)
	e.recovery = recovery.New(recovery.Options{}, e.table, e.log)
	e.commander = command.New(e.table, time.Now)
	e.callers = entry.NewCallers(e.control, e.dispatcher, jobService{e.commander, e.table, e.scheduler.Wake}, entry.Limits{
		MaxBodyBytes: e.cfg.Callers.MaxBodyBytes, Bodies: e.shared.bodies,
		RequestsPerSecond: e.cfg.Callers.RequestsPerSecond, Burst: e.cfg.Callers.Burst,
	})
	e.operators = operators.Handler(operators.Options{
		Commander: e.commander, Queries: query.New(e.table, e, e.control), Tokens: tokens, Bodies: e.shared.bodies,
		OnChange: func() { e.config.refreshNow(); e.scheduler.Wake() }, Ready: e.ready,
	})
}

// Upstreams implements query.LocalView.
func (e *Entry) Upstreams() []structs.UpstreamStatus { return e.link.Upstreams() }

// Entries implements query.LocalView.
func (e *Entry) Entries() []structs.EntryStatus {
	return e.peers.statuses(len(e.link.Upstreams()), e.scheduler.Scheduling(), e.control.Version())
}

// ready is the load balancer's readiness check. An entry is not ready while it drains, and
// until it has a configuration and a session with an agent.
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

// Run serves until ctx ends, then stops gracefully: new requests are refused as not run, and
// the sessions with agents close only after the requests in flight have ended.
func (e *Entry) Run(ctx context.Context) error {
	var g run.Group
	addStopSignal(&g, ctx)
	addServer(&g, e.listeners.callers, e.httpServer(e.callers), e.cfg.DrainTimeout.Value(), e.drain)
	addServer(&g, e.listeners.operators, e.httpServer(e.operators), operatorsTimeout, nil)
	addActor(&g, e.scheduler.Run, nil)
	addActor(&g, e.recovery.Run, nil)
	addActor(&g, e.resumeBulkCancels, nil)
	addActor(&g, e.config.run, nil)
	addActor(&g, e.bootstrap, nil)
	addActor(&g, e.peers.run, e.deletePeerRow)
	addActor(&g, func(ctx context.Context) error { return e.link.Serve(ctx, e.listeners.agents) }, nil)
	e.log.WithField("callers", e.CallersAddr()).WithField("operators", e.OperatorsAddr()).
		WithField("agents", e.AgentsAddr()).Info("entry ready")
	err := g.Run()
	e.log.Info("entry stopped")
	return err
}

// httpServer returns a server with the limits of the callers' settings.
func (e *Entry) httpServer(handler http.Handler) *http.Server {
	c := e.cfg.Callers
	server := &http.Server{
		Handler: handler, ReadHeaderTimeout: headerTimeout, ReadTimeout: c.ReadTimeout.Value(),
		IdleTimeout: idleTimeout, MaxHeaderBytes: c.MaxHeaderBytes,
	}
	ingress.Configure(server)
	return server
}

// drain refuses new requests and waits for those in flight, for at most the drain timeout.
func (e *Entry) drain() {
	e.draining.Store(true)
	e.log.Info("draining")
	e.link.Leave()
	ctx, cancel := context.WithTimeout(context.Background(), e.cfg.DrainTimeout.Value())
	defer cancel()
	if err := e.dispatcher.Drain(ctx); err != nil {
		e.log.WithError(err).Warn("drain timeout expired with requests in flight")
	}
}

// resumeBulkCancels finishes bulk cancellations whose entry has failed.
func (e *Entry) resumeBulkCancels(ctx context.Context) error {
	return e.commander.RunBulkCancels(ctx, bulkCancelInterval, e.scheduler.Scheduling, func(err error) {
		e.log.WithError(err).Warn("resuming bulk cancellations failed")
	})
}

func (e *Entry) deletePeerRow() {
	ctx, cancel := context.WithTimeout(context.Background(), e.cfg.Platform.Timeout.Value())
	defer cancel()
	if err := e.peers.deleteRow(ctx); err != nil {
		e.log.WithError(err).Debug("deleting the row of this entry failed")
	}
}

// bootstrap creates the initial rows, retrying until the table responds, then waits for ctx to
// end.
func (e *Entry) bootstrap(ctx context.Context) error {
	for {
		err := e.commander.Bootstrap(ctx, e.cfg.Bootstrap.Config())
		if err == nil {
			e.config.refreshNow()
			<-ctx.Done()
			return nil
		}
		e.log.WithError(err).Warn("creating the initial rows failed; retrying")
		select {
		case <-ctx.Done():
			return nil
		case <-time.After(bootstrapRetryDelay):
		}
	}
}
