package routing

import "time"

// overdue reports whether the upstream has missed more answers than chance
// explains.
func (p *Picker) overdue(u *Stats, own int32, now, estimate int64) bool {
	silence := now - u.activeAt.Load()
	return float64(int64(own)*silence) > p.opts.SuspectReplies*float64(max(estimate, p.reference.Load()))
}

// Suspect reports whether the upstream seems to have stopped answering.
func (p *Picker) Suspect(u *Upstream, now time.Duration) bool {
	if u.silences.Load() > 0 {
		return true
	}
	own := u.InFlight.Load()
	return own > 0 && p.overdue(u.Stats, own, int64(now), p.serviceTime(u.Stats, int64(now), p.reference.Load()))
}

// MaybeSlow reports whether the upstream seems slower than the others, with
// less evidence than it takes to avoid it.
func (p *Picker) MaybeSlow(u *Upstream, now time.Duration) bool {
	return p.ratio(u, now) > p.opts.DoubtRatio
}

// Probe returns an upstream that is due a request to measure it again, with
// that request acquired, or nil. The request should be a copy of one that is
// sent elsewhere too.
func (p *Picker) Probe(now time.Duration, random uint64) *Upstream {
	n := len(p.ready)
	if n == 0 {
		return nil
	}
	at := below(random, n)
	for range min(n, p.opts.ScanLimit) {
		if u := p.ready[at]; p.probeDue(u, now) && u.Acquire(now, 1) {
			return u
		}
		if at++; at == n {
			at = 0
		}
	}
	return nil
}

// probeDue reports whether one request should measure the upstream.
func (p *Picker) probeDue(u *Upstream, now time.Duration) bool {
	if u.InFlight.Load() != 0 || int64(now) < u.fullUntil.Load() {
		return false
	}
	if u.Health.EjectedUntilNanos.Load() != 0 {
		return u.Health.State(now) == Probation
	}
	if u.silences.Load() > 0 {
		return true
	}
	return int64(now)-u.UpdatedNanos.Load() >= int64(p.opts.ReprobeAfter) &&
		p.Slow(u, now)
}
