package leader

import (
	"context"
	"time"

	"github.com/apex/log"

	"bamboowood/internal/planner"
)

// adviceSlack is added to the time that a question takes for those before it and the way
// there and back.
const adviceSlack = 2 * time.Second

// ask passes a question of the planner on and its answer back.
func (r *leadership) ask(q planner.AdviceRequest) {
	asked := r.opts.Now()
	logger := r.opts.Logger.WithFields(log.Fields{"step": q.Task.StepName(), "runners": len(q.Runners)})
	tickets, valid := r.advise(q, logger)
	now := r.opts.Now()
	logger.WithFields(log.Fields{
		"granted": len(tickets), "valid_ms": valid.Milliseconds(), "took_ms": (now - asked).Milliseconds(),
	}).Info("advice taken")
	r.mu.Lock()
	defer r.mu.Unlock()
	r.planner.AdviceReceived(now, asked, q, tickets, valid)
	r.changed()
}

// advise returns nil if there is no answer.
func (r *leadership) advise(q planner.AdviceRequest, logger log.Interface) (map[string]string, time.Duration) {
	if r.opts.Advisor == nil {
		logger.Error("queue asks for advice, and the settings name no service for it")
		return nil, 0
	}
	r.mu.Lock()
	expected := r.planner.AdviceDuration(q)
	r.mu.Unlock()
	ctx, cancel := context.WithTimeout(r.ctx, expected+adviceSlack)
	defer cancel()
	tickets, valid, err := r.opts.Advisor.Advise(ctx, q.Task, q.Runners)
	if err != nil {
		adviceFailures.Inc()
		logger.WithError(err).Warn("no advice")
		return nil, 0
	}
	return tickets, valid
}
