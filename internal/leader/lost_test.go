package leader

import (
	"testing"
	"time"

	"github.com/shoenig/test"
	"github.com/shoenig/test/must"
	"github.com/shoenig/test/wait"

	"bamboowood/internal/boottime"
	"bamboowood/internal/job"
	"bamboowood/internal/ledger"
	"bamboowood/internal/wire/wirepb"
)

// recordAsLost has an earlier leader record an agent as lost for some time, and resign.
func recordAsLost(t *testing.T, jobLedger *ledger.Ledger, agent string, left time.Duration) {
	old, err := jobLedger.BeginTerm(t.Context(), ledger.Term{}, ledger.NoLeader, "10.0.0.2:1", "p2/0")
	must.NoError(t, err)
	agents, _, err := jobLedger.Agents(t.Context())
	must.NoError(t, err)
	// The clock of the stand-in begins at 0, which stands for an unknown time.
	time.Sleep(2 * time.Millisecond)
	now, err := jobLedger.StoreTime(t.Context())
	must.NoError(t, err)
	a := agents[agent]
	versions, err := old.RecordLost(t.Context(), []ledger.LostAgent{{
		Name: agent, Address: a.Address, Version: a.Version, Lost: ledger.Lost{At: now, Until: now + left},
	}})
	must.NoError(t, err)
	must.MapLen(t, 1, versions)
	must.NoError(t, old.Resign(t.Context()))
}

// Guards against a leader that waits for an agent again which an earlier one recorded as lost, and against one
// that waits for it with jobs which were accepted after that.
func TestLeader_RecordedAgent(t *testing.T) {
	hooked, _ := newHookedStore(t)
	jobLedger := newLedger(hooked)
	b := newFakeAgent(t)
	must.NoError(t, jobLedger.RegisterAgent(t.Context(), "a", "127.0.0.1:1"))
	must.NoError(t, jobLedger.RegisterAgent(t.Context(), "b", b.address))
	must.NoError(t, jobLedger.Accept(t.Context(), testJob(1)))
	began := boottime.Now()
	recordAsLost(t, jobLedger, "a", 2*time.Second)
	must.NoError(t, jobLedger.Accept(t.Context(), testJob(2)))
	runLeader(t, jobLedger)
	start := func(n int) time.Duration {
		return b.await(t, func(m *wirepb.LeaderMessage) bool {
			return len(m.Starts) > 0 && m.Starts[0].Details.Run.Task == job.Task{Job: testJob(n).ID}.String()
		}).at - began
	}
	test.Less(t, time.Second, start(2))
	test.Between(t, 2*time.Second, start(1), 4*time.Second)
}

// Guards against runs that are given a lease, or started, on an agent whose record says that none can be alive
// there: the next leader would start their tasks elsewhere.
func TestLeader_RecordedAgentIsRegisteredFirst(t *testing.T) {
	hooked, _ := newHookedStore(t)
	jobLedger := newLedger(hooked)
	a := newFakeAgent(t)
	must.NoError(t, jobLedger.RegisterAgent(t.Context(), "a", a.address))
	must.NoError(t, jobLedger.Accept(t.Context(), testJob(1)))
	recordAsLost(t, jobLedger, "a", 5*time.Second)
	allow := hooked.refuseWrites("agents")
	runLeader(t, jobLedger)
	time.Sleep(2 * time.Second)
	test.Zero(t, a.count(hasGrant))
	test.Zero(t, a.count(hasStarts))
	allow()
	a.await(t, hasStarts)
	a.await(t, hasGrant)
	agents, _, err := jobLedger.Agents(t.Context())
	must.NoError(t, err)
	test.Eq(t, ledger.Lost{}, agents["a"].Lost)
}

// Guards against a lost agent that has no record, so that a change of leaders begins the whole wait again, and
// against a record that stays after the agent has come back.
func TestLeader_LostAgentIsRecorded(t *testing.T) {
	hooked, _ := newHookedStore(t)
	jobLedger := newLedger(hooked)
	a := newFakeAgent(t, job.Run{Task: job.Task{Job: testJob(1).ID}, Number: 1})
	must.NoError(t, jobLedger.RegisterAgent(t.Context(), "a", a.address))
	must.NoError(t, jobLedger.Accept(t.Context(), testJob(1)))
	runLeader(t, jobLedger)
	a.await(t, hasGrant)
	recorded := func() ledger.Lost {
		agents, _, err := jobLedger.Agents(t.Context())
		must.NoError(t, err)
		return agents["a"].Lost
	}
	a.closeSessions()
	time.Sleep(recordLostAfter / 2)
	test.Eq(t, ledger.Lost{}, recorded(), test.Sprint("a short interruption"))
	lost := boottime.Now()
	a.set(func() { a.refuse = true })
	a.closeSessions()
	must.Wait(t, wait.InitialSuccess(wait.BoolFunc(func() bool { return recorded() != ledger.Lost{} }),
		wait.Timeout(5*time.Second), wait.Gap(20*time.Millisecond)))
	test.Between(t, lost+4*time.Second, recorded().Until, lost+5*time.Second+2*leaseMargin+time.Second/2)
	a.set(func() { a.refuse = false })
	must.Wait(t, wait.InitialSuccess(wait.BoolFunc(func() bool { return recorded() == ledger.Lost{} }),
		wait.Timeout(5*time.Second), wait.Gap(20*time.Millisecond)))
}

