package scheduler_test

import (
	"context"
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"github.com/shoenig/test/must"

	"bamboowood/internal/control"
	"bamboowood/internal/placement"
	"bamboowood/internal/platform"
	"bamboowood/internal/scheduler"
	"bamboowood/internal/standin"
	"bamboowood/internal/state"
	"bamboowood/internal/structs"
	"bamboowood/internal/task"
)

func setZone(t must.T, table platform.Table, name string, to structs.ZoneState) {
	t.Helper()
	row, err := state.Get[structs.Zone](context.Background(), table, state.ZoneKey(name))
	must.NoError(t, err)
	tx := state.NewTx()
	tx.Put(state.ZoneKey(name), row.Version, structs.Zone{Name: name, State: to})
	must.NoError(t, state.Commit(context.Background(), table, tx))
}

// countTasks returns the numbers of tasks reserved on VMs in the zone and outside it.
func countTasks(t must.T, table platform.Table, zone string) (in, outside int) {
	t.Helper()
	rows, err := state.List[structs.VM](context.Background(), table, state.VMPrefix)
	must.NoError(t, err)
	for _, row := range rows {
		if row.Value.Zone == zone {
			in += len(row.Value.Tasks)
		} else {
			outside += len(row.Value.Tasks)
		}
	}
	return in, outside
}

// A drained zone must become empty and get no new tasks, its tasks must resume in other
// zones, and it must be used again after the refill. The table responds slowly and loses
// responses.
func TestRun_DrainAndRefill(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, stop := context.WithCancel(t.Context())
		table := standin.NewTable()
		audit := newAudit(table)
		f := newFleet(ctx, t, table, 24, cores(8))
		defer f.stopAndWait(stop)
		const jobs, watches = 60, 12
		for i := range jobs + watches {
			s := spec("t", cores(2))
			if i >= jobs {
				s = structs.TaskSpec{Name: "stock-watch", Kind: structs.KindWatch, Team: "t", Declared: cores(1), MaxGapMS: 10_000}
			}
			submit(t, table, fmt.Sprintf("j%02d", i), s)
		}
		limitTable(table, tableWrites)
		runScheduler(ctx, table, f)
		time.Sleep(20 * time.Second)
		in, outside := countTasks(t, table, "z0")
		must.Positive(t, in)
		must.Eq(t, jobs+watches, in+outside)

		table.Faults().Set(standin.OpCommit, standin.Fault{Latency: tableLatency, LoseProbability: 0.05})
		setZone(t, table, "z0", structs.ZoneDrained)
		time.Sleep(20 * time.Second)
		in, outside = countTasks(t, table, "z0")
		must.Zero(t, in)
		must.Eq(t, jobs+watches, outside)

		setZone(t, table, "z0", structs.ZoneActive)
		for i := range jobs {
			submit(t, table, fmt.Sprintf("k%02d", i), spec("t", cores(2)))
		}
		time.Sleep(20 * time.Second)
		in, _ = countTasks(t, table, "z0")
		must.Positive(t, in)
		must.SliceEmpty(t, audit.violations)
	})
}

// A VM on which every task fails must be avoided after a few different jobs, and the jobs
// must run elsewhere. Without the counts of failures, the best-fitting VM is chosen again
// and again until all jobs have used up their attempts.
func TestRun_AvoidsFailingVM(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, stop := context.WithCancel(t.Context())
		table := standin.NewTable()
		f := newFleet(ctx, t, table, 6, cores(8))
		defer f.stopAndWait(stop)
		putVM(t, table, structs.VM{ID: "bad", Zone: "z0", Incarnation: 1, Capacity: cores(3)}) // the best fit
		notify := func(vm string) {
			if vm != "bad" {
				f.notify(vm)
				return
			}
			f.wg.Go(func() { failAll(ctx, table, vm) })
		}
		runSchedulerWithNotify(ctx, table, f, notify)
		for i := range 12 {
			submit(t, table, fmt.Sprintf("j%02d", i), spec("t", cores(1)))
			time.Sleep(2 * time.Second)
		}
		time.Sleep(time.Minute)
		rows, err := state.List[structs.Task](ctx, table, state.TaskPrefix)
		must.NoError(t, err)
		failedRuns := 0
		for _, row := range rows {
			must.Eq(t, structs.StateRunning, row.Value.State, must.Sprint(row.Value.ID))
			failedRuns += row.Value.Attempts
		}
		must.Between(t, 1, failedRuns, 6)
	})
}

// failAll fails all tasks that are placed on the VM.
func failAll(ctx context.Context, table platform.Table, vm string) {
	for range 10 {
		row, err := state.Get[structs.VM](ctx, table, state.VMKey(vm))
		if err != nil || len(row.Value.Tasks) == 0 {
			return
		}
		tx := task.NewTx(time.Now())
		for id := range row.Value.Tasks {
			t, err := state.Get[structs.Task](ctx, table, state.TaskKey(id))
			if err != nil || t.Value.State != structs.StatePlaced {
				continue
			}
			_ = tx.Fail(t, row, task.Claim{Owner: t.Value.Owner, Fence: t.Value.Fence}, "worker failure")
		}
		if tx.Commit(ctx, table) == nil {
			return
		}
	}
}

