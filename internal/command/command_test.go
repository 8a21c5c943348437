package command_test

import (
	"context"
	"errors"
	"fmt"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/shoenig/test/must"

	"bamboowood/internal/command"
	"bamboowood/internal/platform"
	"bamboowood/internal/standin"
	"bamboowood/internal/state"
	"bamboowood/internal/statement"
	"bamboowood/internal/structs"
)

func run(t tb, table platform.Table, id, text string) (statement.Result, error) {
	return command.New(table, clock).Run(t.Context(), newRequest(t, id, "ana", text))
}

func refusal(t tb, err error) *statement.Error {
	var e *statement.Error
	must.True(t, errors.As(err, &e), must.Sprintf("%v is not a *statement.Error", err))
	return e
}

// Checks the change row of each accepted command and the other rows that it writes, and
// that a dry run of it writes nothing.
func TestRun_Effects(t *testing.T) {
	cases := []struct {
		text, message, undo string
		check               func(t *testing.T, table *standin.Table)
	}{
		{"drain zone norte", "zone norte is out: 2 tasks to move", "refill zone norte", func(t *testing.T, table *standin.Table) {
			zone := get[structs.Zone](t, table, state.ZoneKey("norte"))
			must.Eq(t, structs.Zone{Name: "norte", State: structs.ZoneDrained, ChangedBy: "ana", ChangeID: "c-1", ChangedAt: epoch}, zone)
			must.Eq(t, structs.StateRunning, get[structs.Task](t, table, state.TaskKey("job-1")).State)
		}},
		{"refill zone norte", "zone norte was already in", "", nil},
		{"drain worker norte-1", "worker norte-1 is draining: 2 tasks to move", "refill worker norte-1", func(t *testing.T, table *standin.Table) {
			must.True(t, get[structs.VM](t, table, state.VMKey("norte-1")).Draining)
			must.True(t, get[state.Control](t, table, state.ControlKey).DrainingVMs["norte-1"])
		}},
		{"stop job job-1", "job job-1 is stopping", "", func(t *testing.T, table *standin.Table) {
			must.Eq(t, structs.StateStopping, get[structs.Task](t, table, state.TaskKey("job-1")).State)
			must.MapContainsKey(t, get[structs.VM](t, table, state.VMKey("norte-1")).Tasks, "job-1")
		}},
		{"stop job job-2", "job job-2 is cancelled", "", func(t *testing.T, table *standin.Table) {
			must.MapNotContainsKey(t, get[structs.VM](t, table, state.VMKey("norte-1")).Tasks, "job-2")
		}},
		{"stop watch watch-1", "watch watch-1 is cancelled", "", nil},
		{"set service glint-check wait = 300ms", "service glint-check: wait = 300ms, idempotent = true (before: wait = 200ms, idempotent = true)", "set service glint-check wait = 200ms idempotent = true", func(t *testing.T, table *standin.Table) {
			must.Eq(t, 300, get[structs.Service](t, table, state.ServiceKey("glint-check")).WaitMS)
		}},
		{"set team guild quota cores = 100", "team guild: quota 100.0 cores, 900000 MB, 4 acc (before: 200.0 cores, 900000 MB, 4 acc)", "set team guild quota cores = 200 memory = 900000MB accelerators = 4", func(t *testing.T, table *standin.Table) {
			must.Eq(t, structs.Resources{MilliCPU: 100_000, MemoryMB: 900_000, Accelerators: 4}, get[structs.Team](t, table, state.TeamKey("guild")).Quota)
		}},
		{"create service lid-check wait = 1s idempotent = false", "created service lid-check: wait = 1s, idempotent = false", "", func(t *testing.T, table *standin.Table) {
			must.Eq(t, structs.Service{Name: "lid-check", WaitMS: 1000, ChangeID: "c-1"}, get[structs.Service](t, table, state.ServiceKey("lid-check")))
		}},
		{"create watch lash-watch team = guild cores = 1 memory = 1GB gap = 30s id = w-7", "watch w-7 is submitted", "stop watch w-7", func(t *testing.T, table *standin.Table) {
			task := get[structs.Task](t, table, state.TaskKey("w-7"))
			must.Eq(t, structs.TaskSpec{Name: "lash-watch", Kind: structs.KindWatch, Team: "guild", Declared: structs.Resources{MilliCPU: 1000, MemoryMB: 1024}, MaxGapMS: 30_000}, task.Spec)
		}},
		{"submit job recalibration", "job c-1 is submitted", "stop job c-1", func(t *testing.T, table *standin.Table) {
			must.Eq(t, taskResources, get[structs.Task](t, table, state.TaskKey("c-1")).Spec.Declared)
		}},
	}
	for _, c := range cases {
		t.Run(c.text, func(t *testing.T) {
			table := newTable(t)
			before := dump(t, table)
			_, err := command.New(table, clock).DryRun(t.Context(), newRequest(t, "c-1", "ana", c.text))
			must.NoError(t, err)
			must.Eq(t, before, dump(t, table), must.Sprint("a dry run has changed rows"))
			result, err := run(t, table, "c-1", c.text)
			must.NoError(t, err)
			must.Eq(t, c.message, result.Message)
			change := get[structs.Change](t, table, state.ChangeKey(2))
			must.NotEq(t, "", change.Object)
			change.Object = ""
			must.Eq(t, structs.Change{Version: 2, ID: "c-1", Author: "ana", Statement: c.text, At: epoch, Undo: c.undo, Message: c.message}, change)
			if c.check != nil {
				c.check(t, table)
			}
		})
	}
}

