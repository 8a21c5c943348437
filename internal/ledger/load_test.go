package ledger_test

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"net/http/httptest"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/apex/log"
	"github.com/apex/log/handlers/discard"
	"github.com/shoenig/test"
	"github.com/shoenig/test/must"
	"github.com/shoenig/test/wait"
	"golang.org/x/sync/errgroup"

	"bamboowood/internal/boottime"
	"bamboowood/internal/job"
	"bamboowood/internal/ledger"
	"bamboowood/internal/planner"
	"bamboowood/internal/site"
	"bamboowood/internal/store"
	"bamboowood/platform"
	"bamboowood/platform/platformtest"
)

// failingStore fails the first reads of a part, as many as failures gives, and counts the
// reads of each part and, as TABLE/PART, of each part of a table.
type failingStore struct {
	store.Store
	mu       sync.Mutex
	failures map[string]int
	pages    map[string]int
}

var errReset = errors.New("connection reset")

func (s *failingStore) Read(ctx context.Context, r store.ReadRequest, limit int) (store.Page, error) {
	s.mu.Lock()
	s.pages[r.Part]++
	s.pages[r.Table+"/"+r.Part]++
	fails := s.failures[r.Part] > 0
	s.failures[r.Part]--
	s.mu.Unlock()
	if fails {
		return store.Page{}, errReset
	}
	return s.Store.Read(ctx, r, limit)
}

// Reads of one part fail. The loader keeps the parts that it has read, and reads only the
// failed part again.
func TestLoader_ResumesAfterError(t *testing.T) {
	inner, _ := newClient(t)
	s := &failingStore{Store: inner, failures: map[string]int{"7": 3}, pages: map[string]int{}}
	l := ledger.New(s, store.NewBulkReader(s, 0))
	for n := range uint64(16) {
		must.NoError(t, l.Accept(t.Context(), &job.Job{ID: fmt.Sprintf("%016x", n<<60), Steps: []job.Step{{Tasks: 1}}}))
	}
	load := l.NewLoader()
	var contents *ledger.Contents
	err := errReset
	for tries := 0; err != nil; tries++ {
		must.Less(t, 10, tries)
		contents, err = load.Run(t.Context())
	}
	test.Len(t, 16, contents.Jobs)
	test.Eq(t, 2+3, s.pages["7"])
	test.Eq(t, 2, s.pages["3"])
	test.Eq(t, 1, s.pages["progress/main"])
	test.Eq(t, 1, s.pages["heldends/main"])
	test.Eq(t, 2, s.pages["main"])
}

func newClient(t *testing.T) (*platform.Store, *platformtest.Store) {
	standin := platformtest.NewStore()
	server := httptest.NewServer(standin)
	t.Cleanup(server.Close)
	t.Cleanup(server.CloseClientConnections)
	return platform.NewStore(strings.TrimPrefix(server.URL, "http://")), standin
}

// After a restart of all processes, an entry on a slow link reads a large configuration and
// the ledger at the same time, and renews its term meanwhile. Every transfer must complete,
// however long the link needs for it, and no renewal may time out.
func TestPattern_TablesOnSlowLinks(t *testing.T) {
	const (
		// renewalTimeout is the timeout that a leader uses for a renewal.
		renewalTimeout  = time.Second
		renewalInterval = 400 * time.Millisecond
		// slack multiplies the transfer time of the bytes, for pages that are read twice and
		// for waiting.
		slack = 2
	)
	for _, c := range []struct {
		mbps   float64
		routes int
		jobs   int
	}{{0.5, 600, 300}, {2, 1812, 1500}, {20, 1812, 5000}} {
		t.Run(fmt.Sprint(c.mbps, " Mbit/s"), func(t *testing.T) {
			t.Parallel()
			client, standin := newClient(t)
			rate := int64(c.mbps * 1e6 / 8)
			bulk := store.NewBulkReader(client, rate)
			l := ledger.New(client, bulk)
			held := beginTerm(t, l, "p1")
			jobBytes := acceptJobs(t, l, c.jobs)
			config := config(t, c.routes, 3)
			standin.WriteOperator("config", config)
			standin.SetLinkRate(int(rate))
			bytes := (float64(len(config)) + float64(jobBytes)) * 4 / 3
			limit := time.Duration(slack*bytes/float64(rate)*float64(time.Second)) + 2*time.Second

			ctx, cancel := context.WithTimeout(t.Context(), limit)
			defer cancel()
			reads, readCtx := errgroup.WithContext(ctx)
			reads.Go(func() error { return watchUntilConfigured(readCtx, client, bulk) })
			reads.Go(func() error {
				contents, err := l.NewLoader().Run(readCtx)
				if err == nil && len(contents.Jobs) != c.jobs {
					err = fmt.Errorf("%d of %d jobs", len(contents.Jobs), c.jobs)
				}
				return err
			})
			done := make(chan error, 1)
			go func() { done <- reads.Wait() }()
			for {
				renewCtx, cancel := context.WithTimeout(ctx, renewalTimeout)
				err := held.Renew(renewCtx)
				cancel()
				test.NoError(t, err)
				select {
				case err := <-done:
					test.NoError(t, err)
					return
				case <-time.After(renewalInterval):
				}
			}
		})
	}
}

