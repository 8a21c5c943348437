package routing

import "time"

// Record updates the upstream's estimate and health with the result of one try. It
// reports whether the result caused an ejection.
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
		return p.recordProbation(u, s)
	}
	u.Health.record(s.Failed, int32(o.Window))
	if !s.Failed || !u.Health.failing(o) || !p.mayEject(s.Now) {
		return false
	}
	u.Health.eject(s.Now, o)
	return true
}

// recordProbation records the result of a try during probation and reports whether
// the upstream was ejected again.
func (p *Picker) recordProbation(u *Upstream, s Sample) bool {
	if s.Failed {
		u.Health.eject(s.Now, &p.opts.Ejection)
		return true
	}
	if u.Health.probationLeft.Add(-1) <= 0 {
		u.Health.readmit()
	}
	return false
}

// mayEject reports whether one more ejection stays within MaxShare. Upstreams on
// probation count as ejected. Two concurrent ejections may exceed the share by
// one.
func (p *Picker) mayEject(now time.Duration) bool {
	ejected := 1
	for _, u := range p.ready {
		if u.Health.State(now) != Healthy {
			ejected++
		}
	}
	return float64(ejected) <= p.opts.Ejection.MaxShare*float64(len(p.ready))
}

// Refused records that the agent refused an offer because its slots were taken.
func (p *Picker) Refused(u *Upstream, now time.Duration) {
	reference := float64(p.reference.Load())
	u.Refused(now, time.Duration(reference*p.opts.RefusalBackoff), time.Duration(reference*p.opts.RefusalBackoffMax))
}

// RecordLoad records the slots in use that the agent reported; a negative number
// means no report. An agent with all slots in use gets no offers for
// RefusalBackoff.
func (p *Picker) RecordLoad(u *Upstream, now time.Duration, inUse int32) {
	u.RecordLoad(now, inUse, u.Slots)
	if inUse >= u.Slots && int64(now) >= u.blockedUntil.Load() {
		u.Block(now + time.Duration(float64(p.reference.Load())*p.opts.RefusalBackoff))
	}
}

// NextFree returns the time at which to pick again for the queue: the earliest end,
// after now, of a pause of an upstream with fewer requests in flight than slots. It
// returns false if there is none.
func (p *Picker) NextFree(now time.Duration) (time.Duration, bool) {
	earliest := int64(0)
	for _, u := range p.ready {
		until := u.blockedUntil.Load()
		if until > int64(now) && (earliest == 0 || until < earliest) && u.InFlight.Load() < u.Slots {
			earliest = until
		}
	}
	return time.Duration(earliest), earliest != 0
}
