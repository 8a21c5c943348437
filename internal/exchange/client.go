// Package exchange runs one request between an entry and an agent with the messages
// offer, accept, commit and answer. Do is the entry's side, Server the agent's.
//
// The outcome of a failure depends on whether the commit was sent. Before the commit
// the request is NotRun. After it the request is MayHaveRun, unless the agent reports
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
	// AcceptTimeout bounds the wait for the agent's first reply. The wait is also at
	// most the remaining wait divided by acceptWaitDivisor. 0 means
	// DefaultAcceptTimeout.
	AcceptTimeout time.Duration
	// MinSuspectTimeout is the shortest wait for a first reply after which a missing reply
	// counts as a failure of the session. It should be a few round trips. 0 means
	// DefaultMinSuspectTimeout.
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

// Do sends the request over the session and returns the upstream's complete answer,
// checked for its request ID and declared length. Errors are *verdict.Error; after one
// with the reason SessionSilent, the session should not be used for new streams. The
// Load has InFlight -1 when the agent reported none.
func Do(ctx context.Context, s wire.Session, req structs.Request, opts ClientOptions) (structs.Answer, structs.Load, error) {
	c := &call{ctx: ctx, req: req, opts: opts.withDefaults(), load: structs.Load{InFlight: -1}, nonce: rand.Uint64()}
	answer, err := c.do(s)
	if err != nil {
		countFailure(err)
		return structs.Answer{}, c.load, err
	}
	return answer, c.load, nil
}

// PoolingSession is a session that keeps idle streams for further exchanges. Its Open
// may return such a stream.
type PoolingSession interface {
	// PutIdle returns a stream to the pool. The agent must expect the next offer on it.
	PutIdle(stream wire.Stream)
}

// call is the entry's side of one exchange.
type call struct {
	ctx    context.Context
	req    structs.Request
	opts   ClientOptions
	stream wire.Stream
	// committed is set before the commit is sent. From then on the upstream may run the
	// request.
	committed bool
	// nonce distinguishes this try from other tries of the same request.
	nonce uint64
	// keepStream asks the agent to keep the stream open for further exchanges.
	keepStream bool
	load       structs.Load
}

func (c *call) do(s wire.Session) (structs.Answer, error) {
	if err := c.checkWait(); err != nil {
		return structs.Answer{}, err
	}
	stream, err := s.Open(c.ctx)
	if err != nil {
		return structs.Answer{}, c.fail(verdict.SessionLost, err)
	}
	c.stream = stream
	pool, pooling := s.(PoolingSession)
	c.keepStream = pooling
	stop := context.AfterFunc(c.ctx, func() { _ = stream.SetDeadline(time.Unix(1, 0)) })
	answer, err := c.run()
	// After a complete answer no message is in transit on the stream. stop returns false
	// when the AfterFunc may still change the deadline.
	if stop() && err == nil && pooling {
		pool.PutIdle(stream)
		return answer, nil
	}
	go stream.Close() // may block on a silent connection
	return answer, err
}

func (c *call) run() (structs.Answer, error) {
	if c.req.Idempotent {
		return c.doOneStep()
	}
	return c.doTwoStep()
}

// doOneStep sends the offer and the commit in one message.
func (c *call) doOneStep() (structs.Answer, error) {
	timeout := c.acceptTimeout()
	if err := c.setDeadline(time.Now().Add(timeout)); err != nil {
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
	reply, err := c.firstReply(timeout)
	if err != nil {
		return structs.Answer{}, err
	}
	if reply.GetAccept() == nil {
		return c.result(reply)
	}
	return c.awaitAnswer()
}

// doTwoStep sends the commit with the body only after the accept was received.
func (c *call) doTwoStep() (structs.Answer, error) {
	timeout := c.acceptTimeout()
	if err := c.setDeadline(time.Now().Add(timeout)); err != nil {
		return structs.Answer{}, err
	}
	if err := c.send(&wirepb.Hello{Kind: &wirepb.Hello_Offer{Offer: c.offer()}}); err != nil {
		return structs.Answer{}, err
	}
	reply, err := c.firstReply(timeout)
	if err != nil {
		return structs.Answer{}, err
	}
	if reply.GetAccept() == nil {
		return c.result(reply)
	}
	if err := c.checkWait(); err != nil {
		return structs.Answer{}, err
	}
	if err := c.setDeadline(c.req.Deadline); err != nil {
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
		RemainingMicros: time.Until(c.req.Deadline).Microseconds(), Nonce: c.nonce, Keep: c.keepStream,
	}
}

// acceptWaitDivisor divides the remaining wait to give the longest wait for the first
// reply, which leaves time for several tries.
const acceptWaitDivisor = 6

// acceptTimeout returns the longest wait for the first reply.
func (c *call) acceptTimeout() time.Duration {
	return min(c.opts.AcceptTimeout, time.Until(c.req.Deadline)/acceptWaitDivisor)
}

// checkWait returns an error when the wait has expired or the caller has disconnected.
func (c *call) checkWait() error {
	if c.ctx.Err() != nil {
		return c.fail(c.contextReason(), c.ctx.Err())
	}
	if !time.Now().Before(c.req.Deadline) {
		return c.fail(verdict.WaitExpired, nil)
	}
	return nil
}

// setDeadline sets the stream's deadline. A cancelled context takes precedence.
func (c *call) setDeadline(t time.Time) error {
	_ = c.stream.SetDeadline(t)
	if c.ctx.Err() != nil {
		return c.fail(c.contextReason(), c.ctx.Err())
	}
	return nil
}

// firstReply waits for the agent's accept or refusal.
func (c *call) firstReply(timeout time.Duration) (*wirepb.Reply, error) {
	reply, err := c.recv()
	if err == nil {
		return reply, nil
	}
	if c.ctx.Err() == nil && errors.Is(err, os.ErrDeadlineExceeded) && timeout >= c.opts.MinSuspectTimeout {
		return nil, c.fail(verdict.SessionSilent, err)
	}
	return nil, c.recvError(err)
}

// awaitAnswer waits for the final reply. Repeated accepts are ignored.
func (c *call) awaitAnswer() (structs.Answer, error) {
	if err := c.setDeadline(c.req.Deadline); err != nil {
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

// errReplyMismatch means that a reply has the ID of another request.
var errReplyMismatch = errors.New("reply to another request")

func (c *call) recv() (*wirepb.Reply, error) {
	reply := &wirepb.Reply{}
	if err := c.stream.Recv(reply); err != nil {
		return nil, err
	}
	if reply.GetRequestId() != c.req.ID {
		return nil, fmt.Errorf("%w: %q", errReplyMismatch, reply.GetRequestId())
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

// recvError maps a failure of the stream to a reason.
func (c *call) recvError(err error) error {
	switch {
	case errors.Is(err, errReplyMismatch):
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

// fail returns an error whose outcome follows from whether the commit was sent.
func (c *call) fail(reason verdict.Reason, err error) error {
	outcome := verdict.NotRun
	if c.committed {
		outcome = verdict.MayHaveRun
	}
	return verdict.New(outcome, reason, err)
}

// result converts the final reply to an answer or an error.
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
	// The agent has received the request, whatever the reply was meant to be.
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
		return structs.Answer{}, verdict.New(verdict.MayHaveRun, verdict.WrongAnswer, fmt.Errorf("invalid status %d", status))
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
