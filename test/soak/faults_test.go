package soak

import (
	"fmt"
	"math/rand/v2"
	"sync"
	"time"

	"bamboowood/platform/platformtest"
)

// fault is one scheduled fault injection of a run.
type fault struct {
	at          time.Duration
	description string
	run         func()
	// disturbs holds the processes that the fault affects, in the given way.
	disturbs []*process
	how      disturbanceKind
}

func (f fault) String() string { return fmt.Sprintf("%6.2f s %s", f.at.Seconds(), f.description) }

// newSchedule generates the faults of a run from its seed. Faults may overlap.
func (cl *cluster) newSchedule(faults int, window time.Duration) []fault {
	r := rand.New(rand.NewPCG(uint64(cl.seed), 1))
	schedule := make([]fault, 0, faults)
	for range faults {
		f := cl.randomFault(r)
		f.at = randomDuration(r, 0, window)
		schedule = append(schedule, f)
	}
	if cl.options.has(crowd) {
		schedule = append(schedule, cl.crowds(window)...)
	}
	if cl.options.has(evacuation) {
		schedule = append(schedule, cl.evacuationFaults(window)...)
	}
	if cl.options.has(power) {
		schedule = append(schedule, cl.powerFaults(window)...)
	}
	return append(schedule, cl.turnedAway(window)...)
}

// turnedAwayFaults is the number of times in a run that the store turns an entry away.
const turnedAwayFaults = 2

// turnedAway returns faults in which the store refuses the calls of one entry. They have random
// numbers of their own.
func (cl *cluster) turnedAway(window time.Duration) (schedule []fault) {
	r := rand.New(rand.NewPCG(uint64(cl.seed), 8))
	for range turnedAwayFaults {
		p, d := pick(r, cl.entries), randomDuration(r, time.Second, 8*time.Second)
		schedule = append(schedule, fault{
			at: randomDuration(r, 0, window), description: fmt.Sprintf("store turns %s away for %s", p.name, d),
			run: func() {
				p.storeGate.Close()
				<-time.After(d)
				p.storeGate.Open()
			},
			disturbs: []*process{p}, how: refused,
		})
	}
	return schedule
}

func pick[T any](r *rand.Rand, from []T) T { return from[r.IntN(len(from))] }

// randomFault returns a random fault. All its random values are drawn here, so that a seed
// gives the same schedule regardless of how the run proceeds.
func (cl *cluster) randomFault(r *rand.Rand) fault {
	p := pick(r, cl.all())
	if r.IntN(2) == 0 {
		p = pick(r, cl.entries)
	}
	short, long := randomDuration(r, 100*time.Millisecond, 2*time.Second), randomDuration(r, 500*time.Millisecond, 7*time.Second)
	this := []*process{p}
	switch r.IntN(8) {
	case 0:
		return fault{
			description: fmt.Sprintf("kill %s for %s", p.name, short), run: func() { p.killFor(short) }, disturbs: this, how: replaced,
		}
	case 1:
		return fault{description: fmt.Sprintf("pause %s for %s", p.name, long), run: func() { p.pause(long) }, disturbs: this, how: disrupted}
	case 2:
		return fault{description: "SIGTERM " + p.name, run: func() { cl.terminateWithinGrace(p) }, disturbs: this, how: replaced}
	case 3:
		signal := r.IntN(2) == 0
		return fault{description: fmt.Sprintf("change settings of %s, SIGHUP %t", p.name, signal), run: func() { p.reload(signal) }}
	case 4:
		runner := pick(r, cl.runners)
		return fault{description: "crash runner " + runner.ID, run: runner.Reset}
	case 5:
		f := cl.randomStoreFault(r, short)
		f.disturbs, f.how = cl.all(), disrupted
		return f
	default:
		f := cl.randomProxyFault(r, p, long)
		f.disturbs, f.how = this, disrupted
		return f
	}
}

func (cl *cluster) terminateWithinGrace(p *process) {
	if took, killed := p.terminate(gracePeriod); killed {
		cl.history.failf("%s did not exit within %s of SIGTERM (%s)", p.name, gracePeriod, took)
	}
}

func (cl *cluster) randomStoreFault(r *rand.Rand, d time.Duration) fault {
	if r.IntN(4) == 0 {
		return fault{description: "drop the history of the store", run: cl.store.DropHistory}
	}
	kind := pick(r, []platformtest.Fault{platformtest.Busy, platformtest.Silent, platformtest.Lost})
	return fault{description: fmt.Sprintf("inject fault %d into the store for %s", kind, d), run: func() {
		cl.store.SetFault(kind)
		<-time.After(d)
		cl.store.SetFault(platformtest.None)
	}}
}

func (cl *cluster) randomProxyFault(r *rand.Rand, p *process, d time.Duration) fault {
	i := r.IntN(len(p.proxies))
	px, name := p.proxies[i], fmt.Sprintf("%s proxy %d", p.name, i)
	block := func(ds ...platformtest.Direction) func() {
		return func() {
			px.Block(ds...)
			<-time.After(d)
			px.ClearFaults()
		}
	}
	switch r.IntN(6) {
	case 0:
		return fault{description: name + " resets its open connections", run: px.Reset}
	case 1:
		return fault{description: name + " blackholes its open connections", run: px.Blackhole}
	case 2:
		return fault{description: fmt.Sprintf("%s blocks both directions for %s", name, d), run: block(platformtest.ToServer, platformtest.ToClient)}
	case 3:
		return fault{description: fmt.Sprintf("%s blocks the direction to the server for %s", name, d), run: block(platformtest.ToServer)}
	case 4:
		return fault{description: fmt.Sprintf("%s blocks the direction to the client for %s", name, d), run: block(platformtest.ToClient)}
	default:
		delay := randomDuration(r, 20*time.Millisecond, 800*time.Millisecond)
		return fault{description: fmt.Sprintf("%s delays by %s for %s", name, delay, d), run: func() {
			px.SetDelay(delay)
			<-time.After(d)
			px.ClearFaults()
		}}
	}
}

// injectFaults runs the schedule and returns when all faults have ended.
func (cl *cluster) injectFaults(schedule []fault, settings *settingsCheck) {
	var running sync.WaitGroup
	for _, f := range schedule {
		running.Go(func() {
			<-time.After(f.at)
			began := time.Now()
			f.run()
			settings.disturb(f.disturbs, began, f.how)
		})
	}
	running.Wait()
	cl.store.SetFault(platformtest.None)
	for _, p := range cl.all() {
		for _, px := range p.proxies {
			px.ClearFaults()
		}
	}
}
