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

// claimCase is one row of the table of claims: a keyed request is sent to one
// entry and then repeated at another.
type claimCase struct {
	name string
	// table and agent set up the faults; at is the time since the start.
	table func(f *fakeTable, at func() time.Duration)
	agent func(a *fakeAgent)
	// change alters the repeat; after is when it is sent.
	change func(req *structs.Request)
	after  time.Duration

	firstOutcome  verdict.Outcome
	firstReason   verdict.Reason
	secondOutcome verdict.Outcome // Ran is an answer
	secondReason  verdict.Reason
	runs          int
}

const keyedService = 20 * time.Millisecond

var claimCases = []claimCase{
	{
		name: "repeat gets the recorded answer", after: time.Second,
		firstOutcome: verdict.Ran, secondOutcome: verdict.Ran, runs: 1,
	},
	{
		name: "repeat while the first runs", after: 10 * time.Millisecond,
		firstOutcome: verdict.Ran, secondOutcome: verdict.Ran, runs: 1,
	},
	{
		name: "repeat before the record is written", after: keyedService + time.Millisecond,
		table:        func(f *fakeTable, _ func() time.Duration) { f.delay = 5 * time.Millisecond },
		firstOutcome: verdict.Ran, secondOutcome: verdict.Ran, runs: 1,
	},
	{
		name: "another body under the key", after: time.Second,
		change:       func(req *structs.Request) { req.Body = work(keyedService + 1) },
		firstOutcome: verdict.Ran, secondOutcome: verdict.NotRun, secondReason: verdict.KeyReused, runs: 1,
	},
	{
		name: "proven refusal frees the key", after: time.Second,
		agent: func(a *fakeAgent) {
			a.fault = func(at time.Duration) fault {
				if at < 500*time.Millisecond {
					return down
				}
				return none
			}
		},
		firstOutcome: verdict.NotRun, firstReason: verdict.SessionLost, secondOutcome: verdict.Ran, runs: 1,
	},
	{
		name: "doubtful first", after: time.Second,
		agent: func(a *fakeAgent) {
			a.fault = func(at time.Duration) fault {
				if at < 500*time.Millisecond {
					return truncated
				}
				return none
			}
		},
		firstOutcome: verdict.MayHaveRun, firstReason: verdict.UpstreamTruncated,
		secondOutcome: verdict.MayHaveRun, secondReason: verdict.ClaimUnconfirmed, runs: 1,
	},
	{
		name: "table down", after: time.Second,
		table: func(f *fakeTable, at func() time.Duration) {
			f.down = func() bool { return at() < 500*time.Millisecond }
		},
		firstOutcome: verdict.NotRun, firstReason: verdict.ClaimUnavailable, secondOutcome: verdict.Ran, runs: 1,
	},
	{
		name: "answer lost and then the table down", after: time.Second,
		table: func(f *fakeTable, at func() time.Duration) {
			f.lose = func() bool { return at() == 0 }
			f.down = func() bool { return f.committed() > 0 && at() < 500*time.Millisecond }
		},
		firstOutcome: verdict.NotRun, firstReason: verdict.ClaimUnavailable, secondOutcome: verdict.Ran, runs: 1,
	},
	{
		name: "table too slow", after: time.Second,
		table:        func(f *fakeTable, _ func() time.Duration) { f.delay = 3 * time.Second },
		firstOutcome: verdict.NotRun, firstReason: verdict.ClaimUnavailable,
		secondOutcome: verdict.NotRun, secondReason: verdict.ClaimUnavailable, runs: 0,
	},
	{
		name: "every answer of the table lost", after: time.Second,
		table:        func(f *fakeTable, _ func() time.Duration) { f.lose = func() bool { return true } },
		firstOutcome: verdict.Ran, secondOutcome: verdict.Ran, runs: 1,
	},
	{
		name: "table goes down before the record", after: time.Second,
		table: func(f *fakeTable, at func() time.Duration) {
			f.down = func() bool { return at() > 10*time.Millisecond && at() < 500*time.Millisecond }
		},
		firstOutcome: verdict.Ran, secondOutcome: verdict.Ran, runs: 1,
	},
	{
		name: "table down and the answer lost at once", after: 400 * time.Millisecond,
		table: func(f *fakeTable, at func() time.Duration) {
			f.down = func() bool { return at() > 10*time.Millisecond && at() < 390*time.Millisecond }
		},
		agent:        func(a *fakeAgent) { a.fault = func(time.Duration) fault { return truncated } },
		firstOutcome: verdict.MayHaveRun, firstReason: verdict.UpstreamTruncated,
		secondOutcome: verdict.MayHaveRun, secondReason: verdict.ClaimUnconfirmed, runs: 1,
	},
}

