package dispatch

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/shoenig/test/must"

	"bamboowood/internal/platform"
	"bamboowood/internal/state"
	"bamboowood/internal/structs"
	"bamboowood/internal/verdict"
)

// claimCase sends a keyed request to one entry and repeats it at another.
type claimCase struct {
	name string
	// table and agent configure the faults; at returns the time since the start.
	table func(f *fakeTable, at func() time.Duration)
	agent func(a *fakeAgent)
	// changeRepeat modifies the repeated request, which is sent at repeatAfter.
	changeRepeat func(req *structs.Request)
	repeatAfter  time.Duration

	firstOutcome  verdict.Outcome
	firstReason   verdict.Reason
	secondOutcome verdict.Outcome // Ran stands for an answer
	secondReason  verdict.Reason
	wantRuns      int
}

const keyedServiceTime = 20 * time.Millisecond

var claimCases = []claimCase{
	{
		name: "repeat returns the recorded answer", repeatAfter: time.Second,
		firstOutcome: verdict.Ran, secondOutcome: verdict.Ran, wantRuns: 1,
	},
	{
		name: "repeat while the first runs", repeatAfter: 10 * time.Millisecond,
		firstOutcome: verdict.Ran, secondOutcome: verdict.Ran, wantRuns: 1,
	},
	{
		name: "repeat before the result is recorded", repeatAfter: keyedServiceTime + time.Millisecond,
		table:        func(f *fakeTable, _ func() time.Duration) { f.delay = 5 * time.Millisecond },
		firstOutcome: verdict.Ran, secondOutcome: verdict.Ran, wantRuns: 1,
	},
	{
		name: "key reused with another body", repeatAfter: time.Second,
		changeRepeat: func(req *structs.Request) { req.Body = encodeServiceTime(keyedServiceTime + 1) },
		firstOutcome: verdict.Ran, secondOutcome: verdict.NotRun, secondReason: verdict.KeyReused, wantRuns: 1,
	},
	{
		name: "proven refusal deletes the claim", repeatAfter: time.Second,
		agent: func(a *fakeAgent) {
			a.fault = func(at time.Duration) fault {
				if at < 500*time.Millisecond {
					return down
				}
				return none
			}
		},
		firstOutcome: verdict.NotRun, firstReason: verdict.SessionLost, secondOutcome: verdict.Ran, wantRuns: 1,
	},
	{
		name: "first may have run", repeatAfter: time.Second,
		agent: func(a *fakeAgent) {
			a.fault = func(at time.Duration) fault {
				if at < 500*time.Millisecond {
					return truncated
				}
				return none
			}
		},
		firstOutcome: verdict.MayHaveRun, firstReason: verdict.UpstreamTruncated,
		secondOutcome: verdict.MayHaveRun, secondReason: verdict.ClaimUnconfirmed, wantRuns: 1,
	},
	{
		name: "table unavailable", repeatAfter: time.Second,
		table: func(f *fakeTable, at func() time.Duration) {
			f.down = func() bool { return at() < 500*time.Millisecond }
		},
		firstOutcome: verdict.NotRun, firstReason: verdict.ClaimUnavailable, secondOutcome: verdict.Ran, wantRuns: 1,
	},
	{
		name: "answer of the table lost, then table unavailable", repeatAfter: time.Second,
		table: func(f *fakeTable, at func() time.Duration) {
			f.loseAnswer = func() bool { return at() == 0 }
			f.down = func() bool { return f.committed() > 0 && at() < 500*time.Millisecond }
		},
		firstOutcome: verdict.NotRun, firstReason: verdict.ClaimUnavailable, secondOutcome: verdict.Ran, wantRuns: 1,
	},
	{
		name: "table slower than the claim timeout", repeatAfter: time.Second,
		table:        func(f *fakeTable, _ func() time.Duration) { f.delay = 3 * time.Second },
		firstOutcome: verdict.NotRun, firstReason: verdict.ClaimUnavailable,
		secondOutcome: verdict.NotRun, secondReason: verdict.ClaimUnavailable, wantRuns: 0,
	},
	{
		name: "every answer of the table lost", repeatAfter: time.Second,
		table:        func(f *fakeTable, _ func() time.Duration) { f.loseAnswer = func() bool { return true } },
		firstOutcome: verdict.Ran, secondOutcome: verdict.Ran, wantRuns: 1,
	},
	{
		name: "table unavailable when the result is recorded", repeatAfter: time.Second,
		table: func(f *fakeTable, at func() time.Duration) {
			f.down = func() bool { return at() > 10*time.Millisecond && at() < 500*time.Millisecond }
		},
		firstOutcome: verdict.Ran, secondOutcome: verdict.Ran, wantRuns: 1,
	},
	{
		name: "table unavailable and upstream answer truncated", repeatAfter: 400 * time.Millisecond,
		table: func(f *fakeTable, at func() time.Duration) {
			f.down = func() bool { return at() > 10*time.Millisecond && at() < 390*time.Millisecond }
		},
		agent:        func(a *fakeAgent) { a.fault = func(time.Duration) fault { return truncated } },
		firstOutcome: verdict.MayHaveRun, firstReason: verdict.UpstreamTruncated,
		secondOutcome: verdict.MayHaveRun, secondReason: verdict.ClaimUnconfirmed, wantRuns: 1,
	},
}

