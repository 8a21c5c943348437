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

// agentThatSays answers every offer with the replies, whatever comes.
func agentThatSays(session wire.Session, replies []*wirepb.Reply) {
	stream, err := session.Accept(context.Background())
	if err != nil {
		return
	}
	_ = stream.Recv(&wirepb.Hello{})
	for _, reply := range replies {
		_ = stream.Send(reply)
	}
}

// Replies that are crossed, cut short or out of order are never passed on, and
// the outcome is what the state of the exchange allows. Without the check of the
// request id the first three rows, and without the check of the length the
// fourth, return another's or half an answer as a success.
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
		{"crossed answer", true, []*wirepb.Reply{answer("r2", 4)}, verdict.MayHaveRun, verdict.WrongAnswer},
		{"crossed after accept", true, []*wirepb.Reply{accept("r1"), answer("r2", 4)}, verdict.MayHaveRun, verdict.WrongAnswer},
		{"crossed accept", false, []*wirepb.Reply{accept("r2"), answer("r1", 4)}, verdict.NotRun, verdict.WrongAnswer},
		{"truncated", true, []*wirepb.Reply{accept("r1"), answer("r1", 5)}, verdict.MayHaveRun, verdict.UpstreamTruncated},
		{"answer before commit", false, []*wirepb.Reply{answer("r1", 4)}, verdict.MayHaveRun, verdict.WrongAnswer},
		{"empty reply", false, []*wirepb.Reply{{RequestId: "r1"}}, verdict.NotRun, verdict.WrongAnswer},
		{"empty after commit", false, []*wirepb.Reply{accept("r1"), {RequestId: "r1"}}, verdict.MayHaveRun, verdict.WrongAnswer},
		{"unknown reason", true, []*wirepb.Reply{refuse("of-a-later-version")}, verdict.NotRun, verdict.OfferRefused},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				agent, entry := wire.Pipe()
				go agentThatSays(agent, c.replies)
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

// A stream is kept after a whole answer and after nothing else: what may still be
// under way on it must not meet the next request.
func TestDo_KeepsStreamAfterAnswerOnly(t *testing.T) {
	cases := []struct {
		name   string
		spoil  func(r *rig)
		opened int
	}{
		{"answered", func(*rig) {}, 1},
		{"refused", func(r *rig) { r.server.SetDraining(true) }, 2},
		{"answer late", func(r *rig) { r.faults.SetHook(strikeAt(map[step]wire.MessageFault{stepAnswer: late300.fate})) }, 2},
		{"commit late", func(r *rig) { r.faults.SetHook(strikeAt(map[step]wire.MessageFault{stepCommit: late150.fate})) }, 2},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				r := newRig(t, 8)
				counted := &countingSession{Session: r.entry.(*exchange.StreamPool).Session}
				pool := exchange.NewStreamPool(counted)
				c.spoil(r)
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
