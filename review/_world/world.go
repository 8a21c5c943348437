package main

import (
	"fmt"
	"os"
	"strconv"
	"strings"
	"sync"
	"time"
)

// stepSpec is a step as submitted. Its estimate is how long a task works.
type stepSpec struct {
	Count         int    `json:"count"`
	CPU           int64  `json:"cpu,omitempty"`
	MemMB         int64  `json:"memMb,omitempty"`
	EstimateMS    int    `json:"estimateMs"`
	After         []int  `json:"after,omitempty"`
	LongRunning   bool   `json:"longRunning,omitempty"`
	RequiredLabel string `json:"requiredLabel,omitempty"`
}

func (s *stepSpec) need() resources         { return resources{CPU: s.CPU, MemMB: s.MemMB} }
func (s *stepSpec) duration() time.Duration { return time.Duration(s.EstimateMS) * time.Millisecond }

// submission is what a requester handed in, and what was answered.
type submission struct {
	ID    string     `json:"-"`
	Spec  string     `json:"spec"`
	Steps []stepSpec `json:"steps"`
	// RunCount occurrences are due from StartTimeMS on, every IntervalMS.
	RunCount    int     `json:"runCount,omitempty"`
	StartTimeMS int64   `json:"startTimeMs,omitempty"`
	IntervalMS  float64 `json:"intervalMs,omitempty"`

	accepted, cancelSent, cancelAcked time.Time
}

// taskHistory is what the runners saw of a task.
type taskHistory struct {
	alive   int
	lastEnd time.Time
	ends    map[string]int
}

// world holds all that clients, runners and the platform have seen.
type world struct {
	mu      sync.Mutex
	began   time.Time
	record  *os.File
	jobs    map[string]*submission
	tasks   map[string]*taskHistory
	runners []*runner
	broken  []string
}

func (w *world) logf(format string, args ...any) {
	fmt.Fprintf(w.record, "%8.3f %s\n", time.Since(w.began).Seconds(), fmt.Sprintf(format, args...))
}

// log is logf without the lock held.
func (w *world) log(format string, args ...any) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.logf(format, args...)
}

// breach records that a rule was broken. It is called with the lock held.
func (w *world) breach(rule, format string, args ...any) {
	text := rule + ": " + fmt.Sprintf(format, args...)
	w.broken = append(w.broken, text)
	w.logf("BROKEN %s", text)
}

// stepOf returns the step of a task ID.K.STEP.INDEX that was submitted, nil if there is none.
func (w *world) stepOf(task string) *stepSpec {
	parts := strings.Split(task, ".")
	if len(parts) != 4 {
		return nil
	}
	s := w.jobs[parts[0]]
	n, err := strconv.Atoi(parts[2])
	i, err2 := strconv.Atoi(parts[3])
	if s == nil || err != nil || err2 != nil || n < 0 || n >= len(s.Steps) || i < 0 || i >= s.Steps[n].Count {
		return nil
	}
	return &s.Steps[n]
}

func (w *world) jobOf(task string) *submission { return w.jobs[task[:strings.Index(task, ".")]] }

func (w *world) history(task string) *taskHistory {
	h := w.tasks[task]
	if h == nil {
		h = &taskHistory{ends: map[string]int{}}
		w.tasks[task] = h
	}
	return h
}

func (w *world) started(r *runner, x *run, spec string) {
	h := w.history(x.task)
	h.alive++
	w.logf("start %s run %d on %s", x.task, x.number, r.name)
	if h.alive > 1 {
		w.breach("TWICE", "%s runs twice at the same time", x.task)
	}
	if s := w.jobOf(x.task); s != nil && s.Spec != spec {
		w.breach("UNASKED", "%s was started with another spec", x.task)
	}
}

func (w *world) ran(r *runner, x *run, how string) {
	h := w.history(x.task)
	h.alive--
	h.lastEnd = time.Now()
	h.ends[how]++
	w.logf("end %s run %d on %s: %s", x.task, x.number, r.name, how)
}

func (w *world) acknowledged(r *runner, e endRow) {
	w.logf("end taken note of: %s run %d on %s: %s", e.task, e.number, r.name, e.how)
}

// percent is the progress of a run, 100 for one that lasts and works.
func (w *world) percent(x *run) int {
	step := w.stepOf(x.task)
	switch {
	case x.working.IsZero():
		return 0
	case step.LongRunning:
		return 100
	}
	return int(min(100*time.Since(x.working)/max(step.duration(), 1), 99))
}
