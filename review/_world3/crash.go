package main

import (
	"fmt"
	"net/http"
	"os"
	"time"
)

const (
	crashRunners = 8
	// downTime is how long the runner is down after its first crash.
	downTime = time.Second
	// upTime is for how long it is up before it crashes for good.
	upTime = 800 * time.Millisecond
	// settleTime is the part of upTime after which further work is submitted.
	settleTime = 300 * time.Millisecond
	// A task that lasts must run again: from afterRun after its last run, it may not be without one for idleTime, if
	// that time and calmBefore before it are without disruption.
	afterRun   = 6 * time.Second
	idleTime   = 3 * time.Second
	calmBefore = 4 * time.Second
)

// crashCase has a runner crash, start again under its id and crash for good.
func crashCase(w *world, trouble bool) (breaches []string, err error) {
	r := newRuns(w.record)
	err = w.start(options{
		entries: 2, agents: crashRunners, cpu: 64000, memory: 250000, observe: r.observe,
		duration: func(string) time.Duration { return time.Hour },
	})
	if err != nil {
		return nil, err
	}
	var wanted []string
	submit := func() error {
		id := newID()
		status, _ := w.call(w.entries[0], http.MethodPost, prefix+id,
			fmt.Sprintf(`{"spec":"watch","steps":[{"count":%d,"cpu":1000,"memMb":64,"estimateMs":1000,"longRunning":true}]}`, crashRunners), deadlineMS*time.Millisecond)
		if status != http.StatusOK {
			return fmt.Errorf("submission was answered with %d", status)
		}
		for i := range crashRunners {
			wanted = append(wanted, fmt.Sprintf("%s.0.0.%d", id, i))
		}
		return nil
	}
	if err := submit(); err != nil {
		return nil, err
	}
	time.Sleep(2 * time.Second)
	victim := w.runners[0]
	if trouble && os.Getenv("CRASHES") != "1" {
		w.record.line("runner %s crashes", victim.ID)
		victim.down()
		time.Sleep(downTime)
		if err := victim.up(); err != nil {
			return nil, err
		}
		w.record.line("runner %s starts again under its id", victim.ID)
	}
	time.Sleep(settleTime)
	for range 3 {
		if err := submit(); err != nil {
			return nil, err
		}
	}
	time.Sleep(upTime - settleTime)
	if trouble {
		w.record.line("runner %s crashes for good", victim.ID)
		victim.down()
	}
	calmSince := time.Now()
	lastRun, idleSince, broken := map[string]time.Time{}, map[string]time.Time{}, map[string]bool{}
	for _, task := range wanted {
		lastRun[task] = calmSince
	}
	for time.Since(calmSince) < 18*time.Second {
		now, running := time.Now(), r.tasks()
		for _, task := range wanted {
			if running[task] {
				lastRun[task], idleSince[task] = now, time.Time{}
				continue
			}
			counts := now.Sub(lastRun[task]) >= afterRun && now.Sub(calmSince) >= calmBefore
			if counts && idleSince[task].IsZero() {
				idleSince[task] = now
			}
			if counts && now.Sub(idleSince[task]) >= idleTime && !broken[task] {
				broken[task] = true
				breaches = append(breaches, fmt.Sprintf("LOST: %s is to last and has not run for %.1f s, %.1f s after the last disruption",
					task, now.Sub(lastRun[task]).Seconds(), now.Sub(calmSince).Seconds()))
			}
		}
		time.Sleep(20 * time.Millisecond)
	}
	return breaches, nil
}
