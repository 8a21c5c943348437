package standin

import (
	"context"
	"fmt"
	"slices"
	"sync"

	"bamboowood/internal/platform"
)

// Objects is an in-memory platform.Objects. Safe for concurrent use.
type Objects struct {
	faults *Faults

	mu       sync.Mutex
	data     map[string][]byte
	capacity *Capacity
}

// NewObjects returns an empty Objects without faults.
func NewObjects() *Objects { return &Objects{faults: newFaults(), data: map[string][]byte{}} }

// Faults returns the fault settings of the store.
func (o *Objects) Faults() *Faults { return o.faults }

// SetCapacity bounds the bytes of the objects. A Put that exceeds it fails with platform.ErrUnavailable.
func (o *Objects) SetCapacity(c *Capacity) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.capacity = c
}

// Len returns the number of objects.
func (o *Objects) Len() int {
	o.mu.Lock()
	defer o.mu.Unlock()
	return len(o.data)
}

// Put implements platform.Objects.
func (o *Objects) Put(ctx context.Context, key string, data []byte) error {
	return o.faults.call(ctx, OpPut, func() error {
		if err := platform.ValidateKey(key); err != nil {
			return err
		}
		o.mu.Lock()
		defer o.mu.Unlock()
		n := storedBytes(key, data)
		growth := n
		if old, found := o.data[key]; found {
			growth -= storedBytes(key, old)
		}
		if err := o.capacity.change(growth, n); err != nil {
			return err
		}
		o.data[key] = slices.Clone(data)
		return nil
	})
}

// Get implements platform.Objects.
func (o *Objects) Get(ctx context.Context, key string) ([]byte, error) {
	var data []byte
	err := o.faults.call(ctx, OpGet, func() error {
		if err := platform.ValidateKey(key); err != nil {
			return err
		}
		o.mu.Lock()
		defer o.mu.Unlock()
		stored, ok := o.data[key]
		if !ok {
			return fmt.Errorf("object %s: %w", key, platform.ErrNotFound)
		}
		data = append([]byte{}, stored...)
		return nil
	})
	if err != nil {
		return nil, err
	}
	return data, nil
}

// Delete implements platform.Objects. Deleting a missing object is no error.
func (o *Objects) Delete(ctx context.Context, key string) error {
	return o.faults.call(ctx, OpDelete, func() error {
		if err := platform.ValidateKey(key); err != nil {
			return err
		}
		o.mu.Lock()
		defer o.mu.Unlock()
		if old, found := o.data[key]; found {
			_ = o.capacity.change(-storedBytes(key, old), 0) // never fails for less
			delete(o.data, key)
		}
		return nil
	})
}
