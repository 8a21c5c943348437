package store

import (
	"context"
	"errors"
	"fmt"
	"sync"
	"time"
)

// failFastAfter without any answer is when calls that may fail fast do so. It is a
// little less than the time after which one call is given up.
const failFastAfter = 600 * time.Millisecond

// Health passes calls on to a store and watches whether they get answers, refusals
// included. It is safe for concurrent use.
type Health struct {
	store Store
	// changed is told when the store ceases to answer and when it answers again.
	changed func(answers bool, unanswered time.Duration)

	mu sync.Mutex
	// since is when the earliest call began that got no answer, zero if a later call got
	// one.
	since time.Time
	// answered is when the last answer came.
	answered time.Time
	lost     bool
}

var _ Store = (*Health)(nil)

// NewHealth returns a store that watches s. changed is told when s ceases to answer and
// when it answers again.
func NewHealth(s Store, changed func(answers bool, unanswered time.Duration)) *Health {
	return &Health{store: s, changed: changed}
}

// note takes the result of a call that began at a time.
func (h *Health) note(began time.Time, err error) {
	conflict := (*ConflictError)(nil)
	answered := err == nil || errors.As(err, &conflict) || errors.Is(err, ErrRefused) || errors.Is(err, ErrCompacted) ||
		errors.Is(err, ErrTooLarge)
	if errors.Is(err, context.Canceled) {
		// The caller has left; that tells nothing.
		return
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	switch {
	case answered:
		if h.lost {
			h.changed(true, time.Since(h.since))
		}
		h.since, h.answered, h.lost = time.Time{}, time.Now(), false
	case h.since.IsZero() && began.After(h.answered):
		h.since = began
	}
	if !h.since.IsZero() && !h.lost && time.Since(h.since) > failFastAfter {
		h.lost = true
		h.changed(false, time.Since(h.since))
	}
}

// OutageDuration is how long the store has not answered; 0 if its last answer came after
// all calls that got none.
func (h *Health) OutageDuration() time.Duration {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.since.IsZero() {
		return 0
	}
	return time.Since(h.since)
}

// Apply implements Store.
func (h *Health) Apply(ctx context.Context, tx Tx) (int64, error) {
	began := time.Now()
	version, err := h.store.Apply(ctx, tx)
	h.note(began, err)
	return version, err
}

// Read implements Store.
func (h *Health) Read(ctx context.Context, r Range, limit int) (Page, error) {
	began := time.Now()
	page, err := h.store.Read(ctx, r, limit)
	h.note(began, err)
	return page, err
}

// Feed implements Store.
func (h *Health) Feed(ctx context.Context, c Changes) ([]Row, int64, error) {
	// The wait is no time without an answer.
	began := time.Now().Add(c.Wait)
	rows, version, err := h.store.Feed(ctx, c)
	h.note(began, err)
	return rows, version, err
}

// FailFast returns the same store for calls on behalf of callers: transactions are
// refused at once while the store does not answer, since waiting for one would only use
// up the caller's time. Other calls show when the store answers again.
func (h *Health) FailFast() Store { return &failFast{h} }

type failFast struct{ *Health }

// Apply implements Store.
func (f *failFast) Apply(ctx context.Context, tx Tx) (int64, error) {
	if silent := f.OutageDuration(); silent > failFastAfter {
		return 0, fmt.Errorf("%w: no answer for %s", ErrRefused, silent.Round(time.Millisecond))
	}
	return f.Health.Apply(ctx, tx)
}
