package daemon

import (
	"bytes"
	"cmp"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"sync"
	"testing"
	"time"

	"github.com/shoenig/test"
	"github.com/shoenig/test/must"
	"github.com/shoenig/test/wait"

	"bamboowood/internal/job"
	"bamboowood/internal/logline"
	"bamboowood/platform"
	"bamboowood/platform/platformtest"
)

// Ports of the test's processes. Each process has its own loopback address.
const (
	testCallersPort = "18161"
	testReadyPort   = "18167"
	testReportPort  = "18166"
	testRunnerPort  = "18165"
	testPeerPort    = 17720
	storeAddress    = "127.0.7.1:18169"
)

const testConfig = `{"version":1,"routes":[{"name":"r","host":"a.example","pathPrefix":"/x/","service":"desk",
	"maxAttempts":2,"stretch":2,"sloMs":1000},
	{"name":"advised","host":"a.example","pathPrefix":"/advised/","service":"desk","maxAttempts":2,"stretch":2,
	"sloMs":1000,"advice":{"decideMs":5,"eachMs":1,"validMs":3000}}],"services":[{"name":"desk","admissionCheck":true}],
	"limits":{"maxBodyBytes":100000}}`

// deployment runs two entries and two agents in the test process, with stand-ins for the
// platform.
type deployment struct {
	t       *testing.T
	store   *platformtest.Store
	runners []*platformtest.Runner
	// storeAddresses holds the addresses at which nodes reach the store, by IP address, if it
	// is not storeAddress.
	storeAddresses map[string]string
	stop           map[string]func()
	logs           syncBuffer
}

// syncBuffer is a bytes.Buffer that is safe for concurrent use.
type syncBuffer struct {
	mu  sync.Mutex
	buf bytes.Buffer
}

// Write implements io.Writer.
func (b *syncBuffer) Write(p []byte) (int, error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.buf.Write(p)
}

func (b *syncBuffer) String() string {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.buf.String()
}

func serve(t *testing.T, address string, handler http.Handler) string {
	ln, err := net.Listen("tcp", address)
	must.NoError(t, err)
	server := &http.Server{Handler: handler, ReadHeaderTimeout: time.Second}
	go func() { _ = server.Serve(ln) }()
	t.Cleanup(func() { _ = server.Close() })
	return ln.Addr().String()
}

func (d *deployment) node(ip string) platform.Node {
	return platform.Node{
		Name: ip, IP: ip, Zone: "z1", PeerPortFirst: testPeerPort, PeerPortLast: testPeerPort + 15,
		CallersAddress: net.JoinHostPort(ip, testCallersPort),
		ReadyAddress:   net.JoinHostPort(ip, testReadyPort),
		ReportAddress:  net.JoinHostPort(ip, testReportPort),
		RunnerAddress:  net.JoinHostPort(ip, testRunnerPort),
		StoreAddress:   cmp.Or(d.storeAddresses[ip], storeAddress), AdviceAddress: "127.0.7.1:18170", MemoryBytes: 100 << 20,
		Bounds: platform.Bounds{
			MaxLease: 6 * time.Second, GracePeriod: 4 * time.Second, StatusRetention: time.Minute, RemoteFactor: 1.5,
		},
	}
}

func (d *deployment) startNode(ip string, run func(*PlatformNode, context.Context) error) {
	path := filepath.Join(d.t.TempDir(), "node.toml")
	must.NoError(d.t, os.WriteFile(path, nil, 0o600))
	n := newPlatformNode("test", path, d.node(ip), logline.New(&d.logs))
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan error, 1)
	go func() { done <- run(n, ctx) }()
	stop := sync.OnceFunc(func() {
		cancel()
		test.NoError(d.t, <-done)
	})
	d.stop[ip] = stop
	d.t.Cleanup(stop)
}

func newDeployment(t *testing.T, taskDuration time.Duration) *deployment {
	d := newStoreOnly(t)
	d.startAgents(taskDuration)
	d.startEntries()
	return d
}

// startAgents starts two agents with their runners, whose tasks take taskDuration.
func (d *deployment) startAgents(taskDuration time.Duration) {
	for i := range 2 {
		ip := fmt.Sprintf("127.0.7.%d", 20+i)
		r := &platformtest.Runner{
			ID: "i-" + ip, Service: "desk", Zone: "z1", Labels: []string{"a", "r1-" + ip}, CPU: 8000, MemoryMB: 8000,
			Duration: func(string, int64) (time.Duration, bool) { return taskDuration, false },
		}
		r.Reset()
		d.runners = append(d.runners, r)
		own := serve(d.t, net.JoinHostPort(ip, testRunnerPort), r)
		d.startNode(ip, (*PlatformNode).RunAgent)
		must.Wait(d.t, wait.InitialSuccess(wait.ErrorFunc(func() error {
			return r.Report(d.t.Context(), net.JoinHostPort(ip, testReportPort), own, false)
		}), wait.Timeout(5*time.Second), wait.Gap(10*time.Millisecond)))
	}
}

