package soak

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"bamboowood/platform/platformtest"
)

// Ports of the processes. Each process has its own loopback address.
const (
	callersPort = "18161"
	readyPort   = "18167"
	controlPort = "18166"
	peerPort    = 17720
)

// Limits that the platform sets, and sizes of runners and tasks.
const (
	maxLease       = 6 * time.Second
	gracePeriod    = 6 * time.Second
	reportInterval = 500 * time.Millisecond
	runnerCPU      = 8000
	runnerMemory   = 8000
	taskCPU        = 1000
	maxAttempts    = 3
	service        = "desk"
	host           = "a.example"
	prefix         = "/x/"
	restartDelay   = 200 * time.Millisecond
)

var config = fmt.Sprintf(`{"version":1,"routes":[{"name":"r","host":%q,"pathPrefix":%q,"service":%q,
	"maxAttempts":%d,"stretch":2,"sloMs":1000}],"services":[{"name":%q,"admissionCheck":false}],
	"limits":{"maxBodyBytes":100000}}`, host, prefix, service, maxAttempts, service)

// process is an entry or an agent, with the proxies that carry its connections.
type process struct {
	cluster   *cluster
	name, ip  string
	role      string
	settings  string
	peerProxy *platformtest.Proxy // in front of the process's own peer port
	storeGate *platformtest.Gate  // between an entry and the store
	proxies   []*platformtest.Proxy

	logs *logBuffer

	mu  sync.Mutex // serializes the faults that stop or start the process
	cmd *exec.Cmd
	// ended is closed when cmd has exited. stopping is set if the test stopped it, removed if it is
	// never started again.
	ended             chan struct{}
	stopping, removed bool
}

// cluster is a deployment of separate processes against stand-ins of the platform.
type cluster struct {
	t       *testing.T
	seed    int64
	options options
	// copies counts the runs that overlapped with another one of their task.
	copies int
	dir    string
	slot   int
	store  *platformtest.Store
	// storeAddress is the store's address for agents.
	storeAddress string
	// advice is the advice service and adviceSettings the line of the settings that names it; nil and empty unless
	// the option is chosen.
	advice         *adviceService
	adviceSettings string
	entries        []*process
	history        history
	jobs           *workload
	// controls holds the address of each agent for the reports of runners.
	controls []string
	drains   []drain

	mu      sync.Mutex // guards what changes when VMs and runners come and go
	vms     []*vm
	agents  []*process
	runners []*platformtest.Runner // all that ever ran
}

// Loopback addresses are 127.BLOCK.SLOT.i. Each run of the tests has its own block, so that
// several may run at once, and each deployment of a run has its own slot.
const (
	firstBlock = 40
	lastBlock  = 250
	blockPort  = "18160"
)

var addressBlock int

// reserveAddressBlock reserves a block that no other run uses until the test ends, by
// listening on blockPort of the block's first address.
func reserveAddressBlock(t *testing.T) {
	for addressBlock = firstBlock; addressBlock <= lastBlock; addressBlock++ {
		if ln, err := net.Listen("tcp", net.JoinHostPort(address(0, 1), blockPort)); err == nil {
			t.Cleanup(func() { _ = ln.Close() })
			return
		}
	}
	t.Fatal("no block of loopback addresses is free")
}

func address(slot, i int) string { return fmt.Sprintf("127.%d.%d.%d", addressBlock, slot, i) }

func newCluster(t *testing.T, seed int64, slot, entries, agents int, o options) *cluster {
	cl := &cluster{t: t, seed: seed, options: o, slot: slot, dir: t.TempDir(), store: platformtest.NewStore(), jobs: newWorkload(seed, agents*runnerCPU/taskCPU/2)}
	cl.jobs.speculative = o.has(speculative)
	cl.storeAddress = cl.serve(net.JoinHostPort(address(slot, 1), "18169"), cl.store)
	cl.serveAdvice()
	cl.store.WriteOperator("config", cl.withAdvice([]byte(config)))
	for i := range agents + addedVMs(o) {
		cl.controls = append(cl.controls, net.JoinHostPort(address(slot, 100+i), controlPort))
	}
	for i := range agents {
		cl.addVM(i)
	}
	for i := range entries {
		ip := address(slot, 10+i)
		gate := platformtest.NewGate(cl.store)
		p := cl.newProcess("entry", ip, cl.serve(net.JoinHostPort(ip, "18169"), gate))
		p.storeGate = gate
		p.settings += cl.settingsTables(ip, p.proxies[0].Address())
		cl.entries = append(cl.entries, p)
	}
	for _, p := range cl.all() {
		p.start()
		t.Cleanup(p.kill)
	}
	return cl
}

