package exchange_test

import (
	"context"
	"fmt"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/shoenig/test/must"
	"google.golang.org/protobuf/proto"

	"bamboowood/internal/structs"
	"bamboowood/internal/verdict"
	"bamboowood/internal/wire"
)

// fault is the fault injected at one message.
type fault struct {
	name   string
	effect wire.MessageFault
}

var (
	lost       = fault{"lost", wire.MessageFault{Drop: true}}
	cutBefore  = fault{"cut before", wire.MessageFault{Drop: true, CutAfter: true}}
	cutAfter   = fault{"cut after", wire.MessageFault{CutAfter: true}}
	silence    = fault{"silence after", wire.MessageFault{SilenceAfter: true}}
	duplicated = fault{"duplicated", wire.MessageFault{Duplicate: true}}
	late60     = fault{"60 ms late", wire.MessageFault{Delay: 60 * time.Millisecond}}
	late150    = fault{"150 ms late", wire.MessageFault{Delay: 150 * time.Millisecond}}
	late300    = fault{"300 ms late", wire.MessageFault{Delay: 300 * time.Millisecond}}
	reordered  = fault{"reordered", wire.MessageFault{Delay: 30 * time.Millisecond, Reorder: true}}
)

// allFaults are the faults that are combined with every step.
var allFaults = []fault{lost, cutBefore, cutAfter, silence, duplicated, late60, late150, late300, reordered}

// faultFirstMessages returns a hook that applies the faults to the first message of
// each step.
func faultFirstMessages(faults map[step]wire.MessageFault) func(wire.Side, proto.Message) wire.MessageFault {
	var mu sync.Mutex
	applied := map[step]bool{}
	return func(_ wire.Side, m proto.Message) wire.MessageFault {
		s, _ := stepOf(m)
		mu.Lock()
		defer mu.Unlock()
		if applied[s] {
			return wire.MessageFault{}
		}
		applied[s] = true
		return faults[s]
	}
}

const ok verdict.Outcome = 255

// The reported outcome must agree with what the upstream ran, with a fault at each
// message. If the exchange is not marked as committed before the commit is sent, the
// cases in which the upstream ran report NotRun. Without a limit on the accept, three
// cases use their full wait and do not report the session as silent. Without the
// agent's deadline for the commit, a lost commit ends as MayHaveRun.
func TestExchange_FaultTable(t *testing.T) {
	const idempotent, once = true, false
	cases := []struct {
		step       step
		fault      fault
		idempotent bool
		outcome    verdict.Outcome
		reason     verdict.Reason
		runs       int
	}{
		{stepOther, lost, once, ok, "", 1},
		{stepOffer, lost, once, verdict.NotRun, verdict.SessionSilent, 0},
		{stepOffer, cutBefore, once, verdict.NotRun, verdict.SessionLost, 0},
		{stepOffer, cutAfter, once, verdict.NotRun, verdict.SessionLost, 0},
		{stepOffer, silence, once, verdict.NotRun, verdict.SessionSilent, 0},
		{stepOffer, late60, once, verdict.NotRun, verdict.SessionSilent, 0},
		{stepOffer, duplicated, once, verdict.NotRun, verdict.OfferExpired, 0},
		{stepAccept, lost, once, verdict.NotRun, verdict.SessionSilent, 0},
		{stepAccept, cutAfter, once, verdict.NotRun, verdict.SessionLost, 0},
		{stepAccept, silence, once, verdict.MayHaveRun, verdict.WaitExpired, 0},
		{stepAccept, late60, once, verdict.NotRun, verdict.SessionSilent, 0},
		{stepAccept, duplicated, once, ok, "", 1},
		{stepCommit, lost, once, verdict.NotRun, verdict.OfferExpired, 0},
		{stepCommit, cutBefore, once, verdict.MayHaveRun, verdict.SessionLost, 0},
		{stepCommit, cutAfter, once, verdict.MayHaveRun, verdict.SessionLost, 0},
		{stepCommit, silence, once, verdict.MayHaveRun, verdict.WaitExpired, 1},
		{stepCommit, late60, once, ok, "", 1},
		{stepCommit, late150, once, verdict.NotRun, verdict.OfferExpired, 0},
		{stepCommit, duplicated, once, ok, "", 1},
		{stepAnswer, lost, once, verdict.MayHaveRun, verdict.WaitExpired, 1},
		{stepAnswer, cutBefore, once, verdict.MayHaveRun, verdict.SessionLost, 1},
		{stepAnswer, silence, once, ok, "", 1},
		{stepAnswer, late60, once, ok, "", 1},
		{stepAnswer, late300, once, verdict.MayHaveRun, verdict.WaitExpired, 1},
		{stepAnswer, duplicated, once, ok, "", 1},

		{stepOther, lost, idempotent, ok, "", 1},
		{stepOffer, lost, idempotent, verdict.MayHaveRun, verdict.SessionSilent, 0},
		{stepOffer, cutBefore, idempotent, verdict.MayHaveRun, verdict.SessionLost, 0},
		{stepOffer, silence, idempotent, verdict.MayHaveRun, verdict.SessionSilent, 1},
		{stepOffer, late60, idempotent, verdict.MayHaveRun, verdict.SessionSilent, 1},
		{stepOffer, duplicated, idempotent, ok, "", 1},
		{stepAccept, lost, idempotent, ok, "", 1},
		{stepAccept, cutAfter, idempotent, verdict.MayHaveRun, verdict.SessionLost, 1},
		{stepAccept, silence, idempotent, verdict.MayHaveRun, verdict.WaitExpired, 1},
		{stepAccept, late60, idempotent, verdict.MayHaveRun, verdict.SessionSilent, 1},
		{stepAccept, duplicated, idempotent, ok, "", 1},
		{stepAnswer, lost, idempotent, verdict.MayHaveRun, verdict.WaitExpired, 1},
		{stepAnswer, cutAfter, idempotent, verdict.MayHaveRun, verdict.SessionLost, 1},
		{stepAnswer, late300, idempotent, verdict.MayHaveRun, verdict.WaitExpired, 1},
		{stepAnswer, duplicated, idempotent, ok, "", 1},
	}
	for i := range 2 * len(cases) {
		c, pooledStream := cases[i/2], i%2 == 1
		name := fmt.Sprintf("%s %s idempotent=%v pooled=%v", c.step, c.fault.name, c.idempotent, pooledStream)
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				r := newHarness(t, 8)
				if pooledStream {
					_, _, err := r.do(request("before", c.idempotent))
					must.NoError(t, err)
				}
				r.faults.SetHook(faultFirstMessages(map[step]wire.MessageFault{c.step: c.fault.effect}))
				start := time.Now()
				answer, _, err := r.do(request("r1", c.idempotent))
				must.LessEq(t, wait, time.Since(start))
				<-time.After(10 * time.Second) // virtual time: messages in transit arrive
				must.Eq(t, c.runs, r.upstream.runCount("r1"))
				must.Eq(t, 0, r.server.InFlight())
				if c.outcome == ok {
					must.NoError(t, err)
					must.Eq(t, "body of r1", string(answer.Body))
					return
				}
				must.NotNil(t, asVerdict(err))
				must.Eq(t, c.reason, verdict.ReasonOf(err))
				must.Eq(t, c.outcome, verdict.OutcomeOf(err, ok))
			})
		})
	}
}

