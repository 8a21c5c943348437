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

// fault is what a fake agent or its upstream does wrong.
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

// fakeAgent is one VM: an agent with slots and the runner behind it.
type fakeAgent struct {
	slots int32
	// slowdown multiplies service times; fault applies from now on. Both are
	// functions of the time since the start.
	slowdown func(at time.Duration) float64
	fault    func(at time.Duration) fault
	// hold is how long an offer waits for a slot before it is refused, and
	// holdLimit how many offers may wait; 0 refuses at once.
	hold      time.Duration
	holdLimit int

	meter   routing.Meter
	noMeter bool

	mu   sync.Mutex
	held []chan struct{}

	inUse  atomic.Int32 // slots in use and offers held
	offers atomic.Int64
	runs   atomic.Int64
	ledger *ledger
}

// ledger counts the runs of each request.
type ledger struct {
	mu   sync.Mutex
	runs map[string]int
}

func newLedger() *ledger { return &ledger{runs: map[string]int{}} }

func (l *ledger) ran(id string) {
	if l == nil {
		return
	}
	l.mu.Lock()
	l.runs[id]++
	l.mu.Unlock()
}

func (l *ledger) count(id string) int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.runs[id]
}

// fakeExchange is one entry's way to the agents.
type fakeExchange struct {
	epoch  time.Time
	agents map[string]*fakeAgent
	oneWay func(vm string) time.Duration
	// acceptTimeout is when an offer without an accept is given up.
	acceptTimeout time.Duration
}

// work encodes a request's service time on an undisturbed upstream.
func work(d time.Duration) []byte { return binary.BigEndian.AppendUint64(nil, uint64(d)) }

func (x *fakeExchange) Do(ctx context.Context, vm string, req structs.Request) (structs.Answer, structs.Load, error) {
	a := x.agents[vm]
	at := func() time.Duration { return time.Since(x.epoch) }
	oneWay := x.oneWay(vm)
	load := func() structs.Load { return a.load(at()) }
	time.Sleep(oneWay)
	a.offers.Add(1)
	switch a.fault(at()) {
	case silent:
		return x.silence(ctx, req)
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
	return x.serve(ctx, a, req, oneWay)
}

// silence is what an entry sees of an agent that has stopped answering.
func (x *fakeExchange) silence(ctx context.Context, req structs.Request) (structs.Answer, structs.Load, error) {
	if !req.Idempotent {
		time.Sleep(x.acceptTimeout)
		return structs.Answer{}, structs.Load{InFlight: -1}, verdict.New(verdict.NotRun, verdict.SessionSilent, nil)
	}
	<-ctx.Done()
	return structs.Answer{}, structs.Load{InFlight: -1}, verdict.New(verdict.MayHaveRun, verdict.WaitExpired, ctx.Err())
}

func (x *fakeExchange) serve(ctx context.Context, a *fakeAgent, req structs.Request, oneWay time.Duration) (structs.Answer, structs.Load, error) {
	began := time.Since(x.epoch)
	service := time.Duration(float64(binary.BigEndian.Uint64(req.Body)) * a.slowdown(began))
	if a.fault(began) == failFast {
		service = min(service, time.Millisecond)
	}
	a.runs.Add(1)
	a.meter.Start(began)
	a.ledger.ran(req.ID)
	finish := time.NewTimer(service)
	select {
	case <-finish.C:
		a.end(began, time.Since(x.epoch))
	case <-ctx.Done():
		go func() { <-finish.C; a.end(began, time.Since(x.epoch)) }()
		return structs.Answer{}, structs.Load{InFlight: -1}, verdict.New(verdict.MayHaveRun, verdict.WaitExpired, ctx.Err())
	}
	load := a.load(time.Since(x.epoch))
	load.ServiceTime = service
	answer := structs.Answer{RequestID: req.ID, Status: 200, ServiceTime: service, Body: req.Body}
	switch a.fault(time.Since(x.epoch)) {
	case silent:
		return x.silence(ctx, structs.Request{Idempotent: true})
	case failFast:
		answer.Status = 500
	case truncated:
		time.Sleep(oneWay)
		return structs.Answer{}, load, verdict.New(verdict.MayHaveRun, verdict.UpstreamTruncated, nil)
	case wrongAnswer:
		answer.RequestID = "another's"
	}
	time.Sleep(oneWay)
	return answer, load, nil
}

// reserve takes a slot, waiting for at most the hold.
func (a *fakeAgent) reserve(ctx context.Context) bool {
	a.mu.Lock()
	n := a.inUse.Load()
	if n < a.slots {
		a.inUse.Add(1)
		a.mu.Unlock()
		return true
	}
	if len(a.held) >= a.holdLimit {
		a.mu.Unlock()
		return false
	}
	slot := make(chan struct{})
	a.held = append(a.held, slot)
	a.inUse.Add(1)
	a.mu.Unlock()
	timeout := time.NewTimer(a.hold)
	defer timeout.Stop()
	select {
	case <-slot:
		return true
	case <-timeout.C:
	case <-ctx.Done():
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	at := slices.Index(a.held, slot)
	if at < 0 {
		return true
	}
	a.held = slices.Delete(a.held, at, at+1)
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

// end ends a run.
func (a *fakeAgent) end(began, now time.Duration) {
	a.meter.End(now, began, a.fault(now) == none)
	a.free()
}

// free gives a run's slot to the first offer held.
func (a *fakeAgent) free() {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.inUse.Add(-1)
	if len(a.held) > 0 {
		close(a.held[0])
		a.held = a.held[1:]
	}
}

func steady(time.Duration) float64 { return 1 }

func healthy(time.Duration) fault { return none }

// newAgent returns a healthy agent with 8 slots.
func newAgent() *fakeAgent {
	return &fakeAgent{slots: 8, slowdown: steady, fault: healthy}
}

func vmName(i int) string { return fmt.Sprintf("vm-%02d", i) }

// percentile returns the q-quantile of sorted values.
func percentile(sorted []time.Duration, q float64) time.Duration {
	if len(sorted) == 0 {
		return 0
	}
	return sorted[min(len(sorted)-1, int(math.Ceil(q*float64(len(sorted))))-1)]
}
