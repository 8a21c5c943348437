package routing

import "time"

// Record feeds the result of one try into the upstream's estimate and health.
// It reports whether the upstream was ejected by it.
func (p *Picker) Record(u *Upstream, s Sample) bool {
	o := &p.opts.Ejection
	switch {
	case s.Mean > 0:
		p.RecordAgentEstimate(u, s.Now, s.Mean)
	case !s.Failed:
		p.observe(u, s)
	}
	if s.Censored && !s.Failed {
		return false
	}
	switch u.Health.State(s.Now) {
	case Ejected:
		return false
	case Probation:
		return p.probation(u, s)
	}
	u.Health.record(s.Failed, int32(o.Window))
	if !s.Failed || !u.Health.failing(o) || !p.mayEject(s.Now) {
		return false
	}
	u.Health.eject(s.Now, o)
	return true
}

// probation decides on the result of a try during probation.
func (p *Picker) probation(u *Upstream, s Sample) bool {
	if s.Failed {
		u.Health.eject(s.Now, &p.opts.Ejection)
		return true
	}
	if u.Health.probation.Add(-1) <= 0 {
		u.Health.readmit()
	}
	return false
}

// mayEject reports whether one more ejection stays within the share. Upstreams
// on probation count as ejected. Two ejections at the same moment may pass the
// share by one.
func (p *Picker) mayEject(now time.Duration) bool {
	ejected := 1
	for _, u := range p.ready {
		if u.Health.State(now) != Healthy {
			ejected++
		}
	}
	return float64(ejected) <= p.opts.Ejection.MaxShare*float64(len(p.ready))
}

// Refused records a refused offer for lack of slots.
func (p *Picker) Refused(u *Upstream, now time.Duration) {
	reference := float64(p.reference.Load())
	u.Refused(now, time.Duration(reference*p.opts.RefusalBackoff), time.Duration(reference*p.opts.RefusalBackoffMax))
}

// RecordLoad records the slots in use that the agent reported; one that reports all
// slots taken gets no offer for a moment.
func (p *Picker) RecordLoad(u *Upstream, now time.Duration, inUse int32) {
	u.ReportLoad(now, inUse, u.Slots)
	if inUse >= u.Slots && int64(now) >= u.fullUntil.Load() {
		u.Block(now + time.Duration(float64(p.reference.Load())*p.opts.RefusalBackoff))
	}
}

// NextFree returns the earliest end of a pause after a refused offer at or
// after now, and false if there is none: when to pick again for the queue.
func (p *Picker) NextFree(now time.Duration) (time.Duration, bool) {
	earliest := int64(0)
	for _, u := range p.ready {
		until := u.fullUntil.Load()
		if until > int64(now) && (earliest == 0 || until < earliest) && u.InFlight.Load() < u.Slots {
			earliest = until
		}
	}
	return time.Duration(earliest), earliest != 0
}
