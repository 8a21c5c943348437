package ledger_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/shoenig/test"
	"github.com/shoenig/test/must"

	"bamboowood/internal/job"
	"bamboowood/internal/ledger"
)

// Guards against a job that is stored after a cancel which found no job, and against a cancel that keeps the
// repeated submission of a stored job from being confirmed.
func TestCancelUnknown(t *testing.T) {
	l, _ := newLedger(t)
	stored, unknown := &job.Job{ID: testID}, &job.Job{ID: "00000000000000a2"}
	must.NoError(t, l.Accept(t.Context(), stored))
	must.NoError(t, l.CancelUnknown(t.Context(), stored.ID))
	must.ErrorIs(t, l.CancelUnknown(t.Context(), unknown.ID), ledger.ErrNotStored)
	must.ErrorIs(t, l.CancelUnknown(t.Context(), unknown.ID), ledger.ErrNotStored)
	test.NoError(t, l.Accept(t.Context(), stored))
	test.ErrorIs(t, l.Accept(t.Context(), unknown), ledger.ErrCancelled)
	state, found, err := l.Status(t.Context(), stored.ID)
	must.NoError(t, err)
	test.True(t, found)
	test.Eq(t, job.Cancelled, state)
	_, found, err = l.Status(t.Context(), unknown.ID)
	must.NoError(t, err)
	test.False(t, found, test.Sprint("a job that nobody submitted must not be shown"))
}

func loadCancels(t *testing.T, l *ledger.Ledger) map[string]ledger.Cancel {
	t.Helper()
	contents, err := l.NewLoader().Run(t.Context())
	must.NoError(t, err)
	found := map[string]ledger.Cancel{}
	for _, c := range contents.Cancels {
		found[c.Job] = c
	}
	return found
}

// Guards against the loss of a cancel whose job is stored after all or that was repeated meanwhile, beside many
// cancels that are to be changed.
func TestUnmatchedCancels_ChangedMeanwhile(t *testing.T) {
	l, _ := newLedger(t)
	held := beginTerm(t, l, "p1")
	id := func(n int) string { return fmt.Sprintf("a%015x", n) }
	const count = 80
	for n := range count {
		must.ErrorIs(t, l.CancelUnknown(t.Context(), id(n)), ledger.ErrNotStored)
	}
	var cancels []ledger.Cancel
	for _, c := range loadCancels(t, l) {
		cancels = append(cancels, c)
	}
	must.ErrorIs(t, l.CancelUnknown(t.Context(), id(1)), ledger.ErrNotStored)
	must.NoError(t, l.Accept(t.Context(), &job.Job{ID: "a100000000000000"}))
	must.NoError(t, l.Cancel(t.Context(), "a100000000000000"))
	cancels = append(cancels, loadCancels(t, l)["a100000000000000"])

	marked, err := held.MarkUnmatched(t.Context(), cancels, 5*time.Second)
	must.NoError(t, err)
	must.Len(t, count-1, marked)
	loaded := loadCancels(t, l)
	for _, c := range marked {
		must.Eq(t, c, loaded[c.Job])
		must.Eq(t, 5*time.Second, c.UnmatchedAt)
	}
	must.Eq(t, 0, loaded[id(1)].UnmatchedAt)
	must.Eq(t, 0, loaded["a100000000000000"].UnmatchedAt)

	must.ErrorIs(t, l.CancelUnknown(t.Context(), id(2)), ledger.ErrNotStored)
	deleted, err := held.DeleteUnmatched(t.Context(), marked)
	must.NoError(t, err)
	test.Len(t, count-2, deleted)
	left := loadCancels(t, l)
	test.MapLen(t, 3, left)
	test.MapContainsKeys(t, left, []string{id(1), id(2), "a100000000000000"})
	test.NoError(t, l.Accept(t.Context(), &job.Job{ID: id(3)}), test.Sprint("the cancel has been deleted"))
}
