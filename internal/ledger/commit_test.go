package ledger_test

import (
	"context"
	"errors"
	"fmt"
	"strings"
	"testing"

	"github.com/shoenig/test"
	"github.com/shoenig/test/must"

	"bamboowood/internal/job"
	"bamboowood/internal/ledger"
	"bamboowood/internal/planner"
	"bamboowood/internal/store"
	"bamboowood/platform/platformtest"
)

// rejectingStore rejects transactions for which rejects returns true.
type rejectingStore struct {
	store.Store
	rejects func(store.Tx) bool
}

func (s *rejectingStore) Apply(ctx context.Context, tx store.Tx) (int64, error) {
	if s.rejects(tx) {
		return 0, fmt.Errorf("%w: test", store.ErrRejected)
	}
	return s.Store.Apply(ctx, tx)
}

// wideProgress is progress that takes some bytes per task and is not compressible to a row if the numbers
// of failed runs are unrelated.
func wideProgress(tasks int, number func(i int) int64) *planner.Progress {
	o := &planner.OccurrenceProgress{Failures: map[string][]int64{}}
	for i := range tasks {
		o.Failures[planner.FailureKey(0, i)] = []int64{number(i)}
	}
	return &planner.Progress{State: job.Running, Open: map[int]*planner.OccurrenceProgress{0: o}}
}

// Guards against review/1 (Acks): a row that the store rejects made the leader repeat its transaction before
// all others, and no progress of any job was stored any more.
func TestCommit_RejectedRow(t *testing.T) {
	client, _ := newStore(t)
	bad := strings.Repeat("b", 16)
	s := &rejectingStore{Store: client, rejects: func(tx store.Tx) bool {
		for _, w := range tx.Writes {
			if w.Key.Key == bad {
				return true
			}
		}
		return false
	}}
	l := ledger.New(s, store.NewBulkReader(s, 0))
	held := beginTerm(t, l, "p1")
	changes := []planner.Change{{Job: bad, Progress: &planner.Progress{State: job.Running}}}
	for n := range ledger.MaxCommit - 1 {
		changes = append(changes, planner.Change{Job: fmt.Sprintf("%016x", n), Progress: &planner.Progress{State: job.Running}})
	}
	out, err := held.Commit(t.Context(), changes)
	must.NoError(t, err)
	test.Len(t, len(changes)-1, out.Stored)
	must.Len(t, 1, out.Rejected)
	test.Eq(t, bad, out.Rejected[0].Change.Job)
	test.ErrorIs(t, out.Rejected[0].Err, store.ErrRejected)
	// The others can be stored again: their versions are known.
	must.NoError(t, commit(t.Context(), held, changes[1:]))
}

// Guards against jobs that are set aside because the store rejects every transaction.
func TestCommit_StoreRejectsAll(t *testing.T) {
	client, _ := newStore(t)
	rejecting := false
	s := &rejectingStore{Store: client, rejects: func(store.Tx) bool { return rejecting }}
	l := ledger.New(s, store.NewBulkReader(s, 0))
	held := beginTerm(t, l, "p1")
	rejecting = true
	out, err := held.Commit(t.Context(), progressChange(testID, job.Running))
	test.ErrorIs(t, err, store.ErrRejected)
	test.SliceEmpty(t, out.Rejected)
	rejecting = false
	must.NoError(t, commit(t.Context(), held, progressChange(testID, job.Running)))
}

// Guards against an unconfirmed transaction that is rejected when it is repeated, and then stays before all
// others.
func TestCommit_UnconfirmedIsRejected(t *testing.T) {
	client, standin := newStore(t)
	rejecting := false
	s := &rejectingStore{Store: client, rejects: func(tx store.Tx) bool {
		return rejecting && len(tx.Writes) == 1 && tx.Writes[0].Key.Key == testID
	}}
	l := ledger.New(s, store.NewBulkReader(s, 0))
	held := beginTerm(t, l, "p1")
	standin.SetFault(platformtest.Lost)
	must.Error(t, commit(t.Context(), held, progressChange(testID, job.Running)))
	standin.SetFault(platformtest.None)
	rejecting = true
	must.NoError(t, commit(t.Context(), held, progressChange(strings.Repeat("c", 16), job.Running)))
	rejecting = false
	// The lost transaction was applied: the next one learns the version of its row.
	err := commit(t.Context(), held, progressChange(testID, job.Completed))
	must.True(t, err == nil || !errors.Is(err, ledger.ErrDeposed))
	must.NoError(t, commit(t.Context(), held, progressChange(testID, job.Completed)))
}

// Guards against rows and transactions beyond the limits of the platform's store, which the stand-in
// rejects: many large rows at once, and one that cannot be compacted.
func TestCommit_LargeRows(t *testing.T) {
	l, standin := newLedger(t)
	standin.EnforceLimits()
	held := beginTerm(t, l, "p1")
	var changes []planner.Change
	for n := range ledger.MaxCommit {
		changes = append(changes, planner.Change{
			Job: fmt.Sprintf("%016x", n), Progress: wideProgress(2_500, func(i int) int64 { return int64(i*i + 1) }),
		})
	}
	must.NoError(t, commit(t.Context(), held, changes))
	tooLarge := planner.Change{Job: testID, Progress: wideProgress(job.MaxTasks, func(i int) int64 { return int64(i+1) * 7_919 * 104_729 % (1 << 49) })}
	out, err := held.Commit(t.Context(), append(changes, tooLarge))
	must.NoError(t, err)
	test.Len(t, len(changes), out.Stored)
	must.Len(t, 1, out.Rejected)
	test.ErrorIs(t, out.Rejected[0].Err, ledger.ErrRowTooLarge)
	test.Greater(t, store.MaxRowBytes, out.Rejected[0].Bytes)
}
