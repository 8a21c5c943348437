package site

import (
	"context"
	"errors"
	"maps"
	"math/rand/v2"
	"slices"
	"strings"
	"sync"
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

	// state and confirmedAt are written with mu held.
	state atomic.Pointer[State]
	// confirmedAt is a time, by Now, at which State was the store's latest state; 0 before the
	// first read.
	confirmedAt atomic.Int64
	// readAt is like confirmedAt, but also set if some rows could not be decoded.
	readAt atomic.Int64
	// failing is set while the store does not answer reads of the settings.
	failing atomic.Bool

	mu sync.Mutex
	// loaded is whether the whole table has been read, and need not be read again.
	loaded bool
	// version is the version of the store that the rows are of, changedAt that of the last change
	// among them, at most.
	version, changedAt int64
	// rows holds the rows that state was decoded from, by key; nil before the first read.
	rows map[string]store.Row
	// undecoded holds the keys of the rows that state lacks because they could not be decoded.
	undecoded map[string]bool
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

// Age returns an upper bound of the time since State was the store's latest state, if it is called
// before State. known is false until the whole table has been read and decoded.
func (w *Watcher) Age() (age time.Duration, known bool) {
	confirmedAt := time.Duration(w.confirmedAt.Load())
	if confirmedAt == 0 {
		return 0, false
	}
	return w.Now() - confirmedAt, true
}

// ReadAge is like Age, but also known if State lacks rows that could not be decoded. Drained zones always can be.
func (w *Watcher) ReadAge() (age time.Duration, known bool) {
	readAt := time.Duration(w.readAt.Load())
	if readAt == 0 {
		return 0, false
	}
	return w.Now() - readAt, true
}

// Run follows the table until ctx ends.
func (w *Watcher) Run(ctx context.Context) error {
	w.registerGauges()
	retryDelay := initialRetryDelay
	lastRead := w.Now()
	for ctx.Err() == nil {
		w.Bulk.WaitForUrgent(ctx, maxUrgentWait-(w.Now()-lastRead))
		began := w.Now()
		err := w.poll(ctx)
		countRead(err)
		switch {
		case err == nil:
			lastRead, retryDelay = w.Now(), initialRetryDelay
			w.failing.Store(false)
			continue
		case errors.Is(err, store.ErrCompacted):
			w.Logger.Warn("history of operator settings compacted; reading the whole table")
			w.unload()
			continue
		case errors.Is(err, store.ErrTooLarge):
			w.Logger.Info("changes of operator settings exceed the feed limit; reading the whole table")
			w.unload()
			continue
		case ctx.Err() == nil:
			w.failing.Store(true)
			age, known := w.Age()
			w.Logger.WithError(err).WithFields(log.Fields{
				"loaded": known, "took_ms": (w.Now() - began).Milliseconds(), "age_ms": age.Milliseconds(),
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

// unload makes the next poll read the whole table.
func (w *Watcher) unload() {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.loaded = false
}

// poll reads the changes since the last poll, or the whole table, and applies them.
func (w *Watcher) poll(ctx context.Context) error {
	w.mu.Lock()
	loaded, request := w.loaded, store.FeedRequest{Table: w.Table, After: w.version, Wait: followWait, MaxBytes: w.feedLimit}
	w.mu.Unlock()
	began := w.Now()
	if readAt := time.Duration(w.readAt.Load()); began-readAt > store.StaleAge {
		request.Wait = 0
	}
	if !loaded {
		rows, version, err := w.Bulk.ReadAll(ctx, store.ReadRequest{Table: w.Table})
		if err != nil {
			return err
		}
		w.mu.Lock()
		defer w.mu.Unlock()
		if version >= w.version {
			w.replace(rows, version)
			w.confirm(began)
		}
		return nil
	}
	rows, version, err := w.Store.Feed(ctx, request)
	if err != nil {
		return err
	}
	currentAt, known := request.CurrentAt(began, w.Now(), len(rows))
	w.mu.Lock()
	defer w.mu.Unlock()
	if version < w.version {
		return nil // a peer's settings were newer
	}
	w.update(rows, version)
	if known {
		w.confirm(currentAt)
	}
	return nil
}

// confirm records that the rows were the store's latest at a time. State is not of that age if it
// lacks one of them. It is called with the lock held.
func (w *Watcher) confirm(at time.Duration) {
	w.readAt.Store(max(w.readAt.Load(), int64(at)))
	if len(w.undecoded) > 0 {
		return
	}
	w.confirmedAt.Store(max(w.confirmedAt.Load(), int64(at)))
}

// replace applies the whole table at a version. The current configuration stays, so that Decode
// can compare versions. It is called with the lock held.
func (w *Watcher) replace(rows []store.Row, version int64) {
	w.rows, w.undecoded = map[string]store.Row{}, map[string]bool{}
	for _, row := range rows {
		w.rows[row.Key] = row
	}
	w.loaded, w.version, w.changedAt = true, version, version
	w.updateFeedLimit(rows)
	w.apply(&State{Config: w.State().Config}, rows)
}

// update applies the changes up to a version. It is called with the lock held.
func (w *Watcher) update(rows []store.Row, version int64) {
	// The operator settings have no part, and a feed returns the rows of all parts.
	rows = slices.DeleteFunc(slices.Clone(rows), func(row store.Row) bool { return row.Part != "" })
	for _, row := range rows {
		if row.Deleted {
			delete(w.rows, row.Key)
		} else {
			w.rows[row.Key] = row
		}
		w.changedAt = max(w.changedAt, row.Version)
	}
	w.version = version
	if len(rows) > 0 {
		w.apply(w.State(), rows)
	}
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

// apply decodes rows into a copy of state, which becomes the current one. It is called with the
// lock held.
func (w *Watcher) apply(state *State, rows []store.Row) {
	for _, row := range rows {
		next := state
		err := contain.Do(w.Logger, "operators' row", func() (err error) {
			next, err = w.Decode(state, row)
			return err
		})
		if err != nil {
			w.Logger.WithError(err).Error("row of operator settings skipped")
			w.undecoded[row.Key] = true
			continue
		}
		delete(w.undecoded, row.Key)
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
