package exchange_test

import (
	"context"
	"testing"
	"testing/synctest"

	"github.com/shoenig/test/must"

	"bamboowood/internal/exchange"
	"bamboowood/internal/verdict"
	"bamboowood/internal/wire"
	"bamboowood/internal/wire/wirepb"
)

// sendReplies sends the replies after the first message of a stream, whatever it is.
func sendReplies(session wire.Session, replies []*wirepb.Reply) {
	stream, err := session.Accept(context.Background())
	if err != nil {
		return
	}
	_ = stream.Recv(&wirepb.Hello{})
	for _, reply := range replies {
		_ = stream.Send(reply)
	}
}

// Replies that belong to another request, are truncated or are out of order never
// become an answer, and the outcome follows from whether the commit was sent. Without
// the check of the request ID the first three cases, and without the check of the
// length the fourth, return another request's answer or a truncated one as a success.
func TestDo_ChecksReplies(t *testing.T) {
	accept := func(id string) *wirepb.Reply {
		return &wirepb.Reply{RequestId: id, Kind: &wirepb.Reply_Accept{Accept: &wirepb.Accept{}}}
	}
	answer := func(id string, length int64) *wirepb.Reply {
		return &wirepb.Reply{RequestId: id, Kind: &wirepb.Reply_Answer{Answer: &wirepb.Answer{
			Status: 200, Length: length, Body: []byte("four"),
		}}}
	}
	refuse := func(reason string) *wirepb.Reply {
		return &wirepb.Reply{RequestId: "r1", Kind: &wirepb.Reply_Refuse{Refuse: &wirepb.Refuse{Reason: reason}}}
	}
	cases := []struct {
		name       string
		idempotent bool
		replies    []*wirepb.Reply
		outcome    verdict.Outcome
		reason     verdict.Reason
	}{
		{"answer to another request", true, []*wirepb.Reply{answer("r2", 4)}, verdict.MayHaveRun, verdict.WrongAnswer},
		{"accept, then answer to another request", true, []*wirepb.Reply{accept("r1"), answer("r2", 4)}, verdict.MayHaveRun, verdict.WrongAnswer},
		{"accept of another request", false, []*wirepb.Reply{accept("r2"), answer("r1", 4)}, verdict.NotRun, verdict.WrongAnswer},
		{"truncated answer", true, []*wirepb.Reply{accept("r1"), answer("r1", 5)}, verdict.MayHaveRun, verdict.UpstreamTruncated},
		{"answer before commit", false, []*wirepb.Reply{answer("r1", 4)}, verdict.MayHaveRun, verdict.WrongAnswer},
		{"empty reply", false, []*wirepb.Reply{{RequestId: "r1"}}, verdict.NotRun, verdict.WrongAnswer},
		{"empty reply after commit", false, []*wirepb.Reply{accept("r1"), {RequestId: "r1"}}, verdict.MayHaveRun, verdict.WrongAnswer},
		{"unknown reason", true, []*wirepb.Reply{refuse("of-a-later-version")}, verdict.NotRun, verdict.OfferRefused},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				agent, entry := wire.Pipe()
				go sendReplies(agent, c.replies)
				_, _, err := doOn(entry, request("r1", c.idempotent))
				must.Eq(t, c.reason, verdict.ReasonOf(err))
				must.Eq(t, c.outcome, verdict.OutcomeOf(err, ok))
			})
		})
	}
}

// countingSession counts the streams that it opens.
type countingSession struct {
	wire.Session
	opened int
}

func (s *countingSession) Open(ctx context.Context) (wire.Stream, error) {
	s.opened++
	return s.Session.Open(ctx)
}

// A stream is reused only after a complete answer: messages that may still be in
// transit on it must not reach the next request.
func TestDo_KeepsStreamAfterAnswerOnly(t *testing.T) {
	cases := []struct {
		name    string
		prepare func(r *harness)
		opened  int
	}{
		{"answered", func(*harness) {}, 1},
		{"refused", func(r *harness) { r.server.SetDraining(true) }, 2},
		{"answer late", func(r *harness) {
			r.faults.SetHook(faultFirstMessages(map[step]wire.MessageFault{stepAnswer: late300.effect}))
		}, 2},
		{"commit late", func(r *harness) {
			r.faults.SetHook(faultFirstMessages(map[step]wire.MessageFault{stepCommit: late150.effect}))
		}, 2},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				r := newHarness(t, 8)
				counted := &countingSession{Session: r.entry.(*exchange.StreamPool).Session}
				pool := exchange.NewStreamPool(counted)
				c.prepare(r)
				_, _, _ = doOn(pool, request("r1", false))
				r.server.SetDraining(false)
				answer, _, err := doOn(pool, request("r2", false))
				must.NoError(t, err)
				must.Eq(t, "body of r2", string(answer.Body))
				must.Eq(t, c.opened, counted.opened)
			})
		})
	}
}
