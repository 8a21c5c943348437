package leader

import (
	"testing"
	"time"

	"github.com/shoenig/test"
	"github.com/shoenig/test/must"
	"github.com/shoenig/test/wait"

	"bamboowood/internal/job"
	"bamboowood/internal/ledger"
	"bamboowood/internal/store"
	"bamboowood/internal/wire"
	"bamboowood/internal/wire/wirepb"
)

// twoTasks returns a job with two tasks and the end as done of the first one.
func twoTasks() (*job.Job, []*wirepb.RunEnd) {
	j := testJob(1)
	j.Steps[0].Tasks = 2
	run := job.Run{Task: job.Task{Job: j.ID}, Number: 1}
	return j, []*wirepb.RunEnd{{Sequence: 1, Reason: string(job.EndDone), Run: wire.RunRef(run)}}
}

// nextLeaderStartsSecondTask runs a leader after the runner has dropped its acknowledged ends. Of the two
// tasks only the second may be started.
func nextLeaderStartsSecondTask(t *testing.T, jobLedger *ledger.Ledger, a *fakeAgent) {
	t.Helper()
	a.set(func() { a.ends, a.received = nil, nil })
	runLeader(t, jobLedger)
	a.await(t, hasStarts)
	time.Sleep(4 * planInterval)
	var tasks []int
	a.set(func() {
		for _, m := range a.received {
			for _, o := range m.message.Starts {
				run, err := wire.Run(o.Details.Run)
				must.NoError(t, err)
				tasks = append(tasks, run.Task.Index)
			}
		}
	})
	test.Eq(t, []int{1}, tasks)
}

// Guards against acknowledging the end of a job whose progress this leader cannot read: a later one, which
// can, started the task again after it had ended as done.
func TestLeader_EndOfJobWithUnreadableProgress(t *testing.T) {
	hooked, _ := newHookedStore(t)
	jobLedger := newLedger(hooked)
	j, ends := twoTasks()
	a := newFakeAgent(t)
	a.ends = ends
	must.NoError(t, jobLedger.RegisterAgent(t.Context(), "a", a.address))
	must.NoError(t, jobLedger.Accept(t.Context(), j))
	key := store.Key{Table: "progress", Part: "main", Key: j.ID}
	write := func(value string) {
		_, err := hooked.Apply(t.Context(), store.Tx{Writes: []store.Write{{Key: key, Value: []byte(value)}}})
		must.NoError(t, err)
	}
	write(`{"state":"from a later version"}`)
	_, stop := runLeader(t, jobLedger)
	a.await(t, hasStored)
	stop()
	write(`{"state":"running"}`)
	nextLeaderStartsSecondTask(t, jobLedger, a)
}

// Guards against the same for a job that is quarantined before the end has been stored.
func TestLeader_EndOfJobQuarantinedBeforeCommit(t *testing.T) {
	hooked, _ := newHookedStore(t)
	allow := hooked.refuseWrites("progress")
	jobLedger := newLedger(hooked)
	j, ends := twoTasks()
	a := newFakeAgent(t)
	a.ends = ends
	must.NoError(t, jobLedger.RegisterAgent(t.Context(), "a", a.address))
	must.NoError(t, jobLedger.Accept(t.Context(), j))
	l, stop := runLeader(t, jobLedger)
	awaitLeading(t, l)
	r := l.leadership.Load()
	must.Wait(t, wait.InitialSuccess(wait.BoolFunc(func() bool {
		r.mu.Lock()
		defer r.mu.Unlock()
		return r.conns["a"].receivedEnds.sequence == 1
	}), wait.Timeout(5*time.Second), wait.Gap(5*time.Millisecond)))
	r.mu.Lock()
	r.quarantine(j.ID)
	r.mu.Unlock()
	a.await(t, hasStored)
	stop()
	allow()
	nextLeaderStartsSecondTask(t, jobLedger, a)
}
