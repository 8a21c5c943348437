package planner

import (
	"cmp"
	"time"

	"bamboowood/internal/job"
)

const (
	// maxRunnersPerRequest bounds the runners in one advice request. The users' objectives
	// allow for one request on 30 runners per step.
	maxRunnersPerRequest = 30
	// ticketMargin is the validity that a ticket must have left for the start to reach
	// its runner, at most a quarter of the whole.
	ticketMargin = 300 * time.Millisecond
	// adviceRetryDelay is the pause of a step after a request without an answer, or after two answers whose
	// tickets were not used. It doubles with each further one up to maxAdviceRetryDelay, so that other
	// steps are served meanwhile.
	adviceRetryDelay    = 200 * time.Millisecond
	maxAdviceRetryDelay = 1600 * time.Millisecond
	// serviceRetryDelay is the pause of all steps after a request without an answer. It doubles with each
	// further one up to maxServiceRetryDelay.
	serviceRetryDelay    = 50 * time.Millisecond
	maxServiceRetryDelay = 800 * time.Millisecond
)

// AdviceRequest asks the advice service which of the runners may run the task's step.
type AdviceRequest struct {
	Task    job.Task
	Runners []string
	Reason  AdviceReason
	// Expected is how long the service is expected to take, and Timeout after what time the request is to be
	// given up.
	Expected, Timeout time.Duration
	// figure is the duration by the queue's figures.
	figure time.Duration
}

// AdviceReason is the reason why a step needs an answer of the advice service.
type AdviceReason string

// The reasons for advice requests.
const (
	// AdviceFirst: the step has had no answer yet.
	AdviceFirst AdviceReason = "first"
	// AdviceUnanswered: the last request got no answer.
	AdviceUnanswered AdviceReason = "unanswered"
	// AdviceDenied: the last answer allowed none of its runners.
	AdviceDenied AdviceReason = "denied"
	// AdviceRejected: a runner rejected a start for its ticket.
	AdviceRejected AdviceReason = "rejected"
	// AdviceExpired: the tickets of the last answer expired before all tasks had started.
	AdviceExpired AdviceReason = "expired"
	// AdviceNoRoom: tickets are valid, but their runners lack room.
	AdviceNoRoom AdviceReason = "no-room"
)

// adviceCalls are the calls of the advice service, for all steps.
type adviceCalls struct {
	// requests are to be sent; pending counts the requests without an answer, sent or not.
	requests []AdviceRequest
	pending  int
	// callers is how many requests the service handles at once; 0 counts as 1.
	callers int
	// candidates are the steps that may need advice, collected during a plan. byTurn is set if the next request
	// goes by turn instead of by rank.
	candidates []adviceCandidate
	byTurn     bool
	// retryAt is when the service is called again after failures failed requests in a row.
	retryAt  time.Duration
	failures int
	timing   adviceTiming
	// grantShares are learned by queue.
	grantShares map[string]*grantShare
}

// advice holds the answers of the advice service for one step. They do not change during a
// step, so no request repeats a runner that was denied.
type advice struct {
	// pending is set while a request for the step has no answer.
	pending bool
	retryAt time.Duration
	tickets map[string]ticket
	// denied holds the ids of the runners that may not run the step.
	denied map[string]bool
	// requestedAt is when the last request was made. unanswered counts the requests in a row without an
	// answer, unused the answers since a task was last started, apart from those that denied all runners.
	requestedAt        time.Duration
	unanswered, unused int
	// last is the reason for the next request as far as it follows from the last event.
	last AdviceReason
}

// ticket allows a runner to run the step. It stays known after it has expired, since grants do not change.
type ticket struct {
	text                  string
	receivedAt, expiresAt time.Duration
}

func newAdvice() *advice {
	return &advice{tickets: map[string]ticket{}, denied: map[string]bool{}, last: AdviceFirst}
}

