package placement_test

import (
	"testing"

	"github.com/shoenig/test/must"
	"pgregory.net/rapid"

	"bamboowood/internal/placement"
	"bamboowood/internal/structs"
)

func TestReserve(t *testing.T) {
	largest := cores(16, 60000, 2)
	cases := []struct {
		name           string
		declared, peak structs.Resources
		want           structs.Resources
	}{
		{"no peak", cores(4, 4000, 1), structs.Resources{}, cores(4, 4000, 1)},
		{"declared size below the peak", cores(1, 1000, 0), cores(2, 8000, 0), structs.Resources{MilliCPU: 2200, MemoryMB: 8800}},
		{"declared size above the peak", cores(8, 1000, 0), cores(2, 500, 0), cores(8, 1000, 0)},
		{"accelerators have no margin", cores(1, 1000, 0), cores(1, 100, 1), structs.Resources{MilliCPU: 1100, MemoryMB: 1000, Accelerators: 1}},
		{"margin limited to the largest VM", cores(1, 1000, 0), cores(16, 1000, 0), structs.Resources{MilliCPU: 16000, MemoryMB: 1100}},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) { must.Eq(t, c.want, placement.Reserve(c.declared, c.peak, largest)) })
	}
}

// For any order of the reports, the stored peak is close to the greatest usage and is
// written only a few times.
func TestRaisePeak(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var peak structs.Peak
		var maxUsed structs.Resources
		writes := 0
		for range 200 {
			used := structs.Resources{
				MilliCPU: rapid.Int64Range(0, 64000).Draw(t, "cpu"), MemoryMB: rapid.Int64Range(0, 250000).Draw(t, "memory"),
				Accelerators: rapid.Int64Range(0, 4).Draw(t, "accelerators"),
			}
			maxUsed = maxUsed.Max(used)
			next, raised := placement.RaisePeak(peak, used)
			if raised {
				writes++
			}
			must.True(t, peak.Used.Fits(next.Used))
			peak = next
		}
		must.True(t, peak.Used.Fits(maxUsed))
		reserved := placement.Reserve(structs.Resources{}, peak.Used, maxUsed)
		must.True(t, maxUsed.Fits(reserved), must.Sprint(maxUsed, reserved))
		must.Less(t, 60, writes)
	})
}
