package test

import (
	"bufio"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"slices"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"bamboowood/internal/settings"
	"bamboowood/internal/standin"
	"bamboowood/internal/structs"
)

// measurePeriod is the period over which CPU time and bytes are measured. It
// covers two lease renewals, so that all agents contribute alike.
const measurePeriod = 20 * time.Second

// clockTick is the unit of the CPU times that the kernel reports.
const clockTick = 10 * time.Millisecond

// fleet is a deployment of agent processes and two entry processes, built
// without the race detector.
type fleet struct {
	*cluster
	binary       string
	procs        map[string]*proc
	entryAddress string
	admins       []string
	vms          []string
}

func newFleet(b *testing.B, agents int) *fleet {
	b.Helper()
	return newFleetWithServiceTime(b, agents, settings.DefaultStandin().ServiceTime.Value())
}

// newFleetWithServiceTime starts a fleet whose runners have the given mean
// service time.
func newFleetWithServiceTime(b *testing.B, agents int, serviceTime time.Duration) *fleet {
	b.Helper()
	c := &cluster{t: nil, dir: b.TempDir(), agents: map[string]*proc{}, runners: map[string]string{}, workers: map[string]string{}}
	f := &fleet{cluster: c, binary: filepath.Join(c.dir, "bamboowoodd"), procs: map[string]*proc{}}
	out, err := exec.Command("go", "build", "-o", f.binary, "bamboowood/cmd/bamboowoodd").CombinedOutput()
	must.NoError(b, err, must.Sprint(string(out)))
	must.NoError(b, os.WriteFile(filepath.Join(c.dir, "token"), []byte("secret\n"), 0o600))
	c.platform = freePort(b)
	capacity := structs.Resources{MilliCPU: 64000, MemoryMB: 250000}
	st := settings.DefaultStandin()
	st.Listen = c.platform
	st.ServiceTime = settings.Duration(serviceTime)
	for i := range agents {
		vm := fmt.Sprintf("vm-%03d", i)
		f.vms = append(f.vms, vm)
		c.runners[vm], c.workers[vm] = freePort(b), freePort(b)
		st.VMs = append(st.VMs, settings.StandinVM{VM: vm, Worker: c.workers[vm], Runner: c.runners[vm], Capacity: capacity})
	}
	f.run(b, "standin", "standin", st)
	for i := range 2 {
		f.runEntry(b, i)
	}
	for i, vm := range f.vms {
		f.runAgent(b, vm, zones[i%len(zones)], capacity)
	}
	for i := range 2 {
		eventually(b, "all upstreams ready", func() bool { return f.countReady(b, i) == agents })
	}
	return f
}

func (f *fleet) run(b *testing.B, name, role string, cfg any) {
	file := filepath.Join(f.dir, name+".toml")
	writeSettings(b, file, cfg)
	p := &proc{cmd: exec.Command(f.binary, role, file)}
	p.cmd.Stdout = p
	p.cmd.Stderr = p
	must.NoError(b, p.cmd.Start())
	f.procs[name] = p
	b.Cleanup(func() {
		_ = p.cmd.Process.Kill()
		_ = p.cmd.Wait()
	})
}

func (f *fleet) runEntry(b *testing.B, i int) {
	e := settings.DefaultEntry()
	e.Name, e.Zone = fmt.Sprintf("entry-%d", i+1), zones[i]
	e.Callers.Listen, e.Operators.Listen, e.Agents.Listen = freePort(b), freePort(b), freePort(b)
	e.Operators.Tokens = []settings.Token{{Name: "operator", Role: "operate", SecretFile: "token"}}
	e.Platform.Table = "http://" + f.platform
	e.Platform.Objects = e.Platform.Table
	e.Bootstrap = settings.Bootstrap{
		Zones:    zones,
		Services: []settings.Service{{Name: "glint-check", Wait: settings.Duration(2 * time.Second), Idempotent: true}},
	}
	f.run(b, e.Name, "entry", e)
	f.callers = append(f.callers, "http://"+e.Callers.Listen)
	f.operators = append(f.operators, "http://"+e.Operators.Listen)
	f.entryAddress = e.Agents.Listen
}

