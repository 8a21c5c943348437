package leader

import (
	"context"
	"net"
	"sync/atomic"
	"testing"
	"time"

	"github.com/apex/log"
	"github.com/apex/log/handlers/discard"
	"github.com/shoenig/test"
	"github.com/shoenig/test/must"
	"github.com/shoenig/test/wait"

	"bamboowood/internal/boottime"
	"bamboowood/internal/job"
	"bamboowood/internal/ledger"
	"bamboowood/internal/store"
)

// clockedStore is a store whose clock is ahead by a variable time.
type clockedStore struct {
	*hookedStore
	ahead atomic.Int64
}

func (s *clockedStore) Read(ctx context.Context, r store.ReadRequest, limit int) (store.Page, error) {
	page, err := s.hookedStore.Read(ctx, r, limit)
	page.Time += time.Hour + time.Duration(s.ahead.Load())
	return page, err
}

func (r *leadership) awaitUnmatched(t *testing.T, n int) {
	t.Helper()
	must.Wait(t, wait.InitialSuccess(wait.BoolFunc(func() bool {
		r.mu.Lock()
		defer r.mu.Unlock()
		return len(r.unmatchedCancels) == n
	}), wait.Timeout(5*time.Second), wait.Gap(5*time.Millisecond)))
}

// awaitMarked waits until the leader has stored since when a cancel has no job. It collects itself, since the leader
// does so every gcInterval only; the two may collect at the same time, in which case one of them finds the row changed.
func (r *leadership) awaitMarked(t *testing.T, id string) {
	t.Helper()
	must.Wait(t, wait.InitialSuccess(wait.BoolFunc(func() bool {
		if r.collectCancels() != nil {
			return false
		}
		r.mu.Lock()
		defer r.mu.Unlock()
		return r.unmatchedCancels[id].UnmatchedAt != 0
	}), wait.Timeout(5*time.Second), wait.Gap(5*time.Millisecond)))
}

// Guards against cancels without a job that stay for ever where no leader leads as long as they are kept, and
// against one that does not outlast a change of leader or an outage of the store.
func TestLeader_UnmatchedCancelsEnd(t *testing.T) {
	hooked, standin := newHookedStore(t)
	s := &clockedStore{hookedStore: hooked}
	jobLedger := ledger.New(s, store.NewBulkReader(s, 0))
	must.ErrorIs(t, jobLedger.CancelUnknown(t.Context(), testJob(1).ID), ledger.ErrNotStored)
	var refusing atomic.Bool
	hooked.onApply = func(tx store.Tx) error {
		if refusing.Load() && len(tx.Remove) > 0 {
			return store.ErrRefused
		}
		return nil
	}
	for range 3 {
		l, stop := runLeader(t, jobLedger)
		awaitLeading(t, l)
		l.leadership.Load().awaitMarked(t, testJob(1).ID)
		stop()
		s.ahead.Add(int64(minCancelRetention / 4))
		must.ErrorIs(t, jobLedger.Accept(t.Context(), testJob(1)), ledger.ErrCancelled)
	}
	l, stop := runLeader(t, jobLedger)
	awaitLeading(t, l)
	r := l.leadership.Load()
	r.awaitMarked(t, testJob(1).ID)
	refusing.Store(true)
	s.ahead.Add(int64(minCancelRetention / 2))
	must.ErrorIs(t, r.collectCancels(), store.ErrRefused)
	test.Len(t, 1, standin.Keys("cancels"))
	refusing.Store(false)
	must.NoError(t, r.collectCancels())
	test.Len(t, 0, standin.Keys("cancels"))
	r.awaitUnmatched(t, 0)
	stop()
}

// Guards against the cancel of an ended and deleted job that stays for ever: the store performs it after the
// deletion.
func TestLeader_CancelAfterDeletionOfItsJob(t *testing.T) {
	hooked, standin := newHookedStore(t)
	s := &clockedStore{hookedStore: hooked}
	jobLedger := ledger.New(s, store.NewBulkReader(s, 0))
	l, _ := runLeader(t, jobLedger)
	awaitLeading(t, l)
	r := l.leadership.Load()
	must.NoError(t, jobLedger.Cancel(t.Context(), testJob(1).ID))
	r.awaitMarked(t, testJob(1).ID)
	s.ahead.Add(int64(minCancelRetention / 2))
	must.NoError(t, r.collectCancels())
	must.Len(t, 1, standin.Keys("cancels"))
	s.ahead.Add(int64(minCancelRetention))
	must.NoError(t, r.collectCancels())
	test.Len(t, 0, standin.Keys("cancels"))
}

// Guards against a job that runs although it was cancelled before it was stored: an entry of an earlier version
// stores it without regard to cancels.
func TestLeader_JobStoredInSpiteOfItsCancel(t *testing.T) {
	hooked, standin := newHookedStore(t)
	jobLedger := newLedger(hooked)
	a := newFakeAgent(t)
	must.NoError(t, jobLedger.RegisterAgent(t.Context(), "a", a.address))
	l, _ := runLeader(t, jobLedger)
	awaitLeading(t, l)
	r := l.leadership.Load()
	j := testJob(1)
	must.ErrorIs(t, jobLedger.CancelUnknown(t.Context(), j.ID), ledger.ErrNotStored)
	r.awaitUnmatched(t, 1)
	value, err := ledger.EncodeJob(j)
	must.NoError(t, err)
	standin.Write("jobs", j.ID[:1], j.ID, value)
	must.Wait(t, wait.InitialSuccess(wait.BoolFunc(func() bool {
		state, known, _ := l.Status(j.ID)
		return known && state == job.Cancelled
	}), wait.Timeout(5*time.Second), wait.Gap(5*time.Millisecond)))
	test.Zero(t, a.count(hasStarts))
	r.awaitUnmatched(t, 0)
}

// Guards against an answer for a relayed cancel or submission that says more, or less, than the leader has
// stored.
func TestClient_RelayedCancelOfUnknownJob(t *testing.T) {
	hooked, _ := newHookedStore(t)
	jobLedger := newLedger(hooked)
	client := newPeerClient(t, jobLedger)
	stored, unknown := testJob(1), testJob(2)
	must.NoError(t, client.Store(t.Context(), stored))
	must.NoError(t, client.StoreCancel(t.Context(), stored.ID))
	must.ErrorIs(t, client.StoreCancel(t.Context(), unknown.ID), ledger.ErrNotStored)
	must.ErrorIs(t, client.Store(t.Context(), unknown), ledger.ErrCancelled)
	test.NoError(t, client.Store(t.Context(), stored))
}

// newPeerClient returns a client of a leader in another process.
func newPeerClient(t *testing.T, jobLedger *ledger.Ledger) *Client {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	must.NoError(t, err)
	l, _ := runLeaderWith(t, jobLedger, func(o *Options) { o.Address = ln.Addr().String() })
	go func() { _ = l.ServeQueries(t.Context(), ln) }()
	awaitLeading(t, l)
	other := New(Options{Logger: &log.Logger{Handler: discard.Default}, Address: "10.0.0.9:1", Now: boottime.Now})
	other.observe(ledger.Term{Number: 1, Leader: ln.Addr().String()})
	return &Client{Leader: other}
}
