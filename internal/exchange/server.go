package exchange

import (
	"context"
	"errors"
	"sync/atomic"
	"time"

	"bamboowood/internal/structs"
	"bamboowood/internal/verdict"
	"bamboowood/internal/wire"
	"bamboowood/internal/wire/wirepb"
)

// Upstream runs a request.
type Upstream interface {
	// Call returns the whole answer or a *verdict.Error.
	Call(ctx context.Context, req structs.Request) (structs.Answer, error)
}

// Defaults of ServerOptions.
const (
	DefaultSlots         = 8
	DefaultCommitTimeout = 100 * time.Millisecond
	DefaultOverrun       = time.Second
)

// ServerOptions configure a Server.
type ServerOptions struct {
	// Slots is the number of requests that run at once; 0 means DefaultSlots.
	Slots int
	// CommitTimeout bounds how long an accepted offer holds its slot without a
	// commit; 0 means DefaultCommitTimeout.
	CommitTimeout time.Duration
	// Overrun is how long a call may go on after the end of its wait. The slot
	// stays taken meanwhile, because the runner is still busy with the request.
	// 0 means DefaultOverrun.
	Overrun time.Duration
	// MaxSlotWait is how long an offer may wait for a slot before it is refused, at
	// most a quarter of its remaining wait and for at most Slots offers at once.
	// It must be well below the entries' accept bound. 0 refuses at once.
	MaxSlotWait time.Duration
}

// holdShare is the part of an offer's remaining wait, as a divisor, that it may
// be held.
const holdShare = 4

// replyTimeout bounds the sending of a reply.
const replyTimeout = time.Second

// Server is the agent's side of the exchange and the judge of the VM's slots,
// whichever entries the offers come from. It queues nothing.
type Server struct {
	opts     ServerOptions
	upstream Upstream

	// active counts exchanges from before their admission until their reply is
	// sent; inFlight those that hold a slot.
	active   atomic.Int32
	inFlight atomic.Int32
	leaving  atomic.Bool
	draining atomic.Bool
	zoneOut  atomic.Bool
	idle     chan struct{}

	// offers are the nonces of the offers taken, committed the ids of the
	// non-idempotent requests that were run.
	offers    recent[uint64]
	committed recent[string]
	times     serviceTimes
	// held is the number of offers that wait for a slot; freed wakes them.
	held  atomic.Int32
	freed chan struct{}
}

// NewServer returns a Server that runs requests on up.
func NewServer(opts ServerOptions, up Upstream) *Server {
	if opts.Slots <= 0 {
		opts.Slots = DefaultSlots
	}
	if opts.CommitTimeout <= 0 {
		opts.CommitTimeout = DefaultCommitTimeout
	}
	if opts.Overrun <= 0 {
		opts.Overrun = DefaultOverrun
	}
	return &Server{
		opts: opts, upstream: up, idle: make(chan struct{}, 1), times: serviceTimes{epoch: time.Now()},
		freed: make(chan struct{}, opts.Slots),
	}
}

// Leave refuses every offer from now on; requests in flight go on.
func (s *Server) Leave() { s.leaving.Store(true) }

// SetDraining refuses offers while on is set, as Leave does.
func (s *Server) SetDraining(on bool) { s.draining.Store(on) }

// SetZoneDrained refuses offers while out is set.
func (s *Server) SetZoneDrained(out bool) { s.zoneOut.Store(out) }

// Leaving reports whether offers are refused because of Leave or SetDraining.
func (s *Server) Leaving() bool { return s.leaving.Load() || s.draining.Load() }

// InFlight returns the number of slots in use.
func (s *Server) InFlight() int { return int(s.inFlight.Load()) }

// Slots returns the number of slots.
func (s *Server) Slots() int { return s.opts.Slots }

// ServiceMicros returns the running mean of the service time in microseconds, by
// service name.
func (s *Server) ServiceMicros() map[string]int64 { return s.times.snapshot() }

// Wait returns when no exchange is active any more: every answer has been sent.
// After Leave none starts again.
func (s *Server) Wait(ctx context.Context) error {
	for s.active.Load() > 0 {
		select {
		case <-s.idle:
		case <-ctx.Done():
			return ctx.Err()
		}
	}
	return nil
}

