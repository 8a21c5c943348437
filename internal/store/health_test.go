package store_test

import (
	"context"
	"errors"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/shoenig/test"
	"github.com/shoenig/test/must"

	"bamboowood/internal/store"
)

// unresponsiveStore does not answer while unresponsive is set; otherwise it answers with err.
type unresponsiveStore struct {
	unresponsive bool
	err          error
	calls        int
}

func (s *unresponsiveStore) call(ctx context.Context) error {
	s.calls++
	if !s.unresponsive {
		return s.err
	}
	ctx, cancel := context.WithTimeout(ctx, 700*time.Millisecond)
	defer cancel()
	<-ctx.Done()
	return ctx.Err()
}

func (s *unresponsiveStore) Apply(ctx context.Context, _ store.Tx) (int64, error) {
	return 1, s.call(ctx)
}

func (s *unresponsiveStore) Read(ctx context.Context, _ store.ReadRequest, _ int) (store.Page, error) {
	return store.Page{Version: 1}, s.call(ctx)
}

func (s *unresponsiveStore) Feed(ctx context.Context, c store.FeedRequest) ([]store.Row, int64, error) {
	time.Sleep(c.Wait)
	return nil, 1, s.call(ctx)
}

// Jobs are submitted while the store does not answer. Only the first submission waits for the
// store; the others are refused at once until another call has been answered.
func TestPattern_JobsWhileStoreIsUnresponsive(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var changes []bool
		inner := &unresponsiveStore{unresponsive: true}
		h := store.NewMonitor(inner, func(answers bool, _ time.Duration) { changes = append(changes, answers) })
		fast := h.FailFast()
		_, err := fast.Apply(t.Context(), store.Tx{})
		must.Error(t, err)
		test.False(t, errors.Is(err, store.ErrRefused), test.Sprint("the call may have been executed"))
		began := time.Now()
		for range 10 {
			_, err := fast.Apply(t.Context(), store.Tx{})
			test.ErrorIs(t, err, store.ErrRefused)
		}
		test.Eq(t, 0, time.Since(began))
		test.Eq(t, 1, inner.calls)
		inner.unresponsive = false
		_, err = fast.Apply(t.Context(), store.Tx{})
		test.ErrorIs(t, err, store.ErrRefused, test.Sprint("no call has been answered since the outage began"))
		_, err = h.Read(t.Context(), store.ReadRequest{}, 1)
		must.NoError(t, err)
		_, err = fast.Apply(t.Context(), store.Tx{})
		test.NoError(t, err)
		test.Eq(t, []bool{false, true}, changes)
	})
}

// A call that starts before the last answer and times out after it is not an outage.
func TestMonitor_OverlappingCalls(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		inner := &unresponsiveStore{unresponsive: true}
		h := store.NewMonitor(inner, func(bool, time.Duration) { t.Error("outage reported although the store answers") })
		var group sync.WaitGroup
		group.Go(func() { _, _ = h.Apply(t.Context(), store.Tx{}) })
		synctest.Wait()
		time.Sleep(100 * time.Millisecond)
		inner.unresponsive = false
		_, err := h.Apply(t.Context(), store.Tx{})
		must.NoError(t, err)
		group.Wait()
		test.Zero(t, h.OutageDuration())
	})
}

// Refusals and conflicts end an outage. A call that its caller cancels does not start one, and
// the time for which a feed waits for a change is not part of one.
func TestMonitor_Answers(t *testing.T) {
	for name, err := range map[string]error{
		"served": nil, "refused": store.ErrRefused, "conflict": &store.ConflictError{}, "history compacted": store.ErrCompacted,
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				inner := &unresponsiveStore{unresponsive: true}
				h := store.NewMonitor(inner, func(bool, time.Duration) {})
				_, _ = h.Read(t.Context(), store.ReadRequest{}, 1)
				test.Positive(t, h.OutageDuration())
				inner.unresponsive, inner.err = false, err
				_, _ = h.Apply(t.Context(), store.Tx{})
				test.Zero(t, h.OutageDuration())
			})
		})
	}
	synctest.Test(t, func(t *testing.T) {
		inner := &unresponsiveStore{unresponsive: true}
		h := store.NewMonitor(inner, func(bool, time.Duration) {})
		ctx, cancel := context.WithCancel(t.Context())
		cancel()
		_, err := h.Apply(ctx, store.Tx{})
		test.ErrorIs(t, err, context.Canceled)
		test.Zero(t, h.OutageDuration())
		_, _, _ = h.Feed(t.Context(), store.FeedRequest{Table: "t", After: 0, Wait: 10 * time.Second})
		test.LessEq(t, 700*time.Millisecond, h.OutageDuration())
	})
}
