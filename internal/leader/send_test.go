package leader

import (
	"fmt"
	"net"
	"strings"
	"testing"
	"time"

	"github.com/apex/log"
	"github.com/apex/log/handlers/discard"
	"github.com/shoenig/test"
	"github.com/shoenig/test/must"

	"bamboowood/internal/job"
	"bamboowood/internal/ledger"
	"bamboowood/internal/planner"
	"bamboowood/internal/wire"
	"bamboowood/internal/wire/wirepb"
)

// sendOrders passes orders to a connection that has not sent yet, and returns the messages that the agent
// receives until done reports true.
func sendOrders(t *testing.T, order func(*agentConn), done func(received []*wirepb.LeaderMessage) bool) []*wirepb.LeaderMessage {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	must.NoError(t, err)
	t.Cleanup(func() { _ = ln.Close() })
	client, err := wire.Dial(t.Context(), ln.Addr().String(), nil)
	must.NoError(t, err)
	t.Cleanup(func() { _ = client.Close() })
	conn, err := ln.Accept()
	must.NoError(t, err)
	server, err := wire.NewServerSession(conn)
	must.NoError(t, err)
	t.Cleanup(func() { _ = server.Close() })
	out, err := client.Open(t.Context())
	must.NoError(t, err)

	r := &leadership{opts: Options{
		Logger: &log.Logger{Handler: discard.Default}, Now: func() time.Duration { return time.Hour },
	}, term: &ledger.HeldTerm{Term: ledger.Term{Number: 7}}}
	c := &agentConn{leadership: r, id: "a", outPending: make(chan struct{}, 1)}
	c.resetOut()
	order(c)
	go c.writeLoop(client, out)
	in, err := server.Accept(t.Context())
	must.NoError(t, err)
	must.NoError(t, in.SetDeadline(time.Now().Add(20*time.Second)))
	var received []*wirepb.LeaderMessage
	for !done(received) {
		var m wirepb.LeaderMessage
		must.NoError(t, in.Recv(&m))
		test.Eq(t, 7, m.Term)
		received = append(received, &m)
	}
	return received
}

func startOrder(n int, payload string) planner.Start {
	return planner.Start{
		Run:  job.Run{Task: job.Task{Job: fmt.Sprintf("%016x", n+1)}, Number: 1},
		Step: &job.Step{}, Payload: payload, Speed: job.FullSpeed, RunnerID: "i-1", StartTime: 77,
	}
}

// Guards against orders of one plan that exceed a message: the session ended without them, and each later one
// did so too.
func TestAgentConn_OrdersBeyondOneMessage(t *testing.T) {
	const starts = 1100
	payload := strings.Repeat("x", 4000)
	count := func(received []*wirepb.LeaderMessage) (n int) {
		for _, m := range received {
			n += len(m.Starts)
		}
		return n
	}
	received := sendOrders(t, func(c *agentConn) {
		c.send(func(out *wirepb.LeaderMessage) { out.Grant = &wirepb.LeaseGrant{Beat: 1, HoldMs: 5000} })
		for n := range starts {
			c.start(startOrder(n, payload))
		}
	}, func(received []*wirepb.LeaderMessage) bool { return count(received) == starts })
	test.NotNil(t, received[0].Grant, test.Sprint("the lease comes first"))
	n := 0
	for _, m := range received {
		for _, o := range m.Starts {
			test.StrHasPrefix(t, fmt.Sprintf("%016x", n+1), o.Details.Run.Task)
			test.Eq(t, "i-1", o.RunnerId)
			test.Eq(t, 77, o.Born)
			n++
		}
	}
}

// Guards against orders that agents of the previous version lose (UNASKED, HARM): they apply the stops and speed
// limits of a message before its starts. Orders for other runs do not wait for the starts.
func TestAgentConn_OrdersForRunsStartedInTheSameMessage(t *testing.T) {
	started, other := startOrder(1, ""), startOrder(2, "").Run
	received := sendOrders(t, func(c *agentConn) {
		c.start(started)
		for _, run := range []job.Run{started.Run, other} {
			c.throttle(planner.Throttle{Run: run, Percent: 20})
			c.stop(planner.Stop{Run: run})
		}
	}, func(received []*wirepb.LeaderMessage) bool { return len(received) == 2 })
	must.Len(t, 1, received[0].Stops)
	must.Len(t, 1, received[0].Paces)
	test.Eq(t, other.Task.String(), received[0].Stops[0].Task)
	test.Eq(t, other.Task.String(), received[0].Paces[0].Run.Task)
	must.Len(t, 1, received[0].Starts)
	must.Len(t, 1, received[1].Stops)
	must.Len(t, 1, received[1].Paces)
	test.Eq(t, started.Run.Task.String(), received[1].Stops[0].Task)
}
