package exchange_test

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/shoenig/test/must"

	"bamboowood/internal/exchange"
	"bamboowood/internal/structs"
	"bamboowood/internal/verdict"
)

const slotWait = 10 * time.Millisecond

// An offer that finds no free slot waits for one for up to MaxSlotWait, and what
// happens during the wait decides its result. Without the wait the first case is
// refused. Without the second check of the flags the last two cases run.
func TestServer_OffersWaitForSlot(t *testing.T) {
	cases := []struct {
		name   string
		busy   time.Duration // how long the slot is in use
		during func(s *exchange.Server)
		reason verdict.Reason // "" means an answer
	}{
		{"slot released within the wait", slotWait / 2, nil, ""},
		{"slot in use for longer", 2 * slotWait, nil, verdict.SlotsTaken},
		{"agent leaves during the wait", slotWait / 2, (*exchange.Server).Leave, verdict.AgentLeaving},
		{"zone drained during the wait", slotWait / 2, func(s *exchange.Server) { s.SetZoneDrained(true) }, verdict.ZoneDrained},
	}
	for _, idempotent := range []bool{true, false} {
		for _, c := range cases {
			t.Run(c.name, func(t *testing.T) {
				synctest.Test(t, func(t *testing.T) {
					r := newHarness(t, 1)
					r.server = exchange.NewServer(exchange.ServerOptions{Slots: 1, CommitTimeout: commitTimeout, MaxSlotWait: slotWait}, r.upstream)
					r.upstream.serve = func(ctx context.Context, req structs.Request) (structs.Answer, error) {
						return echo(ctx, req, c.busy)
					}
					first := make(chan error, 1)
					go func() { _, _, err := r.do(request("first", true)); first <- err }()
					<-time.After(2 * linkDelay)
					if c.during != nil {
						time.AfterFunc(2*linkDelay, func() { c.during(r.server) })
					}
					_, _, err := r.do(request("second", idempotent))
					must.NoError(t, <-first)
					if c.reason == "" {
						must.NoError(t, err)
						must.Eq(t, 1, r.upstream.runCount("second"))
						return
					}
					must.Eq(t, c.reason, verdict.ReasonOf(err))
					must.Eq(t, verdict.NotRun, verdict.OutcomeOf(err, verdict.Ran))
					must.Eq(t, 0, r.upstream.runCount("second"))
				})
			})
		}
	}
}

// Answers and refusals report the agent's estimate of the service time, which grows
// while a request runs longer than expected.
func TestServer_ReportsMeanServiceTime(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		r := newHarness(t, 1)
		_, load, err := r.do(request("first", true))
		must.NoError(t, err)
		must.Eq(t, serviceTime, load.MeanServiceTime.Round(time.Millisecond))

		r.upstream.serve = func(ctx context.Context, req structs.Request) (structs.Answer, error) {
			return echo(ctx, req, 5*serviceTime)
		}
		slow := make(chan error, 1)
		go func() { _, _, err := r.do(request("slow", true)); slow <- err }()
		<-time.After(3 * serviceTime)
		_, load, err = r.do(request("refused", true))
		must.Eq(t, verdict.SlotsTaken, verdict.ReasonOf(err))
		must.Greater(t, 2*serviceTime, load.MeanServiceTime)
		must.NoError(t, <-slow)
	})
}
