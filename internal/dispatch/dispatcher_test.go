package dispatch

import (
	"context"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/shoenig/test/must"

	"bamboowood/internal/routing"
	"bamboowood/internal/structs"
	"bamboowood/internal/verdict"
)

// newTestDispatcher returns a Dispatcher whose upstreams are agents in one zone.
func newTestDispatcher(opts Options, agents ...*fakeAgent) (*Dispatcher, *fakeExchange) {
	x := &fakeExchange{
		epoch: time.Now(), agents: map[string]*fakeAgent{},
		oneWay:        func(string) time.Duration { return time.Millisecond },
		acceptTimeout: 8 * time.Millisecond,
	}
	snapshot := &routing.Snapshot{Service: "check", LocalZone: "a"}
	for i, a := range agents {
		x.agents[vmName(i)] = a
		snapshot.Upstreams = append(snapshot.Upstreams, &routing.Upstream{
			VM: vmName(i), Zone: "a", Slots: a.slots, Stats: &routing.Stats{},
		})
	}
	d := New(opts, x, nil)
	d.SetSnapshot(snapshot)
	return d, x
}

func request(id string, service, wait time.Duration, idempotent bool) structs.Request {
	return structs.Request{
		ID: id, Service: "check", Body: encodeServiceTime(service), Deadline: time.Now().Add(wait), Idempotent: idempotent,
	}
}

func TestDo_Answers(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		d, _ := newTestDispatcher(DefaultOptions(), newAgent(), newAgent())
		for _, idempotent := range []bool{true, false} {
			answer, err := d.Do(context.Background(), request("r1", 20*time.Millisecond, 200*time.Millisecond, idempotent))
			must.NoError(t, err)
			must.Eq(t, "r1", answer.RequestID)
		}
		synctest.Wait()
		must.Eq(t, 0, (*d.services.Load())["check"].inFlight.Load())
	})
}

func TestDo_UnknownService(t *testing.T) {
	d, _ := newTestDispatcher(DefaultOptions())
	_, err := d.Do(context.Background(), structs.Request{Service: "none", Deadline: time.Now().Add(time.Second)})
	must.Eq(t, verdict.UnknownService, verdict.ReasonOf(err))
	must.Eq(t, verdict.NotRun, verdict.OutcomeOf(err, verdict.Ran))
}

// Drain makes Do refuse new requests as NotRun and waits for those in flight.
func TestDrain(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		d, _ := newTestDispatcher(DefaultOptions(), newAgent())
		answered := make(chan error, 1)
		go func() {
			_, err := d.Do(context.Background(), request("r1", 50*time.Millisecond, 200*time.Millisecond, false))
			answered <- err
		}()
		synctest.Wait()
		drained := make(chan error, 1)
		go func() { drained <- d.Drain(context.Background()) }()
		synctest.Wait()
		must.Eq(t, 0, len(drained))
		_, err := d.Do(context.Background(), request("r2", time.Millisecond, 200*time.Millisecond, false))
		must.Eq(t, verdict.ShuttingDown, verdict.ReasonOf(err))
		must.Eq(t, verdict.NotRun, verdict.OutcomeOf(err, verdict.Ran))
		must.NoError(t, <-answered)
		must.NoError(t, <-drained)
		must.NoError(t, d.Drain(context.Background()))
	})
}

// exchangeFunc returns the result of the nth call of an Exchanger, counted from 1.
type exchangeFunc func(n int) (structs.Answer, error)

func (f exchangeFunc) exchanger() Exchanger { return &scriptedExchanger{next: f} }

type scriptedExchanger struct {
	calls atomic.Int32
	next  exchangeFunc
}

func (s *scriptedExchanger) Do(_ context.Context, _ string, req structs.Request) (structs.Answer, structs.Load, error) {
	time.Sleep(time.Millisecond)
	answer, err := s.next(int(s.calls.Add(1)))
	answer.RequestID = req.ID
	return answer, structs.Load{InFlight: -1}, err
}

