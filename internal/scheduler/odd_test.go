package scheduler_test

import (
	"testing"

	"github.com/shoenig/test/must"

	"bamboowood/internal/platform"
	"bamboowood/internal/standin"
	"bamboowood/internal/state"
	"bamboowood/internal/structs"
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
