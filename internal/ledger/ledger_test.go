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

func newStore(t *testing.T) (store.Store, *platformtest.Store) {
	standin := platformtest.NewStore()
	server := httptest.NewServer(standin)
	t.Cleanup(server.Close)
	t.Cleanup(server.CloseClientConnections)
	return platform.NewStore(strings.TrimPrefix(server.URL, "http://")), standin
}

func newLedger(t *testing.T) (*ledger.Ledger, *platformtest.Store) {
	client, standin := newStore(t)
	return ledger.New(client, store.NewBulkReader(client, 0)), standin
}

func beginTerm(t *testing.T, l *ledger.Ledger, process string) *ledger.HeldTerm {
	current, _, err := l.CurrentTerm(t.Context())
	must.NoError(t, err)
	held, err := l.BeginTerm(t.Context(), current, ledger.NoLeader, "10.0.0.1:1", process)
	must.NoError(t, err)
	return held
}

func progressChange(id string, state job.State) []planner.Change {
	return []planner.Change{{Job: id, Progress: &planner.Progress{State: state}}}
}

const testID = "00000000000000a1"

// Guards against a repeated submission that replaces the stored job.
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

// commit commits changes, and returns an error if one was rejected for good.
func commit(ctx context.Context, h *ledger.HeldTerm, changes []planner.Change) error {
	out, err := h.Commit(ctx, changes)
	if err == nil && len(out.Stored) != len(changes) {
		return fmt.Errorf("%d of %d changes rejected", len(out.Rejected), len(changes))
	}
	return err
}

// Guards against a state that contradicts the stored rows: the progress takes precedence over a
// cancel, and the cancel over the job.
func TestStatus(t *testing.T) {
	l, _ := newLedger(t)
	_, found, err := l.Status(t.Context(), testID)
	must.NoError(t, err)
	test.False(t, found)
	must.NoError(t, l.Accept(t.Context(), &job.Job{ID: testID}))
	check := func(want job.State) {
		t.Helper()
		state, found, err := l.Status(t.Context(), testID)
		must.NoError(t, err)
		test.True(t, found)
		test.Eq(t, want, state)
	}
	check(job.Queued)
	must.NoError(t, l.Cancel(t.Context(), testID))
	check(job.Cancelled)
	must.NoError(t, commit(t.Context(), beginTerm(t, l, "p1"), progressChange(testID, job.Completed)))
	check(job.Completed)
}

// Every write of a deposed leader must fail.
func TestHeldTerm_Deposed(t *testing.T) {
	l, _ := newLedger(t)
	old := beginTerm(t, l, "p1")
	must.NoError(t, old.Renew(t.Context()))
	beginTerm(t, l, "p2")
	test.ErrorIs(t, old.Renew(t.Context()), ledger.ErrDeposed)
	test.ErrorIs(t, commit(t.Context(), old, progressChange(testID, job.Failed)), ledger.ErrDeposed)
	test.ErrorIs(t, old.RemoveAgents(t.Context(), []ledger.Registration{{Name: "a", Version: 1}}), ledger.ErrDeposed)
	test.ErrorIs(t, old.DeleteJobs(t.Context(), []string{testID}), ledger.ErrDeposed)
}

// Of two processes that begin the next term at the same time, only one succeeds.
func TestBeginTerm_Race(t *testing.T) {
	l, _ := newLedger(t)
	current, _, err := l.CurrentTerm(t.Context())
	must.NoError(t, err)
	_, err = l.BeginTerm(t.Context(), current, ledger.NoLeader, "10.0.0.1:1", "p1")
	must.NoError(t, err)
	_, err = l.BeginTerm(t.Context(), current, ledger.NoLeader, "10.0.0.2:1", "p2")
	test.ErrorIs(t, err, ledger.ErrDeposed)
}

