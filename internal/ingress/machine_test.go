package ingress

import (
	"math"
	"runtime/debug"
	"testing"

	"github.com/shoenig/test/must"
)

func TestMachine(t *testing.T) {
	earlier := debug.SetMemoryLimit(-1)
	t.Cleanup(func() { debug.SetMemoryLimit(earlier) })

	debug.SetMemoryLimit(100 << 20)
	memory, descriptors := Machine(0, 0)
	must.Eq(t, 100<<20, memory)
	must.Positive(t, descriptors)

	memory, descriptors = Machine(64<<20, 256)
	must.Eq(t, 64<<20, memory)
	must.Eq(t, 256, descriptors)

	debug.SetMemoryLimit(math.MaxInt64)
	memory, _ = Machine(0, 0)
	must.Positive(t, memory)
	must.Less(t, math.MaxInt64, memory)
}
