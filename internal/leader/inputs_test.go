package leader

import (
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/shoenig/test"
	"github.com/shoenig/test/must"

	"bamboowood/internal/boottime"
	"bamboowood/internal/job"
	"bamboowood/internal/site"
	"bamboowood/internal/store"
	"bamboowood/internal/wire/wirepb"
)

// Guards against a leader that plans before it has read the drained zones (review/7): it started tasks in a
// zone that had been drained long before. Leases are extended and cancelled jobs stopped meanwhile.
func TestLeader_NoStartsBeforeSettingsAreRead(t *testing.T) {
	hooked, _ := newHookedStore(t)
	jobLedger := newLedger(hooked)
	var read atomic.Bool
	a := newFakeAgent(t, job.Run{Task: job.Task{Job: testJob(2).ID}, Number: 1})
	must.NoError(t, jobLedger.RegisterAgent(t.Context(), "a", a.address))
	for n := range 2 {
		must.NoError(t, jobLedger.Accept(t.Context(), testJob(n+1)))
	}
	must.NoError(t, jobLedger.Cancel(t.Context(), testJob(2).ID))
	runLeaderWith(t, jobLedger, func(o *Options) {
		o.SettingsAge = func() (time.Duration, bool) { return 0, read.Load() }
		state := o.Site
		o.Site = func() *site.State {
			if read.Load() {
				return &site.State{Config: state().Config, Drained: map[string]bool{"z1": true}}
			}
			return &site.State{}
		}
	})
	a.await(t, hasGrant)
	a.await(t, hasStops)
	time.Sleep(time.Second)
	test.Zero(t, a.count(hasStarts))
	read.Store(true)
	time.Sleep(4 * planInterval)
	test.Zero(t, a.count(hasStarts), test.Sprint("the zone is drained"))
}

// Guards against settings that count as read although they were read before the process lost the store, or have
// not been read again since the term began, and against a leader that never starts anything.
func TestSettingsRead(t *testing.T) {
	const began = time.Hour
	for name, c := range map[string]struct {
		now, age time.Duration
		known    bool
		want     bool
	}{
		"never":                  {began, 0, false, false},
		"just before the term":   {began, time.Second, true, true},
		"long before the term":   {began, time.Minute, true, false},
		"within the term":        {began + time.Hour, time.Second, true, true},
		"read once in it":        {began + time.Hour, time.Hour, true, false},
		"not since the deadline": {began + time.Hour, defaultEvacuationDeadline, true, false},
		"too old for an order":   {began + time.Hour, defaultEvacuationDeadline - orderTime, true, false},
	} {
		r := newPartialFixture(t).leadership
		r.opts.SettingsAge = func() (time.Duration, bool) { return c.age, c.known }
		r.opts.Site = func() *site.State { return &site.State{} }
		r.opts.Now = func() time.Duration { return c.now }
		r.began, r.renewedAt, r.cancelsAt = began, c.now, c.now
		r.readSettings()
		test.Eq(t, c.want, r.mayStart(c.now), test.Sprint(name))
	}
}

// Guards against settings that grow old within a term while its renewals go on: an evacuation that the leader had
// not read was ignored for as long as that lasted. Orders expire with the settings they are based on.
func TestLeader_NoStartsOnceSettingsAreOld(t *testing.T) {
	hooked, _ := newHookedStore(t)
	jobLedger := newLedger(hooked)
	a := newFakeAgent(t)
	must.NoError(t, jobLedger.RegisterAgent(t.Context(), "a", a.address))
	const limit = 2 * followWait
	var readAt atomic.Int64
	readAt.Store(int64(boottime.Now()))
	l, _ := runLeaderWith(t, jobLedger, func(o *Options) {
		o.EvacuationDeadline = orderTime + limit
		o.SettingsAge = func() (time.Duration, bool) { return o.Now() - time.Duration(readAt.Load()), true }
	})
	a.await(t, hasGrant)
	first := testJob(1)
	must.NoError(t, jobLedger.Accept(t.Context(), first))
	l.jobAccepted(first)
	order := a.await(t, hasStarts)
	test.LessEq(t, time.Duration(readAt.Load())+limit, time.Duration(order.message.Starts[0].ValidUntil))
	time.Sleep(time.Until(time.Now().Add(time.Duration(readAt.Load()) + limit - boottime.Now())))
	second := testJob(2)
	must.NoError(t, jobLedger.Accept(t.Context(), second))
	l.jobAccepted(second)
	time.Sleep(8 * planInterval)
	test.Eq(t, 1, a.count(hasStarts))
	readAt.Store(int64(boottime.Now()))
	a.await(t, func(m *wirepb.LeaderMessage) bool {
		return hasStarts(m) && strings.HasPrefix(m.Starts[0].Details.Run.Task, second.ID)
	})
}

