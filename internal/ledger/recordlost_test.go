package ledger_test

import (
	"testing"
	"time"

	"github.com/shoenig/test"
	"github.com/shoenig/test/must"

	"bamboowood/internal/ledger"
)

// Guards against a record that is written late, after the agent has been registered again, and against one bad
// registration that keeps the others from being recorded.
func TestRecordLost(t *testing.T) {
	jobLedger, _ := newLedger(t)
	ctx := t.Context()
	held, err := jobLedger.BeginTerm(ctx, ledger.Term{}, ledger.NoLeader, "10.0.0.1:1", "p1/0")
	must.NoError(t, err)
	now, err := jobLedger.StoreTime(ctx)
	must.NoError(t, err)
	lost := ledger.Lost{At: now + time.Millisecond, Until: now + time.Second}
	var records []ledger.LostAgent
	for _, name := range []string{"a", "b"} {
		must.NoError(t, jobLedger.RegisterAgent(ctx, name, "10.0.0.2:2"))
	}
	agents, _, err := jobLedger.Agents(ctx)
	must.NoError(t, err)
	for _, name := range []string{"a", "b"} {
		records = append(records, ledger.LostAgent{Name: name, Address: "10.0.0.2:2", Version: agents[name].Version, Lost: lost})
	}
	_, err = held.ReregisterAgents(ctx, []ledger.Registration{{Name: "a", Address: "10.0.0.2:2"}})
	must.NoError(t, err)
	versions, err := held.RecordLost(ctx, records)
	must.NoError(t, err)
	agents, _, err = jobLedger.Agents(ctx)
	must.NoError(t, err)
	test.Eq(t, ledger.Lost{}, agents["a"].Lost)
	test.Positive(t, agents["b"].Lost.Until)
	test.Eq(t, map[string]int64{"b": agents["b"].Version}, versions)
	must.NoError(t, jobLedger.RegisterAgent(ctx, "b", "10.0.0.2:2"))
	agents, _, err = jobLedger.Agents(ctx)
	must.NoError(t, err)
	test.Eq(t, ledger.Lost{}, agents["b"].Lost)
	_, err = jobLedger.BeginTerm(ctx, held.Term, ledger.NoLeader, "10.0.0.1:1", "p2/0")
	must.NoError(t, err)
	_, err = held.RecordLost(ctx, records[1:])
	test.ErrorIs(t, err, ledger.ErrDeposed)
}
