package soak

import (
	"bytes"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"net/http/httptest"
	"os"
	"slices"
	"strconv"
	"strings"
	"syscall"
	"testing"
	"time"

	"github.com/shoenig/test"
	"github.com/shoenig/test/must"

	"bamboowood/internal/job"
	"bamboowood/internal/ledger"
	"bamboowood/platform/platformtest"
)

const (
	// followTime is how long a row that is written after an odd one may take to have an effect.
	followTime = 2 * time.Second
	// takeoverTime is how long a job may take to start after the leader was killed: the agents of odd
	// rows may have runs until their leases end.
	takeoverTime = 20 * time.Second
	// maxResidentBytes is the memory that the platform gives a process.
	maxResidentBytes = 512 << 20
)

// oddValues are values of three kinds that another writer may leave: nested deeply, with a number too
// large, and with a port out of range.
var oddValues = []string{
	nested, strings.Repeat("[", 1_000_000), `{"steps":` + nested + `,"state":` + nested + `,"leader":` + nested + `}`,
	`1e400`, `{"number":1e400,"before":1e400,"version":1e400,"wave":1e400,"steps":[{"tasks":1e400}]}`,
	`{"number":9223372036854775808,"state":"running","before":9223372036854775808,"steps":[{"tasks":9223372036854775808}]}`,
	`{"number":9223372036854775807,"leader":"127.0.0.1:70000","process":"odd","state":"running","before":9223372036854775807,` +
		`"steps":[{"tasks":9223372036854775807}]}`,
	`127.0.0.1:70000`, `"127.0.0.1:70000"`, `{"address":"127.0.0.1:70000"}`, "\xff\xfe\x00", ``,
}

// oddRows runs one check after another writer has put odd values into a table.
type oddRows struct {
	*cluster
	c *callers
	r *rand.Rand
}

// write writes all odd values under distinct keys of a part.
func (o *oddRows) write(table, part, keyPrefix string) {
	for i, value := range oddValues {
		o.store.Write(table, part, fmt.Sprintf("%s%02x", keyPrefix, i), []byte(value))
	}
}

// await fails the test if the condition is not met in time.
func (o *oddRows) await(limit time.Duration, what string, met func() bool) {
	o.t.Helper()
	for began := time.Now(); !met(); <-time.After(5 * time.Millisecond) {
		if time.Since(began) > limit {
			o.t.Fatalf("%s: not within %s", what, limit)
		}
	}
}

func (o *oddRows) started(s *submission) bool {
	o.history.mu.Lock()
	defer o.history.mu.Unlock()
	for _, e := range o.history.events {
		if e.Kind == platformtest.RunStarted && strings.HasPrefix(e.Task, s.id) {
			return true
		}
	}
	return false
}

func (o *oddRows) ranOn(runner string) bool {
	o.history.mu.Lock()
	defer o.history.mu.Unlock()
	return slices.ContainsFunc(o.history.events, func(e platformtest.RunnerEvent) bool {
		return e.Kind == platformtest.RunStarted && e.Runner == runner
	})
}

// storeJob adds a job and its row, which no process has announced to the leader.
func (o *oddRows) storeJob() *submission {
	s := o.jobs.next(o.r)
	s.accepted = true
	j := &job.Job{ID: s.id, AcceptedAt: time.Now(), Queue: job.Queue{Name: "r", Service: service, MaxAttempts: maxAttempts, Stretch: 2, Slack: time.Second}}
	for i, n := range s.tasks {
		step := job.Step{Tasks: n, CPU: taskCPU, MemoryMB: 100, Estimate: 500 * time.Millisecond, Continuous: s.longRunning}
		if i > 0 {
			step.After = []int{i - 1}
		}
		j.Steps = append(j.Steps, step)
	}
	value, err := ledger.EncodeJob(j)
	must.NoError(o.t, err)
	o.cluster.store.Write("jobs", s.id[:1], s.id, value)
	return s
}

// storeCancel adds the row of a cancel, which no process has announced to the leader.
func (o *oddRows) storeCancel(s *submission) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.cancelSent = true
	o.cluster.store.Write("cancels", s.id[:1], s.id, []byte("{}"))
}

// checkFollowed checks that rows of jobs, cancels and operator settings that are written now take
// effect, beside an odd row in place of a job's progress, and that callers are served.
func (o *oddRows) checkFollowed(after string, version int) {
	o.t.Helper()
	stored := o.storeJob()
	o.await(followTime, "start of a stored job after "+after, func() bool { return o.started(stored) })
	o.cluster.store.Write("progress", "main", stored.id, []byte(oddValues[version%len(oddValues)]))
	o.storeCancel(stored)
	o.await(followTime, "stored cancel after "+after, func() bool {
		state, _ := o.c.state(stored, o.r)
		return state.Terminal()
	})
	submitted := o.jobs.next(o.r)
	o.c.submit(submitted, o.r)
	o.await(followTime, "start of a submitted job after "+after, func() bool { return o.started(submitted) })
	o.c.cancel(submitted, o.r)
	route := fmt.Sprintf("route-%d", version)
	o.cluster.store.WriteOperator("config", encodeConfig(version, []string{route}))
	for _, p := range o.entries {
		o.await(followTime, "new route at "+p.name+" after "+after, func() bool { return o.request(p, http.MethodGet, "/"+route+"/", nil) == http.StatusOK })
	}
}

