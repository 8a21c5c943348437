package structs

import (
	"fmt"
	"strings"
)

// MaxAmount bounds each amount of a stored row, so that sums over rows do not overflow.
const MaxAmount = 1 << 40

// CheckRow returns an error unless the key is that of the VM and its amounts are within bounds.
func (v VM) CheckRow(key string) error {
	if err := checkKey(key, v.ID); err != nil {
		return err
	}
	if !v.Capacity.inBounds() || !v.ServiceReserve.inBounds() {
		return fmt.Errorf("row %q has a capacity or reserve out of bounds", key)
	}
	for task, r := range v.Tasks {
		if !r.Resources.inBounds() {
			return fmt.Errorf("row %q has a reservation of task %q out of bounds", key, task)
		}
	}
	return nil
}

// CheckRow returns an error unless the key is that of the lease's VM and the duration is positive.
func (l Lease) CheckRow(key string) error {
	if err := checkKey(key, l.VM); err != nil {
		return err
	}
	if l.DurationMS < 1 || l.DurationMS > MaxAmount {
		return fmt.Errorf("row %q has a lease of %d ms", key, l.DurationMS)
	}
	return nil
}

// CheckRow returns an error unless the key is that of the entry's task and its amounts are within
// bounds.
func (e QueueEntry) CheckRow(key string) error {
	if err := checkKey(key, e.ID); err != nil {
		return err
	}
	if !e.Declared.inBounds() {
		return fmt.Errorf("row %q has a request out of bounds", key)
	}
	return nil
}

// checkKey returns an error unless a key ends with the id.
func checkKey(key, id string) error {
	if id == "" || !strings.HasSuffix(key, "/"+id) {
		return fmt.Errorf("row %q names %q", key, id)
	}
	return nil
}

func (r Resources) inBounds() bool {
	ok := func(n int64) bool { return n >= 0 && n <= MaxAmount }
	return ok(r.MilliCPU) && ok(r.MemoryMB) && ok(r.Accelerators)
}
