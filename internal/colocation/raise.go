package colocation

import (
	"maps"
	"math"
	"time"
)

const (
	// raiseHold is how long a kind's shares are not raised again to a share that made a
	// service too slow. It doubles with each repetition, up to maxRaiseHold.
	raiseHold    = time.Minute
	maxRaiseHold = 16 * time.Minute
)

// raises records which raised shares made a service too slow. The estimates alone do not
// prevent that such a raise is repeated: they are log-linear in the share, and the slowdown
// of a service may set in at a threshold.
type raises struct {
	// pending has the shares to which kinds were raised since the last measurement that
	// was on time.
	pending map[string]float64
	failed  map[string]failedRaise
}

// failedRaise is a share that made a service too slow.
type failedRaise struct {
	share float64
	// until is the end of the hold. The record is kept for another hold, so that a repetition
	// after it is recognised.
	hold, until time.Duration
}

func newRaises() raises {
	return raises{pending: map[string]float64{}, failed: map[string]failedRaise{}}
}

// add records that actions raise shares.
func (r *raises) add(actions []Action) {
	for _, a := range actions {
		r.pending[a.TaskName] = max(r.pending[a.TaskName], a.Share)
	}
}

// succeed records a measurement that was on time.
func (r *raises) succeed() { clear(r.pending) }

// fail records that actions lower shares because a service was too slow at now.
func (r *raises) fail(now time.Duration, actions []Action) {
	maps.DeleteFunc(r.failed, func(_ string, f failedRaise) bool { return now >= f.until+f.hold })
	for _, a := range actions {
		share, ok := r.pending[a.TaskName]
		if !ok {
			continue
		}
		delete(r.pending, a.TaskName)
		hold := raiseHold
		if last, ok := r.failed[a.TaskName]; ok {
			hold = min(2*last.hold, maxRaiseHold)
		}
		r.failed[a.TaskName] = failedRaise{share: share, hold: hold, until: now + hold}
	}
}

// limit returns the share below which the shares of a kind must stay at now; it is infinite
// if there is none.
func (r *raises) limit(now time.Duration, kind string) float64 {
	if f, ok := r.failed[kind]; ok && now < f.until {
		return f.share
	}
	return math.Inf(1)
}
