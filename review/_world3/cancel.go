package main

import (
	"fmt"
	"net/http"
	"sync"
	"time"
)

const (
	lostShare = 0.35
	lostTime  = 4500 * time.Millisecond
	// latest is the longest time by which the store performs a write late.
	latest = 6 * time.Second
	// patience is after how long a caller leaves that has no answer.
	patience = 600 * time.Millisecond
)

// cancelled is a submission whose cancel was acknowledged.
type cancelled struct {
	id              string
	posted, deleted int
	at              time.Time
}

// cancelCase has callers leave that get no answer to their submission, and cancel it.
func cancelCase(w *world, trouble bool) (breaches []string, err error) {
	r := newRuns(w.record)
	err = w.start(options{
		entries: 2, agents: 3, cpu: 64000, memory: 250000, observe: r.observe,
		duration: func(string) time.Duration { return time.Hour },
	})
	if err != nil {
		return nil, err
	}
	if trouble {
		w.record.line("for %s the store does not answer %.2f of the writes and performs them 1 to 6 s late", lostTime, lostShare)
		w.late.loseAnswers(lostShare, lostTime)
	}
	var mu sync.Mutex
	var all []cancelled
	var wg sync.WaitGroup
	began := time.Now()
	for i := range 36 {
		time.Sleep(time.Until(began.Add(time.Duration(i) * 100 * time.Millisecond)))
		wg.Go(func() {
			c := cancelled{id: newID()}
			path := prefix + c.id
			c.posted, _ = w.call(w.entries[i%2], http.MethodPost, path,
				`{"spec":"watch","steps":[{"count":1,"cpu":100,"memMb":64,"estimateMs":1000,"longRunning":true}]}`, patience)
			for range 5 {
				c.deleted, _ = w.call(w.entries[(i+1)%2], http.MethodDelete, path, "", deadlineMS*time.Millisecond)
				if c.deleted/100 == 2 || c.deleted == http.StatusGone {
					c.at = time.Now()
					mu.Lock()
					all = append(all, c)
					mu.Unlock()
					return
				}
			}
		})
	}
	wg.Wait()
	// The tasks must be gone cancel_ms and stopMs after the store has been without disruption for contactMs.
	time.Sleep(time.Until(began.Add(lostTime + latest + (contactMS+cancelMS+stopMS)*time.Millisecond + time.Second)))
	for _, c := range all {
		if time.Since(c.at) < (cancelMS+stopMS)*time.Millisecond {
			continue
		}
		for _, run := range r.running(c.id) {
			breaches = append(breaches, fmt.Sprintf(
				"UNASKED: %s runs %.1f s after the cancel of its submission was answered with %d (the submission: %d)",
				run, time.Since(c.at).Seconds(), c.deleted, c.posted))
		}
	}
	for _, c := range all {
		if len(r.running(c.id)) > 0 {
			_, _ = w.call(w.entries[0], http.MethodGet, prefix+c.id, "", deadlineMS*time.Millisecond)
		}
	}
	w.record.line("%d cancels were acknowledged, %d runs are active", len(all), r.total())
	if len(all) < 10 {
		return nil, fmt.Errorf("only %d cancels were acknowledged", len(all))
	}
	return breaches, nil
}
