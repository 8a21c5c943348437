package main

import (
	"bufio"
	"bytes"
	"context"
	"encoding/base64"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"

	"bamboowood/platform/platformtest"
)

// The deployment: names, ports, and the limits that the pages give for it.
const (
	serviceName = "desk"
	hostName    = "desk.example"
	prefix      = "/batch/"
	lowPrefix   = "/later/" // the queue with priority 2; the other one has 0
	callersPort = 18161
	readyPort   = 18167
	controlPort = 18166
	runnerPort  = 18165
	storePort   = 18169
	peerPort    = 17720

	maxAttempts  = 4
	rowBytes     = 65536
	maxTxEntries = 100
	maxTxBytes   = 1 << 20
	txTime       = 3 * time.Millisecond
	heartbeat    = 1500 * time.Millisecond
	finishTime   = 14 * time.Second
	graceTime    = 6 * time.Second
	// restartDelay is how long after its end a process is started again.
	restartDelay = 500 * time.Millisecond
	// failTime is how long a runner that fails all that it starts takes to do so.
	failTime = 100 * time.Millisecond
)

var zones = []string{"norte", "sur"}

var largeRunner = resources{CPU: 64_000, MemoryMB: 256_000}

type step struct {
	Count       int    `json:"count"`
	CPU         int64  `json:"cpu"`
	MemoryMB    int64  `json:"memMb"`
	EstimateMS  int64  `json:"estimateMs"`
	After       []int  `json:"after,omitempty"`
	Gang        bool   `json:"gang,omitempty"`
	LongRunning bool   `json:"longRunning,omitempty"`
	Fills       bool   `json:"fills,omitempty"`
	Label       string `json:"requiredLabel,omitempty"`
}

// duration is how long a task of the step works on a sound runner.
func (s step) duration() time.Duration { return time.Duration(s.EstimateMS) * time.Millisecond }

type taskName struct {
	job                     string
	occurrence, step, index int
}

func parseTask(name string) (taskName, error) {
	parts := strings.Split(name, ".")
	if len(parts) != 4 {
		return taskName{}, errors.New("not a task's name")
	}
	var n [3]int
	for i := range n {
		var err error
		if n[i], err = strconv.Atoi(parts[i+1]); err != nil {
			return taskName{}, err
		}
	}
	return taskName{parts[0], n[0], n[1], n[2]}, nil
}

func (t taskName) String() string {
	return fmt.Sprintf("%s.%d.%d.%d", t.job, t.occurrence, t.step, t.index)
}

// world is a deployment of the project's programs among stand-ins.
type world struct {
	ctx      context.Context
	block    int
	dir      string
	root     string
	store    *platformtest.Store
	gangs    gangs
	gangTime time.Duration
	maxLease time.Duration
	// linkMbps is the rate of a machine's link as the settings state it, and extraRoutes the number of
	// routes of the config that no client uses.
	linkMbps    float64
	extraRoutes int
	client      *http.Client

	entries, agents []*process
	runners         []*runner

	mu    sync.Mutex
	steps map[string][]step
	low   map[string]bool // the submissions of the queue with low priority
	// hopeless holds the submissions whose tasks fail wherever they run. It does not change while tasks run.
	hopeless map[string]bool
	events   []event
	record   *bufio.Writer
	file     *os.File
	began    time.Time
	// oversize counts the transactions that the store refused as too large.
	oversize int
	next     int
}

func newWorld(ctx context.Context, record string) (*world, error) {
	dir, err := os.MkdirTemp("", "review-")
	if err != nil {
		return nil, err
	}
	root, err := os.Getwd()
	if err != nil {
		return nil, err
	}
	file, err := os.Create(record)
	if err != nil {
		return nil, err
	}
	w := &world{
		ctx: ctx, dir: dir, root: root, store: platformtest.NewStore(), gangTime: 3 * time.Second, linkMbps: 1000, maxLease: 6 * time.Second,
		gangs: gangs{present: map[string]map[int]bool{}, ended: map[string]bool{}}, steps: map[string][]step{}, low: map[string]bool{}, hopeless: map[string]bool{},
		client: &http.Client{Timeout: 3 * time.Second, Transport: &http.Transport{MaxIdleConnsPerHost: 64}},
		record: bufio.NewWriter(file), file: file, began: time.Now(),
	}
	w.store.SetTxTime(txTime)
	if err := w.reserveBlock(); err != nil {
		return nil, err
	}
	return w, w.serve(w.address(1, storePort), http.HandlerFunc(w.serveStore))
}

