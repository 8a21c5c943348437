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

// silentStore does not answer while it is silent; else it answers with err.
type silentStore struct {
	silent bool
	err    error
	calls  int
}

func (s *silentStore) call(ctx context.Context) error {
	s.calls++
	if !s.silent {
		return s.err
	}
	ctx, cancel := context.WithTimeout(ctx, 700*time.Millisecond)
	defer cancel()
	<-ctx.Done()
	return ctx.Err()
}

func (s *silentStore) Apply(ctx context.Context, _ store.Tx) (int64, error) { return 1, s.call(ctx) }

func (s *silentStore) Read(ctx context.Context, _ store.Range, _ int) (store.Page, error) {
	return store.Page{Version: 1}, s.call(ctx)
}

func (s *silentStore) Feed(ctx context.Context, c store.Changes) ([]store.Row, int64, error) {
	time.Sleep(c.Wait)
	return nil, 1, s.call(ctx)
}

// Jobs are handed in while the store gives no answer: only the first ones wait for it,
// the others are refused at once until another call has been answered.
func TestPattern_JobsWhileStoreIsSilent(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var changes []bool
		inner := &silentStore{silent: true}
		h := store.NewHealth(inner, func(answers bool, _ time.Duration) { changes = append(changes, answers) })
		fast := h.FailFast()
		_, err := fast.Apply(t.Context(), store.Tx{})
		must.Error(t, err)
		test.False(t, errors.Is(err, store.ErrRefused), test.Sprint("it may have been carried out"))
		began := time.Now()
		for range 10 {
			_, err := fast.Apply(t.Context(), store.Tx{})
			test.ErrorIs(t, err, store.ErrRefused)
		}
		test.Eq(t, 0, time.Since(began))
		test.Eq(t, 1, inner.calls)
		inner.silent = false
		_, err = fast.Apply(t.Context(), store.Tx{})
		test.ErrorIs(t, err, store.ErrRefused, test.Sprint("nobody has seen it answer"))
		_, err = h.Read(t.Context(), store.Range{}, 1)
		must.NoError(t, err)
		_, err = fast.Apply(t.Context(), store.Tx{})
		test.NoError(t, err)
		test.Eq(t, []bool{false, true}, changes)
	})
}

// A call that began before the last answer and is given up after it does not count.
func TestHealth_OverlappingCalls(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		inner := &silentStore{silent: true}
		h := store.NewHealth(inner, func(bool, time.Duration) { t.Error("the store answers") })
		var group sync.WaitGroup
		group.Go(func() { _, _ = h.Apply(t.Context(), store.Tx{}) })
		synctest.Wait()
		time.Sleep(100 * time.Millisecond)
		inner.silent = false
		_, err := h.Apply(t.Context(), store.Tx{})
		must.NoError(t, err)
		group.Wait()
		test.Zero(t, h.OutageDuration())
	})
}

// Refusals and conflicts are answers; a caller that leaves tells nothing; a feed that
// waits for a change is not silent.
func TestHealth_Answers(t *testing.T) {
	for name, err := range map[string]error{
		"served": nil, "refused": store.ErrRefused, "conflict": &store.ConflictError{}, "history gone": store.ErrCompacted,
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				inner := &silentStore{silent: true}
				h := store.NewHealth(inner, func(bool, time.Duration) {})
				_, _ = h.Read(t.Context(), store.Range{}, 1)
				test.Positive(t, h.OutageDuration())
				inner.silent, inner.err = false, err
				_, _ = h.Apply(t.Context(), store.Tx{})
				test.Zero(t, h.OutageDuration())
			})
		})
	}
	synctest.Test(t, func(t *testing.T) {
		inner := &silentStore{silent: true}
		h := store.NewHealth(inner, func(bool, time.Duration) {})
		ctx, cancel := context.WithCancel(t.Context())
		cancel()
		_, err := h.Apply(ctx, store.Tx{})
		test.ErrorIs(t, err, context.Canceled)
		test.Zero(t, h.OutageDuration())
		_, _, _ = h.Feed(t.Context(), store.Changes{Table: "t", After: 0, Wait: 10 * time.Second})
		test.LessEq(t, 700*time.Millisecond, h.OutageDuration())
	})
}
