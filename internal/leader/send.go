package leader

import (
	"google.golang.org/protobuf/proto"

	"bamboowood/internal/job"
	"bamboowood/internal/planner"
	"bamboowood/internal/wire"
	"bamboowood/internal/wire/wirepb"
)

// send adds to the next outgoing message. It does nothing without a session.
func (c *agentConn) send(add func(out *wirepb.LeaderMessage)) {
	c.outMu.Lock()
	defer c.outMu.Unlock()
	if c.out != nil {
		add(c.out)
		signal(c.outPending)
	}
}

// start orders a start. The network may delay the order, or this process may be suspended
// before sending it. So ValidUntil is the time until which the inputs of the plan are valid, converted to the
// agent's clock with the offset from its last heartbeat. Network delay of the heartbeat only
// makes ValidUntil earlier.
func (c *agentConn) start(o planner.Start) {
	until := c.agentClock + c.leadership.startsValidUntil() - c.heartbeatAt
	c.send(func(out *wirepb.LeaderMessage) {
		order := &wirepb.StartOrder{
			Details: runDetails(o.Run, o.Step), Payload: o.Payload, Checkpoint: o.Checkpoint,
			Ticket: o.Ticket, ValidUntil: int64(until), RunnerId: o.RunnerID, Born: o.StartTime,
		}
		if o.Speed != job.FullSpeed {
			order.Speed = proto.Int32(int32(o.Speed))
		}
		if c.payloads.MarkSent(o.Run.Task.Job) {
			order.Payload, order.SamePayload = "", true
		}
		c.leadership.budget.spend(c.leadership.opts.Now(), len(order.Payload)+startOverheadBytes)
		out.Starts = append(out.Starts, order)
	})
}

func (c *agentConn) stop(o planner.Stop) {
	c.send(func(out *wirepb.LeaderMessage) { out.Stops = append(out.Stops, wire.RunRef(o.Run)) })
}

func (c *agentConn) throttle(o planner.Throttle) {
	c.send(func(out *wirepb.LeaderMessage) {
		out.Paces = append(out.Paces, &wirepb.PaceOrder{Run: wire.RunRef(o.Run), Percent: int32(o.Percent)})
	})
}

// sendStoredEnds notifies the agent that the ledger has stored the ends up to the given one,
// unless it has been notified in this session.
func (c *agentConn) sendStoredEnds(ends endSequence) {
	if ends == c.storedEnds || ends.sequence == 0 {
		return
	}
	c.send(func(out *wirepb.LeaderMessage) {
		out.Stored = &wirepb.EndsStored{RunnerId: ends.runner, Born: ends.startTime, Sequence: ends.sequence}
		c.storedEnds = ends
	})
}

// writeLoop sends the outgoing messages until the session ends.
func (c *agentConn) writeLoop(session wire.Session, stream wire.Stream) {
	for {
		select {
		case <-session.Done():
			return
		case <-c.outPending:
		}
		c.outMu.Lock()
		m := c.out
		if m != nil {
			c.out = &wirepb.LeaderMessage{}
		}
		c.outMu.Unlock()
		if m == nil {
			return
		}
		for _, part := range splitOrders(m) {
			part.Term = c.leadership.term.Term.Number
			if err := stream.Send(part); err != nil {
				c.leadership.opts.Logger.WithError(err).WithField("agent", c.id).Warn("send to agent failed")
				_ = session.Close()
				return
			}
		}
	}
}
