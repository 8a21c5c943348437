package dispatch

import (
	"context"
	"errors"
	"time"

	"bamboowood/internal/routing"
	"bamboowood/internal/structs"
	"bamboowood/internal/verdict"
)

// statusServerError is the least status of an answer that counts as the
// upstream's failure.
const statusServerError = 500

// call is one request on its way.
type call struct {
	req      structs.Request
	deadline time.Duration // monotonic
	// avoid is the upstream of the last try.
	avoid    *routing.Upstream
	admitted bool
	tries    int
	// failure is the error of the last try, with the greatest outcome so far.
	failure *verdict.Error
	// answer is an upstream's whole answer that it failed; a retry may do better.
	answer *structs.Answer
}

// result is the end of one try.
type result struct {
	answer structs.Answer
	err    *verdict.Error
	up     *routing.Upstream
}

// run sends the request until it is answered, refused or out of time.
func (s *service) run(ctx context.Context, req structs.Request) (structs.Answer, *verdict.Error) {
	c := &call{req: req, deadline: s.d.now() + time.Until(req.Deadline)}
	s.budget.Earn(s.d.opts.RetryShare, s.d.opts.RetryBurst)
	for {
		g, err := s.acquire(ctx, c)
		if err != nil {
			return c.end(c.raise(err))
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
		c.failure = c.raise(r.err)
		if !s.mayRetry(ctx, c, r) {
			return c.end(c.failure)
		}
		verdict.Count(verdict.Retry, r.err.Reason)
	}
}

// end returns err, or the answer of an earlier try.
func (c *call) end(err *verdict.Error) (structs.Answer, *verdict.Error) {
	if c.answer != nil {
		return *c.answer, nil
	}
	return structs.Answer{}, err
}

// raise gives err the greatest outcome of all tries so far.
func (c *call) raise(err *verdict.Error) *verdict.Error {
	if c.failure == nil || c.failure.Outcome <= err.Outcome {
		return err
	}
	return verdict.Wrap(err, c.failure.Outcome, err.Reason)
}

// mayRetry decides whether the request is sent again after r.
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
	return c.req.Idempotent && s.spend(0)
}

// mayRetryAnswer decides whether an idempotent request whose answer says that
// the upstream failed is sent again.
func (s *service) mayRetryAnswer(c *call, r result) bool {
	if r.answer.Status < statusServerError || !c.req.Idempotent {
		return false
	}
	if c.tries++; c.tries >= s.d.opts.MaxTries || !s.spend(0) {
		return false
	}
	c.avoid = r.up
	c.answer = &r.answer
	c.failure = verdict.New(verdict.Ran, verdict.UpstreamFailed, nil)
	verdict.Count(verdict.Retry, verdict.UpstreamFailed)
	return true
}

// spend takes a token of the retry budget.
func (s *service) spend(reserve int) bool {
	if s.budget.Spend(reserve) {
		return true
	}
	if reserve == 0 {
		verdict.Count(verdict.Refusal, verdict.RetryBudgetSpent)
	}
	return false
}

// try sends the request to one upstream and records what came of it.
func (s *service) try(ctx context.Context, c *call, g grant) result {
	answer, load, err := s.d.ex.Do(ctx, g.up.VM, c.req)
	r := result{answer: answer, up: g.up, err: check(ctx, c.req, answer, err)}
	s.record(ctx, g, load, r)
	s.release(g)
	return r
}

// check turns what Exchanger.Do returned into a verdict.
func check(ctx context.Context, req structs.Request, answer structs.Answer, err error) *verdict.Error {
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

// record feeds the estimates, the health and the load of the upstream.
func (s *service) record(ctx context.Context, g grant, load structs.Load, r result) {
	p := s.picker.Load()
	now := s.d.now()
	p.Refresh(now)
	if r.err != nil && abandoned(ctx, r.err) {
		s.recordAbandoned(p, g, now)
		return
	}
	if r.err != nil && r.err.Reason == verdict.SessionSilent {
		s.silenced(g.up, now)
		return
	}
	g.up.Replied(now)
	sample := routing.Sample{Now: now, Service: now - g.start, Mean: load.MeanServiceTime}
	if load.ServiceTime > 0 {
		sample.Service = load.ServiceTime
	}
	if r.err == nil {
		s.drain.Answered(now, s.queued.Load() > 0)
		sample.Failed = r.answer.Status >= statusServerError
		s.sample(p, g.up, sample, verdict.UpstreamFailed)
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
		s.sample(p, g.up, sample, r.err.Reason)
	}
}

// unreachablePause is the pause, in reference service times, of an upstream that
// could not be reached.
const unreachablePause = 0.5

// abandoned reports whether a try was given up by this entry.
func abandoned(ctx context.Context, err *verdict.Error) bool {
	switch {
	case err.Reason == verdict.WaitExpired, err.Reason == verdict.ClientDisconnected:
		return true
	case err.Outcome == verdict.NotRun:
		return false
	}
	return ctx.Err() != nil
}

// silenced records that the agent gave no sign during a try.
func (s *service) silenced(u *routing.Upstream, now time.Duration) {
	u.RecordSilence(now, s.d.opts.SilencePause, s.d.opts.SilencePauseMax)
	verdict.Count(verdict.Ejection, verdict.SessionSilent)
}

// recordAbandoned records a try that was given up.
func (s *service) recordAbandoned(p *routing.Picker, g grant, now time.Duration) {
	if g.up.SilentSince(g.start) && p.Suspect(g.up, now) {
		s.silenced(g.up, now)
		return
	}
	p.Record(g.up, routing.Sample{Now: now, Service: now - g.start, Censored: true})
}

func (s *service) sample(p *routing.Picker, u *routing.Upstream, sample routing.Sample, reason verdict.Reason) {
	if p.Record(u, sample) {
		verdict.Count(verdict.Ejection, reason)
	}
}
