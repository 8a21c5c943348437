package supervisor

import (
	"time"

	"github.com/apex/log"

	"bamboowood/internal/job"
)

// Parameters of standalone throttling: while no leader is connected, the supervisor caps the
// speed of best-effort runs by the tail latency of colocated latency-critical tasks. The leader's
// last limits stay in force below the cap. Speeds are in percent of the full speed.
const (
	// slowDownAbove is the share of a latency target above which best-effort runs are
	// slowed down.
	slowDownAbove = 0.9
	// speedUpBelow is the share of a latency target below which best-effort runs speed up
	// again.
	speedUpBelow = 0.7
	// slowDownFactor multiplies the cap at each report above slowDownAbove.
	slowDownFactor = 0.5
	// speedUpStep is added to the cap at each report below speedUpBelow.
	speedUpStep = 10
	// minSpeed is the lowest cap other than 0. A lower one pauses the runs.
	minSpeed = 10
)

// standaloneCap caps the speed of a runner's best-effort runs while no leader is connected.
type standaloneCap struct{ percent int }

func newStandaloneCap() standaloneCap { return standaloneCap{percent: fullSpeed} }

// adjust updates the cap from the worst ratio of tail latency to target among the
// latency-critical tasks, 0 if there are none. It reports whether the cap has changed.
func (c *standaloneCap) adjust(worst float64) bool {
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

// capSpeed adjusts the cap to the latest latencies while no leader is connected, and removes it
// otherwise.
func (s *Supervisor) capSpeed(active []job.Activity) {
	if s.opts.Now()-s.lastGrantAt <= standaloneDelay {
		s.standaloneCap = newStandaloneCap()
		return
	}
	worst := 0.0
	for _, act := range active {
		if r := s.runs[act.Run]; r != nil && r.details.LatencyTarget > 0 {
			worst = max(worst, float64(act.TailLatency)/float64(r.details.LatencyTarget))
		}
	}
	if s.standaloneCap.adjust(worst) {
		s.opts.Logger.WithFields(log.Fields{
			"percent": s.standaloneCap.percent, "worst_latency_ratio": worst,
		}).Info("no leader connected; cap on the speed of best-effort runs changed")
	}
}
