package scheduler_test

import (
	"context"
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"github.com/shoenig/test/must"

	"bamboowood/internal/control"
	"bamboowood/internal/scheduler"
	"bamboowood/internal/standin"
	"bamboowood/internal/structs"
)

// Limits and latency of the platform's table.
const (
	tableReads   = 2000 // per second
	tableWrites  = 300  // per second
	tableLatency = 5 * time.Millisecond
	// urgentBound is the maximum time from submission to start of an urgent task.
	urgentBound = 7200 * time.Millisecond
)

func limitTable(table *standin.Table, writes float64) {
	table.Limit(tableReads, writes)
	table.Faults().Set(standin.AnyOperation, standin.Fault{Latency: tableLatency, Jitter: tableLatency})
}

func runScheduler(ctx context.Context, table *standin.Table, f *fleet) {
	runSchedulerWithNotify(ctx, table, f, f.notify)
}

func runSchedulerWithNotify(ctx context.Context, table *standin.Table, f *fleet, notify func(vm string)) {
	s := scheduler.New(scheduler.Options{}, table, control.NewHolder(), notify, "e1", discardLogger)
	f.wg.Go(func() { _ = s.Run(ctx) })
}

// Urgent tasks must start within urgentBound even if every VM is full and the queue is
// long. Without preemption none of them starts. In the case of a dead VM, its free capacity
// attracts the first task. Without start tracking this task waits for the expiry of the
// VM's lease, which does not expire in this test.
func TestRun_UrgentWithFullQueue(t *testing.T) {
	cases := []struct {
		name  string
		fault func(t *testing.T, table *standin.Table, f *fleet)
	}{
		{"no fault", func(*testing.T, *standin.Table, *fleet) {}},
		{"dead VM", func(t *testing.T, table *standin.Table, f *fleet) {
			f.mu.Lock()
			defer f.mu.Unlock()
			f.dead["dead"] = true
			putVM(t, table, structs.VM{ID: "dead", Zone: "z0", Incarnation: 1, Capacity: cores(6)})
		}},
		{"drained zone", func(t *testing.T, table *standin.Table, _ *fleet) { setZone(t, table, "z0", structs.ZoneDrained) }},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) { urgentStarts(t, c.fault) })
		})
	}
}

func urgentStarts(t *testing.T, fault func(t *testing.T, table *standin.Table, f *fleet)) {
	const vms, backlog, urgents = 24, 1000, 10
	ctx, stop := context.WithCancel(t.Context())
	table := standin.NewTable()
	f := newFleet(ctx, t, table, vms, cores(8))
	defer f.stopAndWait(stop)
	for i := range backlog {
		submit(t, table, fmt.Sprintf("b%04d", i), spec(fmt.Sprintf("t%d", i%20), cores(int64(1+i%4))))
	}
	limitTable(table, tableWrites)
	runScheduler(ctx, table, f)
	time.Sleep(time.Minute)
	must.Greater(t, 2*vms, f.startedCount())
	fault(t, table, f)
	worst := time.Duration(0)
	for i := range urgents {
		id := fmt.Sprintf("u%02d", i)
		s := spec("u", cores(int64(1+i%6)))
		s.Priority = structs.PriorityUrgent
		submitted := time.Now()
		submit(t, table, id, s)
		at, ok := f.waitStart(id, 2*urgentBound)
		must.True(t, ok, must.Sprintf("%s did not start", id))
		worst = max(worst, at.Sub(submitted))
	}
	t.Logf("urgent start, worst of %d: %s; evictions %d", urgents, worst, f.evicted)
	must.LessEq(t, urgentBound, worst)
}

// 50 submissions per second for 900 VMs must be started at the same rate within the table's
// limit, including the writes of the agents. The lease renewals of 900 VMs, 90 per second,
// are subtracted from the limit.
func TestRun_StartsWithinTableLimit(t *testing.T) {
	const vms, perSecond, seconds, renewals = 900, 50, 20, 90
	synctest.Test(t, func(t *testing.T) {
		ctx, stop := context.WithCancel(t.Context())
		table := standin.NewTable()
		f := newFleet(ctx, t, table, vms, cores(16))
		defer f.stopAndWait(stop)
		limitTable(table, tableWrites-renewals)
		runScheduler(ctx, table, f)
		time.Sleep(5 * time.Second)
		before, start := table.Counts(), time.Now()
		for i := range perSecond * seconds {
			next := start.Add(time.Duration(i) * time.Second / perSecond)
			time.Sleep(time.Until(next))
			f.wg.Go(func() { submit(t, table, fmt.Sprintf("j%04d", i), spec(fmt.Sprintf("t%d", i%40), cores(int64(1+i%4)))) })
		}
		took := time.Since(start)
		started := f.startedCount()
		time.Sleep(5 * time.Second)
		c := table.Counts().Sub(before)
		rate := float64(started) / took.Seconds()
		t.Logf("%.1f starts/s; of all %d: %d started 5 s later; commits/s %.0f (and %d renewals), rows written/s %.0f, reads/s %.0f, KB read/s %.0f, conflicts %d",
			rate, perSecond*seconds, f.startedCount(), float64(c.Commits)/took.Seconds(), renewals, float64(c.RowsWritten)/took.Seconds(),
			float64(c.Gets+c.Lists)/took.Seconds(), float64(c.BytesRead)/1024/took.Seconds(), c.Conflicts)
		must.Eq(t, perSecond*seconds, f.startedCount())
		must.GreaterEq(t, 0.95*perSecond, rate)
	})
}

// An idle scheduler with 900 VMs and 6,300 running tasks must make few calls of the table.
func TestRun_IdleCost(t *testing.T) {
	const vms, perVM, seconds = 900, 7, 120
	synctest.Test(t, func(t *testing.T) {
		ctx, stop := context.WithCancel(t.Context())
		table := standin.NewTable()
		f := &fleet{ctx: ctx, table: table}
		defer f.stopAndWait(stop)
		for i := range vms {
			vm := structs.VM{ID: fmt.Sprintf("v%03d", i), Zone: fmt.Sprintf("z%d", i%4), Capacity: cores(64), Tasks: map[string]structs.Reservation{}}
			for j := range perVM {
				task := structs.Task{Spec: spec(fmt.Sprintf("team-%d", j), cores(4)), Fence: 1, Reserved: cores(4)}
				vm.Tasks[fmt.Sprintf("recalibration-%d-%d", i, j)] = structs.NewReservation(task, time.Now())
			}
			putVM(t, table, vm)
		}
		runSchedulerWithNotify(ctx, table, f, func(string) {})
		time.Sleep(10 * time.Second)
		before := table.Counts()
		time.Sleep(seconds * time.Second)
		c := table.Counts().Sub(before)
		t.Logf("a second: %.1f reads, %.1f commits, %.1f KB", float64(c.Gets+c.Lists)/seconds, float64(c.Commits)/seconds,
			float64(c.BytesRead)/1024/seconds)
		must.Less(t, 12*seconds, c.Gets+c.Lists)
		must.Less(t, 2*seconds, c.Commits)
	})
}
