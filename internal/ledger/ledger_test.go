package ledger_test

import (
	"context"
	"errors"
	"fmt"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/shoenig/test"
	"github.com/shoenig/test/must"
	"golang.org/x/sync/errgroup"

	"bamboowood/internal/job"
	"bamboowood/internal/ledger"
	"bamboowood/internal/planner"
	"bamboowood/internal/store"
	"bamboowood/platform"
	"bamboowood/platform/platformtest"
)

func newLedger(t *testing.T) (*ledger.Ledger, *platformtest.Store) {
	standin := platformtest.NewStore()
	server := httptest.NewServer(standin)
	t.Cleanup(server.Close)
	t.Cleanup(server.CloseClientConnections)
	client := platform.NewStore(strings.TrimPrefix(server.URL, "http://"))
	return ledger.New(client, store.NewBulkReader(client, 0)), standin
}

func lead(t *testing.T, l *ledger.Ledger, process string) *ledger.HeldTerm {
	current, _, err := l.CurrentTerm(t.Context())
	must.NoError(t, err)
	held, err := l.BeginTerm(t.Context(), current, "10.0.0.1:1", process)
	must.NoError(t, err)
	return held
}

func done(id string, state job.State) []planner.Change {
	return []planner.Change{{Job: id, Progress: &planner.Progress{State: state}}}
}

const testID = "00000000000000a1"

func TestAccept_OnceAndReadBack(t *testing.T) {
	l, _ := newLedger(t)
	j := &job.Job{
		ID: testID, Payload: "p", AcceptedAt: time.UnixMilli(1_000).UTC(),
		Queue: job.Queue{Name: "q", Service: "desk", Stretch: 1.5, Slack: time.Second},
		Steps: []job.Step{{Tasks: 2, CPU: 100, Estimate: time.Second, After: []int{}, BestEffort: true}},
	}
	must.NoError(t, l.Accept(t.Context(), j))
	must.NoError(t, l.Accept(t.Context(), &job.Job{ID: testID, Payload: "another"}))
	contents, err := l.NewLoader().Run(t.Context())
	must.NoError(t, err)
	must.Len(t, 1, contents.Jobs)
	contents.Jobs[0].Steps[0].After = []int{}
	test.Eq(t, j, contents.Jobs[0])
}

func TestStatus(t *testing.T) {
	l, _ := newLedger(t)
	_, known, err := l.Status(t.Context(), testID)
	must.NoError(t, err)
	test.False(t, known)
	must.NoError(t, l.Accept(t.Context(), &job.Job{ID: testID}))
	check := func(want job.State) {
		t.Helper()
		state, known, err := l.Status(t.Context(), testID)
		must.NoError(t, err)
		test.True(t, known)
		test.Eq(t, want, state)
	}
	check(job.Queued)
	must.NoError(t, l.Cancel(t.Context(), testID))
	check(job.Cancelled)
	must.NoError(t, lead(t, l, "p1").Commit(t.Context(), done(testID, job.Completed)))
	check(job.Completed)
}

// A deposed leader can write nothing any more.
func TestHeldTerm_Deposed(t *testing.T) {
	l, _ := newLedger(t)
	old := lead(t, l, "p1")
	must.NoError(t, old.Renew(t.Context()))
	lead(t, l, "p2")
	test.ErrorIs(t, old.Renew(t.Context()), ledger.ErrDeposed)
	test.ErrorIs(t, old.Commit(t.Context(), done(testID, job.Failed)), ledger.ErrDeposed)
	test.ErrorIs(t, old.RemoveAgent(t.Context(), "a", 1), ledger.ErrDeposed)
	test.ErrorIs(t, old.DeleteJobs(t.Context(), []string{testID}), ledger.ErrDeposed)
}

// Of two that begin the next term at once one succeeds.
func TestLead_Race(t *testing.T) {
	l, _ := newLedger(t)
	current, _, err := l.CurrentTerm(t.Context())
	must.NoError(t, err)
	_, err = l.BeginTerm(t.Context(), current, "10.0.0.1:1", "p1")
	must.NoError(t, err)
	_, err = l.BeginTerm(t.Context(), current, "10.0.0.2:1", "p2")
	test.ErrorIs(t, err, ledger.ErrDeposed)
}

// A term that began without an answer is taken up by the process that began it.
func TestLead_LostAnswer(t *testing.T) {
	l, standin := newLedger(t)
	standin.SetFault(platformtest.Lost)
	ctx, cancel := context.WithTimeout(t.Context(), time.Second)
	defer cancel()
	_, err := l.BeginTerm(ctx, ledger.Term{}, "10.0.0.1:1", "p1")
	must.Error(t, err)
	must.False(t, errors.Is(err, store.ErrRefused))
	standin.SetFault(platformtest.None)
	held := lead(t, l, "p1")
	test.Eq(t, 1, held.Term.Number)
	test.NoError(t, held.Renew(t.Context()))
}

// A commit that was applied without an answer succeeds when it is repeated, also
// with newer progress of the same job.
func TestCommit_LostAnswer(t *testing.T) {
	l, standin := newLedger(t)
	held := lead(t, l, "p1")
	must.NoError(t, l.Accept(t.Context(), &job.Job{ID: testID}))
	must.NoError(t, held.Commit(t.Context(), done(testID, job.Running)))
	standin.SetFault(platformtest.Lost)
	must.Error(t, held.Commit(t.Context(), done(testID, job.Queued)))
	standin.SetFault(platformtest.None)
	must.NoError(t, held.Commit(t.Context(), done(testID, job.Completed)))
	contents, err := l.NewLoader().Run(t.Context())
	must.NoError(t, err)
	test.Eq(t, job.Completed, contents.Progress[testID].State)
}

