package daemon

import (
	"cmp"
	"context"
	"errors"
	"fmt"
	"io/fs"
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
	"golang.org/x/time/rate"

	"bamboowood/internal/boottime"
	"bamboowood/internal/contain"
	"bamboowood/internal/follower"
	"bamboowood/internal/ingress"
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

// Parameters of processes on the users' platform.
const (
	// metricsPort is the port of the metrics endpoint; deploy/system.toml declares it.
	metricsPort = 9464
	// heapFraction is the soft limit of Go's heap as a fraction of the process's memory;
	// stacks and bodies held in kernel buffers need the rest.
	heapFraction = 0.7
	// programBytes is the memory that the program itself takes.
	programBytes = 24 << 20
	// gcPercent trades memory for processor time, since memory is plentiful.
	gcPercent = 400
	// leaseFraction is the agents' lease as a fraction of the longest lease, since clocks
	// may differ by 2%.
	leaseFraction = 0.95
	// maxLease bounds the agents' lease: tasks of a lost machine are restarted only after
	// it has expired.
	maxLease = 6 * time.Second
	// defaultConfigDeadline is the time after which a confirmed configuration must be in force
	// if the platform's settings do not say it.
	defaultConfigDeadline = 2 * time.Second
	// settingsPollInterval is how often the settings file is checked; it may change without
	// a signal.
	settingsPollInterval = 2 * time.Second
	// defaultGracePeriod is the time from SIGTERM to SIGKILL if the platform's settings do not say it.
	defaultGracePeriod = 6 * time.Second
	// shutdownDelay is how long a stopping entry still accepts connections, at most half of the
	// grace period: the load balancer removes it after at most two probes, a second apart.
	shutdownDelay = 2500 * time.Millisecond
	// settingsWait is how long a process waits at its start for a usable settings file, and
	// settingsRetryPause the pause between two readings.
	settingsWait       = time.Second
	settingsRetryPause = 10 * time.Millisecond
)

// PlatformNode is a process on the users' platform.
type PlatformNode struct {
	node         platform.Node
	settingsPath string
	logHandler   *logline.Handler
	logger       *log.Logger
	// hup receives SIGHUP from the start of the process, since an unhandled SIGHUP would
	// terminate it. It is nil in tests that run several nodes in one process.
	hup chan os.Signal
	// stopping is set at SIGTERM.
	stopping atomic.Bool
}

// NewPlatformNode loads the settings file named by platform.SettingsVariable, and sets up
// logging and the memory limit of the process.
func NewPlatformNode(role string) (*PlatformNode, error) {
	hup := make(chan os.Signal, 1)
	signal.Notify(hup, syscall.SIGHUP)
	path := os.Getenv(platform.SettingsVariable)
	node, err := loadNode(path)
	if err != nil {
		return nil, err
	}
	logs := logline.New(os.Stdout)
	log.SetHandler(logs)
	debug.SetGCPercent(gcPercent)
	debug.SetMemoryLimit(heapLimit(node.MemoryBytes))
	n := newPlatformNode(role, path, node, logs)
	n.hup = hup
	return n, nil
}

// heapLimit returns the soft limit of Go's heap for a machine's memory.
func heapLimit(memory int64) int64 {
	return max(min(int64(heapFraction*float64(memory)), memory-programBytes), memory/2)
}

// loadNode reads the settings file. Settings that cannot be decoded are read again for settingsWait: the file
// may be being written.
func loadNode(path string) (platform.Node, error) {
	began := time.Now()
	for {
		node, err := platform.LoadNode(path)
		if err == nil || errors.Is(err, fs.ErrNotExist) || time.Since(began) > settingsWait {
			return node, err
		}
		time.Sleep(settingsRetryPause)
	}
}

func newPlatformNode(role, path string, node platform.Node, logs *logline.Handler) *PlatformNode {
	logger := &log.Logger{Handler: logs, Level: log.InfoLevel}
	logger.WithFields(log.Fields{
		"role": role, "node": node.Name, "zone": node.Zone, "ip": node.IP, "pid": os.Getpid(),
	}).Info("process started")
	return &PlatformNode{node: node, settingsPath: path, logHandler: logs, logger: logger}
}

// Close writes the buffered log lines and closes the log.
func (n *PlatformNode) Close() {
	n.logger.Info("process stopped")
	n.logHandler.Close()
}

func (n *PlatformNode) peerAddress() string {
	return net.JoinHostPort(n.node.IP, fmt.Sprint(n.node.PeerPortFirst))
}

// advertisedAddress returns the address at which other processes reach this one.
func (n *PlatformNode) advertisedAddress() string { return cmp.Or(n.node.Advertise, n.peerAddress()) }

// listenForPeers opens the port for sessions between processes.
func (n *PlatformNode) listenForPeers(limits ingress.Limits, report *ingress.Report) (net.Listener, error) {
	ln, err := net.Listen("tcp", n.peerAddress())
	if err != nil {
		return nil, fmt.Errorf("listen for peers: %w", err)
	}
	return ingress.Listen(ln, "peers", limits.Peers, report), nil
}

// logStoreHealth logs that the store has stopped responding or responds again.
func (n *PlatformNode) logStoreHealth(responding bool, outage time.Duration) {
	entry := n.logger.WithField("unanswered_ms", outage.Milliseconds())
	if responding {
		entry.Info("store responds again")
	} else {
		entry.Warn("store does not respond; refusing callers' writes at once")
	}
}

// advisor returns the client of the advice service, nil if none is configured.
func (n *PlatformNode) advisor() leader.Advisor {
	if n.node.AdviceAddress == "" {
		return nil
	}
	return platform.NewAdvisor(n.node.AdviceAddress)
}

// leaseDuration returns the duration of the agents' leases.
func (n *PlatformNode) leaseDuration() time.Duration {
	return min(time.Duration(leaseFraction*float64(n.node.Bounds.MaxLease)), maxLease)
}

func (n *PlatformNode) gracePeriod() time.Duration {
	return cmp.Or(n.node.Bounds.GracePeriod, defaultGracePeriod)
}

// RunEntry runs an entry until ctx ends, then waits shutdownDelay and for requests in flight.
func (n *PlatformNode) RunEntry(ctx context.Context) error {
	storeMonitor := store.NewMonitor(platform.NewStore(n.node.StoreAddress), n.logStoreHealth)
	bulk := store.NewBulkReader(storeMonitor, n.node.LinkRate)
	jobLedger := ledger.New(storeMonitor, bulk)
	callersLedger := ledger.New(storeMonitor.FailFast(), bulk)
	siteWatcher := &site.Watcher{
		Store: storeMonitor, Bulk: bulk, Logger: n.logger, Table: platform.OperatorTable, Decode: platform.ApplyOperatorRow,
		Now: boottime.Now,
	}
	limits := ingress.NewLimits(n.node.MemoryBytes, n.node.MaxDescriptors)
	a := newActors(n.logger, n.gracePeriod())
	jobLeader := leader.New(leader.Options{
		JobMemory: limits.Jobs, Peers: ingress.NewPool(limits.Messages), Report: a.report,
		Advisor: n.advisor(),
		Ledger:  jobLedger, CallersLedger: callersLedger, Logger: n.logger, Address: n.advertisedAddress(), Process: uuid.NewString(),
		Site: siteWatcher.State, SettingsAge: siteWatcher.ReadAge, Snapshot: siteWatcher.Snapshot, Now: boottime.Now, LeaseDuration: n.leaseDuration(), LinkRate: n.node.LinkRate,
		EvacuationDeadline: n.node.Bounds.EvacuationDeadline, CancelDeadline: n.node.Bounds.CancelDeadline,
		Planner: planner.Options{
			EarlyStart: n.node.Bounds.EarlyStart, EndedRetention: n.node.Bounds.StatusRetention,
			RemoteFactor: n.node.Bounds.RemoteFactor, LearnedDurations: true, Lookahead: true, Speculation: true,
		},
	})
	leaderClient := &leader.Client{Leader: jobLeader}
	jobIntake := &intake.Server{
		Ledger: callersLedger, Leader: leaderClient, Logger: n.logger, Site: siteWatcher,
		MaxSettingsAge: cmp.Or(n.node.Bounds.ConfigDeadline, defaultConfigDeadline),
	}
	peers, err := n.listenForPeers(limits, a.report)
	if err != nil {
		return err
	}
	ready := func() bool { return !n.stopping.Load() && siteWatcher.State().Config != nil }
	a.add("operators' rows", n.restartOnPanic("operators' rows", siteWatcher.Run))
	a.add("operators' rows of the leader", n.restartOnPanic("operators' rows of the leader", func(ctx context.Context) error {
		return siteWatcher.FollowPeer(ctx, leaderClient)
	}))
	a.add("peers", func(ctx context.Context) error { return jobLeader.ServeQueries(ctx, peers) })
	bodies := ingress.NewGate(limits.Bodies, 0, a.report)
	callers := n.closeWhenStopping(platform.CallersHandler(jobIntake, bodies))
	if err := a.serve("callers", n.node.CallersAddress, limits.Callers, callers); err != nil {
		return err
	}
	if err := a.serve("readiness", n.node.ReadyAddress, limits.Probes, platform.ReadyHandler(ready)); err != nil {
		return err
	}
	if err := n.addMetrics(a, limits); err != nil {
		return err
	}
	n.addSettingsWatch(a)
	delayedCtx := n.delayShutdown(ctx, a, min(shutdownDelay, n.gracePeriod()/2))
	a.add("leadership", untilStop(ctx, n.restartOnPanic("leadership", jobLeader.Run)))
	return a.run(delayedCtx)
}

// restartOnPanic wraps a loop so that it is restarted if it panics. name is a label value of
// the panic metric.
func (n *PlatformNode) restartOnPanic(name string, loop func(context.Context) error) func(context.Context) error {
	return func(ctx context.Context) error { return contain.Loop(ctx, n.logger, name, loop) }
}

// untilStop wraps a loop that ends as soon as stop does, so that an entry resigns the leadership while
// its requests in flight continue. The result returns when its own context ends.
func untilStop(stop context.Context, loop func(context.Context) error) func(context.Context) error {
	return func(ctx context.Context) error {
		loopCtx, cancel := context.WithCancel(ctx)
		defer cancel()
		defer context.AfterFunc(stop, cancel)()
		// The loop returns only when its context ends, with the context's error.
		_ = loop(loopCtx)
		<-ctx.Done()
		return nil
	}
}

// delayShutdown returns a context that ends delay after ctx. The node counts as stopping, and the
// grace period of its actors begins, at the end of ctx.
func (n *PlatformNode) delayShutdown(ctx context.Context, a *actors, delay time.Duration) context.Context {
	delayedCtx, cancel := context.WithCancel(context.Background())
	context.AfterFunc(ctx, func() {
		n.stopping.Store(true)
		a.beginShutdown()
		n.logger.Info("process shutting down")
		time.AfterFunc(delay, cancel)
	})
	return delayedCtx
}

// closeWhenStopping closes callers' connections after each response while the process stops,
// so that callers reconnect to another entry.
func (n *PlatformNode) closeWhenStopping(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if n.stopping.Load() {
			w.Header().Set("Connection", "close")
		}
		next.ServeHTTP(w, r)
	})
}

