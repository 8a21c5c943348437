package routing

import (
	"slices"
	"sync/atomic"
	"time"
)

// Picker answers for one Snapshot. It is safe for use by many goroutines.
type Picker struct {
	snapshot *Snapshot
	opts     Options
	// ready has the upstreams that may get requests, those of the local zone
	// first.
	ready []*Upstream
	local int
	// hot is what a pick reads of each ready upstream.
	hot   []hotUpstream
	slots int64

	slowRatio, fastRatio float32

	// reference is the service time in nanoseconds of a fast upstream.
	reference   atomic.Int64
	refreshedAt atomic.Int64
}

// hotUpstream is an Upstream in one cache line less.
type hotUpstream struct {
	stats *Stats
	slots int32
	// score is that of one busy slot, bias what is added outside the local zone.
	score int32
	bias  int32
}

// referenceQuantile is the share of upstreams that are faster than the
// reference: low enough that it is undisturbed while most are disturbed.
const referenceQuantile = 0.25

// NewPicker prepares a snapshot for picks. old is the service's picker before,
// or nil.
func NewPicker(s *Snapshot, opts Options, old *Picker) *Picker {
	p := &Picker{snapshot: s, opts: opts, slowRatio: float32(opts.SlowRatio), fastRatio: float32(opts.FastRatio)}
	for _, u := range s.Upstreams {
		if u.Ready() && u.Zone == s.LocalZone {
			p.ready = append(p.ready, u)
		}
	}
	p.local = len(p.ready)
	for _, u := range s.Upstreams {
		if u.Ready() && u.Zone != s.LocalZone {
			p.ready = append(p.ready, u)
		}
	}
	for i, u := range p.ready {
		p.slots += int64(u.Slots)
		h := hotUpstream{stats: u.Stats, slots: u.Slots, score: scoreUnit / u.Slots}
		if i >= p.local {
			h.bias = int32(opts.LocalBias * scoreUnit)
		}
		p.hot = append(p.hot, h)
	}
	p.reference.Store(int64(opts.InitialService))
	if old != nil {
		p.reference.Store(old.reference.Load())
	}
	return p
}

// Snapshot returns what the picker was made from.
func (p *Picker) Snapshot() *Snapshot { return p.snapshot }

// Ready returns the number of upstreams that may get requests.
func (p *Picker) Ready() int { return len(p.ready) }

// Slots returns the number of slots of the ready upstreams.
func (p *Picker) Slots() int64 { return p.slots }

// ReferenceServiceTime returns the service time of a fast upstream.
func (p *Picker) ReferenceServiceTime() time.Duration { return time.Duration(p.reference.Load()) }

// Refresh recomputes the reference service time if it is due. One caller at a
// time does so; it is not part of a pick.
func (p *Picker) Refresh(now time.Duration) {
	last := p.refreshedAt.Load()
	if int64(now)-last < int64(p.opts.RefreshEvery) || !p.refreshedAt.CompareAndSwap(last, int64(now)) {
		return
	}
	estimates := make([]int64, 0, len(p.ready))
	for _, u := range p.ready {
		if mean := u.ServiceNanos.Load(); mean > 0 {
			estimates = append(estimates, mean)
		}
	}
	if len(estimates) == 0 {
		return
	}
	slices.Sort(estimates)
	p.reference.Store(estimates[int(float64(len(estimates)-1)*referenceQuantile)])
}

// Query is what a pick needs to know of the request.
type Query struct {
	Now time.Duration // monotonic
	// Remaining is what is left of the agreed wait.
	Remaining time.Duration
	// Queued is the number of requests that wait at this entry.
	Queued int
	// InFlight is the number of this entry's requests at all upstreams.
	InFlight int
	// DrainInterval is the recent time between two answers while requests wait;
	// 0 when it is not known.
	DrainInterval time.Duration
	// BacklogDuration is for how long requests have waited without a break.
	BacklogDuration time.Duration
	// Avoid are not picked; they may be nil.
	Avoid [MaxConcurrentTries - 1]*Upstream
	// AllowProbe lets the request itself measure a doubtful upstream although a good
	// one is free: for requests that are not copied (see Probe).
	AllowProbe bool
	// OnlyIdle limits the pick to fast upstreams that seem at most half busy,
	// for work that is not needed.
	OnlyIdle bool
	// AllowSlow widens OnlyIdle to slow upstreams, whose estimates may be stale.
	AllowSlow bool
	// Random decides between equals.
	Random uint64
	// Slow is set by Pick when it chose an upstream whose answer may take long.
	Slow bool
}