// Guards against cancels that grow old within a term while its renewals go on: tasks of cancelled jobs were started
// for as long as the leader could not read them. A cancel that an entry reports itself changes nothing about that.
func TestLeader_NoStartsOnceCancelsAreOld(t *testing.T) {
	hooked, _ := newHookedStore(t)
	var refusing atomic.Bool
	refused := make(chan struct{}, 1)
	hooked.feedError = func(table string) error {
		if table != "cancels" || !refusing.Load() {
			return nil
		}
		signal(refused)
		return store.ErrRefused
	}
	jobLedger := newLedger(hooked)
	a := newFakeAgent(t)
	must.NoError(t, jobLedger.RegisterAgent(t.Context(), "a", a.address))
	l, _ := runLeaderWith(t, jobLedger, func(o *Options) { o.CancelDeadline = orderTime + 1200*time.Millisecond })
	a.await(t, hasGrant)
	awaitLeading(t, l)
	refusing.Store(true)
	<-refused
	time.Sleep(1200 * time.Millisecond)
	cancelled, other := testJob(1), testJob(2)
	for _, j := range []*job.Job{cancelled, other} {
		must.NoError(t, jobLedger.Accept(t.Context(), j))
	}
	must.NoError(t, jobLedger.Cancel(t.Context(), cancelled.ID))
	l.jobAccepted(cancelled)
	l.jobAccepted(other)
	l.jobCancelled(testJob(3).ID)
	time.Sleep(8 * planInterval)
	test.Zero(t, a.count(hasStarts))
	refusing.Store(false)
	order := a.await(t, hasStarts)
	test.StrHasPrefix(t, other.ID, order.message.Starts[0].Details.Run.Task)
	time.Sleep(4 * planInterval)
	test.Eq(t, 1, a.count(hasStarts))
}

// Guards against settings that are replaced between the reading of them and of their age: those of before the first
// read, which are empty, counted as read, and a task was started in a drained zone.
func TestLeader_SettingsReadDuringPlan(t *testing.T) {
	hooked, _ := newHookedStore(t)
	jobLedger := newLedger(hooked)
	a := newFakeAgent(t)
	must.NoError(t, jobLedger.RegisterAgent(t.Context(), "a", a.address))
	must.NoError(t, jobLedger.Accept(t.Context(), testJob(1)))
	var begin, read atomic.Bool
	runLeaderWith(t, jobLedger, func(o *Options) {
		o.SettingsAge = func() (time.Duration, bool) { return 0, read.Load() }
		state := o.Site
		o.Site = func() *site.State {
			// The first read of the table ends right after this one.
			defer func() { read.Store(begin.Load()) }()
			if read.Load() {
				return &site.State{Config: state().Config, Drained: map[string]bool{"z1": true}}
			}
			return &site.State{}
		}
	})
	a.await(t, hasGrant)
	time.Sleep(4 * planInterval)
	begin.Store(true)
	time.Sleep(4 * planInterval)
	test.Zero(t, a.count(hasStarts))
}

// Guards against a platform with short bounds on which starts are held back although all feeds are answered.
func TestValidity(t *testing.T) {
	test.Eq(t, 4600*time.Millisecond, validity(defaultEvacuationDeadline, followWait))
	test.Eq(t, 2600*time.Millisecond, validity(defaultCancelDeadline, followCancelsWait))
	test.Eq(t, 2*followWait, validity(time.Second, followWait))
	test.Eq(t, 2*followCancelsWait, validity(orderTime, followCancelsWait))
}

// Guards against a log line in each plan, and against a held plan whose end is not logged.
func TestHeldInputs(t *testing.T) {
	h := newHeldInputs()
	update := func(now time.Duration, missing, wantReport bool, wantHeld time.Duration) {
		t.Helper()
		held, report := h.update(now, inputAgents, missing)
		test.Eq(t, wantReport, report)
		test.Eq(t, wantHeld, held)
	}
	update(time.Hour, false, false, 0)
	update(time.Hour, true, true, 0)
	update(time.Hour+planInterval, true, false, planInterval)
	update(time.Hour+heldLogInterval, true, true, heldLogInterval)
	update(time.Hour+heldLogInterval, false, true, heldLogInterval)
	update(time.Hour+heldLogInterval, false, false, 0)
}
