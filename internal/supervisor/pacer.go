package supervisor

import (
	"context"
	"time"

	"github.com/apex/log"

	"bamboowood/internal/job"
)

// Parameters of standalone throttling: while no leader is connected, the supervisor limits the
// speed of best-effort runs by the tail latency of colocated latency-critical tasks. Speed
// limits are in percent of the full speed.
const (
	// fullSpeed leaves a run unthrottled.
	fullSpeed = 100
	// slowDownAbove is the share of a latency target above which best-effort runs are
	// slowed down.
	slowDownAbove = 0.9
	// speedUpBelow is the share of a latency target below which best-effort runs speed up
	// again.
	speedUpBelow = 0.7
	// slowDownFactor multiplies the speed limit at each report above slowDownAbove.
	slowDownFactor = 0.5
	// speedUpStep is added to the speed limit at each report below speedUpBelow.
	speedUpStep = 10
	// minSpeed is the lowest speed limit other than 0. A lower one pauses the runs.
	minSpeed = 10
)

// speedController sets the speed limit of a runner's best-effort runs while no leader is
// connected.
type speedController struct{ percent int }

func newSpeedController() speedController { return speedController{percent: fullSpeed} }

// adjust updates the speed limit from the worst ratio of tail latency to target among the
// latency-critical tasks, 0 if there are none. It reports whether the limit has changed.
func (c *speedController) adjust(worst float64) bool {
	before := c.percent
	switch {
	case worst == 0:
		c.percent = fullSpeed
	case worst > slowDownAbove:
		c.percent = int(float64(c.percent) * slowDownFactor)
		if c.percent < minSpeed {
			c.percent = 0
		}
	case worst < speedUpBelow:
		c.percent = min(c.percent+speedUpStep, fullSpeed)
	}
	return c.percent != before
}

// standaloneDelay is the time without a lease grant after which standalone throttling starts.
const standaloneDelay = 1500 * time.Millisecond

// Throttle sets the speed limit of a run, in percent of its full speed.
func (s *Supervisor) Throttle(run job.Run, percent int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if r := s.runs[run]; r != nil {
		r.speedLimit = percent
		s.throttleRun(run, r)
	}
}

// throttleRuns repeats throttle calls that the runner has not confirmed. While no leader is
// connected, it first adjusts the speed limit of the best-effort runs to the latest
// latencies.
func (s *Supervisor) throttleRuns(active []job.Activity) {
	if s.opts.Now()-s.lastGrantAt > standaloneDelay {
		s.throttleStandalone(active)
	}
	for _, act := range active {
		if r := s.runs[act.Run]; r != nil {
			if s.exceedsSpeedLimit(r) {
				speedExceeded.Inc()
				s.opts.Logger.WithFields(log.Fields{
					"task": act.Run.Task.String(), "run": act.Run.Number, "cpu": act.CPU, "cpu_of": r.details.CPU,
					"percent": r.confirmedSpeedLimit, "confirmed_ms": (s.opts.Now() - r.speedConfirmedAt).Milliseconds(),
				}).Warn("run uses more CPU than its confirmed speed limit allows")
			}
			s.throttleRun(act.Run, r)
		}
	}
}

const (
	// speedSettleTime is the time from the confirmation of a speed limit until reports cover
	// only its effect: their figures are of the last half second.
	speedSettleTime = 700 * time.Millisecond
	// speedTolerance is the share of a run's full CPU by which a report may exceed its limit.
	speedTolerance = 0.2
)

// exceedsSpeedLimit reports whether the last report shows a best-effort run at more than the speed
// that the runner has confirmed.
func (s *Supervisor) exceedsSpeedLimit(r *taskRun) bool {
	if !r.details.BestEffort || r.details.CPU <= 0 || s.opts.Now()-r.speedConfirmedAt < speedSettleTime {
		return false
	}
	share := float64(r.confirmedSpeedLimit)/fullSpeed + speedTolerance
	return float64(r.activity.CPU) > share*float64(r.details.CPU)
}

func (s *Supervisor) throttleStandalone(active []job.Activity) {
	worst := 0.0
	for _, act := range active {
		if r := s.runs[act.Run]; r != nil && r.details.LatencyTarget > 0 {
			worst = max(worst, float64(act.TailLatency)/float64(r.details.LatencyTarget))
		}
	}
	if !s.speedController.adjust(worst) {
		return
	}
	s.opts.Logger.WithFields(log.Fields{
		"percent": s.speedController.percent, "worst_latency_ratio": worst,
	}).Info("no leader connected; speed limit of best-effort runs changed")
	for _, r := range s.runs {
		if r.details.BestEffort {
			r.speedLimit = s.speedController.percent
		}
	}
}

// reported returns the activity of a run with its speed limits.
func (r *taskRun) reported() job.Activity {
	act := r.activity
	act.OrderedSpeed, act.RunnerSpeed = job.SpeedOf(r.speedLimit), job.SpeedOf(r.confirmedSpeedLimit)
	return act
}

// throttleRun sends a speed limit that the runner has not confirmed. A failed call is repeated
// with the next report.
func (s *Supervisor) throttleRun(run job.Run, r *taskRun) {
	fence, ok := s.fence()
	percent := r.speedLimit
	if !ok || r.phase != running || r.detachedUntil != 0 || r.activity.Unconfirmed || percent == r.confirmedSpeedLimit {
		return
	}
	s.calls.Go(func() {
		s.callSlots <- struct{}{}
		defer func() { <-s.callSlots }()
		if s.throttling.Err() != nil {
			return
		}
		ctx, cancel := context.WithTimeout(s.throttling, orderTimeout)
		defer cancel()
		err := s.opts.Runner.Throttle(ctx, fence, run, percent)
		s.mu.Lock()
		defer s.mu.Unlock()
		if err == nil {
			r.confirmedSpeedLimit, r.speedConfirmedAt = percent, s.opts.Now()
			return
		}
		s.opts.Logger.WithError(err).WithFields(log.Fields{
			"task": run.Task.String(), "run": run.Number, "percent": percent,
		}).Warn("throttle call failed")
	})
}
