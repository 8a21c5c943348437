package leader

import (
	"context"

	"github.com/apex/log"

	"bamboowood/internal/job"
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
	answer, result := r.advise(req, logger)
	now := r.opts.Now()
	countAdvice(req.Reason, result)
	logger.WithFields(log.Fields{
		"granted": len(answer.Tickets), "expected_ms": req.Expected.Milliseconds(), "valid_ms": answer.Validity.Milliseconds(), "took_ms": (now - requestedAt).Milliseconds(), "result": string(result),
	}).Info("advice request finished")
	r.mu.Lock()
	defer r.mu.Unlock()
	if result == adviceAnswered {
		r.planner.AdviceReceived(now, requestedAt, req, answer)
	} else {
		r.planner.AdviceFailed(now, requestedAt, req, result == adviceGivenUp)
	}
	r.signalChange()
}

// advise calls the advice service. The answer is empty unless the result is adviceAnswered.
func (r *leadership) advise(req planner.AdviceRequest, logger log.Interface) (job.AdviceAnswer, adviceResult) {
	if r.opts.Advisor == nil {
		logger.Error("queue requires advice but no advice service is configured")
		return job.AdviceAnswer{}, adviceFailed
	}
	ctx, cancel := context.WithTimeout(r.ctx, req.Timeout)
	defer cancel()
	answer, err := r.opts.Advisor.Advise(ctx, req.Task, req.Runners)
	if err != nil {
		adviceFailures.Inc()
		logger.WithError(err).Warn("advice request failed")
		return job.AdviceAnswer{}, adviceErrorResult(r.ctx, ctx)
	}
	return answer, adviceAnswered
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
