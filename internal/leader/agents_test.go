package leader

import (
	"fmt"
	"sync/atomic"
	"testing"
	"time"

	"github.com/shoenig/test"
	"github.com/shoenig/test/must"
	"github.com/shoenig/test/wait"

	"bamboowood/internal/boottime"
	"bamboowood/internal/job"
	"bamboowood/internal/ledger"
	"bamboowood/internal/store"
	"bamboowood/internal/wire"
	"bamboowood/internal/wire/wirepb"
)

func registered(t *testing.T, jobLedger *ledger.Ledger, agent string) bool {
	agents, _, err := jobLedger.Agents(t.Context())
	must.NoError(t, err)
	_, found := agents[agent]
	return found
}

// A dead agent is removed from the ledger and later reconnects. Nothing may be started there
// before it is registered again: a later leader would not wait for the agent's report and
// would start the same task elsewhere.
func TestLeader_ReturnedAgentIsRegisteredFirst(t *testing.T) {
	hooked, _ := newHookedStore(t)
	allow := hooked.refuseWrites("agents")
	jobLedger := newLedger(hooked)
	a := newFakeAgent(t)
	a.noRunner = true
	other := *hooked
	other.onApply = nil
	must.NoError(t, ledger.New(&other, store.NewBulkReader(&other, 0)).RegisterAgent(t.Context(), "a", a.address))
	l, _ := runLeader(t, jobLedger)
	a.await(t, hasGrant)
	must.Wait(t, wait.InitialSuccess(wait.BoolFunc(l.Leading), wait.Timeout(5*time.Second), wait.Gap(5*time.Millisecond)))
	a.set(func() { a.noSnapshot = true })
	a.closeSessions()
	must.Wait(t, wait.InitialSuccess(wait.BoolFunc(func() bool { return !registered(t, jobLedger, "a") }),
		wait.Timeout(5*time.Second), wait.Gap(5*time.Millisecond)))
	a.set(func() { a.noSnapshot, a.noRunner = false, false })
	a.closeSessions()
	must.NoError(t, jobLedger.Accept(t.Context(), testJob(1)))
	time.Sleep(time.Second)
	test.Zero(t, a.count(hasStarts))
	allow()
	a.await(t, hasStarts)
	test.True(t, registered(t, jobLedger, "a"))
}

// The lease of an agent that has not sent its snapshot must not outlast the time for which the
// planner waits for the agent: its runs are started elsewhere after that.
func TestLeader_LeaseOfUnreportedAgentIsBounded(t *testing.T) {
	hooked, _ := newHookedStore(t)
	jobLedger := newLedger(hooked)
	a := newFakeAgent(t, job.Run{Task: job.Task{Job: testJob(1).ID}, Number: 1})
	a.noSnapshot = true
	must.NoError(t, jobLedger.RegisterAgent(t.Context(), "a", a.address))
	l, _ := runLeader(t, jobLedger)
	must.Wait(t, wait.InitialSuccess(wait.BoolFunc(l.Leading), wait.Timeout(5*time.Second), wait.Gap(5*time.Millisecond)))
	r := l.leadership.Load()
	r.mu.Lock()
	r.planner.AddUnreportedAgent("a", 0)
	expiry, bounded := r.planner.LeaseExpiry("a")
	r.mu.Unlock()
	must.True(t, bounded)
	left := expiry - boottime.Now() - leaseMargin
	time.Sleep(max(left-r.opts.LeaseDuration, 0) + 500*time.Millisecond)
	short := a.await(t, func(m *wirepb.LeaderMessage) bool {
		return m.Grant != nil && time.Duration(m.Grant.HoldMs)*time.Millisecond < r.opts.LeaseDuration
	})
	test.LessEq(t, expiry, short.at+time.Duration(short.message.Grant.HoldMs)*time.Millisecond)
	must.Wait(t, wait.InitialSuccess(wait.BoolFunc(func() bool {
		r.mu.Lock()
		defer r.mu.Unlock()
		return r.planner.UnreportedAgents() == 0
	}), wait.Timeout(15*time.Second), wait.Gap(20*time.Millisecond)))
}

