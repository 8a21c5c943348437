package dispatch

import (
	"context"
	"math/rand/v2"
	"sync/atomic"
	"time"

	"bamboowood/internal/routing"
	"bamboowood/internal/verdict"
)

// tryHedged sends an idempotent request to one upstream and, if that takes
// long and the budget allows, to a second one; the first whole answer wins.
func (s *service) tryHedged(ctx context.Context, c *call, g grant) result {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	t := &tries{results: make(chan result, routing.MaxConcurrentTries)}
	defer t.settled.Store(true)
	s.send(ctx, c, t, g)
	s.probe(ctx, c)
	timer := time.NewTimer(s.hedgePause())
	defer timer.Stop()
	for {
		select {
		case r := <-t.results:
			if end, ok := t.ended(r); ok {
				return end
			}
		case <-timer.C:
			pause := s.hedgePause() / hedgeRechecks
			if next, ok := s.hedge(c, t.sent); ok {
				s.send(ctx, c, t, next)
				pause = s.hedgePause()
			}
			if len(t.sent) < routing.MaxConcurrentTries {
				timer.Reset(pause)
			}
		case <-ctx.Done():
			end := result{up: g.up, err: verdict.New(verdict.MayHaveRun, contextReason(ctx), ctx.Err())}
			return t.best(end)
		}
	}
}

// tries are the concurrent tries of one request.
type tries struct {
	sent    []grant
	results chan result
	open    int
	// settled is set when the request has its result: later answers are dropped.
	settled atomic.Bool
	// failed is the end with the greatest outcome of those that failed.
	failed *result
}

// send starts one try.
func (s *service) send(ctx context.Context, c *call, t *tries, g grant) {
	t.sent = append(t.sent, g)
	t.open++
	s.d.work.enterMore()
	go func() {
		defer s.d.work.leave()
		r := s.try(ctx, c, g)
		if r.err == nil && t.settled.Load() {
			droppedAnswers.Inc()
		}
		t.results <- r
	}()
}

// ended takes the end of one try and returns that of the request, if it is one.
func (t *tries) ended(r result) (result, bool) {
	t.open--
	if r.err == nil && r.answer.Status < statusServerError {
		return r, true
	}
	r = t.best(r)
	t.failed = &r
	return r, t.open == 0
}

// best returns r or an earlier end that says more: an answer, even one that says
// the upstream failed, or an error with a greater outcome.
func (t *tries) best(r result) result {
	if t.failed == nil || r.err == nil {
		return r
	}
	if t.failed.err == nil || t.failed.err.Outcome > r.err.Outcome {
		return *t.failed
	}
	return r
}

// hedgeRechecks is how often, by hedge pause, a hedge that was not sent is
// weighed again.
const hedgeRechecks = 4

func (s *service) hedgePause() time.Duration {
	return max(time.Millisecond, s.serviceTimes(s.d.opts.HedgeServiceTimes))
}

// serviceTimes returns n reference service times.
func (s *service) serviceTimes(n float64) time.Duration {
	return time.Duration(float64(s.picker.Load().ReferenceServiceTime()) * n)
}

// doubt says why a try is likely to take long.
type doubt uint8

const (
	noDoubt doubt = iota
	oldTry
	slowUpstream
	silentUpstream
)

// doubtOf weighs one try.
func (s *service) doubtOf(p *routing.Picker, g grant, now time.Duration) doubt {
	switch {
	case p.Suspect(g.up, now):
		return silentUpstream
	case p.Slow(g.up, now):
		return slowUpstream
	case p.MaybeSlow(g.up, now), now-g.start > s.serviceTimes(s.d.opts.HedgeAnyServiceTimes):
		return oldTry
	}
	return noDoubt
}

// hedge acquires an upstream for another try if all tries so far are likely to
// take long and the new one is not at the cost of waiting requests.
func (s *service) hedge(c *call, sent []grant) (grant, bool) {
	p := s.picker.Load()
	now := s.d.now()
	least := silentUpstream
	q := s.query(now, c.deadline, nil)
	for i, g := range sent {
		least = min(least, s.doubtOf(p, g, now))
		q.Avoid[i] = g.up
	}
	q.AllowSlow = least >= slowUpstream
	q.OnlyIdle = least != silentUpstream
	if least == noDoubt || least == oldTry && q.Queued > 0 {
		return grant{}, false
	}
	u := p.Pick(&q)
	if u == nil {
		return grant{}, false
	}
	if !s.spend(s.hedgeReserve(least)) {
		u.Release(now)
		return grant{}, false
	}
	s.inFlight.Add(1)
	verdict.Count(verdict.Hedge, hedgeReasons[least])
	return grant{up: u, start: now}, true
}

// hedgeReserve returns the saved tries that must remain after a hedge.
func (s *service) hedgeReserve(why doubt) int {
	switch why {
	case silentUpstream:
		return 0
	case slowUpstream:
		return s.d.opts.HedgeReserve
	}
	return s.d.opts.RetryBurst / 2
}

var hedgeReasons = [...]verdict.Reason{
	oldTry: verdict.WaitTooShort, slowUpstream: verdict.WaitTooShort, silentUpstream: verdict.SessionSilent,
}

// probe sends a copy of an idempotent request to an upstream that is due to be
// measured again. Its answer is for the estimates only, so it is not cut short
// when the request is answered.
func (s *service) probe(ctx context.Context, c *call) {
	p := s.picker.Load()
	now := s.d.now()
	u := p.Probe(now, rand.Uint64())
	if u == nil {
		return
	}
	if !s.spend(s.d.opts.RetryBurst / 3) {
		u.Release(now)
		return
	}
	s.inFlight.Add(1)
	verdict.Count(verdict.Hedge, verdict.NoUpstream)
	s.d.work.enterMore()
	go func() {
		defer s.d.work.leave()
		ctx, cancel := context.WithDeadline(context.WithoutCancel(ctx), c.req.Deadline)
		defer cancel()
		s.try(ctx, c, grant{up: u, start: now})
	}()
}
