package main

import (
	"encoding/json"
	"fmt"
	"net/http"
	"sync"
	"time"
)

// The queue's policy. A call for all runners takes decide and 11 times each: 1.49 s.
const (
	decide      = 500 * time.Millisecond
	each        = 90 * time.Millisecond
	ticketValid = 3 * time.Second
	adviceAgent = 11
)

// advisor is the advice service for one calling machine: it handles one call at a time, in turn.
type advisor struct {
	record  *record
	turn    sync.Mutex
	mu      sync.Mutex
	waiting int
	// valid is until when each ticket is valid.
	valid map[string]time.Time
}

const maxWaiting = 32

// ServeHTTP implements http.Handler.
func (a *advisor) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	var request struct {
		Step    string   `json:"step"`
		Workers []string `json:"workers"`
	}
	if err := json.NewDecoder(r.Body).Decode(&request); err != nil || r.URL.Path != "/advise" || len(request.Workers) > 100 {
		http.Error(w, "malformed request", http.StatusBadRequest)
		return
	}
	a.mu.Lock()
	full := a.waiting >= maxWaiting
	if !full {
		a.waiting++
	}
	a.mu.Unlock()
	if full {
		http.Error(w, "too many calls", http.StatusTooManyRequests)
		return
	}
	a.record.line("advice asked for %s on %d runners", request.Step, len(request.Workers))
	a.turn.Lock()
	a.mu.Lock()
	a.waiting--
	a.mu.Unlock()
	if r.Context().Err() != nil {
		a.turn.Unlock()
		a.record.line("advice for %s not given; its caller has left", request.Step)
		return
	}
	time.Sleep(decide + time.Duration(len(request.Workers))*each)
	granted := [][2]string{}
	a.mu.Lock()
	for _, id := range request.Workers {
		ticket := request.Step + "/" + id
		a.valid[ticket] = time.Now().Add(ticketValid)
		granted = append(granted, [2]string{id, ticket})
	}
	a.mu.Unlock()
	a.turn.Unlock()
	w.Header().Set("Content-Type", "application/json")
	err := json.NewEncoder(w).Encode(map[string]any{"granted": granted, "validMs": ticketValid.Milliseconds()})
	a.record.line("advice given for %s; caller still there: %t", request.Step, err == nil && r.Context().Err() == nil)
}

// adviceCase submits to a queue with a policy, at the usual rate and, as the disruption, more for some seconds.
func adviceCase(w *world, trouble bool) (breaches []string, err error) {
	r := newRuns(w.record)
	service := &advisor{record: w.record, valid: map[string]time.Time{}}
	address, err := w.serve(w.octets+".0.2:0", service)
	if err != nil {
		return nil, err
	}
	err = w.start(options{
		entries: 1, agents: adviceAgent, cpu: 64000, memory: 250000, observe: r.observe,
		duration: func(string) time.Duration { return 1500 * time.Millisecond },
		ticket: func(runner, task string) string {
			return stepOf(task) + "/" + runner
		},
		queue: map[string]any{"advice": map[string]any{
			"decideMs": decide.Milliseconds(), "eachMs": each.Milliseconds(), "validMs": ticketValid.Milliseconds(),
		}},
		entryExtra: func(int) string { return fmt.Sprintf("advice = %q\n", address) },
	})
	if err != nil {
		return nil, err
	}
	return adviceTraffic(w, r, trouble)
}

// stepOf returns the name of a task's step.
func stepOf(task string) string {
	for i := len(task) - 1; i >= 0; i-- {
		if task[i] == '.' {
			return task[:i]
		}
	}
	return task
}

const (
	usualPause  = 1750 * time.Millisecond
	burstTenths = 26
	burstAt     = 3500 * time.Millisecond
	burstTime   = 4 * time.Second
	trafficTime = 12 * time.Second
	// tasksOfStep is the number of tasks of each submission.
	tasksOfStep = 4
)

func adviceTraffic(w *world, r *runs, trouble bool) (breaches []string, err error) {
	began := time.Now()
	accepted := map[string]time.Time{}
	for next := began; next.Sub(began) < trafficTime; {
		time.Sleep(time.Until(next))
		id := newID()
		status, _ := w.call(w.entries[0], http.MethodPost, prefix+id,
			fmt.Sprintf(`{"spec":"batch","steps":[{"count":%d,"cpu":1000,"memMb":64,"estimateMs":1500}]}`, tasksOfStep), deadlineMS*time.Millisecond)
		if status/100 == 2 {
			accepted[id] = time.Now()
		}
		pause := usualPause
		if at := next.Sub(began); trouble && at >= burstAt && at < burstAt+burstTime {
			pause = usualPause * 10 / burstTenths
		}
		next = next.Add(pause)
	}
	ended := time.Now()
	w.record.line("the traffic ends; %d submissions were accepted", len(accepted))
	// From finish_s after the end of the traffic, no submission may have nothing running for 3 s.
	time.Sleep(time.Until(ended.Add(finishS * time.Second)))
	idle := map[string]bool{}
	for id := range accepted {
		idle[id] = r.doneTasks(id) < tasksOfStep
	}
	mostRuns := 0
	for until := time.Now().Add(3 * time.Second); time.Now().Before(until); time.Sleep(20 * time.Millisecond) {
		mostRuns = max(mostRuns, r.total())
		for id := range accepted {
			if len(r.running(id)) > 0 || r.doneTasks(id) == tasksOfStep {
				idle[id] = false
			}
		}
	}
	w.record.line("at most %d runs of 1 core are active while the runners have %d cores", mostRuns, 64*adviceAgent)
	for id, at := range accepted {
		if !idle[id] {
			continue
		}
		_, state := w.call(w.entries[0], http.MethodGet, prefix+id, "", deadlineMS*time.Millisecond)
		breaches = append(breaches, fmt.Sprintf(
			"LOST: submission %s, accepted %.1f s ago, had nothing running for 3 s from finish_s on, with %d of %d tasks done: %s",
			id, time.Since(at).Seconds(), r.doneTasks(id), tasksOfStep, state))
	}
	if len(accepted) == 0 {
		return nil, errStalled
	}
	return breaches, nil
}