// addMetrics adds the metrics endpoint. Its port is not among those that the platform keeps free for the
// process, which works without it while another program has it.
func (n *PlatformNode) addMetrics(a *actors, limits ingress.Limits) error {
	handler := http.NewServeMux()
	handler.HandleFunc("/metrics", func(w http.ResponseWriter, _ *http.Request) { metrics.WritePrometheus(w, true) })
	return a.serveWhenFree("metrics", net.JoinHostPort(n.node.IP, fmt.Sprint(metricsPort)), limits.Probes, handler)
}

// addSettingsWatch adds an actor that reads the settings file on SIGHUP and at an interval, and
// logs each change and each SIGHUP. Changed settings are not applied before a restart.
func (n *PlatformNode) addSettingsWatch(a *actors) {
	a.add("settings file", func(ctx context.Context) error {
		ticker := time.NewTicker(settingsPollInterval)
		defer ticker.Stop()
		current, err := os.ReadFile(n.settingsPath)
		if err != nil {
			n.logger.WithError(err).Warn("reading the settings file failed")
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
			data, err := os.ReadFile(n.settingsPath)
			if err != nil {
				n.logger.WithError(err).Warn("reading the settings file failed")
				continue
			}
			if changed := string(data) != string(current); changed || signalled {
				n.logger.WithFields(log.Fields{"signalled": signalled, "changed": changed}).Info("settings file read again; changes apply after a restart")
			}
			current = data
		}
	})
}

