// Package exchange runs one request between an entry and an agent: offer,
// accept, commit, answer. Do is the entry's side, Server the agent's.
//
// The outcome of a failure follows from one fact, whether the commit was sent.
// Before it the request is NotRun; after it MayHaveRun, unless the agent says
// that the request did not and will not run.
package exchange

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"os"
	"time"

	"bamboowood/internal/structs"
	"bamboowood/internal/verdict"
	"bamboowood/internal/wire"
	"bamboowood/internal/wire/wirepb"
)

// Defaults of ClientOptions.
const (
	DefaultAcceptTimeout     = 250 * time.Millisecond
	DefaultMinSuspectTimeout = 25 * time.Millisecond
)

// ClientOptions are the timeouts of the entry's side.
type ClientOptions struct {
	// AcceptTimeout bounds the wait for the agent's first reply; it is cut to
	// one part in acceptShare of the remaining wait. 0 means
	// DefaultAcceptTimeout.
	AcceptTimeout time.Duration
	// MinSuspectTimeout is the shortest such wait, a few round trips, after which a
	// missing reply is blamed on the session. 0 means DefaultMinSuspectTimeout.
	MinSuspectTimeout time.Duration
}

func (o ClientOptions) withDefaults() ClientOptions {
	if o.AcceptTimeout <= 0 {
		o.AcceptTimeout = DefaultAcceptTimeout
	}
	if o.MinSuspectTimeout <= 0 {
		o.MinSuspectTimeout = DefaultMinSuspectTimeout
	}
	return o
}

// Do sends the request over the session and returns the upstream's whole answer,
// checked for its request id and declared length. Errors are *verdict.Error; the
// reason SessionSilent says that the session should not be used for new streams.
// The Load has InFlight -1 when the agent did not report.
func Do(ctx context.Context, s wire.Session, req structs.Request, opts ClientOptions) (structs.Answer, structs.Load, error) {
	c := &call{ctx: ctx, req: req, opts: opts.withDefaults(), load: structs.Load{InFlight: -1}, nonce: rand.Uint64()}
	answer, err := c.do(s)
	if err != nil {
		countFailure(err)
		return structs.Answer{}, c.load, err
	}
	return answer, c.load, nil
}

// PoolingSession is a session that keeps streams for further exchanges. Its Open may
// return a stream that was kept.
type PoolingSession interface {
	// PutIdle takes a stream on which the agent expects the next offer.
	PutIdle(stream wire.Stream)
}

// call is the entry's side of one exchange.
type call struct {
	ctx    context.Context
	req    structs.Request
	opts   ClientOptions
	stream wire.Stream
	// committed is set before the commit is sent: from then on the upstream may
	// run the request.
	committed bool
	// nonce tells this try from others of the same request.
	nonce uint64
	// keep says that the stream may serve further exchanges.
	keep bool
	load structs.Load
}

func (c *call) do(s wire.Session) (structs.Answer, error) {
	if err := c.expired(); err != nil {
		return structs.Answer{}, err
	}
	stream, err := s.Open(c.ctx)
	if err != nil {
		return structs.Answer{}, c.fail(verdict.SessionLost, err)
	}
	c.stream = stream
	keeper, keeps := s.(PoolingSession)
	c.keep = keeps
	stop := context.AfterFunc(c.ctx, func() { _ = stream.SetDeadline(time.Unix(1, 0)) })
	answer, err := c.run()
	// After a whole answer nothing more is under way on the stream. stop is false
	// when the deadline may still be changed for this request.
	if stop() && err == nil && keeps {
		keeper.PutIdle(stream)
		return answer, nil
	}
	go stream.Close() // may block on a silent connection; nothing waits for it
	return answer, err
}

func (c *call) run() (structs.Answer, error) {
	if c.req.Idempotent {
		return c.doCommitted()
	}
	return c.doInTwoSteps()
}

