package dispatch

import (
	"context"
	"errors"
	"time"

	"bamboowood/internal/routing"
	"bamboowood/internal/structs"
	"bamboowood/internal/verdict"
)

// statusServerError is the lowest HTTP status that counts as a failure of the
// upstream.
const statusServerError = 500

// call is the state of one request across its tries.
type call struct {
	req      structs.Request
	deadline time.Duration // monotonic
	// avoid is the upstream of the last try.
	avoid *routing.Upstream
	// admitted is set once the request has passed admission control.
	admitted bool
	tries    int
	// failure has the Reason of the last failed try and the greatest Outcome of all
	// tries.
	failure *verdict.Error
	// answer is a complete answer with a server error status. It is returned if
	// no retry succeeds.
	answer *structs.Answer
}

// result is the result of one try.
type result struct {
	answer structs.Answer
	err    *verdict.Error
	up     *routing.Upstream
}

// run sends the request, with retries and hedges, until it is answered or
// refused or its deadline passes.
func (s *service) run(ctx context.Context, req structs.Request) (structs.Answer, *verdict.Error) {
	c := &call{req: req, deadline: s.d.now() + time.Until(req.Deadline)}
	s.budget.Earn(s.d.opts.RetryShare, s.d.opts.RetryBurst)
	for {
		g, err := s.acquire(ctx, c)
		if err != nil {
			return c.finalResult(c.withGreatestOutcome(err))
		}
		var r result
		if req.Idempotent {
			r = s.tryHedged(ctx, c, g)
		} else {
			r = s.try(ctx, c, g)
		}
		if r.err == nil && !s.mayRetryAnswer(c, r) {
			return r.answer, nil
		}
		if r.err == nil {
			continue
		}
		c.failure = c.withGreatestOutcome(r.err)
		if !s.mayRetry(ctx, c, r) {
			return c.finalResult(c.failure)
		}
		verdict.Count(verdict.Retry, r.err.Reason)
	}
}

// finalResult returns the failed answer of an earlier try if there is one, and
// err otherwise.
func (c *call) finalResult(err *verdict.Error) (structs.Answer, *verdict.Error) {
	if c.answer != nil {
		return *c.answer, nil
	}
	return structs.Answer{}, err
}

// withGreatestOutcome returns err with the greatest outcome of all tries so far.
func (c *call) withGreatestOutcome(err *verdict.Error) *verdict.Error {
	if c.failure == nil || c.failure.Outcome <= err.Outcome {
		return err
	}
	return verdict.Wrap(err, c.failure.Outcome, err.Reason)
}

// mayRetry reports whether the request is sent again after the failed try r.
// Offers refused for lack of slots do not count as tries.
func (s *service) mayRetry(ctx context.Context, c *call, r result) bool {
	if ctx.Err() != nil {
		return false
	}
	c.avoid = nil
	if s.picker.Load().Ready() > 1 {
		c.avoid = r.up
	}
	if r.err.Reason == verdict.SlotsTaken && r.err.Outcome == verdict.NotRun {
		c.avoid = nil
		return true
	}
	if c.tries++; c.tries >= s.d.opts.MaxTries {
		return false
	}
	if r.err.Outcome == verdict.NotRun {
		return true
	}
	return c.req.Idempotent && s.spendRetryToken(0)
}

// mayRetryAnswer reports whether an idempotent request that was answered with a
// server error is sent again.
func (s *service) mayRetryAnswer(c *call, r result) bool {
	if r.answer.Status < statusServerError || !c.req.Idempotent {
		return false
	}
	if c.tries++; c.tries >= s.d.opts.MaxTries || !s.spendRetryToken(0) {
		return false
	}
	c.avoid = r.up
	c.answer = &r.answer
	c.failure = verdict.New(verdict.Ran, verdict.UpstreamFailed, nil)
	verdict.Count(verdict.Retry, verdict.UpstreamFailed)
	return true
}

// spendRetryToken takes a token from the retry budget if more than reserve would
// remain, and reports whether it did.
func (s *service) spendRetryToken(reserve int) bool {
	if s.budget.Spend(reserve) {
		return true
	}
	if reserve == 0 {
		verdict.Count(verdict.Refusal, verdict.RetryBudgetSpent)
	}
	return false
}