// MaxConcurrentTries bounds the concurrent tries of one request.
const MaxConcurrentTries = 3

// scoreUnit is the score of an upstream with all slots busy.
const scoreUnit = 1 << 10

// idleScore is the greatest score of an upstream that seems idle.
const idleScore = scoreUnit * 4 / 10

// candidates are the best upstreams that a scan has seen.
type candidates struct {
	fast, slow             *Upstream
	fastScore, slowScore   int64
	slowEstimate           int64
	probe                  *Upstream
	reference              int64
	now                    int64
	depth                  int32
	reprobeNanos, halfLife int64
}

// Pick returns an upstream with a request in flight acquired, or nil when the
// request should wait. It takes no lock and allocates nothing.
func (p *Picker) Pick(q *Query) *Upstream {
	for range pickTries {
		u, limit := p.choose(q)
		if u == nil {
			return nil
		}
		if u.Acquire(q.Now, limit) {
			return u
		}
		q.Random = next(q.Random)
	}
	return nil
}

// pickTries bounds the picks that lose a race for the last slot.
const pickTries = 4

// next is one step of a linear congruential generator.
func next(random uint64) uint64 { return random*6364136223846793005 + 1442695040888963407 }

// below returns a number from 0 to n-1 by the upper bits of random.
func below(random uint64, n int) int { return int((random >> 32) * uint64(n) >> 32) }

// choose returns the upstream to take and the limit of requests in flight.
func (p *Picker) choose(q *Query) (*Upstream, int32) {
	n := len(p.ready)
	if n == 0 {
		return nil, 0
	}
	reference := p.reference.Load()
	c := candidates{
		reference: reference,
		now:       int64(q.Now), reprobeNanos: int64(p.opts.ReprobeAfter), halfLife: othersHalfLife * reference, depth: int32(p.opts.HoldDepth),
	}
	if n <= p.opts.ScanLimit {
		at := below(q.Random, n)
		for range n {
			p.look(&c, q, at)
			if at++; at == n {
				at = 0
			}
		}
	} else {
		p.sample(&c, q)
	}
	return p.decide(&c, q)
}

// sampleRounds bounds the samples taken when no free upstream is in the first.
const sampleRounds = 4

// sample looks at some of the upstreams, half of them in the local zone.
func (p *Picker) sample(c *candidates, q *Query) {
	random := q.Random
	n := len(p.ready)
	for range sampleRounds {
		for i := range p.opts.SampleSize {
			random = next(random)
			if i&1 == 0 && p.local > 0 {
				p.look(c, q, below(random, p.local))
			} else {
				p.look(c, q, below(random, n))
			}
		}
		if c.fast != nil {
			return
		}
	}
}

// look weighs one upstream.
func (p *Picker) look(c *candidates, q *Query, at int) {
	h := &p.hot[at]
	u := h.stats
	own := u.InFlight.Load()
	if own >= h.slots+c.depth || c.now < u.fullUntil.Load() || q.avoids(u) {
		return
	}
	if u.silences.Load() > 0 || u.Health.EjectedUntilNanos.Load() != 0 {
		if own == 0 && !q.OnlyIdle && u.Health.State(q.Now) != Ejected {
			c.probe = p.ready[at]
		}
		return
	}
	slow := p.slower(u, c.now, c.reference)
	if c.overdue(p, u, own, slow) {
		return
	}
	busy := u.busy(own, c.now, c.halfLife)
	if busy >= int64(h.slots+c.depth) {
		return
	}
	score := busy * int64(h.score)
	if q.OnlyIdle && score > idleScore {
		return
	}
	score += int64(h.bias)
	if slow || u.Health.failing(&p.opts.Ejection) {
		p.lookSlow(c, q, p.ready[at], own, score)
		return
	}
	if c.fast == nil || score < c.fastScore {
		c.fast, c.fastScore = p.ready[at], score
	}
}

func (q *Query) avoids(u *Stats) bool {
	return q.Avoid[0] != nil && u == q.Avoid[0].Stats || q.Avoid[1] != nil && u == q.Avoid[1].Stats
}

