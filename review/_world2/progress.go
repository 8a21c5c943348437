package main

import (
	"fmt"
	"strings"
	"time"
)

// Sizes of the case "progress".
const (
	progressVMs      = 12
	wideTasks        = 20_000
	greyTime         = 6500 * time.Millisecond // srv_grey (errors): 6.5 s on 0.085 of the runners
	smallSubmissions = 8
)

func init() { cases["progress"] = progressCase }

// progressCase submits one wide submission while one runner of twelve fails all that it starts, and
// small ones after that.
func progressCase(w *world, trouble bool) ([]string, error) {
	w.linkMbps = 20 // the front machines of the grown sites have 10 to 200 Mbit/s
	for i := range 3 {
		if err := w.startEntry(10+i, zones[i%2]); err != nil {
			return nil, err
		}
	}
	for i := range progressVMs {
		if _, err := w.startVM(100+i, zones[i%2], largeRunner); err != nil {
			return nil, err
		}
	}
	if err := w.awaitReady(); err != nil {
		return nil, err
	}
	time.Sleep(3 * time.Second)
	small := func(i int) (string, []step) {
		return fmt.Sprintf("5a5a0000000000%02x", i), []step{
			{Count: 4, CPU: 500, MemoryMB: 64, EstimateMS: 500}, {Count: 4, CPU: 500, MemoryMB: 64, EstimateMS: 500, After: []int{0}},
		}
	}
	grey := w.runners[0]
	if trouble {
		grey.setFailing(true)
		w.log("%s begins to fail all that it starts", grey.id)
	}
	wide := "b1b1000000000001"
	if !w.submit(wide, strings.Repeat("wide ", 480), []step{{Count: wideTasks, CPU: 30, MemoryMB: 8, EstimateMS: 8000}}) {
		return nil, fmt.Errorf("the wide submission was not accepted")
	}
	time.Sleep(greyTime)
	if trouble {
		grey.setFailing(false)
		w.log("%s is sound again", grey.id)
	}
	w.logCounts()
	for range 5 {
		time.Sleep(5 * time.Second)
		w.logCounts()
	}
	w.log("state of the wide submission: %s", w.state(wide))
	ids := []string{}
	for i := range smallSubmissions {
		id, steps := small(i)
		if w.submit(id, "small", steps) {
			ids = append(ids, id)
		}
	}
	if len(ids) == 0 {
		return nil, fmt.Errorf("no small submission was accepted")
	}
	time.Sleep(finishTime)
	w.logCounts()
	return w.checkLost(append([]string{wide}, ids...)), nil
}

func (r *runner) setFailing(failing bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.failing = failing
}

func (w *world) logCounts() {
	counts := map[string]int{}
	w.mu.Lock()
	for _, e := range w.events {
		counts[e.kind]++
	}
	oversize := w.oversize
	w.mu.Unlock()
	unacknowledged := 0
	for _, r := range w.runners {
		unacknowledged += r.unacknowledged()
	}
	w.log("so far: %d starts, %d done, %d failed, %d stopped, %d lapsed; ends not taken note of: %d; transactions refused as too large: %d",
		counts["start"], counts["done"], counts["failed"], counts["stopped"], counts["lapsed"], unacknowledged, oversize)
}

// checkLost looks at the submissions for three seconds, as RULES (LOST) does finishTime after the traffic: one
// has nothing running while a task's turn has come, although there is capacity for it twice over and less
// than half of the capacity is in use.
func (w *world) checkLost(ids []string) (findings []string) {
	idle := map[string]bool{}
	for _, id := range ids {
		idle[id] = true
	}
	for range 30 {
		running, done := map[string]bool{}, map[taskName]bool{}
		var used, capacity int64
		for _, r := range w.runners {
			used += r.usedCPU()
			capacity += r.capacity.CPU
			r.mu.Lock()
			for _, v := range r.runs {
				running[v.task.job] = true
			}
			r.mu.Unlock()
		}
		w.mu.Lock()
		for _, e := range w.events {
			if t, err := parseTask(e.task); err == nil && e.kind == "done" {
				done[t] = true
			}
		}
		w.mu.Unlock()
		for _, id := range ids {
			idle[id] = idle[id] && !running[id] && 2*used < capacity && w.turnHasCome(id, done)
		}
		time.Sleep(100 * time.Millisecond)
	}
	for _, id := range ids {
		state := w.state(id)
		w.log("state of %s: %s", id, state)
		if idle[id] {
			findings = append(findings, fmt.Sprintf("LOST: submission %s (%s) had nothing running for 3 s, %s after the last submission, although a task's turn has come and the runners are idle", id, state, finishTime))
		}
	}
	return findings
}

// turnHasCome reports whether a task has not ended done and all tasks of the steps before it have.
func (w *world) turnHasCome(id string, done map[taskName]bool) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	complete := make([]bool, len(w.steps[id]))
	for i, s := range w.steps[id] {
		complete[i] = true
		for t := range s.Count {
			complete[i] = complete[i] && done[taskName{id, 0, i, t}]
		}
		ready := true
		for _, before := range s.After {
			ready = ready && complete[before]
		}
		if ready && !complete[i] {
			return true
		}
	}
	return false
}
