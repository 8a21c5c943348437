package dispatch

import (
	"container/heap"
	"context"
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"bamboowood/internal/routing"
	"bamboowood/internal/structs"
	"bamboowood/internal/verdict"
)

// The simulated fleet.
const (
	simVMs             = 11
	simSlots           = 8
	simEntries         = 4
	simZones           = 4
	simMeanServiceTime = 20 * time.Millisecond
	// simWait is the deadline of a request: ten times the mean service time.
	simWait = 200 * time.Millisecond
	// simMaxSlotWait is how long an offer waits at an agent for a free slot, and
	// simMaxWaitingOffers how many offers may wait there.
	simMaxSlotWait      = 10 * time.Millisecond
	simMaxWaitingOffers = 8
	// simWarmup is left out of the results: the entries start without estimates.
	simWarmup = 500 * time.Millisecond
)

// scenario is the load on the fleet with its slowdowns and faults. The functions
// may be nil; at is the time since the start.
type scenario struct {
	name string
	// load is the arrival rate as a share of the current capacity.
	load        float64
	length      time.Duration
	heavyTail   bool // log-normal instead of exponential service times
	slowdown    func(vm int, at time.Duration) float64
	fault       func(vm int, at time.Duration) fault
	zoneDrained func(zone int, at time.Duration) bool
	loadFactor  func(at time.Duration) float64
	// nonIdempotent is the share of requests that are not idempotent.
	nonIdempotent float64
}

func (sc *scenario) slowdownAt(vm int, at time.Duration) float64 {
	if sc.slowdown == nil {
		return 1
	}
	return sc.slowdown(vm, at)
}

func (sc *scenario) faultAt(vm int, at time.Duration) fault {
	if sc.fault == nil {
		return none
	}
	return sc.fault(vm, at)
}

func (sc *scenario) vmZoneDrained(vm int, at time.Duration) bool {
	return sc.zoneDrained != nil && sc.zoneDrained(vm%simZones, at)
}

// capacity returns the requests per second that the upstreams without a fault or a
// drained zone can serve.
func (sc *scenario) capacity(at time.Duration) float64 {
	slots := 0.0
	for vm := range simVMs {
		if sc.faultAt(vm, at) == none && !sc.vmZoneDrained(vm, at) {
			slots += simSlots / sc.slowdownAt(vm, at)
		}
	}
	return slots / simMeanServiceTime.Seconds()
}

// arrival is one request of a generated sequence.
type arrival struct {
	at          time.Duration
	serviceTime time.Duration
	entry       int
	idempotent  bool
}

// heavySigma is the sigma of the log-normal service times: their 99.9th percentile
// is 30 times their median.
const heavySigma = 1.1

// arrivals generates the sequence of requests. It depends only on the scenario and
// the seed, so that all policies get the same one.
func (sc *scenario) arrivals(seed uint64) []arrival {
	random := rand.New(rand.NewPCG(seed, 1))
	var all []arrival
	for at := time.Duration(0); ; {
		rate := sc.load * sc.capacity(at)
		if sc.loadFactor != nil {
			rate *= sc.loadFactor(at)
		}
		at += time.Duration(random.ExpFloat64() / rate * float64(time.Second))
		if at >= sc.length {
			return all
		}
		relativeTime := random.ExpFloat64()
		if sc.heavyTail {
			relativeTime = math.Exp(random.NormFloat64()*heavySigma - heavySigma*heavySigma/2)
		}
		all = append(all, arrival{
			at: at, serviceTime: time.Duration(relativeTime * float64(simMeanServiceTime)), entry: random.IntN(simEntries),
			idempotent: random.Float64() >= sc.nonIdempotent,
		})
	}
}

// simResult is the result of a policy on a sequence. A request that was not answered
// within simWait has simWait as its latency in the percentiles.
type simResult struct {
	servedShare      float64
	servedPerSecond  float64
	p50, p99, p999   time.Duration
	late             int     // requests that exceed simWait and may have run
	extraRuns        float64 // runs in addition to one per request, as a share of the requests
	offersPerRequest float64
	reasons          map[verdict.Reason]int
	latencies        []time.Duration
}

func (o simResult) String() string {
	return fmt.Sprintf("served %7.3f%% (%5.0f/s) p50 %4.1f p99 %6.1f p99.9 %6.1f late %4d extra %5.2f%% offers %.2f %v",
		o.servedShare*100, o.servedPerSecond, ms(o.p50), ms(o.p99), ms(o.p999), o.late, o.extraRuns*100, o.offersPerRequest, o.reasons)
}

func ms(d time.Duration) float64 { return float64(d) / float64(time.Millisecond) }

func summarize(latencies []time.Duration, length time.Duration) simResult {
	slices.Sort(latencies)
	served, _ := slices.BinarySearch(latencies, simWait)
	return simResult{
		servedShare:     float64(served) / float64(len(latencies)),
		servedPerSecond: float64(served) / (length - simWarmup).Seconds(),
		p50:             percentile(latencies, 0.50), p99: percentile(latencies, 0.99), p999: percentile(latencies, 0.999),
		latencies: latencies,
	}
}

