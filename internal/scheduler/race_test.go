package scheduler_test

import (
	"context"
	"encoding/json"
	"fmt"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/shoenig/test/must"
	"pgregory.net/rapid"

	"bamboowood/internal/control"
	"bamboowood/internal/platform"
	"bamboowood/internal/scheduler"
	"bamboowood/internal/standin"
	"bamboowood/internal/state"
	"bamboowood/internal/structs"
	"bamboowood/internal/task"
)

// audit checks after every transaction that no VM exceeds its capacity, that no task is
// placed in a drained zone, and that each task that holds resources is reserved on its owner
// alone.
type audit struct {
	vms        map[string]structs.VM
	tasks      map[string]structs.Task
	zones      map[string]structs.Zone
	violations []string
}

func newAudit(table *standin.Table) *audit {
	a := &audit{map[string]structs.VM{}, map[string]structs.Task{}, map[string]structs.Zone{}, nil}
	table.OnCommit(func(tx platform.Tx, _ int64) { a.apply(tx) })
	return a
}

// load adds the VM rows that are already in the table.
func (a *audit) load(t must.T, table platform.Table) {
	t.Helper()
	rows, err := state.List[structs.VM](context.Background(), table, state.VMPrefix)
	must.NoError(t, err)
	for _, row := range rows {
		a.vms[row.Value.ID] = row.Value
	}
}

func (a *audit) addViolation(format string, args ...any) {
	a.violations = append(a.violations, fmt.Sprintf(format, args...))
}

func (a *audit) apply(tx platform.Tx) {
	for _, w := range tx.Writes {
		switch {
		case strings.HasPrefix(w.Key, state.VMPrefix):
			vm := decodeRow[structs.VM](w)
			a.vms[vm.ID] = vm
			if !vm.Reserved().Fits(vm.Capacity) {
				a.addViolation("%s reserves %s of %s", vm.ID, vm.Reserved(), vm.Capacity)
			}
		case strings.HasPrefix(w.Key, state.ZonePrefix):
			zone := decodeRow[structs.Zone](w)
			a.zones[zone.Name] = zone
		case strings.HasPrefix(w.Key, state.TaskPrefix):
			t := decodeRow[structs.Task](w)
			before := a.tasks[t.ID]
			if t.State == structs.StatePlaced && before.State != structs.StatePending {
				a.addViolation("%s was placed while %s", t.ID, before.State)
			}
			if t.State == structs.StatePlaced && t.Fence <= before.Fence {
				a.addViolation("%s was placed without a higher fence", t.ID)
			}
			a.tasks[t.ID] = t
		}
	}
	for _, w := range tx.Writes {
		if strings.HasPrefix(w.Key, state.TaskPrefix) {
			a.check(a.tasks[strings.TrimPrefix(w.Key, state.TaskPrefix)])
		}
	}
}

func (a *audit) check(t structs.Task) {
	if t.State == structs.StatePlaced && a.zones[a.vms[t.Owner.VM].Zone].State == structs.ZoneDrained {
		a.addViolation("%s was placed in a drained zone", t.ID)
	}
	for id, vm := range a.vms {
		if _, reserved := vm.Tasks[t.ID]; reserved != (t.State.HoldsResources() && t.Owner.VM == id) {
			a.addViolation("%s is %s on %q, reserved on %s: %t", t.ID, t.State, t.Owner.VM, id, reserved)
		}
	}
}

func decodeRow[T any](w platform.Write) T {
	row, err := state.Decode[T](platform.Row{Key: w.Key, Value: w.Value, Version: 1})
	if err != nil {
		panic(err)
	}
	return row.Value
}