// An agent whose lease was granted by an earlier leader is lost before this leader has granted it
// one. Its runs are alive until the earlier lease has expired and must not be started elsewhere.
func TestLeader_LostAgentKeepsLeaseOfEarlierLeader(t *testing.T) {
	hooked, _ := newHookedStore(t)
	jobLedger := newLedger(hooked)
	_, err := jobLedger.BeginTerm(t.Context(), ledger.Term{}, ledger.NoLeader, "10.0.0.1:1", "p1/0")
	must.NoError(t, err)
	allow := hooked.refuseWrites("renewal")
	a := newFakeAgent(t, job.Run{Task: job.Task{Job: testJob(1).ID}, Number: 1})
	b := newFakeAgent(t)
	must.NoError(t, jobLedger.RegisterAgent(t.Context(), "a", a.address))
	must.NoError(t, jobLedger.RegisterAgent(t.Context(), "b", b.address))
	must.NoError(t, jobLedger.Accept(t.Context(), testJob(1)))
	l, _ := runLeader(t, jobLedger)
	must.Wait(t, wait.InitialSuccess(wait.BoolFunc(func() bool {
		r := l.leadership.Load()
		if r == nil {
			return false
		}
		r.mu.Lock()
		defer r.mu.Unlock()
		return r.planner.UnreportedAgents() == 0
	}), wait.Timeout(5*time.Second), wait.Gap(5*time.Millisecond)))
	test.Zero(t, a.count(hasGrant))
	a.set(func() { a.noSnapshot = true })
	a.closeSessions()
	allow()
	b.await(t, hasGrant)
	time.Sleep(3 * time.Second)
	test.Zero(t, b.count(hasStarts))
}

// Guards against an end that is taken for one received before, since the agent reports it while its runner,
// which has restarted, does not answer: the task was started again after its run had ended as done.
func TestLeader_EndsOfNextIncarnationThatDoesNotAnswer(t *testing.T) {
	hooked, _ := newHookedStore(t)
	jobLedger := newLedger(hooked)
	run := func(n int) job.Run { return job.Run{Task: job.Task{Job: testJob(n).ID}, Number: 1} }
	end := func(sequence int64, n int) []*wirepb.RunEnd {
		return []*wirepb.RunEnd{{Sequence: sequence, Reason: string(job.EndDone), Run: wire.RunRef(run(n))}}
	}
	a := newFakeAgent(t, run(2))
	a.ends = end(7, 1)
	must.NoError(t, jobLedger.RegisterAgent(t.Context(), "a", a.address))
	for n := range 2 {
		must.NoError(t, jobLedger.Accept(t.Context(), testJob(n+1)))
	}
	l, _ := runLeader(t, jobLedger)
	awaitState := func(n int, want job.State) {
		t.Helper()
		must.Wait(t, wait.InitialSuccess(wait.BoolFunc(func() bool {
			state, _, _ := l.Status(testJob(n).ID)
			return state == want
		}), wait.Timeout(5*time.Second), wait.Gap(5*time.Millisecond)))
	}
	awaitState(1, job.Completed)
	awaitState(2, job.Running)
	a.set(func() { a.active, a.ends, a.noRunner = nil, end(1, 2), true })
	a.closeSessions()
	awaitState(2, job.Completed)
}

// Guards against a fleet that waits for its registrations one after the other once a partition has ended, while
// no end of a run is stored.
func TestLeader_ManyAgentsReturn(t *testing.T) {
	hooked, _ := newHookedStore(t)
	jobLedger := newLedger(hooked)
	const count = 30
	agents := map[string]*fakeAgent{}
	for n := range count {
		a := newFakeAgent(t)
		a.noRunner = true
		name := fmt.Sprint("a", n)
		agents[name] = a
		must.NoError(t, jobLedger.RegisterAgent(t.Context(), name, a.address))
	}
	var transactions atomic.Int64
	hooked.onApply = func(tx store.Tx) error {
		if len(tx.Writes) > 0 && tx.Writes[0].Key.Table == "agents" || len(tx.Remove) > 0 && tx.Remove[0].Table == "agents" {
			transactions.Add(1)
			time.Sleep(100 * time.Millisecond) // the store is slow
		}
		return nil
	}
	awaitRegistered := func(want int) {
		must.Wait(t, wait.InitialSuccess(wait.BoolFunc(func() bool {
			found, _, err := jobLedger.Agents(t.Context())
			return err == nil && len(found) == want
		}), wait.Timeout(15*time.Second), wait.Gap(10*time.Millisecond)))
	}
	l, _ := runLeader(t, jobLedger)
	awaitLeading(t, l)
	for _, a := range agents {
		a.await(t, hasGrant)
		a.set(func() { a.noSnapshot = true })
		a.closeSessions()
	}
	awaitRegistered(0)
	for _, a := range agents {
		a.set(func() { a.noSnapshot = false })
		a.closeSessions()
	}
	awaitRegistered(count)
	test.LessEq(t, count, transactions.Load(), test.Sprint("removals and registrations"))
}

