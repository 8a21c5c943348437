package main

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"time"

	"bamboowood/platform/platformtest"
)

// Bounds of the deployment, in milliseconds where not said otherwise.
const (
	contactMS  = 3000
	ackMS      = 4000
	cancelMS   = 3000
	stopMS     = 900
	finishS    = 14
	holdMaxMS  = 6000
	graceS     = 6
	deadlineMS = 3000

	heartbeatMS = 1500
)

const (
	service   = "desk"
	routeHost = "desk.example"
	prefix    = "/jobs/"
)

// errStalled is the error of a case that could not run.
var errStalled = errors.New("the system did not become ready")

// world is a small deployment: the processes of the system and stand-ins for all others.
type world struct {
	dir     string
	octets  string // first two octets of all addresses, which are loopback addresses
	record  *record
	store   *platformtest.Store
	late    *lateStore
	storeAt string
	runners []*runner
	entries []*process
	agents  []*process
	servers []*http.Server
}

// record writes what was sent, answered and run.
type record struct {
	mu    sync.Mutex
	file  *os.File
	began time.Time
}

func (r *record) line(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	_, _ = fmt.Fprintf(r.file, "%8.3f "+format+"\n", append([]any{time.Since(r.began).Seconds()}, args...)...)
}

func newWorld(recordPath string) (*world, error) {
	file, err := os.Create(recordPath)
	if err != nil {
		return nil, err
	}
	dir, err := os.MkdirTemp("", "review-")
	if err != nil {
		return nil, err
	}
	w := &world{
		dir: dir, octets: fmt.Sprintf("127.%d", 20+rand.N(200)), store: platformtest.NewStore(),
		record: &record{file: file, began: time.Now()},
	}
	w.late = &lateStore{next: w.store, random: rand.New(rand.NewPCG(1, 1)), record: w.record}
	w.storeAt, err = w.serve(w.octets+".0.1:0", w.late)
	return w, err
}

// serve serves a handler at an address, whose port may be 0, and returns the address in use.
func (w *world) serve(address string, handler http.Handler) (string, error) {
	ln, err := net.Listen("tcp", address)
	if err != nil {
		return "", err
	}
	server := &http.Server{Handler: handler, ReadHeaderTimeout: time.Minute}
	w.servers = append(w.servers, server)
	go func() { _ = server.Serve(ln) }()
	return ln.Addr().String(), nil
}

// freePort returns a port that is free at an address.
func freePort(ip string) int {
	ln, err := net.Listen("tcp", ip+":0")
	if err != nil {
		return 0
	}
	defer func() { _ = ln.Close() }()
	return ln.Addr().(*net.TCPAddr).Port
}

// close ends all processes and stand-ins.
func (w *world) close() {
	for _, p := range append(w.entries, w.agents...) {
		p.stop()
	}
	for _, r := range w.runners {
		r.down()
	}
	for _, s := range w.servers {
		_ = s.Close()
	}
	_ = os.RemoveAll(w.dir)
	_ = w.record.file.Close()
}

// process is a process of the system.
type process struct {
	name, settings, role string
	callers, ready       string
	control              string
	log                  string
	mu                   sync.Mutex
	cmd                  *exec.Cmd
	done                 chan struct{}
}

