package soak

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"bamboowood/platform/platformtest"
)

const (
	// reportTimeout is how long a runner waits for an agent to acknowledge a report.
	reportTimeout = time.Second
	// fallbackCalls is the number of other agents that a runner calls with one report.
	fallbackCalls = 2
	// maxSlowdown is how much slower than the time the clock of a runner may be.
	maxSlowdown = 0.02
)

// vm is a machine with a runner and its agent.
type vm struct {
	cluster *cluster
	number  int
	ip      string
	zone    string
	agent   *process
	proxy   *platformtest.Proxy // carries the calls to the runner

	mu      sync.Mutex
	random  *rand.Rand
	runner  *platformtest.Runner // the one that serves the runner's address
	runners []*platformtest.Runner
	removed bool
	// oddLists adds odd entries to the lists in the runner's answers.
	oddLists atomic.Bool
}

// addVM adds a VM. Its agent is not started.
func (cl *cluster) addVM(number int) *vm {
	ip := address(cl.slot, 100+number)
	v := &vm{cluster: cl, number: number, ip: ip, zone: cl.zoneOf(number), random: rand.New(rand.NewPCG(uint64(cl.seed), uint64(200+number)))}
	v.startRunner()
	v.proxy = cl.newProxy(cl.serve(net.JoinHostPort(ip, "18165"), v))
	p := cl.newProcess("agent", ip, cl.storeAddress)
	p.proxies = append(p.proxies, v.proxy)
	p.settings += fmt.Sprintf("app = %q\n", v.proxy.Address())
	p.settings += cl.settingsTables(ip, p.proxies[0].Address())
	v.agent = p
	cl.mu.Lock()
	cl.vms, cl.agents = append(cl.vms, v), append(cl.agents, p)
	cl.mu.Unlock()
	go v.sendReports()
	return v
}

// startRunner starts a runner, which serves the VM's runner address from then on.
func (v *vm) startRunner() {
	cl := v.cluster
	r := &platformtest.Runner{
		ID: "i-" + v.ip, Service: service, Zone: v.zone, Labels: []string{"a", "r1"}, CPU: runnerCPU, MemoryMB: runnerMemory,
		MaxLease: cl.maxLease(), Duration: cl.jobs.runResult, Observe: cl.history.add,
	}
	v.mu.Lock()
	defer v.mu.Unlock()
	if v.removed {
		return
	}
	if len(v.runners) > 0 {
		r.ID += fmt.Sprintf("-%d", len(v.runners))
		v.runner.Detach()
	}
	if cl.advice != nil {
		r.Ticket = func(task string) string { return cl.advice.ticket(r.ID, task) }
	}
	if cl.options.has(slowClock) {
		r.ClockRate = 1 - maxSlowdown*v.random.Float64()
	}
	if cl.options.has(oldRunner) {
		r.Age = time.Minute
	}
	r.Reset()
	v.runner, v.runners = r, append(v.runners, r)
	cl.mu.Lock()
	defer cl.mu.Unlock()
	cl.runners = append(cl.runners, r)
}

func (v *vm) current() *platformtest.Runner {
	v.mu.Lock()
	defer v.mu.Unlock()
	return v.runner
}

// ServeHTTP implements http.Handler.
func (v *vm) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if v.oddLists.Load() {
		v.serveOddLists(w, r)
		return
	}
	v.current().ServeHTTP(w, r)
}

// remove ends the VM with its processes for good. All runs of its runners end.
func (v *vm) remove() {
	v.mu.Lock()
	v.removed = true
	for _, r := range v.runners {
		r.Detach()
		r.Reset()
	}
	v.mu.Unlock()
	v.proxy.Close()
	v.agent.remove()
}

func (v *vm) present() bool {
	v.mu.Lock()
	defer v.mu.Unlock()
	return !v.removed
}

// presentVMs returns the number of VMs that have not been removed.
func (cl *cluster) presentVMs() (n int) {
	cl.mu.Lock()
	defer cl.mu.Unlock()
	for _, v := range cl.vms {
		if v.present() {
			n++
		}
	}
	return n
}

// sendReports sends the reports of the VM's runner until the VM or the test ends: to the VM's own
// agent, and, with the option fallback, to other agents in turn until one acknowledges the report.
func (v *vm) sendReports() {
	next, controls := v.number, v.cluster.controls
	for tick := time.NewTicker(reportInterval); v.cluster.t.Context().Err() == nil && v.present(); <-tick.C {
		r := v.current()
		acknowledged := v.sendReport(r, v.number)
		if acknowledged || !v.cluster.options.has(fallback) {
			continue // without fallback, the next report follows
		}
		for range fallbackCalls {
			if next = (next + 1) % len(controls); next == v.number {
				next = (next + 1) % len(controls)
			}
			if v.sendReport(r, next) {
				break
			}
		}
	}
}

