package site

import (
	"context"
	"errors"
	"maps"
	"slices"
	"strings"
	"sync/atomic"
	"time"

	"github.com/apex/log"

	"bamboowood/internal/store"
)

const (
	// followWait is how long a feed waits for a change. A feed may go silent, so it
	// must not be much longer than what a change may take.
	followWait = time.Second
	// retryPause follows a failed call of the store.
	retryPause = 200 * time.Millisecond
)

// Decode returns a state with one of the operators' rows applied.
type Decode func(state *State, row store.Row) (*State, error)

// Watcher follows what the operators decide.
type Watcher struct {
	Store  store.Store
	Logger log.Interface
	// Table has the operators' rows; Decode reads one.
	Table  string
	Decode Decode

	state atomic.Pointer[State]
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
	for ctx.Err() == nil {
		version, err := w.load(ctx)
		for err == nil {
			var rows []store.Row
			rows, version, err = w.Store.Feed(ctx, w.Table, version, followWait)
			w.apply(w.State(), rows)
		}
		if errors.Is(err, store.ErrForgotten) {
			w.Logger.Warn("store has dropped the history of the operators' rows; reading them whole")
			continue
		}
		if ctx.Err() == nil {
			w.Logger.WithError(err).Warn("operators' rows cannot be followed")
		}
		timer := time.NewTimer(retryPause)
		select {
		case <-ctx.Done():
		case <-timer.C:
		}
		timer.Stop()
	}
	return ctx.Err()
}

// load reads all rows. The configuration never goes back to an older version.
func (w *Watcher) load(ctx context.Context) (int64, error) {
	rows, version, err := w.Store.Read(ctx, store.Range{Table: w.Table})
	if err != nil {
		return 0, err
	}
	w.apply(&State{Config: w.State().Config}, rows)
	return version, nil
}

func (w *Watcher) apply(state *State, rows []store.Row) {
	for _, row := range rows {
		next, err := w.Decode(state, row)
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
