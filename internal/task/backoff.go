package task

import (
	"hash/fnv"
	"time"

	"bamboowood/internal/structs"
)

const (
	// MaxAttempts is the number of failed runs after which a batch task fails.
	MaxAttempts = 5
	// BackoffBase is the delay after the first failed run; each further failure
	// doubles it.
	BackoffBase = 5 * time.Second
	// BackoffMax is the maximum delay, without jitter.
	BackoffMax = 5 * time.Minute
	// WatchReset is the run time after which a watch's count of failures restarts.
	WatchReset = 10 * time.Minute
	// jitterDivisor limits the jitter to a quarter of the delay.
	jitterDivisor = 4
)

// Backoff returns the delay before a task's next placement after the given number of
// failed runs. The jitter is a hash of the id, so that the retries of many tasks that
// fail at once spread out and a repeated call returns the same delay.
func Backoff(id string, attempts int) time.Duration {
	delay := BackoffBase
	for range attempts - 1 {
		delay = min(2*delay, BackoffMax)
	}
	hash := fnv.New64a()
	hash.Write([]byte(id))
	jitter := time.Duration(hash.Sum64() % uint64(delay/jitterDivisor))
	return delay + jitter
}

// attemptsAfter returns the count of failed runs after a run that fails at now. A watch
// that ran for WatchReset or longer starts again at 1.
func attemptsAfter(t structs.Task, now time.Time) int {
	if t.Spec.Kind == structs.KindWatch && !t.StartedAt.IsZero() && now.Sub(t.StartedAt) >= WatchReset {
		return 1
	}
	return t.Attempts + 1
}
