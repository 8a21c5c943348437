package store

import (
	"context"
	"errors"
	"fmt"
	"sync"
	"time"
)

// failFastAfter is the length of an outage after which fail-fast calls are refused at once. It
// is a little less than the timeout of one call.
const failFastAfter = 600 * time.Millisecond

// Health forwards calls to a store and detects outages of the store, in which no call is
// answered. A refusal is an answer. It is safe for concurrent use.
type Health struct {
	store Store
	// onChange is called with mu held at the start and at the end of an outage.
	onChange func(available bool, outage time.Duration)

	mu sync.Mutex
	// outageStart is the start of the earliest unanswered call since the last answer, zero if
	// there is none.
	outageStart time.Time
	// lastAnswer is the time of the last answer.
	lastAnswer  time.Time
	unavailable bool
}

var _ Store = (*Health)(nil)

// NewHealth returns a store that monitors s. It calls onChange when s stops answering and when
// s answers again, with the length of the outage so far. onChange must not call the Health.
func NewHealth(s Store, onChange func(available bool, outage time.Duration)) *Health {
	return &Health{store: s, onChange: onChange}
}

// record updates the health from the result of a call and the time at which it started.
func (h *Health) record(start time.Time, err error) {
	conflict := (*ConflictError)(nil)
	answered := err == nil || errors.As(err, &conflict) || errors.Is(err, ErrRefused) || errors.Is(err, ErrCompacted) ||
		errors.Is(err, ErrTooLarge)
	if errors.Is(err, context.Canceled) {
		// The caller cancelled the call, so it does not show whether the store answers.
		return
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	switch {
	case answered:
		if h.unavailable {
			h.onChange(true, time.Since(h.outageStart))
		}
		h.outageStart, h.lastAnswer, h.unavailable = time.Time{}, time.Now(), false
	case h.outageStart.IsZero() && start.After(h.lastAnswer):
		h.outageStart = start
	}
	if !h.outageStart.IsZero() && !h.unavailable && time.Since(h.outageStart) > failFastAfter {
		h.unavailable = true
		h.onChange(false, time.Since(h.outageStart))
	}
}

// OutageDuration returns the time since the start of the earliest unanswered call; 0 if no call
// that started after the last answer has gone unanswered.
func (h *Health) OutageDuration() time.Duration {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.outageStart.IsZero() {
		return 0
	}
	return time.Since(h.outageStart)
}

// Apply implements Store.
func (h *Health) Apply(ctx context.Context, tx Tx) (int64, error) {
	start := time.Now()
	version, err := h.store.Apply(ctx, tx)
	h.record(start, err)
	return version, err
}

// Read implements Store.
func (h *Health) Read(ctx context.Context, r Range, limit int) (Page, error) {
	start := time.Now()
	page, err := h.store.Read(ctx, r, limit)
	h.record(start, err)
	return page, err
}

// Feed implements Store.
func (h *Health) Feed(ctx context.Context, c Changes) ([]Row, int64, error) {
	// The time for which a feed waits for a change is not part of an outage.
	start := time.Now().Add(c.Wait)
	rows, version, err := h.store.Feed(ctx, c)
	h.record(start, err)
	return rows, version, err
}

// FailFast returns the same store for calls on behalf of callers. It refuses transactions at
// once during an outage, since waiting for an answer would only use up the caller's time. Other
// calls detect the end of the outage.
func (h *Health) FailFast() Store { return &failFast{h} }

type failFast struct{ *Health }

// Apply implements Store.
func (f *failFast) Apply(ctx context.Context, tx Tx) (int64, error) {
	if outage := f.OutageDuration(); outage > failFastAfter {
		return 0, fmt.Errorf("%w: no answer for %s", ErrRefused, outage.Round(time.Millisecond))
	}
	return f.Health.Apply(ctx, tx)
}