// doCommitted sends offer and commit together.
func (c *call) doCommitted() (structs.Answer, error) {
	bound := c.acceptBound()
	if err := c.bound(time.Now().Add(bound)); err != nil {
		return structs.Answer{}, err
	}
	offer := c.offer()
	offer.Committed = true
	offer.Body = c.req.Body
	offer.ContentType = c.req.ContentType
	c.committed = true
	if err := c.send(&wirepb.Hello{Kind: &wirepb.Hello_Offer{Offer: offer}}); err != nil {
		return structs.Answer{}, err
	}
	reply, err := c.firstReply(bound)
	if err != nil {
		return structs.Answer{}, err
	}
	if reply.GetAccept() == nil {
		return c.result(reply)
	}
	return c.awaitAnswer()
}

// doInTwoSteps sends the commit, and the body with it, only after the accept.
func (c *call) doInTwoSteps() (structs.Answer, error) {
	bound := c.acceptBound()
	if err := c.bound(time.Now().Add(bound)); err != nil {
		return structs.Answer{}, err
	}
	if err := c.send(&wirepb.Hello{Kind: &wirepb.Hello_Offer{Offer: c.offer()}}); err != nil {
		return structs.Answer{}, err
	}
	reply, err := c.firstReply(bound)
	if err != nil {
		return structs.Answer{}, err
	}
	if reply.GetAccept() == nil {
		return c.result(reply)
	}
	if err := c.expired(); err != nil {
		return structs.Answer{}, err
	}
	if err := c.bound(c.req.Deadline); err != nil {
		return structs.Answer{}, err
	}
	c.committed = true
	commit := &wirepb.Commit{RequestId: c.req.ID, Body: c.req.Body, ContentType: c.req.ContentType, Nonce: c.nonce}
	if err := c.send(commit); err != nil {
		return structs.Answer{}, err
	}
	return c.awaitAnswer()
}

func (c *call) offer() *wirepb.Offer {
	return &wirepb.Offer{
		RequestId: c.req.ID, Service: c.req.Service, IdempotencyKey: c.req.Key,
		RemainingMicros: time.Until(c.req.Deadline).Microseconds(), Nonce: c.nonce, Keep: c.keep,
	}
}

// acceptShare is the part of the remaining wait, as a divisor, that the first
// reply may take, so that several tries are possible after it.
const acceptShare = 6

// acceptBound is the wait for the first reply.
func (c *call) acceptBound() time.Duration {
	return min(c.opts.AcceptTimeout, time.Until(c.req.Deadline)/acceptShare)
}

// expired fails when the wait is over or the caller is gone.
func (c *call) expired() error {
	if c.ctx.Err() != nil {
		return c.fail(c.contextReason(), c.ctx.Err())
	}
	if !time.Now().Before(c.req.Deadline) {
		return c.fail(verdict.WaitExpired, nil)
	}
	return nil
}

// bound sets the stream's deadline; a cancelled context keeps precedence.
func (c *call) bound(t time.Time) error {
	_ = c.stream.SetDeadline(t)
	if c.ctx.Err() != nil {
		return c.fail(c.contextReason(), c.ctx.Err())
	}
	return nil
}

// firstReply waits for the agent's accept or refusal.
func (c *call) firstReply(bound time.Duration) (*wirepb.Reply, error) {
	reply, err := c.recv()
	if err == nil {
		return reply, nil
	}
	if c.ctx.Err() == nil && errors.Is(err, os.ErrDeadlineExceeded) && bound >= c.opts.MinSuspectTimeout {
		return nil, c.fail(verdict.SessionSilent, err)
	}
	return nil, c.recvError(err)
}

// awaitAnswer waits for the end of the exchange. A repeated accept says nothing
// new.
func (c *call) awaitAnswer() (structs.Answer, error) {
	if err := c.bound(c.req.Deadline); err != nil {
		return structs.Answer{}, err
	}
	for {
		reply, err := c.recv()
		if err != nil {
			return structs.Answer{}, c.recvError(err)
		}
		if reply.GetAccept() == nil {
			return c.result(reply)
		}
	}
}

// errCrossed says that a reply names another request.
var errCrossed = errors.New("reply to another request")

