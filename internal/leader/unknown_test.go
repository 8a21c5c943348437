package leader

import (
	"testing"
	"time"

	"github.com/shoenig/test"
	"github.com/shoenig/test/must"
	"github.com/shoenig/test/wait"
)

// Guards against starting a recovered task while a run of it may be alive on an agent that registers after the
// leader has read the registrations (TWICE).
func TestLeader_UnlistedRunsOfUnknownAgent(t *testing.T) {
	hooked, _ := newHookedStore(t)
	jobLedger := newLedger(hooked)
	a, b := newFakeAgent(t), newFakeAgent(t)
	a.unlisted, b.noSnapshot = 2*time.Second, true
	must.NoError(t, jobLedger.RegisterAgent(t.Context(), "b", b.address))
	must.NoError(t, jobLedger.Accept(t.Context(), testJob(1)))
	l, _ := runLeader(t, jobLedger)
	awaitLeading(t, l)
	must.NoError(t, jobLedger.RegisterAgent(t.Context(), "a", a.address))
	reported := a.await(t, hasGrant).at
	b.set(func() { b.noSnapshot = false })
	b.closeSessions()
	started := func() int { return a.countStarts() + b.countStarts() }
	time.Sleep(1200 * time.Millisecond)
	test.Zero(t, started())
	must.Wait(t, wait.InitialSuccess(wait.BoolFunc(func() bool { return started() > 0 }), wait.Timeout(5*time.Second), wait.Gap(5*time.Millisecond)))
	test.GreaterEq(t, reported+a.unlisted-100*time.Millisecond, l.opts.Now())
}
