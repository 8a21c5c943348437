package leader

import (
	"context"
	"errors"
	"time"

	"bamboowood/internal/job"
	"bamboowood/internal/planner"
	"bamboowood/internal/wire"
	"bamboowood/internal/wire/wirepb"
)

const (
	// maxAdviceCallers bounds the agents that call the advice service at once.
	maxAdviceCallers = 64
	// agentAdvicePause is how long an agent whose call failed gets no further one: it may not reach the service.
	agentAdvicePause = 10 * time.Second
)

var errSessionEnded = errors.New("agent's session has ended")

// adviceCaller is the part of an agent's connection that calls the advice service. The service handles one call of
// each machine at a time, so the agents' calls do not wait for those of this process. It is guarded by the
// leadership's lock.
type adviceCaller struct {
	// session is nil unless the agent makes such calls.
	session wire.Session
	busy    bool
	retryAt time.Duration
}

func (c *adviceCaller) available(now time.Duration) bool { return c.session != nil && now >= c.retryAt }

// adviceCallers returns how many callers of the advice service there are. It is called with the lock held.
func (r *leadership) adviceCallers(now time.Duration) int {
	n := 0
	if r.opts.Advisor != nil {
		n = 1
	}
	for _, conn := range r.conns {
		if conn.advice.available(now) {
			n++
		}
	}
	return min(n, maxAdviceCallers)
}

// claimAdviceCaller returns an idle agent for a call of the advice service, nil if this process makes it. It is
// called with the lock held.
func (r *leadership) claimAdviceCaller(now time.Duration) *agentConn {
	if r.opts.Advisor != nil && r.ownAdviceCalls == 0 {
		r.ownAdviceCalls++
		return nil
	}
	for _, conn := range r.conns {
		if conn.advice.available(now) && !conn.advice.busy {
			conn.advice.busy = true
			return conn
		}
	}
	r.ownAdviceCalls++
	return nil
}

// releaseAdviceCaller ends a claim, after a call with the given result. It is called with the lock held.
func (r *leadership) releaseAdviceCaller(now time.Duration, conn *agentConn, result adviceResult) {
	if conn == nil {
		r.ownAdviceCalls--
		return
	}
	conn.advice.busy = false
	if result != adviceAnswered {
		conn.advice.retryAt = now + agentAdvicePause
	}
}

// acceptAdviceCalls records that the agent makes calls of the advice service, in a session.
func (c *agentConn) acceptAdviceCalls(session wire.Session) {
	r := c.leadership
	r.mu.Lock()
	defer r.mu.Unlock()
	if c.advice.session != session {
		c.advice.session = session
		r.signalChange()
	}
}

// advise makes a call of the advice service through the agent.
func (c *agentConn) advise(ctx context.Context, req planner.AdviceRequest) (job.AdviceAnswer, error) {
	c.leadership.mu.Lock()
	session := c.advice.session
	c.leadership.mu.Unlock()
	if session == nil {
		return job.AdviceAnswer{}, errSessionEnded
	}
	stream, err := session.Open(ctx)
	if err != nil {
		return job.AdviceAnswer{}, err
	}
	defer func() { _ = stream.Close() }()
	stop := context.AfterFunc(ctx, func() { _ = stream.Close() })
	defer stop()
	err = stream.Send(&wirepb.AdviceCall{Task: req.Task.String(), Runners: req.Runners, TimeoutMs: req.Timeout.Milliseconds()})
	if err != nil {
		return job.AdviceAnswer{}, err
	}
	var reply wirepb.AdviceReply
	if err := stream.Recv(&reply); err != nil {
		return job.AdviceAnswer{}, err
	}
	return wire.AdviceAnswer(&reply)
}
