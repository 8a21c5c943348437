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

// fault is what strikes at one message.
type fault struct {
	name string
	fate wire.MessageFault
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
	overtaken  = fault{"overtaken", wire.MessageFault{Delay: 30 * time.Millisecond, Reorder: true}}
)

// allFaults are combined with all steps.
var allFaults = []fault{lost, cutBefore, cutAfter, silence, duplicated, late60, late150, late300, overtaken}

// strikeAt returns a hook that applies the fates to the first message of each
// step.
func strikeAt(fates map[step]wire.MessageFault) func(wire.Side, proto.Message) wire.MessageFault {
	var mu sync.Mutex
	struck := map[step]bool{}
	return func(_ wire.Side, m proto.Message) wire.MessageFault {
		s, _ := stepOf(m)
		mu.Lock()
		defer mu.Unlock()
		if struck[s] {
			return wire.MessageFault{}
		}
		struck[s] = true
		return fates[s]
	}
}

const ok verdict.Outcome = 255

// What is said of a request against what the upstream really ran, with a fault
// at each message. Tried on a copy without the mechanism: when the exchange is
// not taken for committed before the commit is sent, the rows in which the
// upstream ran say NotRun; without a bound on the accept three rows wait for the
// whole wait and do not name the session; without the commit's deadline at the
// agent a lost commit ends as MayHaveRun.
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
		c, keptStream := cases[i/2], i%2 == 1
		name := fmt.Sprintf("%s %s idempotent=%v kept=%v", c.step, c.fault.name, c.idempotent, keptStream)
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				r := newRig(t, 8)
				if keptStream {
					_, _, err := r.do(request("before", c.idempotent))
					must.NoError(t, err)
				}
				r.faults.SetHook(strikeAt(map[step]wire.MessageFault{c.step: c.fault.fate}))
				start := time.Now()
				answer, _, err := r.do(request("r1", c.idempotent))
				must.LessEq(t, wait, time.Since(start))
				<-time.After(10 * time.Second) // virtual: whatever is under way arrives
				must.Eq(t, c.runs, r.runner.ran("r1"))
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

// Two faults at once: every pair over all messages keeps the promises.
func TestExchange_TwoFaults(t *testing.T) {
	steps := []step{stepOffer, stepAccept, stepCommit, stepAnswer}
	for _, idempotent := range []bool{false, true} {
		for i, s1 := range steps {
			for _, s2 := range steps[i+1:] {
				for _, f1 := range allFaults {
					for _, f2 := range allFaults {
						checkTwoFaults(t, idempotent, map[step]wire.MessageFault{s1: f1.fate, s2: f2.fate},
							fmt.Sprintf("%s %s, %s %s, idempotent=%v", s1, f1.name, s2, f2.name, idempotent))
					}
				}
			}
		}
	}
}

func checkTwoFaults(t *testing.T, idempotent bool, fates map[step]wire.MessageFault, name string) {
	synctest.Test(t, func(t *testing.T) {
		r := newRig(t, 8)
		r.faults.SetHook(strikeAt(fates))
		start := time.Now()
		answer, _, err := r.do(request("r1", idempotent))
		must.LessEq(t, wait, time.Since(start), must.Sprint(name))
		<-time.After(10 * time.Second) // virtual
		runs := r.runner.ran("r1")
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

// What the upstream does wrong, as the entry learns it.
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
		{"another request's answer", func(_ context.Context, req structs.Request) (structs.Answer, error) {
			return structs.Answer{RequestID: "other", Status: 200}, nil
		}, verdict.MayHaveRun, verdict.WrongAnswer},
		{"impossible status", func(_ context.Context, req structs.Request) (structs.Answer, error) {
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
					r := newRig(t, 8)
					r.runner.serve = c.serve
					_, _, err := r.do(request("r1", idempotent))
					must.Eq(t, c.reason, verdict.ReasonOf(err))
					must.Eq(t, c.outcome, verdict.OutcomeOf(err, ok))
					<-time.After(10 * time.Second) // virtual
					must.Eq(t, 0, r.server.InFlight())
				})
			})
		}
	}
}
