package main

import (
	"fmt"
	"time"
)

// Sizes of the case "eject": 3 of 60 submissions, as poison has it (share 0.05).
const (
	ejectVMs      = 8
	ejectSound    = 57
	ejectHopeless = 3
)

func init() { cases["eject"] = ejectCase }

// ejectCase submits three hopeless submissions among sixty, and then a watch that needs the same label as they
// do. One runner of eight has it.
func ejectCase(w *world, trouble bool) ([]string, error) {
	for i := range 2 {
		if err := w.startEntry(10+i, zones[i%2]); err != nil {
			return nil, err
		}
	}
	for i := range ejectVMs {
		label := "a"
		if i == 0 {
			label = "b"
		}
		if err := w.startAgent(100+i, zones[i%2], nil); err != nil {
			return nil, err
		}
		if _, err := w.startRunner(100+i, zones[i%2], largeRunner, label); err != nil {
			return nil, err
		}
	}
	if err := w.awaitReady(); err != nil {
		return nil, err
	}
	time.Sleep(3 * time.Second)
	for i := range ejectSound + ejectHopeless {
		id, s := fmt.Sprintf("5a5a0000000000%02x", i), step{Count: 4, CPU: 500, MemoryMB: 64, EstimateMS: 500}
		if i >= ejectSound {
			s.Label = "b"
			w.hopeless[id] = trouble
		}
		w.submit(id, "small", []step{s})
		time.Sleep(50 * time.Millisecond)
	}
	time.Sleep(500 * time.Millisecond)
	watch := "1a57000000000001"
	accepted := time.Now()
	if !w.submit(watch, "watch", []step{{Count: 2, CPU: 1000, MemoryMB: 100, EstimateMS: 1000, LongRunning: true, Label: "b"}}) {
		return nil, fmt.Errorf("the watch was not accepted")
	}
	w.waitForWatch(15*time.Second, 1000)
	w.log("state of the watch: %s", w.state(watch))
	return w.checkFirstStart(watch, accepted), nil
}

// checkFirstStart returns the breaks of RULES (LOST) for a submission that lasts: nothing of it runs for idleLimit
// after it was accepted.
func (w *world) checkFirstStart(id string, accepted time.Time) []string {
	w.mu.Lock()
	defer w.mu.Unlock()
	first := time.Now()
	for _, e := range w.events {
		if t, err := parseTask(e.task); err == nil && t.job == id && e.kind == "start" {
			first = e.at
			break
		}
	}
	if first.Sub(accepted) < idleLimit {
		return nil
	}
	return []string{fmt.Sprintf("LOST: %s has nothing running from %.3f s to %.3f s", id, accepted.Sub(w.began).Seconds(), first.Sub(w.began).Seconds())}
}
