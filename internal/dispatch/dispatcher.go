// Package dispatch routes the requests of an entry: it admits a request, waits for
// a free slot, sends the request to an upstream, and retries or hedges it where
// that is safe. Package routing chooses the upstreams.
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
	// Do returns the complete answer, or a *verdict.Error whose Outcome is NotRun
	// when the agent refused the request or nothing was committed. Any other error
	// counts as MayHaveRun. Do returns promptly after ctx ends.
	Do(ctx context.Context, vm string, req structs.Request) (structs.Answer, structs.Load, error)
}

// Dispatcher routes the requests of all services of one entry. It is safe for
// concurrent use.
type Dispatcher struct {
	opts   Options
	ex     Exchanger
	claims *claims
	epoch  time.Time

	// services is copied on write under mu and read without a lock.
	services atomic.Pointer[map[string]*service]
	mu       sync.Mutex

	inFlight inFlightGroup
}

// New returns a Dispatcher without upstreams. It uses the table only for the claims
// of Idempotency-Keys.
func New(opts Options, ex Exchanger, table platform.Table) *Dispatcher {
	d := &Dispatcher{opts: opts, ex: ex, epoch: time.Now()}
	d.claims = &claims{opts: &d.opts, table: table, inFlight: &d.inFlight}
	d.inFlight.idle = make(chan struct{})
	d.services.Store(&map[string]*service{})
	return d
}

// now returns the monotonic time since the Dispatcher was created.
func (d *Dispatcher) now() time.Duration { return time.Since(d.epoch) }

// SetSnapshot replaces the upstreams of the snapshot's service.
func (d *Dispatcher) SetSnapshot(snapshot *routing.Snapshot) {
	d.mu.Lock()
	defer d.mu.Unlock()
	s := (*d.services.Load())[snapshot.Service]
	if s != nil {
		s.picker.Store(routing.NewPicker(snapshot, d.opts.Routing, s.picker.Load()))
		s.grantSlots()
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

// RecordLoad records the slots in use and the service time of a VM as reported in
// a heartbeat.
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
			s.grantSlots()
			return
		}
	}
}

// Do sends the request to an upstream and returns its answer within the request's
// deadline. The error is always a *verdict.Error; NotRun means that no upstream
// has received the request.
func (d *Dispatcher) Do(ctx context.Context, req structs.Request) (structs.Answer, error) {
	start := d.now()
	s := (*d.services.Load())[req.Service]
	if s == nil {
		return refuse(verdict.New(verdict.NotRun, verdict.UnknownService, nil))
	}
	if !d.inFlight.enter() {
		return refuse(verdict.New(verdict.NotRun, verdict.ShuttingDown, nil))
	}
	defer d.inFlight.leave()
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
	if err := s.admit(req.Deadline); err != nil { // refuse before a claim is written
		return structs.Answer{}, err
	}
	return d.claims.runOnce(ctx, req, func() (structs.Answer, *verdict.Error) { return s.run(ctx, req) })
}

// Drain makes Do refuse new requests and waits until none is in flight. It returns
// the error of ctx if ctx ends first.
func (d *Dispatcher) Drain(ctx context.Context) error {
	d.inFlight.drain()
	select {
	case <-d.inFlight.idle:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

// contextReason returns the reason for which the context of a request ended.
func contextReason(ctx context.Context) verdict.Reason {
	if ctx.Err() == context.Canceled {
		return verdict.ClientDisconnected
	}
	return verdict.WaitExpired
}
