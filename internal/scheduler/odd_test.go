package scheduler_test

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"bamboowood/internal/platform"
	"bamboowood/internal/recovery"
	"bamboowood/internal/standin"
	"bamboowood/internal/state"
	"bamboowood/internal/structs"
	"bamboowood/internal/task"
)

func putRaw(t *testing.T, table platform.Table, key, value string) {
	t.Helper()
	_, err := table.Commit(t.Context(), platform.Tx{Writes: []platform.Write{{Key: key, Value: []byte(value)}}})
	must.NoError(t, err)
}

// Guards against one odd row in any list that ends all scheduling.
func TestPass_OddRowsAmongOthers(t *testing.T) {
	for name, value := range map[string]string{"no JSON": "odd", "other type": `{"tx":"x","data":[7]}`} {
		t.Run(name, func(t *testing.T) {
			for _, prefix := range []string{
				state.VMPrefix, state.ZonePrefix, state.UrgentQueuePrefix, state.NormalQueuePrefix, state.PeakPrefix,
				state.TaskPrefix, state.ServicePrefix, state.TeamPrefix, state.KindPrefix,
			} {
				table := standin.NewTable()
				putVM(t, table, structs.VM{ID: "v1", Zone: "a", Incarnation: 7, Capacity: cores(4)})
				submit(t, table, "j", spec("t", cores(1)))
				putRaw(t, table, prefix+"odd", value)
				must.NoError(t, newScheduler(table, "e1").Pass(t.Context()), must.Sprint(prefix))
				must.Eq(t, structs.StatePlaced, get[structs.Task](t, table, state.TaskKey("j")).State, must.Sprint(prefix))
				_, err := state.LoadConfig(t.Context(), table)
				must.NoError(t, err, must.Sprint(prefix))
			}
		})
	}
}

// Guards against a lease row of another writer that names a live VM: its tasks were requeued while
// they ran.
func TestRecovery_OddLeaseRows(t *testing.T) {
	table := standin.NewTable()
	putVM(t, table, structs.VM{ID: "v1", Zone: "a", Incarnation: 7, Capacity: cores(4)})
	submit(t, table, "j", spec("t", cores(1)))
	must.NoError(t, newScheduler(table, "e1").Pass(t.Context()))
	tx := task.NewTx(time.Now())
	tx.Put("lease/odd", 0, structs.Lease{VM: "v1", Incarnation: 99, DurationMS: 1, Revoked: true})
	must.NoError(t, tx.Commit(t.Context(), table))
	putRaw(t, table, "lease/no-json", "odd")
	r := recovery.New(recovery.Options{}, table, discardLogger)
	must.NoError(t, r.Pass(t.Context()))
	must.Eq(t, structs.StatePlaced, get[structs.Task](t, table, state.TaskKey("j")).State)
}
