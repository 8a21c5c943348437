package site_test

import (
	"context"
	"errors"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/apex/log"
	"github.com/apex/log/handlers/discard"
	"github.com/shoenig/test"

	"bamboowood/internal/site"
	"bamboowood/internal/store"
)

// flakyStore answers the feeds with errors, and counts whole reads.
type flakyStore struct {
	store.Store
	mu     sync.Mutex
	feeds  []error
	afters []int64
	reads  int
}

func (s *flakyStore) Read(context.Context, store.Range, int) (store.Page, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.reads++
	return store.Page{Version: int64(10 * s.reads)}, nil
}

func (s *flakyStore) Feed(ctx context.Context, c store.Changes) ([]store.Row, int64, error) {
	s.mu.Lock()
	s.afters = append(s.afters, c.After)
	if len(s.feeds) == 0 {
		s.mu.Unlock()
		time.Sleep(c.Wait)
		return nil, c.After, ctx.Err()
	}
	defer s.mu.Unlock()
	err := s.feeds[0]
	s.feeds = s.feeds[1:]
	return nil, c.After + 1, err
}

func newWatcher(s *flakyStore) *site.Watcher {
	return &site.Watcher{
		Store: s, Bulk: store.NewBulkReader(s, 0), Logger: &log.Logger{Handler: discard.Default}, Table: "op",
		Decode: func(state *site.State, _ store.Row) (*site.State, error) { return state, nil },
	}
}

func watch(t *testing.T, s *flakyStore, lasts time.Duration) {
	w := newWatcher(s)
	ctx, cancel := context.WithTimeout(t.Context(), lasts)
	defer cancel()
	test.ErrorIs(t, w.Run(ctx), context.DeadlineExceeded)
}

// A feed that is cut goes on where it was: reading the table again would fill a slow
// link for everyone, and be cut too.
func TestWatcher_CutFeedGoesOn(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		cut := errors.New("connection reset")
		s := &flakyStore{feeds: []error{nil, cut, cut, nil}}
		watch(t, s, 4*time.Second)
		test.Eq(t, 1, s.reads)
		test.Eq(t, []int64{10, 11, 11, 11, 12}, s.afters[:5])
	})
}

// Without its history, or with more changes than rows, the store is read again.
func TestWatcher_ForgottenHistory(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := &flakyStore{feeds: []error{nil, store.ErrCompacted, nil, store.ErrTooLarge, nil}}
		watch(t, s, 4*time.Second)
		test.Eq(t, 3, s.reads)
		test.Eq(t, []int64{10, 11, 20, 21, 30, 31}, s.afters[:6])
	})
}

// While a new leader reads the ledger over the same link, the operators' rows wait, but no
// longer than a configuration may be late.
func TestWatcher_YieldsToUrgentReads(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := &flakyStore{}
		w := newWatcher(s)
		done := w.Bulk.BeginUrgent()
		ctx, cancel := context.WithTimeout(t.Context(), 10*time.Second)
		defer cancel()
		var group sync.WaitGroup
		group.Go(func() { _ = w.Run(ctx) }) // ends with its context
		reads := func() int {
			s.mu.Lock()
			defer s.mu.Unlock()
			return s.reads
		}
		time.Sleep(900 * time.Millisecond)
		test.Zero(t, reads())
		time.Sleep(200 * time.Millisecond)
		test.Eq(t, 1, reads())
		done()
		time.Sleep(10 * time.Millisecond)
		s.mu.Lock()
		feeds := len(s.afters)
		s.mu.Unlock()
		test.Eq(t, 1, feeds)
		group.Wait()
	})
}
