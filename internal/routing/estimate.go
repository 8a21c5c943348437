package routing

import (
	"math"
	"sync/atomic"
	"time"
)

// estimate is a decayed count of answers and of the time that upstream slots
// were seen busy for them. Their ratio is the service time, also when tries are
// given up before their answer: those add time and no answer.
type estimate struct {
	// packed has the busy time in nanoseconds and the answers as two float32.
	packed atomic.Uint64
}

func pack(busy, answers float32) uint64 {
	return uint64(math.Float32bits(busy))<<32 | uint64(math.Float32bits(answers))
}

func (e *estimate) load() (busy, answers float32) {
	v := e.packed.Load()
	return math.Float32frombits(uint32(v >> 32)), math.Float32frombits(uint32(v))
}

// add decays what was known by keep and adds busy time and answers.
func (e *estimate) add(busy, answers, keep float32) {
	for {
		old := e.packed.Load()
		b := math.Float32frombits(uint32(old >> 32))
		a := math.Float32frombits(uint32(old))
		if e.packed.CompareAndSwap(old, pack(b*keep+busy, a*keep+answers)) {
			return
		}
	}
}

// winsorRatio bounds one answer's ratio to the mean, so that one very long
// request does not make its upstream look slow.
const winsorRatio = 6

// observe feeds the estimate with the end of one try.
func (p *Picker) observe(u *Upstream, s Sample) {
	reference := p.reference.Load()
	mean := max(u.ServiceNanos.Load(), reference)
	busy, answers := float32(min(int64(s.Service), mean*winsorRatio)), float32(1)
	keep := 1 - 1/float32(p.opts.EstimateWeight)
	if s.Censored {
		answers, keep = 0, 1
	}
	last := u.UpdatedNanos.Swap(int64(s.Now))
	age := float64(max(0, int64(s.Now)-last)) / (p.opts.EstimateAge * float64(reference))
	u.estimate.add(busy, answers, min(keep, float32(math.Exp(-age))))
	if busy, answers := u.estimate.load(); answers > 0 {
		u.ServiceNanos.Store(max(1, int64(busy/answers)))
	}
	p.judge(u.Stats, s.Now)
	if s.Service < time.Duration(mean/2) && p.Slow(u, s.Now) {
		// The next probe is due at once.
		u.UpdatedNanos.CompareAndSwap(int64(s.Now), int64(s.Now-p.opts.ReprobeAfter))
	}
}

// RecordAgentEstimate takes over the agent's own estimate of the service time, which knows the
// requests of all entries.
func (p *Picker) RecordAgentEstimate(u *Upstream, now, mean time.Duration) {
	if mean <= 0 {
		return
	}
	weight := float32(p.opts.EstimateWeight)
	u.UpdatedNanos.Store(int64(now))
	u.ServiceNanos.Store(int64(mean))
	u.estimate.packed.Store(pack(float32(mean)*weight, weight))
	p.judge(u.Stats, now)
}

// priorAnswers is the weight, in answers, of the belief that an upstream is as
// fast as the reference.
const priorAnswers = 2

// serviceTime returns the service time to expect of u in nanoseconds, from its
// answers and from the ages of its requests in flight.
func (p *Picker) serviceTime(u *Stats, now, reference int64) int64 {
	busy, answers := u.estimate.load()
	busy += float32(u.excessAge(now, reference) + priorAnswers*reference)
	return int64(busy / (answers + priorAnswers))
}

// slower reports whether u is slow, without a division. An upstream that was
// found slow has to be clearly faster to count as fast again.
func (p *Picker) slower(u *Stats, now, reference int64) bool {
	busy, answers := u.estimate.load()
	busy += float32(u.excessAge(now, reference) + priorAnswers*reference)
	limit := p.slowRatio
	if u.slow.Load() {
		limit = p.fastRatio
	}
	return busy > limit*float32(reference)*(answers+priorAnswers)
}

// judge keeps what the newest estimate says.
func (p *Picker) judge(u *Stats, now time.Duration) {
	if slow := p.slower(u, int64(now), p.reference.Load()); slow != u.slow.Load() {
		u.slow.Store(slow)
	}
}

// Slow reports whether the upstream is to be avoided for its service time.
func (p *Picker) Slow(u *Upstream, now time.Duration) bool {
	return p.slower(u.Stats, int64(now), p.reference.Load())
}

// ratio returns the service time to expect of u in reference service times.
func (p *Picker) ratio(u *Upstream, now time.Duration) float64 {
	reference := p.reference.Load()
	return float64(p.serviceTime(u.Stats, int64(now), reference)) / float64(reference)
}
