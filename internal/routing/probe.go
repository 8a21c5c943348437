package routing

import "time"

// overdue reports whether the upstream has been inactive for longer than
// SuspectReplies answers should take, given the number of own requests in flight and
// an estimated service time in nanoseconds.
func (p *Picker) overdue(u *Stats, own int32, now, estimate int64) bool {
	silence := now - u.lastActivityAt.Load()
	return float64(int64(own)*silence) > p.opts.SuspectReplies*float64(max(estimate, p.reference.Load()))
}

// Suspect reports whether the upstream is suspected of having stopped answering.
func (p *Picker) Suspect(u *Upstream, now time.Duration) bool {
	if u.silentTries.Load() > 0 {
		return true
	}
	own := u.InFlight.Load()
	return own > 0 && p.overdue(u.Stats, own, int64(now), p.expectedServiceTime(u.Stats, int64(now), p.reference.Load()))
}

// MaybeSlow reports whether the upstream is possibly slow: its service time exceeds
// DoubtRatio times the reference. It needs less evidence than Slow.
func (p *Picker) MaybeSlow(u *Upstream, now time.Duration) bool {
	return p.relativeServiceTime(u, now) > p.opts.DoubtRatio
}

// Probe returns an upstream that is due for a probe request, with that request
// acquired, or nil. The probe should be a copy of a request that is also sent to
// another upstream.
func (p *Picker) Probe(now time.Duration, random uint64) *Upstream {
	n := len(p.ready)
	if n == 0 {
		return nil
	}
	index := randomBelow(random, n)
	for range min(n, p.opts.ScanLimit) {
		if u := p.ready[index]; p.probeDue(u, now) && u.Acquire(now, 1) {
			return u
		}
		if index++; index == n {
			index = 0
		}
	}
	return nil
}

// probeDue reports whether a probe request should be sent to the upstream.
func (p *Picker) probeDue(u *Upstream, now time.Duration) bool {
	if u.InFlight.Load() != 0 || int64(now) < u.blockedUntil.Load() {
		return false
	}
	if u.Health.EjectedUntilNanos.Load() != 0 {
		return u.Health.State(now) == Probation
	}
	if u.silentTries.Load() > 0 {
		return true
	}
	return int64(now)-u.UpdatedNanos.Load() >= int64(p.opts.ReprobeAfter) &&
		p.Slow(u, now)
}
