package site_test

import (
	"context"
	"errors"
	"maps"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/apex/log"
	"github.com/apex/log/handlers/discard"
	"github.com/shoenig/test"
	"github.com/shoenig/test/must"

	"bamboowood/internal/site"
	"bamboowood/internal/store"
)

var errRefused = errors.New("refused")

// zoneStore has the drained zones of its rows. It can be made to refuse calls, or to hold its
// answers to feeds.
type zoneStore struct {
	store.Store
	mu       sync.Mutex
	changes  []store.Row
	version  int64
	refusing bool
	// hold, unless nil, is waited for between the answer to a feed and its return.
	hold chan struct{}
}

func (s *zoneStore) set(zone string, drained bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.version++
	s.changes = append(s.changes, store.Row{Key: zone, Value: []byte{}, Version: s.version, Deleted: !drained})
}

func (s *zoneStore) setRefusing(refusing bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.refusing = refusing
}

func (s *zoneStore) Read(context.Context, store.ReadRequest, int) (store.Page, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.refusing {
		return store.Page{}, errRefused
	}
	rows := map[string]store.Row{}
	for _, row := range s.changes {
		rows[row.Key] = row
		if row.Deleted {
			delete(rows, row.Key)
		}
	}
	return store.Page{Rows: slices.Collect(maps.Values(rows)), Version: s.version}, nil
}

func (s *zoneStore) Feed(_ context.Context, r store.FeedRequest) ([]store.Row, int64, error) {
	for waited := time.Duration(0); ; waited += r.Wait / 10 {
		s.mu.Lock()
		refusing, version, hold := s.refusing, s.version, s.hold
		var rows []store.Row
		for _, row := range s.changes {
			if row.Version > r.After {
				rows = append(rows, row)
			}
		}
		s.mu.Unlock()
		switch {
		case refusing:
			return nil, 0, errRefused
		case len(rows) > 0 || waited >= r.Wait:
			if hold != nil {
				<-hold
			}
			return rows, version, nil
		}
		time.Sleep(r.Wait / 10)
	}
}

// watcherPeer serves the settings of a watcher as a peer.
type watcherPeer struct {
	watcher *site.Watcher
	// requests counts the requests; received is the last snapshot.
	requests atomic.Int64
	received atomic.Pointer[site.Snapshot]
}

func (p *watcherPeer) Settings(_ context.Context, after int64) (site.Snapshot, error) {
	p.requests.Add(1)
	snapshot, known := p.watcher.Snapshot(after)
	if !known {
		return snapshot, errors.New("nothing known")
	}
	p.received.Store(&snapshot)
	return snapshot, nil
}

func newZoneWatcher(s store.Store) *site.Watcher {
	start := time.Now()
	return &site.Watcher{
		Store: s, Bulk: store.NewBulkReader(s, 0), Logger: &log.Logger{Handler: discard.Default}, Table: "op",
		Now: func() time.Duration { return time.Since(start) + time.Second },
		Decode: func(state *site.State, row store.Row) (*site.State, error) {
			next := &site.State{Config: state.Config, Drained: maps.Clone(state.Drained)}
			if next.Drained == nil {
				next.Drained = map[string]bool{}
			}
			next.Drained[row.Key] = true
			if row.Deleted {
				delete(next.Drained, row.Key)
			}
			return next, nil
		},
	}
}

func drained(w *site.Watcher) string {
	return strings.Join(slices.Sorted(maps.Keys(w.State().Drained)), ",")
}

// runWithPeer runs a watcher of s that follows a watcher of peerStore until the test function
// returns.
func runWithPeer(t *testing.T, s, peerStore store.Store, run func(w *site.Watcher, peer *watcherPeer)) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		w, peer := newZoneWatcher(s), &watcherPeer{watcher: newZoneWatcher(peerStore)}
		var group sync.WaitGroup
		for _, loop := range []func(context.Context) error{
			w.Run, peer.watcher.Run, func(ctx context.Context) error { return w.FollowPeer(ctx, peer) },
		} {
			group.Go(func() { _ = loop(ctx) }) // ends with its context
		}
		run(w, peer)
		cancel()
		group.Wait()
	})
}

// Guards against settings that stay old while the store turns this entry away, and against
// requests to a peer while the store answers.
func TestWatcher_FollowsPeerWhileStoreRefuses(t *testing.T) {
	own, other := &zoneStore{}, &zoneStore{}
	runWithPeer(t, own, other, func(w *site.Watcher, peer *watcherPeer) {
		for _, s := range []*zoneStore{own, other} {
			s.set("norte", true)
		}
		time.Sleep(10 * time.Second)
		test.Eq(t, "norte", drained(w))
		test.Zero(t, peer.requests.Load())

		own.setRefusing(true)
		other.set("sur", true)
		other.set("norte", false)
		time.Sleep(2 * time.Second)
		test.Eq(t, "sur", drained(w))
		age, _ := w.Age()
		test.LessEq(t, 2*time.Second, age)
		time.Sleep(5 * time.Second)
		must.Positive(t, peer.requests.Load())
		test.False(t, peer.received.Load().Changed, test.Sprint("unchanged rows are not sent again"))

		own.set("sur", true)
		own.set("norte", false)
		own.setRefusing(false)
		time.Sleep(2 * time.Second)
		requests := peer.requests.Load()
		time.Sleep(5 * time.Second)
		test.Eq(t, requests, peer.requests.Load())
		test.Eq(t, "sur", drained(w))
	})
}

// Guards against settings that go back to an older version: by a peer that is behind, and by a
// feed whose answer arrives after a peer's newer settings.
func TestWatcher_IgnoresOlderSettings(t *testing.T) {
	own, other := &zoneStore{}, &zoneStore{}
	runWithPeer(t, own, other, func(w *site.Watcher, peer *watcherPeer) {
		other.set("norte", true)
		for _, zone := range []string{"norte", "sur"} {
			own.set(zone, true)
		}
		time.Sleep(2 * time.Second)
		own.setRefusing(true)
		time.Sleep(5 * time.Second)
		must.Positive(t, peer.requests.Load())
		test.Eq(t, "norte,sur", drained(w))

		// The answer to the next feed is held, while the peer gets ahead of it.
		own.mu.Lock()
		own.hold = make(chan struct{})
		own.mu.Unlock()
		own.set("centro", true)
		other.set("sur", true)
		other.set("centro", true)
		other.set("centro", false)
		own.setRefusing(false)
		time.Sleep(5 * time.Second)
		test.Eq(t, "norte,sur", drained(w))
		close(own.hold)
		time.Sleep(100 * time.Millisecond)
		test.Eq(t, "norte,sur", drained(w))
	})
}

// Guards against a peer that takes settings for current whose age is unknown, since one of their
// rows could not be decoded.
func TestWatcher_NoSnapshotOfUnknownAge(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := &zoneStore{}
		s.set("norte", true)
		w := newZoneWatcher(s)
		w.Decode = func(state *site.State, _ store.Row) (*site.State, error) { return state, errors.New("unexpected type") }
		ctx, cancel := context.WithTimeout(t.Context(), time.Second)
		defer cancel()
		_ = w.Run(ctx) // ends with its context
		_, known := w.Snapshot(0)
		test.False(t, known)
	})
}