// Guards against a time on an earlier leader's clock that is taken for passed too early, or that is read on the
// clock of another process.
func TestLeaderClock(t *testing.T) {
	renewal := ledger.Renewal{Process: "p/0", SentAt: time.Minute}
	c := clockOf(renewal, time.Hour+time.Second)
	test.GreaterEq(t, time.Hour+11*time.Second, c.passed(time.Minute+10*time.Second))
	test.Eq(t, c.seenAt, c.passed(time.Second))
	readAt, bound := time.Hour+2*time.Second, 2*time.Hour
	lost := ledger.Lost{At: 30 * time.Second, Until: time.Minute + time.Second, Process: "p/0"}
	test.Eq(t, c.passed(time.Minute+time.Second), c.expiry(lost, readAt, bound))
	alone := readAt + drifted(31*time.Second)
	test.Eq(t, alone, clockOf(ledger.Renewal{Process: "p/1", SentAt: time.Minute}, readAt).expiry(lost, readAt, bound), test.Sprint("another process"))
	test.Eq(t, alone, clockOf(ledger.Renewal{Process: "p/0"}, readAt).expiry(lost, readAt, bound), test.Sprint("renewal without a time"))
	lost.Process = ""
	test.Eq(t, alone, c.expiry(lost, readAt, bound), test.Sprint("earlier version"))
	test.Eq(t, alone, leaderClock{}.expiry(lost, readAt, bound), test.Sprint("no process, clock unknown"))
	test.Eq(t, bound, c.expiry(ledger.Lost{}, readAt, bound))
	test.Eq(t, c.seenAt, c.expiry(lost, readAt, c.seenAt), test.Sprint("never later than the bound"))
}

// Guards against a change of leaders that begins the wait for a lost agent again: its task was started only
// after the grants and the lease that the next leader counts from its own term.
func TestLeader_LostAgentAcrossTerms(t *testing.T) {
	hooked, _ := newHookedStore(t)
	jobLedger := newLedger(hooked)
	a := newFakeAgent(t, job.Run{Task: job.Task{Job: testJob(1).ID}, Number: 1})
	b := newFakeAgent(t)
	must.NoError(t, jobLedger.RegisterAgent(t.Context(), "a", a.address))
	must.NoError(t, jobLedger.RegisterAgent(t.Context(), "b", b.address))
	must.NoError(t, jobLedger.Accept(t.Context(), testJob(1)))
	l, stop := runLeader(t, jobLedger)
	must.Wait(t, wait.InitialSuccess(wait.BoolFunc(func() bool {
		state, known, _ := l.Status(testJob(1).ID)
		return known && state == job.Running
	}), wait.Timeout(5*time.Second), wait.Gap(5*time.Millisecond)))
	// Only heartbeats after the report replace the bound of the term.
	time.Sleep(500 * time.Millisecond)
	lost := boottime.Now()
	a.set(func() { a.refuse = true })
	a.closeSessions()
	time.Sleep(recordLostAfter + 2*time.Second)
	stop()
	test.Zero(t, b.count(hasStarts))
	runLeaderWith(t, jobLedger, func(o *Options) { o.Address, o.Process = "10.0.0.2:1", "p2" })
	// The lease that ended last was granted within the agent's last heartbeat.
	test.Between(t, lost+4900*time.Millisecond, b.await(t, hasStarts).at, lost+5*time.Second+2*leaseMargin+time.Second/2)
}

// Guards against attempts to reach an agent that count as contact, so that an agent which never answers is
// recorded late.
func TestLeader_MuteAgentIsRecorded(t *testing.T) {
	hooked, _ := newHookedStore(t)
	jobLedger := newLedger(hooked)
	a := newFakeAgent(t)
	a.mute = true
	must.NoError(t, jobLedger.RegisterAgent(t.Context(), "a", a.address))
	runLeader(t, jobLedger)
	must.Wait(t, wait.InitialSuccess(wait.BoolFunc(func() bool {
		agents, _, err := jobLedger.Agents(t.Context())
		must.NoError(t, err)
		return agents["a"].Lost != ledger.Lost{}
	}), wait.Timeout(recordLostAfter+2*recordLostInterval), wait.Gap(20*time.Millisecond)))
}