// A process must not begin the next term if the leader has renewed its term since that process
// read the renewal.
func TestBeginTerm_RenewedMeanwhile(t *testing.T) {
	l, _ := newLedger(t)
	old := beginTerm(t, l, "p1")
	current, _, err := l.CurrentTerm(t.Context())
	must.NoError(t, err)
	renewal, err := l.RenewalVersion(t.Context())
	must.NoError(t, err)
	must.NoError(t, old.Renew(t.Context()))
	_, err = l.BeginTerm(t.Context(), current, renewal, "10.0.0.2:1", "p2")
	must.ErrorIs(t, err, ledger.ErrRenewed)
	test.NoError(t, old.Renew(t.Context()))
	renewal, err = l.RenewalVersion(t.Context())
	must.NoError(t, err)
	_, err = l.BeginTerm(t.Context(), current, renewal, "10.0.0.2:1", "p2")
	test.NoError(t, err)
}

// The store begins the term but its answer is lost. The process that began the term resumes it.
func TestBeginTerm_LostAnswer(t *testing.T) {
	l, standin := newLedger(t)
	standin.SetFault(platformtest.Lost)
	ctx, cancel := context.WithTimeout(t.Context(), time.Second)
	defer cancel()
	_, err := l.BeginTerm(ctx, ledger.Term{}, ledger.NoLeader, "10.0.0.1:1", "p1")
	must.Error(t, err)
	must.False(t, errors.Is(err, store.ErrRefused))
	standin.SetFault(platformtest.None)
	held := beginTerm(t, l, "p1")
	test.Eq(t, 1, held.Term.Number)
	test.NoError(t, held.Renew(t.Context()))
}

// The store applies a commit but its answer is lost. Repeating the commit succeeds, also with
// newer progress of the same job.
func TestCommit_LostAnswer(t *testing.T) {
	l, standin := newLedger(t)
	held := beginTerm(t, l, "p1")
	must.NoError(t, l.Accept(t.Context(), &job.Job{ID: testID}))
	must.NoError(t, commit(t.Context(), held, progressChange(testID, job.Running)))
	standin.SetFault(platformtest.Lost)
	must.Error(t, commit(t.Context(), held, progressChange(testID, job.Queued)))
	standin.SetFault(platformtest.None)
	must.NoError(t, commit(t.Context(), held, progressChange(testID, job.Completed)))
	contents, err := l.NewLoader().Run(t.Context())
	must.NoError(t, err)
	test.Eq(t, job.Completed, contents.Progress[testID].State)
}

// A commit that the store refused can be repeated.
func TestCommit_Refused(t *testing.T) {
	l, standin := newLedger(t)
	held := beginTerm(t, l, "p1")
	standin.SetFault(platformtest.Busy)
	test.ErrorIs(t, commit(t.Context(), held, progressChange(testID, job.Running)), store.ErrRefused)
	standin.SetFault(platformtest.None)
	test.NoError(t, commit(t.Context(), held, progressChange(testID, job.Running)))
}

