package leader

import (
	"context"
	"fmt"
	"math"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/shoenig/test"
	"github.com/shoenig/test/must"
	"github.com/shoenig/test/wait"

	"bamboowood/internal/job"
	"bamboowood/internal/ledger"
	"bamboowood/internal/store"
	"bamboowood/internal/wire/wirepb"
)

func writeRow(t *testing.T, s store.Store, table, key, value string) {
	t.Helper()
	_, err := s.Apply(t.Context(), store.Tx{Writes: []store.Write{{
		Key: store.Key{Table: table, Part: "main", Key: key}, Value: []byte(value),
	}}})
	must.NoError(t, err)
}

func awaitLeading(t *testing.T, l *Leader) {
	t.Helper()
	must.Wait(t, wait.InitialSuccess(wait.BoolFunc(l.Leading), wait.Timeout(15*time.Second), wait.Gap(5*time.Millisecond)))
}

// Guards against a term row of another writer that ends the election: no entry could lead any
// more. The next term is later than those that agents have seen.
func TestLeader_OddTermRow(t *testing.T) {
	for name, value := range map[string]string{
		"no JSON":          "odd",
		"number too large": `{"number":9223372036854775807,"leader":"10.0.0.9:1","process":"x"}`,
		"negative number":  `{"number":-5,"leader":"10.0.0.9:1","process":"x"}`,
		"no leader":        `{"number":3}`,
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			hooked, _ := newHookedStore(t)
			jobLedger := newLedger(hooked)
			a := newFakeAgent(t)
			must.NoError(t, jobLedger.RegisterAgent(t.Context(), "a", a.address))
			must.NoError(t, jobLedger.Accept(t.Context(), testJob(1)))
			l, _ := runLeader(t, jobLedger)
			term := a.await(t, hasStarts).message.Term
			replacedAt := time.Now()
			writeRow(t, hooked, "term", "leader", value)
			a.await(t, func(m *wirepb.LeaderMessage) bool { return m.Term > term && m.Grant != nil })
			test.GreaterEq(t, takeoverAfter, time.Since(replacedAt))
			awaitLeading(t, l)
		})
	}
}

// Guards against agent rows of another writer that hold back jobs for longer than a lost agent
// does: a new job starts at once, a recovered one when the leases of unreachable agents have
// expired. The rows are removed then.
func TestLeader_OddAgentRows(t *testing.T) {
	t.Parallel()
	hooked, _ := newHookedStore(t)
	jobLedger := newLedger(hooked)
	a := newFakeAgent(t)
	must.NoError(t, jobLedger.RegisterAgent(t.Context(), "a", a.address))
	odd := map[string]string{
		"port out of range": "127.0.0.1:65536", "no port": "127.0.0.1", "no address": "odd", "nothing listens": "127.0.0.1:1",
		"negative": "127.0.0.1:-1", "port zero": "127.0.0.1:0", "zone": "[::1%odd]:1", "nested": "[[[[", "\x00": "\x00",
		"name": "odd.invalid:80",
	}
	for name, address := range odd {
		writeRow(t, hooked, "agents", name, address)
	}
	must.NoError(t, jobLedger.Accept(t.Context(), testJob(1)))
	began := time.Now()
	l, _ := runLeader(t, jobLedger)
	awaitLeading(t, l)
	starts := func(n int) func(*wirepb.LeaderMessage) bool {
		return func(m *wirepb.LeaderMessage) bool {
			for _, o := range m.Starts {
				if strings.HasPrefix(o.Details.Run.Task, testJob(n).ID) {
					return true
				}
			}
			return false
		}
	}
	must.NoError(t, jobLedger.Accept(t.Context(), testJob(2)))
	a.await(t, starts(2))
	test.Less(t, 2*time.Second, time.Since(began))
	test.Zero(t, a.count(starts(1)))
	must.Wait(t, wait.InitialSuccess(wait.BoolFunc(func() bool { return a.count(starts(1)) > 0 }),
		wait.Timeout(20*time.Second), wait.Gap(5*time.Millisecond)))
	test.Less(t, grantValidity+5*time.Second+leaseMargin+time.Second, time.Since(began))
	must.Wait(t, wait.InitialSuccess(wait.BoolFunc(func() bool {
		agents, _, err := jobLedger.Agents(t.Context())
		return err == nil && len(agents) == 1
	}), wait.Timeout(5*time.Second), wait.Gap(50*time.Millisecond)))
	// Rows that appear during a term do not hold back jobs either.
	for name, address := range odd {
		writeRow(t, hooked, "agents", name, address)
	}
	must.NoError(t, jobLedger.Accept(t.Context(), testJob(3)))
	a.await(t, starts(3))
}

