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

// Upstream runs requests. Implementations must be safe for concurrent use.
type Upstream interface {
	// Call returns the complete answer or a *verdict.Error.
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
	// Slots is the number of requests that may run at once; 0 means DefaultSlots.
	Slots int
	// CommitTimeout bounds how long an accepted offer holds its slot without a
	// commit; 0 means DefaultCommitTimeout.
	CommitTimeout time.Duration
	// Overrun is how long a call may continue after its wait has expired. The slot
	// stays in use, because the runner is still busy with the request. 0 means
	// DefaultOverrun.
	Overrun time.Duration
	// MaxSlotWait is how long an offer may wait for a slot before it is refused. The
	// wait is at most a quarter of the offer's remaining wait, and at most Slots offers
	// wait at once. It must be well below the entries' accept timeout. 0 refuses at once.
	MaxSlotWait time.Duration
}

// slotWaitDivisor divides an offer's remaining wait to give its longest wait for a slot.
const slotWaitDivisor = 4

// replyTimeout bounds the sending of a reply.
const replyTimeout = time.Second

// Server is the agent's side of the exchange. It limits the requests of all entries to
// the VM's slots, and offers wait for one for at most MaxSlotWait. It is safe for
// concurrent use.
type Server struct {
	opts     ServerOptions
	upstream Upstream

	// active counts exchanges from before their admission until their reply is sent;
	// inFlight counts those that hold a slot.
	active      atomic.Int32
	inFlight    atomic.Int32
	leaving     atomic.Bool
	draining    atomic.Bool
	zoneDrained atomic.Bool
	idle        chan struct{}

	// offerNonces are the nonces of received offers; committedIDs are the IDs of
	// committed requests that are not idempotent.
	offerNonces  recentSet[uint64]
	committedIDs recentSet[string]
	times        serviceTimes
	// waitingOffers counts the offers that wait for a slot; slotFreed wakes one.
	waitingOffers atomic.Int32
	slotFreed     chan struct{}
}

// NewServer returns a Server that runs requests on the upstream up.
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
		slotFreed: make(chan struct{}, opts.Slots),
	}
}

// Leave makes the Server refuse every further offer. Requests in flight continue.
func (s *Server) Leave() { s.leaving.Store(true) }

// SetDraining makes the Server refuse offers while on is set, as Leave does.
func (s *Server) SetDraining(on bool) { s.draining.Store(on) }

// SetZoneDrained makes the Server refuse offers while drained is set.
func (s *Server) SetZoneDrained(drained bool) { s.zoneDrained.Store(drained) }

// Leaving reports whether offers are refused because of Leave or SetDraining.
func (s *Server) Leaving() bool { return s.leaving.Load() || s.draining.Load() }

// InFlight returns the number of slots in use.
func (s *Server) InFlight() int { return int(s.inFlight.Load()) }

// Slots returns the number of slots.
func (s *Server) Slots() int { return s.opts.Slots }

// ServiceMicros returns the mean service time in microseconds by service name.
func (s *Server) ServiceMicros() map[string]int64 { return s.times.snapshot() }

// Wait returns nil once no exchange is active and every answer has been sent, or the
// context's error. After Leave no new exchange runs a request.
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

// Serve runs the exchange that offer opened on stream. The upstream call is bounded by
// the offer's wait and ServerOptions.Overrun; cancelling ctx ends it at once. Serve
// returns true and leaves the stream open if the offer asked for that and a complete
// answer was sent. Otherwise it closes the stream and returns false.
func (s *Server) Serve(ctx context.Context, stream wire.Stream, offer *wirepb.Offer) (kept bool) {
	s.active.Add(1)
	defer s.exchangeDone()
	defer func() {
		if !kept {
			_ = stream.Close()
		}
	}()
	e := &serverExchange{Server: s, stream: stream, offer: offer, received: time.Now()}
	if nonce := offer.GetNonce(); nonce != 0 && !s.offerNonces.add(nonce) {
		e.replyDuplicate()
		return false
	}
	if reason := s.admit(ctx, e.slotWaitLimit()); reason != "" {
		e.refuse(reason)
		return false
	}
	return e.run(ctx) && offer.GetKeep()
}

// admit acquires a slot, waiting up to maxWait, or returns the reason for a refusal.
// Serve increments active before admit reads the flags, so that Wait after Leave misses
// no exchange that read the flag before it was set. The flags are read again after a
// wait.
func (s *Server) admit(ctx context.Context, maxWait time.Duration) verdict.Reason {
	if reason := s.refusalReason(); reason != "" {
		return reason
	}
	if s.acquireSlot() {
		return ""
	}
	if !s.waitForSlot(ctx, maxWait) {
		return verdict.SlotsTaken
	}
	reason := s.refusalReason()
	if reason != "" {
		s.releaseSlot()
	}
	return reason
}