// newStoreOnly returns a deployment without processes, whose store has testConfig.
func newStoreOnly(t *testing.T) *deployment {
	d := &deployment{t: t, store: platformtest.NewStore(), storeAddresses: map[string]string{}, stop: map[string]func(){}}
	t.Cleanup(func() {
		if t.Failed() {
			t.Log(d.logs.String())
		}
	})
	serve(t, storeAddress, d.store)
	d.store.WriteOperator("config", []byte(testConfig))
	return d
}

// testEntries are the addresses of the entries.
var testEntries = []string{"127.0.7.10", "127.0.7.11"}

// startEntries starts the entries and waits until they are ready.
func (d *deployment) startEntries() {
	for _, ip := range testEntries {
		d.startNode(ip, (*PlatformNode).RunEntry)
	}
	for _, ip := range testEntries {
		must.Wait(d.t, wait.InitialSuccess(wait.BoolFunc(func() bool {
			response, err := http.Get("http://" + net.JoinHostPort(ip, testReadyPort) + "/ready")
			if err != nil {
				return false
			}
			_ = response.Body.Close()
			return response.StatusCode == http.StatusOK
		}), wait.Timeout(5*time.Second), wait.Gap(10*time.Millisecond)))
	}
}

// request sends a caller's request for the queue at /x/ to the entry at ip.
func (d *deployment) request(ip, method, id, body string) (status int, response string) {
	return d.requestAt(ip, method, "/x/", id, body)
}

func (d *deployment) requestAt(ip, method, prefix, id, body string) (status int, respBody string) {
	request, err := http.NewRequestWithContext(d.t.Context(), method,
		"http://"+net.JoinHostPort(ip, testCallersPort)+prefix+id, bytes.NewBufferString(body))
	must.NoError(d.t, err)
	request.Host = "a.example"
	request.Header.Set("Deadline-Ms", "3000")
	response, err := http.DefaultClient.Do(request)
	must.NoError(d.t, err)
	defer func() { _ = response.Body.Close() }()
	data, err := io.ReadAll(response.Body)
	must.NoError(d.t, err)
	return response.StatusCode, string(data)
}

func (d *deployment) waitFor(ip, id, state string) {
	d.t.Helper()
	must.Wait(d.t, wait.InitialSuccess(wait.BoolFunc(func() bool {
		_, response := d.request(ip, http.MethodGet, id, "")
		var found struct {
			State string `json:"state"`
		}
		return json.Unmarshal([]byte(response), &found) == nil && found.State == state
	}), wait.Timeout(15*time.Second), wait.Gap(20*time.Millisecond)))
}

const twoSteps = `{"spec":"s","steps":[{"count":4,"cpu":500,"memMb":100,"estimateMs":50},
	{"count":2,"cpu":500,"memMb":100,"estimateMs":50,"after":[0]}]}`

// Guards against starting tasks without a ticket: the tasks of a queue with an advice service
// run only on the runner that the service allows, with its tickets.
func TestPlatform_Advice(t *testing.T) {
	d := newDeployment(t, 50*time.Millisecond)
	allowed := d.runners[1]
	serve(t, "127.0.7.1:18170", platformtest.NewAdvisor(3000, allowed.ID))
	for _, r := range d.runners {
		r.Ticket = func(task string) string {
			parsed, err := job.ParseTask(task)
			if err != nil {
				return "malformed task"
			}
			return parsed.StepName() + "/" + r.ID
		}
	}
	const id = "00000000000000a1"
	status, _ := d.requestAt("127.0.7.10", http.MethodPost, "/advised/", id, twoSteps)
	must.Eq(t, http.StatusOK, status)
	d.waitFor("127.0.7.11", id, "completed")
	for _, task := range []string{".0.0.0", ".0.0.1", ".0.0.2", ".0.0.3", ".0.1.0", ".0.1.1"} {
		test.Len(t, 1, allowed.Starts(id+task), test.Sprint(task))
		test.Len(t, 0, d.runners[0].Starts(id+task), test.Sprint(task))
	}
}

