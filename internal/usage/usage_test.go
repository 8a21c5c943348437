package usage_test

import (
	"fmt"
	"math/rand/v2"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/shoenig/test/must"

	"bamboowood/internal/standin"
	"bamboowood/internal/state"
	"bamboowood/internal/structs"
	"bamboowood/internal/usage"
)

// Many agents report concurrently while some answers are lost. The stored peak ends within one
// step of the highest usage, never above it, and is written only a few times. Without the cache
// of peaks, each report would read the row.
func TestRecorder(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const agents, reports, most = 20, 50, 10_000
		table := standin.NewTable()
		table.Faults().Set(standin.AnyOperation, standin.Fault{Jitter: 10 * time.Millisecond, LoseProbability: 0.05})
		var wg sync.WaitGroup
		for i := range agents {
			random := rand.New(rand.NewPCG(uint64(i), 0))
			recorder := usage.NewRecorder(table)
			wg.Go(func() {
				for j := range reports {
					used := structs.Resources{MilliCPU: 1000 + random.Int64N(most-1000)}
					if j > reports/2 {
						used.MilliCPU = most
					}
					_ = recorder.Report(t.Context(), "fee-run", used) // a lost answer is left to the next report
					time.Sleep(time.Second)
				}
			})
		}
		wg.Wait()
		table.Faults().Clear()
		peak, err := state.Get[structs.Peak](t.Context(), table, state.PeakKey("fee-run"))
		must.NoError(t, err)
		must.Between(t, most*100/105, peak.Value.Used.MilliCPU, most, must.Sprint(fmt.Sprint(peak)))
		c := table.Counts()
		must.Less(t, agents*reports/5, c.Gets)
		must.Less(t, agents*5, c.Commits)
	})
}