// A commit that the store refused may be repeated.
func TestCommit_Refused(t *testing.T) {
	l, standin := newLedger(t)
	held := lead(t, l, "p1")
	standin.SetFault(platformtest.Busy)
	test.ErrorIs(t, held.Commit(t.Context(), done(testID, job.Running)), store.ErrRefused)
	standin.SetFault(platformtest.None)
	test.NoError(t, held.Commit(t.Context(), done(testID, job.Running)))
}

// Jobs are handed in while the store takes twenty times its time for a transaction and
// the leader stores ends and renews its term: nothing is refused, nothing times out.
func TestPattern_JobsWhileStoreIsSlow(t *testing.T) {
	l, standin := newLedger(t)
	held := lead(t, l, "p1")
	standin.SetTxTime(60 * time.Millisecond)
	group, ctx := errgroup.WithContext(t.Context())
	for n := range uint64(2 * 16) {
		group.Go(func() error { return l.Accept(ctx, &job.Job{ID: fmt.Sprintf("%016x", n<<60|n)}) })
	}
	group.Go(func() error {
		for range 4 {
			if err := held.Renew(ctx); err != nil {
				return err
			}
		}
		return nil
	})
	group.Go(func() error {
		for range 4 {
			if err := held.Commit(ctx, done(testID, job.Running)); err != nil {
				return err
			}
		}
		return nil
	})
	must.NoError(t, group.Wait())
	contents, err := l.NewLoader().Run(t.Context())
	must.NoError(t, err)
	test.Len(t, 32, contents.Jobs)
}

// A job is removed before its progress: when a leader ends in between, no job is left
// that seems not to have run, and the next leader finds what is left to remove.
func TestForget_CutShort(t *testing.T) {
	l, standin := newLedger(t)
	held := lead(t, l, "p1")
	must.NoError(t, l.Accept(t.Context(), &job.Job{ID: testID}))
	must.NoError(t, held.Commit(t.Context(), done(testID, job.Completed)))
	next := lead(t, l, "p2")
	test.ErrorIs(t, held.DeleteJobs(t.Context(), []string{testID}), ledger.ErrDeposed)
	contents, err := l.NewLoader().Run(t.Context())
	must.NoError(t, err)
	test.Len(t, 0, contents.Jobs)
	test.Eq(t, []string{testID}, contents.Orphans)
	must.NoError(t, next.DeleteJobs(t.Context(), contents.Orphans))
	test.Len(t, 0, standin.Keys("progress"))
}

func TestResign(t *testing.T) {
	l, _ := newLedger(t)
	held := lead(t, l, "p1")
	_, version, err := l.CurrentTerm(t.Context())
	must.NoError(t, err)
	must.NoError(t, held.Resign(t.Context()))
	changed, _, err := l.FollowTerm(t.Context(), version, time.Second)
	must.NoError(t, err)
	test.True(t, changed)
	current, _, err := l.CurrentTerm(t.Context())
	must.NoError(t, err)
	test.True(t, current.Resigned)
}

// An empty feed tells no change, though its version moves on with other tables.
func TestFollowTerm_OtherTables(t *testing.T) {
	l, _ := newLedger(t)
	lead(t, l, "p1")
	_, version, err := l.CurrentTerm(t.Context())
	must.NoError(t, err)
	must.NoError(t, l.Accept(t.Context(), &job.Job{ID: testID}))
	changed, next, err := l.FollowTerm(t.Context(), version, 10*time.Millisecond)
	must.NoError(t, err)
	test.False(t, changed)
	test.Greater(t, version, next)
}

func TestAgents(t *testing.T) {
	l, _ := newLedger(t)
	must.NoError(t, l.RegisterAgent(t.Context(), "a", "10.0.0.9:1"))
	must.NoError(t, l.RegisterAgent(t.Context(), "a", "10.0.0.9:1"))
	agents, version, err := l.Agents(t.Context())
	must.NoError(t, err)
	test.Eq(t, "10.0.0.9:1", agents["a"].Address)
	must.NoError(t, lead(t, l, "p1").RemoveAgent(t.Context(), "a", agents["a"].Version))
	must.NoError(t, l.RegisterAgent(t.Context(), "a", "10.0.0.9:1"))
	agents, _, err = l.FollowAgents(t.Context(), version, time.Second)
	must.NoError(t, err)
	test.MapLen(t, 1, agents)
}

// A removal that is carried out late, or again, does not touch a later registration.
func TestRemoveAgent_LaterRegistration(t *testing.T) {
	l, standin := newLedger(t)
	must.NoError(t, l.RegisterAgent(t.Context(), "a", "10.0.0.9:1"))
	agents, _, err := l.Agents(t.Context())
	must.NoError(t, err)
	held := lead(t, l, "p1")
	standin.SetFault(platformtest.Lost)
	must.Error(t, held.RemoveAgent(t.Context(), "a", agents["a"].Version))
	standin.SetFault(platformtest.None)
	version, err := held.RestoreAgent(t.Context(), "a", "10.0.0.9:1")
	must.NoError(t, err)
	must.NoError(t, held.RemoveAgent(t.Context(), "a", agents["a"].Version))
	again, _, err := l.Agents(t.Context())
	must.NoError(t, err)
	test.Eq(t, ledger.Agent{Address: "10.0.0.9:1", Version: version}, again["a"])
	lead(t, l, "p2")
	_, err = held.RestoreAgent(t.Context(), "a", "10.0.0.9:1")
	test.ErrorIs(t, err, ledger.ErrDeposed)
}