func watchUntilConfigured(ctx context.Context, client store.Store, bulk *store.BulkReader) error {
	w := &site.Watcher{
		Store: client, Bulk: bulk, Logger: &log.Logger{Handler: discard.Default},
		Table: platform.OperatorTable, Decode: platform.ApplyOperatorRow, Now: boottime.Now,
	}
	run, cancel := context.WithCancel(ctx)
	defer cancel()
	go func() { _ = w.Run(run) }() // ends with its context
	for w.State().Config == nil {
		select {
		case <-ctx.Done():
			return fmt.Errorf("configuration: %w", ctx.Err())
		case <-time.After(10 * time.Millisecond):
		}
	}
	return nil
}

// acceptJobs stores jobs and returns their approximate size in bytes.
func acceptJobs(t *testing.T, l *ledger.Ledger, jobs int) (bytes int) {
	group, ctx := errgroup.WithContext(t.Context())
	group.SetLimit(8)
	for i := range uint64(jobs) {
		j := &job.Job{
			ID: fmt.Sprintf("%x%015x", i%16, i), Payload: strings.Repeat("x", 200),
			Queue: job.Queue{Name: "q", Service: "desk"}, Steps: []job.Step{{Tasks: 6, CPU: 100}},
		}
		value, err := ledger.EncodeJob(j)
		must.NoError(t, err)
		// The table, part and key of a row take about a hundred bytes.
		bytes += len(value) + 100
		group.Go(func() error { return l.Accept(ctx, j) })
	}
	must.NoError(t, group.Wait())
	return bytes
}

func config(t *testing.T, routes int, version int64) []byte {
	all := make([]map[string]any, routes)
	for i := range all {
		all[i] = map[string]any{
			"name": fmt.Sprintf("route-%06d", i), "host": "a.example", "pathPrefix": fmt.Sprintf("/queue-%06d/", i),
			"service": "desk", "priority": 1, "maxAttempts": 3, "stretch": 1.5, "sloMs": 1000,
		}
	}
	value, err := json.Marshal(map[string]any{
		"version": version, "routes": all, "services": []any{map[string]any{"name": "desk", "admissionCheck": true}},
	})
	must.NoError(t, err)
	return value
}

// A large configuration is replaced several times a second on a slow link. The last version
// must be in force within the time of two transfers, the one in progress and its own, however
// many versions there were.
func TestPattern_ConfigStormOnSlowLink(t *testing.T) {
	t.Parallel()
	const (
		rate           = 250_000 // 2 Mbit/s
		versions       = 12
		updateInterval = 100 * time.Millisecond
		// slack allows for a transfer that is started and aborted, and for the round trip.
		slack = 700 * time.Millisecond
	)
	client, standin := newClient(t)
	standin.WriteOperator("config", config(t, 700, 1))
	w := &site.Watcher{
		Store: client, Bulk: store.NewBulkReader(client, rate), Logger: &log.Logger{Handler: discard.Default},
		Table: platform.OperatorTable, Decode: platform.ApplyOperatorRow, Now: boottime.Now,
	}
	ctx, cancel := context.WithCancel(t.Context())
	done := make(chan struct{})
	go func() {
		_ = w.Run(ctx) // ends with its context
		close(done)
	}()
	t.Cleanup(func() {
		cancel()
		<-done
	})
	version := func(want int64) func() bool {
		return func() bool { return w.State().Config != nil && w.State().Config.Version == want }
	}
	must.Wait(t, wait.InitialSuccess(wait.BoolFunc(version(1)), wait.Timeout(5*time.Second), wait.Gap(5*time.Millisecond)))
	standin.SetLinkRate(rate)
	time.Sleep(1100 * time.Millisecond) // the rate limit does not apply to the feed in progress
	var lastBytes int
	for v := int64(2); v <= versions; v++ {
		value := config(t, 700, v)
		lastBytes = len(value) * 4 / 3
		standin.WriteOperator("config", value)
		time.Sleep(updateInterval)
	}
	transferTime := time.Duration(float64(lastBytes) / rate * float64(time.Second))
	must.Wait(t, wait.InitialSuccess(wait.BoolFunc(version(versions)),
		wait.Timeout(2*transferTime+slack), wait.Gap(5*time.Millisecond)))
}

