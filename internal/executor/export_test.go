package executor

import "time"

// SetClock replaces the executor's clock with one that uses read.
func (e *Executor) SetClock(read func() time.Time) {
	e.clock = newClock(read)
	e.table.clock = e.clock
}
