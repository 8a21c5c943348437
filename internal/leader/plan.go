package leader

import (
	"time"

	"github.com/apex/log"

	"bamboowood/internal/contain"
	"bamboowood/internal/planner"
)

// planLoop plans after each event, and from time to time without one.
func (r *leadership) planLoop() error {
	ticker := time.NewTicker(planInterval)
	defer ticker.Stop()
	last := r.opts.Now()
	for {
		select {
		case <-r.ctx.Done():
			return r.ctx.Err()
		case <-r.plan:
		case <-ticker.C:
		}
		var err error
		if last, err = r.planNow(last); err != nil {
			return err
		}
	}
}

// planNow plans, and passes the orders on. last is when it was called last; it returns
// this time.
func (r *leadership) planNow(last time.Duration) (now time.Duration, err error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	now = r.opts.Now()
	if now-last > wakeGap {
		r.opts.Logger.WithField("gap", (now - last).String()).Warn("process stood still; renewing before any start")
		r.renewed = min(r.renewed, now-startLease)
		kick(r.renew)
	}
	r.planner.SetSite(r.opts.Site())
	began := time.Now()
	r.planner.SetStartBudget(r.budget.left(now))
	orders, err := r.planOnce(now)
	if err != nil {
		return now, err
	}
	planSeconds.UpdateDuration(began)
	countOrders(orders)
	for _, o := range orders.Stops {
		if k := r.links[o.Agent]; k != nil {
			k.stop(o)
		}
	}
	for _, o := range orders.Throttles {
		if k := r.links[o.Agent]; k != nil {
			k.pace(o)
		}
		r.opts.Logger.WithFields(log.Fields{
			"task": o.Run.Task.String(), "run": o.Run.Number, "agent": o.Agent, "percent": o.Percent,
			"over_ms": o.OverTarget.Milliseconds(), "headroom": o.Headroom,
		}).Info("pace ordered")
	}
	for _, y := range orders.Deferrals {
		r.opts.Logger.WithFields(log.Fields{
			"job": y.Job, "occurrence": y.Occurrence, "slack_ms": y.Slack.Milliseconds(), "ahead_ms": y.Ahead.Milliseconds(),
		}).Info("job yields to others; not all can end in time")
	}
	for _, q := range orders.AdviceRequests {
		r.run("advice", func() error { r.ask(q); return nil })
	}
	for _, o := range orders.Starts {
		r.links[o.Agent].start(o)
		r.opts.Logger.WithFields(log.Fields{
			"task": o.Run.Task.String(), "run": o.Run.Number, "agent": o.Agent,
		}).Info("start ordered")
	}
	return now, nil
}

// maxPlanPanics on end, without a job that causes them, end the term: another entry may
// fare better, and reads everything anew.
const maxPlanPanics = 20

// planOnce sets a job aside that the planner cannot handle.
func (r *leadership) planOnce(now time.Duration) (orders planner.Orders, err error) {
	err = contain.Do(r.opts.Logger, "planner", func() error {
		orders = r.planner.Plan(r.instant(), now < r.renewed+startLease)
		return nil
	})
	if err == nil {
		r.planPanics = 0
		return orders, nil
	}
	if id := r.planner.CurrentJob(); id != "" {
		r.setAside(id)
		return planner.Orders{}, nil
	}
	r.planPanics++
	if r.planPanics < maxPlanPanics {
		return planner.Orders{}, nil
	}
	return planner.Orders{}, err
}

// setAside is called with the lock held.
func (r *leadership) setAside(id string) {
	jobsAside.Inc()
	r.opts.Logger.WithField("job", id).Error("job set aside; it stays accepted and is not run")
	r.planner.Quarantine(r.opts.Now(), id)
}