// Several schedulers that all assume that they hold the lease share a table that is slow and
// loses responses, while a zone is drained and refilled and tasks are requeued. Without the
// check of the VM rows' versions, VMs exceed their capacity; without that of the task rows,
// tasks are placed twice; without that of the zone rows, tasks are placed in a drained zone.
func TestPass_ConcurrentSchedulersKeepInvariants(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		seed := rapid.Uint64().Draw(rt, "seed")
		schedulers := rapid.IntRange(2, 4).Draw(rt, "schedulers")
		vms := rapid.IntRange(1, 4).Draw(rt, "vms")
		disjoint := rapid.Bool().Draw(rt, "disjoint")
		jobs := rapid.IntRange(1, 30).Draw(rt, "jobs")
		fault := standin.Fault{
			Jitter: 20 * time.Millisecond, LoseProbability: rapid.SampledFrom([]float64{0, 0.1, 0.4}).Draw(rt, "lose"),
		}
		table := standin.NewTable()
		audit := newAudit(table)
		synctest.Test(t, func(t *testing.T) {
			for i := range vms {
				putVM(t, table, structs.VM{ID: fmt.Sprintf("v%d", i), Zone: fmt.Sprintf("z%d", i%2), Capacity: cores(6), ServiceReserve: cores(1)})
			}
			for i := range jobs {
				s := spec(teamName(i), cores(int64(1+i%3)))
				if i%7 == 0 {
					s.Priority = structs.PriorityUrgent
				}
				submit(t, table, fmt.Sprintf("j%d", i), s)
			}
			table.Faults().Seed(seed)
			table.Faults().Set(standin.AnyOperation, fault)
			var wg sync.WaitGroup
			for i := range schedulers {
				s := newScheduler(table, fmt.Sprintf("e%d", i))
				if disjoint {
					s = newSchedulerForTeam(table, fmt.Sprintf("e%d", i), teamName(i))
				}
				wg.Go(func() {
					for range 6 {
						_ = s.Pass(t.Context()) // lost responses make passes fail
					}
				})
			}
			wg.Go(func() { toggleZone(t.Context(), table) })
			wg.Go(func() { requeueSome(t.Context(), table) })
			wg.Wait()
		})
		must.SliceEmpty(rt, audit.violations)
	})
}

// newSchedulerForTeam returns a scheduler with an outdated configuration in which all teams
// but one have a quota of zero, so that several schedulers assign the same capacity to
// different tasks.
func newSchedulerForTeam(table platform.Table, name, team string) *scheduler.Scheduler {
	holder := control.NewHolder()
	config := &structs.Config{Version: 1, Teams: map[string]structs.Team{}}
	for i := range teams {
		if other := teamName(i); other != team {
			config.Teams[other] = structs.Team{Name: other}
		}
	}
	holder.Merge(config)
	return scheduler.New(scheduler.Options{}, table, holder, func(string) {}, name, discardLogger)
}

const teams = 3

func teamName(i int) string { return fmt.Sprintf("t%d", i%teams) }

// toggleZone drains and refills zone z0 repeatedly.
func toggleZone(ctx context.Context, table platform.Table) {
	for i := range 8 {
		time.Sleep(15 * time.Millisecond)
		row, err := state.Get[structs.Zone](ctx, table, state.ZoneKey("z0"))
		if err != nil {
			continue
		}
		tx := state.NewTx()
		next := structs.Zone{Name: "z0", State: structs.ZoneDrained}
		if i%2 == 1 {
			next.State = structs.ZoneActive
		}
		tx.Put(state.ZoneKey("z0"), row.Version, next)
		_ = state.Commit(ctx, table, tx)
	}
}

// requeueSome requeues the tasks placed on v0, as an agent that releases them does.
func requeueSome(ctx context.Context, table platform.Table) {
	for range 6 {
		time.Sleep(20 * time.Millisecond)
		vm, err := state.Get[structs.VM](ctx, table, state.VMKey("v0"))
		if err != nil {
			continue
		}
		tx := task.NewTx(time.Now())
		for id := range vm.Value.Tasks {
			row, err := state.Get[structs.Task](ctx, table, state.TaskKey(id))
			if err != nil {
				continue
			}
			_ = tx.Requeue(row, vm, "", "given back")
		}
		if !tx.Empty() {
			_ = tx.Commit(ctx, table)
		}
	}
}

// The queue's index must contain exactly the pending tasks after faults of the table.
func TestQueueIndex_MatchesTasks(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		table := standin.NewTable()
		putVM(t, table, structs.VM{ID: "v0", Zone: "z1", Capacity: cores(6)})
		for i := range 20 {
			submit(t, table, fmt.Sprintf("j%02d", i), spec("t", cores(1)))
		}
		table.Faults().Set(standin.AnyOperation, standin.Fault{LoseProbability: 0.3, Jitter: 10 * time.Millisecond})
		s := newScheduler(table, "e")
		go requeueSome(t.Context(), table)
		for range 10 {
			_ = s.Pass(t.Context())
		}
		time.Sleep(10 * time.Second)
		table.Faults().Clear()
		rows, err := state.List[structs.Task](t.Context(), table, state.TaskPrefix)
		must.NoError(t, err)
		for _, row := range rows {
			entry, err := state.Get[json.RawMessage](t.Context(), table, state.QueueKey(row.Value.Spec.Priority, row.Value.ID))
			must.NoError(t, err)
			must.Eq(t, row.Value.State == structs.StatePending, entry.Exists(), must.Sprint(row.Value.ID, row.Value.State))
		}
	})
}
