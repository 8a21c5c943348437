package daemon

import (
	"testing"

	"github.com/apex/log"
	"github.com/apex/log/handlers/memory"
	"github.com/shoenig/test/must"

	"bamboowood/internal/settings"
)

// Guards against a settings file whose limits exceed the machine to which it was moved.
func TestResources_LimitsFitTheMachine(t *testing.T) {
	logs := memory.New()
	logger := &log.Logger{Handler: logs, Level: log.InfoLevel}
	machine := settings.Limits{MemoryMB: 64, MaxDescriptors: 256}
	byDefault := newResources(resourceOptions{Limits: machine}, logger)
	must.Eq(t, 8<<20, byDefault.limits.Bodies)
	must.Eq(t, 128, byDefault.limits.Callers)
	must.Len(t, 0, logs.Entries)

	lower := newResources(resourceOptions{Limits: machine, maxBodies: 5 << 20, maxCallers: 20}, logger)
	must.Eq(t, 5<<20, lower.limits.Bodies)
	must.Eq(t, 20, lower.limits.Callers)
	must.Len(t, 0, logs.Entries)

	higher := newResources(resourceOptions{Limits: machine, maxBodies: 256 << 20, maxCallers: 10_000}, logger)
	must.Eq(t, 16<<20, higher.limits.Bodies)
	must.Eq(t, 256, higher.limits.Callers)
	must.Len(t, 2, logs.Entries)
}
