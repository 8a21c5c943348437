package site

import (
	"cmp"
	"context"
	"slices"
	"time"

	"github.com/apex/log"

	"bamboowood/internal/store"
)

// peerInterval is the time between requests to a peer. With the time until a call of the store
// fails, it must stay below the permitted delay of a change.
const peerInterval = 500 * time.Millisecond

// Snapshot is the operator settings at a version of the store.
type Snapshot struct {
	Version int64
	// Age is an upper bound of the time for which Version has not been the latest one.
	Age time.Duration
	// Changed is false if no row has changed after the requested version; then Rows is empty.
	Changed bool
	Rows    []store.Row
}

// Peer is another entry. Settings returns its settings, with their rows if these have changed
// after a version.
type Peer interface {
	Settings(ctx context.Context, after int64) (Snapshot, error)
}

// Snapshot returns the settings for a peer that has those of version after. known is false until
// the whole table has been read and decoded.
func (w *Watcher) Snapshot(after int64) (snapshot Snapshot, known bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	age, known := w.Age()
	if !known {
		return Snapshot{}, false
	}
	snapshot = Snapshot{Version: w.version, Age: age, Changed: w.changedAt > after}
	if snapshot.Changed {
		for _, row := range w.rows {
			snapshot.Rows = append(snapshot.Rows, row)
		}
		slices.SortFunc(snapshot.Rows, func(a, b store.Row) int { return cmp.Compare(a.Version, b.Version) })
	}
	return snapshot, true
}

// FollowPeer requests the settings from a peer until ctx ends, as long as they cannot be read
// from the store. The store may turn away this entry while it serves others.
func (w *Watcher) FollowPeer(ctx context.Context, peer Peer) error {
	ticker := time.NewTicker(peerInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-ticker.C:
		}
		if !w.failing.Load() {
			continue
		}
		began := w.Now()
		w.mu.Lock()
		after := w.version
		w.mu.Unlock()
		snapshot, err := peer.Settings(ctx, after)
		if err != nil {
			countPeerRead("failed")
			continue
		}
		countPeerRead(w.applySnapshot(began, snapshot))
	}
}

// applySnapshot applies a snapshot that was requested at the given time, unless the settings are
// of a later version, and returns a label for the metric.
func (w *Watcher) applySnapshot(requestedAt time.Duration, s Snapshot) (result string) {
	w.mu.Lock()
	defer w.mu.Unlock()
	switch {
	case s.Version < w.version, w.rows == nil && !s.Changed:
		return "older"
	case s.Changed:
		w.Logger.WithFields(log.Fields{"store_version": s.Version, "age_ms": s.Age.Milliseconds()}).Info("operator settings received from the leader")
		w.replace(s.Rows, s.Version)
		result = "changed"
	default:
		w.loaded, w.version = true, s.Version
		result = "unchanged"
	}
	w.confirm(requestedAt - s.Age)
	return result
}