// A later try does not lower the outcome of the request: a refusal after a try that
// may have run does not make the request NotRun.
func TestDo_KeepsTheGreatestOutcome(t *testing.T) {
	lost := verdict.New(verdict.MayHaveRun, verdict.SessionLost, nil)
	refused := verdict.New(verdict.NotRun, verdict.AgentLeaving, nil)
	cases := []struct {
		name    string
		next    exchangeFunc
		outcome verdict.Outcome
		status  int
	}{
		{"refusals only", func(int) (structs.Answer, error) { return structs.Answer{}, refused }, verdict.NotRun, 0},
		{"session lost, then refusals", func(n int) (structs.Answer, error) {
			if n == 1 {
				return structs.Answer{}, lost
			}
			return structs.Answer{}, refused
		}, verdict.MayHaveRun, 0},
		{"session lost, then an answer", func(n int) (structs.Answer, error) {
			if n == 1 {
				return structs.Answer{}, lost
			}
			return structs.Answer{Status: 200}, nil
		}, verdict.Ran, 200},
		{"failed answer, then refusals", func(n int) (structs.Answer, error) {
			if n == 1 {
				return structs.Answer{Status: 503}, nil
			}
			return structs.Answer{}, refused
		}, verdict.Ran, 503},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				d, _ := newTestDispatcher(DefaultOptions(), newAgent(), newAgent(), newAgent())
				d.ex = c.next.exchanger()
				(*d.services.Load())["check"].budget.Earn(10, 10)
				answer, err := d.Do(context.Background(), request("r", 0, 200*time.Millisecond, true))
				must.Eq(t, c.outcome, verdict.OutcomeOf(err, verdict.Ran))
				must.Eq(t, c.status, answer.Status)
			})
		})
	}
}

// The result of concurrent tries is the most conclusive one, in whichever order
// they end.
func TestTries_MoreConclusive(t *testing.T) {
	notRun := result{err: verdict.New(verdict.NotRun, verdict.SlotsTaken, nil)}
	mayHaveRun := result{err: verdict.New(verdict.MayHaveRun, verdict.SessionLost, nil)}
	failed := result{answer: structs.Answer{Status: 500}}
	good := result{answer: structs.Answer{Status: 200}}
	cases := []struct {
		name string
		ends []result
		want result
	}{
		{"may have run, then refusal", []result{mayHaveRun, notRun}, mayHaveRun},
		{"refusal, then may have run", []result{notRun, mayHaveRun}, mayHaveRun},
		{"failed answer, then may have run", []result{failed, mayHaveRun}, failed},
		{"may have run, then failed answer", []result{mayHaveRun, failed}, failed},
		{"may have run, then answer", []result{mayHaveRun, good}, good},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			tr := &tries{open: len(c.ends)}
			var final result
			var ok bool
			for _, r := range c.ends {
				final, ok = tr.addResult(r)
			}
			must.True(t, ok)
			must.Eq(t, c.want.answer.Status, final.answer.Status)
			must.EqOp(t, c.want.err, final.err)
		})
	}
}

// Requests that cannot be answered within their deadline are refused before any
// time passes, without being sent.
func TestDo_RefusesEarly(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		agent := newAgent()
		d, _ := newTestDispatcher(DefaultOptions(), agent)
		ends := make(chan error, 200)
		for range cap(ends) {
			go func() {
				_, err := d.Do(context.Background(), request("r", 20*time.Millisecond, 200*time.Millisecond, true))
				ends <- err
			}()
		}
		synctest.Wait()
		refused := len(ends) // before any time has passed
		must.Greater(t, 50, refused)
		for range cap(ends) {
			if err := <-ends; err != nil && refused > 0 {
				must.Eq(t, verdict.WaitTooShort, verdict.ReasonOf(err))
				must.Eq(t, verdict.NotRun, verdict.OutcomeOf(err, verdict.Ran))
				refused--
			}
		}
		time.Sleep(time.Minute)
	})
}

// Requests are refused while the snapshot has no upstreams and are served after
// another one brings the upstreams back.
func TestSetSnapshot(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		d, _ := newTestDispatcher(DefaultOptions(), newAgent())
		full := (*d.services.Load())["check"].picker.Load().Snapshot()
		d.SetSnapshot(&routing.Snapshot{Service: "check"})
		_, err := d.Do(context.Background(), request("r", time.Millisecond, time.Second, true))
		must.Eq(t, verdict.NoUpstream, verdict.ReasonOf(err))
		d.SetSnapshot(full)
		_, err = d.Do(context.Background(), request("r", time.Millisecond, time.Second, true))
		must.NoError(t, err)
	})
}
