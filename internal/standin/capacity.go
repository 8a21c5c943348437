package standin

import (
	"fmt"
	"sync"

	"bamboowood/internal/platform"
)

const (
	// entryBytes is the memory of a row or an object besides its key and value.
	entryBytes = 256
	// smallEntry is the size of the largest entry that may use the last quarter of a Capacity.
	smallEntry = 32 << 10
)

// Capacity bounds the bytes that several stand-ins store together. A nil Capacity is unbounded. Safe for
// concurrent use.
type Capacity struct {
	mu          sync.Mutex
	limit, used int64
}

// NewCapacity returns a capacity of limit bytes.
func NewCapacity(limit int64) *Capacity { return &Capacity{limit: limit} }

// change adds growth bytes, which are negative if less is stored. largest is the size of the largest entry
// that is written. Without room it changes nothing and returns platform.ErrUnavailable.
func (c *Capacity) change(growth, largest int64) error {
	if c == nil {
		return nil
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	limit := c.limit
	if largest > smallEntry {
		limit -= c.limit / 4
	}
	if growth > 0 && c.used+growth > limit {
		return fmt.Errorf("%w: no room for %d bytes beside %d", platform.ErrUnavailable, growth, c.used)
	}
	c.used += growth
	return nil
}

// storedBytes is the memory of a row or an object.
func storedBytes(key string, value []byte) int64 {
	return int64(len(key)+len(value)) + entryBytes
}
