package dispatch

import "sync/atomic"

// inFlightGroup counts the operations in flight and closes idle when the last one
// has ended after the start of a drain.
type inFlightGroup struct {
	// state is the count, with drainBit set once a drain has started and closedBit
	// set once idle is closed.
	state atomic.Int64
	idle  chan struct{}
}

const drainBit = 1 << 62

// enter counts one operation and returns true, unless a drain has started.
func (f *inFlightGroup) enter() bool {
	if f.state.Add(1)&drainBit == 0 {
		return true
	}
	f.leave()
	return false
}

// enterNested counts an operation that was started by one in flight. It is allowed
// during a drain.
func (f *inFlightGroup) enterNested() { f.state.Add(1) }

func (f *inFlightGroup) leave() {
	if f.state.Add(-1) == drainBit {
		f.close()
	}
}

func (f *inFlightGroup) drain() {
	if f.state.Or(drainBit) == 0 {
		f.close()
	}
}

// close closes idle. It may be called again, because a refused enter raises and lowers
// the count once more.
func (f *inFlightGroup) close() {
	if f.state.CompareAndSwap(drainBit, drainBit|closedBit) {
		close(f.idle)
	}
}

const closedBit = 1 << 61