// reserveBlock finds a block of loopback addresses 127.99.BLOCK.x that nobody uses.
func (w *world) reserveBlock() error {
	for w.block = 1; w.block < 250; w.block++ {
		ln, err := net.Listen("tcp", w.address(1, 18160))
		if err == nil {
			context.AfterFunc(w.ctx, func() { _ = ln.Close() })
			return nil
		}
	}
	return errors.New("no block of loopback addresses is free")
}

func (w *world) address(host, port int) string {
	return fmt.Sprintf("127.99.%d.%d:%d", w.block, host, port)
}

func (w *world) serve(address string, handler http.Handler) error {
	ln, err := net.Listen("tcp", address)
	if err != nil {
		return err
	}
	server := &http.Server{Handler: handler, ReadHeaderTimeout: time.Second}
	go func() { _ = server.Serve(ln) }()
	context.AfterFunc(w.ctx, func() { _ = server.Close() })
	return nil
}

// serveStore adds the limits of a transaction to the project's stand-in of the store.
func (w *world) serveStore(rw http.ResponseWriter, req *http.Request) {
	if req.URL.Path != "/rows-tx" {
		w.store.ServeHTTP(rw, req)
		return
	}
	body, err := io.ReadAll(req.Body)
	if err != nil {
		return
	}
	var tx struct {
		Expected, Remove []json.RawMessage
		Writes           []struct{ Table, Key, Value string }
	}
	if err := json.Unmarshal(body, &struct {
		Expected *[]json.RawMessage                    `json:"expectedRev"`
		Writes   *[]struct{ Table, Key, Value string } `json:"writes"`
		Remove   *[]json.RawMessage                    `json:"remove"`
	}{&tx.Expected, &tx.Writes, &tx.Remove}); err != nil {
		http.Error(rw, err.Error(), http.StatusBadRequest)
		return
	}
	why := ""
	if len(body) > maxTxBytes || len(tx.Expected)+len(tx.Writes)+len(tx.Remove) > maxTxEntries {
		why = "transaction too large"
	}
	for _, row := range tx.Writes {
		if n := base64.StdEncoding.DecodedLen(len(row.Value)); n > rowBytes+2 {
			why = fmt.Sprintf("value of row %s/%s has %d bytes, at most %d are allowed", row.Table, row.Key, n, rowBytes)
		}
	}
	if why != "" {
		w.mu.Lock()
		w.oversize++
		first := w.oversize == 1
		w.mu.Unlock()
		if first {
			w.log("the store refuses a transaction with 400: %s", why)
		}
		http.Error(rw, why, http.StatusBadRequest)
		return
	}
	req.Body = io.NopCloser(bytes.NewReader(body))
	w.store.ServeHTTP(rw, req)
}

// log writes a line of the record.
func (w *world) log(format string, args ...any) {
	w.mu.Lock()
	defer w.mu.Unlock()
	fmt.Fprintf(w.record, "%8.3f  %s\n", time.Since(w.began).Seconds(), fmt.Sprintf(format, args...))
}

func (w *world) observe(e event) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.events = append(w.events, e)
}

// step returns the step of a task that some client has submitted.
func (w *world) step(t taskName) (step, bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	steps := w.steps[t.job]
	if t.step >= len(steps) || t.index >= steps[t.step].Count || t.occurrence != 0 {
		return step{}, false
	}
	return steps[t.step], true
}