func (c *call) recv() (*wirepb.Reply, error) {
	reply := &wirepb.Reply{}
	if err := c.stream.Recv(reply); err != nil {
		return nil, err
	}
	if reply.GetRequestId() != c.req.ID {
		return nil, fmt.Errorf("%w: %q", errCrossed, reply.GetRequestId())
	}
	return reply, nil
}

func (c *call) send(m message) error {
	if err := c.stream.Send(m); err != nil {
		if errors.Is(err, wire.ErrMessageTooLarge) {
			return verdict.New(verdict.NotRun, verdict.BodyTooLarge, err)
		}
		return c.recvError(err)
	}
	return nil
}

// recvError classifies a failure of the stream.
func (c *call) recvError(err error) error {
	switch {
	case errors.Is(err, errCrossed):
		return c.fail(verdict.WrongAnswer, err)
	case c.ctx.Err() != nil:
		return c.fail(c.contextReason(), err)
	case errors.Is(err, os.ErrDeadlineExceeded):
		return c.fail(verdict.WaitExpired, err)
	}
	return c.fail(verdict.SessionLost, err)
}

func (c *call) contextReason() verdict.Reason {
	if errors.Is(c.ctx.Err(), context.DeadlineExceeded) {
		return verdict.WaitExpired
	}
	return verdict.ClientDisconnected
}

// fail returns an error with the outcome that the state of the exchange allows.
func (c *call) fail(reason verdict.Reason, err error) error {
	outcome := verdict.NotRun
	if c.committed {
		outcome = verdict.MayHaveRun
	}
	return verdict.New(outcome, reason, err)
}

// result turns the final reply into an answer or an error.
func (c *call) result(reply *wirepb.Reply) (structs.Answer, error) {
	switch kind := reply.GetKind().(type) {
	case *wirepb.Reply_Refuse:
		c.load = structs.Load{InFlight: kind.Refuse.GetInFlight(), MeanServiceTime: micros(kind.Refuse.GetMeanMicros())}
		return structs.Answer{}, verdict.New(verdict.NotRun, wireReason(kind.Refuse.GetReason(), verdict.OfferRefused), nil)
	case *wirepb.Reply_Failure:
		return structs.Answer{}, c.failure(kind.Failure)
	case *wirepb.Reply_Answer:
		return c.answer(kind.Answer)
	}
	// Whatever the agent meant, it holds the request.
	return structs.Answer{}, c.fail(verdict.WrongAnswer, errors.New("reply of an unexpected kind"))
}

func micros(n int64) time.Duration { return time.Duration(n) * time.Microsecond }

func (c *call) failure(f *wirepb.Failure) error {
	outcome := verdict.MayHaveRun
	if f.GetNotRun() {
		outcome = verdict.NotRun
	}
	return verdict.New(outcome, wireReason(f.GetReason(), verdict.UpstreamFailed), errors.New(f.GetDetail()))
}

func (c *call) answer(a *wirepb.Answer) (structs.Answer, error) {
	if !c.committed {
		return structs.Answer{}, verdict.New(verdict.MayHaveRun, verdict.WrongAnswer, errors.New("answer before the commit"))
	}
	if a.GetLength() != int64(len(a.GetBody())) {
		err := fmt.Errorf("answer has %d of %d bytes", len(a.GetBody()), a.GetLength())
		return structs.Answer{}, verdict.New(verdict.MayHaveRun, verdict.UpstreamTruncated, err)
	}
	if status := a.GetStatus(); status < minStatus || status > maxStatus {
		return structs.Answer{}, verdict.New(verdict.MayHaveRun, verdict.WrongAnswer, fmt.Errorf("status %d", status))
	}
	service := micros(a.GetServiceMicros())
	c.load = structs.Load{InFlight: a.GetInFlight(), ServiceTime: service, MeanServiceTime: micros(a.GetMeanMicros())}
	return structs.Answer{
		RequestID: c.req.ID, Status: int(a.GetStatus()), ContentType: a.GetContentType(), Body: a.GetBody(),
		ServiceTime: service,
	}, nil
}

// Range of HTTP status codes of a final answer.
const (
	minStatus = 200
	maxStatus = 599
)
