package sessions_test

import (
	"fmt"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/apex/log"
	"github.com/apex/log/handlers/discard"
	"github.com/shoenig/test/must"

	"bamboowood/internal/command"
	"bamboowood/internal/control"
	"bamboowood/internal/ingress"
	"bamboowood/internal/operators"
	"bamboowood/internal/query"
	"bamboowood/internal/standin"
	"bamboowood/internal/state"
	"bamboowood/internal/structs"
)

// tasksPerWorker is the number of tasks on each worker.
const tasksPerWorker = 7

// BenchmarkStatements measures the time, the table calls and the rows read of
// statements at three sizes of the deployment.
func BenchmarkStatements(b *testing.B) {
	log.SetHandler(discard.New())
	for _, workers := range []int{100, 300, 900} {
		d := newFleet(b, workers)
		for _, text := range []string{
			"show zones", "show jobs where state = pending limit 20", "explain job job-7", "show alarms", "show changes limit 20",
			"drain zone z1", "set service s wait = 300ms", "submit job j team = t cores = 1 memory = 1GB", "dry run cancel jobs where state = pending",
		} {
			b.Run(fmt.Sprintf("%d workers/%s", workers, strings.Join(strings.Fields(text)[:2], " ")), func(b *testing.B) {
				before := d.table.Counts()
				for b.Loop() {
					d.post(b, text)
				}
				counts := d.table.Counts().Sub(before)
				n := float64(b.N)
				b.ReportMetric(float64(counts.Gets+counts.Lists)/n, "reads/op")
				b.ReportMetric(float64(counts.RowsRead)/n, "rows-read/op")
				b.ReportMetric(float64(counts.BytesRead)/n, "bytes-read/op")
				b.ReportMetric(float64(counts.RowsWritten)/n, "rows-written/op")
			})
		}
	}
}

type fleet struct {
	*deployment
	post func(b *testing.B, text string)
}

func newFleet(b *testing.B, workers int) *fleet {
	ctx := b.Context()
	table := standin.NewTable()
	commander := command.New(table, time.Now)
	must.NoError(b, commander.Bootstrap(ctx, structs.Config{
		Services: map[string]structs.Service{"s": {Name: "s", WaitMS: 200}},
		Teams:    map[string]structs.Team{"t": {Name: "t", Quota: structs.Resources{MilliCPU: 1 << 40, MemoryMB: 1 << 40}}},
	}))
	size := structs.Resources{MilliCPU: 1000, MemoryMB: 1024}
	for w := range workers {
		vm := structs.VM{
			ID: fmt.Sprintf("vm-%d", w), Zone: fmt.Sprintf("z%d", w%4), Rack: fmt.Sprintf("r%d", w/3), Capacity: vmSize,
			Services: []string{"s"}, Tasks: map[string]structs.Reservation{},
		}
		for i := range tasksPerWorker {
			t := structs.Task{
				ID: fmt.Sprintf("job-%d", w*tasksPerWorker+i), State: structs.StateRunning, Owner: structs.Owner{VM: vm.ID}, Reserved: size, Fence: 1,
				Spec: structs.TaskSpec{Name: "j", Kind: structs.KindBatch, Team: "t", Declared: size}, SubmittedAt: time.Now(),
				History: make([]structs.Transition, 3),
			}
			vm.Tasks[t.ID] = structs.NewReservation(t, t.SubmittedAt)
			must.NoError(b, put(ctx, table, state.TaskKey(t.ID), t))
		}
		must.NoError(b, put(ctx, table, state.VMKey(vm.ID), vm))
		must.NoError(b, put(ctx, table, state.LeaseKey(vm.ID), structs.Lease{VM: vm.ID, DurationMS: 30_000}))
	}
	d := &deployment{table: table, control: control.NewHolder(), inFlight: map[string]int{}}
	must.NoError(b, d.reload(ctx))
	handler := operators.Handler(operators.Options{
		Commander: commander, Queries: query.New(table, d, d.control),
		Tokens: []operators.Token{{Name: "a", Secret: "t", Role: operators.RoleOperate}},
		Bodies: ingress.NewGate(bodiesLimit, 0, nil),
	})
	return &fleet{deployment: d, post: func(b *testing.B, text string) {
		r := httptest.NewRequest("POST", "/v1/statements", strings.NewReader(fmt.Sprintf(`{"statement": %q}`, text)))
		r.Header.Set("Authorization", "Bearer t")
		w := httptest.NewRecorder()
		handler.ServeHTTP(w, r)
		must.Eq(b, 200, w.Code, must.Sprint(w.Body.String()))
	}}
}