func (f *fleet) runAgent(b *testing.B, vm, zone string, capacity structs.Resources) {
	a := settings.DefaultAgent()
	a.VM, a.Zone, a.Rack = vm, zone, zone+"-r1"
	a.Entries = []string{f.entryAddress}
	a.Admin = freePort(b)
	a.Upstream.URL = "http://" + f.runners[vm]
	a.Upstream.Services = []string{"glint-check"}
	a.Worker = "http://" + f.workers[vm]
	a.Platform.Table = "http://" + f.platform
	a.Platform.Objects = a.Platform.Table
	a.Capacity = capacity
	f.run(b, vm, "agent", a)
	f.admins = append(f.admins, a.Admin)
}

func (f *fleet) countReady(b *testing.B, i int) int {
	status, body := statement(b, f.operators[i], "show upstreams")
	if status != http.StatusOK {
		return 0
	}
	return strings.Count(body, `"ready"`)
}

// usage is a snapshot of what the processes have used since their start.
type usage struct {
	cpu   map[string]time.Duration
	bytes float64
	table standin.Counts
	at    time.Time
}

func (f *fleet) measure(b *testing.B) usage {
	r := usage{cpu: map[string]time.Duration{}, at: time.Now()}
	for name, p := range f.procs {
		r.cpu[name] = processorTime(b, p.cmd.Process.Pid)
	}
	for _, admin := range f.admins {
		r.bytes += controlBytes(b, admin)
	}
	resp, err := http.Get("http://" + f.platform + "/counts")
	must.NoError(b, err)
	defer resp.Body.Close()
	must.NoError(b, json.NewDecoder(resp.Body).Decode(&r.table))
	return r
}

// processorTime returns the user and system CPU time of a process.
func processorTime(b *testing.B, pid int) time.Duration {
	data, err := os.ReadFile(fmt.Sprintf("/proc/%d/stat", pid))
	must.NoError(b, err)
	_, rest, ok := strings.Cut(string(data), ") ")
	must.True(b, ok)
	fields := strings.Fields(rest)
	user, err := strconv.Atoi(fields[11])
	must.NoError(b, err)
	system, err := strconv.Atoi(fields[12])
	must.NoError(b, err)
	return time.Duration(user+system) * clockTick
}

// residentMB returns the resident memory of a process in 2^20 bytes.
func residentMB(b *testing.B, pid int) float64 {
	data, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", pid))
	must.NoError(b, err)
	for line := range strings.Lines(string(data)) {
		if rest, ok := strings.CutPrefix(line, "VmRSS:"); ok {
			kb, err := strconv.ParseFloat(strings.Fields(rest)[0], 64)
			must.NoError(b, err)
			return kb / 1024
		}
	}
	b.Fatal("no VmRSS")
	return 0
}

// controlBytes returns the bytes that an agent has exchanged with entries and
// the platform's table.
func controlBytes(b *testing.B, admin string) float64 {
	resp, err := http.Get("http://" + admin + "/metrics")
	must.NoError(b, err)
	defer resp.Body.Close()
	sum := 0.0
	scanner := bufio.NewScanner(resp.Body)
	for scanner.Scan() {
		line := scanner.Text()
		if !strings.HasPrefix(line, "bamboowood_connection_bytes_total") || strings.Contains(line, `"worker"`) {
			continue
		}
		v, err := strconv.ParseFloat(line[strings.LastIndex(line, " ")+1:], 64)
		must.NoError(b, err)
		sum += v
	}
	return sum
}

