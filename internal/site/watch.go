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
	// followWait is how long a feed waits for a change. A feed may go silent, so it
	// must not be much longer than what a change may take.
	followWait = time.Second
	// firstRetryPause follows a failed call of the store; it doubles with each, up to
	// maxRetryPause. Half of it is random: all entries fail at once.
	firstRetryPause = 200 * time.Millisecond
	maxRetryPause   = 800 * time.Millisecond
	// yieldTime is how long the operators' rows wait for a new leader that reads the ledger
	// over the same link.
	yieldTime = time.Second
	// smallFeed is what a feed may bring however small the table is.
	smallFeed = 64 << 10
	// feedVersions times the size of the whole table is what a feed may bring besides.
	feedVersions = 1.3
	// base64Factor is by how much a value grows on its way.
	base64Factor = 4.0 / 3
)

// Decode returns a state with one of the operators' rows applied.
type Decode func(state *State, row store.Row) (*State, error)

// Watcher follows what the operators decide.
type Watcher struct {
	Store store.Store
	// Bulk reads the whole table.
	Bulk   *store.BulkReader
	Logger log.Interface
	// Table has the operators' rows; Decode reads one.
	Table  string
	Decode Decode

	state atomic.Pointer[State]
	// feedBound is the most bytes that a feed may bring; what is more is read whole.
	feedBound int64
}

// State is the latest state that is known.
func (w *Watcher) State() *State {
	if s := w.state.Load(); s != nil {
		return s
	}
	return &State{}
}

// Run follows the table until ctx ends.
func (w *Watcher) Run(ctx context.Context) error {
	loaded := false
	var version int64
	wait := firstRetryPause
	for ctx.Err() == nil {
		w.Bulk.WaitForUrgent(ctx, yieldTime)
		next, err := w.next(ctx, loaded, version)
		switch {
		case err == nil:
			loaded, version, wait = true, next, firstRetryPause
			continue
		case errors.Is(err, store.ErrCompacted):
			w.Logger.Warn("store has dropped the history of the operators' rows; reading them whole")
			loaded = false
			continue
		case errors.Is(err, store.ErrTooLarge):
			w.Logger.Info("several versions of the operators' rows are new; reading the last one")
			loaded = false
			continue
		case ctx.Err() == nil:
			w.Logger.WithError(err).WithField("loaded", loaded).Warn("operators' rows cannot be followed")
		}
		select {
		case <-ctx.Done():
		case <-time.After(wait/2 + rand.N(wait/2)):
		}
		wait = min(2*wait, maxRetryPause)
	}
	return ctx.Err()
}

// next takes what has changed since a version, or all rows if none are known yet. The
// configuration never goes back to an older version.
func (w *Watcher) next(ctx context.Context, loaded bool, version int64) (int64, error) {
	if !loaded {
		rows, version, err := w.Bulk.ReadAll(ctx, store.Range{Table: w.Table})
		if err == nil {
			w.apply(&State{Config: w.State().Config}, rows)
			w.boundFeed(rows)
		}
		return version, err
	}
	rows, version, err := w.Store.Feed(ctx, store.Changes{
		Table: w.Table, After: version, Wait: followWait, MaxBytes: w.feedBound,
	})
	if err == nil {
		w.apply(w.State(), rows)
	}
	return version, err
}

// boundFeed keeps feeds from bringing a large row in several versions, of which only the
// last one counts.
func (w *Watcher) boundFeed(rows []store.Row) {
	bytes := 0
	for _, row := range rows {
		bytes += len(row.Value)
	}
	w.feedBound = smallFeed + int64(feedVersions*float64(bytes)*base64Factor)
}

func (w *Watcher) apply(state *State, rows []store.Row) {
	for _, row := range rows {
		next := state
		err := contain.Do(w.Logger, "operators' row", func() (err error) {
			next, err = w.Decode(state, row)
			return err
		})
		if err != nil {
			w.Logger.WithError(err).Error("row of the operators left out")
			continue
		}
		state = next
	}
	old := w.State()
	w.state.Store(state)
	if state.Config != old.Config && state.Config != nil {
		w.Logger.WithFields(log.Fields{
			"version": state.Config.Version, "routes": len(state.Config.Routes), "services": len(state.Config.Services),
		}).Info("configuration in force")
	}
	if !maps.Equal(state.Drained, old.Drained) {
		zones := slices.Sorted(maps.Keys(state.Drained))
		w.Logger.WithField("zones", strings.Join(zones, ",")).Info("drained zones changed")
	}
}
