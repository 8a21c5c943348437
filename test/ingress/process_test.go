package ingress

import (
	"bytes"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"slices"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"github.com/shoenig/test"
	"github.com/shoenig/test/must"
	"github.com/shoenig/test/wait"

	"bamboowood/platform/platformtest"
)

// Limits of a process under test, as in its settings file, and the bounds of the checks. They are
// far below those of a real machine, so that a small crowd exceeds them.
const (
	memoryMB = 64
	maxFds   = 256
)

// bounds are the limits of one process.
type bounds struct{ memoryMB, maxFds int }

// patience bounds each wait. Each ends as soon as its condition holds.
const patience = 60 * time.Second

const bodyLimit = 262_144

// Ports of a process on the platform.
const (
	callersPort   = 18161
	runnerPort    = 18165
	reportsPort   = 18166
	readinessPort = 18167
	peersPort     = 17720
	metricsPort   = 9464
)

// Addresses of the process and the store. Each run of the tests has its own, so that several may run at
// once.
var storeAddress, processIP, callers, readiness, reports, peers, metrics string

func at(ip string, port int) string { return net.JoinHostPort(ip, strconv.Itoa(port)) }

// reserveAddresses sets the addresses to those of a block that no other run uses until the process ends.
func reserveAddresses() (net.Listener, error) {
	for block := 8; ; block++ {
		ln, err := net.Listen("tcp", fmt.Sprintf("127.%d.8.1:18160", block))
		if err != nil && block < 39 {
			continue
		}
		storeAddress, processIP = fmt.Sprintf("127.%d.8.1:18169", block), fmt.Sprintf("127.%d.8.10", block)
		callers, readiness, reports = at(processIP, callersPort), at(processIP, readinessPort), at(processIP, reportsPort)
		peers, metrics = at(processIP, peersPort), at(processIP, metricsPort)
		return ln, err
	}
}

var config = fmt.Sprintf(`{"version":1,"routes":[{"name":"r","host":"a.example","pathPrefix":"/x/","service":"desk",
	"maxAttempts":2,"stretch":2,"sloMs":1000}],"services":[{"name":"desk","admissionCheck":false}],
	"limits":{"maxBodyBytes":%d}}`, bodyLimit)

// process is a process under test.
type process struct {
	t      *testing.T
	name   string
	bounds bounds
	cmd    *exec.Cmd
	ended  atomic.Bool

	mu   sync.Mutex
	peak int // most open descriptors that were seen
	log  bytes.Buffer
}

// Write implements io.Writer for the log of the process.
func (p *process) Write(b []byte) (int, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.log.Write(b)
}

// start starts a process of the role, with a store, and waits until it is ready.
func start(t *testing.T, role string) *process {
	store := platformtest.NewStore()
	store.WriteOperator("config", []byte(config))
	serve(t, storeAddress, store)
	return startNode(t, role, processIP)
}

// startNode starts a process of the role on the platform, whose address is ip, and waits until it is
// ready.
func startNode(t *testing.T, role, ip string) *process {
	path := filepath.Join(t.TempDir(), "node.toml")
	must.NoError(t, os.WriteFile(path, fmt.Appendf(nil, `nodeName = "n-%s"
ip = %q
zone = "z1"
portRange = [17720, 17735]
app = %q
[listen]
front = %q
ready = %q
control = %q
[limits]
memoryMb = %d
maxFds = %d
linkMbps = 1000.0
[platform]
address = %q
[bounds]
holdMaxMs = 6000
graceS = 4.0
status_s = 60
`, ip, ip, at(ip, runnerPort), at(ip, callersPort), at(ip, readinessPort), at(ip, reportsPort), memoryMB, maxFds,
		storeAddress), 0o600))
	p := launch(t, role+" "+ip, bounds{memoryMB, maxFds}, []string{"BAMBOOWOOD_SETTINGS=" + path}, binary, "platform", role)
	if role == "entry" {
		p.waitFor("a leader", func() error { return request(http.MethodGet, at(ip, callersPort), "/x/", "") })
	} else {
		p.waitFor("metrics", func() error { return request(http.MethodGet, at(ip, metricsPort), "/metrics", "") })
	}
	return p
}

// launch starts a process and watches it until the test ends.
func launch(t *testing.T, name string, limits bounds, env []string, command string, args ...string) *process {
	p := &process{t: t, name: name, bounds: limits, cmd: exec.Command(command, args...)}
	p.cmd.Env = append(os.Environ(), env...)
	p.cmd.Stdout, p.cmd.Stderr = p, p
	must.NoError(t, p.cmd.Start())
	done := make(chan struct{})
	go func() {
		_ = p.cmd.Wait()
		p.ended.Store(true)
		close(done)
	}()
	go p.watch(done)
	t.Cleanup(func() {
		_ = p.cmd.Process.Kill()
		<-done
		if t.Failed() {
			text := p.output()
			t.Logf("end of the log of %s:\n%s", name, text[max(0, len(text)-2000):])
		}
	})
	return p
}

