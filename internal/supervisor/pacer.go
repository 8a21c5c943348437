package supervisor

import (
	"context"
	"time"

	"github.com/apex/log"

	"bamboowood/internal/job"
)

// Pacing of fillers by the tail latency of the tasks that they disturb.
const (
	// fullPace lets a run work at full speed.
	fullPace = 100
	// tightShare of a latency target is where fillers are slowed down.
	tightShare = 0.9
	// easyShare of a latency target is where fillers may speed up again.
	easyShare = 0.7
	// slowDown is the factor for each report over the target.
	slowDown = 0.5
	// speedUp is added for each report well under the target.
	speedUp = 10
	// minPace is where a slower pace becomes a pause.
	minPace = 10
)

// pacer decides at which share of their speed the fillers of a runner work while
// the agent has no leader to say so.
type pacer struct{ percent int }

func newPacer() pacer { return pacer{percent: fullPace} }

// adjust takes the worst ratio of tail latency to target among the tasks that
// serve, 0 if there are none, and says whether the pace has changed.
func (p *pacer) adjust(worst float64) bool {
	before := p.percent
	switch {
	case worst == 0:
		p.percent = fullPace
	case worst > tightShare:
		p.percent = int(float64(p.percent) * slowDown)
		if p.percent < minPace {
			p.percent = 0
		}
	case worst < easyShare:
		p.percent = min(p.percent+speedUp, fullPace)
	}
	return p.percent != before
}

// unfollowedTime without a leader is when the agent paces fillers itself.
const unfollowedTime = 1500 * time.Millisecond

// Throttle carries out the leader's order to let a run work at a share of its speed.
func (s *Supervisor) Throttle(run job.Run, percent int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if r := s.runs[run]; r != nil {
		r.pace = percent
		s.paceRun(run, r)
	}
}

// pace repeats orders that the runner has not confirmed and, without a leader,
// adjusts the fillers to the latest figures.
func (s *Supervisor) pace(all []job.Activity) {
	if s.opts.Now()-s.followed > unfollowedTime {
		s.paceAlone(all)
	}
	for _, act := range all {
		if r := s.runs[act.Run]; r != nil {
			s.paceRun(act.Run, r)
		}
	}
}

func (s *Supervisor) paceAlone(all []job.Activity) {
	worst := 0.0
	for _, act := range all {
		if r := s.runs[act.Run]; r != nil && r.details.LatencyTarget > 0 {
			worst = max(worst, float64(act.TailLatency)/float64(r.details.LatencyTarget))
		}
	}
	if !s.pacer.adjust(worst) {
		return
	}
	s.opts.Logger.WithFields(log.Fields{
		"percent": s.pacer.percent, "worst_latency_ratio": worst,
	}).Info("pace of fillers changed without a leader")
	for _, r := range s.runs {
		if r.details.BestEffort {
			r.pace = s.pacer.percent
		}
	}
}

// paceRun tells the runner of a pace that it has not confirmed. A lost call is
// repeated with the next report.
func (s *Supervisor) paceRun(run job.Run, r *taskRun) {
	fence, ok := s.fence()
	percent := r.pace
	if !ok || r.phase != active || r.activity.Unconfirmed || percent == r.paceSet {
		return
	}
	s.waiters.Go(func() {
		s.slots <- struct{}{}
		defer func() { <-s.slots }()
		ctx, cancel := context.WithTimeout(context.Background(), orderTimeout)
		defer cancel()
		err := s.opts.Runner.Throttle(ctx, fence, run, percent)
		s.mu.Lock()
		defer s.mu.Unlock()
		if err == nil {
			r.paceSet = percent
			return
		}
		s.opts.Logger.WithError(err).WithFields(log.Fields{
			"task": run.Task.String(), "run": run.Number, "percent": percent,
		}).Warn("pace not set")
	})
}