// Serve runs the exchange that offer opened on stream. The upstream call is
// bounded by the wait and ServerOptions.Overrun; cancelling ctx ends it at once.
// It closes the stream and returns false, unless the offer asked to keep the
// stream and was answered whole.
func (s *Server) Serve(ctx context.Context, stream wire.Stream, offer *wirepb.Offer) (kept bool) {
	s.active.Add(1)
	defer s.finish()
	defer func() {
		if !kept {
			_ = stream.Close()
		}
	}()
	e := &serving{Server: s, stream: stream, offer: offer, received: time.Now()}
	if nonce := offer.GetNonce(); nonce != 0 && !s.offers.add(nonce) {
		e.repeated()
		return false
	}
	if reason := s.admit(ctx, e.holdBound()); reason != "" {
		e.refuse(reason)
		return false
	}
	return e.run(ctx) && offer.GetKeep()
}

// admit takes a slot, waiting for one up to hold, or returns the reason of the
// refusal. The order matters: active was raised before the flags are read, so
// that Wait after Leave misses no exchange that still saw the flag unset; and
// the flags are read again after a wait.
func (s *Server) admit(ctx context.Context, hold time.Duration) verdict.Reason {
	if reason := s.closed(); reason != "" {
		return reason
	}
	if s.takeSlot() {
		return ""
	}
	if !s.awaitSlot(ctx, hold) {
		return verdict.SlotsTaken
	}
	reason := s.closed()
	if reason != "" {
		s.freeSlot()
	}
	return reason
}

// closed returns the reason why no offer is taken, or "".
func (s *Server) closed() verdict.Reason {
	switch {
	case s.Leaving():
		return verdict.AgentLeaving
	case s.zoneOut.Load():
		return verdict.ZoneDrained
	}
	return ""
}

// awaitSlot waits for a slot up to hold and reports whether it took one.
func (s *Server) awaitSlot(ctx context.Context, hold time.Duration) bool {
	if hold <= 0 {
		return false
	}
	if int(s.held.Add(1)) > s.opts.Slots {
		s.held.Add(-1)
		return false
	}
	defer s.held.Add(-1)
	timer := time.NewTimer(hold)
	defer timer.Stop()
	for {
		select {
		case <-s.freed:
			if s.takeSlot() {
				return true
			}
		case <-timer.C:
			return s.takeSlot()
		case <-ctx.Done():
			return false
		}
	}
}

// freeSlot gives a slot back and wakes a held offer.
func (s *Server) freeSlot() {
	s.inFlight.Add(-1)
	select {
	case s.freed <- struct{}{}:
	default:
	}
}

func (s *Server) takeSlot() bool {
	for {
		n := s.inFlight.Load()
		if int(n) >= s.opts.Slots {
			return false
		}
		if s.inFlight.CompareAndSwap(n, n+1) {
			return true
		}
	}
}

func (s *Server) finish() {
	if s.active.Add(-1) == 0 {
		select {
		case s.idle <- struct{}{}:
		default:
		}
	}
}

// errRepeated says that the offer or the commit was taken before.
var errRepeated = errors.New("offer was taken before")

// serving is the agent's side of one exchange.
type serving struct {
	*Server
	stream   wire.Stream
	offer    *wirepb.Offer
	received time.Time
}

// holdBound is how long the offer may wait for a slot.
func (e *serving) holdBound() time.Duration {
	remaining := time.Duration(e.offer.GetRemainingMicros()) * time.Microsecond
	return min(e.opts.MaxSlotWait, remaining/holdShare)
}

// run holds a slot from its start until the upstream is done. It reports whether
// a whole answer was sent.
func (e *serving) run(ctx context.Context) bool {
	released := false
	release := func() {
		if !released {
			released = true
			e.freeSlot()
		}
	}
	defer release()
	if !e.reply(&wirepb.Reply{Kind: &wirepb.Reply_Accept{Accept: &wirepb.Accept{}}}) {
		return false // the entry cannot learn the answer either
	}
	req := e.request()
	if !e.offer.GetCommitted() {
		if !e.awaitCommit(&req) {
			release()
			e.refuse(verdict.OfferExpired)
			return false
		}
		if !e.committed.add(req.ID) {
			release()
			e.repeated()
			return false
		}
	}
	requests.Inc()
	reply := e.call(ctx, req)
	// The slot is free before the entry learns the answer, so that its next
	// offer finds it free.
	release()
	if a := reply.GetAnswer(); a != nil {
		a.InFlight = e.inFlight.Load()
		a.MeanMicros = e.times.meanMicros(req.Service)
	}
	if !e.reply(reply) {
		lostAnswers.Inc()
		return false
	}
	return reply.GetAnswer() != nil
}

