package site_test

import (
	"context"
	"errors"
	"slices"
	"sync"
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

// disconnectingStore answers feeds with the given errors, and counts the reads of the whole
// table.
type disconnectingStore struct {
	store.Store
	mu           sync.Mutex
	feedErrors   []error
	feedVersions []int64
	reads        int
}

func (s *disconnectingStore) Read(context.Context, store.ReadRequest, int) (store.Page, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.reads++
	return store.Page{Version: int64(10 * s.reads)}, nil
}

func (s *disconnectingStore) Feed(ctx context.Context, c store.FeedRequest) ([]store.Row, int64, error) {
	s.mu.Lock()
	s.feedVersions = append(s.feedVersions, c.After)
	if len(s.feedErrors) == 0 {
		s.mu.Unlock()
		time.Sleep(c.Wait)
		return nil, c.After, ctx.Err()
	}
	defer s.mu.Unlock()
	err := s.feedErrors[0]
	s.feedErrors = s.feedErrors[1:]
	return nil, c.After + 1, err
}

func newWatcher(s store.Store) *site.Watcher {
	start := time.Now()
	return &site.Watcher{
		Now:   func() time.Duration { return time.Since(start) + time.Second },
		Store: s, Bulk: store.NewBulkReader(s, 0), Logger: &log.Logger{Handler: discard.Default}, Table: "op",
		Decode: func(state *site.State, _ store.Row) (*site.State, error) { return state, nil },
	}
}

func runWatcher(t *testing.T, s *disconnectingStore, duration time.Duration) {
	w := newWatcher(s)
	ctx, cancel := context.WithTimeout(t.Context(), duration)
	defer cancel()
	test.ErrorIs(t, w.Run(ctx), context.DeadlineExceeded)
}

// The connection of a feed is reset. The watcher must continue from its last version: reading
// the whole table would saturate a slow link for all calls, and would be reset as well.
func TestWatcher_ResumesFeedAfterError(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		errReset := errors.New("connection reset")
		s := &disconnectingStore{feedErrors: []error{nil, errReset, errReset, nil}}
		runWatcher(t, s, 4*time.Second)
		test.Eq(t, 1, s.reads)
		test.Eq(t, []int64{10, 11, 11, 11, 12}, s.feedVersions[:5])
	})
}

// If the history has been compacted or a feed exceeds its limit, the watcher reads the whole
// table again.
func TestWatcher_RereadsCompactedHistory(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := &disconnectingStore{feedErrors: []error{nil, store.ErrCompacted, nil, store.ErrTooLarge, nil}}
		runWatcher(t, s, 4*time.Second)
		test.Eq(t, 3, s.reads)
		test.Eq(t, []int64{10, 11, 20, 21, 30, 31}, s.feedVersions[:6])
	})
}

// While a new leader reads the ledger over the same link, reads of operator settings wait, but
// no longer than the permitted delay of a configuration.
func TestWatcher_WaitsForUrgentReads(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := &disconnectingStore{}
		w := newWatcher(s)
		done := w.Bulk.BeginUrgent()
		ctx, cancel := context.WithTimeout(t.Context(), 10*time.Second)
		defer cancel()
		var group sync.WaitGroup
		group.Go(func() { _ = w.Run(ctx) }) // ends with its context
		reads := func() int {
			s.mu.Lock()
			defer s.mu.Unlock()
			return s.reads
		}
		time.Sleep(900 * time.Millisecond)
		test.Zero(t, reads())
		time.Sleep(200 * time.Millisecond)
		test.Eq(t, 1, reads())
		done()
		time.Sleep(10 * time.Millisecond)
		s.mu.Lock()
		feeds := len(s.feedVersions)
		s.mu.Unlock()
		test.Eq(t, 1, feeds)
		group.Wait()
	})
}

// Guards against settings that look current while the store cannot be read: their age grows
// until the next successful read.
func TestWatcher_AgeGrowsWhileReadsFail(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		errReset := errors.New("connection reset")
		w := newWatcher(&disconnectingStore{feedErrors: []error{errReset, errReset}})
		_, known := w.Age()
		test.False(t, known)
		ctx, cancel := context.WithTimeout(t.Context(), 3*time.Second)
		defer cancel()
		var group sync.WaitGroup
		group.Go(func() { _ = w.Run(ctx) }) // ends with its context
		time.Sleep(90 * time.Millisecond)
		age, known := w.Age()
		test.True(t, known)
		test.Eq(t, 90*time.Millisecond, age)
		time.Sleep(2 * time.Second)
		age, _ = w.Age()
		// The wait of the last feed that was answered, and of the one in flight.
		test.LessEq(t, 2*time.Second, age)
		group.Wait()
	})
}