// A request with an Idempotency-Key runs at most once across entries under faults
// of the table and of the agent. TestClaims_WithoutKey shows that the first case
// runs twice if the key is left out.
func TestClaims(t *testing.T) {
	for _, c := range claimCases {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) { runClaimCase(t, c) })
		})
	}
}

func runClaimCase(t *testing.T, c claimCase) {
	agent := newAgent()
	agent.runCounter = newRunCounter()
	if c.agent != nil {
		c.agent(agent)
	}
	table := newFakeTable()
	first, x := newTestDispatcher(DefaultOptions(), agent)
	second, _ := newTestDispatcher(DefaultOptions(), agent)
	first.claims.table, second.claims.table = table, table
	if c.table != nil {
		c.table(table, func() time.Duration { return time.Since(x.epoch) })
	}

	type doResult struct {
		answer structs.Answer
		err    error
	}
	firstDone := make(chan doResult, 1)
	req := request("first", keyedServiceTime, 300*time.Millisecond, false)
	req.Key = "k1"
	go func() {
		answer, err := first.Do(context.Background(), req)
		firstDone <- doResult{answer, err}
	}()
	time.Sleep(c.repeatAfter)
	repeat := request("second", keyedServiceTime, 300*time.Millisecond, false)
	repeat.Key = "k1"
	if c.changeRepeat != nil {
		c.changeRepeat(&repeat)
	}
	answer, err := second.Do(context.Background(), repeat)
	firstResult := <-firstDone
	assertResult(t, "first", c.firstOutcome, c.firstReason, firstResult.answer, firstResult.err)
	assertResult(t, "second", c.secondOutcome, c.secondReason, answer, err)
	must.NoError(t, first.Drain(context.Background()))
	must.NoError(t, second.Drain(context.Background()))
	must.Eq(t, c.wantRuns, agent.runCounter.count("first")+agent.runCounter.count("second"))
	time.Sleep(time.Minute)
}

// assertResult checks an outcome and reason; Ran stands for a complete answer to
// the request id.
func assertResult(t *testing.T, id string, outcome verdict.Outcome, reason verdict.Reason, answer structs.Answer, err error) {
	t.Helper()
	if outcome == verdict.Ran {
		must.NoError(t, err, must.Sprint(id))
		must.Eq(t, id, answer.RequestID)
		return
	}
	must.Error(t, err, must.Sprint(id))
	must.Eq(t, outcome, verdict.OutcomeOf(err, verdict.Ran), must.Sprint(id, err))
	must.Eq(t, reason, verdict.ReasonOf(err), must.Sprint(id))
}

