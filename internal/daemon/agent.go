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
	"bamboowood/internal/link"
	"bamboowood/internal/netcount"
	"bamboowood/internal/platform"
	"bamboowood/internal/settings"
	"bamboowood/internal/upstream"
)

const (
	// offerHold is how long an agent lets an offer wait for a slot.
	offerHold = 10 * time.Millisecond
	// agentGCPercent keeps the heap close to what is live: the node's memory is
	// scarcer than its processor time.
	agentGCPercent = 50
	// agentPlatformConns bounds an agent's connections to each platform service.
	agentPlatformConns = 4
	megabyte           = 1 << 20
)

// Agent is one agent process: the link to the entries, the slots of the
// upstream, and the tasks on the VM's worker.
type Agent struct {
	cfg      settings.Agent
	log      log.Interface
	admin    net.Listener
	server   *exchange.Server
	link     *link.Agent
	executor *executor.Executor
	guard    *guard.Guard // nil when off
}

// NewAgent connects the parts of an agent. file is the settings file that
// relative paths are taken from.
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
	}
	timeout := cfg.Platform.Timeout.Value()
	table := platform.NewTableClient(cfg.Platform.Table, platformClient(netcount.Platform, timeout, agentPlatformConns))
	worker := platform.NewWorkerClient(cfg.Worker, platformClient(netcount.Worker, timeout, agentPlatformConns))
	holder := control.NewHolder()
	meter := guard.NewMeter(upstream.NewClient(cfg.Upstream.URL, cfg.Upstream.Connections))
	a.server = exchange.NewServer(exchange.ServerOptions{Slots: cfg.Upstream.Slots, MaxSlotWait: offerHold}, meter)
	a.link = link.NewAgent(link.AgentOptions{
		VM: cfg.VM, Zone: cfg.Zone, Rack: cfg.Rack,
		// The wall clock orders the lives of this VM's own agents and is
		// compared with no other machine's.
		Incarnation: time.Now().UnixNano(),
		Services:    cfg.Upstream.Services,
		Seeds:       cfg.Entries, Holder: holder, Server: a.server, Dial: dial,
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
		}, meter, a.executor, worker, table, holder, a.log)
	}
	return a, nil
}

// LimitProcess sets the process's soft memory limit, garbage collection and
// processors for a node's budget. It is for processes that hold one agent alone.
func (a *Agent) LimitProcess() {
	runtime.GOMAXPROCS(a.cfg.Processors)
	debug.SetMemoryLimit(a.cfg.MemoryLimitMB * megabyte)
	debug.SetGCPercent(agentGCPercent)
}

// Run serves until ctx ends, then leaves gracefully.
func (a *Agent) Run(ctx context.Context) error {
	var g run.Group
	addParent(&g, ctx)
	if a.admin != nil {
		server := &http.Server{Handler: adminHandler(), ReadHeaderTimeout: headerTimeout, IdleTimeout: idleTimeout}
		addServer(&g, a.admin, server, time.Second, nil)
	}
	// Actors are interrupted in this order: everything is left and released
	// while the link and the executor still run.
	addContext(&g, func(ctx context.Context) error { <-ctx.Done(); return nil }, a.leave)
	addContext(&g, a.link.Run, nil)
	if a.guard != nil {
		addContext(&g, a.guard.Run, nil)
	}
	addContext(&g, a.executor.Run, nil)
	return g.Run()
}

// leave is the graceful stop: no new request, those in flight end, tasks are
// checkpointed and given back.
func (a *Agent) leave() {
	a.log.Info("leaving")
	ctx, cancel := context.WithTimeout(context.Background(), a.cfg.DrainTimeout.Value())
	defer cancel()
	var g errgroup.Group
	g.Go(func() error { return a.link.Leave(ctx) })
	g.Go(func() error { return a.executor.Release(ctx) })
	if err := g.Wait(); err != nil {
		a.log.WithError(err).Warn("left before everything was given back")
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
