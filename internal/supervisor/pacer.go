package supervisor

import (
	"context"

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

// pacer decides at which share of their speed the fillers of a runner work.
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

// pace adjusts the fillers to the latest figures.
func (s *Supervisor) pace(all []job.Activity) {
	worst := 0.0
	var fillers []job.Run
	for _, act := range all {
		r := s.runs[act.Run]
		if r == nil {
			continue
		}
		if target := r.details.LatencyTarget; target > 0 {
			worst = max(worst, float64(act.TailLatency)/float64(target))
		}
		if r.details.Filler {
			fillers = append(fillers, act.Run)
		}
	}
	if !s.pacer.adjust(worst) {
		return
	}
	s.update.FillerPaceChanged, s.update.FillerPace = true, s.pacer.percent
	s.signal(s.notify)
	s.opts.Logger.WithFields(log.Fields{
		"percent": s.pacer.percent, "worst_latency_ratio": worst, "fillers": len(fillers),
	}).Info("pace of fillers changed")
	for _, run := range fillers {
		s.paceRun(run)
	}
}

// paceRun sets the pace of one filler; the next change repeats a lost order.
func (s *Supervisor) paceRun(run job.Run) {
	fence, ok := s.fence()
	percent := s.pacer.percent
	if !ok {
		return
	}
	s.waiters.Go(func() {
		s.slots <- struct{}{}
		defer func() { <-s.slots }()
		ctx, cancel := context.WithTimeout(context.Background(), orderTimeout)
		defer cancel()
		if err := s.opts.Runner.Pace(ctx, fence, run, percent); err != nil {
			s.opts.Logger.WithError(err).WithFields(log.Fields{
				"task": run.Task.String(), "run": run.Number, "percent": percent,
			}).Warn("pace not set")
		}
	})
}