// writeConfig writes the operator's config.
func (w *world) writeConfig() {
	routes := []any{route("r-1", hostName, prefix, 0), route("r-2", hostName, lowPrefix, 2)}
	for i := range w.extraRoutes {
		routes = append(routes, route(fmt.Sprintf("r-x%05d", i), fmt.Sprintf("nony%02d.example", i%40), fmt.Sprintf("/pule%05d/", i), 0))
	}
	w.store.WriteOperator("config", mustJSON(map[string]any{
		"version": 3, "routes": routes,
		"services": []any{map[string]any{"name": serviceName, "healthPath": "/health", "maxConns": 64, "protocol": "h1", "admissionCheck": true}},
		"limits":   map[string]any{"maxHeaderBytes": 16384, "maxBodyBytes": 262144, "headerTimeoutMs": 3000, "idleTimeoutMs": 15000},
	}))
}

func route(name, host, path string, priority int) map[string]any {
	return map[string]any{
		"name": name, "host": host, "pathPrefix": path, "kind": "non_idempotent", "timeoutMs": 3000, "sloMs": 1000,
		"priority": priority, "service": serviceName, "maxAttempts": maxAttempts, "stretch": 2.0,
	}
}

// link is the link of one machine to the store.
type link struct {
	rate float64 // bytes a second
	mu   sync.Mutex
	free time.Time // when all bytes so far will have passed
}

type linkWriter struct {
	http.ResponseWriter
	link *link
}

// linkChunk is the number of bytes after which another connection of the machine has its turn.
const linkChunk = 4 << 10

// Write implements io.Writer.
func (w *linkWriter) Write(p []byte) (int, error) {
	sent := 0
	for sent < len(p) {
		n := min(len(p)-sent, linkChunk)
		w.link.mu.Lock()
		if now := time.Now(); w.link.free.Before(now) {
			w.link.free = now
		}
		w.link.free = w.link.free.Add(time.Duration(float64(n) / w.link.rate * float64(time.Second)))
		until := w.link.free
		w.link.mu.Unlock()
		time.Sleep(time.Until(until))
		if _, err := w.ResponseWriter.Write(p[sent : sent+n]); err != nil {
			return sent, err
		}
		sent += n
	}
	return sent, nil
}

// serveStoreLink serves the store to one entry at the rate of its link.
func (w *world) serveStoreLink(host int) error {
	l := &link{rate: w.linkMbps * 1e6 / 8}
	return w.serve(w.address(host, storePort), http.HandlerFunc(func(rw http.ResponseWriter, req *http.Request) {
		w.serveStore(&linkWriter{rw, l}, req)
	}))
}

// process is an entry or an agent, started as the deploy file says.
type process struct {
	name, role, ip string
	settings       string
	// proxy carries the leader's connections to an agent; nil for a direct connection.
	proxy *platformtest.Proxy
	cmd   *exec.Cmd
	logs  *os.File
}

func (w *world) startProcess(role string, host int, zone string, proxy *platformtest.Proxy) (*process, error) {
	ip := fmt.Sprintf("127.99.%d.%d", w.block, host)
	advertise := ""
	if proxy != nil {
		advertise = fmt.Sprintf("advertise = %q\n", proxy.Address())
	}
	p := &process{name: fmt.Sprintf("%s-%d", role, host), role: role, ip: ip, proxy: proxy}
	settings := fmt.Sprintf("nodeName = %q\nip = %q\nzone = %q\nregion = \"r\"\nportRange = [%d,%d]\nheartbeatMs = %d\norders = \"invoke\"\n",
		p.name, ip, zone, peerPort, peerPort+15, heartbeat.Milliseconds())
	listen := fmt.Sprintf("front = %q\nready = %q\n", w.address(host, callersPort), w.address(host, readyPort))
	memory, store := 284, w.address(host, storePort)
	if role == "agent" {
		settings += fmt.Sprintf("app = %q\nservice = %q\n", w.address(host, runnerPort), serviceName)
		listen, memory = fmt.Sprintf("control = %q\n", w.address(host, controlPort)), 152
		store = w.address(1, storePort)
	}
	settings += advertise + "[listen]\n" + listen
	settings += fmt.Sprintf("[limits]\nmemoryMb = %d\nlinkMbps = %g\n[platform]\naddress = %q\nform = \"table\"\nrowBytes = %d\n", memory, w.linkMbps, store, rowBytes)
	settings += fmt.Sprintf("[bounds]\nholdMaxMs = %d\ngraceS = %d\nstatus_s = 120\nearly_ms = 250\nremoteFactor = 1.5\nconfigDeadlineMs = 2000\ngangMs = %d\n",
		w.maxLease.Milliseconds(), int(graceTime.Seconds()), w.gangTime.Milliseconds())
	p.settings = filepath.Join(w.dir, p.name+".toml")
	if err := os.WriteFile(p.settings, []byte(settings), 0o600); err != nil {
		return nil, err
	}
	var err error
	if p.logs, err = os.Create(filepath.Join(w.dir, p.name+".log")); err != nil {
		return nil, err
	}
	return p, w.start(p)
}

