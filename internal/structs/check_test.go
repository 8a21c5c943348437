package structs

import (
	"testing"

	"github.com/shoenig/test"
)

// Guards against a row of another writer that changes decisions about other VMs: one with amounts whose
// sums overflow, or one stored under the key of another VM or task.
func TestCheckRow(t *testing.T) {
	for name, row := range map[string]interface{ CheckRow(key string) error }{
		"capacity":           VM{ID: "a", Capacity: Resources{MilliCPU: MaxAmount + 1}},
		"negative capacity":  VM{ID: "a", Capacity: Resources{MemoryMB: -1}},
		"service reserve":    VM{ID: "a", ServiceReserve: Resources{Accelerators: MaxAmount + 1}},
		"reservation":        VM{ID: "a", Tasks: map[string]Reservation{"t": {Resources: Resources{MilliCPU: -1}}}},
		"VM without id":      VM{},
		"another VM":         VM{ID: "b"},
		"another VM's lease": Lease{VM: "b", DurationMS: 1},
		"lease of 0 ms":      Lease{VM: "a"},
		"endless lease":      Lease{VM: "a", DurationMS: MaxAmount + 1},
		"request":            QueueEntry{ID: "a", Declared: Resources{MilliCPU: MaxAmount + 1}},
		"another task":       QueueEntry{ID: "b"},
	} {
		test.Error(t, row.CheckRow("table/a"), test.Sprint(name))
	}
	test.NoError(t, VM{ID: "a", Capacity: Resources{MilliCPU: MaxAmount}}.CheckRow("vm/a"))
	test.NoError(t, Lease{VM: "a", DurationMS: 30_000}.CheckRow("lease/a"))
	test.NoError(t, QueueEntry{ID: "a"}.CheckRow("queue/a"))
}