// silentStore leaves feeds without an answer from its outage's start to its end, by the time
// since its creation. Feeds answer at once otherwise.
type silentStore struct {
	store.Store
	created            time.Time
	outageStart, until time.Duration
	// answeredAt is when the first feed after the outage was answered.
	answeredAt time.Duration
}

func (s *silentStore) Read(context.Context, store.ReadRequest, int) (store.Page, error) {
	return store.Page{Version: 1}, nil
}

func (s *silentStore) Feed(ctx context.Context, c store.FeedRequest) ([]store.Row, int64, error) {
	began := time.Since(s.created)
	if began >= s.outageStart && began < s.until {
		time.Sleep(c.Wait + feedRoundTrip)
		return nil, 0, errors.New("response stalled")
	}
	if began >= s.until && s.answeredAt == 0 {
		s.answeredAt = began
	}
	time.Sleep(c.Wait)
	return nil, c.After, ctx.Err()
}

const (
	// feedRoundTrip is the time beyond its wait after which a feed without an answer fails.
	feedRoundTrip = 700 * time.Millisecond
	// contactTime is the time after an outage within which an entry must read again.
	contactTime = 3 * time.Second
)

// Guards against settings that stay old after an outage of the store because the timeout of the
// last call, the pause after it and the yield to a new leader's reads add up.
func TestWatcher_ReadsWithinContactTimeOfOutage(t *testing.T) {
	for until := 2 * time.Second; until < 12*time.Second; until += 100 * time.Millisecond {
		synctest.Test(t, func(t *testing.T) {
			s := &silentStore{created: time.Now(), outageStart: time.Second, until: until}
			w := newWatcher(s)
			ctx, cancel := context.WithTimeout(t.Context(), until+2*contactTime)
			defer cancel()
			var group sync.WaitGroup
			group.Go(func() { _ = w.Run(ctx) }) // ends with its context
			time.Sleep(until)
			// An entry takes over the leadership as soon as the store answers.
			defer w.Bulk.BeginUrgent()()
			group.Wait()
			test.Positive(t, s.answeredAt)
			test.LessEq(t, contactTime, s.answeredAt-until, test.Sprintf("outage until %s", until))
		})
	}
}

// rowStore has one row in each version after the first.
type rowStore struct {
	store.Store
	rows []store.Row
}

func (s *rowStore) Read(context.Context, store.ReadRequest, int) (store.Page, error) {
	return store.Page{Version: 1}, nil
}

func (s *rowStore) Feed(_ context.Context, c store.FeedRequest) ([]store.Row, int64, error) {
	time.Sleep(c.Wait)
	if len(s.rows) == 0 {
		return nil, c.After, nil
	}
	row := s.rows[0]
	s.rows, row.Version = s.rows[1:], c.After+1
	return []store.Row{row}, row.Version, nil
}

// Guards against settings that look current although a row of theirs could not be decoded: they
// age until that row is replaced or removed.
func TestWatcher_UndecodedRowAges(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := &rowStore{rows: []store.Row{{Key: "config"}, {Key: "bad"}, {Key: "config"}, {Key: "config"}, {Key: "bad", Deleted: true}}}
		w := newWatcher(s)
		w.Decode = func(state *site.State, row store.Row) (*site.State, error) {
			if row.Key == "bad" && !row.Deleted {
				return state, errors.New("unexpected type")
			}
			return state, nil
		}
		ctx, cancel := context.WithTimeout(t.Context(), 10*time.Second)
		defer cancel()
		var group sync.WaitGroup
		group.Go(func() { _ = w.Run(ctx) }) // ends with its context
		time.Sleep(4500 * time.Millisecond)
		age, _ := w.Age()
		test.GreaterEq(t, 4*time.Second, age, test.Sprint("since the first configuration was read"))
		time.Sleep(3 * time.Second)
		age, _ = w.Age()
		test.LessEq(t, 2*time.Second, age)
		group.Wait()
	})
}

// partStore has an empty table, whose feed returns one row of another part.
type partStore struct {
	store.Store
	sent bool
}

func (s *partStore) Read(context.Context, store.ReadRequest, int) (store.Page, error) {
	return store.Page{Version: 1}, nil
}

func (s *partStore) Feed(ctx context.Context, c store.FeedRequest) ([]store.Row, int64, error) {
	if !s.sent {
		s.sent = true
		return []store.Row{{Table: "op", Part: "odd", Key: "config", Value: []byte("odd"), Version: 2}}, 2, nil
	}
	time.Sleep(c.Wait)
	return nil, c.After, ctx.Err()
}