// output returns the log of the process so far.
func (p *process) output() string {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.log.String()
}

func serve(t *testing.T, address string, handler http.Handler) {
	ln, err := net.Listen("tcp", address)
	must.NoError(t, err)
	server := &http.Server{Handler: handler, ReadHeaderTimeout: time.Second}
	go func() { _ = server.Serve(ln) }()
	t.Cleanup(func() { _ = server.Close() })
}

func (p *process) waitFor(what string, f func() error) {
	p.t.Helper()
	waitFor(p.t, []*process{p}, what, f)
}

// waitFor waits until f succeeds or one of the processes has ended, which checkBounds reports.
func waitFor(t *testing.T, processes []*process, what string, f func() error) {
	t.Helper()
	must.Wait(t, wait.InitialSuccess(wait.ErrorFunc(func() error {
		if slices.ContainsFunc(processes, func(p *process) bool { return p.ended.Load() }) {
			return nil
		}
		return f()
	}), wait.Timeout(patience), wait.Gap(50*time.Millisecond)), must.Sprint(what))
}

// request sends one request on its own connection and returns an error unless it succeeds. headers
// are names followed by their values.
func request(method, address, path, body string, headers ...string) error {
	_, err := response(method, address, path, body, headers...)
	return err
}

// response is request with the body of the response.
func response(method, address, path, body string, headers ...string) ([]byte, error) {
	client := http.Client{Timeout: 5 * time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	r, err := http.NewRequest(method, "http://"+address+path, strings.NewReader(body))
	if err != nil {
		return nil, err
	}
	r.Host = "a.example"
	for i := 0; i+1 < len(headers); i += 2 {
		r.Header.Set(headers[i], headers[i+1])
	}
	response, err := client.Do(r)
	if err != nil {
		return nil, err
	}
	defer func() { _ = response.Body.Close() }()
	text, _ := io.ReadAll(response.Body)
	if response.StatusCode != http.StatusOK && response.StatusCode != http.StatusCreated {
		return nil, fmt.Errorf("status %d: %.200s", response.StatusCode, text)
	}
	return text, nil
}

// ordinaryRequests is the number of ordinary requests after a crowd. The first ones may be answered
// before the process has read what the crowd has sent.
const ordinaryRequests = 20

// check checks the process after a crowd, which is still connected. answered sends an ordinary
// request.
func (p *process) check(answered func() error) {
	p.t.Helper()
	for range ordinaryRequests {
		p.waitFor("an ordinary request is answered", answered)
		p.countDescriptors()
		time.Sleep(50 * time.Millisecond)
	}
	p.checkBounds()
}

// checkBounds checks that the process lives and has stayed within its bounds.
func (p *process) checkBounds() {
	p.t.Helper()
	must.False(p.t, p.ended.Load(), must.Sprintf("%s ended: %v", p.name, p.cmd.ProcessState))
	kb := p.peakMemoryKB()
	p.mu.Lock()
	peak := p.peak
	p.mu.Unlock()
	p.t.Logf("%s: peak memory %d kB, most descriptors %d", p.name, kb, peak)
	test.LessEq(p.t, p.bounds.memoryMB<<10, kb, test.Sprintf("kB at the peak of %s", p.name))
	test.LessEq(p.t, p.bounds.maxFds, peak, test.Sprintf("open descriptors of %s", p.name))
}

// peakMemoryKB returns the largest resident set size of the process so far.
func (p *process) peakMemoryKB() int {
	data, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", p.cmd.Process.Pid))
	must.NoError(p.t, err)
	for line := range strings.Lines(string(data)) {
		if value, ok := strings.CutPrefix(line, "VmHWM:"); ok {
			kb, err := strconv.Atoi(strings.TrimSuffix(strings.TrimSpace(value), " kB"))
			must.NoError(p.t, err)
			return kb
		}
	}
	p.t.Fatal("no VmHWM")
	return 0
}

// countDescriptors counts the open descriptors and records their peak.
func (p *process) countDescriptors() {
	entries, err := os.ReadDir(fmt.Sprintf("/proc/%d/fd", p.cmd.Process.Pid))
	if err != nil {
		return // the process has ended
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	p.peak = max(p.peak, len(entries))
}

// watch records the number of open descriptors until done is closed. It ends a process
// that uses many times its memory, so that a failing test does not use up the machine's.
func (p *process) watch(done <-chan struct{}) {
	status := fmt.Sprintf("/proc/%d/statm", p.cmd.Process.Pid)
	for {
		select {
		case <-done:
			return
		case <-time.After(20 * time.Millisecond):
		}
		p.countDescriptors()
		data, _ := os.ReadFile(status)
		if f := strings.Fields(string(data)); len(f) > 1 {
			if pages, _ := strconv.Atoi(f[1]); pages*os.Getpagesize() > 16*p.bounds.memoryMB<<20 {
				_ = p.cmd.Process.Signal(syscall.SIGKILL)
			}
		}
	}
}
