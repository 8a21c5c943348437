package dispatch

import (
	"context"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	"bamboowood/internal/routing"
	"bamboowood/internal/verdict"
)

// service holds the state of one service at this entry.
type service struct {
	d       *Dispatcher
	name    string
	metrics *serviceMetrics
	picker  atomic.Pointer[routing.Picker]
	// inFlight is the number of grants of this entry at all upstreams.
	inFlight   atomic.Int32
	queued     atomic.Int32
	budget     routing.RetryBudget
	drainMeter routing.DrainMeter

	// mu guards the queue and the timer. A request locks it only if no slot is free.
	mu    sync.Mutex
	queue queue
	timer *time.Timer
}

func newService(d *Dispatcher, name string) *service {
	s := &service{d: d, name: name, metrics: newServiceMetrics(name)}
	s.queue.order = d.opts.QueueOrder
	return s
}

// acquire returns a grant of a slot. If no slot is free, it waits in the queue. The
// outcome of the error is NotRun.
func (s *service) acquire(ctx context.Context, c *call) (grant, *verdict.Error) {
	p := s.picker.Load()
	now := s.d.now()
	q := s.query(now, c.deadline, c.avoid)
	q.AllowProbe = !c.req.Idempotent
	if q.Queued == 0 && q.Remaining > 0 {
		if u := p.Pick(&q); u != nil {
			s.inFlight.Add(1)
			return grant{up: u, start: now}, nil
		}
	}
	if !c.admitted {
		if reason, ok := s.mayQueue(p, q); !ok {
			return grant{}, verdict.New(verdict.NotRun, reason, nil)
		}
	}
	return s.wait(ctx, c, p, q)
}

// mayQueue reports whether one more request may wait for a slot, and if not, the
// reason.
func (s *service) mayQueue(p *routing.Picker, q routing.Query) (verdict.Reason, bool) {
	q.Queued++
	switch {
	case p.Ready() == 0:
		return verdict.NoUpstream, false
	case q.Remaining <= 0:
		return verdict.WaitExpired, false
	case q.Queued > s.d.opts.QueueLimit:
		return verdict.QueueFull, false
	case s.d.opts.Admission && !p.Admit(&q):
		return verdict.WaitTooShort, false
	}
	return "", true
}

// admit returns an error if the request would be refused by the queue.
func (s *service) admit(deadline time.Time) *verdict.Error {
	now := s.d.now()
	q := s.query(now, now+time.Until(deadline), nil)
	if reason, ok := s.mayQueue(s.picker.Load(), q); !ok {
		return verdict.New(verdict.NotRun, reason, nil)
	}
	return nil
}

func (s *service) query(now, deadline time.Duration, avoid *routing.Upstream) routing.Query {
	return routing.Query{
		Now: now, Remaining: deadline - now, Queued: int(s.queued.Load()),
		InFlight: int(s.inFlight.Load()), DrainInterval: s.drainMeter.Interval(now), BacklogDuration: s.drainMeter.BacklogDuration(now), Avoid: [2]*routing.Upstream{avoid}, Random: rand.Uint64(),
	}
}

// wait queues the call until it is granted a slot. Admission is checked again under
// the lock, because many concurrent calls may have read the same short queue length.
func (s *service) wait(ctx context.Context, c *call, p *routing.Picker, q routing.Query) (grant, *verdict.Error) {
	w := &waiter{deadline: c.deadline, avoid: c.avoid, granted: make(chan grant, 1)}
	s.mu.Lock()
	if !c.admitted {
		q.Queued = int(s.queued.Load())
		if reason, ok := s.mayQueue(p, q); !ok {
			s.mu.Unlock()
			return grant{}, verdict.New(verdict.NotRun, reason, nil)
		}
		c.admitted = true
	}
	s.queue.add(w)
	s.queued.Add(1)
	s.grantSlotsLocked()
	s.mu.Unlock()

	select {
	case g := <-w.granted:
		if g.up == nil {
			return g, verdict.New(verdict.NotRun, verdict.WaitExpired, nil)
		}
		return g, nil
	case <-ctx.Done():
	}
	s.mu.Lock()
	if w.index >= 0 {
		s.queue.remove(w)
		s.queued.Add(-1)
		s.mu.Unlock()
	} else {
		s.mu.Unlock()
		if g := <-w.granted; g.up != nil {
			s.release(g)
		}
	}
	return grant{}, verdict.New(verdict.NotRun, contextReason(ctx), ctx.Err())
}

// release returns the slot of a grant and offers it to the queue.
func (s *service) release(g grant) {
	g.up.Release(g.start)
	s.inFlight.Add(-1)
	s.grantSlots()
}

// grantSlots grants free slots to queued requests.
func (s *service) grantSlots() {
	if s.queued.Load() == 0 {
		return
	}
	s.mu.Lock()
	s.grantSlotsLocked()
	s.mu.Unlock()
}

func (s *service) grantSlotsLocked() {
	p := s.picker.Load()
	now := s.d.now()
	expire := time.Duration(float64(p.ReferenceServiceTime()) * s.d.opts.ExpireServiceTimes)
	for s.queue.Len() > 0 {
		head := s.queue.waiters[0]
		if head.deadline-now < expire {
			s.grant(head, grant{})
			continue
		}
		q := s.query(now, head.deadline, head.avoid)
		u := p.Pick(&q)
		if u == nil {
			break
		}
		// A slow upstream serves the request with the most time left.
		if q.Slow {
			head = s.queue.latest()
		}
		s.inFlight.Add(1)
		s.grant(head, grant{up: u, start: now})
	}
	s.scheduleGrant(p, now)
}

func (s *service) grant(w *waiter, g grant) {
	s.queue.remove(w)
	s.queued.Add(-1)
	w.granted <- g
}

// scheduleGrant sets the timer for the next call of grantSlots while requests are
// queued.
func (s *service) scheduleGrant(p *routing.Picker, now time.Duration) {
	if s.queue.Len() == 0 {
		if s.timer != nil {
			s.timer.Stop()
		}
		return
	}
	pause := max(p.ReferenceServiceTime(), time.Millisecond)
	if at, ok := p.NextFree(now); ok {
		pause = min(pause, max(at-now, minGrantInterval))
	}
	if s.timer == nil {
		s.timer = time.AfterFunc(pause, s.grantSlots)
		return
	}
	s.timer.Reset(pause)
}

// minGrantInterval is the minimum interval at which a queue checks for free slots.
const minGrantInterval = 100 * time.Microsecond
