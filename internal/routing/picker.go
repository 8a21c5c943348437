package routing

import (
	"slices"
	"sync/atomic"
	"time"
)

// Picker makes the routing decisions for one Snapshot. It is safe for concurrent
// use.
type Picker struct {
	snapshot *Snapshot
	opts     Options
	// ready are the upstreams that may get requests, the localCount ones of the
	// local zone first.
	ready      []*Upstream
	localCount int
	// hot contains the fields that a pick reads of each ready upstream, in the order
	// of ready.
	hot   []hotUpstream
	slots int64

	slowRatio, fastRatio float32

	// reference is the reference service time in nanoseconds, see the package.
	reference   atomic.Int64
	refreshedAt atomic.Int64
}

// hotUpstream contains the fields of an Upstream that a pick reads, so that a scan
// touches one cache line less per upstream.
type hotUpstream struct {
	stats *Stats
	slots int32
	// score is what one busy slot adds to the upstream's score (lower is better); bias
	// is added outside the local zone.
	score int32
	bias  int32
}

// referenceQuantile is the share of upstreams that are faster than the reference.
// It is low so that the reference is unaffected by interference while most
// upstreams are slowed down.
const referenceQuantile = 0.25

// NewPicker returns a Picker for the snapshot. It takes over the reference service
// time of old, the service's previous picker, which may be nil.
func NewPicker(s *Snapshot, opts Options, old *Picker) *Picker {
	p := &Picker{snapshot: s, opts: opts, slowRatio: float32(opts.SlowRatio), fastRatio: float32(opts.FastRatio)}
	for _, u := range s.Upstreams {
		if u.Ready() && u.Zone == s.LocalZone {
			p.ready = append(p.ready, u)
		}
	}
	p.localCount = len(p.ready)
	for _, u := range s.Upstreams {
		if u.Ready() && u.Zone != s.LocalZone {
			p.ready = append(p.ready, u)
		}
	}
	for i, u := range p.ready {
		p.slots += int64(u.Slots)
		h := hotUpstream{stats: u.Stats, slots: u.Slots, score: scoreUnit / u.Slots}
		if i >= p.localCount {
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

// Snapshot returns the snapshot that the picker was made from.
func (p *Picker) Snapshot() *Snapshot { return p.snapshot }

// Ready returns the number of upstreams that may get requests.
func (p *Picker) Ready() int { return len(p.ready) }

// Slots returns the total number of slots of the ready upstreams.
func (p *Picker) Slots() int64 { return p.slots }

// ReferenceServiceTime returns the reference service time, see the package.
func (p *Picker) ReferenceServiceTime() time.Duration { return time.Duration(p.reference.Load()) }

// Refresh recomputes the reference service time if RefreshEvery has passed. Of
// concurrent calls, one does so. Pick does not call it.
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

// Query contains the properties of a request that a pick depends on.
type Query struct {
	Now time.Duration // monotonic
	// Remaining is the time left of the agreed wait.
	Remaining time.Duration
	// Queued is the number of requests that wait at this entry.
	Queued int
	// InFlight is the number of this entry's requests at all upstreams.
	InFlight int
	// DrainInterval is the recent mean time between two answers while requests
	// wait; 0 if there is no recent measurement.
	DrainInterval time.Duration
	// BacklogDuration is how long at least one request has been waiting without
	// interruption.
	BacklogDuration time.Duration
	// Avoid are upstreams that are not picked; entries may be nil.
	Avoid [MaxConcurrentTries - 1]*Upstream
	// AllowProbe lets the request itself probe a slow or recovering upstream
	// although a fast one is free. It is for requests that are not hedged; for those
	// that are, see Picker.Probe.
	AllowProbe bool
	// OnlyIdle limits the pick to fast upstreams that are estimated to be at most
	// about half busy (see idleScore), for optional work.
	OnlyIdle bool
	// AllowSlow requests that slow upstreams, whose estimates may be stale, are picked
	// although OnlyIdle is set. Pick does not implement it.
	AllowSlow bool
	// Random breaks ties and seeds the sample.
	Random uint64
	// Slow is set by Pick if the returned upstream is slow or being probed.
	Slow bool
}

// MaxConcurrentTries is the maximum number of concurrent tries of one request.
const MaxConcurrentTries = 3

// scoreUnit is the score of an upstream with all slots busy.
const scoreUnit = 1 << 10

// idleScore is the maximum score of an upstream that counts as idle.
const idleScore = scoreUnit * 4 / 10

// candidates are the best upstreams that a scan has found so far, and the values
// that are computed once per scan.
type candidates struct {
	fast, slow                 *Upstream
	fastScore, slowScore       int64
	slowEstimate               int64
	probe                      *Upstream
	reference                  int64
	now                        int64
	holdDepth                  int32
	reprobeNanos, loadHalfLife int64
}

// Pick returns an upstream with a request in flight acquired, or nil if the
// request should wait. It takes no lock and does not allocate.
func (p *Picker) Pick(q *Query) *Upstream {
	for range maxPickAttempts {
		u, limit := p.choose(q)
		if u == nil {
			return nil
		}
		if u.Acquire(q.Now, limit) {
			return u
		}
		q.Random = nextRandom(q.Random)
	}
	return nil
}

// maxPickAttempts limits the attempts of a pick that loses races for the last slot.
const maxPickAttempts = 4

// nextRandom returns the next state of a linear congruential generator.
func nextRandom(random uint64) uint64 { return random*6364136223846793005 + 1442695040888963407 }

// randomBelow maps the upper bits of random to a number from 0 to n-1.
func randomBelow(random uint64, n int) int { return int((random >> 32) * uint64(n) >> 32) }

// choose returns the upstream to acquire, or nil, and its limit of requests in
// flight.
func (p *Picker) choose(q *Query) (*Upstream, int32) {
	n := len(p.ready)
	if n == 0 {
		return nil, 0
	}
	reference := p.reference.Load()
	c := candidates{
		reference: reference,
		now:       int64(q.Now), reprobeNanos: int64(p.opts.ReprobeAfter), loadHalfLife: loadReportHalfLife * reference, holdDepth: int32(p.opts.HoldDepth),
	}
	if n <= p.opts.ScanLimit {
		index := randomBelow(q.Random, n)
		for range n {
			p.consider(&c, q, index)
			if index++; index == n {
				index = 0
			}
		}
	} else {
		p.sample(&c, q)
	}
	return p.selectCandidate(&c, q)
}

// maxSampleRounds is the maximum number of samples; a further one is taken while
// none contained a fast upstream with a free slot.
const maxSampleRounds = 4

// sample considers a random sample of the upstreams, half of it in the local zone.
func (p *Picker) sample(c *candidates, q *Query) {
	random := q.Random
	n := len(p.ready)
	for range maxSampleRounds {
		for i := range p.opts.SampleSize {
			random = nextRandom(random)
			if i&1 == 0 && p.localCount > 0 {
				p.consider(c, q, randomBelow(random, p.localCount))
			} else {
				p.consider(c, q, randomBelow(random, n))
			}
		}
		if c.fast != nil {
			return
		}
	}
}

// consider scores the upstream at index and updates the candidates.
func (p *Picker) consider(c *candidates, q *Query, index int) {
	h := &p.hot[index]
	u := h.stats
	own := u.InFlight.Load()
	if own >= h.slots+c.holdDepth || c.now < u.blockedUntil.Load() || q.avoids(u) {
		return
	}
	if u.silentTries.Load() > 0 || u.Health.EjectedUntilNanos.Load() != 0 {
		if own == 0 && !q.OnlyIdle && u.Health.State(q.Now) != Ejected {
			c.probe = p.ready[index]
		}
		return
	}
	slow := p.isSlow(u, c.now, c.reference)
	if c.overdue(p, u, own, slow) {
		return
	}
	busy := u.slotsInUse(own, c.now, c.loadHalfLife)
	if busy >= int64(h.slots+c.holdDepth) {
		return
	}
	score := busy * int64(h.score)
	if q.OnlyIdle && score > idleScore {
		return
	}
	score += int64(h.bias)
	if slow || u.Health.failing(&p.opts.Ejection) {
		p.considerSlow(c, q, p.ready[index], own, score)
		return
	}
	if c.fast == nil || score < c.fastScore {
		c.fast, c.fastScore = p.ready[index], score
	}
}

func (q *Query) avoids(u *Stats) bool {
	return q.Avoid[0] != nil && u == q.Avoid[0].Stats || q.Avoid[1] != nil && u == q.Avoid[1].Stats
}

// overdue is like Picker.overdue, and computes the expected service time only for
// slow upstreams.
func (c *candidates) overdue(p *Picker, u *Stats, own int32, slow bool) bool {
	if !slow {
		return float64(int64(own)*(c.now-u.lastActivityAt.Load())) > p.opts.SuspectReplies*float64(c.reference)
	}
	return p.overdue(u, own, c.now, p.expectedServiceTime(u, c.now, c.reference))
}

// considerSlow scores an upstream that is slow or failing.
func (p *Picker) considerSlow(c *candidates, q *Query, u *Upstream, own int32, score int64) {
	estimate := p.expectedServiceTime(u.Stats, c.now, c.reference)
	if u.Health.failing(&p.opts.Ejection) {
		estimate = max(estimate, minFailingServiceTimes*c.reference)
	}
	if own == 0 && !q.OnlyIdle && c.now-u.UpdatedNanos.Load() > directProbeDelay*c.reprobeNanos {
		c.probe = u
	}
	if score = (score + scoreUnit) * (estimate >> 10); c.slow == nil || score < c.slowScore {
		c.slow, c.slowScore, c.slowEstimate = u, score, estimate
	}
}

// minFailingServiceTimes is the minimum expected service time, in reference service
// times, of a failing upstream that may not be ejected. An upstream that fails fast
// would otherwise seem idle.
const minFailingServiceTimes = 4

// selectCandidate returns the best of the candidates, or nil if the request should
// wait, and its limit of requests in flight.
func (p *Picker) selectCandidate(c *candidates, q *Query) (*Upstream, int32) {
	if q.OnlyIdle {
		if c.fast != nil && c.fastScore <= idleScore {
			return c.fast, c.fast.Slots + c.holdDepth
		}
		return nil, 0
	}
	q.Slow = false
	if c.fast != nil && (!q.AllowProbe || c.probe == nil) {
		return c.fast, c.fast.Slots + c.holdDepth
	}
	q.Slow = true
	if c.probe != nil && int64(q.Remaining) > minProbeServiceTimes*c.reference {
		return c.probe, 1
	}
	if c.slow != nil && (p.preferSlow(c, q) || !p.hasFast(q)) {
		return c.slow, c.slow.Slots + c.holdDepth
	}
	return nil, 0
}

// directProbeDelay is the age of a slow upstream's estimate, in multiples of
// ReprobeAfter, at which a request itself serves as the probe. Hedged copies of
// requests (see Picker.Probe) probe it earlier, at ReprobeAfter.
const directProbeDelay = 8

// minProbeServiceTimes is the number of reference service times that must remain
// for a request to serve as a probe.
const minProbeServiceTimes = 4

// hasFast reports whether there is a healthy, fast upstream to wait for.
func (p *Picker) hasFast(q *Query) bool {
	for i := range min(len(p.ready), p.opts.ScanLimit) {
		u := p.ready[i]
		healthy := u.Health.EjectedUntilNanos.Load() == 0 && u.silentTries.Load() == 0 && !u.Health.failing(&p.opts.Ejection)
		if healthy && !q.avoids(u.Stats) && !p.Slow(u, q.Now) {
			return true
		}
	}
	return false
}

// preferSlow reports whether the expected wait for a fast upstream outweighs the
// longer service time of the slow candidate.
func (p *Picker) preferSlow(c *candidates, q *Query) bool {
	extra := float64(c.slowEstimate-c.reference) * p.opts.SlowWaitShare
	return float64(p.expectedWait(q)) >= extra
}

// expectedWait returns the expected wait of the last queued request in nanoseconds.
// It uses the measured drain interval, limited to maxDrainFactor times the interval
// that results if the requests in flight end evenly spaced.
func (p *Picker) expectedWait(q *Query) int64 {
	interval := p.reference.Load() / int64(max(1, q.InFlight))
	if q.DrainInterval > 0 {
		interval = min(int64(q.DrainInterval), maxDrainFactor*interval)
	}
	return interval * int64(q.Queued)
}

// maxDrainFactor limits the measured interval, which is too long after a period of
// low load.
const maxDrainFactor = 2

// Admit reports whether a request at the end of the queue can be answered within
// its remaining wait. A short burst may fill the queue further than a lasting
// overload.
func (p *Picker) Admit(q *Query) bool {
	times := p.opts.AdmitServiceTimes
	if q.BacklogDuration < q.Remaining*burstPercent/100 {
		times = p.opts.AdmitBurstServiceTimes
	}
	reserve := min(times*float64(p.reference.Load()), float64(q.Remaining)/2)
	return float64(p.expectedWait(q))+reserve <= float64(q.Remaining)
}

// burstPercent is the maximum backlog duration that counts as a burst, in percent
// of the remaining wait.
const burstPercent = 150

// loadReportHalfLife is the age, in reference service times, at which the reported
// slots in use by other entries count for half.
const loadReportHalfLife = 8