func TestRun_Refusals(t *testing.T) {
	cases := []struct {
		text, setup string
		reason      statement.Reason
		detail      string
	}{
		{"drain zone nort", "", statement.NotFound, `there is no zone "nort"`},
		{"drain worker sur-9", "", statement.NotFound, `there is no worker "sur-9"`},
		{"stop job watch-1", "", statement.NotFound, "watch-1 is a watch, not a job"},
		{"stop job job-0", "", statement.NotFound, `there is no job "job-0"`},
		{"set service lid wait = 1s", "", statement.NotFound, `there is no service "lid"`},
		{"create team guild quota cores = 1", "", statement.AlreadyExists, "team guild exists already; nothing was done"},
		{"submit job big team = guild cores = 65 memory = 1GB", "", statement.CannotFit, "big asks for 65.0 cores, 1024 MB, 0 acc, which no worker has (the largest amounts are 64.0 cores, 250000 MB, 0 acc)"},
		{"submit job acc team = guild cores = 1 memory = 1GB accelerators = 5", "", statement.CannotFit, "acc asks for 1.0 cores, 1024 MB, 5 acc, but the quota of team guild is 200.0 cores, 900000 MB, 4 acc"},
		{"submit job x team = gild cores = 1 memory = 1GB", "", statement.NotFound, `there is no team "gild"`},
		{"submit job x team = guild", "", statement.InvalidValue, "x declares no resources and there is no kind of that name with a default"},
		{"cancel jobs where team = guild", "", statement.NeedsConfirm, "3 jobs would be cancelled; nothing was done"},
		{"drain zone sur", "drain zone norte", statement.NeedsForce, "without zone sur not everything can be kept: no worker is left that takes work; all tasks wait and all services stop"},
		{"undo 1", "", statement.NotFound, `there is no change "1"; see: show changes`},
		{"undo 2", "stop job job-1", statement.NotUndoable, "change 2 cannot be undone"},
		{"submit job recalibration id = job-1", "", statement.AlreadyExists, "job job-1 exists already; nothing was done"},
	}
	for _, c := range cases {
		t.Run(c.text, func(t *testing.T) {
			table := newTable(t)
			if c.setup != "" {
				_, err := run(t, table, "setup", c.setup)
				must.NoError(t, err)
			}
			before := dump(t, table)
			_, err := run(t, table, "c-1", c.text)
			e := refusal(t, err)
			must.Eq(t, c.reason, e.Reason)
			must.Eq(t, c.detail, e.Detail)
			must.Eq(t, before, dump(t, table))
		})
	}
}

