package soak

import (
	"fmt"
	"math/rand/v2"
	"os"
	"syscall"
	"time"

	"bamboowood/platform/platformtest"
)

// lateShare is the share of the writes that are late while writes are.
const lateShare = 0.3

// powerFaults returns the faults of the option power. They have random numbers of their own.
func (cl *cluster) powerFaults(window time.Duration) (schedule []fault) {
	r := rand.New(rand.NewPCG(uint64(cl.seed), 11))
	for _, random := range []func(*rand.Rand) fault{
		cl.powerLoss, cl.powerLoss, cl.powerLoss, cl.zoneCut, cl.zoneCut, cl.lateWrites,
	} {
		f := random(r)
		f.at = randomDuration(r, 0, window)
		schedule = append(schedule, f)
	}
	return schedule
}

// powerLoss returns a fault in which a VM loses power: its agent and its runner end at the same moment and start
// later, the runner under another id. The agent's connections end at once, or go silent until it starts.
func (cl *cluster) powerLoss(r *rand.Rand) fault {
	v, dark, silent := pick(r, cl.vms), randomDuration(r, 100*time.Millisecond, 3500*time.Millisecond), r.IntN(2) == 0
	runnerLater := randomDuration(r, 0, time.Second)
	return fault{
		description: fmt.Sprintf("%s loses power for %s, silent %t, its runner starts %s later", v.ip, dark, silent, runnerLater),
		disturbs:    []*process{v.agent}, how: replaced,
		run: func() {
			v.agent.losePower(dark, silent, v.endRunners)
			<-time.After(runnerLater)
			v.startRunner()
		},
	}
}

// endRunners ends all runners of the VM with their runs.
func (v *vm) endRunners() {
	v.mu.Lock()
	defer v.mu.Unlock()
	for _, r := range v.runners {
		r.Detach()
		r.Reset()
	}
}

// losePower ends the process, calls alsoEnd at the same moment, and starts the process after dark. If silent is
// set, its connections stay open until then.
func (p *process) losePower(dark time.Duration, silent bool, alsoEnd func()) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.stopping = true
	if silent {
		_ = p.cmd.Process.Signal(syscall.SIGSTOP)
	} else {
		p.signalAndWait(os.Kill, time.Hour)
	}
	alsoEnd()
	<-time.After(dark)
	p.signalAndWait(os.Kill, time.Hour)
	p.start()
}

// zoneCut returns a fault in which nothing reaches the agents and entries of a zone: every other VM and entry. What
// they send still arrives.
func (cl *cluster) zoneCut(r *rand.Rand) fault {
	zone, d := r.IntN(2), randomDuration(r, time.Second, 7*time.Second)
	var cut []*process
	for _, of := range [][]*process{cl.entries, cl.agents} {
		for i := zone; i < len(of); i += 2 {
			cut = append(cut, of[i])
		}
	}
	return fault{description: fmt.Sprintf("nothing reaches zone %d for %s", zone, d), disturbs: cut, how: disrupted, run: func() {
		for _, p := range cut {
			p.proxies[0].Block(platformtest.ToClient)
			p.peerProxy.Block(platformtest.ToServer)
		}
		<-time.After(d)
		for _, p := range cut {
			p.proxies[0].ClearFaults()
			p.peerProxy.ClearFaults()
		}
	}}
}

// lateWrites returns a fault in which writes to the store are late.
func (cl *cluster) lateWrites(r *rand.Rand) fault {
	d, random := randomDuration(r, time.Second, 5*time.Second), rand.New(rand.NewPCG(r.Uint64(), 0))
	return fault{description: fmt.Sprintf("writes are late for %s", d), disturbs: cl.all(), how: disrupted, run: func() {
		cl.store.SetLateness(func() time.Duration {
			if random.Float64() >= lateShare {
				return 0
			}
			return randomDuration(random, time.Second, 6*time.Second)
		})
		<-time.After(d)
		cl.store.SetLateness(nil)
	}}
}
