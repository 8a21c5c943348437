// Package structs defines the plain data types that the other packages share: the
// rows of the platform's table and the results of queries. It has no behaviour
// beyond arithmetic and validation.
//
// A job or watch that a caller submits is one Task here: a batch job runs to completion
// once, a watch runs without end. TaskSpec.Name is its name, and a Kind has the defaults
// for that name; TaskKind is batch or watch.
package structs

import "fmt"

// Resources is an amount of CPU, memory and accelerators.
type Resources struct {
	// MilliCPU is CPU in thousandths of a core.
	MilliCPU int64 `json:"milli_cpu" toml:"milli_cpu" validate:"gte=0"`
	// MemoryMB is memory in units of 2^20 bytes.
	MemoryMB int64 `json:"memory_mb" toml:"memory_mb" validate:"gte=0"`
	// Accelerators is the number of devices; devices are not shared.
	Accelerators int64 `json:"accelerators" toml:"accelerators,omitempty" validate:"gte=0"`
}

// Add returns r + o.
func (r Resources) Add(o Resources) Resources {
	return Resources{r.MilliCPU + o.MilliCPU, r.MemoryMB + o.MemoryMB, r.Accelerators + o.Accelerators}
}

// Sub returns r - o; components may be negative.
func (r Resources) Sub(o Resources) Resources {
	return Resources{r.MilliCPU - o.MilliCPU, r.MemoryMB - o.MemoryMB, r.Accelerators - o.Accelerators}
}

// Max returns the componentwise maximum.
func (r Resources) Max(o Resources) Resources {
	return Resources{max(r.MilliCPU, o.MilliCPU), max(r.MemoryMB, o.MemoryMB), max(r.Accelerators, o.Accelerators)}
}

// Fits reports whether r is at most o in every component.
func (r Resources) Fits(o Resources) bool {
	return r.MilliCPU <= o.MilliCPU && r.MemoryMB <= o.MemoryMB && r.Accelerators <= o.Accelerators
}

// IsZero reports whether all components are zero.
func (r Resources) IsZero() bool { return r == Resources{} }

// String returns, for example, "4.0 cores, 8192 MB, 1 acc".
func (r Resources) String() string {
	return fmt.Sprintf("%.1f cores, %d MB, %d acc", float64(r.MilliCPU)/1000, r.MemoryMB, r.Accelerators)
}
