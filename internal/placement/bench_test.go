package placement_test

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"bamboowood/internal/colocation"
	"bamboowood/internal/placement"
	"bamboowood/internal/structs"
)

// Sizes of the benchmark.
const (
	benchVMs      = 900
	benchReserved = 6000
	benchPending  = 6000
	benchTeams    = 340
)

// randomSize returns a size from a mixed load: most tasks are small, some use an
// accelerator, few need most of a VM.
func randomSize(random *rand.Rand) structs.Resources {
	switch p := random.IntN(100); {
	case p < 60:
		return cores(int64(1+random.IntN(4)), int64(1000+random.IntN(8000)), 0)
	case p < 85:
		return cores(int64(4+random.IntN(8)), int64(8000+random.IntN(24000)), 0)
	case p < 95:
		return cores(int64(2+random.IntN(6)), int64(8000+random.IntN(16000)), 1)
	}
	return cores(int64(32+random.IntN(24)), int64(100000+random.IntN(100000)), 0)
}

// newSnapshot returns VMs of two sizes, some with accelerators, in racks of three, with
// running tasks spread over them, and pending tasks.
func newSnapshot(vms, reserved, pending int, seed uint64) *placement.Snapshot {
	random := rand.New(rand.NewPCG(seed, 0))
	s := &placement.Snapshot{Quotas: map[string]structs.Resources{}}
	for i := range vms {
		size := cores(64, 250000, int64(i%3))
		if i%2 == 1 {
			size = cores(16, 60000, 0)
		}
		s.VMs = append(s.VMs, vm(fmt.Sprintf("v%03d", i), fmt.Sprintf("z%d", i%4), fmt.Sprintf("r%d", i/3), size))
		s.VMs[i].Services = []string{fmt.Sprintf("s%d", i%5)}
	}
	for i := range reserved {
		v := &s.VMs[random.IntN(vms)]
		size := randomSize(random)
		if size.Fits(v.Free()) {
			v.Tasks = append(v.Tasks, placement.ReservedTask{
				ID: fmt.Sprintf("h%d", i), Name: fmt.Sprintf("k%d", i%20), Team: fmt.Sprintf("t%d", i%benchTeams),
				Kind: structs.KindBatch, Size: size, AtRisk: time.Duration(random.IntN(60)) * time.Second,
			})
		}
	}
	for i := range benchTeams {
		s.Quotas[fmt.Sprintf("t%d", i)] = cores(400, 1600000, 20)
	}
	for i := range pending {
		t := job(fmt.Sprintf("p%05d", i), fmt.Sprintf("t%d", i%benchTeams), randomSize(random))
		t.Name = fmt.Sprintf("k%d", i%20)
		switch i % 50 {
		case 0:
			t.Priority = structs.PriorityUrgent
		case 1, 2, 3, 4, 5:
			t.Kind = structs.KindWatch
		}
		s.Pending = append(s.Pending, t)
	}
	return s
}

// BenchmarkPlan measures one plan for 900 VMs and 12,000 tasks: with the default limit
// of bindings, without a limit, and with every VM full.
func BenchmarkPlan(b *testing.B) {
	full := newSnapshot(benchVMs, benchReserved, benchPending, 1)
	for i := range full.VMs {
		full.VMs[i].Tasks = append(full.VMs[i].Tasks, placement.ReservedTask{ID: "fill", Kind: structs.KindWatch, Size: full.VMs[i].Free()})
	}
	cases := []struct {
		name    string
		s       *placement.Snapshot
		options placement.Options
	}{
		{"bounded", newSnapshot(benchVMs, benchReserved, benchPending, 1), placement.Options{}},
		{"slowdowns", newSnapshot(benchVMs, benchReserved, benchPending, 1), placement.Options{Slowdowns: estimatedSlowdowns()}},
		{"unbounded", newSnapshot(benchVMs, benchReserved, benchPending, 1), placement.Options{MaxBindings: benchPending, MaxPerVM: 64}},
		{"full", full, placement.Options{}},
	}
	for _, c := range cases {
		b.Run(c.name, func(b *testing.B) {
			planner := placement.NewPlanner(c.options)
			for b.Loop() {
				planner.Plan(c.s)
			}
		})
	}
}

// estimatedSlowdowns returns estimates for all combinations of the benchmark's services
// and names of tasks.
func estimatedSlowdowns() placement.Slowdowns {
	estimator := colocation.NewSharedEstimator()
	for service := range 5 {
		for i := range 2000 {
			estimator.Add(colocation.Sample{
				Service: fmt.Sprintf("s%d", service), Taken: time.Duration(i) * time.Second, MeanTime: 20 * time.Millisecond,
				Requests: 400, Load: map[string]float64{fmt.Sprintf("k%d", i%20): float64(i % 7)},
			})
		}
	}
	return estimator
}

// Scored placement must place more work, in cores and accelerators, than its baselines
// on the same snapshots when the pending tasks exceed the capacity. Without the best-fit
// scorer the result falls to that of random placement.
func TestPlan_Baselines(t *testing.T) {
	type outcome struct{ cores, large, accelerators float64 }
	measure := func(policy placement.Policy) outcome {
		var o outcome
		for seed := range uint64(5) {
			s := newSnapshot(90, 200, 900, seed)
			s.Quotas = nil
			planner := placement.NewPlanner(placement.Options{Policy: policy, Seed: seed + 1, MaxBindings: 900, MaxPerVM: 64})
			for _, b := range planner.Plan(s).Bindings {
				o.cores += float64(b.Size.MilliCPU) / 1000
				o.accelerators += float64(b.Size.Accelerators)
				if b.Size.MilliCPU >= 32000 {
					o.large++
				}
			}
		}
		return o
	}
	scored, first, random := measure(placement.Scored), measure(placement.FirstFit), measure(placement.Random)
	t.Logf("scored %+v, first fit %+v, random %+v", scored, first, random)
	must.Greater(t, first.cores, scored.cores)
	must.Greater(t, random.cores, scored.cores)
	must.Greater(t, random.accelerators, scored.accelerators)
}