// ticketRejected records that the runner rejected, for its ticket, a start that was ordered at orderedAt. A
// ticket that was received later stays valid.
func (v *advice) ticketRejected(orderedAt time.Duration, runnerID string) {
	t, ok := v.tickets[runnerID]
	if !ok || t.receivedAt > orderedAt {
		return
	}
	t.expiresAt = 0
	v.tickets[runnerID] = t
	v.last = AdviceRejected
}

// reason returns why the step needs another answer at now.
func (v *advice) reason(now time.Duration) AdviceReason {
	if v.last != AdviceExpired {
		return v.last
	}
	for id := range v.tickets {
		if v.hasValidTicket(now, id) {
			return AdviceNoRoom
		}
	}
	return AdviceExpired
}

func (v *advice) hasValidTicket(now time.Duration, runnerID string) bool {
	return now < v.tickets[runnerID].expiresAt
}

// SetAdviceCallers sets the number of callers of the advice service. It handles one request of each at a time:
// further ones would only wait there while they and their tickets expire, and the most urgent step would
// wait behind them.
func (p *Planner) SetAdviceCallers(n int) { p.advice.callers = n }

// AdviceReceived applies the answer to a request that was sent at sentAt.
func (p *Planner) AdviceReceived(now, sentAt time.Duration, q AdviceRequest, answer job.AdviceAnswer) {
	p.advice.timing.answered(q.figure, now-sentAt)
	p.advice.failures = 0
	s := p.adviceFinished(q)
	if s == nil {
		return
	}
	v := s.advice
	v.last, v.unanswered = AdviceDenied, 0
	granted := 0
	expiresAt := ticketExpiry(now, sentAt, cmp.Or(answer.Validity, s.ticketValidity()))
	for _, id := range q.Runners {
		if text, ok := answer.Tickets[id]; ok {
			granted++
			v.last = AdviceExpired
			v.tickets[id] = ticket{text: text, receivedAt: now, expiresAt: expiresAt}
		} else if !answer.Incomplete {
			v.denied[id] = true
		}
	}
	if !answer.Incomplete {
		p.grantShareOf(s).learn(len(q.Runners), granted)
	}
	if granted > 0 || answer.Incomplete {
		v.unused++
	}
	if v.unused >= 2 {
		v.retryAt = now + backoff(adviceRetryDelay, v.unused-2, maxAdviceRetryDelay)
	}
}

// AdviceFailed records that a request that was sent at sentAt has no answer. givenUp is set if its timeout had
// passed.
func (p *Planner) AdviceFailed(now, sentAt time.Duration, q AdviceRequest, givenUp bool) {
	if givenUp {
		p.advice.timing.givenUp(q.figure, now-sentAt)
	}
	p.advice.retryAt = now + backoff(serviceRetryDelay, p.advice.failures, maxServiceRetryDelay)
	p.advice.failures++
	if s := p.adviceFinished(q); s != nil {
		v := s.advice
		v.retryAt, v.last = now+backoff(adviceRetryDelay, v.unanswered, maxAdviceRetryDelay), AdviceUnanswered
		v.unanswered++
	}
}

// adviceFinished ends a request and returns its step, nil if there is none any more.
func (p *Planner) adviceFinished(q AdviceRequest) *stepState {
	p.advice.pending--
	s, _ := p.findTask(q.Task)
	if s == nil || s.advice == nil {
		return nil
	}
	s.advice.pending = false
	return s
}

// ticketExpiry returns until when tickets are used that were received at now, as the answer to a request that
// was sent at sentAt. The service may have issued them at any time in between. An early start that is rejected
// costs a call, a ticket that is never used keeps the step from starting: so tickets are used for half
// of their validity after they were received, however long the answer took.
func ticketExpiry(now, sentAt, validity time.Duration) time.Duration {
	return max(sentAt+validity, now+validity/2) - min(ticketMargin, validity/4)
}

// backoff returns a delay that doubles with each of the doublings up to longest.
func backoff(delay time.Duration, doublings int, longest time.Duration) time.Duration {
	return min(delay<<min(doublings, 10), longest)
}
