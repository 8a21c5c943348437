package soak

import (
	"bytes"
	"context"
	"encoding/json"
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

// Ports of the processes; each has a loopback address of its own.
const (
	frontPort  = "18161"
	readyPort  = "18167"
	reportPort = "18166"
	peerPort   = 17720
)

// What the platform sets.
const (
	longestLease  = 6 * time.Second
	grace         = 6 * time.Second
	reportEvery   = 500 * time.Millisecond
	runnerCPU     = 8000
	runnerMemory  = 8000
	taskCPU       = 1000
	maxAttempts   = 3
	service       = "desk"
	host          = "a.example"
	prefix        = "/x/"
	killedRestart = 200 * time.Millisecond
)

var config = fmt.Sprintf(`{"version":1,"routes":[{"name":"r","host":%q,"pathPrefix":%q,"service":%q,
	"maxAttempts":%d,"stretch":2,"sloMs":1000}],"services":[{"name":%q,"admissionCheck":false}],
	"limits":{"maxBodyBytes":100000}}`, host, prefix, service, maxAttempts, service)

// process is one of the project's programs, with the links that it is reached by and
// reaches others by.
type process struct {
	w        *world
	name, ip string
	role     string
	settings string
	peers    *link
	links    []*link

	logs *logs

	mu  sync.Mutex // held by one fault at a time that ends or starts the process
	cmd *exec.Cmd
	// ended is closed when cmd has ended; stopping says that it was asked to.
	ended    chan struct{}
	stopping bool
}

// world is a deployment of separate processes over stand-ins of the platform.
type world struct {
	t       *testing.T
	seed    int64
	dir     string
	store   *platformtest.Store
	entries []*process
	agents  []*process
	runners []*platformtest.Runner
	record  record
	jobs    *registry
}

// Loopback addresses are 127.BLOCK.SLOT.i: a block for each run of the tests, so that
// several may run at once, and a slot for each deployment of a run.
const (
	firstBlock = 40
	lastBlock  = 250
	blockPort  = "18160"
)

var block int

// claimBlock takes a block that no other run has, until the test ends.
func claimBlock(t *testing.T) {
	for block = firstBlock; block <= lastBlock; block++ {
		if ln, err := net.Listen("tcp", net.JoinHostPort(address(0, 1), blockPort)); err == nil {
			t.Cleanup(func() { _ = ln.Close() })
			return
		}
	}
	t.Fatal("no block of loopback addresses is free")
}

func address(slot, i int) string { return fmt.Sprintf("127.%d.%d.%d", block, slot, i) }

func newWorld(t *testing.T, seed int64, slot, entries, agents int) *world {
	w := &world{t: t, seed: seed, dir: t.TempDir(), store: platformtest.NewStore(), jobs: newRegistry(seed, agents*runnerCPU/taskCPU/2)}
	storeAddress := w.serve(net.JoinHostPort(address(slot, 1), "18169"), w.store)
	w.store.WriteOperator("config", []byte(config))
	for i := range agents {
		ip := address(slot, 100+i)
		r := &platformtest.Runner{
			ID: "i-" + ip, Service: service, Zone: "z1", Labels: []string{"a", "r1"}, CPU: runnerCPU, MemoryMB: runnerMemory,
			MaxLease: longestLease, Duration: w.jobs.duration, Observe: w.record.add,
		}
		r.Reset()
		w.runners = append(w.runners, r)
		own := newLink(t, w.serve(net.JoinHostPort(ip, "18165"), r))
		p := w.process("agent", ip, storeAddress)
		p.links = append(p.links, own)
		p.settings += fmt.Sprintf("app = %q\n", own.address())
		p.settings = p.settings + w.tables(ip, p.links[0].address())
		w.agents = append(w.agents, p)
		go w.report(r, net.JoinHostPort(ip, reportPort), own.address())
	}
	for i := range entries {
		ip := address(slot, 10+i)
		p := w.process("entry", ip, storeAddress)
		p.settings += w.tables(ip, p.links[0].address())
		w.entries = append(w.entries, p)
	}
	for _, p := range w.all() {
		p.start()
		t.Cleanup(p.kill)
	}
	return w
}

func (w *world) all() []*process { return append(append([]*process(nil), w.entries...), w.agents...) }

// process prepares one, whose first two links lead to the store and to its peer port.
func (w *world) process(role, ip, store string) *process {
	p := &process{w: w, role: role, ip: ip, name: role + "-" + ip, logs: &logs{}}
	p.peers = newLink(w.t, net.JoinHostPort(ip, fmt.Sprint(peerPort)))
	p.links = []*link{newLink(w.t, store), p.peers}
	p.settings = fmt.Sprintf("nodeName = %q\nip = %q\nzone = \"z1\"\nportRange = [%d,%d]\nadvertise = %q\n",
		p.name, ip, peerPort, peerPort+15, p.peers.address())
	return p
}

func (w *world) tables(ip, store string) string {
	return fmt.Sprintf("[listen]\nfront = %q\nready = %q\ncontrol = %q\n", net.JoinHostPort(ip, frontPort),
		net.JoinHostPort(ip, readyPort), net.JoinHostPort(ip, reportPort)) +
		fmt.Sprintf("[limits]\nmemoryMb = 512\nlinkMbps = 1000.0\n[platform]\naddress = %q\n", store) +
		fmt.Sprintf("[bounds]\nholdMaxMs = %d\ngraceS = %g\nstatus_s = 600\nearly_ms = 250\nremoteFactor = 1.5\n",
			longestLease.Milliseconds(), grace.Seconds())
}

func (w *world) serve(address string, handler http.Handler) string {
	ln, err := net.Listen("tcp", address)
	must.NoError(w.t, err)
	server := &http.Server{Handler: handler, ReadHeaderTimeout: time.Second}
	go func() { _ = server.Serve(ln) }()
	w.t.Cleanup(func() { _ = server.Close() })
	return ln.Addr().String()
}

// report sends a runner's reports to its agent until the test ends.
func (w *world) report(r *platformtest.Runner, agent, own string) {
	for tick := time.NewTicker(reportEvery); w.t.Context().Err() == nil; <-tick.C {
		ctx, cancel := context.WithTimeout(w.t.Context(), time.Second)
		_ = r.Report(ctx, agent, own, false) // the next one follows; an agent may be down
		cancel()
	}
}

func (p *process) path() string { return filepath.Join(p.w.dir, p.name+".toml") }

// start is called with mu held, or before the faults begin.
func (p *process) start() {
	must.NoError(p.w.t, os.WriteFile(p.path(), []byte(p.settings), 0o600))
	cmd := exec.Command(os.Args[0], "platform", p.role)
	cmd.Env = append(os.Environ(), runAs+"=bamboowoodd", "BAMBOOWOOD_SETTINGS="+p.path())
	cmd.Stdout, cmd.Stderr = p.logs, p.logs
	must.NoError(p.w.t, cmd.Start())
	p.cmd, p.ended, p.stopping = cmd, make(chan struct{}), false
	go p.supervise(cmd, p.ended)
}

// supervise starts the process again if it ends unasked, as the platform does. Only a
// signal that comes before the program has begun may end it.
func (p *process) supervise(cmd *exec.Cmd, ended chan struct{}) {
	err := cmd.Wait()
	close(ended)
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.cmd != cmd || p.stopping {
		return
	}
	if status, ok := cmd.ProcessState.Sys().(syscall.WaitStatus); !ok || !status.Signaled() {
		p.w.record.fail("%s ended by itself: %v", p.name, err)
	}
	<-time.After(killedRestart)
	p.start()
}

// end ends the process by a signal; after limit it is killed. It is called with mu held.
func (p *process) end(s os.Signal, limit time.Duration) (took time.Duration, killed bool) {
	begin := time.Now()
	p.stopping = true
	_ = p.cmd.Process.Signal(s) // it may have ended
	select {
	case <-p.ended:
	case <-time.After(limit):
		killed = true
		_ = p.cmd.Process.Kill()
		<-p.ended
	}
	return time.Since(begin), killed
}

// kill ends the process for good, also if it is stopped.
func (p *process) kill() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.end(os.Kill, time.Hour)
}