// Guards against draining the only upstream of a service, or the only VM that a task
// fits, without notice: the drain is refused unless it is forced.
func TestDrain_NeedsForce(t *testing.T) {
	table := newTable(t)
	vm := get[structs.VM](t, table, state.VMKey("norte-1"))
	vm.Services = []string{"glint-check", "lid-check"}
	vm.Tasks["job-1"] = structs.Reservation{Resources: structs.Resources{MilliCPU: 1000, Accelerators: 1}}
	put(t, table, state.VMKey("norte-1"), vm)
	_, err := run(t, table, "c-1", "drain zone norte")
	e := refusal(t, err)
	must.Eq(t, statement.NeedsForce, e.Reason)
	must.Eq(t, "without zone norte not everything can be kept: service lid-check has no other upstream; "+
		"task job-1 fits no other worker (1.0 cores, 0 MB, 1 acc)", e.Detail)
	_, err = run(t, table, "c-2", "drain zone norte force")
	must.NoError(t, err)
	must.Eq(t, structs.ZoneDrained, get[structs.Zone](t, table, state.ZoneKey("norte")).State)
}

// race executes statement a for one operator and statement b for another, between the
// decision and the commit of a.
func race(t *testing.T, table *standin.Table, a, b string) (errA, errB error) {
	h := &hookedTable{Table: table}
	h.beforeCommit = func(platform.Tx) error {
		h.beforeCommit = nil
		_, errB = command.New(table, clock).Run(t.Context(), newRequest(t, "b", "bea", b))
		return nil
	}
	_, errA = command.New(h, clock).Run(t.Context(), newRequest(t, "a", "ana", a))
	return errA, errB
}

// Guards against lost updates when two operators decide at once. Without the comparison
// of the object's last change, the first silently overwrites the zone state of the
// second. Without the check of the control row, both zones are drained.
func TestRun_Races(t *testing.T) {
	cases := []struct {
		name, setup, a, b string
		reason            statement.Reason
		inForce           string
	}{
		{
			"same zone, opposite", "drain zone norte", "drain zone norte", "refill zone norte", statement.Conflict,
			`zone norte is in; change 3: "refill zone norte" by bea at 2026-03-01T08:00:00Z`,
		},
		{
			"same service", "drain zone norte", "set service glint-check wait = 300ms", "set service glint-check wait = 400ms", statement.Conflict,
			`service glint-check: wait = 400ms, idempotent = true; change 3: "set service glint-check wait = 400ms" by bea at 2026-03-01T08:00:00Z`,
		},
		{
			"same worker", "drain worker sur-1", "drain worker sur-1", "refill worker sur-1", statement.Conflict,
			`worker sur-1 takes work; change 3: "refill worker sur-1" by bea at 2026-03-01T08:00:00Z`,
		},
		{"same new team", "drain zone norte", "create team a quota cores = 1", "create team a quota cores = 2", statement.AlreadyExists, "team a: quota 2.0 cores, 0 MB, 0 acc"},
		{"last two zones", "set service glint-check wait = 300ms", "drain zone norte", "drain zone sur", statement.NeedsForce, ""},
		{"different objects", "drain zone norte", "set team guild quota cores = 3", "refill zone norte", "", ""},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			table := newTable(t)
			_, err := run(t, table, "setup", c.setup)
			must.NoError(t, err)
			errA, errB := race(t, table, c.a, c.b)
			must.NoError(t, errB)
			if c.reason == "" {
				must.NoError(t, errA)
				must.Eq(t, 4, version(t, table))
				return
			}
			e := refusal(t, errA)
			must.Eq(t, c.reason, e.Reason)
			must.Eq(t, c.inForce, e.InForce)
			must.Eq(t, 3, version(t, table))
		})
	}
}

// A command that is sent with one id to two entries at once takes effect once, and both
// entries report its success.
func TestRun_SameIDTwiceAtOnce(t *testing.T) {
	table := newTable(t)
	h := &hookedTable{Table: table}
	h.beforeCommit = func(platform.Tx) error {
		h.beforeCommit = nil
		_, err := run(t, table, "c-1", "submit job recalibration")
		return err
	}
	result, err := run(t, h, "c-1", "submit job recalibration")
	must.NoError(t, err)
	must.Eq(t, 2, result.Version)
	must.Eq(t, 2, version(t, table))
	_, err = run(t, table, "c-1", "drain zone norte")
	must.Eq(t, statement.IDReused, refusal(t, err).Reason)
}

