package dispatch

import (
	"context"
	"math/rand/v2"
	"sync/atomic"
	"time"

	"bamboowood/internal/routing"
	"bamboowood/internal/verdict"
)

// tryHedged sends an idempotent request to one upstream and, if no answer comes
// within the hedge delay and the retry budget allows it, to another one. The first
// answer without a server error is returned.
func (s *service) tryHedged(ctx context.Context, c *call, g grant) result {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	t := &tries{results: make(chan result, routing.MaxConcurrentTries)}
	defer t.finished.Store(true)
	s.startTry(ctx, c, t, g)
	s.probe(ctx, c)
	timer := time.NewTimer(s.hedgeDelay())
	defer timer.Stop()
	for {
		select {
		case r := <-t.results:
			if final, ok := t.addResult(r); ok {
				return final
			}
		case <-timer.C:
			pause := s.hedgeDelay() / hedgeRechecks
			if next, ok := s.hedge(c, t.sent); ok {
				s.startTry(ctx, c, t, next)
				pause = s.hedgeDelay()
			}
			if len(t.sent) < routing.MaxConcurrentTries {
				timer.Reset(pause)
			}
		case <-ctx.Done():
			final := result{up: g.up, err: verdict.New(verdict.MayHaveRun, contextReason(ctx), ctx.Err())}
			return t.moreConclusive(final)
		}
	}
}

// tries are the concurrent tries of one request.
type tries struct {
	sent    []grant
	results chan result
	open    int
	// finished is set when the request has its result; later answers are dropped.
	finished atomic.Bool
	// failed is the most conclusive result of the failed tries.
	failed *result
}

// startTry runs one try in a goroutine.
func (s *service) startTry(ctx context.Context, c *call, t *tries, g grant) {
	t.sent = append(t.sent, g)
	t.open++
	s.d.inFlight.enterNested()
	go func() {
		defer s.d.inFlight.leave()
		r := s.try(ctx, c, g)
		if r.err == nil && t.finished.Load() {
			droppedAnswers.Inc()
		}
		t.results <- r
	}()
}

// addResult adds the result of one try. It returns the result of the request and
// true if the try succeeded or no other try is open.
func (t *tries) addResult(r result) (result, bool) {
	t.open--
	if r.err == nil && r.answer.Status < statusServerError {
		return r, true
	}
	r = t.moreConclusive(r)
	t.failed = &r
	return r, t.open == 0
}

// moreConclusive returns r or the result of an earlier failed try, whichever is
// more conclusive: an answer, even one with a server error, ranks above an error,
// and an error ranks above one with a lesser outcome.
func (t *tries) moreConclusive(r result) result {
	if t.failed == nil || r.err == nil {
		return r
	}
	if t.failed.err == nil || t.failed.err.Outcome > r.err.Outcome {
		return *t.failed
	}
	return r
}

// hedgeRechecks is how many times per hedge delay a hedge that was not sent is
// considered again.
const hedgeRechecks = 4

func (s *service) hedgeDelay() time.Duration {
	return max(time.Millisecond, s.serviceTimes(s.d.opts.HedgeServiceTimes))
}

// serviceTimes returns n reference service times.
func (s *service) serviceTimes(n float64) time.Duration {
	return time.Duration(float64(s.picker.Load().ReferenceServiceTime()) * n)
}

// delayCause is the cause for which a try is likely to take long, weakest first.
type delayCause uint8

const (
	notDelayed delayCause = iota
	possiblyDelayed
	slowUpstream
	silentUpstream
)

// delayCauseOf returns the strongest cause of delay of one try.
func (s *service) delayCauseOf(p *routing.Picker, g grant, now time.Duration) delayCause {
	switch {
	case p.Suspect(g.up, now):
		return silentUpstream
	case p.Slow(g.up, now):
		return slowUpstream
	case p.MaybeSlow(g.up, now), now-g.start > s.serviceTimes(s.d.opts.HedgeAnyServiceTimes):
		return possiblyDelayed
	}
	return notDelayed
}

// hedge acquires an upstream for another try if all tries so far are likely to take
// long. While requests wait, a possible delay alone causes no hedge. Unless all
// upstreams tried are silent, a hedge uses only idle upstreams.
func (s *service) hedge(c *call, sent []grant) (grant, bool) {
	p := s.picker.Load()
	now := s.d.now()
	weakest := silentUpstream
	q := s.query(now, c.deadline, nil)
	for i, g := range sent {
		weakest = min(weakest, s.delayCauseOf(p, g, now))
		q.Avoid[i] = g.up
	}
	q.AllowSlow = weakest >= slowUpstream
	q.OnlyIdle = weakest != silentUpstream
	if weakest == notDelayed || weakest == possiblyDelayed && q.Queued > 0 {
		return grant{}, false
	}
	u := p.Pick(&q)
	if u == nil {
		return grant{}, false
	}
	if !s.spendRetryToken(s.hedgeReserve(weakest)) {
		u.Release(now)
		return grant{}, false
	}
	s.inFlight.Add(1)
	verdict.Count(verdict.Hedge, hedgeReasons[weakest])
	return grant{up: u, start: now}, true
}

// hedgeReserve returns the number of retry tokens that must remain after a hedge.
func (s *service) hedgeReserve(cause delayCause) int {
	switch cause {
	case silentUpstream:
		return 0
	case slowUpstream:
		return s.d.opts.HedgeReserve
	}
	return s.d.opts.RetryBurst / 2
}

var hedgeReasons = [...]verdict.Reason{
	possiblyDelayed: verdict.WaitTooShort, slowUpstream: verdict.WaitTooShort, silentUpstream: verdict.SessionSilent,
}

// probe sends a copy of an idempotent request to an upstream whose service time is
// due to be measured again. The answer is used only for the estimates, so the try
// goes on after the request is answered. Probes are counted as hedges with the reason
// no-upstream.
func (s *service) probe(ctx context.Context, c *call) {
	p := s.picker.Load()
	now := s.d.now()
	u := p.Probe(now, rand.Uint64())
	if u == nil {
		return
	}
	if !s.spendRetryToken(s.d.opts.RetryBurst / 3) {
		u.Release(now)
		return
	}
	s.inFlight.Add(1)
	verdict.Count(verdict.Hedge, verdict.NoUpstream)
	s.d.inFlight.enterNested()
	go func() {
		defer s.d.inFlight.leave()
		ctx, cancel := context.WithDeadline(context.WithoutCancel(ctx), c.req.Deadline)
		defer cancel()
		s.try(ctx, c, grant{up: u, start: now})
	}()
}
