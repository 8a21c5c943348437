package link_test

import (
	"fmt"
	"os"
	"os/exec"
	"runtime"
	"strconv"
	"strings"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"bamboowood/internal/control"
	"bamboowood/internal/link"
)

// agentsEnv makes the test binary run agents; its value is "count address".
const agentsEnv = "BAMBOOWOOD_TEST_AGENTS"

func TestMain(m *testing.M) {
	if spec := os.Getenv(agentsEnv); spec != "" {
		runAgents(spec)
		return
	}
	os.Exit(m.Run())
}

// runAgents connects agents until standard input ends, then prints the process's
// resident memory and goroutines.
func runAgents(spec string) {
	count, addr, _ := strings.Cut(spec, " ")
	n, _ := strconv.Atoi(count)
	t := &agentsProcess{}
	for i := range n {
		startTCPAgent(t, link.AgentOptions{VM: fmt.Sprintf("vm%d", i), Seeds: []string{addr}}, instant{})
	}
	_, _ = os.Stdin.Read(make([]byte, 1))
	fmt.Println(residentBytes(), runtime.NumGoroutine())
}

// agentsProcess is the testing.TB of a process that runs no tests. It cleans nothing up
// before the process exits.
type agentsProcess struct{ testing.TB }

func (*agentsProcess) Helper()        {}
func (*agentsProcess) Cleanup(func()) {}

var ids atomic.Int64

func nextID() string { return strconv.FormatInt(ids.Add(1), 10) }

// residentBytes returns the resident memory of this process.
func residentBytes() int64 {
	data, err := os.ReadFile("/proc/self/statm")
	if err != nil {
		return 0
	}
	pages, _ := strconv.ParseInt(strings.Fields(string(data))[1], 10, 64)
	return pages * int64(os.Getpagesize())
}

func cpuTime() time.Duration {
	var usage syscall.Rusage
	_ = syscall.Getrusage(syscall.RUSAGE_SELF, &usage)
	return time.Duration(usage.Utime.Nano() + usage.Stime.Nano())
}

// BenchmarkSessionCost measures the cost of idle sessions for an entry and, in a separate
// process, for the agents: resident bytes, goroutines, processor time. Run it with
// -benchtime 1x.
func BenchmarkSessionCost(b *testing.B) {
	for _, sessions := range []int{100, 300, 900} {
		b.Run(strconv.Itoa(sessions), func(b *testing.B) {
			for b.Loop() {
				measureSessions(b, sessions)
			}
		})
	}
}

func measureSessions(b *testing.B, sessions int) {
	runtime.GC()
	resident, goroutines := residentBytes(), runtime.NumGoroutine()
	entry, addr, ready := startTCPEntry(b, control.NewHolder())
	child := exec.Command(os.Args[0])
	child.Env = append(os.Environ(), fmt.Sprintf("%s=%d %s", agentsEnv, sessions, addr))
	stdin, err := child.StdinPipe()
	must.NoError(b, err)
	var out strings.Builder
	child.Stdout = &out
	must.NoError(b, child.Start())
	awaitUpstreams(ready, sessions)
	<-time.After(8 * time.Second) // time for the announcements and several discovery requests
	cpu, start := cpuTime(), time.Now()
	<-time.After(4 * time.Second)
	share := float64(cpuTime()-cpu) / float64(time.Since(start))
	must.Eq(b, sessions, entry.Sessions())
	n := float64(sessions)
	b.ReportMetric(float64(residentBytes()-resident)/n, "entry-B/session")
	var memory runtime.MemStats
	runtime.GC()
	runtime.ReadMemStats(&memory)
	b.ReportMetric(float64(memory.HeapAlloc)/n, "entry-live-B/session")
	b.ReportMetric(float64(memory.StackInuse)/n, "entry-stack-B/session")
	b.ReportMetric(float64(runtime.NumGoroutine()-goroutines)/n, "entry-goroutines/session")
	b.ReportMetric(100*share, "entry-%core")
	must.NoError(b, stdin.Close())
	must.NoError(b, child.Wait())
	var agentBytes, agentGoroutines float64
	_, err = fmt.Sscan(out.String(), &agentBytes, &agentGoroutines)
	must.NoError(b, err)
	b.ReportMetric(agentBytes/n, "agents-B/session")
	b.ReportMetric(agentGoroutines/n, "agents-goroutines/session")
	b.ReportMetric(0, "ns/op")
}
