package scheduler

import (
	"time"

	"bamboowood/internal/structs"
)

// failureWindow is how long a job's run on a VM is counted. A VM that was ejected for its
// failures is used again afterwards.
const failureWindow = 15 * time.Minute

// failures counts, for each VM, the different jobs that ran and that failed on it within
// failureWindow. The counts are kept in memory. A new holder of the scheduling lease
// rebuilds them at the cost of a few more failed runs, which are limited per job.
type failures struct {
	vms      map[string]*vmRecord
	attempts map[string]int // failed runs by task ID, as last read
}

type vmRecord struct {
	ran    map[string]time.Time // by task ID
	failed map[string]time.Time
}

func newFailures() *failures {
	return &failures{vms: map[string]*vmRecord{}, attempts: map[string]int{}}
}

func (f *failures) vm(id string) *vmRecord {
	r, ok := f.vms[id]
	if !ok {
		r = &vmRecord{ran: map[string]time.Time{}, failed: map[string]time.Time{}}
		f.vms[id] = r
	}
	return r
}

// recordPlacement records that the task was placed on the VM.
func (f *failures) recordPlacement(taskID, vm string, now time.Time) { f.vm(vm).ran[taskID] = now }

// recordAttempts records a failed run if the queue entry shows a new one.
func (f *failures) recordAttempts(e structs.QueueEntry, now time.Time) {
	if e.Attempts > f.attempts[e.ID] && e.LastVM != "" {
		f.attempts[e.ID] = e.Attempts
		f.vm(e.LastVM).failed[e.ID] = now
	}
}

// counts returns the numbers of different jobs that failed and that ran on the VM.
func (f *failures) counts(vm string) (failed, ran int) {
	r, ok := f.vms[vm]
	if !ok {
		return 0, 0
	}
	return len(r.failed), len(r.ran)
}

// expire removes records older than failureWindow.
func (f *failures) expire(now time.Time) {
	for id, r := range f.vms {
		removeExpired(r.ran, now)
		removeExpired(r.failed, now)
		if len(r.ran)+len(r.failed) == 0 {
			delete(f.vms, id)
		}
	}
	if len(f.vms) == 0 {
		clear(f.attempts)
	}
}

func removeExpired(times map[string]time.Time, now time.Time) {
	for id, at := range times {
		if now.Sub(at) > failureWindow {
			delete(times, id)
		}
	}
}