// newProxy returns a proxy in front of target that serves until the test ends.
func (cl *cluster) newProxy(target string) *platformtest.Proxy {
	p, err := platformtest.NewProxy(target)
	must.NoError(cl.t, err)
	cl.t.Cleanup(p.Close)
	return p
}

func (cl *cluster) all() []*process {
	return append(append([]*process(nil), cl.entries...), cl.agents...)
}

// newProcess returns a process that is not started. Its first two proxies lead to the store
// and to its peer port.
func (cl *cluster) newProcess(role, ip, store string) *process {
	p := &process{cluster: cl, role: role, ip: ip, name: role + "-" + ip, logs: &logBuffer{}}
	p.peerProxy = cl.newProxy(net.JoinHostPort(ip, fmt.Sprint(peerPort)))
	p.proxies = []*platformtest.Proxy{cl.newProxy(store), p.peerProxy}
	p.settings = fmt.Sprintf("nodeName = %q\nip = %q\nzone = \"z1\"\nportRange = [%d,%d]\nadvertise = %q\n",
		p.name, ip, peerPort, peerPort+15, p.peerProxy.Address()) + cl.adviceSettings
	return p
}

// maxLease returns the longest lease that runners grant.
func (cl *cluster) maxLease() time.Duration {
	if cl.options.has(longLease) {
		return 10 * time.Second
	}
	return maxLease
}

func (cl *cluster) settingsTables(ip, store string) string {
	return fmt.Sprintf("[listen]\nfront = %q\nready = %q\ncontrol = %q\n", net.JoinHostPort(ip, callersPort),
		net.JoinHostPort(ip, readyPort), net.JoinHostPort(ip, controlPort)) +
		fmt.Sprintf("[limits]\nmemoryMb = 512\nlinkMbps = 1000.0\n[platform]\naddress = %q\n", store) +
		fmt.Sprintf("[bounds]\nholdMaxMs = %d\ngraceS = %g\nstatus_s = 600\nearly_ms = 250\nremoteFactor = 1.5\n",
			cl.maxLease().Milliseconds(), gracePeriod.Seconds())
}

// listenTimeout is how long an address may be in use by a closed listener: a process that another deployment has
// forked keeps it open until it executes its program.
const listenTimeout = 2 * time.Second

func (cl *cluster) serve(address string, handler http.Handler) string {
	ln, err := net.Listen("tcp", address)
	for begin := time.Now(); errors.Is(err, syscall.EADDRINUSE) && time.Since(begin) < listenTimeout; {
		<-time.After(10 * time.Millisecond)
		ln, err = net.Listen("tcp", address)
	}
	must.NoError(cl.t, err)
	server := &http.Server{Handler: handler, ReadHeaderTimeout: time.Second}
	go func() { _ = server.Serve(ln) }()
	cl.t.Cleanup(func() { _ = server.Close() })
	return ln.Addr().String()
}

func (p *process) settingsPath() string { return filepath.Join(p.cluster.dir, p.name+".toml") }

// start starts the process. The caller holds mu, except before the faults begin.
func (p *process) start() {
	if p.removed {
		return
	}
	must.NoError(p.cluster.t, os.WriteFile(p.settingsPath(), []byte(p.settings), 0o600))
	cmd := exec.Command(os.Args[0], "platform", p.role)
	cmd.Env = append(os.Environ(), runAs+"=bamboowoodd", "BAMBOOWOOD_SETTINGS="+p.settingsPath())
	cmd.Stdout, cmd.Stderr = p.logs, p.logs
	must.NoError(p.cluster.t, cmd.Start())
	p.cmd, p.ended, p.stopping = cmd, make(chan struct{}), false
	go p.supervise(cmd, p.ended)
}

// supervise restarts the process if it exits without being stopped by the test, as the
// platform does. Only a signal that arrives before the program has installed its signal
// handlers may end it; any other exit is a failure.
func (p *process) supervise(cmd *exec.Cmd, ended chan struct{}) {
	err := cmd.Wait()
	close(ended)
	p.mu.Lock()
	defer p.mu.Unlock()
	status, ok := cmd.ProcessState.Sys().(syscall.WaitStatus)
	exited := !ok || !status.Signaled()
	if exited && err != nil {
		// The race detector makes a process that ends as it should exit with a status other than 0.
		p.cluster.history.failf("%s ended badly: %v", p.name, err)
	}
	if p.cmd != cmd || p.stopping {
		return
	}
	if exited {
		p.cluster.history.failf("%s exited unexpectedly: %v", p.name, err)
	}
	<-time.After(restartDelay)
	p.start()
}

