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

// The fleet of the measurements.
const (
	simVMs     = 11
	simSlots   = 8
	simEntries = 4
	simZones   = 4
	simMean    = 20 * time.Millisecond
	// simWait is the agreed wait: ten times the mean service time.
	simWait = 200 * time.Millisecond
	// simHold is how long an agent holds an offer while its slots are taken, and
	// simHoldLimit how many offers.
	simHold      = 10 * time.Millisecond
	simHoldLimit = 8
	// simWarmup is not measured: the entries start without estimates.
	simWarmup = 500 * time.Millisecond
)

// scenario is one row of a measurement.
type scenario struct {
	name string
	// load is the share of the capacity at each moment that arrives.
	load     float64
	length   time.Duration
	heavy    bool // log-normal service times instead of exponential ones
	slowdown func(vm int, at time.Duration) float64
	fault    func(vm int, at time.Duration) fault
	out      func(zone int, at time.Duration) bool
	burst    func(at time.Duration) float64
	// nonIdempotent is the share of requests that are not idempotent.
	nonIdempotent float64
}

func (sc *scenario) slow(vm int, at time.Duration) float64 {
	if sc.slowdown == nil {
		return 1
	}
	return sc.slowdown(vm, at)
}

func (sc *scenario) broken(vm int, at time.Duration) fault {
	if sc.fault == nil {
		return none
	}
	return sc.fault(vm, at)
}

func (sc *scenario) zoneOut(vm int, at time.Duration) bool {
	return sc.out != nil && sc.out(vm%simZones, at)
}

// capacity returns requests a second that the usable upstreams can serve.
func (sc *scenario) capacity(at time.Duration) float64 {
	slots := 0.0
	for vm := range simVMs {
		if sc.broken(vm, at) == none && !sc.zoneOut(vm, at) {
			slots += simSlots / sc.slow(vm, at)
		}
	}
	return slots / simMean.Seconds()
}

// arrival is one request of a recorded sequence.
type arrival struct {
	at         time.Duration
	work       time.Duration
	entry      int
	idempotent bool
}

// heavySigma is the shape of the log-normal service times: their 99.9th
// percentile is 30 times their median.
const heavySigma = 1.1

// arrivals records the sequence that every policy gets.
func (sc *scenario) arrivals(seed uint64) []arrival {
	random := rand.New(rand.NewPCG(seed, 1))
	var all []arrival
	for at := time.Duration(0); ; {
		rate := sc.load * sc.capacity(at)
		if sc.burst != nil {
			rate *= sc.burst(at)
		}
		at += time.Duration(random.ExpFloat64() / rate * float64(time.Second))
		if at >= sc.length {
			return all
		}
		work := random.ExpFloat64()
		if sc.heavy {
			work = math.Exp(random.NormFloat64()*heavySigma - heavySigma*heavySigma/2)
		}
		all = append(all, arrival{
			at: at, work: time.Duration(work * float64(simMean)), entry: random.IntN(simEntries),
			idempotent: random.Float64() >= sc.nonIdempotent,
		})
	}
}

// outcome is what a policy made of a sequence. A request that was not answered
// within the wait counts as the wait in the percentiles.
type outcome struct {
	served         float64
	perSecond      float64
	p50, p99, p999 time.Duration
	late           int
	extra          float64 // runs beyond the arrivals, as a share of them
	offers         float64 // offers by arrival
	reasons        map[verdict.Reason]int
	latencies      []time.Duration
}

func (o outcome) String() string {
	return fmt.Sprintf("served %7.3f%% (%5.0f/s) p50 %4.1f p99 %6.1f p99.9 %6.1f late %4d extra %5.2f%% offers %.2f %v",
		o.served*100, o.perSecond, ms(o.p50), ms(o.p99), ms(o.p999), o.late, o.extra*100, o.offers, o.reasons)
}

func ms(d time.Duration) float64 { return float64(d) / float64(time.Millisecond) }

func summarize(latencies []time.Duration, length time.Duration) outcome {
	slices.Sort(latencies)
	served, _ := slices.BinarySearch(latencies, simWait)
	return outcome{
		served:    float64(served) / float64(len(latencies)),
		perSecond: float64(served) / (length - simWarmup).Seconds(),
		p50:       percentile(latencies, 0.50), p99: percentile(latencies, 0.99), p999: percentile(latencies, 0.999),
		latencies: latencies,
	}
}

// policy makes an entry's client of the exchange.
type policy struct {
	name string
	// hold and holdLimit are the agents'.
	hold      time.Duration
	holdLimit int
	noMeter   bool
	client    func(entry int, x Exchanger, snapshot *routing.Snapshot) client
}

type client interface {
	Do(ctx context.Context, req structs.Request) (structs.Answer, error)
}

// product is the real Dispatcher with the options.
func product(name string, change func(o *Options)) policy {
	return policy{name: name, hold: simHold, holdLimit: simHoldLimit, client: func(_ int, x Exchanger, snapshot *routing.Snapshot) client {
		opts := DefaultOptions()
		if change != nil {
			change(&opts)
		}
		d := New(opts, x, nil)
		d.SetSnapshot(snapshot)
		return d
	}}
}

