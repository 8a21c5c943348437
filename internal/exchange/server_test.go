package exchange_test

import (
	"context"
	"fmt"
	"io"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/shoenig/test/must"
	"google.golang.org/protobuf/proto"

	"bamboowood/internal/exchange"
	"bamboowood/internal/structs"
	"bamboowood/internal/verdict"
	"bamboowood/internal/wire"
	"bamboowood/internal/wire/wirepb"
)

// Concurrent offers of several entries never use more than the agent's slots. The
// others are refused as NotRun at once.
func TestServer_LimitsSlotsAcrossEntries(t *testing.T) {
	for _, idempotent := range []bool{true, false} {
		synctest.Test(t, func(t *testing.T) {
			r := newHarness(t, 8)
			var wg sync.WaitGroup
			var mu sync.Mutex
			answered, refused := 0, 0
			for entry := range 4 {
				session := r.dial(&wire.Faults{})
				defer session.Close()
				for i := range 8 {
					wg.Go(func() {
						_, load, err := doOn(session, request(fmt.Sprintf("e%d-r%d", entry, i), idempotent))
						mu.Lock()
						defer mu.Unlock()
						if err == nil {
							answered++
							return
						}
						refused++
						must.Eq(t, verdict.SlotsTaken, verdict.ReasonOf(err))
						must.Eq(t, verdict.NotRun, verdict.OutcomeOf(err, ok))
						must.Eq(t, 8, load.InFlight)
					})
				}
			}
			wg.Wait()
			must.Eq(t, 8, r.upstream.maxRunning)
			must.Eq(t, 8, answered)
			must.Eq(t, 24, refused)
		})
	}
}

// A slot is released after the commit timeout when the commit does not arrive.
func TestServer_FreesSlotOfLateCommit(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		r := newHarness(t, 1)
		r.faults.SetHook(faultFirstMessages(map[step]wire.MessageFault{stepCommit: lost.effect}))
		go func() { _, _, _ = r.do(request("r1", false)) }()
		<-time.After(commitTimeout / 2)
		must.Eq(t, 1, r.server.InFlight())
		<-time.After(commitTimeout/2 + 2*linkDelay)
		must.Eq(t, 0, r.server.InFlight())
		_, _, err := r.do(request("r2", false))
		must.NoError(t, err)
		must.Eq(t, 0, r.upstream.runCount("r1"))
	})
}

// A request that still runs after its wait keeps its slot, because the runner is busy,
// until the overrun has passed.
func TestServer_SlotCoversOverrun(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		r := newHarness(t, 1)
		r.upstream.serve = func(ctx context.Context, req structs.Request) (structs.Answer, error) {
			return echo(ctx, req, time.Hour)
		}
		_, _, err := r.do(request("r1", true))
		must.Eq(t, verdict.WaitExpired, verdict.ReasonOf(err))
		must.Eq(t, 1, r.server.InFlight())
		_, _, err = r.do(request("r2", true))
		must.Eq(t, verdict.SlotsTaken, verdict.ReasonOf(err))
		<-time.After(exchange.DefaultOverrun)
		must.Eq(t, 0, r.server.InFlight())
	})
}

// scriptedStream passes messages to the agent's side one by one and records its replies.
type scriptedStream struct {
	recv    []func(m proto.Message) error
	replies []*wirepb.Reply
}

func (s *scriptedStream) Send(m proto.Message) error {
	s.replies = append(s.replies, proto.Clone(m).(*wirepb.Reply))
	return nil
}

func (s *scriptedStream) Recv(m proto.Message) error {
	if len(s.recv) == 0 {
		return io.EOF
	}
	next := s.recv[0]
	s.recv = s.recv[1:]
	return next(m)
}

func (s *scriptedStream) SetDeadline(time.Time) error { return nil }
func (s *scriptedStream) Close() error                { return nil }

func commitWithNonce(id string, nonce uint64) func(proto.Message) error {
	return func(m proto.Message) error {
		proto.Merge(m, &wirepb.Commit{RequestId: id, Nonce: nonce})
		return nil
	}
}

func commitAfter(id string, after time.Duration) func(proto.Message) error {
	return func(m proto.Message) error {
		<-time.After(after) // virtual time: the agent is paused
		proto.Merge(m, &wirepb.Commit{RequestId: id})
		return nil
	}
}

// The agent runs a request only after its commit arrived in time. A commit that was
// buffered while the agent was paused is late by the agent's clock: without the check
// after the read it runs although the entry has reported that it did not.
func TestServer_Commit(t *testing.T) {
	cases := []struct {
		name string
		recv []func(proto.Message) error
		runs int
		kind string
	}{
		{"in time", []func(proto.Message) error{commitAfter("r1", 0)}, 1, "answer"},
		{"read after a pause", []func(proto.Message) error{commitAfter("r1", time.Hour)}, 0, "refuse"},
		{"of another request", []func(proto.Message) error{commitAfter("r2", 0)}, 0, "refuse"},
		{"with the nonce of another try", []func(proto.Message) error{commitWithNonce("r1", 7)}, 0, "refuse"},
		{"none", nil, 0, "refuse"},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				up := &fakeUpstream{}
				server := exchange.NewServer(exchange.ServerOptions{}, up)
				stream := &scriptedStream{recv: c.recv}
				server.Serve(context.Background(), stream, &wirepb.Offer{RequestId: "r1", RemainingMicros: 1e12})
				must.Eq(t, c.runs, up.runCount("r1"))
				last := stream.replies[len(stream.replies)-1]
				must.Eq(t, c.kind == "answer", last.GetAnswer() != nil)
				must.Eq(t, c.kind == "refuse", last.GetRefuse() != nil)
			})
		})
	}
}

