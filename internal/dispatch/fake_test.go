package dispatch

import (
	"context"
	"encoding/binary"
	"fmt"
	"math"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"bamboowood/internal/routing"
	"bamboowood/internal/structs"
	"bamboowood/internal/verdict"
)

// fault is a fault of a fake agent or of its upstream.
type fault int

const (
	none fault = iota
	failFast
	silent
	truncated
	wrongAnswer
	refusing
	down
)

// fakeAgent is the agent of one VM and its upstream.
type fakeAgent struct {
	slots int32
	// slowdown returns the factor on service times and fault the fault that applies,
	// both at a time since the start.
	slowdown func(at time.Duration) float64
	fault    func(at time.Duration) fault
	// maxSlotWait is how long an offer waits for a slot before it is refused, and
	// maxWaitingOffers how many offers may wait; 0 refuses at once.
	maxSlotWait      time.Duration
	maxWaitingOffers int

	meter   routing.Meter
	noMeter bool

	mu            sync.Mutex
	waitingOffers []chan struct{}

	inUse      atomic.Int32 // slots in use and offers that wait for one
	offers     atomic.Int64
	runs       atomic.Int64
	runCounter *runCounter
}

// runCounter counts the runs of each request by id.
type runCounter struct {
	mu   sync.Mutex
	runs map[string]int
}

func newRunCounter() *runCounter { return &runCounter{runs: map[string]int{}} }

func (c *runCounter) add(id string) {
	if c == nil {
		return
	}
	c.mu.Lock()
	c.runs[id]++
	c.mu.Unlock()
}

func (c *runCounter) count(id string) int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.runs[id]
}

// fakeExchange is the Exchanger between one entry and the fake agents.
type fakeExchange struct {
	epoch  time.Time
	agents map[string]*fakeAgent
	oneWay func(vm string) time.Duration
	// acceptTimeout is how long the entry waits for an offer to be accepted.
	acceptTimeout time.Duration
}

// encodeServiceTime returns a request body that holds the service time on an
// upstream without slowdown.
func encodeServiceTime(d time.Duration) []byte { return binary.BigEndian.AppendUint64(nil, uint64(d)) }

func (x *fakeExchange) Do(ctx context.Context, vm string, req structs.Request) (structs.Answer, structs.Load, error) {
	a := x.agents[vm]
	at := func() time.Duration { return time.Since(x.epoch) }
	oneWay := x.oneWay(vm)
	load := func() structs.Load { return a.load(at()) }
	time.Sleep(oneWay)
	a.offers.Add(1)
	switch a.fault(at()) {
	case silent:
		return x.awaitSilentAgent(ctx, req)
	case down:
		return structs.Answer{}, structs.Load{InFlight: -1}, verdict.New(verdict.NotRun, verdict.SessionLost, nil)
	case refusing:
		time.Sleep(oneWay)
		return structs.Answer{}, load(), verdict.New(verdict.NotRun, verdict.AgentLeaving, nil)
	}
	if !a.reserve(ctx) {
		time.Sleep(oneWay)
		return structs.Answer{}, load(), verdict.New(verdict.NotRun, verdict.SlotsTaken, nil)
	}
	if !req.Idempotent { // accept and commit
		time.Sleep(2 * oneWay)
	}
	return x.execute(ctx, a, req, oneWay)
}

// awaitSilentAgent returns the result of a try at an agent that has stopped
// answering, after the time that the entry takes to detect this.
func (x *fakeExchange) awaitSilentAgent(ctx context.Context, req structs.Request) (structs.Answer, structs.Load, error) {
	if !req.Idempotent {
		time.Sleep(x.acceptTimeout)
		return structs.Answer{}, structs.Load{InFlight: -1}, verdict.New(verdict.NotRun, verdict.SessionSilent, nil)
	}
	<-ctx.Done()
	return structs.Answer{}, structs.Load{InFlight: -1}, verdict.New(verdict.MayHaveRun, verdict.WaitExpired, ctx.Err())
}