// Undo reverts a change only if its object has not changed after it. The comments give
// the control version of each command.
func TestUndo(t *testing.T) {
	table := newTable(t)
	steps := []struct {
		text   string
		reason statement.Reason
	}{
		{"set service glint-check wait = 300ms", ""}, // 2
		{"undo 2", ""},                               // 3
		{"undo 3", ""},                               // 4: 300ms again
		{"undo 2", statement.Conflict},               // changed after 2, by 4
		{"drain worker sur-1", ""},                   // 5
		{"refill worker sur-1", ""},                  // 6
		{"drain worker sur-1", ""},                   // 7
		{"undo 5", statement.Conflict},               // 7 is the last change
		{"undo 7", ""},                               // 8
		{"drain zone norte", ""},                     // 9
		{"set service glint-check wait = 400ms", ""}, // 10
		{"undo 9", ""},                               // 11
		{"dry run set service glint-check wait = 1s", ""},
	}
	for i, s := range steps {
		_, err := run(t, table, fmt.Sprintf("c-%d", i), s.text)
		if s.reason == "" {
			must.NoError(t, err, must.Sprint(s.text))
		} else {
			must.Eq(t, s.reason, refusal(t, err).Reason, must.Sprint(s.text))
		}
		if s.text == "undo 3" {
			must.Eq(t, 300, get[structs.Service](t, table, state.ServiceKey("glint-check")).WaitMS)
		}
	}
	must.Eq(t, 11, version(t, table))
	must.Eq(t, structs.ZoneActive, get[structs.Zone](t, table, state.ZoneKey("norte")).State)
	must.False(t, get[structs.VM](t, table, state.VMKey("sur-1")).Draining)
}

// Guards against a bulk cancellation that is lost with its process. Another process
// completes it from its row; without the row, the remaining jobs stay pending for ever.
// Jobs that are submitted after the command was accepted are not cancelled.
func TestCancelJobs_BulkCancel(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		table := newTable(t)
		for i := range 60 {
			putTask(t, table, structs.Task{ID: fmt.Sprintf("pending-%03d", i), State: structs.StatePending})
		}
		absentOwner := structs.Owner{VM: "absent", Incarnation: 1}
		putTask(t, table, structs.Task{ID: "absent-vm-job", State: structs.StateRunning, Owner: absentOwner, Reserved: taskResources, Fence: 1})
		h := &hookedTable{Table: table}
		commits := 0
		h.beforeCommit = func(platform.Tx) error {
			if commits++; commits > 2 {
				return platform.ErrUnavailable
			}
			return nil
		}
		result, err := run(t, h, "c-1", "cancel jobs where team = guild confirm")
		must.NoError(t, err)
		must.Eq(t, statement.Progress{Object: "jobs", Tasks: 40}, *result.Progress)
		putTask(t, table, structs.Task{ID: "later", State: structs.StatePending})
		must.NoError(t, command.New(table, clock).FinishBulkCancels(t.Context()))
		for i := range 60 {
			must.Eq(t, structs.StateCancelled, get[structs.Task](t, table, state.TaskKey(fmt.Sprintf("pending-%03d", i))).State)
		}
		must.Eq(t, structs.StateStopping, get[structs.Task](t, table, state.TaskKey("job-1")).State)
		must.Eq(t, structs.StateCancelled, get[structs.Task](t, table, state.TaskKey("job-2")).State)
		must.Eq(t, structs.StatePending, get[structs.Task](t, table, state.TaskKey("later")).State)
		must.Eq(t, structs.StatePending, get[structs.Task](t, table, state.TaskKey("watch-1")).State)
		// The VM of one job has no row, which must not delay the other jobs.
		result, err = run(t, table, "c-1", "cancel jobs where team = guild confirm")
		must.NoError(t, err)
		must.Eq(t, statement.Progress{Object: "jobs", Tasks: 1}, *result.Progress)
		put(t, table, state.VMKey("absent"), structs.VM{ID: "absent", Incarnation: 1, Tasks: map[string]structs.Reservation{"absent-vm-job": {Resources: taskResources, Fence: 1}}})
		result, err = run(t, table, "c-1", "cancel jobs where team = guild confirm")
		must.NoError(t, err)
		must.True(t, result.Progress.Done)
		must.Eq(t, structs.StateStopping, get[structs.Task](t, table, state.TaskKey("absent-vm-job")).State)
		must.Eq(t, 2, version(t, table))
	})
}

