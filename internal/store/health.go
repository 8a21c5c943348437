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

// Monitor forwards calls to a store and detects outages of the store, in which no call is
// answered. A refusal is an answer. It is safe for concurrent use.
type Monitor struct {
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

var _ Store = (*Monitor)(nil)

// NewMonitor returns a Monitor of s. It calls onChange when s stops answering and when s answers
// again, with the length of the outage so far. onChange must not call the Monitor.
func NewMonitor(s Store, onChange func(available bool, outage time.Duration)) *Monitor {
	return &Monitor{store: s, onChange: onChange}
}

// record updates the outage state from the result of a call and the time at which it started.
func (m *Monitor) record(start time.Time, err error) {
	conflict := (*ConflictError)(nil)
	answered := err == nil || errors.As(err, &conflict) || errors.Is(err, ErrRefused) || errors.Is(err, ErrRejected) || errors.Is(err, ErrCompacted) ||
		errors.Is(err, ErrTooLarge)
	if errors.Is(err, context.Canceled) {
		// The caller cancelled the call, so it does not show whether the store answers.
		return
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	switch {
	case answered:
		if m.unavailable {
			m.onChange(true, time.Since(m.outageStart))
		}
		m.outageStart, m.lastAnswer, m.unavailable = time.Time{}, time.Now(), false
	case m.outageStart.IsZero() && start.After(m.lastAnswer):
		m.outageStart = start
	}
	if !m.outageStart.IsZero() && !m.unavailable && time.Since(m.outageStart) > failFastAfter {
		m.unavailable = true
		m.onChange(false, time.Since(m.outageStart))
	}
}

// OutageDuration returns the time since the start of the earliest unanswered call; 0 if no call
// that started after the last answer has gone unanswered.
func (m *Monitor) OutageDuration() time.Duration {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.outageStart.IsZero() {
		return 0
	}
	return time.Since(m.outageStart)
}

// Apply implements Store.
func (m *Monitor) Apply(ctx context.Context, tx Tx) (int64, error) {
	start := time.Now()
	version, err := m.store.Apply(ctx, tx)
	m.record(start, err)
	return version, err
}

// Read implements Store.
func (m *Monitor) Read(ctx context.Context, r ReadRequest, limit int) (Page, error) {
	start := time.Now()
	page, err := m.store.Read(ctx, r, limit)
	m.record(start, err)
	return page, err
}

// Feed implements Store.
func (m *Monitor) Feed(ctx context.Context, c FeedRequest) ([]Row, int64, error) {
	// The time for which a feed waits for a change is not part of an outage.
	start := time.Now().Add(c.Wait)
	rows, version, err := m.store.Feed(ctx, c)
	m.record(start, err)
	return rows, version, err
}

// FailFast returns the same store for calls on behalf of callers. It refuses transactions at
// once during an outage, since waiting for an answer would only use up the caller's time. Other
// calls detect the end of the outage.
func (m *Monitor) FailFast() Store { return &failFast{m} }

type failFast struct{ *Monitor }

// Apply implements Store.
func (f *failFast) Apply(ctx context.Context, tx Tx) (int64, error) {
	if outage := f.OutageDuration(); outage > failFastAfter {
		return 0, fmt.Errorf("%w: no answer for %s", ErrRefused, outage.Round(time.Millisecond))
	}
	return f.Monitor.Apply(ctx, tx)
}
