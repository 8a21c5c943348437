package leader

import (
	"testing"

	"github.com/shoenig/test/must"

	"bamboowood/internal/ledger"
	"bamboowood/internal/store"
	"bamboowood/internal/wire/wirepb"
)

// Guards against HARM: an agent was never told the kind of a run that its runner listed after the
// session's snapshot, and neither paused nor protected it.
func TestLeader_DetailsOfRunListedAfterSnapshot(t *testing.T) {
	hooked, _ := newHookedStore(t)
	jobLedger := newLedger(hooked)
	a := newFakeAgent(t)
	other := *hooked
	other.onApply = nil
	must.NoError(t, ledger.New(&other, store.NewBulkReader(&other, 0)).RegisterAgent(t.Context(), "a", a.address))
	_, _ = runLeader(t, jobLedger)
	must.NoError(t, jobLedger.Accept(t.Context(), testJob(1)))
	started := a.await(t, hasStarts).message.Starts[0].Details.Run
	a.set(func() { a.updated = []*wirepb.RunActivity{{Run: started, DetailsUnknown: true}} })
	a.await(t, func(m *wirepb.LeaderMessage) bool {
		return len(m.Details) == 1 && m.Details[0].Run.Task == started.Task
	})
}