// Guards against a row of another part that replaces the operator settings: if it cannot be
// decoded, the settings count as out of date for ever.
func TestWatcher_IgnoresOtherParts(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := newWatcher(&partStore{})
		w.Decode = func(state *site.State, row store.Row) (*site.State, error) {
			return state, errors.New("odd row " + row.Part + "/" + row.Key)
		}
		ctx, cancel := context.WithTimeout(t.Context(), 10*time.Second)
		defer cancel()
		test.ErrorIs(t, w.Run(ctx), context.DeadlineExceeded)
		age, known := w.Age()
		test.True(t, known)
		test.LessEq(t, 2*time.Second, age)
		snapshot, _ := w.Snapshot(0)
		test.SliceEmpty(t, snapshot.Rows)
		test.Eq(t, 2, snapshot.Version)
	})
}

// oneRowStore has one row and no changes.
type oneRowStore struct{ store.Store }

func (s *oneRowStore) Read(context.Context, store.ReadRequest, int) (store.Page, error) {
	return store.Page{Rows: []store.Row{{Table: "op", Key: "config", Value: []byte("odd"), Version: 1}}, Version: 1}, nil
}

func (s *oneRowStore) Feed(ctx context.Context, c store.FeedRequest) ([]store.Row, int64, error) {
	time.Sleep(c.Wait)
	return nil, c.After, ctx.Err()
}

// Guards against a leader that never starts anything because one row cannot be decoded: the settings count as
// read, although not as up to date.
func TestWatcher_ReadAgeWithUndecodedRow(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := newWatcher(&oneRowStore{})
		_, known := w.ReadAge()
		test.False(t, known)
		w.Decode = func(state *site.State, _ store.Row) (*site.State, error) { return state, errors.New("odd row") }
		ctx, cancel := context.WithTimeout(t.Context(), 10*time.Second)
		defer cancel()
		test.ErrorIs(t, w.Run(ctx), context.DeadlineExceeded)
		_, known = w.Age()
		test.False(t, known)
		age, known := w.ReadAge()
		test.True(t, known)
		test.LessEq(t, 2*time.Second, age)
	})
}

// scriptedStore answers the feeds of an empty table in turn, and then only after their wait.
type scriptedStore struct {
	disconnectingStore
	feeds []func(c store.FeedRequest) ([]store.Row, int64, error)
	waits []time.Duration
}

func (s *scriptedStore) Feed(ctx context.Context, c store.FeedRequest) ([]store.Row, int64, error) {
	s.mu.Lock()
	s.waits = append(s.waits, c.Wait)
	if len(s.feeds) == 0 {
		s.mu.Unlock()
		time.Sleep(c.Wait)
		return nil, c.After, ctx.Err()
	}
	answer := s.feeds[0]
	s.feeds = s.feeds[1:]
	s.mu.Unlock()
	return answer(c)
}

// Guards against settings that count as newer than the answer that confirms them: the store answers without waiting
// although nothing has changed, or with a page that may lack further changes.
func TestWatcher_AgeAfterShortAndFullAnswers(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const pause = 100 * time.Millisecond
		early := func(c store.FeedRequest) ([]store.Row, int64, error) {
			time.Sleep(pause)
			return nil, c.After, nil
		}
		full := func(c store.FeedRequest) ([]store.Row, int64, error) {
			time.Sleep(pause)
			return make([]store.Row, 500), c.After + 1, nil
		}
		silent := func(c store.FeedRequest) ([]store.Row, int64, error) {
			time.Sleep(time.Hour)
			return nil, c.After, nil
		}
		w := newWatcher(&scriptedStore{feeds: []func(store.FeedRequest) ([]store.Row, int64, error){early, full, full, silent}})
		ctx, cancel := context.WithTimeout(t.Context(), 2*time.Hour)
		defer cancel()
		var group sync.WaitGroup
		group.Go(func() { _ = w.Run(ctx) }) // ends with its context
		for _, want := range []time.Duration{1, 2, 3} {
			time.Sleep(pause + time.Millisecond)
			age, known := w.Age()
			test.True(t, known)
			test.GreaterEq(t, want*pause, age)
		}
		group.Wait()
	})
}

// Guards against settings that stay old for the wait of another feed after the reads of the table have failed: the
// first feed that is answered is to confirm them at once.
func TestWatcher_FirstFeedAfterOutageDoesNotWait(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		fail := func(c store.FeedRequest) ([]store.Row, int64, error) {
			time.Sleep(c.Wait)
			return nil, 0, errors.New("connection reset")
		}
		s := &scriptedStore{feeds: []func(store.FeedRequest) ([]store.Row, int64, error){fail, fail, fail}}
		w := newWatcher(s)
		ctx, cancel := context.WithTimeout(t.Context(), 10*time.Second)
		defer cancel()
		var group sync.WaitGroup
		group.Go(func() { _ = w.Run(ctx) }) // ends with its context
		group.Wait()
		first := slices.Index(s.waits, 0)
		must.Positive(t, first)
		test.LessEq(t, 3, first)
		test.Eq(t, time.Second, s.waits[len(s.waits)-1])
	})
}