// Two faults in one exchange: every pair of faults at every pair of messages keeps the
// outcome consistent with what the upstream ran.
func TestExchange_TwoFaults(t *testing.T) {
	steps := []step{stepOffer, stepAccept, stepCommit, stepAnswer}
	for _, idempotent := range []bool{false, true} {
		for i, s1 := range steps {
			for _, s2 := range steps[i+1:] {
				for _, f1 := range allFaults {
					for _, f2 := range allFaults {
						checkTwoFaults(t, idempotent, map[step]wire.MessageFault{s1: f1.effect, s2: f2.effect},
							fmt.Sprintf("%s %s, %s %s, idempotent=%v", s1, f1.name, s2, f2.name, idempotent))
					}
				}
			}
		}
	}
}

func checkTwoFaults(t *testing.T, idempotent bool, faults map[step]wire.MessageFault, name string) {
	synctest.Test(t, func(t *testing.T) {
		r := newHarness(t, 8)
		r.faults.SetHook(faultFirstMessages(faults))
		start := time.Now()
		answer, _, err := r.do(request("r1", idempotent))
		must.LessEq(t, wait, time.Since(start), must.Sprint(name))
		<-time.After(10 * time.Second) // virtual time
		runs := r.upstream.runCount("r1")
		must.LessEq(t, 1, runs, must.Sprint(name))
		must.Eq(t, 0, r.server.InFlight(), must.Sprint(name))
		if err == nil {
			must.Eq(t, 1, runs, must.Sprint(name))
			must.Eq(t, "body of r1", string(answer.Body), must.Sprint(name))
			return
		}
		if verdict.OutcomeOf(err, ok) == verdict.NotRun {
			must.Eq(t, 0, runs, must.Sprint(name))
		}
	})
}

// Failures of the upstream reach the entry with the right outcome and reason.
func TestExchange_UpstreamFaults(t *testing.T) {
	cases := []struct {
		name    string
		serve   func(ctx context.Context, req structs.Request) (structs.Answer, error)
		outcome verdict.Outcome
		reason  verdict.Reason
	}{
		{"unreachable", func(context.Context, structs.Request) (structs.Answer, error) {
			return structs.Answer{}, verdict.New(verdict.NotRun, verdict.UpstreamUnreachable, nil)
		}, verdict.NotRun, verdict.UpstreamUnreachable},
		{"truncated", func(context.Context, structs.Request) (structs.Answer, error) {
			return structs.Answer{}, verdict.New(verdict.MayHaveRun, verdict.UpstreamTruncated, nil)
		}, verdict.MayHaveRun, verdict.UpstreamTruncated},
		{"untyped error", func(context.Context, structs.Request) (structs.Answer, error) {
			return structs.Answer{}, context.Canceled
		}, verdict.MayHaveRun, verdict.Internal},
		{"answer to another request", func(_ context.Context, req structs.Request) (structs.Answer, error) {
			return structs.Answer{RequestID: "other", Status: 200}, nil
		}, verdict.MayHaveRun, verdict.WrongAnswer},
		{"invalid status", func(_ context.Context, req structs.Request) (structs.Answer, error) {
			return structs.Answer{RequestID: req.ID, Status: 99}, nil
		}, verdict.MayHaveRun, verdict.WrongAnswer},
		{"never answers", func(ctx context.Context, req structs.Request) (structs.Answer, error) {
			return echo(ctx, req, time.Hour)
		}, verdict.MayHaveRun, verdict.WaitExpired},
	}
	for _, c := range cases {
		for _, idempotent := range []bool{true, false} {
			t.Run(fmt.Sprintf("%s idempotent=%v", c.name, idempotent), func(t *testing.T) {
				synctest.Test(t, func(t *testing.T) {
					r := newHarness(t, 8)
					r.upstream.serve = c.serve
					_, _, err := r.do(request("r1", idempotent))
					must.Eq(t, c.reason, verdict.ReasonOf(err))
					must.Eq(t, c.outcome, verdict.OutcomeOf(err, ok))
					<-time.After(10 * time.Second) // virtual time
					must.Eq(t, 0, r.server.InFlight())
				})
			})
		}
	}
}