// Jobs are submitted while the store needs twenty times its usual time for a transaction and
// the leader commits progress and renews its term: no call is refused or times out.
func TestPattern_JobsWhileStoreIsSlow(t *testing.T) {
	l, standin := newLedger(t)
	held := beginTerm(t, l, "p1")
	standin.SetTxTime(60 * time.Millisecond)
	group, ctx := errgroup.WithContext(t.Context())
	for n := range uint64(2 * 16) {
		group.Go(func() error {
			return l.Accept(ctx, &job.Job{ID: fmt.Sprintf("%016x", n<<60|n), Steps: []job.Step{{Tasks: 1}}})
		})
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
			if err := commit(ctx, held, progressChange(testID, job.Running)); err != nil {
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

// A leader is deposed after it has deleted a job's row and before it deletes the progress. No
// job without progress may remain, since it would run again; the next leader finds the
// progress and deletes it.
func TestDeleteJobs_Interrupted(t *testing.T) {
	l, standin := newLedger(t)
	held := beginTerm(t, l, "p1")
	must.NoError(t, l.Accept(t.Context(), &job.Job{ID: testID}))
	must.NoError(t, commit(t.Context(), held, progressChange(testID, job.Completed)))
	next := beginTerm(t, l, "p2")
	test.ErrorIs(t, held.DeleteJobs(t.Context(), []string{testID}), ledger.ErrDeposed)
	contents, err := l.NewLoader().Run(t.Context())
	must.NoError(t, err)
	test.Len(t, 0, contents.Jobs)
	test.Eq(t, []string{testID}, contents.PartiallyDeleted)
	must.NoError(t, next.DeleteJobs(t.Context(), contents.PartiallyDeleted))
	test.Len(t, 0, standin.Keys("progress"))
}

func TestResign(t *testing.T) {
	l, _ := newLedger(t)
	held := beginTerm(t, l, "p1")
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

// Writes to other tables advance the version of an empty feed. FollowTerm must not report them
// as a change.
func TestFollowTerm_OtherTables(t *testing.T) {
	l, _ := newLedger(t)
	beginTerm(t, l, "p1")
	_, version, err := l.CurrentTerm(t.Context())
	must.NoError(t, err)
	must.NoError(t, l.Accept(t.Context(), &job.Job{ID: testID}))
	changed, next, err := l.FollowTerm(t.Context(), version, 10*time.Millisecond)
	must.NoError(t, err)
	test.False(t, changed)
	test.Greater(t, version, next)
}

// Guards against a registration that is lost because the agent's address is the same as before
// its removal.
func TestAgents(t *testing.T) {
	l, _ := newLedger(t)
	must.NoError(t, l.RegisterAgent(t.Context(), "a", "10.0.0.9:1"))
	must.NoError(t, l.RegisterAgent(t.Context(), "a", "10.0.0.9:1"))
	agents, version, err := l.Agents(t.Context())
	must.NoError(t, err)
	test.Eq(t, "10.0.0.9:1", agents["a"].Address)
	must.NoError(t, beginTerm(t, l, "p1").RemoveAgents(t.Context(), []ledger.Registration{{Name: "a", Version: agents["a"].Version}}))
	must.NoError(t, l.RegisterAgent(t.Context(), "a", "10.0.0.9:1"))
	agents, _, err = l.FollowAgents(t.Context(), version, time.Second)
	must.NoError(t, err)
	test.MapLen(t, 1, agents)
}

// The store executes a removal late or twice. A later registration of the agent must stay.
func TestRemoveAgent_LaterRegistration(t *testing.T) {
	l, standin := newLedger(t)
	must.NoError(t, l.RegisterAgent(t.Context(), "a", "10.0.0.9:1"))
	agents, _, err := l.Agents(t.Context())
	must.NoError(t, err)
	held := beginTerm(t, l, "p1")
	standin.SetFault(platformtest.Lost)
	must.Error(t, held.RemoveAgents(t.Context(), []ledger.Registration{{Name: "a", Version: agents["a"].Version}}))
	standin.SetFault(platformtest.None)
	version, err := held.ReregisterAgents(t.Context(), []ledger.Registration{{Name: "a", Address: "10.0.0.9:1"}})
	must.NoError(t, err)
	must.NoError(t, held.RemoveAgents(t.Context(), []ledger.Registration{{Name: "a", Version: agents["a"].Version}}))
	again, _, err := l.Agents(t.Context())
	must.NoError(t, err)
	test.Eq(t, ledger.Agent{Address: "10.0.0.9:1", Version: version}, again["a"])
	beginTerm(t, l, "p2")
	_, err = held.ReregisterAgents(t.Context(), []ledger.Registration{{Name: "a", Address: "10.0.0.9:1"}})
	test.ErrorIs(t, err, ledger.ErrDeposed)
}

// Guards against one registration that has changed and keeps those of other dead agents.
func TestRemoveAgents_OneChanged(t *testing.T) {
	l, _ := newLedger(t)
	var dead []ledger.Registration
	for _, name := range []string{"a", "b", "c"} {
		must.NoError(t, l.RegisterAgent(t.Context(), name, "10.0.0.9:1"))
	}
	agents, _, err := l.Agents(t.Context())
	must.NoError(t, err)
	for name, a := range agents {
		dead = append(dead, ledger.Registration{Name: name, Version: a.Version})
	}
	held := beginTerm(t, l, "p1")
	_, err = held.ReregisterAgents(t.Context(), []ledger.Registration{{Name: "b", Address: "10.0.0.9:2"}})
	must.NoError(t, err)
	must.NoError(t, held.RemoveAgents(t.Context(), dead))
	agents, _, err = l.Agents(t.Context())
	must.NoError(t, err)
	must.MapLen(t, 1, agents)
	test.Eq(t, "10.0.0.9:2", agents["b"].Address)
}
