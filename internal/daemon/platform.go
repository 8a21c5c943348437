package daemon

import (
	"cmp"
	"context"
	"fmt"
	"net"
	"net/http"
	"os"
	"os/signal"
	"runtime/debug"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/apex/log"
	"github.com/google/uuid"
	"github.com/oklog/run"

	"bamboowood/internal/boottime"
	"bamboowood/internal/contain"
	"bamboowood/internal/follower"
	"bamboowood/internal/intake"
	"bamboowood/internal/job"
	"bamboowood/internal/leader"
	"bamboowood/internal/ledger"
	"bamboowood/internal/logline"
	"bamboowood/internal/planner"
	"bamboowood/internal/site"
	"bamboowood/internal/store"
	"bamboowood/internal/supervisor"
	"bamboowood/platform"
)

// Processes on the users' platform.
const (
	// metricsPort is the port of the metrics address; deploy/system.toml names it.
	metricsPort = 9464
	// heapShare of a process's memory is the soft limit of Go's heap; stacks and
	// bodies that the kernel holds need the rest.
	heapShare = 0.7
	// garbagePercent trades memory, of which there is plenty, for processor time.
	garbagePercent = 400
	// holdShare of the longest lease is what agents get: clocks may differ by 2%.
	holdShare = 0.95
	// maxHold bounds it: the work of a lost machine waits so long.
	maxHold = 6 * time.Second
	// settingsInterval is how often the settings file is looked at; it may change
	// without a signal.
	settingsInterval = 2 * time.Second
	// leaveTime is how long an entry that stops still takes connections: the
	// balancer notices within two probes, a second apart.
	leaveTime = 2500 * time.Millisecond
	// stopMargin is left of the grace period when requests in flight are cut.
	stopMargin = 700 * time.Millisecond
)

// PlatformNode is a process on the users' platform.
type PlatformNode struct {
	node   platform.Node
	path   string
	logs   *logline.Handler
	logger *log.Logger
	// hup takes SIGHUP from the start on: unhandled it would end the process. It is nil in
	// tests within one process.
	hup chan os.Signal
	// stopping is set from SIGTERM on.
	stopping atomic.Bool
}

// NewPlatformNode reads the settings file that the platform names.
func NewPlatformNode(role string) (*PlatformNode, error) {
	hup := make(chan os.Signal, 1)
	signal.Notify(hup, syscall.SIGHUP)
	path := os.Getenv(platform.SettingsVariable)
	node, err := platform.LoadNode(path)
	if err != nil {
		return nil, err
	}
	logs := logline.New(os.Stdout)
	log.SetHandler(logs)
	debug.SetGCPercent(garbagePercent)
	debug.SetMemoryLimit(int64(heapShare * float64(node.MemoryBytes)))
	n := newPlatformNode(role, path, node, logs)
	n.hup = hup
	return n, nil
}

func newPlatformNode(role, path string, node platform.Node, logs *logline.Handler) *PlatformNode {
	logger := &log.Logger{Handler: logs, Level: log.InfoLevel}
	logger.WithFields(log.Fields{
		"role": role, "node": node.Name, "zone": node.Zone, "ip": node.IP, "pid": os.Getpid(),
	}).Info("process starts")
	return &PlatformNode{node: node, path: path, logs: logs, logger: logger}
}

// Close writes the last log lines.
func (n *PlatformNode) Close() {
	n.logger.Info("process stops")
	n.logs.Close()
}

func (n *PlatformNode) peerAddress() string {
	return net.JoinHostPort(n.node.IP, fmt.Sprint(n.node.PeerPortFirst))
}

// advertised is where other processes reach the peer address.
func (n *PlatformNode) advertised() string { return cmp.Or(n.node.Advertise, n.peerAddress()) }

// storeChanged tells that the store has ceased to answer or answers again.
func (n *PlatformNode) storeChanged(answers bool, unanswered time.Duration) {
	entry := n.logger.WithField("unanswered_ms", unanswered.Milliseconds())
	if answers {
		entry.Info("store answers again")
	} else {
		entry.Warn("store does not answer; callers' writes are refused at once")
	}
}

