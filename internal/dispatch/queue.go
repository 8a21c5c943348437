package dispatch

import (
	"container/heap"
	"time"

	"bamboowood/internal/routing"
)

// QueueOrder is the order in which queued requests get free slots.
type QueueOrder string

// Orders of the queue: oldest first, earliest deadline first and newest first.
const (
	FIFO QueueOrder = "fifo"
	EDF  QueueOrder = "edf"
	LIFO QueueOrder = "lifo"
)

// grant is a slot of an upstream that was acquired for a request at start. A
// waiter whose grant has no upstream is refused.
type grant struct {
	up    *routing.Upstream
	start time.Duration
}

// waiter is a request in the queue.
type waiter struct {
	deadline time.Duration
	avoid    *routing.Upstream
	sequence uint64
	index    int // in the heap; -1 when not in it
	granted  chan grant
}

// queue is a heap of waiters. The mutex of the service guards it.
type queue struct {
	order    QueueOrder
	sequence uint64
	waiters  []*waiter
}

var _ heap.Interface = (*queue)(nil)

func (q *queue) Len() int { return len(q.waiters) }

func (q *queue) Less(i, j int) bool {
	a, b := q.waiters[i], q.waiters[j]
	switch {
	case q.order == LIFO:
		return a.sequence > b.sequence
	case q.order == EDF && a.deadline != b.deadline:
		return a.deadline < b.deadline
	}
	return a.sequence < b.sequence
}

func (q *queue) Swap(i, j int) {
	q.waiters[i], q.waiters[j] = q.waiters[j], q.waiters[i]
	q.waiters[i].index, q.waiters[j].index = i, j
}

// Push implements heap.Interface.
func (q *queue) Push(x any) {
	w := x.(*waiter)
	w.index = len(q.waiters)
	q.waiters = append(q.waiters, w)
}

// Pop implements heap.Interface.
func (q *queue) Pop() any {
	last := len(q.waiters) - 1
	w := q.waiters[last]
	q.waiters[last] = nil
	q.waiters = q.waiters[:last]
	w.index = -1
	return w
}

func (q *queue) add(w *waiter) {
	q.sequence++
	w.sequence = q.sequence
	heap.Push(q, w)
}

func (q *queue) remove(w *waiter) { heap.Remove(q, w.index) }

// latest returns the waiter with the latest deadline.
func (q *queue) latest() *waiter {
	best := q.waiters[0]
	for _, w := range q.waiters[1:] {
		if w.deadline > best.deadline || w.deadline == best.deadline && w.sequence > best.sequence {
			best = w
		}
	}
	return best
}