// RunAgent runs an agent until ctx ends.
func (n *PlatformNode) RunAgent(ctx context.Context) error {
	storeClient := platform.NewStore(n.node.StoreAddress)
	jobLedger := ledger.New(storeClient, store.NewBulkReader(storeClient, n.node.LinkRate))
	started := time.Now()
	runnerSupervisor := supervisor.New(supervisor.Options{
		Runner: platform.NewRunner(n.node.RunnerAddress), Logger: n.logger, Now: boottime.Now,
		// Go's monotonic clock does not count the time in which the machine is suspended.
		SteadyNow: func() time.Duration { return time.Since(started) },
		MaxLease:  n.leaseDuration(), RunnerMaxLease: n.node.Bounds.MaxLease, FirstToken: time.Now().UnixMilli(),
	})
	limits := ingress.NewLimits(n.node.MemoryBytes, n.node.MaxDescriptors)
	a := newActors(n.logger, n.gracePeriod())
	agentFollower := follower.New(follower.Options{
		Peers: ingress.NewPool(limits.Messages), Report: a.report, Advisor: n.advisor(),
		Supervisor: runnerSupervisor, Ledger: jobLedger, Logger: n.logger,
		Boot: jobLedger.NewBootRegistration(n.node.IP, boottime.ThisMachine(n.node.Name)),
		Name: n.node.IP, Address: n.advertisedAddress(), Now: boottime.Now,
	})
	peers, err := n.listenForPeers(limits, a.report)
	if err != nil {
		return err
	}
	reports := platform.ReportHandler(&runnerReports{supervisor: runnerSupervisor, logger: n.logger})
	if err := a.serve("reports", n.node.ReportAddress, limits.Probes, reports); err != nil {
		return err
	}
	if err := n.addMetrics(a, limits); err != nil {
		return err
	}
	n.addSettingsWatch(a)
	a.add("runner", n.restartOnPanic("runner", runnerSupervisor.Run))
	a.add("registration", n.restartOnPanic("registration", agentFollower.Register))
	a.add("sessions", n.restartOnPanic("sessions", func(ctx context.Context) error { return agentFollower.Serve(ctx, peers) }))
	return a.run(n.delayShutdown(ctx, a, 0))
}

// malformedReportLogs bounds the log lines of malformed reports; their sender may repeat them.
var malformedReportLogs = rate.NewLimiter(1, 20)

// runnerReports forwards the runner's reports to the supervisor.
type runnerReports struct {
	supervisor *supervisor.Supervisor
	logger     log.Interface
}

// RunnerReported implements platform.Reports.
func (r *runnerReports) RunnerReported(ctx context.Context, reported job.Runner, sender string) error {
	return r.supervisor.RunnerReported(ctx, reported, sender)
}

// RunnerLeft implements platform.Reports.
func (r *runnerReports) RunnerLeft(id string, startTime int64) {
	r.supervisor.RunnerLeft(id, startTime)
}

// ReportMalformed implements platform.Reports.
func (r *runnerReports) ReportMalformed(err error) {
	if !malformedReportLogs.Allow() {
		return
	}
	r.logger.WithError(err).Warn("malformed runner report")
}