// hold is the lease that agents get.
func (n *PlatformNode) hold() time.Duration {
	return min(time.Duration(holdShare*float64(n.node.Bounds.MaxLease)), maxHold)
}

// RunEntry runs an entry until SIGTERM, and then until what it has begun is done.
func (n *PlatformNode) RunEntry(ctx context.Context) error {
	tables := store.NewHealth(platform.NewStore(n.node.StoreAddress), n.storeChanged)
	bulk := store.NewBulkReader(tables, n.node.LinkRate)
	book := ledger.New(tables, bulk)
	callersBook := ledger.New(tables.FailFast(), bulk)
	sites := &site.Watcher{
		Store: tables, Bulk: bulk, Logger: n.logger, Table: platform.OperatorTable, Decode: platform.ApplyOperatorRow,
	}
	var advisor leader.Advisor
	if n.node.AdviceAddress != "" {
		advisor = platform.NewAdvisor(n.node.AdviceAddress)
	}
	lead := leader.New(leader.Options{
		Advisor: advisor,
		Ledger:  book, CallersLedger: callersBook, Logger: n.logger, Address: n.advertised(), Process: uuid.NewString(),
		Site: sites.State, Now: boottime.Now, LeaseDuration: n.hold(), LinkRate: n.node.LinkRate,
		Planner: planner.Options{
			EarlyStart: n.node.Bounds.EarlyStart, EndedRetention: n.node.Bounds.StatusRetention,
			RemoteFactor: n.node.Bounds.RemoteFactor,
		},
	})
	in := &intake.Service{
		Ledger: callersBook, Leader: &leader.Client{Leader: lead}, Logger: n.logger, SiteState: sites.State,
	}
	peers, err := net.Listen("tcp", n.peerAddress())
	if err != nil {
		return fmt.Errorf("listen for peers: %w", err)
	}
	ready := func() bool { return !n.stopping.Load() && sites.State().Config != nil }
	var g run.Group
	background := n.outlive(ctx)
	addContext(&g, n.contained("operators' rows", sites.Run), nil)
	addContext(&g, func(ctx context.Context) error { return lead.ServeQueries(ctx, peers) }, nil)
	if err := n.addHTTP(&g, n.node.CallersAddress, n.closing(platform.CallersHandler(in))); err != nil {
		return err
	}
	if err := n.addHTTP(&g, n.node.ReadyAddress, platform.ReadyHandler(ready)); err != nil {
		return err
	}
	if err := n.addMetrics(&g); err != nil {
		return err
	}
	n.addSettingsWatch(&g)
	// Leadership is given up at once; requests in flight go on.
	addContext(&g, func(run context.Context) error {
		run, cancel := context.WithCancel(run)
		defer cancel()
		stop := context.AfterFunc(ctx, cancel)
		defer stop()
		// It returns when its context ends, with that error.
		_ = contain.Loop(run, n.logger, "leadership", lead.Run)
		<-background.Done()
		return nil
	}, nil)
	addParent(&g, background)
	return g.Run()
}

// contained runs a loop again if it panics.
func (n *PlatformNode) contained(what string, loop func(context.Context) error) func(context.Context) error {
	return func(ctx context.Context) error { return contain.Loop(ctx, n.logger, what, loop) }
}

// outlive returns a context that ends leaveTime after ctx.
func (n *PlatformNode) outlive(ctx context.Context) context.Context {
	out, cancel := context.WithCancel(context.Background())
	context.AfterFunc(ctx, func() {
		n.stopping.Store(true)
		n.logger.Info("process leaves")
		time.AfterFunc(leaveTime, cancel)
	})
	return out
}

// closing makes callers reconnect elsewhere while the process stops.
func (n *PlatformNode) closing(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if n.stopping.Load() {
			w.Header().Set("Connection", "close")
		}
		next.ServeHTTP(w, r)
	})
}