// Guards against a job that runs twice after a resubmission to another entry, a job that one entry
// cannot find, and a refused job that exists.
func TestPlatform_EndToEnd(t *testing.T) {
	d := newDeployment(t, 50*time.Millisecond)
	first, second := "00000000000000a1", "00000000000000a2"

	status, _ := d.request("127.0.7.10", http.MethodPost, first, twoSteps)
	must.Eq(t, http.StatusOK, status)
	status, _ = d.request("127.0.7.11", http.MethodPost, first, twoSteps)
	test.Eq(t, http.StatusOK, status, test.Sprint("resubmission of the same job to another entry"))
	d.waitFor("127.0.7.11", first, "completed")
	for _, task := range []string{".0.0.0", ".0.0.1", ".0.0.2", ".0.0.3", ".0.1.0", ".0.1.1"} {
		test.Eq(t, 1, d.startCount(first+task), test.Sprint(task))
	}
	status, _ = d.request("127.0.7.10", http.MethodGet, "00000000000000ff", "")
	test.Eq(t, http.StatusGone, status)
	status, response := d.request("127.0.7.10", http.MethodGet, "", "")
	test.Eq(t, http.StatusOK, status)
	test.StrContains(t, response, `"numWaiting":0`)

	// No runner is large enough for this job, so both entries must refuse it. An entry without
	// the runners' capacities accepts it, so each try has its own id.
	for i, ip := range []string{"127.0.7.10", "127.0.7.11"} {
		id := ""
		tries := 0
		must.Wait(t, wait.InitialSuccess(wait.BoolFunc(func() bool {
			tries++
			id = fmt.Sprintf("b%015x", 1000*i+tries)
			status, _ := d.request(ip, http.MethodPost, id, `{"spec":"s","steps":[{"count":1,"cpu":9000}]}`)
			return status == http.StatusServiceUnavailable
		}), wait.Timeout(5*time.Second), wait.Gap(50*time.Millisecond)))
		status, _ = d.request(ip, http.MethodGet, id, "")
		test.Eq(t, http.StatusGone, status)
	}

	// A refusal by the store is a refusal to the caller, who may submit the job again.
	d.store.SetFault(platformtest.Busy)
	status, _ = d.request("127.0.7.10", http.MethodPost, second, twoSteps)
	test.Eq(t, http.StatusServiceUnavailable, status)
	d.store.SetFault(platformtest.None)
	must.Wait(t, wait.InitialSuccess(wait.BoolFunc(func() bool {
		status, _ := d.request("127.0.7.10", http.MethodPost, second, twoSteps)
		return status == http.StatusOK
	}), wait.Timeout(5*time.Second), wait.Gap(50*time.Millisecond)))
	d.waitFor("127.0.7.10", second, "completed")
}

func (d *deployment) startCount(task string) int {
	n := 0
	for _, r := range d.runners {
		n += len(r.Starts(task))
	}
	return n
}

// Guards against a change of leaders that interrupts or repeats runs: when the leader stops,
// its runs continue and no task is started twice.
func TestPlatform_LeaderStops(t *testing.T) {
	d := newDeployment(t, 2*time.Second)
	const id = "00000000000000b1"
	status, _ := d.request("127.0.7.10", http.MethodPost, id, twoSteps)
	must.Eq(t, http.StatusOK, status)
	must.Wait(t, wait.InitialSuccess(wait.BoolFunc(func() bool {
		return d.runners[0].Active()+d.runners[1].Active() == 4
	}), wait.Timeout(5*time.Second), wait.Gap(10*time.Millisecond)))
	leader, other := "127.0.7.10", "127.0.7.11"
	if !bytes.Contains([]byte(d.logs.String()), []byte(`"leader":"127.0.7.10:`)) {
		leader, other = other, leader
	}
	go d.stop[leader]()
	d.waitFor(other, id, "completed")
	for _, task := range []string{".0.0.0", ".0.0.1", ".0.0.2", ".0.0.3", ".0.1.0", ".0.1.1"} {
		test.Eq(t, 1, d.startCount(id+task), test.Sprint(task))
	}
}

// Guards against runs that survive the cancellation of their job: the runs stop, and an entry
// that did not receive the request reports the job as cancelled.
func TestPlatform_Cancel(t *testing.T) {
	d := newDeployment(t, time.Minute)
	const id = "00000000000000c1"
	status, _ := d.request("127.0.7.10", http.MethodPost, id, twoSteps)
	must.Eq(t, http.StatusOK, status)
	must.Wait(t, wait.InitialSuccess(wait.BoolFunc(func() bool {
		return d.runners[0].Active()+d.runners[1].Active() == 4
	}), wait.Timeout(5*time.Second), wait.Gap(10*time.Millisecond)))
	status, _ = d.request("127.0.7.11", http.MethodDelete, id, "")
	must.Eq(t, http.StatusOK, status)
	d.waitFor("127.0.7.10", id, "cancelled")
	must.Wait(t, wait.InitialSuccess(wait.BoolFunc(func() bool {
		return d.runners[0].Active()+d.runners[1].Active() == 0
	}), wait.Timeout(5*time.Second), wait.Gap(10*time.Millisecond)))
}
