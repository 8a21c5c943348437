package scheduler

import (
	"context"
	"errors"
	"time"

	"bamboowood/internal/lease"
	"bamboowood/internal/platform"
	"bamboowood/internal/state"
)

// SchedulingLease is the value of the row state.SchedulingKey.
type SchedulingLease struct {
	Holder string `json:"holder"`
	// Sequence increases with each renewal, so that the row's version changes.
	Sequence int64 `json:"sequence"`
	// DurationMS is the validity of one renewal in milliseconds. The holder counts it
	// from before it sends the renewal.
	DurationMS int64 `json:"duration_ms"`
	Released   bool  `json:"released,omitempty"`
}

const (
	// renewDivisor divides the duration: the lease is renewed after duration/renewDivisor.
	renewDivisor = 3
	// takeoverMargin is added to the time that the row must stay unchanged before another
	// entry process takes over.
	takeoverMargin = 200 * time.Millisecond
)

// schedulingLease is the state of the scheduling lease in this entry, as its holder or as
// an observer of another holder.
type schedulingLease struct {
	holder   string
	duration time.Duration
	validity *lease.Holder
	observer lease.Observer
	renewAt  time.Duration // monotonic
	row      state.Row[SchedulingLease]
}

func newSchedulingLease(holder string, duration time.Duration) *schedulingLease {
	return &schedulingLease{holder: holder, duration: duration, validity: lease.NewHolder(duration)}
}

// acquireOrRenew renews the lease when it is due, or acquires it once its row has stayed
// unchanged for long enough. It reports whether the lease is held.
func (l *schedulingLease) acquireOrRenew(ctx context.Context, table platform.Table, now func() time.Duration) (bool, error) {
	at := now()
	if at < l.renewAt {
		return l.validity.Remaining(at) > 0, nil
	}
	row, err := state.Get[SchedulingLease](ctx, table, state.SchedulingKey)
	if err != nil {
		return l.validity.Remaining(now()) > 0, err
	}
	l.row = row
	if !l.canAcquire(now()) {
		l.renewAt = at + l.duration/renewDivisor
		return false, nil
	}
	return l.renew(ctx, table, now)
}

// canAcquire reports whether this entry holds the lease, or it is released or expired.
func (l *schedulingLease) canAcquire(at time.Duration) bool {
	value := l.row.Value
	if !l.row.Exists() || value.Released || value.Holder == l.holder {
		return true
	}
	duration := time.Duration(value.DurationMS) * time.Millisecond
	unchangedFor := l.observer.Observe(at, l.row.Version, l.duration)
	return unchangedFor >= lease.RevokeAfter(duration, takeoverMargin)
}

func (l *schedulingLease) renew(ctx context.Context, table platform.Table, now func() time.Duration) (bool, error) {
	sent := now()
	next := SchedulingLease{Holder: l.holder, Sequence: l.row.Value.Sequence + 1, DurationMS: l.duration.Milliseconds()}
	tx := state.NewTx()
	tx.Put(state.SchedulingKey, l.row.Version, next)
	err := state.Commit(ctx, table, tx)
	if errors.Is(err, platform.ErrConflict) {
		return false, nil
	}
	if err != nil {
		return l.validity.Remaining(now()) > 0, err
	}
	l.validity.Renewed(sent)
	l.renewAt = sent + l.duration/renewDivisor
	return l.validity.Remaining(now()) > 0, nil
}

// release marks the lease as released.
func (l *schedulingLease) release(ctx context.Context, table platform.Table) error {
	row, err := state.Get[SchedulingLease](ctx, table, state.SchedulingKey)
	if err != nil || row.Value.Holder != l.holder {
		return err
	}
	row.Value.Released = true
	tx := state.NewTx()
	tx.Put(state.SchedulingKey, row.Version, row.Value)
	return state.Commit(ctx, table, tx)
}