func (x *fakeExchange) execute(ctx context.Context, a *fakeAgent, req structs.Request, oneWay time.Duration) (structs.Answer, structs.Load, error) {
	began := time.Since(x.epoch)
	service := time.Duration(float64(binary.BigEndian.Uint64(req.Body)) * a.slowdown(began))
	if a.fault(began) == failFast {
		service = min(service, time.Millisecond)
	}
	a.runs.Add(1)
	a.meter.Start(began)
	a.runCounter.add(req.ID)
	finish := time.NewTimer(service)
	select {
	case <-finish.C:
		a.endRun(began, time.Since(x.epoch))
	case <-ctx.Done():
		go func() { <-finish.C; a.endRun(began, time.Since(x.epoch)) }()
		return structs.Answer{}, structs.Load{InFlight: -1}, verdict.New(verdict.MayHaveRun, verdict.WaitExpired, ctx.Err())
	}
	load := a.load(time.Since(x.epoch))
	load.ServiceTime = service
	answer := structs.Answer{RequestID: req.ID, Status: 200, ServiceTime: service, Body: req.Body}
	switch a.fault(time.Since(x.epoch)) {
	case silent:
		return x.awaitSilentAgent(ctx, structs.Request{Idempotent: true})
	case failFast:
		answer.Status = 500
	case truncated:
		time.Sleep(oneWay)
		return structs.Answer{}, load, verdict.New(verdict.MayHaveRun, verdict.UpstreamTruncated, nil)
	case wrongAnswer:
		answer.RequestID = "another-request"
	}
	time.Sleep(oneWay)
	return answer, load, nil
}

// reserve takes a slot, waiting for at most maxSlotWait, and reports whether it did.
func (a *fakeAgent) reserve(ctx context.Context) bool {
	a.mu.Lock()
	n := a.inUse.Load()
	if n < a.slots {
		a.inUse.Add(1)
		a.mu.Unlock()
		return true
	}
	if len(a.waitingOffers) >= a.maxWaitingOffers {
		a.mu.Unlock()
		return false
	}
	slot := make(chan struct{})
	a.waitingOffers = append(a.waitingOffers, slot)
	a.inUse.Add(1)
	a.mu.Unlock()
	timeout := time.NewTimer(a.maxSlotWait)
	defer timeout.Stop()
	select {
	case <-slot:
		return true
	case <-timeout.C:
	case <-ctx.Done():
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	at := slices.Index(a.waitingOffers, slot)
	if at < 0 {
		return true
	}
	a.waitingOffers = slices.Delete(a.waitingOffers, at, at+1)
	a.inUse.Add(-1)
	return false
}

func (a *fakeAgent) load(at time.Duration) structs.Load {
	load := structs.Load{InFlight: a.inUse.Load()}
	if !a.noMeter {
		load.MeanServiceTime = a.meter.Mean(at)
	}
	return load
}

// endRun records the end of a run in the meter and releases its slot.
func (a *fakeAgent) endRun(began, now time.Duration) {
	a.meter.End(now, began, a.fault(now) == none)
	a.releaseSlot()
}

// releaseSlot gives the slot of a run to the first waiting offer, if any.
func (a *fakeAgent) releaseSlot() {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.inUse.Add(-1)
	if len(a.waitingOffers) > 0 {
		close(a.waitingOffers[0])
		a.waitingOffers = a.waitingOffers[1:]
	}
}

func noSlowdown(time.Duration) float64 { return 1 }

func noFault(time.Duration) fault { return none }

// newAgent returns an agent with 8 slots and no faults.
func newAgent() *fakeAgent {
	return &fakeAgent{slots: 8, slowdown: noSlowdown, fault: noFault}
}

func vmName(i int) string { return fmt.Sprintf("vm-%02d", i) }

// percentile returns the q-quantile of sorted values.
func percentile(sorted []time.Duration, q float64) time.Duration {
	if len(sorted) == 0 {
		return 0
	}
	return sorted[min(len(sorted)-1, int(math.Ceil(q*float64(len(sorted))))-1)]
}
