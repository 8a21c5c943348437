package daemon

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"net/http/pprof"
	"runtime"
	"runtime/debug"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/apex/log"
	"github.com/oklog/run"
	"golang.org/x/sync/errgroup"

	"bamboowood/internal/control"
	"bamboowood/internal/exchange"
	"bamboowood/internal/executor"
	"bamboowood/internal/guard"
	"bamboowood/internal/ingress"
	"bamboowood/internal/link"
	"bamboowood/internal/netcount"
	"bamboowood/internal/platform"
	"bamboowood/internal/settings"
	"bamboowood/internal/upstream"
)

const (
	// maxSlotWait is how long a request that an entry offers waits for a free slot of the
	// upstream, the service that this agent serves. A slot admits one request at a time.
	maxSlotWait = 10 * time.Millisecond
	// agentGCPercent keeps the heap close to the size of the live objects: memory is scarcer
	// than processor time on the agent's node.
	agentGCPercent = 50
	// agentPlatformConns bounds an agent's connections to each platform service.
	agentPlatformConns = 4
	bytesPerMB         = 1 << 20
)

// Agent is one agent process: the sessions with the entries, the slots of the upstream, and
// the tasks on the VM's worker.
type Agent struct {
	cfg      settings.Agent
	log      log.Interface
	admin    net.Listener
	server   *exchange.Server
	link     *link.Agent
	executor *executor.Executor
	guard    *guard.Guard // nil when off
}

// NewAgent builds an agent. Relative paths in cfg are resolved against the directory of file,
// the path of the settings file.
func NewAgent(cfg settings.Agent, file string, logger log.Interface) (*Agent, error) {
	dial, err := dialer(cfg.TLS, file)
	if err != nil {
		return nil, err
	}
	a := &Agent{cfg: cfg, log: logger.WithField("vm", cfg.VM)}
	if cfg.Admin != "" {
		if a.admin, err = net.Listen("tcp", cfg.Admin); err != nil {
			return nil, fmt.Errorf("admin: %w", err)
		}
		shared := newResources(resourceOptions{Limits: settings.Limits{MemoryMB: cfg.MemoryLimitMB}}, a.log)
		a.admin = shared.bounded(a.admin, "admin")
	}
	timeout := cfg.Platform.Timeout.Value()
	table := platform.NewTableClient(cfg.Platform.Table, platformClient(netcount.Platform, timeout, agentPlatformConns))
	worker := platform.NewWorkerClient(cfg.Worker, platformClient(netcount.Worker, timeout, agentPlatformConns))
	configHolder := control.NewHolder()
	meter := guard.NewMeter(upstream.NewClient(cfg.Upstream.URL, cfg.Upstream.Connections))
	a.server = exchange.NewServer(exchange.ServerOptions{Slots: cfg.Upstream.Slots, MaxSlotWait: maxSlotWait}, meter)
	a.link = link.NewAgent(link.AgentOptions{
		VM: cfg.VM, Zone: cfg.Zone, Rack: cfg.Rack,
		// The wall clock orders the incarnations of this VM's agent; it is never compared
		// with the clock of another machine.
		Incarnation: time.Now().UnixNano(),
		Services:    cfg.Upstream.Services,
		Seeds:       cfg.Entries, Holder: configHolder, Server: a.server, Dial: dial,
		OnPlacementsChanged: func() { a.executor.PlacementsChanged() },
		LeaseRemaining:      func() time.Duration { return a.executor.LeaseRemaining() },
		RunningTasks:        func() int { return a.executor.RunningTasks() },
	})
	a.executor = executor.New(executor.Config{
		VM: cfg.VM, Zone: cfg.Zone, Rack: cfg.Rack, Capacity: cfg.Capacity, ServiceReserve: cfg.ServiceReserve,
		Services: cfg.Upstream.Services, LeaseDuration: cfg.LeaseDuration.Value(),
		CheckpointInterval: cfg.Checkpoint.Value(), CallTimeout: cfg.Platform.Timeout.Value(),
	}, table, a.link.Table(), worker, a.log)
	if cfg.Guard.Enabled {
		a.guard = guard.New(guard.Options{
			VM: cfg.VM, Services: cfg.Upstream.Services, Slots: cfg.Upstream.Slots, Interval: cfg.Guard.Interval.Value(),
		}, meter, a.executor, worker, table, configHolder, a.log)
	}
	return a, nil
}

// LimitProcess sets the process's soft memory limit, garbage collection and processors to
// the agent's budget on its node. It is meant for processes that run only this agent.
func (a *Agent) LimitProcess() {
	runtime.GOMAXPROCS(a.cfg.Processors)
	debug.SetMemoryLimit(a.cfg.MemoryLimitMB * bytesPerMB)
	debug.SetGCPercent(agentGCPercent)
}

// Run serves until ctx ends, then shuts down gracefully.
func (a *Agent) Run(ctx context.Context) error {
	var g run.Group
	addStopSignal(&g, ctx)
	if a.admin != nil {
		server := &http.Server{Handler: adminHandler(), ReadHeaderTimeout: headerTimeout, IdleTimeout: idleTimeout}
		ingress.Configure(server)
		addServer(&g, a.admin, server, time.Second, nil)
	}
	// Actors are interrupted in this order, so that shutdown runs while the link and the
	// executor still do.
	addActor(&g, func(ctx context.Context) error { <-ctx.Done(); return nil }, a.shutdown)
	addActor(&g, a.link.Run, nil)
	if a.guard != nil {
		addActor(&g, a.guard.Run, nil)
	}
	addActor(&g, a.executor.Run, nil)
	return g.Run()
}

// shutdown stops the agent gracefully: it accepts no further requests, waits for those in
// flight, checkpoints the tasks and releases them.
func (a *Agent) shutdown() {
	a.log.Info("leaving")
	ctx, cancel := context.WithTimeout(context.Background(), a.cfg.DrainTimeout.Value())
	defer cancel()
	var g errgroup.Group
	g.Go(func() error { return a.link.Leave(ctx) })
	g.Go(func() error { return a.executor.Release(ctx) })
	if err := g.Wait(); err != nil {
		a.log.WithError(err).Warn("agent stopped before all requests and tasks were released")
		return
	}
	a.log.Info("left")
}

func adminHandler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("/metrics", func(w http.ResponseWriter, _ *http.Request) { metrics.WritePrometheus(w, true) })
	mux.HandleFunc("/healthz", func(w http.ResponseWriter, _ *http.Request) { _, _ = w.Write([]byte("ok\n")) })
	mux.HandleFunc("/debug/pprof/", pprof.Index)
	mux.HandleFunc("/debug/pprof/profile", pprof.Profile)
	return mux
}