// report reports the means over all agents, the means over the entries and the
// rates of the table between two snapshots.
func (f *fleet) report(b *testing.B, from, to usage) {
	seconds := to.at.Sub(from.at).Seconds()
	var agents, entries time.Duration
	var agentRSS, maxRSS, entryRSS float64
	for name, p := range f.procs {
		used, rss := to.cpu[name]-from.cpu[name], residentMB(b, p.cmd.Process.Pid)
		switch {
		case strings.HasPrefix(name, "vm-"):
			agents += used
			agentRSS += rss
			maxRSS = max(maxRSS, rss)
		case strings.HasPrefix(name, "entry-"):
			entries += used
			entryRSS += rss
		}
	}
	n := float64(len(f.admins))
	table := to.table.Sub(from.table)
	b.ReportMetric(100*agents.Seconds()/seconds/n, "agent-%core")
	b.ReportMetric(agentRSS/n, "agent-MB")
	b.ReportMetric(maxRSS, "agent-max-MB")
	b.ReportMetric((to.bytes-from.bytes)/seconds/n, "agent-B/s")
	b.ReportMetric(100*entries.Seconds()/seconds/2, "entry-%core")
	b.ReportMetric(entryRSS/2, "entry-MB")
	b.ReportMetric(float64(table.Commits)/seconds, "writes/s")
	b.ReportMetric(float64(table.Gets+table.Lists)/seconds, "reads/s")
	b.ReportMetric(float64(table.BytesRead+table.BytesWritten)/seconds, "table-B/s")
	b.ReportMetric(0, "ns/op")
}

// BenchmarkNodes_Idle measures the resource usage of idle agents, two entries
// and the table at several sizes, from which docs/CAPACITY.md derives its slopes.
func BenchmarkNodes_Idle(b *testing.B) {
	for _, agents := range []int{25, 50, 100, 200} {
		b.Run(fmt.Sprintf("agents=%d", agents), func(b *testing.B) {
			f := newFleet(b, agents)
			<-time.After(measurePeriod / 3)
			from := f.measure(b)
			<-time.After(measurePeriod)
			f.report(b, from, f.measure(b))
		})
	}
}

// BenchmarkNode_Busy keeps some of one agent's 8 slots in use and measures the
// resource usage of the agent and the entry. The runner's mean service time is
// 20 ms.
func BenchmarkNode_Busy(b *testing.B) {
	for _, callers := range []int{2, 4, 8} {
		b.Run(fmt.Sprintf("callers=%d", callers), func(b *testing.B) {
			f := newFleet(b, 1)
			stop, served := f.load(callers)
			<-time.After(measurePeriod / 3)
			from, before := f.measure(b), served.Load()
			<-time.After(measurePeriod)
			to, after := f.measure(b), served.Load()
			stop()
			f.report(b, from, to)
			done := float64(after - before)
			b.ReportMetric(done/to.at.Sub(from.at).Seconds(), "requests/s")
			b.ReportMetric(float64((to.cpu["vm-000"]-from.cpu["vm-000"]).Microseconds())/done, "agent-µs/request")
			b.ReportMetric(float64((to.cpu["entry-1"]-from.cpu["entry-1"]).Microseconds())/done, "entry-µs/request")
		})
	}
}

// load sends requests to the first entry from a number of concurrent callers
// until stop is called.
func (f *fleet) load(callers int) (stop func(), served *atomic.Int64) {
	var stopped atomic.Bool
	var wg sync.WaitGroup
	served = &atomic.Int64{}
	client := &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: callers}}
	for range callers {
		wg.Go(func() {
			for !stopped.Load() {
				resp, err := client.Post(f.callers[0]+"/v1/services/glint-check/requests", "text/plain", strings.NewReader("eye"))
				if err != nil {
					continue
				}
				_, _ = io.Copy(io.Discard, resp.Body)
				_ = resp.Body.Close()
				if resp.StatusCode == http.StatusOK {
					served.Add(1)
				}
			}
		})
	}
	return func() { stopped.Store(true); wg.Wait() }, served
}