// policy configures the agents and creates the client of an entry.
type policy struct {
	name string
	// maxSlotWait and maxWaitingOffers apply at the agents.
	maxSlotWait      time.Duration
	maxWaitingOffers int
	noMeter          bool
	client           func(entry int, x Exchanger, snapshot *routing.Snapshot) client
}

type client interface {
	Do(ctx context.Context, req structs.Request) (structs.Answer, error)
}

// dispatcherPolicy returns the policy that uses a Dispatcher with the default options
// as modified by change, which may be nil.
func dispatcherPolicy(name string, change func(o *Options)) policy {
	return policy{name: name, maxSlotWait: simMaxSlotWait, maxWaitingOffers: simMaxWaitingOffers, client: func(_ int, x Exchanger, snapshot *routing.Snapshot) client {
		opts := DefaultOptions()
		if change != nil {
			change(&opts)
		}
		d := New(opts, x, nil)
		d.SetSnapshot(snapshot)
		return d
	}}
}

// simulate runs the arrivals of a scenario through the policy in virtual time.
func simulate(t *testing.T, sc scenario, p policy, seed uint64) simResult {
	t.Helper()
	all := sc.arrivals(seed)
	var result simResult
	synctest.Test(t, func(*testing.T) {
		f := newFleet(&sc, p)
		latencies := make([]time.Duration, len(all))
		reasons := map[verdict.Reason]int{}
		var mu sync.Mutex
		var done sync.WaitGroup
		late := 0
		for i, a := range all {
			time.Sleep(a.at - time.Since(f.epoch))
			f.applyDrainedZones(a.at)
			done.Add(1)
			go func() {
				defer done.Done()
				start := time.Now()
				_, err := f.clients[a.entry].Do(context.Background(), structs.Request{
					ID: fmt.Sprint(i), Service: "check", Body: encodeServiceTime(a.serviceTime), Deadline: start.Add(simWait), Idempotent: a.idempotent,
				})
				latency := min(time.Since(start), simWait)
				if err != nil {
					latency = simWait
				}
				latencies[i] = latency
				if latency >= simWait && a.at >= simWarmup {
					mu.Lock()
					reasons[verdict.ReasonOf(err)]++
					if verdict.OutcomeOf(err, verdict.MayHaveRun) != verdict.NotRun {
						late++
					}
					mu.Unlock()
				}
			}()
		}
		done.Wait()
		f.close()
		first, _ := slices.BinarySearchFunc(all, simWarmup, func(a arrival, at time.Duration) int { return int(a.at - at) })
		result = summarize(latencies[first:], sc.length)
		result.reasons, result.late = reasons, late
		runs, offers := f.totalRunsAndOffers()
		result.extraRuns = float64(runs-int64(len(all))) / float64(len(all))
		result.offersPerRequest = float64(offers) / float64(len(all))
	})
	return result
}

// fleet holds the agents and the entries of one simulation.
type fleet struct {
	sc           *scenario
	epoch        time.Time
	agents       []*fakeAgent
	clients      []client
	snapshots    []*routing.Snapshot
	drainedZones [simZones]bool
	closed       atomic.Bool
}

func zoneName(i int) string { return string(rune('a' + i)) }

func newFleet(sc *scenario, p policy) *fleet {
	f := &fleet{sc: sc, epoch: time.Now()}
	byName := map[string]*fakeAgent{}
	for vm := range simVMs {
		a := &fakeAgent{
			slots: simSlots, maxSlotWait: p.maxSlotWait, maxWaitingOffers: p.maxWaitingOffers, noMeter: p.noMeter,
			slowdown: func(at time.Duration) float64 { return sc.slowdownAt(vm, at) },
			fault:    func(at time.Duration) fault { return f.faultAt(vm, at) },
		}
		f.agents = append(f.agents, a)
		byName[vmName(vm)] = a
	}
	for entry := range simEntries {
		zone := zoneName(entry % simZones)
		snapshot := &routing.Snapshot{Service: "check", LocalZone: zone}
		for vm := range simVMs {
			snapshot.Upstreams = append(snapshot.Upstreams, &routing.Upstream{
				VM: vmName(vm), Zone: zoneName(vm % simZones), Slots: simSlots, Stats: &routing.Stats{},
			})
		}
		x := &fakeExchange{epoch: f.epoch, agents: byName, acceptTimeout: 8 * time.Millisecond, oneWay: func(vm string) time.Duration {
			return oneWay(entry, vmIndex(vm))
		}}
		f.snapshots = append(f.snapshots, snapshot)
		f.clients = append(f.clients, p.client(entry, x, snapshot))
	}
	return f
}

