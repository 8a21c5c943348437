package follower

import (
	"testing"
	"time"

	"github.com/shoenig/test"
	"github.com/shoenig/test/must"
	"github.com/shoenig/test/wait"

	"bamboowood/internal/wire/wirepb"
)

// Guards against losing a stop or a speed limit that is in the same message as the start of its run (UNASKED,
// HARM): both were applied before the start and had no effect.
func TestFollower_OrdersInTheMessageOfTheStart(t *testing.T) {
	address, r := startAgent(t)
	stream := openLeaderSession(t, address, 1)
	waitForSnapshot(t, stream)
	m := startMessage(1)
	m.Stops = []*wirepb.RunRef{m.Starts[0].Details.Run}
	throttled := startMessage(2).Starts[0]
	m.Starts = append(m.Starts, throttled)
	m.Paces = []*wirepb.PaceOrder{{Run: throttled.Details.Run, Percent: 30}}
	must.NoError(t, stream.Send(m))
	var refused *wirepb.RunRefusal
	for refused == nil {
		var answer wirepb.AgentMessage
		must.NoError(t, stream.Recv(&answer))
		if len(answer.Refusals) > 0 {
			refused = answer.Refusals[0]
		}
	}
	test.Eq(t, m.Stops[0].Task, refused.Run.Task)
	must.Wait(t, wait.InitialSuccess(wait.BoolFunc(func() bool { return r.runs() == 1 && r.percent() == 30 }), wait.Timeout(5*time.Second)))
}
