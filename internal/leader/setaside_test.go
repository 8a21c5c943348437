package leader

import (
	"fmt"
	"slices"
	"sync"
	"testing"
	"time"

	"github.com/apex/log"
	"github.com/apex/log/handlers/memory"
	"github.com/shoenig/test"
	"github.com/shoenig/test/must"
	"github.com/shoenig/test/wait"

	"bamboowood/internal/job"
	"bamboowood/internal/ledger"
	"bamboowood/internal/store"
	"bamboowood/internal/wire"
	"bamboowood/internal/wire/wirepb"
)

// awaitState waits until the ledger has a state of the job.
func awaitState(t *testing.T, l *ledger.Ledger, id string, want job.State) {
	t.Helper()
	must.Wait(t, wait.InitialSuccess(wait.ErrorFunc(func() error {
		state, _, err := l.Status(t.Context(), id)
		if err == nil && state != want {
			err = fmt.Errorf("state is %s", state)
		}
		return err
	}), wait.Timeout(10*time.Second), wait.Gap(10*time.Millisecond)))
}

// Guards against review/1 (Acks): the store rejects the progress of one job for good, and the leader repeated
// that transaction before all others, so that the ends of no job were stored. That job alone is set aside,
// with one line, also by the next leader, its ends are kept, and it can be cancelled.
func TestLeader_RejectedProgress(t *testing.T) {
	hooked, _ := newHookedStore(t)
	var mu sync.Mutex
	rejecting := true
	bad := testJob(1)
	bad.Steps[0].Tasks = 2
	hooked.onApply = func(tx store.Tx) error {
		mu.Lock()
		defer mu.Unlock()
		for _, w := range tx.Writes {
			if rejecting && w.Key.Table == "progress" && w.Key.Key == bad.ID {
				return fmt.Errorf("%w: test", store.ErrRejected)
			}
		}
		return nil
	}
	jobLedger := newLedger(hooked)
	a := newFakeAgent(t)
	must.NoError(t, jobLedger.RegisterAgent(t.Context(), "a", a.address))
	good := testJob(2)
	for n, j := range []*job.Job{bad, good} {
		must.NoError(t, jobLedger.Accept(t.Context(), j))
		run := job.Run{Task: job.Task{Job: j.ID}, Number: 1}
		a.ends = append(a.ends, &wirepb.RunEnd{Sequence: int64(n) + 1, Reason: string(job.EndDone), Run: wire.RunRef(run)})
	}
	lines := memory.New()
	change := func(o *Options) { o.Logger = &log.Logger{Handler: lines} }
	l, stop := runLeaderWith(t, jobLedger, change)
	awaitState(t, jobLedger, good.ID, job.Completed)
	a.await(t, hasStored)
	stop()
	contents, err := jobLedger.NewLoader().Run(t.Context())
	must.NoError(t, err)
	must.Len(t, 1, contents.HeldEnds)
	test.Eq(t, bad.ID, contents.HeldEnds[0].Run.Task.Job)
	state, _, leading := l.Status(bad.ID)
	test.False(t, leading, test.Sprint(state))

	next, stopNext := runLeaderWith(t, jobLedger, change)
	awaitLeading(t, next)
	must.Wait(t, wait.InitialSuccess(wait.BoolFunc(func() bool {
		r := next.leadership.Load()
		r.mu.Lock()
		defer r.mu.Unlock()
		return r.planner.SetAsideJobs() == 1
	}), wait.Timeout(5*time.Second), wait.Gap(5*time.Millisecond)))
	mu.Lock()
	rejecting = false
	mu.Unlock()
	must.NoError(t, jobLedger.Cancel(t.Context(), bad.ID))
	awaitState(t, jobLedger, bad.ID, job.Cancelled)
	stopNext()
	setAside := slices.DeleteFunc(slices.Clone(lines.Entries), func(e *log.Entry) bool { return e.Fields["job"] != bad.ID || e.Level != log.ErrorLevel })
	must.Len(t, 2, setAside) // one of each leader
	test.MapContainsKey(t, setAside[0].Fields, "bytes")
}
