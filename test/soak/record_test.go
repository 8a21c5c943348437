package soak

import (
	"fmt"
	"slices"
	"sync"
	"time"

	"bamboowood/internal/job"
	"bamboowood/platform/platformtest"
)

// record has what happened at the runners, and what was found wrong.
type record struct {
	mu     sync.Mutex
	events []platformtest.RunnerEvent
	faults []string
}

func (r *record) add(e platformtest.RunnerEvent) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.events = append(r.events, e)
}

func (r *record) fail(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.faults = append(r.faults, fmt.Sprintf(format, args...))
}

func (r *record) failures() []string {
	r.mu.Lock()
	defer r.mu.Unlock()
	return slices.Clone(r.faults)
}

// doneTasks returns the tasks that have ended done by now.
func (r *record) doneTasks() map[string]bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	done := map[string]bool{}
	for _, e := range r.events {
		if e.Kind == platformtest.RunEnded && e.Reason == "done" {
			done[e.Task] = true
		}
	}
	return done
}

// execution is one run of a task, as its runner saw it.
type execution struct {
	runner     string
	run        int64
	begin, end time.Time
	reason     string // empty: it runs on
	noted      bool
}

func (x execution) overlaps(y execution) bool {
	return (x.end.IsZero() || y.begin.Before(x.end)) && (y.end.IsZero() || x.begin.Before(y.end))
}

// executions sorts the events by task. What was alive at the end of a runner's life ended
// with it, and its ends that were not noted never will be.
func (r *record) executions() map[string][]execution {
	r.mu.Lock()
	defer r.mu.Unlock()
	runs := map[string][]execution{}
	for _, e := range r.events {
		if e.Kind == platformtest.IncarnationEnded {
			for _, list := range runs {
				for i := range list {
					if list[i].runner == e.Runner && list[i].end.IsZero() {
						list[i].end, list[i].reason = e.At, "lost"
					}
				}
			}
			continue
		}
		list := runs[e.Task]
		i := len(list) - 1 // a number may come again in the runner's next life
		for i >= 0 && (list[i].runner != e.Runner || list[i].run != e.Run) {
			i--
		}
		switch {
		case e.Kind == platformtest.RunStarted:
			runs[e.Task] = append(list, execution{runner: e.Runner, run: e.Run, begin: e.At})
		case i < 0:
		case e.Kind == platformtest.RunEnded:
			list[i].end, list[i].reason = e.At, e.Reason
		case e.Kind == platformtest.EndAcknowledged:
			list[i].noted = true
		}
	}
	return runs
}

// check looks for broken promises in what the runners saw.
func (w *world) check() {
	runs := w.record.executions()
	for task, list := range runs {
		parsed, err := job.ParseTask(task)
		if err != nil {
			w.record.fail("a runner was told to start %q", task)
			continue
		}
		s := w.jobs.find(parsed.Job)
		if s == nil || parsed.Step >= len(s.tasks) || parsed.Index >= s.tasks[parsed.Step] {
			w.record.fail("nobody asked for %s", task)
			continue
		}
		if s.refused() {
			w.record.fail("%s ran, and its job was refused", task)
		}
		w.checkRuns(task, list)
		if parsed.Step > 0 {
			w.checkOrder(parsed, s, list, runs)
		}
	}
	w.checkCapacity(runs)
}

func (w *world) checkRuns(task string, list []execution) {
	failed := 0
	for i, x := range list {
		for _, y := range list[:i] {
			if x.overlaps(y) {
				w.record.fail("%s ran twice at once: run %d on %s and run %d on %s", task, y.run, y.runner, x.run, x.runner)
			}
			if y.reason == "done" && y.noted && x.begin.After(y.end) {
				w.record.fail("%s was started again (run %d) after run %d was done and noted", task, x.run, y.run)
			}
		}
		if failed >= maxAttempts {
			w.record.fail("%s was started again after %d failures", task, failed)
		}
		if x.reason == "failed" && x.noted {
			failed++
		}
	}
}

func (w *world) checkOrder(parsed job.Task, s *submission, list []execution, runs map[string][]execution) {
	for _, x := range list {
		for i := range s.tasks[parsed.Step-1] {
			before := parsed
			before.Step, before.Index = parsed.Step-1, i
			done := slices.ContainsFunc(runs[before.String()], func(y execution) bool {
				return y.reason == "done" && !y.end.After(x.begin)
			})
			if !done {
				w.record.fail("%s started before %s was done", parsed, before)
			}
		}
	}
}

// checkCapacity adds up what ran at each start.
func (w *world) checkCapacity(runs map[string][]execution) {
	byRunner := map[string][]execution{}
	for _, list := range runs {
		for _, x := range list {
			byRunner[x.runner] = append(byRunner[x.runner], x)
		}
	}
	for runner, list := range byRunner {
		for _, x := range list {
			used := 0
			for _, y := range list {
				if !y.begin.After(x.begin) && (y.end.IsZero() || y.end.After(x.begin)) {
					used += taskCPU
				}
			}
			if used > runnerCPU {
				w.record.fail("%s had %d of %d CPU in use at %s", runner, used, runnerCPU, x.begin)
			}
		}
	}
}
