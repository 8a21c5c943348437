package main

import (
	"fmt"
	"time"
)

// Times of RULES (LOST) for tasks that last.
const (
	calmTime  = 4 * time.Second
	startTime = 6 * time.Second
	idleLimit = 3 * time.Second
)

// waitForWatch waits and returns when the runners that are left last lacked room for two tasks of the given
// CPU; the zero time if they never did.
func (w *world) waitForWatch(d time.Duration, cpu int64) (lackedRoom time.Time) {
	for end := time.Now().Add(d); time.Now().Before(end); time.Sleep(100 * time.Millisecond) {
		var used, free int64
		for _, r := range w.runners {
			if !r.hasLeft() {
				used, free = used+r.usedCPU(), free+r.capacity.CPU
			}
		}
		if free -= used; free < 2*cpu {
			lackedRoom = time.Now()
		}
		if d := time.Until(end); d < 100*time.Millisecond {
			w.log("the runners that are left use %d thousandths of a core, and have %d free", used, free)
		}
	}
	return lackedRoom
}

// checkWatch returns the breaks of RULES (LOST) for the tasks of a submission that lasts: from startTime after
// its last run and calmTime after the last disruption, a task has no run for idleLimit, with capacity for it
// twice over.
func (w *world) checkWatch(id string, tasks int, disturbed, lackedRoom time.Time) (findings []string) {
	w.mu.Lock()
	events := w.events
	w.mu.Unlock()
	for i := range tasks {
		name := taskName{job: id, index: i}.String()
		var ended time.Time
		for _, e := range events {
			if e.task != name || e.kind == "noted" {
				continue
			}
			w.log("at %.3f s on %s: %s of run %d of %s", e.at.Sub(w.began).Seconds(), e.runner, e.kind, e.run, e.task)
			if e.kind != "start" {
				ended = e.at
				continue
			}
			findings = append(findings, w.idleTooLong(name, ended, e.at, disturbed, lackedRoom)...)
			ended = time.Time{}
		}
		findings = append(findings, w.idleTooLong(name, ended, time.Now(), disturbed, lackedRoom)...)
	}
	return findings
}

func (w *world) idleTooLong(task string, ended, until, disturbed, lackedRoom time.Time) []string {
	if ended.IsZero() {
		return nil
	}
	from := ended.Add(startTime)
	if calm := disturbed.Add(calmTime); calm.After(from) {
		from = calm
	}
	if lackedRoom.After(from) {
		from = lackedRoom
	}
	if until.Sub(from) < idleLimit {
		return nil
	}
	return []string{fmt.Sprintf("LOST: %s has no run from %.3f s to %.3f s, of which %.1f s count; the last disruption was at %.3f s",
		task, ended.Sub(w.began).Seconds(), until.Sub(w.began).Seconds(), until.Sub(from).Seconds(), disturbed.Sub(w.began).Seconds())}
}