// A second commit of the same request, on any stream, does not run and is not reported
// as NotRun.
func TestServer_CommitsOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		up := &fakeUpstream{}
		server := exchange.NewServer(exchange.ServerOptions{}, up)
		var last *wirepb.Reply
		for range 2 {
			stream := &scriptedStream{recv: []func(proto.Message) error{commitAfter("r1", 0)}}
			server.Serve(context.Background(), stream, &wirepb.Offer{RequestId: "r1", RemainingMicros: 1e6})
			last = stream.replies[len(stream.replies)-1]
		}
		must.Eq(t, 1, up.runCount("r1"))
		must.NotNil(t, last.GetFailure())
		must.False(t, last.GetFailure().GetNotRun())
	})
}

// After Leave, SetDraining or SetZoneDrained, offers are refused as NotRun while requests
// in flight continue. Wait includes the sending of their answers.
func TestServer_RefusesWhenLeavingOrDrained(t *testing.T) {
	cases := []struct {
		name   string
		apply  func(s *exchange.Server)
		undo   func(s *exchange.Server)
		reason verdict.Reason
	}{
		{"leave", (*exchange.Server).Leave, nil, verdict.AgentLeaving},
		{
			"drain", func(s *exchange.Server) { s.SetDraining(true) },
			func(s *exchange.Server) { s.SetDraining(false) }, verdict.AgentLeaving,
		},
		{
			"zone drained", func(s *exchange.Server) { s.SetZoneDrained(true) },
			func(s *exchange.Server) { s.SetZoneDrained(false) }, verdict.ZoneDrained,
		},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				r := newHarness(t, 8)
				before := make(chan error, 1)
				go func() {
					_, _, err := r.do(request("before", false))
					before <- err
				}()
				<-time.After(10 * linkDelay)
				c.apply(r.server)
				for _, idempotent := range []bool{true, false} {
					_, _, err := r.do(request("after", idempotent))
					must.Eq(t, c.reason, verdict.ReasonOf(err))
					must.Eq(t, verdict.NotRun, verdict.OutcomeOf(err, ok))
				}
				must.NoError(t, r.server.Wait(context.Background()))
				must.Eq(t, 0, r.upstream.runCount("after"))
				must.NoError(t, <-before)
				if c.undo != nil {
					c.undo(r.server)
					_, _, err := r.do(request("again", false))
					must.NoError(t, err)
				}
			})
		})
	}
}

// When the caller disconnects, the exchange ends at once, with the outcome that follows
// from whether the commit was sent.
func TestDo_ContextCancelled(t *testing.T) {
	cases := []struct {
		name       string
		idempotent bool
		after      time.Duration
		outcome    verdict.Outcome
	}{
		{"before the accept", false, linkDelay, verdict.NotRun},
		{"after the commit", false, 10 * linkDelay, verdict.MayHaveRun},
		{"idempotent", true, linkDelay, verdict.MayHaveRun},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				r := newHarness(t, 8)
				ctx, cancel := context.WithCancel(context.Background())
				time.AfterFunc(c.after, cancel)
				start := time.Now()
				_, _, err := exchange.Do(ctx, r.entry, request("r1", c.idempotent), exchange.ClientOptions{})
				must.Eq(t, verdict.ClientDisconnected, verdict.ReasonOf(err))
				must.Eq(t, c.outcome, verdict.OutcomeOf(err, ok))
				must.Eq(t, c.after, time.Since(start))
			})
		})
	}
}

// No request starts after Leave and Wait have returned. One starts late if active is
// incremented after the admission.
func TestServer_NoRunAfterWait(t *testing.T) {
	for range 200 {
		var waitReturned, startedLate atomic.Bool
		up := &fakeUpstream{serve: func(_ context.Context, req structs.Request) (structs.Answer, error) {
			if waitReturned.Load() {
				startedLate.Store(true)
			}
			return structs.Answer{RequestID: req.ID, Status: 200}, nil
		}}
		server := exchange.NewServer(exchange.ServerOptions{}, up)
		var wg sync.WaitGroup
		for range 16 {
			wg.Go(func() {
				offer := &wirepb.Offer{RequestId: "r1", Committed: true, RemainingMicros: 1e6}
				server.Serve(context.Background(), &scriptedStream{}, offer)
			})
		}
		server.Leave()
		must.NoError(t, server.Wait(context.Background()))
		waitReturned.Store(true)
		wg.Wait()
		must.False(t, startedLate.Load())
	}
}
