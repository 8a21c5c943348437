package routing

import (
	"math"
	"sync/atomic"
	"time"
)

// estimate holds the exponentially decayed number of answers and the busy time of
// upstream slots. Their ratio is the service time. It stays valid when tries are
// abandoned before their answer: an abandoned try adds busy time and no answer.
type estimate struct {
	// packed contains the busy time in nanoseconds (upper half) and the number of
	// answers (lower half), both as float32.
	packed atomic.Uint64
}

func pack(busy, answers float32) uint64 {
	return uint64(math.Float32bits(busy))<<32 | uint64(math.Float32bits(answers))
}

func (e *estimate) load() (busy, answers float32) {
	v := e.packed.Load()
	return math.Float32frombits(uint32(v >> 32)), math.Float32frombits(uint32(v))
}

// add multiplies both values by decay and adds busy time and answers.
func (e *estimate) add(busy, answers, decay float32) {
	for {
		old := e.packed.Load()
		b := math.Float32frombits(uint32(old >> 32))
		a := math.Float32frombits(uint32(old))
		if e.packed.CompareAndSwap(old, pack(b*decay+busy, a*decay+answers)) {
			return
		}
	}
}

// winsorRatio is the maximum ratio of one service time to the mean. Longer ones
// are clamped, so that one very long request does not make its upstream slow.
const winsorRatio = 6

// observe updates the estimate with the result of one try.
func (p *Picker) observe(u *Upstream, s Sample) {
	reference := p.reference.Load()
	mean := max(u.ServiceNanos.Load(), reference)
	busy, answers := float32(min(int64(s.Service), mean*winsorRatio)), float32(1)
	decay := 1 - 1/float32(p.opts.EstimateWeight)
	if s.Censored {
		answers, decay = 0, 1
	}
	last := u.UpdatedNanos.Swap(int64(s.Now))
	age := float64(max(0, int64(s.Now)-last)) / (p.opts.EstimateAge * float64(reference))
	u.estimate.add(busy, answers, min(decay, float32(math.Exp(-age))))
	if busy, answers := u.estimate.load(); answers > 0 {
		u.ServiceNanos.Store(max(1, int64(busy/answers)))
	}
	p.updateSlow(u.Stats, s.Now)
	if s.Service < time.Duration(mean/2) && p.Slow(u, s.Now) {
		// A slow upstream gave a fast answer: make its next probe due immediately.
		u.UpdatedNanos.CompareAndSwap(int64(s.Now), int64(s.Now-p.opts.ReprobeAfter))
	}
}

// RecordAgentEstimate replaces the estimate by the agent's own mean service time,
// which covers the requests of all entries. It ignores a mean that is not positive.
func (p *Picker) RecordAgentEstimate(u *Upstream, now, mean time.Duration) {
	if mean <= 0 {
		return
	}
	weight := float32(p.opts.EstimateWeight)
	u.UpdatedNanos.Store(int64(now))
	u.ServiceNanos.Store(int64(mean))
	u.estimate.packed.Store(pack(float32(mean)*weight, weight))
	p.updateSlow(u.Stats, now)
}

// priorAnswers is the weight, in answers, of the prior that an upstream is as fast
// as the reference.
const priorAnswers = 2

// expectedServiceTime returns the expected service time of u in nanoseconds, from
// its answers and from the ages of its requests in flight.
func (p *Picker) expectedServiceTime(u *Stats, now, reference int64) int64 {
	busy, answers := u.estimate.load()
	busy += float32(u.excessAge(now, reference) + priorAnswers*reference)
	return int64(busy / (answers + priorAnswers))
}

// isSlow reports whether u is slow, without a division. The two thresholds form a
// hysteresis: a slow upstream becomes fast only below FastRatio.
func (p *Picker) isSlow(u *Stats, now, reference int64) bool {
	busy, answers := u.estimate.load()
	busy += float32(u.excessAge(now, reference) + priorAnswers*reference)
	limit := p.slowRatio
	if u.slow.Load() {
		limit = p.fastRatio
	}
	return busy > limit*float32(reference)*(answers+priorAnswers)
}

// updateSlow updates the slow flag of u from its current estimate.
func (p *Picker) updateSlow(u *Stats, now time.Duration) {
	if slow := p.isSlow(u, int64(now), p.reference.Load()); slow != u.slow.Load() {
		u.slow.Store(slow)
	}
}

// Slow reports whether the upstream's service time is too long for it to be
// preferred.
func (p *Picker) Slow(u *Upstream, now time.Duration) bool {
	return p.isSlow(u.Stats, int64(now), p.reference.Load())
}

// relativeServiceTime returns the expected service time of u as a multiple of the
// reference service time.
func (p *Picker) relativeServiceTime(u *Upstream, now time.Duration) float64 {
	reference := p.reference.Load()
	return float64(p.expectedServiceTime(u.Stats, int64(now), reference)) / float64(reference)
}