// Guards against removing the registration that an agent has just written, as it returns, instead of the one under
// which it died: the next leader does not know the agent and starts the tasks elsewhere that run there (TWICE).
func TestLeader_AgentReturnsWhileItIsRemoved(t *testing.T) {
	hooked, _ := newHookedStore(t)
	jobLedger := newLedger(hooked)
	dead, other, b := newFakeAgent(t), newFakeAgent(t), newFakeAgent(t)
	dead.noRunner, other.noRunner, b.noRunner = true, true, true
	entered, release := make(chan struct{}, 1), make(chan struct{})
	blocked := false
	hooked.onApply = func(tx store.Tx) error {
		if len(tx.Writes) == 1 && tx.Writes[0].Key.Table == "agents" && tx.Writes[0].Key.Key == "other" && blocked {
			entered <- struct{}{}
			<-release
		}
		return nil
	}
	for name, agent := range map[string]*fakeAgent{"a": dead, "other": other, "b": b} {
		must.NoError(t, jobLedger.RegisterAgent(t.Context(), name, agent.address))
	}
	l, stop := runLeader(t, jobLedger)
	awaitLeading(t, l)
	for _, agent := range []*fakeAgent{dead, other, b} {
		agent.await(t, hasGrant)
	}
	// Agent a is lost, and another one returns at the same time, whose registration takes a while.
	r := l.leadership.Load()
	r.mu.Lock()
	blocked = true
	dead.set(func() { dead.refuse = true })
	r.conns["other"].registered = false
	r.planner.AgentLost("a", 0)
	r.mu.Unlock()
	dead.closeSessions()
	<-entered
	must.NoError(t, jobLedger.Accept(t.Context(), testJob(1)))
	returned := newFakeAgent(t, job.Run{Task: job.Task{Job: testJob(1).ID}, Number: 1})
	must.NoError(t, jobLedger.RegisterAgent(t.Context(), "a", returned.address))
	returned.await(t, hasGrant)
	close(release)
	time.Sleep(500 * time.Millisecond)
	test.True(t, registered(t, jobLedger, "a"))
	stop()
	b.set(func() { b.noRunner = false })
	runLeaderWith(t, jobLedger, func(o *Options) { o.Address, o.Process = "10.0.0.2:1", "p2" })
	time.Sleep(2 * time.Second)
	test.Zero(t, b.countStarts())
}

// Guards against a registration that another writer deletes while the agent runs tasks: the next leader does not know the
// agent and starts them elsewhere (TWICE).
func TestLeader_RegistrationDeletedByAnotherWriter(t *testing.T) {
	for name, lost := range map[string]bool{"in session": false, "lost": true} {
		t.Run(name, func(t *testing.T) {
			hooked, _ := newHookedStore(t)
			jobLedger := newLedger(hooked)
			a, b := newFakeAgent(t, job.Run{Task: job.Task{Job: testJob(1).ID}, Number: 1}), newFakeAgent(t)
			b.noRunner = true
			must.NoError(t, jobLedger.RegisterAgent(t.Context(), "a", a.address))
			must.NoError(t, jobLedger.RegisterAgent(t.Context(), "b", b.address))
			must.NoError(t, jobLedger.Accept(t.Context(), testJob(1)))
			l, stop := runLeader(t, jobLedger)
			awaitLeading(t, l)
			a.await(t, hasGrant)
			if lost {
				a.set(func() { a.refuse = true })
				a.closeSessions()
			}
			_, err := hooked.Store.Apply(t.Context(), store.Tx{Remove: []store.Key{{Table: "agents", Part: "main", Key: "a"}}})
			must.NoError(t, err)
			time.Sleep(time.Second)
			test.True(t, registered(t, jobLedger, "a"))
			stop()
			b.set(func() { b.noRunner = false })
			runLeaderWith(t, jobLedger, func(o *Options) { o.Address, o.Process = "10.0.0.2:1", "p2" })
			time.Sleep(2 * time.Second)
			test.Zero(t, b.countStarts())
		})
	}
}
