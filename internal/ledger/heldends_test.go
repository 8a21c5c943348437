package ledger_test

import (
	"testing"

	"github.com/shoenig/test"
	"github.com/shoenig/test/must"

	"bamboowood/internal/job"
	"bamboowood/internal/ledger"
)

// Held ends of a stored job are read back, those of a job that is not stored are obsolete, and rows of other
// writers are skipped.
func TestHeldEnds(t *testing.T) {
	l, s := newWritableLedger(t)
	stored := &job.Job{ID: "a000000000000001", Steps: []job.Step{{Tasks: 200}}}
	must.NoError(t, l.Accept(t.Context(), stored))
	held := beginTerm(t, l, "p1")
	var ends []job.End
	for i := range 150 {
		ends = append(ends, job.End{Run: job.Run{Task: job.Task{Job: stored.ID, Index: i}, Number: 1 << 17}, Reason: job.EndDone})
	}
	gone := job.End{Run: job.Run{Task: job.Task{Job: "b000000000000001"}, Number: 1}, Reason: job.EndFailed}
	must.NoError(t, held.HoldEnds(t.Context(), append(ends, gone)))
	must.NoError(t, held.HoldEnds(t.Context(), ends[:1]))
	for _, key := range []string{"odd", "a000000000000001.0.0.0", "a000000000000001.0.0.0/x", "a000000000000001.0.0.0/-1", "/1", "x/1"} {
		writeRow(t, s, "heldends", "main", key, "done")
	}
	c, err := l.NewLoader().Run(t.Context())
	must.NoError(t, err)
	test.SliceContainsAll(t, c.HeldEnds, ends)
	test.Len(t, len(ends), c.HeldEnds)
	test.Eq(t, []job.End{gone}, c.ObsoleteEnds)
	test.Len(t, 6, c.Unreadable)

	later := beginTerm(t, l, "p2")
	must.NoError(t, later.DeleteHeldEnds(t.Context(), c.ObsoleteEnds))
	test.ErrorIs(t, held.HoldEnds(t.Context(), ends), ledger.ErrDeposed)
	c, err = l.NewLoader().Run(t.Context())
	must.NoError(t, err)
	test.Len(t, 0, c.ObsoleteEnds)
}
