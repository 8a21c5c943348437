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

// requestAdvice sends an advice request of the planner to the advice service, through an agent unless that is nil,
// and passes the answer back.
func (r *leadership) requestAdvice(req planner.AdviceRequest, agent *agentConn) {
	requestedAt := r.opts.Now()
	logger := r.opts.Logger.WithFields(log.Fields{
		"step": req.Task.StepName(), "runners": len(req.Runners), "reason": string(req.Reason),
	})
	if agent != nil {
		logger = logger.WithField("agent", agent.id)
	}
	answer, result := r.advise(req, agent, logger)
	now := r.opts.Now()
	countAdvice(req.Reason, result)
	logger.WithFields(log.Fields{
		"granted": len(answer.Tickets), "expected_ms": req.Expected.Milliseconds(), "valid_ms": answer.Validity.Milliseconds(), "took_ms": (now - requestedAt).Milliseconds(), "result": string(result),
	}).Info("advice request finished")
	r.mu.Lock()
	defer r.mu.Unlock()
	r.releaseAdviceCaller(now, agent, result)
	if result == adviceAnswered {
		r.planner.AdviceReceived(now, requestedAt, req, answer)
	} else {
		// An agent that cannot reach the service does not show that the service is slow.
		r.planner.AdviceFailed(now, requestedAt, req, result == adviceGivenUp && agent == nil)
	}
	r.signalChange()
}

// advise calls the advice service. The answer is empty unless the result is adviceAnswered.
func (r *leadership) advise(req planner.AdviceRequest, agent *agentConn, logger log.Interface) (answer job.AdviceAnswer, result adviceResult) {
	if agent == nil && r.opts.Advisor == nil {
		logger.Error("queue requires advice but no advice service is configured")
		return answer, adviceFailed
	}
	ctx, cancel := context.WithTimeout(r.ctx, req.Timeout)
	defer cancel()
	var err error
	if agent != nil {
		answer, err = agent.advise(ctx, req)
	} else {
		answer, err = r.opts.Advisor.Advise(ctx, req.Task, req.Runners)
	}
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
