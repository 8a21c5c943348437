package soak

import (
	"fmt"
	"slices"
	"sync"
	"time"

	"bamboowood/internal/job"
	"bamboowood/platform/platformtest"
)

// history holds the events that the runners observed and the failures found in a run.
type history struct {
	mu       sync.Mutex
	events   []platformtest.RunnerEvent
	messages []string
}

func (h *history) add(e platformtest.RunnerEvent) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.events = append(h.events, e)
}

func (h *history) failf(format string, args ...any) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.messages = append(h.messages, fmt.Sprintf(format, args...))
}

// all returns the events so far.
func (h *history) all() []platformtest.RunnerEvent {
	h.mu.Lock()
	defer h.mu.Unlock()
	return slices.Clone(h.events)
}

func (h *history) failures() []string {
	h.mu.Lock()
	defer h.mu.Unlock()
	return slices.Clone(h.messages)
}

// doneTasks returns the tasks of which a run has ended as done.
func (h *history) doneTasks() map[string]bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	done := map[string]bool{}
	for _, e := range h.events {
		if e.Kind == platformtest.RunEnded && e.Reason == "done" {
			done[e.Task] = true
		}
	}
	return done
}

// execution is one run of a task, as its runner observed it.
type execution struct {
	runner       string
	run          int64
	begin, end   time.Time
	reason       string // empty while it runs
	acknowledged bool
	// acknowledgedAt is when the runner received the acknowledgement.
	acknowledgedAt time.Time
}

func (x execution) overlaps(y execution) bool {
	return (x.end.IsZero() || y.begin.Before(x.end)) && (y.end.IsZero() || x.begin.Before(y.end))
}

// executions groups the events by task. When a runner's incarnation ends, its running runs
// are lost, and its ends that are not acknowledged yet stay unacknowledged.
func (h *history) executions() map[string][]execution {
	h.mu.Lock()
	defer h.mu.Unlock()
	runs := map[string][]execution{}
	for _, e := range h.events {
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
		i := len(list) - 1 // the runner's next incarnation may reuse a number
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
			list[i].acknowledged, list[i].acknowledgedAt = true, e.At
		}
	}
	return runs
}

// checkInvariants checks the runners' history against the scheduler's guarantees.
func (cl *cluster) checkInvariants() {
	runs := cl.history.executions()
	for task, list := range runs {
		parsed, err := job.ParseTask(task)
		if err != nil {
			cl.history.failf("a runner received a start of %q, which is not a task", task)
			continue
		}
		s := cl.jobs.find(parsed.Job)
		if s == nil || parsed.Step >= len(s.tasks) || parsed.Index >= s.tasks[parsed.Step] {
			cl.history.failf("%s ran, but no caller submitted it", task)
			continue
		}
		if s.refused() {
			cl.history.failf("%s ran, but its job was refused", task)
		}
		if s.speculative {
			cl.checkCopies(task, list)
		} else {
			cl.checkRuns(task, list)
		}
		if parsed.Step > 0 {
			cl.checkStepOrder(parsed, s, list, runs)
		}
	}
	cl.checkCapacity(runs)
}

func (cl *cluster) checkRuns(task string, list []execution) {
	failed := 0
	for i, x := range list {
		for _, y := range list[:i] {
			if x.overlaps(y) {
				cl.history.failf("%s ran twice concurrently: run %d on %s and run %d on %s", task, y.run, y.runner, x.run, x.runner)
			}
			if y.reason == "done" && y.acknowledged && x.begin.After(y.end) {
				cl.history.failf("%s was restarted (run %d) after run %d was done and acknowledged", task, x.run, y.run)
			}
		}
		if failed >= maxAttempts {
			cl.history.failf("%s was restarted after %d failed attempts", task, failed)
		}
		if x.reason == "failed" && x.acknowledged {
			failed++
		}
	}
}

// checkCopies checks the runs of a task of a speculative step: at most two overlap, on two runners, and none
// begins after the end of one as done is recorded.
func (cl *cluster) checkCopies(task string, list []execution) {
	for i, x := range list {
		overlapping := 0
		for _, y := range list[:i] {
			if x.overlaps(y) && (y.end.IsZero() || x.begin.Before(y.end)) {
				cl.copies++
				if overlapping++; overlapping > 1 || x.runner == y.runner {
					cl.history.failf("%s: run %d on %s is beside run %d on %s, the %d. of its other runs", task, x.run, x.runner, y.run, y.runner, overlapping)
				}
			}
			if y.reason == "done" && y.acknowledged && x.begin.After(y.acknowledgedAt) {
				cl.history.failf("%s was restarted (run %d) after run %d was done and acknowledged", task, x.run, y.run)
			}
		}
	}
}

func (cl *cluster) checkStepOrder(parsed job.Task, s *submission, list []execution, runs map[string][]execution) {
	for _, x := range list {
		for i := range s.tasks[parsed.Step-1] {
			before := parsed
			before.Step, before.Index = parsed.Step-1, i
			done := slices.ContainsFunc(runs[before.String()], func(y execution) bool {
				return y.reason == "done" && !y.end.After(x.begin)
			})
			if !done {
				cl.history.failf("%s started before %s was done", parsed, before)
			}
		}
	}
}

// checkCapacity checks at the start of each run that the runner's runs fit its CPU.
func (cl *cluster) checkCapacity(runs map[string][]execution) {
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
				cl.history.failf("%s had %d of %d CPU in use at %s", runner, used, runnerCPU, x.begin)
			}
		}
	}
}