// start starts the process, also again after it was killed.
func (w *world) start(p *process) error {
	p.cmd = exec.Command(filepath.Join(w.root, "target", "bamboowoodd"), "platform", p.role)
	p.cmd.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + w.dir, "BAMBOOWOOD_SETTINGS=" + p.settings}
	p.cmd.Stdout, p.cmd.Stderr = p.logs, p.logs
	// The process ends with this one, whatever happens.
	p.cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	return p.cmd.Start()
}

// kill kills the process and waits until it has ended.
func (p *process) kill() {
	_ = p.cmd.Process.Kill()
	_ = p.cmd.Wait()
}

// startEntry and startVM start machines of the platform's two classes.
func (w *world) startEntry(host int, zone string) error {
	if err := w.serveStoreLink(host); err != nil {
		return err
	}
	p, err := w.startProcess("entry", host, zone, nil)
	if err == nil {
		w.entries = append(w.entries, p)
	}
	return err
}

func (w *world) startVM(host int, zone string, capacity resources) (*runner, error) {
	if err := w.startAgent(host, zone, nil); err != nil {
		return nil, err
	}
	return w.startRunner(host, zone, capacity, "a")
}

func (w *world) startAgent(host int, zone string, proxy *platformtest.Proxy) error {
	p, err := w.startProcess("agent", host, zone, proxy)
	if err == nil {
		w.agents = append(w.agents, p)
	}
	return err
}

// startRunner starts the runner of a VM, which sends its pings to the VM's agent.
func (w *world) startRunner(host int, zone string, capacity resources, label string) (*runner, error) {
	r := newRunner(w, fmt.Sprintf("i-%d-%s", host, label), zone, w.address(host, runnerPort), capacity)
	r.label = label
	ln, err := net.Listen("tcp", r.address)
	if err != nil {
		return nil, err
	}
	r.server = &http.Server{Handler: r, ReadHeaderTimeout: time.Second}
	go func() { _ = r.server.Serve(ln) }()
	context.AfterFunc(w.ctx, func() { _ = r.server.Close() })
	w.mu.Lock()
	w.runners = append(w.runners, r)
	w.mu.Unlock()
	go func() {
		client := &http.Client{Timeout: time.Second}
		for n := 0; w.ctx.Err() == nil && !r.hasLeft(); n++ {
			r.report(client, w.address(host, controlPort))
			pause := heartbeat
			if n < 5 {
				pause = 300 * time.Millisecond
			}
			time.Sleep(pause)
		}
	}()
	return r, nil
}

// awaitReady waits until all entries report themselves ready.
func (w *world) awaitReady() error {
	for deadline := time.Now().Add(10 * time.Second); time.Now().Before(deadline); time.Sleep(100 * time.Millisecond) {
		ready := 0
		for _, p := range w.entries {
			if status, _ := send(w.client, http.MethodGet, fmt.Sprintf("http://%s:%d/ready", p.ip, readyPort), "", nil); status == http.StatusOK {
				ready++
			}
		}
		if ready == len(w.entries) {
			return nil
		}
	}
	return errors.New("the entries do not become ready")
}