// try sends the request to one upstream, records the result and releases the grant.
func (s *service) try(ctx context.Context, c *call, g grant) result {
	answer, load, err := s.d.ex.Do(ctx, g.up.VM, c.req)
	r := result{answer: answer, up: g.up, err: tryError(ctx, c.req, answer, err)}
	s.record(ctx, g, load, r)
	s.release(g)
	return r
}

// tryError converts the results of Exchanger.Do to the error of the try; nil if
// the answer belongs to the request.
func tryError(ctx context.Context, req structs.Request, answer structs.Answer, err error) *verdict.Error {
	var e *verdict.Error
	switch {
	case err == nil && answer.RequestID == req.ID:
		return nil
	case err == nil:
		return verdict.New(verdict.MayHaveRun, verdict.WrongAnswer, nil)
	case errors.As(err, &e):
		return verdict.New(verdict.OutcomeOf(err, verdict.MayHaveRun), e.Reason, err)
	case ctx.Err() != nil:
		return verdict.New(verdict.MayHaveRun, contextReason(ctx), err)
	}
	return verdict.New(verdict.MayHaveRun, verdict.SessionLost, err)
}

// record updates the service time estimates, the health and the load of the
// upstream from the result of a try.
func (s *service) record(ctx context.Context, g grant, load structs.Load, r result) {
	p := s.picker.Load()
	now := s.d.now()
	p.Refresh(now)
	if r.err != nil && abandoned(ctx, r.err) {
		s.recordAbandoned(p, g, now)
		return
	}
	if r.err != nil && r.err.Reason == verdict.SessionSilent {
		s.recordSilence(g.up, now)
		return
	}
	g.up.Replied(now)
	sample := routing.Sample{Now: now, Service: now - g.start, Mean: load.MeanServiceTime}
	if load.ServiceTime > 0 {
		sample.Service = load.ServiceTime
	}
	if r.err == nil {
		s.drainMeter.Answered(now, s.queued.Load() > 0)
		sample.Failed = r.answer.Status >= statusServerError
		s.recordSample(p, g.up, sample, verdict.UpstreamFailed)
		p.RecordLoad(g.up, now, load.InFlight)
		return
	}
	switch r.err.Reason {
	case verdict.SlotsTaken:
		p.RecordAgentEstimate(g.up, now, load.MeanServiceTime)
		p.RecordLoad(g.up, now, load.InFlight)
		p.Refused(g.up, now)
	case verdict.AgentLeaving, verdict.ZoneDrained:
		g.up.Block(now + s.d.opts.LeavePause)
	default:
		if r.err.Outcome == verdict.NotRun {
			g.up.Block(now + s.serviceTimes(unreachablePause))
		}
		sample.Failed = true
		s.recordSample(p, g.up, sample, r.err.Reason)
	}
}

// unreachablePause is how long, in reference service times, an upstream that could
// not be reached gets no requests.
const unreachablePause = 0.5

// abandoned reports whether this entry cancelled the try before its result.
func abandoned(ctx context.Context, err *verdict.Error) bool {
	switch {
	case err.Reason == verdict.WaitExpired, err.Reason == verdict.ClientDisconnected:
		return true
	case err.Outcome == verdict.NotRun:
		return false
	}
	return ctx.Err() != nil
}

// recordSilence records that no message came from the agent during a try.
func (s *service) recordSilence(u *routing.Upstream, now time.Duration) {
	u.RecordSilence(now, s.d.opts.SilencePause, s.d.opts.SilencePauseMax)
	verdict.Count(verdict.Ejection, verdict.SessionSilent)
}

// recordAbandoned records a cancelled try: as silence if the upstream is suspect
// and has sent nothing since the start of the try, and as a lower bound on the
// service time otherwise.
func (s *service) recordAbandoned(p *routing.Picker, g grant, now time.Duration) {
	if g.up.SilentSince(g.start) && p.Suspect(g.up, now) {
		s.recordSilence(g.up, now)
		return
	}
	p.Record(g.up, routing.Sample{Now: now, Service: now - g.start, Censored: true})
}

func (s *service) recordSample(p *routing.Picker, u *routing.Upstream, sample routing.Sample, reason verdict.Reason) {
	if p.Record(u, sample) {
		verdict.Count(verdict.Ejection, reason)
	}
}
