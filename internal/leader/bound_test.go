package leader

import (
	"testing"
	"time"

	"github.com/shoenig/test"
	"github.com/shoenig/test/must"

	"bamboowood/internal/boottime"
	"bamboowood/internal/ledger"
	"bamboowood/internal/store"
)

// Guards against a bound that leaves out a leader which has lost the store but still extends leases: its term
// ended before the one that was resigned.
func TestGrantsBound(t *testing.T) {
	const at = time.Hour
	millis := func(d time.Duration) *int64 { ms := d.Milliseconds(); return &ms }
	resigned := ledger.Term{Number: 2, Resigned: true, EarlierGrantsMillis: millis(5 * time.Second)}
	term, renewal := ledger.Term{Process: "p/0"}, ledger.Renewal{Process: "p/0", SentAt: 2 * time.Minute, EarlierGrantsUntil: time.Minute}
	leftAfter := func(left time.Duration) ledger.Renewal {
		return ledger.Renewal{Process: "p/0", SentAt: time.Minute, EarlierGrantsUntil: time.Minute + left}
	}
	for name, c := range map[string]struct {
		bound grantsBound
		want  grantsBound
	}{
		"resigned":                  {boundOfResigned(resigned, at), grantsBound{at + 5*time.Second, true}},
		"resigned, earlier version": {boundOfResigned(ledger.Term{Resigned: true}, at), grantsBound{}},
		"not resigned":              {boundOfResigned(ledger.Term{EarlierGrantsMillis: millis(0)}, at), grantsBound{}},
		"resigned, out of range":    {boundOfResigned(ledger.Term{Resigned: true, EarlierGrantsMillis: millis(-time.Second)}, at), grantsBound{}},
		"resigned, too long":        {boundOfResigned(ledger.Term{Resigned: true, EarlierGrantsMillis: millis(at)}, at), grantsBound{}},
		"unrenewed":                 {boundOfUnrenewed(ledger.Term{Number: 1}, at), grantsBound{at + drifted(grantValidity), true}},
		"unrenewed, unreadable":     {boundOfUnrenewed(ledger.Term{Unreadable: true}, at), grantsBound{}},
		"ended":                     {boundOfEnded(term, renewal, at), grantsBound{at, true}},
		"ended, begun shortly before": {
			boundOfEnded(term, leftAfter(6*time.Second), at), grantsBound{at + drifted(6*time.Second), true},
		},
		"ended, earlier version":    {boundOfEnded(term, ledger.Renewal{Process: "p/0"}, at), grantsBound{}},
		"ended, renewal of another": {boundOfEnded(ledger.Term{Process: "p/1"}, renewal, at), grantsBound{}},
		"ended, out of range":       {boundOfEnded(term, leftAfter(at), at), grantsBound{}},
	} {
		test.Eq(t, c.want, c.bound, test.Sprint(name))
	}
	const lease = 5 * time.Second
	atBegin := at + grantValidity + lease + leaseMargin
	test.Eq(t, atBegin, grantsBound{}.leasesExpire(at, lease))
	test.Eq(t, atBegin, grantsBound{at + time.Minute, true}.leasesExpire(at, lease))
	test.Eq(t, at+drifted(lease)+leaseMargin, grantsBound{at, true}.leasesExpire(at, lease))
	test.Eq(t, time.Second, grantsBound{at + time.Second - time.Microsecond, true}.left(at, at))
	test.Zero(t, grantsBound{at, true}.left(at+time.Second, at))
	test.Eq(t, grantValidity-time.Second, grantsBound{}.left(at+time.Second, at))
}

// startBesideSilentAgent returns how long after its beginning a leader whose leases last a second starts a
// recovered job, while another agent is silent.
func startBesideSilentAgent(t *testing.T, before func(jobLedger *ledger.Ledger)) time.Duration {
	hooked, _ := newHookedStore(t)
	clocked := &clockedStore{hookedStore: hooked}
	jobLedger := ledger.New(clocked, store.NewBulkReader(clocked, 0))
	before(jobLedger)
	b := newFakeAgent(t)
	must.NoError(t, jobLedger.RegisterAgent(t.Context(), "a", "127.0.0.1:1"))
	must.NoError(t, jobLedger.RegisterAgent(t.Context(), "b", b.address))
	must.NoError(t, jobLedger.Accept(t.Context(), testJob(1)))
	began := boottime.Now()
	runLeaderWith(t, jobLedger, func(o *Options) { o.LeaseDuration = time.Second })
	time.Sleep(takeoverAfter)
	return b.await(t, hasStarts).at - began
}

// Guards against a leader that waits for grants of a leader which has resigned and extends no lease any more.
func TestLeader_WaitAfterResignation(t *testing.T) {
	took := startBesideSilentAgent(t, func(jobLedger *ledger.Ledger) {
		old, err := jobLedger.BeginTerm(t.Context(), ledger.Term{}, ledger.NoLeader, "10.0.0.2:1", "p2/0")
		must.NoError(t, err)
		old.Term.EarlierGrantsMillis = new(int64)
		must.NoError(t, old.Resign(t.Context()))
	})
	test.Between(t, time.Second, took, 3*time.Second)
}

// Guards against a leader that counts its wait from its own term although the earlier leader stopped renewing
// its term before, so that the wait is longer by takeoverAfter.
func TestLeader_WaitAfterMissingRenewals(t *testing.T) {
	took := startBesideSilentAgent(t, func(jobLedger *ledger.Ledger) {
		_, err := jobLedger.BeginTerm(t.Context(), ledger.Term{}, ledger.NoLeader, "10.0.0.2:1", "p2/0")
		must.NoError(t, err)
	})
	test.Between(t, grantValidity+time.Second, took, grantValidity+time.Second+takeoverAfter)
}

// Guards against a leader that waits for grants of an earlier process at its address, which has ended, and against
// one that does not wait for those of the leader before it.
func TestLeader_WaitAfterRestart(t *testing.T) {
	earlier := func(confirmedFor time.Duration) time.Duration {
		return startBesideSilentAgent(t, func(jobLedger *ledger.Ledger) {
			old, err := jobLedger.BeginTerm(t.Context(), ledger.Term{}, ledger.NoLeader, "10.0.0.1:1", "p0/0")
			must.NoError(t, err)
			old.Clock, old.EarlierGrantsUntil = boottime.Now, boottime.Now()+grantValidity-confirmedFor
			must.NoError(t, old.Renew(t.Context()))
		})
	}
	test.Between(t, time.Second, earlier(time.Minute), 3*time.Second)
	test.Between(t, grantValidity-2*time.Second, earlier(3*time.Second), grantValidity)
}