func (p *process) start() error {
	p.mu.Lock()
	defer p.mu.Unlock()
	log, err := os.OpenFile(p.log, os.O_APPEND|os.O_CREATE|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	defer func() { _ = log.Close() }()
	p.cmd = exec.Command("target/bamboowoodd", "platform", p.role)
	p.cmd.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME"), "BAMBOOWOOD_SETTINGS=" + p.settings}
	p.cmd.Stdout, p.cmd.Stderr = log, log
	if err := p.cmd.Start(); err != nil {
		return err
	}
	done := make(chan struct{})
	p.done = done
	go func(cmd *exec.Cmd) { _ = cmd.Wait(); close(done) }(p.cmd)
	return nil
}

// stop kills the process, if it runs.
func (p *process) stop() {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.cmd == nil {
		return
	}
	_ = p.cmd.Process.Signal(syscall.SIGKILL)
	<-p.done
	p.cmd = nil
}

const boundsText = `
[bounds]
contactMs = %d
ackMs = %d
drainMs = 2000
graceS = %d
lossSlackMs = 200
configDeadlineMs = 2000
downgradeSlackMs = 250
maxSkewMs = 5000
evacuateMs = 5000
recoveryS = 12
holdMaxMs = %d
stopMs = %d
gangMs = 3000
cancel_ms = %d
visible_ms = 3000
early_ms = 250
finish_s = %d
status_s = 120
remoteFactor = 1.5
saveS = 1
restoreMs = 600
leaseMs = 3000
paceMs = 100
harmMs = 4000
`

// addProcess writes the settings of a process, whose address has the given last octets, and starts it.
func (w *world) addProcess(role, class, zone, last string, extra string, memory int) (*process, error) {
	ip := w.octets + "." + last
	name := class + "-" + strings.ReplaceAll(last, ".", "-")
	p := &process{name: name, role: role, settings: filepath.Join(w.dir, name+".toml"), log: filepath.Join(w.dir, name+".log")}
	var text bytes.Buffer
	peers := freePort(ip)
	fmt.Fprintf(&text, "nodeName = %q\nrole = %q\nmachineClass = %q\nip = %q\nzone = %q\nregion = \"north\"\nportRange = [%d,%d]\n",
		name, role, class, ip, zone, peers, peers)
	fmt.Fprintf(&text, "bootstrap = true\nheartbeatMs = %d\norders = \"invoke\"\n%s\n[listen]\n", heartbeatMS, extra)
	if role == "entry" {
		p.callers, p.ready = fmt.Sprintf("%s:%d", ip, freePort(ip)), fmt.Sprintf("%s:%d", ip, freePort(ip))
		fmt.Fprintf(&text, "front = %q\nready = %q\n", p.callers, p.ready)
	} else {
		p.control = fmt.Sprintf("%s:%d", ip, freePort(ip))
		fmt.Fprintf(&text, "control = %q\n", p.control)
	}
	fmt.Fprintf(&text, "[limits]\ncpuShare = 0.4\ncores = 1\nmemoryMb = %d\nmaxFds = 4096\nlinkMbps = 1000.0\n", memory)
	fmt.Fprintf(&text, boundsText, contactMS, ackMS, graceS, holdMaxMS, stopMS, cancelMS, finishS)
	fmt.Fprintf(&text, "[platform]\naddress = %q\nform = \"table\"\nwritesPerS = 800\nreadsPerS = 2000\ntxMs = 3.0\nrowBytes = 65536\nhistoryS = 20\n", w.storeAt)
	if err := os.WriteFile(p.settings, text.Bytes(), 0o600); err != nil {
		return nil, err
	}
	return p, p.start()
}

// runner is a runner on a side machine, with the agent beside it.
type runner struct {
	*platformtest.Runner
	agent   *process
	address string

	began chan struct{} // receives a value when a life begins

	mu     sync.Mutex
	server *http.Server // nil while the runner is down
}

// up starts a new life of the runner, at the address that it had and under its id.
func (r *runner) up() error {
	r.mu.Lock()
	defer r.mu.Unlock()
	ln, err := net.Listen("tcp", r.address)
	if err != nil {
		return err
	}
	r.address = ln.Addr().String()
	r.Reset()
	r.server = &http.Server{Handler: r.Runner, ReadHeaderTimeout: time.Minute}
	go func(s *http.Server) { _ = s.Serve(ln) }(r.server)
	select {
	case r.began <- struct{}{}:
	default:
	}
	return nil
}

// down crashes the runner: it runs nothing any more, and connections to its address are refused.
func (r *runner) down() {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.server != nil {
		_ = r.server.Close()
		r.server = nil
		r.Reset()
	}
}

// report sends a report when a life of the runner begins and every heartbeatMs after one that was acknowledged.
func (r *runner) report() {
	for {
		r.mu.Lock()
		alive := r.server != nil
		r.mu.Unlock()
		pause := 50 * time.Millisecond
		if alive {
			ctx, cancel := context.WithTimeout(context.Background(), time.Second)
			if err := r.Report(ctx, r.agent.control, r.address, false); err == nil {
				pause = heartbeatMS * time.Millisecond
			}
			cancel()
		}
		select {
		case <-r.began:
		case <-time.After(pause):
		}
	}
}

// options describe a deployment.
type options struct {
	entries, agents int
	// cpu and memory are the capacity of a runner.
	cpu, memory int64
	// duration returns how long a run of a task takes.
	duration func(task string) time.Duration
	observe  func(platformtest.RunnerEvent)
	ticket   func(runner, task string) string
	// queue is added to the queue's entry in the configuration.
	queue map[string]any
	// entryExtra returns further settings of the i-th entry.
	entryExtra func(i int) string
}

// start starts the deployment and waits until it serves callers.
func (w *world) start(o options) error {
	route := map[string]any{
		"name": "r-1", "host": routeHost, "pathPrefix": prefix, "kind": "non_idempotent", "timeoutMs": deadlineMS,
		"sloMs": 1000, "priority": 0, "service": service, "maxAttempts": 3, "stretch": 2.0,
	}
	for k, v := range o.queue {
		route[k] = v
	}
	config, err := json.Marshal(map[string]any{
		"version": 1, "routes": []any{route},
		"services": []any{map[string]any{"name": service, "healthPath": "/health", "maxConns": 64, "protocol": "h1", "admissionCheck": false, "spare": false}},
		"limits":   map[string]any{"maxHeaderBytes": 16384, "maxBodyBytes": 262144, "headerTimeoutMs": 3000, "idleTimeoutMs": 15000},
	})
	if err != nil {
		return err
	}
	w.store.WriteOperator("config", config)
	for i := range o.entries {
		extra := ""
		if o.entryExtra != nil {
			extra = o.entryExtra(i)
		}
		p, err := w.addProcess("entry", "front", fmt.Sprintf("zone-%d", i%2), fmt.Sprintf("1.%d", i+1), extra, 284)
		if err != nil {
			return err
		}
		w.entries = append(w.entries, p)
	}
	for i := range o.agents {
		if err := w.addRunner(o, i); err != nil {
			return err
		}
	}
	return w.awaitReady()
}

func (w *world) addRunner(o options, i int) error {
	last, zone := fmt.Sprintf("2.%d", i+1), fmt.Sprintf("zone-%d", i%2)
	r := &runner{address: w.octets + "." + last + ":0", began: make(chan struct{}, 1), Runner: &platformtest.Runner{
		ID: fmt.Sprintf("i-%08x", 1000+i), Service: service, Zone: zone, Labels: []string{"a", "r1-1"}, CPU: o.cpu, MemoryMB: o.memory,
		MaxLease: holdMaxMS * time.Millisecond, Observe: o.observe,
		Duration: func(task string, _ int64) (time.Duration, bool) { return o.duration(task), false },
	}}
	if o.ticket != nil {
		r.Ticket = func(task string) string { return o.ticket(r.ID, task) }
	}
	if err := r.up(); err != nil {
		return err
	}
	var err error
	if r.agent, err = w.addProcess("agent", "side", zone, last, fmt.Sprintf("app = %q\nservice = %q\n", r.address, service), 152); err != nil {
		return err
	}
	w.agents, w.runners = append(w.agents, r.agent), append(w.runners, r)
	go r.report()
	return nil
}

// awaitReady waits until each entry is ready, and for the runners to be known.
func (w *world) awaitReady() error {
	deadline := time.Now().Add(30 * time.Second)
	for _, e := range w.entries {
		for {
			response, err := http.Get("http://" + e.ready + "/ready")
			if err == nil {
				_ = response.Body.Close()
				if response.StatusCode == http.StatusOK {
					break
				}
			}
			if time.Now().After(deadline) {
				return errStalled
			}
			time.Sleep(50 * time.Millisecond)
		}
	}
	// The agents register and their runners report.
	time.Sleep(5 * time.Second)
	return nil
}

// callers is the client of all callers; each call has a connection of its own.
var callers = &http.Client{Transport: &http.Transport{DisableKeepAlives: true}}

// call sends one request of a caller and returns the status, 0 without an answer.
func (w *world) call(e *process, method, path, body string, timeout time.Duration) (status int, answer string) {
	ctx, cancel := context.WithTimeout(context.Background(), timeout)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, method, "http://"+e.callers+path, strings.NewReader(body))
	if err != nil {
		return 0, err.Error()
	}
	request.Host = routeHost
	request.Header.Set("Deadline-Ms", fmt.Sprint(deadlineMS))
	request.Header.Set("Content-Type", "application/json")
	w.record.line("sent     %s %s to %s %s", method, path, e.name, body)
	response, err := callers.Do(request)
	if err != nil {
		w.record.line("no answer to %s %s", method, path)
		return 0, ""
	}
	defer func() { _ = response.Body.Close() }()
	data, err := io.ReadAll(response.Body)
	if err != nil {
		w.record.line("no answer to %s %s", method, path)
		return 0, ""
	}
	answer = strings.TrimSpace(string(data))
	w.record.line("answered %s %s: %d %s", method, path, response.StatusCode, answer)
	return response.StatusCode, answer
}

