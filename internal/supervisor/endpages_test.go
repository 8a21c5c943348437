package supervisor

import (
	"testing"
	"time"

	"github.com/shoenig/test"
	"github.com/shoenig/test/must"

	"bamboowood/internal/job"
	"bamboowood/internal/runner"
)

// listEnds makes a runner of an earlier process list n ends in pages of two.
func listEnds(n int64) func(*fakeRunner) {
	return func(f *fakeRunner) {
		f.maxEnds = 2
		for i := range n {
			run := job.Run{Task: job.Task{Job: "5c0e7a21d94b36f8", Index: int(i)}, Number: 1}
			f.ends = append(f.ends, job.End{Sequence: i + 1, Run: run, Reason: job.EndDone})
		}
	}
}

// Guards against taking the first page of ends for all of them after a restart of the agent: runs whose ends
// were on later pages counted as absent, and their tasks were started again after they were done.
func TestSupervisor_SnapshotBeforeLastPageOfEnds(t *testing.T) {
	runTest(t, listEnds(5), func(h *harness) {
		h.reportRunner("i-1", 1)
		h.grantLease()
		snapshot, ok := h.Snapshot()
		must.True(t, ok)
		test.Len(t, 2, snapshot.Ends)
		test.GreaterEq(t, testLease+partialSnapshotInterval, snapshot.UnlistedFor)
		for _, stored := range []int64{2, 4} {
			h.collectUpdates(200 * time.Millisecond)
			must.False(t, h.SnapshotOutdated())
			h.EndsStored("i-1", 0, stored)
		}
		h.collectUpdates(200 * time.Millisecond)
		must.True(t, h.SnapshotOutdated(), must.Sprint("all ends are listed"))
		snapshot, _ = h.Snapshot()
		test.Len(t, 1, snapshot.Ends)
		test.False(t, snapshot.MoreEnds)
		h.collectUpdates(time.Minute)
		test.False(t, h.SnapshotOutdated())
	})
}

// Guards against a partial snapshot that outlives its time while the ledger stores no ends: unlisted runs
// would count as absent.
func TestSupervisor_PartialSnapshotIsRepeated(t *testing.T) {
	runTest(t, listEnds(5), func(h *harness) {
		h.reportRunner("i-1", 1)
		for range 5 {
			h.grantLease()
			snapshot, ok := h.Snapshot()
			must.True(t, ok)
			test.GreaterEq(t, testLease+partialSnapshotInterval, snapshot.UnlistedFor)
			must.False(t, h.SnapshotOutdated())
			h.collectUpdates(partialSnapshotInterval)
			must.True(t, h.SnapshotOutdated())
		}
	})
}

func isPartial(u Update) bool { return u.UnlistedFor >= testLease+partialSnapshotInterval }

// Guards against partial snapshots without end after the runner is gone: its lease has expired, so that unlisted runs
// are gone as well, but the leader held their tasks back for as long as the agent lived (LOST).
func TestSupervisor_PartialSnapshotEndsWithTheLease(t *testing.T) {
	for name, left := range map[string]bool{"crashed": false, "left": true} {
		t.Run(name, func(t *testing.T) {
			runTest(t, listEnds(5), func(h *harness) {
				h.reportRunner("i-1", 1)
				h.grantLease()
				h.collectUpdates(heartbeat)
				snapshot, ok := h.Snapshot()
				must.True(t, ok)
				must.True(t, isPartial(snapshot))
				if left {
					must.NoError(t, h.report(job.Runner{ID: "i-1", Service: "desk", Sequence: 2, Draining: true}))
					h.RunnerLeft("i-1", 0)
				}
				h.fake.setRenewErr(runner.ErrNoListener)
				h.collectUpdates(testLease / 2)
				must.True(t, h.SnapshotOutdated())
				snapshot, ok = h.Snapshot()
				must.True(t, ok)
				test.Eq(t, !left, isPartial(snapshot), test.Sprint("the lease has not expired"))
				h.collectUpdates(testLease)
				test.Eq(t, !left, h.SnapshotOutdated())
				snapshot, ok = h.Snapshot()
				must.True(t, ok)
				test.Zero(t, snapshot.UnlistedFor)
				h.collectUpdates(2 * partialSnapshotInterval)
				test.False(t, h.SnapshotOutdated())
			})
		})
	}
}