// The next leader reads only a marker for each compacted job. The job's state stays, a
// repeated submission does not start the job again, and the job can be deleted.
func TestCompactJobs(t *testing.T) {
	l, standin := newLedger(t)
	held := beginTerm(t, l, "p1")
	large := &job.Job{ID: testID, Payload: strings.Repeat("x", 2_000), Steps: []job.Step{{Tasks: 1}}}
	must.NoError(t, l.Accept(t.Context(), large))
	must.NoError(t, commit(t.Context(), held, progressChange(testID, job.Completed)))
	must.NoError(t, held.CompactJobs(t.Context(), []string{testID}))
	must.NoError(t, l.Accept(t.Context(), large))
	state, found, err := l.Status(t.Context(), testID)
	must.NoError(t, err)
	test.True(t, found)
	test.Eq(t, job.Completed, state)

	contents, err := l.NewLoader().Run(t.Context())
	must.NoError(t, err)
	must.Len(t, 1, contents.Jobs)
	test.Eq(t, "", contents.Jobs[0].Payload)
	p := planner.New(planner.Options{Term: 2})
	p.AgentConnected(0, "a", planner.Snapshot{Runner: &job.Runner{ID: "i", Capacity: job.Resources{CPU: 1000}}})
	p.AddJob(planner.Instant{}, contents.Jobs[0], contents.Progress[testID], true)
	test.Len(t, 0, p.Plan(planner.Instant{}, true).Starts)
	state, _ = p.Status(testID)
	test.Eq(t, job.Completed, state)
	changed, err := l.FollowJobs(t.Context(), 0, 10*time.Millisecond)
	must.NoError(t, err)
	test.Len(t, 1, changed.Jobs) // the version that Accept stored

	next := beginTerm(t, l, "p2")
	must.NoError(t, next.DeleteJobs(t.Context(), p.CollectEnded(time.Hour)))
	test.Len(t, 0, standin.Keys("jobs"))
	test.Len(t, 0, standin.Keys("progress"))
}

// A job is compacted after its deletion, which creates its row again. The next load reports the
// row as an orphan, and it is deleted.
func TestCompactJobs_AfterDelete(t *testing.T) {
	l, standin := newLedger(t)
	held := beginTerm(t, l, "p1")
	must.NoError(t, held.CompactJobs(t.Context(), []string{testID}))
	contents, err := l.NewLoader().Run(t.Context())
	must.NoError(t, err)
	test.Len(t, 0, contents.Jobs)
	test.Eq(t, []string{testID}, contents.PartiallyDeleted)
	must.NoError(t, held.DeleteJobs(t.Context(), contents.PartiallyDeleted))
	test.Len(t, 0, standin.Keys("jobs"))
}

// A new leader on a slow link reads the ledger while a large configuration is replaced
// continuously. It must wait only for the transfer in progress and for its own bytes, not for
// each version.
func TestPattern_TakeoverDuringConfigStorm(t *testing.T) {
	t.Parallel()
	const (
		rate  = 250_000 // 2 Mbit/s
		jobs  = 300
		slack = time.Second
	)
	client, standin := newClient(t)
	bulk := store.NewBulkReader(client, rate)
	l := ledger.New(client, bulk)
	jobBytes := acceptJobs(t, l, jobs)
	standin.WriteOperator("config", config(t, 1200, 1))
	ctx, cancel := context.WithCancel(t.Context())
	var group errgroup.Group
	w := &site.Watcher{
		Store: client, Bulk: bulk, Logger: &log.Logger{Handler: discard.Default},
		Table: platform.OperatorTable, Decode: platform.ApplyOperatorRow, Now: boottime.Now,
	}
	group.Go(func() error { return w.Run(ctx) })
	t.Cleanup(func() {
		cancel()
		_ = group.Wait() // both goroutines end with their context
	})
	must.Wait(t, wait.InitialSuccess(wait.BoolFunc(func() bool { return w.State().Config != nil }),
		wait.Timeout(5*time.Second), wait.Gap(5*time.Millisecond)))
	standin.SetLinkRate(rate)
	configBytes := len(config(t, 1200, 1)) * 4 / 3
	group.Go(func() error {
		for v := int64(2); ctx.Err() == nil; v++ {
			standin.WriteOperator("config", config(t, 1200, v))
			time.Sleep(200 * time.Millisecond)
		}
		return ctx.Err()
	})
	time.Sleep(1500 * time.Millisecond)
	began := time.Now()
	contents, err := l.NewLoader().Run(t.Context())
	must.NoError(t, err)
	test.Len(t, jobs, contents.Jobs)
	seconds := float64(configBytes+jobBytes*4/3) / rate
	test.LessEq(t, time.Duration(seconds*float64(time.Second))+slack, time.Since(began))
}