func TestClaims_WithoutKey(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		agent := newAgent()
		first, _ := newTestDispatcher(DefaultOptions(), agent)
		second, _ := newTestDispatcher(DefaultOptions(), agent)
		for _, d := range []*Dispatcher{first, second} {
			_, err := d.Do(context.Background(), request("r", keyedServiceTime, 300*time.Millisecond, false))
			must.NoError(t, err)
		}
		must.Eq(t, 2, agent.runs.Load())
	})
}

// A claim whose owner has failed is never taken over, whatever its age: the owner
// may have run the request.
func TestClaims_NoTakeoverByAge(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		agent := newAgent()
		table := newFakeTable()
		d, _ := newTestDispatcher(DefaultOptions(), agent)
		d.claims.table = table
		req := request("first", keyedServiceTime, 300*time.Millisecond, false)
		req.Key = "k1"
		tx := state.NewTx()
		tx.Put(state.ClaimKey("check", "k1"), 0, structs.Claim{
			RequestID: "gone", State: structs.ClaimRunning, BodyHash: bodyHash(req.Body),
		})
		must.NoError(t, state.Commit(context.Background(), table, tx))
		time.Sleep(30 * 24 * time.Hour)
		req.Deadline = time.Now().Add(300 * time.Millisecond)
		_, err := d.Do(context.Background(), req)
		assertResult(t, "repeat", verdict.MayHaveRun, verdict.ClaimRunning, structs.Answer{}, err)
		must.Eq(t, 0, agent.runs.Load())
	})
}

// A claim costs two writes to the table, one before the request and one after the
// answer. The caller waits only for the first.
func TestClaims_Cost(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		table := newFakeTable()
		table.delay = 5 * time.Millisecond
		d, _ := newTestDispatcher(DefaultOptions(), newAgent())
		d.claims.table = table
		latency := func(key string) time.Duration {
			req := request("r"+key, keyedServiceTime, 300*time.Millisecond, false)
			req.Key = key
			start := time.Now()
			_, err := d.Do(context.Background(), req)
			must.NoError(t, err)
			return time.Since(start)
		}
		keyless, keyed := latency(""), latency("k1")
		must.Eq(t, 5*time.Millisecond, keyed-keyless)
		must.NoError(t, d.Drain(context.Background()))
		must.Eq(t, 2, table.commits)
	})
}

// delayedTable is a table whose commits are delayed until a given time.
type delayedTable struct {
	platform.Table
	until time.Time
}

func (d *delayedTable) Commit(ctx context.Context, tx platform.Tx) (int64, error) {
	select {
	case <-time.After(time.Until(d.until)):
		return d.Table.Commit(ctx, tx)
	case <-ctx.Done():
		return 0, ctx.Err()
	}
}

// An entry whose claim is unconfirmed must not delete the claim of another entry,
// although both requests have the same id. Without the comparison of transaction
// ids the claim is deleted and the third request runs again.
func TestClaims_SameRequestID(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		agent := newAgent()
		table := newFakeTable()
		send := func(table platform.Table, wait time.Duration) error {
			d, _ := newTestDispatcher(DefaultOptions(), agent)
			d.claims.table = table
			req := request("same", 20*time.Millisecond, wait, false)
			req.Key = "k1"
			_, err := d.Do(context.Background(), req)
			return err
		}
		must.NoError(t, send(table, 300*time.Millisecond))
		err := send(&delayedTable{table, time.Now().Add(time.Second)}, 300*time.Millisecond)
		must.Eq(t, verdict.ClaimUnavailable, verdict.ReasonOf(err))
		time.Sleep(5 * time.Second)
		must.NoError(t, send(table, 300*time.Millisecond)) // the recorded answer
		must.Eq(t, 1, agent.runs.Load())
		time.Sleep(time.Minute)
	})
}
