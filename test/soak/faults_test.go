package soak

import (
	"fmt"
	"math/rand/v2"
	"sync"
	"time"

	"bamboowood/platform/platformtest"
)

// fault is one entry of a run's plan.
type fault struct {
	at   time.Duration
	what string
	run  func()
}

func (f fault) String() string { return fmt.Sprintf("%6.2f s %s", f.at.Seconds(), f.what) }

// plan draws the faults of a run from its seed. They overlap as they come.
func (w *world) plan(faults int, lasts time.Duration) []fault {
	r := rand.New(rand.NewPCG(uint64(w.seed), 1))
	plan := make([]fault, 0, faults)
	for range faults {
		f := w.draw(r)
		f.at = between(r, 0, lasts)
		plan = append(plan, f)
	}
	return plan
}

func pick[T any](r *rand.Rand, from []T) T { return from[r.IntN(len(from))] }

// draw returns a fault; all that is random of it is drawn here, so that a seed gives the
// same plan whatever happens.
func (w *world) draw(r *rand.Rand) fault {
	p := pick(r, w.all())
	if r.IntN(2) == 0 {
		p = pick(r, w.entries)
	}
	short, long := between(r, 100*time.Millisecond, 2*time.Second), between(r, 500*time.Millisecond, 7*time.Second)
	switch r.IntN(8) {
	case 0:
		return fault{what: fmt.Sprintf("kill %s for %s", p.name, short), run: func() { p.killFor(short) }}
	case 1:
		return fault{what: fmt.Sprintf("stop %s for %s", p.name, long), run: func() { p.pause(long) }}
	case 2:
		return fault{what: "SIGTERM " + p.name, run: func() { w.terminate(p) }}
	case 3:
		signal := r.IntN(2) == 0
		return fault{what: fmt.Sprintf("settings of %s, SIGHUP %t", p.name, signal), run: func() { p.reload(signal) }}
	case 4:
		runner := pick(r, w.runners)
		return fault{what: "crash of runner " + runner.ID, run: runner.Reset}
	case 5:
		return w.drawStoreFault(r, short)
	default:
		return w.drawLinkFault(r, p, long)
	}
}

func (w *world) terminate(p *process) {
	if took, killed := p.terminate(grace); killed {
		w.record.fail("%s did not end within %s of SIGTERM (%s)", p.name, grace, took)
	}
}

func (w *world) drawStoreFault(r *rand.Rand, d time.Duration) fault {
	if r.IntN(4) == 0 {
		return fault{what: "the store drops its history", run: w.store.DropHistory}
	}
	kind := pick(r, []platformtest.Fault{platformtest.Busy, platformtest.Silent, platformtest.Lost})
	return fault{what: fmt.Sprintf("the store has fault %d for %s", kind, d), run: func() {
		w.store.SetFault(kind)
		<-time.After(d)
		w.store.SetFault(platformtest.None)
	}}
}

func (w *world) drawLinkFault(r *rand.Rand, p *process, d time.Duration) fault {
	i := r.IntN(len(p.links))
	l, name := p.links[i], fmt.Sprintf("%s link %d", p.name, i)
	hold := func(ds ...direction) func() {
		return func() {
			l.hold(ds...)
			<-time.After(d)
			l.heal()
		}
	}
	switch r.IntN(6) {
	case 0:
		return fault{what: name + " reset", run: l.reset}
	case 1:
		return fault{what: name + " open connections silent for good", run: l.mute}
	case 2:
		return fault{what: fmt.Sprintf("%s held for %s", name, d), run: hold(forth, back)}
	case 3:
		return fault{what: fmt.Sprintf("%s held forth for %s", name, d), run: hold(forth)}
	case 4:
		return fault{what: fmt.Sprintf("%s held back for %s", name, d), run: hold(back)}
	default:
		by := between(r, 20*time.Millisecond, 800*time.Millisecond)
		return fault{what: fmt.Sprintf("%s slower by %s for %s", name, by, d), run: func() {
			l.slow(by)
			<-time.After(d)
			l.heal()
		}}
	}
}

// play runs the plan, and returns when all faults have ended.
func (w *world) play(plan []fault) {
	var running sync.WaitGroup
	for _, f := range plan {
		running.Go(func() {
			<-time.After(f.at)
			f.run()
		})
	}
	running.Wait()
	w.store.SetFault(platformtest.None)
	for _, p := range w.all() {
		for _, l := range p.links {
			l.heal()
		}
	}
}
