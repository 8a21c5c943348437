package site

import (
	"context"
	"errors"
	"maps"
	"math/rand/v2"
	"slices"
	"strings"
	"sync/atomic"
	"time"

	"github.com/apex/log"

	"bamboowood/internal/contain"
	"bamboowood/internal/store"
)

const (
	// followWait is how long a feed waits for a change. A feed may stop answering without an
	// error, so the wait must not be much longer than the permitted delay of a change.
	followWait = time.Second
	// initialRetryDelay is the time from the start of a failed call of the store to the next one.
	// It doubles with each failure, up to maxRetryDelay. Half of the delay is random, since the
	// calls of all entries fail at the same time. After a call that took longer, the next one follows
	// within maxJitter.
	initialRetryDelay = 200 * time.Millisecond
	maxRetryDelay     = 800 * time.Millisecond
	maxJitter         = 100 * time.Millisecond
	// maxUrgentWait is the time since the last read up to which reads of operator settings wait
	// while a new leader reads the ledger over the same link. Older settings do not wait, so that
	// the wait does not add to that of a call without an answer.
	maxUrgentWait = time.Second
	// minFeedLimit is the size limit of a feed for an empty table, in bytes.
	minFeedLimit = 64 << 10
	// feedLimitFactor times the encoded size of the whole table is added to minFeedLimit.
	feedLimitFactor = 1.3
	// base64Factor is the growth of a value by its base64 encoding.
	base64Factor = 4.0 / 3
)

// Decode returns a state to which one row of the operator settings has been applied. It must ignore
// a configuration that is not newer than that of state.
type Decode func(state *State, row store.Row) (*State, error)

// Watcher follows the table of operator settings. State is safe for concurrent use.
type Watcher struct {
	Store store.Store
	// Bulk reads the whole table.
	Bulk   *store.BulkReader
	Logger log.Interface
	// Table is the name of the table of operator settings; Decode decodes one of its rows.
	Table  string
	Decode Decode
	// Now is a monotonic clock that includes the time in which the machine was suspended.
	Now func() time.Duration

	state atomic.Pointer[State]
	// confirmedAt is a time, by Now, at which State was the store's latest state; 0 before the
	// first read.
	confirmedAt atomic.Int64
	// feedLimit is the maximum size of a feed's answer in bytes. The whole table is read if the
	// changes exceed it.
	feedLimit int64
}

// State returns the latest state, which is empty until the table has been read.
func (w *Watcher) State() *State {
	if s := w.state.Load(); s != nil {
		return s
	}
	return &State{}
}

// Age returns an upper bound of the time since State was the store's latest state. known is
// false until the table has been read.
func (w *Watcher) Age() (age time.Duration, known bool) {
	confirmedAt := time.Duration(w.confirmedAt.Load())
	if confirmedAt == 0 {
		return 0, false
	}
	return w.Now() - confirmedAt, true
}

// Run follows the table until ctx ends.
func (w *Watcher) Run(ctx context.Context) error {
	w.registerGauges()
	loaded := false
	var version int64
	retryDelay := initialRetryDelay
	lastRead := w.Now()
	for ctx.Err() == nil {
		w.Bulk.WaitForUrgent(ctx, maxUrgentWait-(w.Now()-lastRead))
		began := w.Now()
		next, unchangedFor, err := w.poll(ctx, loaded, version)
		countRead(err)
		switch {
		case err == nil:
			w.confirmedAt.Store(int64(began + unchangedFor))
			lastRead = w.Now()
			loaded, version, retryDelay = true, next, initialRetryDelay
			continue
		case errors.Is(err, store.ErrCompacted):
			w.Logger.Warn("history of operator settings compacted; reading the whole table")
			loaded = false
			continue
		case errors.Is(err, store.ErrTooLarge):
			w.Logger.Info("changes of operator settings exceed the feed limit; reading the whole table")
			loaded = false
			continue
		case ctx.Err() == nil:
			age, _ := w.Age()
			w.Logger.WithError(err).WithFields(log.Fields{
				"loaded": loaded, "took_ms": (w.Now() - began).Milliseconds(), "age_ms": age.Milliseconds(),
			}).Warn("reading operator settings failed")
		}
		select {
		case <-ctx.Done():
		case <-time.After(max(retryDelay/2+rand.N(retryDelay/2)-(w.Now()-began), rand.N(maxJitter))):
		}
		retryDelay = min(2*retryDelay, maxRetryDelay)
	}
	return ctx.Err()
}

// poll applies the changes since a version, or the whole table if loaded is false, and returns
// the version to continue from. unchangedFor is the time from the call for which the settings
// certainly stayed what they are now. While the whole table is read again, the current
// configuration stays, so that Decode can compare versions.
func (w *Watcher) poll(ctx context.Context, loaded bool, version int64) (next int64, unchangedFor time.Duration, err error) {
	if !loaded {
		rows, version, err := w.Bulk.ReadAll(ctx, store.ReadRequest{Table: w.Table})
		if err == nil {
			w.apply(&State{Config: w.State().Config}, rows)
			w.updateFeedLimit(rows)
		}
		return version, 0, err
	}
	rows, version, err := w.Store.Feed(ctx, store.FeedRequest{
		Table: w.Table, After: version, Wait: followWait, MaxBytes: w.feedLimit,
	})
	if err != nil {
		return 0, 0, err
	}
	if len(rows) == 0 {
		// The store answers without rows only after it has waited for a change.
		return version, followWait, nil
	}
	w.apply(w.State(), rows)
	return version, 0, nil
}

// updateFeedLimit derives the feed limit from the size of the table. The limit keeps a feed from
// transferring several versions of a large row, of which only the last one is applied.
func (w *Watcher) updateFeedLimit(rows []store.Row) {
	bytes := 0
	for _, row := range rows {
		bytes += len(row.Value)
	}
	w.feedLimit = minFeedLimit + int64(feedLimitFactor*float64(bytes)*base64Factor)
}

func (w *Watcher) apply(state *State, rows []store.Row) {
	for _, row := range rows {
		next := state
		err := contain.Do(w.Logger, "operators' row", func() (err error) {
			next, err = w.Decode(state, row)
			return err
		})
		if err != nil {
			w.Logger.WithError(err).Error("row of operator settings skipped")
			continue
		}
		state = next
	}
	old := w.State()
	w.state.Store(state)
	if state.Config != old.Config && state.Config != nil {
		w.Logger.WithFields(log.Fields{
			"version": state.Config.Version, "routes": len(state.Config.Routes), "services": len(state.Config.Services),
		}).Info("configuration applied")
	}
	if !maps.Equal(state.Drained, old.Drained) {
		zones := slices.Sorted(maps.Keys(state.Drained))
		w.Logger.WithField("zones", strings.Join(zones, ",")).Info("drained zones changed")
	}
}