// Guards against a row of another writer in place of a connected agent's that keeps the leader from
// reconnecting to the agent.
func TestLeader_OddRowOfConnectedAgent(t *testing.T) {
	t.Parallel()
	hooked, _ := newHookedStore(t)
	jobLedger := newLedger(hooked)
	a := newFakeAgent(t)
	must.NoError(t, jobLedger.RegisterAgent(t.Context(), "a", a.address))
	l, _ := runLeader(t, jobLedger)
	awaitLeading(t, l)
	a.await(t, hasGrant)
	writeRow(t, hooked, "agents", "a", "127.0.0.1:65536")
	time.Sleep(200 * time.Millisecond)
	a.closeSessions()
	must.NoError(t, jobLedger.Accept(t.Context(), testJob(1)))
	began := time.Now()
	a.await(t, hasStarts)
	test.Less(t, 3*time.Second, time.Since(began))
}

// Guards against rows beside the term that keep a dead leader from being replaced while another
// writer goes on writing them.
func TestLeader_OddRowsBesideTermDoNotDelayTakeover(t *testing.T) {
	t.Parallel()
	hooked, _ := newHookedStore(t)
	jobLedger := newLedger(hooked)
	// The leader of this term never renews it.
	current, _, err := jobLedger.CurrentTerm(t.Context())
	must.NoError(t, err)
	_, err = jobLedger.BeginTerm(t.Context(), current, ledger.NoLeader, "10.0.0.9:1", "dead")
	must.NoError(t, err)
	done := make(chan struct{})
	defer close(done)
	go func() {
		for {
			select {
			case <-done:
				return
			case <-time.After(200 * time.Millisecond):
			}
			_, _ = hooked.Apply(context.Background(), store.Tx{Writes: []store.Write{{
				Key: store.Key{Table: "term", Part: "main", Key: "odd"}, Value: []byte("odd"),
			}}})
		}
	}()
	began := time.Now()
	l, _ := runLeader(t, jobLedger)
	awaitLeading(t, l)
	test.Less(t, takeoverAfter+2*time.Second, time.Since(began))
}

// Guards against changes that exceed the size limit of a feed: the feed was read again and again from
// the same version, and nothing that was stored later took effect.
func TestLeader_FeedTooLarge(t *testing.T) {
	for table, key := range map[string]store.Key{
		"jobs":    {Table: "jobs", Part: "0", Key: "000000000000010"},
		"cancels": {Table: "cancels", Part: "0", Key: "000000000000010"},
		"agents":  {Table: "agents", Part: "main", Key: "odd"},
	} {
		t.Run(table, func(t *testing.T) {
			t.Parallel()
			checkFeedTooLarge(t, key)
		})
	}
}

// checkFeedTooLarge checks that an agent, a job and a cancel which are stored after changes that exceed the
// limit of a feed take effect. The key of the changed row begins with that of first.
func checkFeedTooLarge(t *testing.T, first store.Key) {
	hooked, standin := newHookedStore(t)
	jobLedger := newLedger(hooked)
	a := newFakeAgent(t)
	must.NoError(t, jobLedger.RegisterAgent(t.Context(), "a", a.address))
	var blocked sync.RWMutex
	hooked.onFeed = func(string) { blocked.RLock(); defer blocked.RUnlock() }
	l, _ := runLeader(t, jobLedger)
	awaitLeading(t, l)
	a.await(t, hasGrant)
	blocked.Lock()
	time.Sleep(followWait + 200*time.Millisecond)
	large := []byte(strings.Repeat("[", 850_000))
	// A feed has each change of a row, and the table has the row once: the test is about the feed, and with the race
	// detector each page of this size takes 0.3 s to decode on an idle machine.
	for range 4 {
		standin.Write(first.Table, first.Part, first.Key+"0", large)
	}
	blocked.Unlock()
	time.Sleep(500 * time.Millisecond)
	other := newFakeAgent(t)
	must.NoError(t, jobLedger.RegisterAgent(t.Context(), "b", other.address))
	must.NoError(t, jobLedger.Accept(t.Context(), testJob(1)))
	other.await(t, hasGrant)
	starts := func(m *wirepb.LeaderMessage) bool { return len(m.Starts) > 0 }
	must.Wait(t, wait.InitialSuccess(wait.BoolFunc(func() bool { return a.count(starts)+other.count(starts) > 0 }),
		wait.Timeout(5*time.Second), wait.Gap(5*time.Millisecond)))
	must.NoError(t, jobLedger.Cancel(t.Context(), testJob(1).ID))
	stops := func(m *wirepb.LeaderMessage) bool { return len(m.Stops) > 0 }
	must.Wait(t, wait.InitialSuccess(wait.BoolFunc(func() bool { return a.count(stops)+other.count(stops) > 0 }),
		wait.Timeout(5*time.Second), wait.Gap(5*time.Millisecond)))
}