// lateStore is the store, which for some time performs a share of the writes seconds later and does not answer
// them.
type lateStore struct {
	next   http.Handler
	record *record

	mu     sync.Mutex
	random *rand.Rand
	until  time.Time
	share  float64
}

// loseAnswers makes the store lose the answers of a share of the writes for d.
func (l *lateStore) loseAnswers(share float64, d time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.share, l.until = share, time.Now().Add(d)
}

// delay returns by how much the next write is late; 0 if it is not.
func (l *lateStore) delay() time.Duration {
	l.mu.Lock()
	defer l.mu.Unlock()
	if time.Now().After(l.until) || l.random.Float64() >= l.share {
		return 0
	}
	return time.Second + time.Duration(l.random.Float64()*float64(5*time.Second))
}

// ServeHTTP implements http.Handler.
func (l *lateStore) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if r.Method != http.MethodPost {
		l.next.ServeHTTP(w, r)
		return
	}
	delay := l.delay()
	if delay == 0 {
		l.next.ServeHTTP(w, r)
		return
	}
	body, err := io.ReadAll(r.Body)
	if err != nil {
		panic(http.ErrAbortHandler)
	}
	go func() {
		time.Sleep(delay)
		late, err := http.NewRequest(r.Method, r.URL.String(), bytes.NewReader(body))
		if err != nil {
			return
		}
		answer := &discardedAnswer{header: http.Header{}}
		l.next.ServeHTTP(answer, late)
		l.record.line("the store performs a write that it did not answer, %d ms late, with the result %d", delay.Milliseconds(), answer.status)
	}()
	// Nothing further comes on this connection.
	<-r.Context().Done()
	panic(http.ErrAbortHandler)
}

// discardedAnswer is an answer that is lost.
type discardedAnswer struct {
	header http.Header
	status int
}

// Header implements http.ResponseWriter.
func (d *discardedAnswer) Header() http.Header { return d.header }

// Write implements http.ResponseWriter.
func (d *discardedAnswer) Write(p []byte) (int, error) { return len(p), nil }

// WriteHeader implements http.ResponseWriter.
func (d *discardedAnswer) WriteHeader(status int) { d.status = status }