// sendReport reports whether the agent acknowledged the report in time.
func (v *vm) sendReport(r *platformtest.Runner, agent int) bool {
	ctx, cancel := context.WithTimeout(v.cluster.t.Context(), reportTimeout)
	defer cancel()
	return r.Report(ctx, v.cluster.controls[agent], v.proxy.Address(), false) == nil
}

// options name what the runs of a test do besides the faults that all tests share. Each has random
// numbers of its own, so that a seed has the same schedule with and without it.
type options []string

const (
	fallback      = "fallback"    // runners call other agents when theirs does not acknowledge a report
	speculative   = "speculative" // steps allow copies of their tasks, some runs of which take long
	membership    = "membership"  // VMs are added, and removed for good
	newID         = "new-id"      // a runner starts under a new id while the process it replaces lives
	pausedRunner  = "pause"       // runners are paused
	advised       = "advised"     // the queue has a policy, and its advice service is slow, busy or silent at times
	slowClock     = "slow-clock"  // runners have slow clocks
	refusedRunner = "refuse"      // runners' addresses refuse connections while they live
	oddReport     = "odd-report"  // other writers send reports to agents
	oddRow        = "odd-row"     // other writers write to the tables of the system
	crowd         = "crowd"       // unknown clients send unfinished bodies to entries
	oldRunner     = "old-runner"  // runners have started long before the run
	storeClock    = "store-clock" // the store's clock begins anew, stands still or is slow, and agents are killed
	power         = "power"       // VMs lose power, zones are cut in one direction, writes to the store are late
	longLease     = "long-lease"  // runners grant longer leases than agents give, and restart before cuts of power
	evacuation    = "evacuation"  // a zone is drained and refilled, and the store refuses reads of single tables

	// storeClockAhead: the store's clock shows a later time, and all entries are killed, while an agent is down.
	storeClockAhead = "store-clock-ahead"
)

func (o options) has(name string) bool { return slices.Contains(o, name) }

// addedVMs is the number of VMs that are added during a run.
func addedVMs(o options) int {
	if o.has(membership) {
		return 2
	}
	return 0
}

// optionalFaults returns the faults of the options, from random numbers of each option's own.
func (cl *cluster) optionalFaults(window time.Duration) (schedule []fault) {
	for i, option := range []struct {
		name  string
		count int
		fault func(r *rand.Rand, v *vm) (description string, run func())
	}{
		{membership, 1, func(_ *rand.Rand, v *vm) (string, func()) { return "remove the VM " + v.ip, v.remove }},
		{newID, 2, func(_ *rand.Rand, v *vm) (string, func()) { return "new runner id on " + v.ip, v.startRunner }},
		{pausedRunner, 2, func(r *rand.Rand, v *vm) (string, func()) {
			d := randomDuration(r, time.Second, 9*time.Second)
			return fmt.Sprintf("pause the runner of %s for %s", v.ip, d), func() { v.current().Pause(d) }
		}},
		{refusedRunner, 3, func(r *rand.Rand, v *vm) (string, func()) {
			d := randomDuration(r, 200*time.Millisecond, 3*time.Second)
			return fmt.Sprintf("the runner's address of %s refuses connections for %s", v.ip, d), func() {
				if err := v.proxy.Refuse(d); err != nil {
					cl.history.failf("the proxy of a runner: %v", err)
				}
			}
		}},
		{oddReport, 5, cl.oddReport},
		{storeClock, 3, cl.storeClockFault},
		{oddRow, 3, func(r *rand.Rand, _ *vm) (string, func()) { return cl.oddRow(r) }},
		{storeClockAhead, 3, cl.storeClockAheadFault},
	} {
		if !cl.options.has(option.name) {
			continue
		}
		r := rand.New(rand.NewPCG(uint64(cl.seed), uint64(20+i)))
		for range option.count {
			description, run := option.fault(r, pick(r, cl.vms))
			schedule = append(schedule, fault{at: randomDuration(r, 0, window), description: description, run: run})
		}
	}
	r := rand.New(rand.NewPCG(uint64(cl.seed), 19))
	for n := range addedVMs(cl.options) {
		number := len(cl.vms) + n
		schedule = append(schedule, fault{
			at: randomDuration(r, 0, window), description: "add the VM " + address(cl.slot, 100+number), run: func() { cl.startVM(number) },
		})
	}
	return schedule
}

// startVM adds a VM and starts its agent.
func (cl *cluster) startVM(number int) {
	p := cl.addVM(number).agent
	p.mu.Lock()
	defer p.mu.Unlock()
	p.start()
	cl.t.Cleanup(p.kill)
}
