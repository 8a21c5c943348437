package store

import "time"

// StaleAge is the age from which on a follower of a feed asks for an answer at once: without a change the
// answer would take the whole wait, and what the follower has would be older by that time.
const StaleAge = 1500 * time.Millisecond

// CurrentAt returns a time at which what a follower has was the latest of the table, once it has applied the rows of
// a feed's answer. The call was sent and its answer received at the given times. known is false if the answer
// has so many rows that the store may have cut it: the other changes follow in the next one.
func (r FeedRequest) CurrentAt(sent, received time.Duration, rows int) (at time.Duration, known bool) {
	switch {
	case rows >= maxPageRows:
		return 0, false
	case rows == 0 && received-sent >= r.Wait:
		// The store has waited for a change and there was none.
		return sent + r.Wait, true
	}
	return sent, true
}