// A keyed request runs at most once across entries, whatever the table and the
// agent do. Without the claim (Key left out) the first row runs twice, which
// TestClaims_NeedTheKey asserts.
func TestClaims(t *testing.T) {
	for _, c := range claimCases {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) { runClaimCase(t, c) })
		})
	}
}

func runClaimCase(t *testing.T, c claimCase) {
	agent := newAgent()
	agent.ledger = newLedger()
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

	type end struct {
		answer structs.Answer
		err    error
	}
	ended := make(chan end, 1)
	req := request("first", keyedService, 300*time.Millisecond, false)
	req.Key = "k1"
	go func() {
		answer, err := first.Do(context.Background(), req)
		ended <- end{answer, err}
	}()
	time.Sleep(c.after)
	repeat := request("second", keyedService, 300*time.Millisecond, false)
	repeat.Key = "k1"
	if c.change != nil {
		c.change(&repeat)
	}
	answer, err := second.Do(context.Background(), repeat)
	one := <-ended
	assertEnd(t, "first", c.firstOutcome, c.firstReason, one.answer, one.err)
	assertEnd(t, "second", c.secondOutcome, c.secondReason, answer, err)
	must.NoError(t, first.Drain(context.Background()))
	must.NoError(t, second.Drain(context.Background()))
	must.Eq(t, c.runs, agent.ledger.count("first")+agent.ledger.count("second"))
	time.Sleep(time.Minute)
}

// assertEnd checks an outcome; Ran stands for a whole answer to the request id.
func assertEnd(t *testing.T, id string, outcome verdict.Outcome, reason verdict.Reason, answer structs.Answer, err error) {
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

func TestClaims_NeedTheKey(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		agent := newAgent()
		first, _ := newTestDispatcher(DefaultOptions(), agent)
		second, _ := newTestDispatcher(DefaultOptions(), agent)
		for _, d := range []*Dispatcher{first, second} {
			_, err := d.Do(context.Background(), request("r", keyedService, 300*time.Millisecond, false))
			must.NoError(t, err)
		}
		must.Eq(t, 2, agent.runs.Load())
	})
}

// A claim whose holder is gone is never taken over, however old it is.
func TestClaims_NoTakeoverByAge(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		agent := newAgent()
		table := newFakeTable()
		d, _ := newTestDispatcher(DefaultOptions(), agent)
		d.claims.table = table
		req := request("first", keyedService, 300*time.Millisecond, false)
		req.Key = "k1"
		tx := state.NewTx()
		tx.Put(state.ClaimKey("check", "k1"), 0, structs.Claim{
			RequestID: "gone", State: structs.ClaimRunning, BodyHash: bodyHash(req.Body),
		})
		must.NoError(t, state.Commit(context.Background(), table, tx))
		time.Sleep(30 * 24 * time.Hour)
		req.Deadline = time.Now().Add(300 * time.Millisecond)
		_, err := d.Do(context.Background(), req)
		assertEnd(t, "repeat", verdict.MayHaveRun, verdict.ClaimRunning, structs.Answer{}, err)
		must.Eq(t, 0, agent.runs.Load())
	})
}

// A claim costs two writes of the table, one before the request and one after
// its answer, and the caller waits for the first only.
func TestClaims_Cost(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		table := newFakeTable()
		table.delay = 5 * time.Millisecond
		d, _ := newTestDispatcher(DefaultOptions(), newAgent())
		d.claims.table = table
		latency := func(key string) time.Duration {
			req := request("r"+key, keyedService, 300*time.Millisecond, false)
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

// delayedTable is a table that one entry reaches late.
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

// An entry that is not sure of its own claim leaves that of another entry alone,
// although both requests have the same id. Without the transaction's id in the
// comparison the claim is deleted and the third arrival runs again.
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
