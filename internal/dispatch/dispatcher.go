// Package dispatch is an entry's request loop: it admits a request, waits for a
// free slot, sends it to an upstream, and retries or hedges it where that is
// safe. The decisions are package routing's.
package dispatch

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"bamboowood/internal/platform"
	"bamboowood/internal/routing"
	"bamboowood/internal/structs"
	"bamboowood/internal/verdict"
)

// Exchanger sends one try of a request to the agent of one VM.
type Exchanger interface {
	// Do returns the whole answer, or a *verdict.Error whose Outcome is NotRun
	// when the agent refused or nothing was committed. Any other error counts
	// as MayHaveRun. Do returns soon after ctx ends.
	Do(ctx context.Context, vm string, req structs.Request) (structs.Answer, structs.Load, error)
}

// Dispatcher routes the requests of all services of one entry.
type Dispatcher struct {
	opts   Options
	ex     Exchanger
	claims *claims
	epoch  time.Time

	// services is replaced whole under mu and read without a lock.
	services atomic.Pointer[map[string]*service]
	mu       sync.Mutex

	work inFlight
}

// New returns a Dispatcher without upstreams. The table is used for claims of
// Idempotency-Keys only.
func New(opts Options, ex Exchanger, table platform.Table) *Dispatcher {
	d := &Dispatcher{opts: opts, ex: ex, epoch: time.Now()}
	d.claims = &claims{opts: &d.opts, table: table, work: &d.work}
	d.work.idle = make(chan struct{})
	d.services.Store(&map[string]*service{})
	return d
}

// now is the entry's monotonic clock.
func (d *Dispatcher) now() time.Duration { return time.Since(d.epoch) }

// SetSnapshot replaces the upstreams of the snapshot's service.
func (d *Dispatcher) SetSnapshot(snapshot *routing.Snapshot) {
	d.mu.Lock()
	defer d.mu.Unlock()
	s := (*d.services.Load())[snapshot.Service]
	if s != nil {
		s.picker.Store(routing.NewPicker(snapshot, d.opts.Routing, s.picker.Load()))
		s.pump()
		return
	}
	s = newService(d, snapshot.Service)
	s.picker.Store(routing.NewPicker(snapshot, d.opts.Routing, nil))
	services := make(map[string]*service)
	for name, old := range *d.services.Load() {
		services[name] = old
	}
	services[snapshot.Service] = s
	d.services.Store(&services)
}

// RecordLoad records what a heartbeat said of a VM's slots and service time.
func (d *Dispatcher) RecordLoad(vm, serviceName string, load structs.Load) {
	s := (*d.services.Load())[serviceName]
	if s == nil {
		return
	}
	p := s.picker.Load()
	for _, u := range p.Snapshot().Upstreams {
		if u.VM == vm {
			p.RecordLoad(u, d.now(), load.InFlight)
			p.RecordAgentEstimate(u, d.now(), load.MeanServiceTime)
			s.pump()
			return
		}
	}
}

// Do answers a request within its deadline. The error is always a
// *verdict.Error; after NotRun no upstream has seen the request.
func (d *Dispatcher) Do(ctx context.Context, req structs.Request) (structs.Answer, error) {
	start := d.now()
	s := (*d.services.Load())[req.Service]
	if s == nil {
		return refuse(verdict.New(verdict.NotRun, verdict.UnknownService, nil))
	}
	if !d.work.enter() {
		return refuse(verdict.New(verdict.NotRun, verdict.ShuttingDown, nil))
	}
	defer d.work.leave()
	ctx, cancel := context.WithDeadline(ctx, req.Deadline)
	defer cancel()

	answer, err := d.serve(ctx, s, req)
	outcome := verdict.Ran
	if err != nil {
		outcome = err.Outcome
	}
	s.metrics.duration[outcome].Update((d.now() - start).Seconds())
	if err != nil {
		return refuse(err)
	}
	return answer, nil
}

func refuse(err *verdict.Error) (structs.Answer, error) {
	verdict.Count(verdict.Refusal, err.Reason)
	return structs.Answer{}, err
}

func (d *Dispatcher) serve(ctx context.Context, s *service, req structs.Request) (structs.Answer, *verdict.Error) {
	if req.Idempotent || req.Key == "" {
		return s.run(ctx, req)
	}
	if err := s.admit(req.Deadline); err != nil { // before the claim costs the table a write
		return structs.Answer{}, err
	}
	return d.claims.once(ctx, req, func() (structs.Answer, *verdict.Error) { return s.run(ctx, req) })
}

// Drain refuses new requests from now on and waits until none is in flight.
func (d *Dispatcher) Drain(ctx context.Context) error {
	d.work.drain()
	select {
	case <-d.work.idle:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

// contextReason says why a request's context ended.
func contextReason(ctx context.Context) verdict.Reason {
	if ctx.Err() == context.Canceled {
		return verdict.ClientDisconnected
	}
	return verdict.WaitExpired
}