// overdue is Picker.overdue for a pick.
func (c *candidates) overdue(p *Picker, u *Stats, own int32, slow bool) bool {
	if !slow {
		return float64(int64(own)*(c.now-u.activeAt.Load())) > p.opts.SuspectReplies*float64(c.reference)
	}
	return p.overdue(u, own, c.now, p.serviceTime(u, c.now, c.reference))
}

// lookSlow weighs an upstream that is slow or fails.
func (p *Picker) lookSlow(c *candidates, q *Query, u *Upstream, own int32, score int64) {
	estimate := p.serviceTime(u.Stats, c.now, c.reference)
	if u.Health.failing(&p.opts.Ejection) {
		estimate = max(estimate, failingServiceTimes*c.reference)
	}
	if own == 0 && !q.OnlyIdle && c.now-u.UpdatedNanos.Load() > directProbe*c.reprobeNanos {
		c.probe = u
	}
	if score = (score + scoreUnit) * (estimate >> 10); c.slow == nil || score < c.slowScore {
		c.slow, c.slowScore, c.slowEstimate = u, score, estimate
	}
}

// failingServiceTimes is the least service time, in reference service times, of
// an upstream that fails and may not be ejected: failing fast is not being idle.
const failingServiceTimes = 4

// decide chooses between the best candidates.
func (p *Picker) decide(c *candidates, q *Query) (*Upstream, int32) {
	if q.OnlyIdle {
		if c.fast != nil && c.fastScore <= idleScore {
			return c.fast, c.fast.Slots + c.depth
		}
		return nil, 0
	}
	q.Slow = false
	if c.fast != nil && (!q.AllowProbe || c.probe == nil) {
		return c.fast, c.fast.Slots + c.depth
	}
	q.Slow = true
	if c.probe != nil && int64(q.Remaining) > probeServiceTimes*c.reference {
		return c.probe, 1
	}
	if c.slow != nil && (p.worthSlow(c, q) || !p.anyFast(q)) {
		return c.slow, c.slow.Slots + c.depth
	}
	return nil, 0
}

// directProbe is how much longer than a copy a request itself waits before it
// measures a slow upstream, in ReprobeAfter.
const directProbe = 8

// probeServiceTimes is how many reference service times must remain for a
// request to be used to measure a doubtful upstream.
const probeServiceTimes = 4

// anyFast reports whether there is a fast upstream to wait for.
func (p *Picker) anyFast(q *Query) bool {
	for i := range min(len(p.ready), p.opts.ScanLimit) {
		u := p.ready[i]
		healthy := u.Health.EjectedUntilNanos.Load() == 0 && u.silences.Load() == 0 && !u.Health.failing(&p.opts.Ejection)
		if healthy && !q.avoids(u.Stats) && !p.Slow(u, q.Now) {
			return true
		}
	}
	return false
}

// worthSlow reports whether the expected wait for a fast upstream outweighs the
// slow one's longer service.
func (p *Picker) worthSlow(c *candidates, q *Query) bool {
	extra := float64(c.slowEstimate-c.reference) * p.opts.SlowWaitShare
	return float64(p.expectedWait(q)) >= extra
}

// expectedWait returns how long the last of the queued requests waits, in
// nanoseconds: by the measured interval at which the queue gets slots, but at
// most drainSlack times what it is if the requests in flight end one after
// another.
func (p *Picker) expectedWait(q *Query) int64 {
	interval := p.reference.Load() / int64(max(1, q.InFlight))
	if q.DrainInterval > 0 {
		interval = min(int64(q.DrainInterval), drainSlack*interval)
	}
	return interval * int64(q.Queued)
}

// drainSlack bounds the measured interval, which is too long after a lull.
const drainSlack = 2

// Admit reports whether a request that would be the last of queued can be
// answered in what remains of its wait. A short burst may fill the queue further
// than a lasting overload.
func (p *Picker) Admit(q *Query) bool {
	times := p.opts.AdmitServiceTimes
	if q.BacklogDuration < q.Remaining*burstPercent/100 {
		times = p.opts.AdmitBurstServiceTimes
	}
	need := min(times*float64(p.reference.Load()), float64(q.Remaining)/2)
	return float64(p.expectedWait(q))+need <= float64(q.Remaining)
}

// burstPercent is the length of a burst as a share of the remaining wait.
const burstPercent = 150

// othersHalfLife is the age, in reference service times, at which a report of
// what other entries hold is believed by half.
const othersHalfLife = 8