func (n *PlatformNode) addHTTP(g *run.Group, address string, handler http.Handler) error {
	ln, err := net.Listen("tcp", address)
	if err != nil {
		return fmt.Errorf("listen: %w", err)
	}
	server := &http.Server{Handler: handler, ReadHeaderTimeout: headerTimeout, IdleTimeout: idleTimeout}
	addServer(g, ln, server, n.node.Bounds.GracePeriod-leaveTime-stopMargin, nil)
	return nil
}

func (n *PlatformNode) addMetrics(g *run.Group) error {
	handler := http.NewServeMux()
	handler.HandleFunc("/metrics", func(w http.ResponseWriter, _ *http.Request) { metrics.WritePrometheus(w, true) })
	return n.addHTTP(g, net.JoinHostPort(n.node.IP, fmt.Sprint(metricsPort)), handler)
}

// addSettingsWatch reads the settings file on SIGHUP, and from time to time.
func (n *PlatformNode) addSettingsWatch(g *run.Group) {
	addContext(g, func(ctx context.Context) error {
		ticker := time.NewTicker(settingsInterval)
		defer ticker.Stop()
		current, err := os.ReadFile(n.path)
		if err != nil {
			n.logger.WithError(err).Warn("settings cannot be read")
		}
		for {
			signalled := false
			select {
			case <-ctx.Done():
				return ctx.Err()
			case <-n.hup:
				signalled = true
			case <-ticker.C:
			}
			data, err := os.ReadFile(n.path)
			if err != nil {
				n.logger.WithError(err).Warn("settings cannot be read")
				continue
			}
			if changed := string(data) != string(current); changed || signalled {
				n.logger.WithFields(log.Fields{"signalled": signalled, "changed": changed}).Info("settings reloaded")
			}
			current = data
		}
	}, nil)
}

// RunAgent runs an agent until SIGTERM.
func (n *PlatformNode) RunAgent(ctx context.Context) error {
	tables := platform.NewStore(n.node.StoreAddress)
	book := ledger.New(tables, store.NewBulkReader(tables, n.node.LinkRate))
	super := supervisor.New(supervisor.Options{
		Runner: platform.NewRunner(n.node.RunnerAddress), Logger: n.logger, Now: boottime.Now,
		MaxLease: n.hold(), FirstToken: time.Now().UnixMilli(),
	})
	follow := follower.New(follower.Options{
		Supervisor: super, Ledger: book, Logger: n.logger,
		Name: n.node.IP, Address: n.advertised(), Now: boottime.Now,
	})
	peers, err := net.Listen("tcp", n.peerAddress())
	if err != nil {
		return fmt.Errorf("listen for peers: %w", err)
	}
	var g run.Group
	reports := platform.ReportHandler(&runnerReports{super: super, logger: n.logger})
	if err := n.addHTTP(&g, n.node.ReportAddress, reports); err != nil {
		return err
	}
	if err := n.addMetrics(&g); err != nil {
		return err
	}
	n.addSettingsWatch(&g)
	addContext(&g, n.contained("runner", super.Run), nil)
	addContext(&g, n.contained("registration", follow.Register), nil)
	addContext(&g, n.contained("sessions", func(ctx context.Context) error { return follow.Serve(ctx, peers) }), nil)
	addParent(&g, ctx)
	return g.Run()
}

// runnerReports passes the runner's reports on.
type runnerReports struct {
	super  *supervisor.Supervisor
	logger log.Interface
}

// RunnerReported implements platform.Reports.
func (r *runnerReports) RunnerReported(x job.Runner) { r.super.RunnerReported(x) }

// RunnerLeft implements platform.Reports.
func (r *runnerReports) RunnerLeft(id string, born int64) { r.super.RunnerLeft(id, born) }

// ReportMalformed implements platform.Reports.
func (r *runnerReports) ReportMalformed(err error) {
	r.logger.WithError(err).Warn("report of a runner left out")
}