func (e *serving) request() structs.Request {
	remaining := time.Duration(e.offer.GetRemainingMicros()) * time.Microsecond
	return structs.Request{
		ID: e.offer.GetRequestId(), Service: e.offer.GetService(), Key: e.offer.GetIdempotencyKey(),
		ContentType: e.offer.GetContentType(), Body: e.offer.GetBody(),
		Deadline: e.received.Add(remaining), Idempotent: e.offer.GetCommitted(),
	}
}

// awaitCommit waits for the commit of a non-idempotent request and reports
// whether the request may run. The clock is read after the commit arrived: an
// agent that was paused drops a commit that waited for it.
func (e *serving) awaitCommit(req *structs.Request) bool {
	until := e.received.Add(e.opts.CommitTimeout)
	if req.Deadline.Before(until) {
		until = req.Deadline
	}
	_ = e.stream.SetDeadline(until)
	commit := &wirepb.Commit{}
	if err := e.stream.Recv(commit); err != nil {
		return false
	}
	if commit.GetRequestId() != req.ID || commit.GetNonce() != e.offer.GetNonce() || !time.Now().Before(until) {
		return false
	}
	req.Body = commit.GetBody()
	req.ContentType = commit.GetContentType()
	return true
}

// call runs the request and returns the reply to send.
func (e *serving) call(ctx context.Context, req structs.Request) *wirepb.Reply {
	callCtx, cancel := context.WithDeadline(ctx, req.Deadline.Add(e.opts.Overrun))
	defer cancel()
	meter, start := e.times.meter(req.Service), e.times.now()
	meter.Start(start)
	answer, err := e.upstream.Call(callCtx, req)
	end := e.times.now()
	meter.End(end, start, err == nil && answer.RequestID == req.ID)
	if time.Now().After(req.Deadline) {
		lateAnswers.Inc()
	}
	if err != nil {
		return failureReply(err)
	}
	if answer.RequestID != req.ID {
		return failureReply(verdict.New(verdict.MayHaveRun, verdict.WrongAnswer, nil))
	}
	return &wirepb.Reply{Kind: &wirepb.Reply_Answer{Answer: &wirepb.Answer{
		Status: int32(answer.Status), ContentType: answer.ContentType,
		Length: int64(len(answer.Body)), Body: answer.Body, ServiceMicros: (end - start).Microseconds(),
	}}}
}

func failureReply(err error) *wirepb.Reply {
	countFailure(err)
	return &wirepb.Reply{Kind: &wirepb.Reply_Failure{Failure: &wirepb.Failure{
		Reason: string(verdict.ReasonOf(err)), Detail: err.Error(),
		NotRun: verdict.OutcomeOf(err, verdict.MayHaveRun) == verdict.NotRun,
	}}}
}

func (e *serving) refuse(reason verdict.Reason) {
	refusals[reason].Inc()
	e.reply(&wirepb.Reply{Kind: &wirepb.Reply_Refuse{Refuse: &wirepb.Refuse{
		Reason: string(reason), InFlight: e.inFlight.Load(), MeanMicros: e.times.meanMicros(e.offer.GetService()),
	}}})
}

// repeated answers a duplicate: the request does not run again, but may have.
func (e *serving) repeated() {
	refusals[verdict.OfferRefused].Inc()
	e.reply(failureReply(verdict.New(verdict.MayHaveRun, verdict.OfferRefused, errRepeated)))
}

// reply sends r and reports whether the stream took it.
func (e *serving) reply(r *wirepb.Reply) bool {
	r.RequestId = e.offer.GetRequestId()
	_ = e.stream.SetDeadline(time.Now().Add(replyTimeout))
	return e.stream.Send(r) == nil
}
