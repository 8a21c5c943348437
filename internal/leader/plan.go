package leader

import (
	"time"

	"github.com/apex/log"

	"bamboowood/internal/contain"
	"bamboowood/internal/planner"
)

// planLoop plans after each event, and every planInterval without one.
func (r *leadership) planLoop() error {
	ticker := time.NewTicker(planInterval)
	defer ticker.Stop()
	last := r.recoveredAt
	for {
		select {
		case <-r.ctx.Done():
			return r.ctx.Err()
		case <-r.wakePlan:
		case <-ticker.C:
		}
		var err error
		if last, err = r.planAndSend(last); err != nil {
			return err
		}
	}
}

// planAndSend plans and sends the orders to the agents. last is the time of its previous
// call; it returns the time of this call.
func (r *leadership) planAndSend(last time.Duration) (now time.Duration, err error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	now = r.opts.Now()
	if gap := now - last; gap > suspendThreshold {
		r.opts.Logger.WithField("gap", gap.String()).Warn("long gap between plans; renewing the term before further starts")
		r.planner.Suspended(now, gap)
		r.renewedAt = min(r.renewedAt, now-startValidity)
		signal(r.wakeRenew)
	}
	r.readSettings()
	began := time.Now()
	r.planner.SetStartBudget(r.budget.remaining(now))
	r.planner.SetAdviceCallers(r.adviceCallers(now))
	orders, err := r.planOnce(now)
	if err != nil {
		return now, err
	}
	planSeconds.UpdateDuration(began)
	r.logOverTarget(now)
	countOrders(orders)
	r.reportReservations(orders)
	countCopies(orders.Copies)
	for _, o := range orders.Stops {
		if conn := r.conns[o.Agent]; conn != nil {
			conn.stop(o)
		}
		if !o.Repeated {
			r.opts.Logger.WithFields(log.Fields{
				"task": o.Run.Task.String(), "run": o.Run.Number, "agent": o.Agent, "reason": string(o.Reason),
			}).Info("stop ordered")
		}
	}
	for _, g := range orders.GivenUp {
		r.opts.Logger.WithFields(log.Fields{
			"task": g.Run.Task.String(), "run": g.Run.Number, "agent": g.Agent, "cause": string(g.Cause), "age_ms": g.Age.Milliseconds(),
		}).Info("run given up")
	}
	for _, o := range orders.Throttles {
		if conn := r.conns[o.Agent]; conn != nil {
			conn.throttle(o)
		}
		r.opts.Logger.WithFields(log.Fields{
			"task": o.Run.Task.String(), "run": o.Run.Number, "agent": o.Agent, "percent": o.Percent, "reason": string(o.Reason),
			"over_ms": o.OverTarget.Milliseconds(), "headroom": o.Headroom,
		}).Info("throttle ordered")
	}
	for _, d := range orders.Deferrals {
		r.opts.Logger.WithFields(log.Fields{
			"job": d.Job, "occurrence": d.Occurrence, "slack_ms": d.Slack.Milliseconds(), "ahead_ms": d.Ahead.Milliseconds(),
		}).Info("job deferred; not all jobs can meet their objectives")
	}
	for _, req := range orders.AdviceRequests {
		agent := r.claimAdviceCaller(now)
		r.run("advice", func() error { r.requestAdvice(req, agent); return nil })
	}
	for _, o := range orders.Starts {
		r.conns[o.Agent].start(o)
		r.opts.Logger.WithFields(log.Fields{
			"task": o.Run.Task.String(), "run": o.Run.Number, "agent": o.Agent,
		}).Info("start ordered")
	}
	return now, nil
}

// maxPlanPanics consecutive panics that no job caused end the term: the next leader reads
// the whole ledger again and may not be affected.
const maxPlanPanics = 20

// planOnce returns the orders of one plan at now. A job that makes the planner panic is quarantined.
func (r *leadership) planOnce(now time.Duration) (orders planner.Orders, err error) {
	err = contain.Do(r.opts.Logger, "planner", func() error {
		orders = r.planner.Plan(planner.Instant{Mono: now, Wall: time.Now()}, r.mayStart(now))
		return nil
	})
	if err == nil {
		r.planPanics = 0
		return orders, nil
	}
	if id := r.planner.CurrentJob(); id != "" {
		r.quarantine(id)
		return planner.Orders{}, nil
	}
	r.planPanics++
	if r.planPanics < maxPlanPanics {
		return planner.Orders{}, nil
	}
	return planner.Orders{}, err
}

// quarantine keeps a job out of the planner. It is called with the lock held.
func (r *leadership) quarantine(id string) {
	jobsQuarantined.Inc()
	r.opts.Logger.WithField("job", id).Error("job quarantined; it stays accepted and is not run")
	r.planner.Quarantine(r.opts.Now(), id)
}