func (o *oddRows) request(p *process, method, path string, body []byte) (status int) {
	return o.send(method, net.JoinHostPort(p.ip, callersPort), path, body)
}

// send sends a request and returns the status of the answer, 0 without one.
func (o *oddRows) send(method, address, path string, body []byte) (status int) {
	request, err := http.NewRequestWithContext(o.t.Context(), method, "http://"+address+path, bytes.NewReader(body))
	must.NoError(o.t, err)
	request.Host = host
	response, err := (&http.Client{Timeout: callTimeout}).Do(request)
	if err != nil {
		return 0
	}
	_ = response.Body.Close()
	return response.StatusCode
}

// insertOddEntries returns the lists of a runner with odd entries before all others.
func insertOddEntries(body []byte) []byte {
	const run = `"00000000000000aa.0.0.0"`
	odd := []string{
		nested, `[` + nested + `]`, `[` + run + `,9223372036854775808,"",0,0]`, `[` + run + `,1e400,"",0]`, `[` + run + `,9007199254740992,"",0]`,
		`"127.0.0.1:70000"`, `["127.0.0.1:70000",1,"",0]`, `null`, `[9007199254740992,` + run + `,1,"done",""]`, `[9223372036854775808,` + run + `,1,"done",""]`,
	}
	for _, list := range []string{`"activeRuns":[`, `"ended":[`} {
		body = bytes.Replace(body, []byte(list), []byte(list+strings.Join(odd, ",")+","), 1)
	}
	return bytes.ReplaceAll(body, []byte(",]"), []byte("]"))
}

// serveOddLists answers a call to the runner, with odd entries in the lists of a report.
func (v *vm) serveOddLists(w http.ResponseWriter, r *http.Request) {
	recorder := httptest.NewRecorder()
	v.current().ServeHTTP(recorder, r)
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(recorder.Code)
	_, _ = w.Write(insertOddEntries(recorder.Body.Bytes())) // an error means that the agent has disconnected
}

// residentPeak returns the largest memory that a process has had resident, in bytes.
func residentPeak(pid int) (int64, error) {
	data, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", pid))
	if err != nil {
		return 0, err
	}
	_, rest, _ := strings.Cut(string(data), "VmHWM:")
	fields := strings.Fields(rest)
	if len(fields) == 0 {
		return 0, fmt.Errorf("no VmHWM of process %d", pid)
	}
	kilobytes, err := strconv.ParseInt(fields[0], 10, 64)
	return kilobytes << 10, err
}

// checkProcesses checks the memory of all processes, and that none has panicked.
func (o *oddRows) checkProcesses() {
	o.t.Helper()
	for _, p := range o.all() {
		peak, err := residentPeak(p.cmd.Process.Pid)
		must.NoError(o.t, err)
		o.t.Logf("%s: %d MB resident at most", p.name, peak>>20)
		test.Less(o.t, maxResidentBytes, peak, test.Sprint(p.name))
		test.False(o.t, p.logs.contains("panic"), test.Sprint(p.name+" panicked"))
	}
}

