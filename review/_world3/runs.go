package main

import (
	"fmt"
	"maps"
	"math/rand/v2"
	"slices"
	"strings"
	"sync"
	"time"

	"bamboowood/platform/platformtest"
)

// runs holds what the runners have run.
type runs struct {
	record *record

	mu sync.Mutex
	// active are the runs that have not ended, by runner and task. starts are the times of all starts, by job.
	active map[string]time.Time
	starts map[string][]time.Time
	done   map[string]int
}

func newRuns(r *record) *runs {
	return &runs{record: r, active: map[string]time.Time{}, starts: map[string][]time.Time{}, done: map[string]int{}}
}

// jobOf returns the id of a task's job.
func jobOf(task string) string { return strings.SplitN(task, ".", 2)[0] }

// observe records an event of a runner.
func (r *runs) observe(e platformtest.RunnerEvent) {
	r.mu.Lock()
	defer r.mu.Unlock()
	key := e.Runner + " " + e.Task
	switch e.Kind {
	case platformtest.RunStarted:
		r.active[key] = e.At
		r.starts[jobOf(e.Task)] = append(r.starts[jobOf(e.Task)], e.At)
		r.record.line("runner %s starts %s run %d", e.Runner, e.Task, e.Run)
	case platformtest.RunEnded:
		delete(r.active, key)
		if e.Reason == "done" {
			r.done[jobOf(e.Task)]++
		}
		r.record.line("runner %s ends   %s run %d: %s", e.Runner, e.Task, e.Run, e.Reason)
	case platformtest.IncarnationEnded:
		for key := range r.active {
			if strings.HasPrefix(key, e.Runner+" ") {
				delete(r.active, key)
				r.record.line("runner %s crashed with %s", e.Runner, strings.TrimPrefix(key, e.Runner+" "))
			}
		}
	case platformtest.EndAcknowledged:
	}
}

// running returns the active runs of a job.
func (r *runs) running(id string) []string {
	r.mu.Lock()
	defer r.mu.Unlock()
	return slices.DeleteFunc(slices.Sorted(maps.Keys(r.active)), func(key string) bool {
		_, task, _ := strings.Cut(key, " ")
		return jobOf(task) != id
	})
}

// tasks returns the tasks that are running.
func (r *runs) tasks() map[string]bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	found := map[string]bool{}
	for key := range r.active {
		_, task, _ := strings.Cut(key, " ")
		found[task] = true
	}
	return found
}

// total returns the number of active runs.
func (r *runs) total() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return len(r.active)
}

// doneTasks returns how many tasks of a job have ended as done.
func (r *runs) doneTasks(id string) int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.done[id]
}

// newID returns the id of a submission.
func newID() string { return fmt.Sprintf("%016x", rand.Uint64()) }
