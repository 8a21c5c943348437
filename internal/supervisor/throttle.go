package supervisor

import (
	"context"
	"time"

	"github.com/apex/log"

	"bamboowood/internal/job"
)

// fullSpeed leaves a run unthrottled, in percent.
const fullSpeed = job.FullSpeed

const (
	// throttleAttempts is how often a call to set a speed limit is sent while it gets no answer,
	// throttleRetryPause the pause in between. Later reports repeat it.
	throttleAttempts   = 3
	throttleRetryPause = 50 * time.Millisecond
	// speedSettleTime is the time from the confirmation of a speed limit until reports cover
	// only its effect: their figures are of the last half second.
	speedSettleTime = 700 * time.Millisecond
	// standstillTime is the same for a run that uses no CPU at all, which may also have none left.
	standstillTime = 1500 * time.Millisecond
	// pauseAfter is how long a latency-critical run may be over its target before the best-effort
	// runs beside it are paused, whatever the leader orders. The leader's own bound is shorter;
	// the users allow 4 s (harmMs).
	pauseAfter = 2400 * time.Millisecond
)

// speedControl is the control of one run's speed limit. The runner may carry out a call that got no
// answer, and may do so after later ones, so the limit in force counts as known only as far as
// answers and reports show it.
type speedControl struct {
	// ordered is the limit that the leader has ordered; unknown until then for a run that this
	// process did not start.
	ordered job.Speed
	// inForce is the limit that the runner confirmed at confirmedAt; unknown after a call without
	// an answer.
	inForce     job.Speed
	confirmedAt time.Duration
	// calling is set while calls are being sent. There is at most one at a time for each run,
	// because the order in which calls in flight take effect is not known.
	calling bool
}

// Throttle orders the speed limit of a best-effort run, in percent of its full speed.
func (s *Supervisor) Throttle(run job.Run, percent int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if r := s.runs[run]; r != nil {
		r.details.BestEffort = true
		r.speed.ordered = job.SpeedOf(percent)
		s.enforceSpeed(run, r)
	}
}

// wantedSpeed returns the speed limit that a run should have; unknown if nobody has ordered one.
func (s *Supervisor) wantedSpeed(r *taskRun) job.Speed {
	highest := s.standaloneCap.percent
	switch {
	case !r.details.BestEffort:
		return r.speed.ordered
	case s.paused || highest == 0:
		return job.SpeedOf(0)
	case !r.speed.ordered.Known:
		// A cap could raise the limit of an earlier process.
		return job.Speed{}
	}
	return job.SpeedOf(min(r.speed.ordered.Percent, highest))
}

// applyLatencies updates the time for which latency-critical runs have been over their target, pauses or
// resumes best-effort runs accordingly, and enforces all speed limits anew.
func (s *Supervisor) applyLatencies(active []job.Activity) {
	now := s.opts.Now()
	longest := time.Duration(0)
	for _, act := range active {
		if r := s.runs[act.Run]; r != nil && r.details.LatencyTarget > 0 {
			r.latency.Observe(now, act.TailLatency, r.details.LatencyTarget)
			longest = max(longest, r.latency.Over(now))
		}
	}
	s.setPaused(longest > pauseAfter, longest)
	s.capSpeed(active)
	for _, act := range active {
		if r := s.runs[act.Run]; r != nil {
			s.checkSpeed(act.Run, r)
			s.enforceSpeed(act.Run, r)
		}
	}
}

func (s *Supervisor) setPaused(paused bool, overTarget time.Duration) {
	if s.paused == paused {
		return
	}
	s.paused = paused
	entry := s.opts.Logger.WithFields(log.Fields{"over_ms": overTarget.Milliseconds(), "runs": len(s.runs)})
	if paused {
		pauses.Inc()
		entry.Warn("latency-critical run over its target; best-effort runs paused")
	} else {
		entry.Info("best-effort runs resumed")
	}
}

// checkSpeed marks the speed limit in force as unknown if the last report contradicts it.
func (s *Supervisor) checkSpeed(run job.Run, r *taskRun) {
	inForce, sinceConfirmed := r.speed.inForce, s.opts.Now()-r.speed.confirmedAt
	if !inForce.Known || r.speed.calling || !r.details.BestEffort || r.details.CPU <= 0 || sinceConfirmed < speedSettleTime {
		return
	}
	switch {
	case inForce.Exceeded(r.activity.CPU, r.details.CPU):
		countSpeedContradicted("above-limit")
	case inForce.Percent > 0 && r.activity.CPU == 0 && sinceConfirmed >= standstillTime:
		countSpeedContradicted("standstill")
	default:
		return
	}
	s.opts.Logger.WithFields(log.Fields{
		"task": run.Task.String(), "run": run.Number, "cpu": r.activity.CPU, "cpu_of": r.details.CPU,
		"percent": inForce.Percent, "confirmed_ms": sinceConfirmed.Milliseconds(),
	}).Warn("CPU of run contradicts its speed limit; repeating the call")
	r.speed.inForce = job.Speed{}
}

// enforceSpeed makes the runner limit a run to its wanted speed, unless that is in force.
func (s *Supervisor) enforceSpeed(run job.Run, r *taskRun) {
	if r.speed.calling || !s.needsThrottleCall(r) {
		return
	}
	r.speed.calling = s.call(func() {
		for range throttleAttempts {
			if s.throttleOnce(run, r) {
				break
			}
			select {
			case <-s.throttling.Done():
			case <-time.After(throttleRetryPause):
			}
		}
		s.mu.Lock()
		defer s.mu.Unlock()
		r.speed.calling = false
	})
}

func (s *Supervisor) needsThrottleCall(r *taskRun) bool {
	wanted := s.wantedSpeed(r)
	return s.runner != nil && r.phase == running && r.detachedUntil == 0 && !r.activity.Unconfirmed &&
		wanted.Known && wanted != r.speed.inForce
}

// throttleOnce sends one call to limit a run to its wanted speed, unless that is in force, and reports
// whether no further one is needed.
func (s *Supervisor) throttleOnce(run job.Run, r *taskRun) (done bool) {
	s.callSlots <- struct{}{}
	defer func() { <-s.callSlots }()
	s.mu.Lock()
	fence, _ := s.fence()
	percent := s.wantedSpeed(r).Percent
	needed := s.throttling.Err() == nil && s.runs[run] == r && s.needsThrottleCall(r)
	s.mu.Unlock()
	if !needed {
		return true
	}
	ctx, cancel := context.WithTimeout(s.throttling, orderTimeout)
	defer cancel()
	err := s.opts.Runner.Throttle(ctx, fence, run, percent)
	s.mu.Lock()
	defer s.mu.Unlock()
	if err != nil {
		r.speed.inForce = job.Speed{}
		throttleCallsFailed.Inc()
		s.opts.Logger.WithError(err).WithFields(log.Fields{
			"task": run.Task.String(), "run": run.Number, "percent": percent,
		}).Warn("throttle call failed")
		return false
	}
	r.speed.inForce, r.speed.confirmedAt = job.SpeedOf(percent), s.opts.Now()
	return !s.needsThrottleCall(r)
}
