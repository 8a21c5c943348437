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

// measureFor is the time over which processor time and bytes are taken: two
// renewals of a lease, so that each agent counts alike.
const measureFor = 20 * time.Second

// clockTick is the unit of the processor times that the kernel reports.
const clockTick = 10 * time.Millisecond

// fleet is a number of agent processes with two entries, built without the race
// detector.
type fleet struct {
	*cluster
	binary  string
	procs   map[string]*proc
	entryAt string
	admins  []string
	vms     []string
}

func newFleet(b *testing.B, agents int) *fleet {
	b.Helper()
	return newFleetServing(b, agents, settings.DefaultStandin().ServiceTime.Value())
}

// newFleetServing starts a fleet whose runners take service in the mean.
func newFleetServing(b *testing.B, agents int, service time.Duration) *fleet {
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
	st.ServiceTime = settings.Duration(service)
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
		eventually(b, "all upstreams ready", func() bool { return f.ready(b, i) == agents })
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
	f.entryAt = e.Agents.Listen
}

func (f *fleet) runAgent(b *testing.B, vm, zone string, capacity structs.Resources) {
	a := settings.DefaultAgent()
	a.VM, a.Zone, a.Rack = vm, zone, zone+"-r1"
	a.Entries = []string{f.entryAt}
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

func (f *fleet) ready(b *testing.B, i int) int {
	status, body := statement(b, f.operators[i], "show upstreams")
	if status != http.StatusOK {
		return 0
	}
	return strings.Count(body, `"ready"`)
}

// reading is what the processes had used at one moment.
type reading struct {
	cpu   map[string]time.Duration
	bytes float64
	table standin.Counts
	at    time.Time
}

func (f *fleet) read(b *testing.B) reading {
	r := reading{cpu: map[string]time.Duration{}, at: time.Now()}
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

// processorTime returns the user and system time of a process.
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

// report gives the means over all agents and the sums of the entries and the
// table between two readings.
func (f *fleet) report(b *testing.B, from, to reading) {
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

// BenchmarkNodes_Idle gives what idle agents, two entries and the table spend,
// for the slopes of docs/CAPACITY.md.
func BenchmarkNodes_Idle(b *testing.B) {
	for _, agents := range []int{25, 50, 100, 200} {
		b.Run(fmt.Sprintf("agents=%d", agents), func(b *testing.B) {
			f := newFleet(b, agents)
			<-time.After(measureFor / 3)
			from := f.read(b)
			<-time.After(measureFor)
			f.report(b, from, f.read(b))
		})
	}
}

// BenchmarkNode_Busy keeps a share of one agent's 8 slots taken and gives what
// the agent and the entry spend on it. The runner takes 20 ms a request in the
// mean.
func BenchmarkNode_Busy(b *testing.B) {
	for _, callers := range []int{2, 4, 8} {
		b.Run(fmt.Sprintf("callers=%d", callers), func(b *testing.B) {
			f := newFleet(b, 1)
			stop, served := f.load(callers)
			<-time.After(measureFor / 3)
			from, before := f.read(b), served.Load()
			<-time.After(measureFor)
			to, after := f.read(b), served.Load()
			stop()
			f.report(b, from, to)
			done := float64(after - before)
			b.ReportMetric(done/to.at.Sub(from.at).Seconds(), "requests/s")
			b.ReportMetric(float64((to.cpu["vm-000"]-from.cpu["vm-000"]).Microseconds())/done, "agent-µs/request")
			b.ReportMetric(float64((to.cpu["entry-1"]-from.cpu["entry-1"]).Microseconds())/done, "entry-µs/request")
		})
	}
}

// load keeps a number of callers busy at the first entry.
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

// BenchmarkFullPath compares a request through entry and agent with a direct
// call of the runner, one at a time in turn, in the same run. The runner answers
// at once.
func BenchmarkFullPath(b *testing.B) {
	const requests = 3000
	f := newFleetServing(b, 1, time.Microsecond)
	direct, path := "http://"+f.runners[f.vms[0]]+"/glint-check", f.callers[0]+"/v1/services/glint-check/requests"
	client := &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 2}}
	var alone, whole []time.Duration
	for range requests {
		alone = append(alone, timed(b, client, direct))
		whole = append(whole, timed(b, client, path))
	}
	for _, q := range []struct {
		name string
		at   float64
	}{{"p50", 0.5}, {"p99", 0.99}} {
		one, other := quantile(alone, q.at), quantile(whole, q.at)
		b.ReportMetric(float64(one.Microseconds()), q.name+"-direct-µs")
		b.ReportMetric(float64(other.Microseconds()), q.name+"-path-µs")
		b.ReportMetric(other.Seconds()/one.Seconds(), q.name+"-ratio")
	}
	stop, served := f.load(8)
	<-time.After(measureFor / 3)
	from, before := f.read(b), served.Load()
	<-time.After(measureFor)
	to, after := f.read(b), served.Load()
	stop()
	entryCores := (to.cpu["entry-1"] - from.cpu["entry-1"]).Seconds() / to.at.Sub(from.at).Seconds()
	rate := float64(after-before) / to.at.Sub(from.at).Seconds()
	b.ReportMetric(rate, "requests/s")
	b.ReportMetric(rate/entryCores, "requests/s/entry-core")
	b.ReportMetric(0, "ns/op")
}

func timed(b *testing.B, client *http.Client, url string) time.Duration {
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

// BenchmarkConfigInForce gives the time from an accepted change to the moment
// when both entries know from every agent that it has the new version. Agents
// report at their next heartbeat, at most a second later.
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

// changeVersion returns the control version that a command was accepted at.
func changeVersion(b *testing.B, body string) int64 {
	var result struct {
		Version int64 `json:"version"`
	}
	must.NoError(b, json.Unmarshal([]byte(body), &result))
	must.Positive(b, result.Version)
	return result.Version
}
