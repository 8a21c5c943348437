package command

import (
	"context"
	"slices"
	"sync/atomic"
	"time"

	"bamboowood/internal/state"
	"bamboowood/internal/statement"
	"bamboowood/internal/structs"
)

// capacityMaxAge bounds the age of the cached VM sizes against which a submission is
// accepted. A submission is refused only after the sizes are read again.
const capacityMaxAge = 30 * time.Second

// capacityCache caches the distinct capacities of the VMs.
type capacityCache struct {
	latest atomic.Pointer[capacitySnapshot]
}

type capacitySnapshot struct {
	readAt time.Time
	sizes  []structs.Resources
}

// checkFits refuses a task that fits no VM, even an empty one. It refuses nothing while
// there are no VMs.
func (c *Commander) checkFits(ctx context.Context, spec structs.TaskSpec) error {
	cached := c.capacity.latest.Load()
	if cached != nil && c.now().Sub(cached.readAt) < capacityMaxAge && slices.ContainsFunc(cached.sizes, spec.Declared.Fits) {
		return nil
	}
	fresh, err := c.readCapacities(ctx)
	if err != nil {
		return err
	}
	c.capacity.latest.Store(fresh)
	if len(fresh.sizes) == 0 || slices.ContainsFunc(fresh.sizes, spec.Declared.Fits) {
		return nil
	}
	var largest structs.Resources
	for _, size := range fresh.sizes {
		largest = largest.Max(size)
	}
	return statement.Refuse(statement.CannotFit, "%s asks for %s, which no worker has (the largest amounts are %s)",
		spec.Name, spec.Declared, largest)
}

func (c *Commander) readCapacities(ctx context.Context) (*capacitySnapshot, error) {
	vms, err := state.List[structs.VM](ctx, c.table, state.VMPrefix)
	if err != nil {
		return nil, err
	}
	snapshot := &capacitySnapshot{readAt: c.now()}
	for _, vm := range vms {
		if !slices.Contains(snapshot.sizes, vm.Value.Capacity) {
			snapshot.sizes = append(snapshot.sizes, vm.Value.Capacity)
		}
	}
	return snapshot, nil
}