// signalAndWait sends a signal and waits until the process has exited. It kills the process
// after limit. The caller holds mu.
func (p *process) signalAndWait(s os.Signal, limit time.Duration) (took time.Duration, killed bool) {
	begin := time.Now()
	p.stopping = true
	_ = p.cmd.Process.Signal(s) // the process may have exited
	select {
	case <-p.ended:
	case <-time.After(limit):
		killed = true
		_ = p.cmd.Process.Kill()
		<-p.ended
	}
	return time.Since(begin), killed
}

// kill kills the process without a restart, even while it is paused.
func (p *process) kill() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.signalAndWait(os.Kill, time.Hour)
}

// remove kills the process for good.
func (p *process) remove() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.removed = true
	p.signalAndWait(os.Kill, time.Hour)
}

// killFor kills the process and restarts it after d.
func (p *process) killFor(d time.Duration) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.signalAndWait(os.Kill, time.Hour)
	<-time.After(d)
	p.start()
}

// pause suspends the process for d with SIGSTOP.
func (p *process) pause(d time.Duration) {
	p.mu.Lock()
	defer p.mu.Unlock()
	_ = p.cmd.Process.Signal(syscall.SIGSTOP)
	<-time.After(d)
	_ = p.cmd.Process.Signal(syscall.SIGCONT)
}

// terminate stops the process with SIGTERM, kills it after limit, and restarts it.
func (p *process) terminate(limit time.Duration) (took time.Duration, killed bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	took, killed = p.signalAndWait(syscall.SIGTERM, limit)
	<-time.After(restartDelay)
	p.start()
	return took, killed
}

// reload rewrites the settings file and, if signal is set, sends SIGHUP.
func (p *process) reload(signal bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.settings = fmt.Sprintf("# changed at %d\n", time.Now().UnixNano()) + p.settings
	must.NoError(p.cluster.t, os.WriteFile(p.settingsPath(), []byte(p.settings), 0o600))
	if signal {
		_ = p.cmd.Process.Signal(syscall.SIGHUP)
	}
}

// logBuffer collects the output of a process across its restarts.
type logBuffer struct {
	mu  sync.Mutex
	buf bytes.Buffer
}

// Write implements io.Writer.
func (l *logBuffer) Write(p []byte) (int, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.buf.Write(p)
}

// malformedLines returns all lines that are not JSON objects, such as a report of the race detector or a panic.
// The last line of a killed process may be truncated and directly followed by the first line after the restart.
func (l *logBuffer) malformedLines() string {
	l.mu.Lock()
	defer l.mu.Unlock()
	var malformed []byte
	for line := range bytes.Lines(l.buf.Bytes()) {
		line = bytes.TrimSpace(line)
		if i := bytes.LastIndex(line, []byte(`{"level"`)); i > 0 {
			line = line[i:]
		}
		if len(line) > 0 && !json.Valid(line) && line[0] != '{' {
			malformed = append(append(malformed, line...), '\n')
		}
	}
	return string(malformed)
}

func (l *logBuffer) contains(text string) bool { return l.count(text) > 0 }

func (l *logBuffer) count(text string) int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return bytes.Count(l.buf.Bytes(), []byte(text))
}

// saveLogs writes the full output of all processes of a failed run to a folder: the given one, or a new one that
// is kept if none is given.
func (cl *cluster) saveLogs(dir string) {
	if dir == "" {
		var err error
		dir, err = os.MkdirTemp("", "bamboowood-soak-") // unlike t.TempDir, it is kept
		must.NoError(cl.t, err)
	}
	must.NoError(cl.t, os.MkdirAll(dir, 0o700))
	cl.t.Logf("output of all processes: %s", dir)
	for _, p := range cl.all() {
		p.logs.mu.Lock()
		must.NoError(cl.t, os.WriteFile(filepath.Join(dir, p.name+".log"), p.logs.buf.Bytes(), 0o600))
		p.logs.mu.Unlock()
	}
}

func randomDuration(r *rand.Rand, low, high time.Duration) time.Duration {
	return low + time.Duration(r.Int64N(int64(high-low)))
}