// oneWay returns the one-way network delay between an entry and a VM.
func oneWay(entry, vm int) time.Duration {
	if entry%simZones == vm%simZones {
		return 100 * time.Microsecond
	}
	return time.Millisecond
}

func vmIndex(name string) int {
	var i int
	_, _ = fmt.Sscanf(name, "vm-%d", &i)
	return i
}

// faultAt returns the fault of the scenario until the fleet is closed, and then down.
func (f *fleet) faultAt(vm int, at time.Duration) fault {
	if f.closed.Load() {
		return down
	}
	return f.sc.faultAt(vm, at)
}

func (f *fleet) close() {
	f.closed.Store(true)
	for _, c := range f.clients {
		if d, ok := c.(*Dispatcher); ok {
			_ = d.Drain(context.Background())
		}
	}
	time.Sleep(time.Minute) // let the runs of cancelled tries end
}

// applyDrainedZones gives the entries a new snapshot if a zone was drained or became
// active again.
func (f *fleet) applyDrainedZones(at time.Duration) {
	changed := false
	for zone := range simZones {
		drained := f.sc.zoneDrained != nil && f.sc.zoneDrained(zone, at)
		changed = changed || drained != f.drainedZones[zone]
		f.drainedZones[zone] = drained
	}
	if !changed {
		return
	}
	for i, old := range f.snapshots {
		snapshot := &routing.Snapshot{Service: old.Service, LocalZone: old.LocalZone}
		for vm, u := range old.Upstreams {
			next := *u
			next.ZoneDrained = f.drainedZones[vm%simZones]
			snapshot.Upstreams = append(snapshot.Upstreams, &next)
		}
		f.snapshots[i] = snapshot
		if s, ok := f.clients[i].(interface{ SetSnapshot(*routing.Snapshot) }); ok {
			s.SetSnapshot(snapshot)
		}
	}
}

func (f *fleet) totalRunsAndOffers() (runs, offers int64) {
	for _, a := range f.agents {
		runs += a.runs.Load()
		offers += a.offers.Load()
	}
	return runs, offers
}

// ideal returns the result of an ideal scheduler, the reference for the policies: one
// shared queue over all slots, first come first served, that gives the next request
// to the fastest free slot, always has the current state of every upstream and has
// no network delay. With network, each answer includes a round trip to the upstream.
func ideal(sc scenario, seed uint64, network bool) simResult {
	all := sc.arrivals(seed)
	q := &idealQueue{sc: &sc, network: network}
	for vm := range simVMs {
		q.free[vm] = simSlots
	}
	latencies := make([]time.Duration, len(all))
	for i, a := range all {
		q.finishUntil(a.at, all, latencies)
		q.waiting = append(q.waiting, i)
		q.assign(a.at, all, latencies)
	}
	q.finishUntil(math.MaxInt64, all, latencies)
	for i := range latencies {
		latencies[i] = min(latencies[i], simWait)
	}
	first, _ := slices.BinarySearchFunc(all, simWarmup, func(a arrival, at time.Duration) int { return int(a.at - at) })
	return summarize(latencies[first:], sc.length)
}

type idealQueue struct {
	sc      *scenario
	network bool
	free    [simVMs]int
	busy    finishHeap
	waiting []int
}

func (q *idealQueue) assign(now time.Duration, all []arrival, latencies []time.Duration) {
	for len(q.waiting) > 0 {
		best := -1
		for vm := range simVMs {
			if q.free[vm] > 0 && q.sc.faultAt(vm, now) == none && !q.sc.vmZoneDrained(vm, now) &&
				(best < 0 || q.sc.slowdownAt(vm, now) < q.sc.slowdownAt(best, now)) {
				best = vm
			}
		}
		if best < 0 {
			return
		}
		i := q.waiting[0]
		q.waiting = q.waiting[1:]
		q.free[best]--
		end := now + time.Duration(float64(all[i].serviceTime)*q.sc.slowdownAt(best, now))
		latencies[i] = end - all[i].at
		if q.network {
			latencies[i] += 2 * oneWay(all[i].entry, best)
		}
		heap.Push(&q.busy, finishEvent{end, best})
	}
}

func (q *idealQueue) finishUntil(until time.Duration, all []arrival, latencies []time.Duration) {
	for len(q.busy) > 0 && q.busy[0].at <= until {
		f := heap.Pop(&q.busy).(finishEvent)
		q.free[f.vm]++
		q.assign(f.at, all, latencies)
	}
}

type finishEvent struct {
	at time.Duration
	vm int
}

type finishHeap []finishEvent

func (f finishHeap) Len() int           { return len(f) }
func (f finishHeap) Less(i, j int) bool { return f[i].at < f[j].at }
func (f finishHeap) Swap(i, j int)      { f[i], f[j] = f[j], f[i] }
func (f *finishHeap) Push(x any)        { *f = append(*f, x.(finishEvent)) }
func (f *finishHeap) Pop() any {
	last := (*f)[len(*f)-1]
	*f = (*f)[:len(*f)-1]
	return last
}
