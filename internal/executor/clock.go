package executor

import (
	"sync"
	"time"
)

// clock measures elapsed time on this VM. It uses the greater of the monotonic and
// the wall clock's progress, because the monotonic clock stops while a VM is
// suspended. A wall clock that is set forward only shortens leases.
type clock struct {
	read    func() time.Time
	mu      sync.Mutex
	last    time.Time
	elapsed time.Duration
}

func newClock(read func() time.Time) *clock { return &clock{read: read, last: read()} }

// now returns the time since the clock was created. It never decreases.
func (c *clock) now() time.Duration {
	c.mu.Lock()
	defer c.mu.Unlock()
	current := c.read()
	monotonic := current.Sub(c.last)
	wall := current.Round(0).Sub(c.last.Round(0))
	c.elapsed += max(monotonic, wall, 0)
	c.last = current
	return c.elapsed
}
