package soak

import (
	"bytes"
	"fmt"
	"math/rand/v2"
	"os"
	"slices"
	"syscall"
	"time"

	"bamboowood/platform/platformtest"
)

// lateShare is the share of the writes that are late while writes are.
const lateShare = 0.3

// powerFaults returns the faults of the option power, which begin while tasks run. They have random numbers of their own.
func (cl *cluster) powerFaults(window time.Duration) (schedule []fault) {
	r := rand.New(rand.NewPCG(uint64(cl.seed), 11))
	add := func(f fault) time.Duration {
		f.at = randomDuration(r, window/5, window)
		schedule = append(schedule, f)
		return f.at
	}
	for range 3 {
		add(cl.powerLoss(r))
	}
	add(cl.lateWrites(r))
	for range 2 {
		d, down, zone := randomDuration(r, time.Second, 7*time.Second), randomDuration(r, 100*time.Millisecond, time.Second), r.IntN(zones)
		if cl.options.has(longLease) {
			d = longCut
		}
		at, killAfter := add(cl.zoneCut(zone, d)), randomDuration(r, 0, d)
		if zone != 0 {
			schedule = append(schedule, fault{
				at: at + killAfter, description: fmt.Sprintf("kill the leader for %s", down),
				run: func() { cl.entries[cl.leader()].killFor(down) }, disturbs: cl.entries, how: replaced,
			})
		}
	}
	return schedule
}

// leader returns the number of the entry that leads by the store, or 0.
func (cl *cluster) leader() int {
	term := cl.store.Value("term", "main", "leader")
	return max(slices.IndexFunc(cl.entries, func(p *process) bool { return bytes.Contains(term, []byte(p.peerProxy.Address())) }), 0)
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

const (
	// zones is the number of zones that are cut one at a time.
	zones = 3
	// With the option longLease, cuts last longCut, and the runners in the zone restart crashBeforeCut earlier.
	longCut        = 9 * time.Second
	crashBeforeCut = 1200 * time.Millisecond
)

// zoneCut returns a fault in which nothing reaches the agents and entries of a zone, counted from that of the leader.
// What they send still arrives.
func (cl *cluster) zoneCut(zone int, d time.Duration) fault {
	agents, vms := cl.agents, cl.vms
	return fault{description: fmt.Sprintf("nothing reaches zone %d for %s", zone, d), disturbs: cl.all(), how: disrupted, run: func() {
		var cut []*process
		first := (cl.leader() + zone) % zones
		for _, of := range [][]*process{cl.entries, agents} {
			for i := first; i < len(of); i += zones {
				cut = append(cut, of[i])
			}
		}
		if cl.options.has(longLease) {
			for _, v := range vms {
				if slices.Contains(cut, v.agent) {
					v.current().Reset()
				}
			}
			<-time.After(crashBeforeCut)
		}
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