// BenchmarkFullPath compares the latency of requests through entry and agent with
// that of direct calls of the runner. Both are sent one at a time, alternating in
// the same run, and the runner answers immediately.
func BenchmarkFullPath(b *testing.B) {
	const requests = 3000
	f := newFleetWithServiceTime(b, 1, time.Microsecond)
	directURL, entryURL := "http://"+f.runners[f.vms[0]]+"/glint-check", f.callers[0]+"/v1/services/glint-check/requests"
	client := &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 2}}
	var directLatencies, entryLatencies []time.Duration
	for range requests {
		directLatencies = append(directLatencies, requestLatency(b, client, directURL))
		entryLatencies = append(entryLatencies, requestLatency(b, client, entryURL))
	}
	for _, q := range []struct {
		name string
		at   float64
	}{{"p50", 0.5}, {"p99", 0.99}} {
		directLatency, entryLatency := quantile(directLatencies, q.at), quantile(entryLatencies, q.at)
		b.ReportMetric(float64(directLatency.Microseconds()), q.name+"-direct-µs")
		b.ReportMetric(float64(entryLatency.Microseconds()), q.name+"-path-µs")
		b.ReportMetric(entryLatency.Seconds()/directLatency.Seconds(), q.name+"-ratio")
	}
	stop, served := f.load(8)
	<-time.After(measurePeriod / 3)
	from, before := f.measure(b), served.Load()
	<-time.After(measurePeriod)
	to, after := f.measure(b), served.Load()
	stop()
	entryCores := (to.cpu["entry-1"] - from.cpu["entry-1"]).Seconds() / to.at.Sub(from.at).Seconds()
	rate := float64(after-before) / to.at.Sub(from.at).Seconds()
	b.ReportMetric(rate, "requests/s")
	b.ReportMetric(rate/entryCores, "requests/s/entry-core")
	b.ReportMetric(0, "ns/op")
}

func requestLatency(b *testing.B, client *http.Client, url string) time.Duration {
	r, err := http.NewRequest(http.MethodPost, url, strings.NewReader("eye"))
	must.NoError(b, err)
	r.Header.Set(standin.RequestIDHeader, "direct")
	start := time.Now()
	resp, err := client.Do(r)
	must.NoError(b, err)
	defer resp.Body.Close()
	_, err = io.Copy(io.Discard, resp.Body)
	must.NoError(b, err)
	must.Eq(b, http.StatusOK, resp.StatusCode)
	return time.Since(start)
}

func quantile(list []time.Duration, q float64) time.Duration {
	slices.Sort(list)
	return list[int(float64(len(list))*q)]
}

// BenchmarkConfigInForce measures the time from an accepted change until every
// agent has reported the new version to both entries. Agents report it in their
// next heartbeat, at most a second later.
func BenchmarkConfigInForce(b *testing.B) {
	const changes = 10
	for _, agents := range []int{25, 50, 100, 200} {
		b.Run(fmt.Sprintf("agents=%d", agents), func(b *testing.B) {
			f := newFleet(b, agents)
			var sum, worst time.Duration
			for i := range changes {
				start := time.Now()
				status, body := statement(b, f.operators[i%2], fmt.Sprintf("set service glint-check wait = %dms", 1000+i))
				must.Eq(b, http.StatusOK, status, must.Sprint(body))
				version := changeVersion(b, body)
				for entry := range 2 {
					eventually(b, "change in force", func() bool {
						_, body := statement(b, f.operators[entry], "show upstreams")
						return strings.Count(body, fmt.Sprintf(`"version":%d`, version)) >= agents
					})
				}
				took := time.Since(start)
				sum += took
				worst = max(worst, took)
			}
			b.ReportMetric(sum.Seconds()/changes, "mean-s")
			b.ReportMetric(worst.Seconds(), "worst-s")
			b.ReportMetric(0, "ns/op")
		})
	}
}

// changeVersion returns the control version at which a command was accepted.
func changeVersion(b *testing.B, body string) int64 {
	var result struct {
		Version int64 `json:"version"`
	}
	must.NoError(b, json.Unmarshal([]byte(body), &result))
	must.Positive(b, result.Version)
	return result.Version
}