// Guards against rows beside the term that exceed the size limit of its feed: the other entries did not
// learn that the leader has resigned.
func TestLeader_TermFeedTooLarge(t *testing.T) {
	t.Parallel()
	hooked, standin := newHookedStore(t)
	jobLedger := newLedger(hooked)
	current, _, err := jobLedger.CurrentTerm(t.Context())
	must.NoError(t, err)
	held, err := jobLedger.BeginTerm(t.Context(), current, ledger.NoLeader, "10.0.0.9:1", "other")
	must.NoError(t, err)
	var blocked sync.RWMutex
	hooked.onFeed = func(string) { blocked.RLock(); defer blocked.RUnlock() }
	l, _ := runLeader(t, jobLedger)
	time.Sleep(500 * time.Millisecond)
	blocked.Lock()
	must.NoError(t, held.Renew(t.Context()))
	time.Sleep(followWait + 200*time.Millisecond)
	for i := range 5 {
		standin.Write("term", "main", fmt.Sprint("odd", i), []byte(strings.Repeat("[", 1_000_000)))
	}
	must.NoError(t, held.Renew(t.Context()))
	blocked.Unlock()
	time.Sleep(300 * time.Millisecond)
	must.NoError(t, held.Renew(t.Context()))
	must.NoError(t, held.Resign(t.Context()))
	resigned := time.Now()
	awaitLeading(t, l)
	test.Less(t, time.Second, time.Since(resigned))
}

// Guards against stored jobs whose payloads exceed the size of a message: the session to the agent ended
// with each order to start them.
func TestLeader_LargePayloads(t *testing.T) {
	t.Parallel()
	hooked, standin := newHookedStore(t)
	jobLedger := newLedger(hooked)
	a := newFakeAgent(t)
	must.NoError(t, jobLedger.RegisterAgent(t.Context(), "a", a.address))
	for i := range 6 {
		value, err := ledger.EncodeJob(&job.Job{Queue: testJob(1).Queue, Steps: testJob(1).Steps, Payload: strings.Repeat("x", 900_000), AcceptedAt: time.Now()})
		must.NoError(t, err)
		standin.Write("jobs", "0", testJob(100+i).ID, value)
	}
	must.NoError(t, jobLedger.Accept(t.Context(), testJob(1)))
	l, _ := runLeader(t, jobLedger)
	awaitLeading(t, l)
	a.await(t, hasStarts)
	time.Sleep(2 * time.Second)
	a.mu.Lock()
	defer a.mu.Unlock()
	test.Len(t, 1, a.sessions)
}

// Guards against a later term out of range in an agent's message: the next term followed it, and no
// entry can read a term of that number.
func TestLeader_LaterTermOutOfRange(t *testing.T) {
	t.Parallel()
	hooked, _ := newHookedStore(t)
	jobLedger := newLedger(hooked)
	good, odd := newFakeAgent(t), newFakeAgent(t)
	odd.set(func() { odd.laterTerm = math.MaxInt64 - 1 })
	must.NoError(t, jobLedger.RegisterAgent(t.Context(), "a", good.address))
	must.NoError(t, jobLedger.RegisterAgent(t.Context(), "odd", odd.address))
	l, _ := runLeader(t, jobLedger)
	awaitLeading(t, l)
	must.NoError(t, jobLedger.Accept(t.Context(), testJob(1)))
	good.await(t, hasStarts)
	time.Sleep(2 * takeoverAfter)
	term, _, err := jobLedger.CurrentTerm(t.Context())
	must.NoError(t, err)
	test.Eq(t, 1, term.Number)
	test.True(t, l.Leading())
}