// close ends all processes and writes the record.
func (w *world) close() {
	for _, p := range append(append([]*process(nil), w.entries...), w.agents...) {
		p.kill()
		_ = p.logs.Close()
	}
	w.mu.Lock()
	_ = w.record.Flush()
	_ = w.file.Close()
	w.mu.Unlock()
	if os.Getenv("KEEP") == "" {
		_ = os.RemoveAll(w.dir)
	} else {
		fmt.Println("logs kept in", w.dir)
	}
}

// submit hands a submission in at the entries in turn, until one answers other than 429, 503 or 504.
func (w *world) submit(id, spec string, steps []step) bool {
	w.mu.Lock()
	w.steps[id] = steps
	w.mu.Unlock()
	for range 8 {
		status, err := w.ask(http.MethodPost, id, map[string]any{"spec": spec, "steps": steps}, nil)
		switch {
		case err != nil:
			w.log("POST %s: %v", id, err)
		case status/100 == 2:
			w.log("POST %s: %d", id, status)
			return true
		default:
			w.log("POST %s: %d", id, status)
		}
		time.Sleep(300 * time.Millisecond)
	}
	return false
}

// ask sends a request to the next entry.
func (w *world) ask(method, id string, body, answer any) (int, error) {
	w.mu.Lock()
	w.next++
	p, path := w.entries[w.next%len(w.entries)], prefix
	if w.low[id] {
		path = lowPrefix
	}
	w.mu.Unlock()
	status, data := send(w.client, method, fmt.Sprintf("http://%s:%d%s%s", p.ip, callersPort, path, id), hostName, body)
	if status == 0 {
		return 0, fmt.Errorf("no answer: %s", data)
	}
	if answer != nil && status == http.StatusOK {
		if err := json.Unmarshal(data, answer); err != nil {
			return status, err
		}
	}
	return status, nil
}

// state returns the state of a submission as an entry shows it.
func (w *world) state(id string) string {
	var answer struct{ State string }
	status, err := w.ask(http.MethodGet, id, nil, &answer)
	if err != nil {
		return "no answer"
	}
	if status != http.StatusOK {
		return strconv.Itoa(status)
	}
	return answer.State
}

// send returns the status, 0 if there is no answer, and the body or the error's text.
func send(client *http.Client, method, url, host string, body any) (int, []byte) {
	var reader io.Reader
	if body != nil {
		reader = bytes.NewReader(mustJSON(body))
	}
	req, err := http.NewRequest(method, url, reader)
	if err != nil {
		return 0, []byte(err.Error())
	}
	if host != "" {
		req.Host = host
		req.Header.Set("Deadline-Ms", "3000")
	}
	req.Header.Set("Content-Type", "application/json")
	resp, err := client.Do(req)
	if err != nil {
		return 0, []byte(err.Error())
	}
	defer func() { _ = resp.Body.Close() }()
	data, err := io.ReadAll(resp.Body)
	if err != nil {
		return 0, []byte(err.Error())
	}
	return resp.StatusCode, data
}

func mustJSON(v any) []byte {
	data, err := json.Marshal(v)
	if err != nil {
		panic(err) // all values can be encoded
	}
	return data
}

func respond(w http.ResponseWriter, status int, body any) {
	data := mustJSON(body)
	w.Header().Set("Content-Type", "application/json")
	w.Header().Set("Content-Length", strconv.Itoa(len(data)))
	w.WriteHeader(status)
	_, _ = w.Write(data)
}

// leader returns the entry that leads, as the store has it.
func (w *world) leader() (*process, error) {
	_, data := send(w.client, http.MethodGet, "http://"+w.address(1, storePort)+"/rows-get?table=term&part=main&limit=10", "", nil)
	var answer struct {
		Rows []struct{ Value []byte }
	}
	if err := json.Unmarshal(data, &answer); err != nil {
		return nil, err
	}
	for _, row := range answer.Rows {
		for _, p := range w.entries {
			if bytes.Contains(row.Value, []byte(p.ip+":")) {
				return p, nil
			}
		}
	}
	return nil, errors.New("no entry leads")
}