// Only the holder of the scheduling lease continues bulk cancellations. A failure of the
// table is reported and does not end the loop.
func TestRunBulkCancels(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		table := newTable(t)
		h := &hookedTable{Table: table}
		commits := 0
		h.beforeCommit = func(platform.Tx) error {
			if commits++; commits > 1 {
				return platform.ErrUnavailable
			}
			return nil
		}
		_, err := run(t, h, "c-1", "cancel jobs where team = guild confirm")
		must.NoError(t, err)
		ctx, cancel := context.WithCancel(t.Context())
		var isScheduler atomic.Bool
		var failures atomic.Int32
		finished := make(chan error)
		go func() {
			finished <- command.New(table, clock).RunBulkCancels(ctx, time.Minute, isScheduler.Load, func(error) { failures.Add(1) })
		}()
		pending := func() bool { return rowExists(t, table, state.BulkCancelKey("c-1")) }
		time.Sleep(150 * time.Second)
		synctest.Wait()
		must.True(t, pending())
		isScheduler.Store(true)
		table.Faults().Set(standin.AnyOperation, standin.Fault{Refuse: true})
		time.Sleep(time.Minute)
		synctest.Wait()
		must.Eq(t, 1, failures.Load())
		table.Faults().Clear()
		must.True(t, pending())
		time.Sleep(time.Minute)
		synctest.Wait()
		must.False(t, pending())
		cancel()
		must.NoError(t, <-finished)
	})
}

// Guards against a starting entry that overwrites existing configuration with its
// settings. Two entries start at once: each row is created once. Without the version
// checks, the second start resets the changed wait of a service.
func TestBootstrap_NeverOverwrites(t *testing.T) {
	table := newTable(t)
	_, err := run(t, table, "c-1", "set service glint-check wait = 300ms")
	must.NoError(t, err)
	config := structs.Config{
		Services: map[string]structs.Service{"glint-check": {Name: "glint-check", WaitMS: 100}, "lid-check": {Name: "lid-check", WaitMS: 100}},
		Zones:    map[string]structs.Zone{"norte": {Name: "norte", State: structs.ZoneDrained}},
	}
	h := &hookedTable{Table: table}
	h.beforeCommit = func(platform.Tx) error {
		h.beforeCommit = nil
		otherConfig := config
		otherConfig.Services = map[string]structs.Service{"lid-check": {Name: "lid-check", WaitMS: 999}}
		return command.New(table, clock).Bootstrap(t.Context(), otherConfig)
	}
	must.NoError(t, command.New(h, clock).Bootstrap(t.Context(), config))
	must.Eq(t, 300, get[structs.Service](t, table, state.ServiceKey("glint-check")).WaitMS)
	must.Eq(t, 999, get[structs.Service](t, table, state.ServiceKey("lid-check")).WaitMS)
	must.Eq(t, structs.ZoneActive, get[structs.Zone](t, table, state.ZoneKey("norte")).State)
	must.Eq(t, 3, version(t, table))
}

func TestSubmitTask_IDReused(t *testing.T) {
	c := command.New(newTable(t), clock)
	spec := structs.TaskSpec{Name: "recalibration", Kind: structs.KindBatch, Team: "guild", Declared: taskResources}
	first, err := c.SubmitTask(t.Context(), "j", spec)
	must.NoError(t, err)
	must.Eq(t, structs.StatePending, first.State)
	spec.Declared.MilliCPU++
	_, err = c.SubmitTask(t.Context(), "j", spec)
	must.Eq(t, statement.IDReused, refusal(t, err).Reason)
	spec.Kind = "nightly"
	_, err = c.SubmitTask(t.Context(), "k", spec)
	must.Eq(t, "kind must be oneof batch watch", refusal(t, err).Detail)
}