// simulate runs the sequence through the policy in virtual time.
func simulate(t *testing.T, sc scenario, p policy, seed uint64) outcome {
	t.Helper()
	all := sc.arrivals(seed)
	var result outcome
	synctest.Test(t, func(*testing.T) {
		f := newFleet(&sc, p)
		latencies := make([]time.Duration, len(all))
		reasons := map[verdict.Reason]int{}
		var mu sync.Mutex
		var done sync.WaitGroup
		late := 0
		for i, a := range all {
			time.Sleep(a.at - time.Since(f.epoch))
			f.applyZones(a.at)
			done.Add(1)
			go func() {
				defer done.Done()
				start := time.Now()
				_, err := f.clients[a.entry].Do(context.Background(), structs.Request{
					ID: fmt.Sprint(i), Service: "check", Body: work(a.work), Deadline: start.Add(simWait), Idempotent: a.idempotent,
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
		runs, offers := f.totals()
		result.extra = float64(runs-int64(len(all))) / float64(len(all))
		result.offers = float64(offers) / float64(len(all))
	})
	return result
}

// fleet is the agents and the entries of one simulation.
type fleet struct {
	sc        *scenario
	epoch     time.Time
	agents    []*fakeAgent
	clients   []client
	snapshots []*routing.Snapshot
	out       [simZones]bool
	closed    atomic.Bool
}

func zoneName(i int) string { return string(rune('a' + i)) }

func newFleet(sc *scenario, p policy) *fleet {
	f := &fleet{sc: sc, epoch: time.Now()}
	byName := map[string]*fakeAgent{}
	for vm := range simVMs {
		a := &fakeAgent{
			slots: simSlots, hold: p.hold, holdLimit: p.holdLimit, noMeter: p.noMeter,
			slowdown: func(at time.Duration) float64 { return sc.slow(vm, at) },
			fault:    func(at time.Duration) fault { return f.broken(vm, at) },
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

// oneWay is the network's delay from an entry to a VM.
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

// broken is the scenario's fault until the fleet is closed.
func (f *fleet) broken(vm int, at time.Duration) fault {
	if f.closed.Load() {
		return down
	}
	return f.sc.broken(vm, at)
}

func (f *fleet) close() {
	f.closed.Store(true)
	for _, c := range f.clients {
		if d, ok := c.(*Dispatcher); ok {
			_ = d.Drain(context.Background())
		}
	}
	time.Sleep(time.Minute) // runs that were given up end
}

// applyZones gives the entries a new snapshot when a zone has left or returned.
func (f *fleet) applyZones(at time.Duration) {
	changed := false
	for zone := range simZones {
		out := f.sc.out != nil && f.sc.out(zone, at)
		changed = changed || out != f.out[zone]
		f.out[zone] = out
	}
	if !changed {
		return
	}
	for i, old := range f.snapshots {
		snapshot := &routing.Snapshot{Service: old.Service, LocalZone: old.LocalZone}
		for vm, u := range old.Upstreams {
			next := *u
			next.ZoneDrained = f.out[vm%simZones]
			snapshot.Upstreams = append(snapshot.Upstreams, &next)
		}
		f.snapshots[i] = snapshot
		if s, ok := f.clients[i].(interface{ SetSnapshot(*routing.Snapshot) }); ok {
			s.SetSnapshot(snapshot)
		}
	}
}

func (f *fleet) totals() (runs, offers int64) {
	for _, a := range f.agents {
		runs += a.runs.Load()
		offers += a.offers.Load()
	}
	return runs, offers
}

// ideal is the limit: one shared queue over all slots, first come first served,
// that gives the next request to the fastest free slot, knows at once which
// upstream is slow, broken or out, and pays for no message.
// With network each answer also pays for a round trip to the upstream.
func ideal(sc scenario, seed uint64, network bool) outcome {
	all := sc.arrivals(seed)
	q := &idealQueue{sc: &sc, network: network}
	for vm := range simVMs {
		q.free[vm] = simSlots
	}
	latencies := make([]time.Duration, len(all))
	for i, a := range all {
		q.finish(a.at, all, latencies)
		q.waiting = append(q.waiting, i)
		q.assign(a.at, all, latencies)
	}
	q.finish(math.MaxInt64, all, latencies)
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
	busy    finishes
	waiting []int
}

func (q *idealQueue) assign(now time.Duration, all []arrival, latencies []time.Duration) {
	for len(q.waiting) > 0 {
		best := -1
		for vm := range simVMs {
			if q.free[vm] > 0 && q.sc.broken(vm, now) == none && !q.sc.zoneOut(vm, now) &&
				(best < 0 || q.sc.slow(vm, now) < q.sc.slow(best, now)) {
				best = vm
			}
		}
		if best < 0 {
			return
		}
		i := q.waiting[0]
		q.waiting = q.waiting[1:]
		q.free[best]--
		end := now + time.Duration(float64(all[i].work)*q.sc.slow(best, now))
		latencies[i] = end - all[i].at
		if q.network {
			latencies[i] += 2 * oneWay(all[i].entry, best)
		}
		heap.Push(&q.busy, finish{end, best})
	}
}

func (q *idealQueue) finish(until time.Duration, all []arrival, latencies []time.Duration) {
	for len(q.busy) > 0 && q.busy[0].at <= until {
		f := heap.Pop(&q.busy).(finish)
		q.free[f.vm]++
		q.assign(f.at, all, latencies)
	}
}

type finish struct {
	at time.Duration
	vm int
}

type finishes []finish

func (f finishes) Len() int           { return len(f) }
func (f finishes) Less(i, j int) bool { return f[i].at < f[j].at }
func (f finishes) Swap(i, j int)      { f[i], f[j] = f[j], f[i] }
func (f *finishes) Push(x any)        { *f = append(*f, x.(finish)) }
func (f *finishes) Pop() any {
	last := (*f)[len(*f)-1]
	*f = (*f)[:len(*f)-1]
	return last
}
