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
	"bamboowood/internal/store"
	"bamboowood/internal/wire/wirepb"
)

func registered(t *testing.T, book *ledger.Ledger, name string) bool {
	agents, _, err := book.Agents(t.Context())
	must.NoError(t, err)
	_, found := agents[name]
	return found
}

// An agent on which nothing was alive is removed from the ledger, and returns without
// having noticed. Nothing is started there before the ledger has it again: a later leader
// would not wait for it, and start the same elsewhere.
func TestLeader_ReturnedAgentIsRegisteredFirst(t *testing.T) {
	g, _ := newGate(t)
	refuse := make(chan struct{})
	g.apply = func(tx store.Tx) error {
		if len(tx.Writes) == 1 && tx.Writes[0].Key.Table == "agents" {
			select {
			case <-refuse:
			default:
				return store.ErrRefused
			}
		}
		return nil
	}
	book := bookOf(g)
	a := newFakeAgent(t)
	a.absent = true
	other := *g
	other.apply = nil
	must.NoError(t, ledger.New(&other, store.NewBulkReader(&other, 0)).RegisterAgent(t.Context(), "a", a.address))
	l, _ := runLeader(t, book)
	a.first(t, grants)
	must.Wait(t, wait.InitialSuccess(wait.BoolFunc(l.Leading), wait.Timeout(5*time.Second), wait.Gap(5*time.Millisecond)))
	a.set(func() { a.mute = true })
	a.hangUp()
	must.Wait(t, wait.InitialSuccess(wait.BoolFunc(func() bool { return !registered(t, book, "a") }),
		wait.Timeout(5*time.Second), wait.Gap(5*time.Millisecond)))
	a.set(func() { a.mute, a.absent = false, false })
	a.hangUp()
	must.NoError(t, book.Accept(t.Context(), testJob(1)))
	time.Sleep(time.Second)
	test.Zero(t, a.count(starts))
	close(refuse)
	a.first(t, starts)
	test.True(t, registered(t, book, "a"))
}

// Leases of an agent that has not told its state do not outlast what the planner waits
// for: its runs are started elsewhere then.
func TestLeader_NoLeaseBeyondTheWait(t *testing.T) {
	g, _ := newGate(t)
	book := bookOf(g)
	a := newFakeAgent(t, job.Run{Task: job.Task{Job: testJob(1).ID}, Number: 1})
	a.mute = true
	must.NoError(t, book.RegisterAgent(t.Context(), "a", a.address))
	l, _ := runLeader(t, book)
	must.Wait(t, wait.InitialSuccess(wait.BoolFunc(l.Leading), wait.Timeout(5*time.Second), wait.Gap(5*time.Millisecond)))
	r := l.leadership.Load()
	r.mu.Lock()
	r.planner.AddUnreportedAgent("a", 0)
	lapse, bounded := r.planner.LeaseExpiry("a")
	r.mu.Unlock()
	must.True(t, bounded)
	left := lapse - boottime.Now() - leaseMargin
	time.Sleep(max(left-r.opts.LeaseDuration, 0) + 500*time.Millisecond)
	short := a.first(t, func(m *wirepb.LeaderMessage) bool {
		return m.Grant != nil && time.Duration(m.Grant.HoldMs)*time.Millisecond < r.opts.LeaseDuration
	})
	test.LessEq(t, lapse, short.at+time.Duration(short.message.Grant.HoldMs)*time.Millisecond)
	must.Wait(t, wait.InitialSuccess(wait.BoolFunc(func() bool {
		r.mu.Lock()
		defer r.mu.Unlock()
		return r.planner.UnreportedAgents() == 0
	}), wait.Timeout(15*time.Second), wait.Gap(20*time.Millisecond)))
}
