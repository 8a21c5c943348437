package leader

import (
	"context"
	"time"

	"github.com/apex/log"

	"bamboowood/internal/planner"
)

// adviceResult is how an advice request ended.
type adviceResult string

const (
	adviceAnswered adviceResult = "answered"
	// adviceGivenUp: no answer came within the timeout of the request.
	adviceGivenUp adviceResult = "given-up"
	// adviceFailed: the service refused the request, or could not be reached or understood.
	adviceFailed adviceResult = "failed"
	// adviceAborted: the leadership ended first.
	adviceAborted adviceResult = "aborted"
)

// requestAdvice sends an advice request of the planner to the advice service and passes the
// answer back.
func (r *leadership) requestAdvice(req planner.AdviceRequest) {
	requestedAt := r.opts.Now()
	logger := r.opts.Logger.WithFields(log.Fields{
		"step": req.Task.StepName(), "runners": len(req.Runners), "reason": string(req.Reason),
	})
	tickets, valid, result := r.advise(req, logger)
	now := r.opts.Now()
	countAdvice(req.Reason, result)
	logger.WithFields(log.Fields{
		"granted": len(tickets), "expected_ms": req.Expected.Milliseconds(), "valid_ms": valid.Milliseconds(), "took_ms": (now - requestedAt).Milliseconds(), "result": string(result),
	}).Info("advice request finished")
	r.mu.Lock()
	defer r.mu.Unlock()
	if result == adviceAnswered {
		r.planner.AdviceReceived(now, requestedAt, req, tickets, valid)
	} else {
		r.planner.AdviceFailed(now, requestedAt, req, result == adviceGivenUp)
	}
	r.signalChange()
}

// advise returns the tickets by runner and how long they are valid.
func (r *leadership) advise(req planner.AdviceRequest, logger log.Interface) (map[string]string, time.Duration, adviceResult) {
	if r.opts.Advisor == nil {
		logger.Error("queue requires advice but no advice service is configured")
		return nil, 0, adviceFailed
	}
	ctx, cancel := context.WithTimeout(r.ctx, req.Timeout)
	defer cancel()
	tickets, valid, err := r.opts.Advisor.Advise(ctx, req.Task, req.Runners)
	if err != nil {
		adviceFailures.Inc()
		logger.WithError(err).Warn("advice request failed")
		return nil, 0, adviceErrorResult(r.ctx, ctx)
	}
	return tickets, valid, adviceAnswered
}

// adviceErrorResult returns how a request with the context request failed, in a term with the context term.
func adviceErrorResult(term, request context.Context) adviceResult {
	switch {
	case term.Err() != nil:
		return adviceAborted
	case request.Err() != nil:
		return adviceGivenUp
	}
	return adviceFailed
}