// Guards against an odd entry of another writer that ends a process, makes it use all of its memory, or
// stops it from following a table or a runner: in each table that a process reads, in the reports and
// lists of runners, in requests of callers and in the settings file.
func TestSoak_OddEntryInEachTable(t *testing.T) {
	reserveAddressBlock(t)
	cl := newCluster(t, 1, 0, 2, 2, options{membership})
	o := &oddRows{cluster: cl, c: &callers{cluster: cl, client: &http.Client{Transport: &http.Transport{}}}, r: rand.New(rand.NewPCG(1, 9))}
	t.Cleanup(func() {
		if t.Failed() {
			cl.saveLogs(*keep)
		}
	})
	pids := map[*process]int{}
	for _, p := range cl.all() {
		pids[p] = p.cmd.Process.Pid
	}
	first := o.storeJob()
	o.await(takeoverTime, "start of the first job", func() bool { return o.started(first) })
	version := 2
	check := func(after string) {
		t.Helper()
		began := time.Now()
		o.checkFollowed(after, version)
		version++
		t.Logf("followed after %s, within %s", after, time.Since(began).Round(time.Millisecond))
	}

	for _, at := range []struct{ table, part, key string }{
		{"jobs", "a", "a0000000000000"},
		{"jobs", "a", "b0000000000000"},
		{"jobs", "a", "odd"},
		{"jobs", "odd", "odd"},
		{"cancels", "a", "a1000000000000"},
		{"cancels", "a", "b1000000000000"},
		{"cancels", "a", "odd"},
		{"progress", "main", "a0000000000000"},
		{"progress", "main", "odd"},
		{"progress", "odd", "a0000000000000"},
		{"heldends", "main", "a000000000000001.0.0.0/"},
		{"heldends", "main", "odd"},
		{"boots", "1", "odd"},
		{"agents", "main", "odd"},
		{"agents", "odd", "odd"},
		{"agents", "main", address(0, 100)},
		{"term", "main", "a"},
		{"term", "main", "leader"},
		{"term", "", "leader"},
		{"renewal", "main", "odd"},
		{"renewal", "odd", "leader"},
		{"op", "", "odd"},
		{"op", "", "evacuate/odd"},
		{"op", "", "wave/"},
		{"op", "odd", "config"},
		{"op", "odd", "evacuate/z1"},
		{"servers", "", "odd"},
		{"status", "", "wave/"},
	} {
		o.write(at.table, at.part, at.key)
		check(fmt.Sprintf("odd rows %s… of part %q of %s", at.key, at.part, at.table))
	}
	// The row of a connected agent, and the renewal of the present term.
	for _, value := range oddValues {
		cl.store.Write("agents", "main", address(0, 100), []byte(value))
		cl.store.Write("renewal", "main", "leader", []byte(value))
	}
	check("odd rows in place of an agent's and of the renewal")

	for _, v := range cl.vms {
		for _, id := range []string{v.current().ID, "i-odd", "%ff", "a%20b", strings.Repeat("x", 500)} {
			for _, defect := range defects {
				report := map[string]any{
					"service": service, "address": "127.0.0.1:9", "zone": "z1", "state": "ready", "labels": []string{"a"},
					"capacity": map[string]int64{"cpu": runnerCPU, "memMb": runnerMemory}, "born": 5, "sequence": 1 << 40,
				}
				o.send(http.MethodPut, cl.controls[v.number], "/instances/"+id, defect.apply(report))
			}
			for _, value := range oddValues {
				if value != "" { // an empty body is a departure
					o.send(http.MethodPut, cl.controls[v.number], "/instances/"+id, []byte(value))
					o.send(http.MethodDelete, cl.controls[v.number], "/instances/"+id, []byte(value))
				}
			}
		}
	}
	check("odd reports and departures")
	for _, p := range cl.entries {
		for i, value := range append(oddValues, `{"steps":[{"count":1e400}]}`, `{"steps":[{"count":1,"cpu":9223372036854775807}]}`, `{"steps":[null]}`) {
			status := o.request(p, http.MethodPost, prefix+fmt.Sprintf("c%015x", i), []byte(value))
			test.True(t, status == http.StatusBadRequest || status == http.StatusRequestEntityTooLarge, test.Sprintf("status %d for %.40q", status, value))
		}
	}
	check("odd submissions")
	for _, v := range cl.vms {
		v.oddLists.Store(true)
	}
	check("odd entries of the runners' lists")
	for _, p := range cl.all() {
		for _, content := range append(oddValues, "portRange = [70000,99999999999999999999]\n", "ip = "+nested, p.settings) {
			must.NoError(t, os.WriteFile(p.settingsPath(), []byte(content), 0o600))
			must.NoError(t, p.cmd.Process.Signal(syscall.SIGHUP))
			<-time.After(20 * time.Millisecond)
		}
	}
	check("odd settings files")

	cl.store.Write("boots", "2", address(0, 102), []byte(oddValues[0]))
	cl.startVM(2)
	added := "i-" + cl.vms[2].ip
	o.await(2*followTime, "start on a VM that is added after the odd rows", func() bool {
		stored := o.storeJob()
		o.await(followTime, "start of a stored job after a VM was added", func() bool { return o.started(stored) })
		return o.ranOn(added)
	})

	for _, p := range cl.all() {
		if pid, ok := pids[p]; ok {
			test.Eq(t, pid, p.cmd.Process.Pid, test.Sprint(p.name+" was started again"))
		}
	}
	for _, value := range []string{
		nested, `{"number":9223372036854775808,"leader":"127.0.0.1:1","process":"odd"}`,
		`{"number":3,"leader":"127.0.0.1:70000","process":"odd"}`, `{"number":4,"leader":` + nested + `}`,
	} {
		cl.store.Write("term", "main", "leader", []byte(value))
		began := time.Now()
		var stored []*submission
		o.await(takeoverTime, "start of a job after an odd row in place of the term", func() bool {
			stored = append(stored, o.storeJob())
			<-time.After(500 * time.Millisecond)
			return time.Since(began) > time.Second && o.started(stored[len(stored)-1])
		})
		for _, s := range stored {
			o.storeCancel(s)
		}
		t.Logf("started %s after the term %.40q", time.Since(began).Round(time.Millisecond), value)
	}
	check("odd rows in place of the term")
	o.checkProcesses()
	// The next leader reads all odd rows.
	for _, p := range cl.entries {
		p.killFor(0)
	}
	afterKill := o.storeJob()
	o.await(takeoverTime, "start of a job after the entries were killed", func() bool { return o.started(afterKill) })
	check("a change of leaders")
	o.checkProcesses()
	cl.checkInvariants()
	for _, f := range cl.history.failures() {
		t.Error(f)
	}
}