// killFor kills the process and starts it again.
func (p *process) killFor(d time.Duration) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.end(os.Kill, time.Hour)
	<-time.After(d)
	p.start()
}

// pause stops the process and continues it.
func (p *process) pause(d time.Duration) {
	p.mu.Lock()
	defer p.mu.Unlock()
	_ = p.cmd.Process.Signal(syscall.SIGSTOP)
	<-time.After(d)
	_ = p.cmd.Process.Signal(syscall.SIGCONT)
}

// terminate asks the process to end and starts it again.
func (p *process) terminate(limit time.Duration) (took time.Duration, killed bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	took, killed = p.end(syscall.SIGTERM, limit)
	<-time.After(killedRestart)
	p.start()
	return took, killed
}

// reload changes the settings file and says so.
func (p *process) reload(signal bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.settings = fmt.Sprintf("# changed at %d\n", time.Now().UnixNano()) + p.settings
	must.NoError(p.w.t, os.WriteFile(p.path(), []byte(p.settings), 0o600))
	if signal {
		_ = p.cmd.Process.Signal(syscall.SIGHUP)
	}
}

// logs gathers what a process writes, over all its lives.
type logs struct {
	mu  sync.Mutex
	buf bytes.Buffer
}

// Write implements io.Writer.
func (l *logs) Write(p []byte) (int, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.buf.Write(p)
}

// unreadable returns the first line that is no JSON object. The last line of a life that was
// killed may be cut off, and the next life's first one follows it.
func (l *logs) unreadable() string {
	l.mu.Lock()
	defer l.mu.Unlock()
	for line := range bytes.Lines(l.buf.Bytes()) {
		line = bytes.TrimSpace(line)
		if i := bytes.LastIndex(line, []byte(`{"level"`)); i > 0 {
			line = line[i:]
		}
		if len(line) > 0 && !json.Valid(line) && line[0] != '{' {
			return string(line)
		}
	}
	return ""
}

func (l *logs) contains(text string) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return bytes.Contains(l.buf.Bytes(), []byte(text))
}

// save writes all logs to a folder, for a run that failed.
func (w *world) save(dir string) {
	must.NoError(w.t, os.MkdirAll(dir, 0o700))
	for _, p := range w.all() {
		p.logs.mu.Lock()
		must.NoError(w.t, os.WriteFile(filepath.Join(dir, p.name+".log"), p.logs.buf.Bytes(), 0o600))
		p.logs.mu.Unlock()
	}
}

func between(r *rand.Rand, low, high time.Duration) time.Duration {
	return low + time.Duration(r.Int64N(int64(high-low)))
}