// refusalReason returns why no offers are admitted, or "".
func (s *Server) refusalReason() verdict.Reason {
	switch {
	case s.Leaving():
		return verdict.AgentLeaving
	case s.zoneDrained.Load():
		return verdict.ZoneDrained
	}
	return ""
}

// waitForSlot waits up to maxWait for a slot and reports whether it acquired one.
func (s *Server) waitForSlot(ctx context.Context, maxWait time.Duration) bool {
	if maxWait <= 0 {
		return false
	}
	if int(s.waitingOffers.Add(1)) > s.opts.Slots {
		s.waitingOffers.Add(-1)
		return false
	}
	defer s.waitingOffers.Add(-1)
	timer := time.NewTimer(maxWait)
	defer timer.Stop()
	for {
		select {
		case <-s.slotFreed:
			if s.acquireSlot() {
				return true
			}
		case <-timer.C:
			return s.acquireSlot()
		case <-ctx.Done():
			return false
		}
	}
}

// releaseSlot releases a slot and wakes an offer that waits for one.
func (s *Server) releaseSlot() {
	s.inFlight.Add(-1)
	select {
	case s.slotFreed <- struct{}{}:
	default:
	}
}

func (s *Server) acquireSlot() bool {
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

func (s *Server) exchangeDone() {
	if s.active.Add(-1) == 0 {
		select {
		case s.idle <- struct{}{}:
		default:
		}
	}
}

// errDuplicate means that the offer or the commit was received before.
var errDuplicate = errors.New("offer was taken before")

// serverExchange is the agent's side of one exchange.
type serverExchange struct {
	*Server
	stream   wire.Stream
	offer    *wirepb.Offer
	received time.Time
}

// slotWaitLimit is how long the offer may wait for a slot.
func (e *serverExchange) slotWaitLimit() time.Duration {
	remaining := time.Duration(e.offer.GetRemainingMicros()) * time.Microsecond
	return min(e.opts.MaxSlotWait, remaining/slotWaitDivisor)
}

// run holds a slot until the upstream call has returned. It reports whether a complete
// answer was sent.
func (e *serverExchange) run(ctx context.Context) bool {
	released := false
	release := func() {
		if !released {
			released = true
			e.releaseSlot()
		}
	}
	defer release()
	if !e.reply(&wirepb.Reply{Kind: &wirepb.Reply_Accept{Accept: &wirepb.Accept{}}}) {
		return false // an answer could not be sent either
	}
	req := e.request()
	if !e.offer.GetCommitted() {
		if !e.awaitCommit(&req) {
			release()
			e.refuse(verdict.OfferExpired)
			return false
		}
		if !e.committedIDs.add(req.ID) {
			release()
			e.replyDuplicate()
			return false
		}
	}
	requests.Inc()
	reply := e.call(ctx, req)
	// The slot is released before the answer is sent, so that the entry's next offer
	// finds it free.
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

func (e *serverExchange) request() structs.Request {
	remaining := time.Duration(e.offer.GetRemainingMicros()) * time.Microsecond
	return structs.Request{
		ID: e.offer.GetRequestId(), Service: e.offer.GetService(), Key: e.offer.GetIdempotencyKey(),
		ContentType: e.offer.GetContentType(), Body: e.offer.GetBody(),
		Deadline: e.received.Add(remaining), Idempotent: e.offer.GetCommitted(),
	}
}

// awaitCommit waits for the commit of a non-idempotent request and reports whether the
// request may run. It reads the clock after the commit was received, so that an agent
// that was paused rejects a commit that arrived during the pause.
func (e *serverExchange) awaitCommit(req *structs.Request) bool {
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
func (e *serverExchange) call(ctx context.Context, req structs.Request) *wirepb.Reply {
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

func (e *serverExchange) refuse(reason verdict.Reason) {
	refusals[reason].Inc()
	e.reply(&wirepb.Reply{Kind: &wirepb.Reply_Refuse{Refuse: &wirepb.Refuse{
		Reason: string(reason), InFlight: e.inFlight.Load(), MeanMicros: e.times.meanMicros(e.offer.GetService()),
	}}})
}

// replyDuplicate replies to a duplicate, which does not run again but may have run.
func (e *serverExchange) replyDuplicate() {
	refusals[verdict.OfferRefused].Inc()
	e.reply(failureReply(verdict.New(verdict.MayHaveRun, verdict.OfferRefused, errDuplicate)))
}

// reply sends r and reports whether that succeeded.
func (e *serverExchange) reply(r *wirepb.Reply) bool {
	r.RequestId = e.offer.GetRequestId()
	_ = e.stream.SetDeadline(time.Now().Add(replyTimeout))
	return e.stream.Send(r) == nil
}