// A reason must be written once, without writes in further passes, and a task that can
// never run must not block the others.
func TestPass_WritesReasonsOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		table := standin.NewTable()
		f := newFleet(t.Context(), t, table, 1, cores(2))
		submit(t, table, "huge", spec("t", cores(9)))
		for i := range 4 {
			submit(t, table, fmt.Sprintf("j%d", i), spec("t", cores(1)))
		}
		s := scheduler.New(scheduler.Options{}, table, control.NewHolder(), f.notify, "e", discardLogger)
		for range 20 {
			must.NoError(t, s.Pass(t.Context()))
			time.Sleep(time.Second)
		}
		must.Eq(t, "never-fits: larger than every VM", get[structs.Task](t, table, state.TaskKey("huge")).Reason)
		must.Eq(t, "no-capacity: no VM has room now", get[structs.Task](t, table, state.TaskKey("j3")).Reason)
		before := table.Counts()
		for range 60 {
			must.NoError(t, s.Pass(t.Context()))
			time.Sleep(time.Second)
		}
		must.Zero(t, table.Counts().Sub(before).Commits)
		f.wg.Wait()
	})
}

// While the table is unavailable for a minute, nothing is scheduled. Scheduling must continue
// within seconds of its return and without a burst of calls.
func TestRun_TableOutage(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, stop := context.WithCancel(t.Context())
		table := standin.NewTable()
		f := newFleet(ctx, t, table, 8, cores(8))
		defer f.stopAndWait(stop)
		runScheduler(ctx, table, f)
		time.Sleep(5 * time.Second)
		table.Faults().Set(standin.AnyOperation, standin.Fault{Down: true})
		time.Sleep(time.Minute)
		table.Faults().Clear()
		submit(t, table, "j", spec("t", cores(1)))
		before := table.Counts()
		time.Sleep(5 * time.Second)
		c := table.Counts().Sub(before)
		must.Eq(t, 1, f.startedCount())
		must.Less(t, 100, c.Gets+c.Lists+c.Commits)
	})
}

// The sweep must restore the missing queue entry of a pending task.
func TestPass_SweepRepairsQueue(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		table := standin.NewTable()
		putVM(t, table, structs.VM{ID: "v", Zone: "z", Capacity: cores(2)})
		submit(t, table, "j", spec("t", cores(1)))
		tx := state.NewTx()
		tx.DeleteUnchecked(state.QueueKey(structs.PriorityNormal, "j"))
		must.NoError(t, state.Commit(t.Context(), table, tx))
		s := newScheduler(table, "e")
		for range 3 {
			must.NoError(t, s.Pass(t.Context()))
			time.Sleep(time.Second)
		}
		must.Eq(t, structs.StatePlaced, get[structs.Task](t, table, state.TaskKey("j")).State)
	})
}

// Capacity freed on a VM that is reported as changed must be used in the next pass, long
// before the regular refresh of all VM rows.
func TestPass_UsesCapacityOfChangedVM(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		table := standin.NewTable()
		f := newFleet(t.Context(), t, table, 900, cores(1))
		s := scheduler.New(scheduler.Options{Placement: placement.Options{MaxBindings: 1000}}, table, control.NewHolder(), f.notify, "e", discardLogger)
		for i := range 901 {
			submit(t, table, fmt.Sprintf("j%03d", i), spec("t", cores(1)))
		}
		must.NoError(t, s.Pass(t.Context()))
		f.wg.Wait()
		ended := get[structs.Task](t, table, state.TaskKey("j007"))
		f.finish(task.Row{Value: ended}, false)
		must.NoError(t, s.Pass(t.Context()))
		must.Eq(t, structs.StatePending, get[structs.Task](t, table, state.TaskKey("j900")).State)
		s.VMChanged(ended.Owner.VM)
		must.NoError(t, s.Pass(t.Context()))
		// The fleet starts placed tasks in goroutines of its own.
		f.wg.Wait()
		must.Eq(t, structs.StateRunning, get[structs.Task](t, table, state.TaskKey("j900")).State)
	})
}

// A task that its VM has not started must be requeued even if the table fails at that
// moment: later passes must continue to track it.
func TestPass_StartTrackingSurvivesOutage(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		table := standin.NewTable()
		putVM(t, table, structs.VM{ID: "silent", Zone: "z", Capacity: cores(20)})
		s := newScheduler(table, "e")
		for i := range 20 {
			submit(t, table, fmt.Sprintf("j%02d", i), spec("t", cores(1)))
		}
		for range 3 {
			must.NoError(t, s.Pass(t.Context()))
		}
		in, _ := countTasks(t, table, "z")
		must.Eq(t, 20, in)
		time.Sleep(10 * time.Second)
		for _, op := range []standin.Operation{standin.OpGet, standin.OpCommit} {
			table.Faults().Set(op, standin.Fault{Refuse: true})
			must.Error(t, s.Pass(t.Context()))
			table.Faults().Clear()
		}
		for range 4 {
			time.Sleep(5 * time.Second)
			must.NoError(t, s.Pass(t.Context()))
		}
		in, _ = countTasks(t, table, "z")
		must.Zero(t, in)
	})
}
