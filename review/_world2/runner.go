package main

import (
	"encoding/json"
	"fmt"
	"net/http"
	"sync"
	"time"
)

const (
	// maxListedEnds bounds the ends in one answer (PROTOCOL, Running tasks).
	maxListedEnds = 500
	// tickInterval is how often a runner looks for runs that end by themselves.
	tickInterval = 5 * time.Millisecond
	stopTime     = 100 * time.Millisecond
)

// event is a change of a run that a runner has seen.
type event struct {
	at     time.Time
	runner string
	// kind is "start", how the run ended, or "noted" once that end has been taken note of before the
	// runner's lease lapsed.
	kind string
	task string
	run  int64
}

// runner is a stand-in for a runner of the platform, with one process and no restarts.
type runner struct {
	world    *world
	id, zone string
	address  string
	capacity resources
	label    string
	started  time.Time
	server   *http.Server

	mu sync.Mutex
	// left is set once the runner's machine is gone for good.
	left bool
	// holdDelay is how long the answer to each /hold takes.
	holdDelay time.Duration
	// failing is set while the runner fails all that it starts.
	failing  bool
	fence    int64
	leaseEnd time.Duration // on the runner's clock
	runs     map[string]*run
	highest  map[string]int64 // the highest run of each task that was started or stopped
	ends     []endedRun
	sequence int64
	reports  int64
}

type run struct {
	task      taskName
	number    int64
	step      step
	startedAt time.Duration
	// workingAt is when the work began; 0 while a gang is incomplete.
	workingAt time.Duration
	stoppedAt time.Duration
	fails     bool
}

type endedRun struct {
	sequence int64
	task     string
	number   int64
	how      string
	// lapsed is set if the runner's lease has lapsed since the run ended.
	lapsed bool
}

type resources struct {
	CPU      int64 `json:"cpu"`
	MemoryMB int64 `json:"memMb"`
	GPUs     int64 `json:"gpu"`
}

func newRunner(w *world, id, zone, address string, capacity resources) *runner {
	r := &runner{
		world: w, id: id, zone: zone, address: address, capacity: capacity, label: "a", started: time.Now(),
		runs: map[string]*run{}, highest: map[string]int64{},
	}
	go func() {
		for range time.Tick(tickInterval) {
			r.mu.Lock()
			r.endRuns()
			r.mu.Unlock()
		}
	}()
	return r
}

// leave ends the runner and all that it runs for good, as the loss of its machine does.
func (r *runner) leave() {
	r.mu.Lock()
	r.left = true
	for name, v := range r.runs {
		delete(r.runs, name)
		r.world.observe(event{time.Now(), r.id, "lost", name, v.number})
		if v.step.Gang {
			r.world.gangs.leave(v, "lost")
		}
	}
	r.mu.Unlock()
	_ = r.server.Close()
}

func (r *runner) hasLeft() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.left
}

func (r *runner) clock() time.Duration { return time.Since(r.started) }

// end ends a run. The caller holds mu.
func (r *runner) end(name string, v *run, how string) {
	delete(r.runs, name)
	r.sequence++
	r.ends = append(r.ends, endedRun{sequence: r.sequence, task: name, number: v.number, how: how})
	r.world.observe(event{time.Now(), r.id, how, name, v.number})
	if v.step.Gang {
		r.world.gangs.leave(v, how)
	}
}

// endRuns ends the runs that are over. The caller holds mu.
func (r *runner) endRuns() {
	now := r.clock()
	if now > r.leaseEnd {
		for i := range r.ends {
			r.ends[i].lapsed = true
		}
	}
	for name, v := range r.runs {
		if v.step.Gang && v.workingAt == 0 && r.world.gangs.complete(v) {
			v.workingAt = now
		}
		switch {
		case now > r.leaseEnd:
			r.end(name, v, "lapsed")
		case v.stoppedAt != 0 && now >= v.stoppedAt:
			r.end(name, v, "stopped")
		case v.step.Gang && r.world.gangs.broken(v):
			r.end(name, v, "broken")
		case v.step.Gang && v.workingAt == 0 && now-v.startedAt > r.world.gangTime:
			r.end(name, v, "alone")
		case v.fails && now-v.startedAt > failTime:
			r.end(name, v, "failed")
		case v.step.LongRunning || v.workingAt == 0:
		case now-v.workingAt > v.step.duration():
			r.end(name, v, "done")
		}
	}
}

type order struct {
	Task       string `json:"task"`
	Run        int64  `json:"run"`
	Spec       string `json:"spec"`
	DeadlineMS int64  `json:"deadlineMs"`
	Token      int64  `json:"fencingToken"`
	LastSeen   int64  `json:"lastSeen"`
	WaitMS     int64  `json:"waitMs"`
}

// ServeHTTP implements http.Handler.
func (r *runner) ServeHTTP(w http.ResponseWriter, req *http.Request) {
	var o order
	if err := json.NewDecoder(req.Body).Decode(&o); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	if req.Header.Get("Expect-Instance") != r.id {
		http.Error(w, "another instance", http.StatusMisdirectedRequest)
		return
	}
	if req.URL.Path == "/hold" {
		r.hold(w, req, o)
		return
	}
	r.mu.Lock()
	r.endRuns()
	reason := ""
	switch {
	case o.Token < r.fence:
		reason = "fence"
	case req.URL.Path == "/run-start":
		r.fence = o.Token
		reason = r.start(o)
	case req.URL.Path == "/run-stop":
		r.fence = o.Token
		r.highest[o.Task] = max(r.highest[o.Task], o.Run)
		if v := r.runs[o.Task]; v != nil && v.number == o.Run && v.stoppedAt == 0 {
			v.stoppedAt = r.clock() + stopTime
		}
	}
	clock := r.clock()
	r.mu.Unlock()
	if reason != "" {
		respond(w, http.StatusConflict, map[string]any{"clockMs": clock.Milliseconds(), "reason": reason})
		return
	}
	respond(w, http.StatusOK, map[string]any{"clockMs": clock.Milliseconds()})
}

// extendLease never shortens the lease, and limits it to the platform's longest one.
func (r *runner) extendLease(deadlineMS int64) {
	until := min(time.Duration(deadlineMS)*time.Millisecond, r.clock()+r.world.maxLease)
	r.leaseEnd = max(r.leaseEnd, until)
}

func (r *runner) start(o order) (reason string) {
	name, err := parseTask(o.Task)
	s, known := r.world.step(name)
	if err != nil || !known {
		r.world.observe(event{time.Now(), r.id, "unasked", o.Task, o.Run})
		return "old"
	}
	if time.Duration(o.DeadlineMS)*time.Millisecond <= r.clock() {
		return "late"
	}
	v := r.runs[o.Task]
	switch {
	case v != nil && v.number == o.Run:
		r.extendLease(o.DeadlineMS)
		return ""
	case o.Run <= r.highest[o.Task]:
		r.extendLease(o.DeadlineMS)
		return "old"
	}
	used := resources{}
	for _, other := range r.runs {
		if !other.step.Fills {
			used.CPU += other.step.CPU
		}
		used.MemoryMB += other.step.MemoryMB
	}
	r.extendLease(o.DeadlineMS)
	if !s.Fills && used.CPU+s.CPU > r.capacity.CPU || used.MemoryMB+s.MemoryMB > r.capacity.MemoryMB {
		return "room"
	}
	r.highest[o.Task] = o.Run
	v = &run{task: name, number: o.Run, step: s, startedAt: r.clock(), fails: r.failing || r.world.hopeless[name.job]}
	if s.Gang {
		r.world.gangs.join(v)
	} else {
		v.workingAt = v.startedAt
	}
	r.runs[o.Task] = v
	r.world.observe(event{time.Now(), r.id, "start", o.Task, o.Run})
	return ""
}

func (r *runner) hold(w http.ResponseWriter, req *http.Request, o order) {
	deadline := time.Now().Add(time.Duration(min(o.WaitMS, 2000)) * time.Millisecond)
	first := true
	for {
		r.mu.Lock()
		if r.left {
			r.mu.Unlock()
			panic(http.ErrAbortHandler)
		}
		if o.Token < r.fence {
			clock := r.clock()
			r.mu.Unlock()
			respond(w, http.StatusConflict, map[string]any{"clockMs": clock.Milliseconds(), "reason": "fence"})
			return
		}
		r.fence = o.Token
		r.endRuns()
		if first && o.DeadlineMS > 0 {
			r.extendLease(o.DeadlineMS)
		}
		first = false
		for len(r.ends) > 0 && r.ends[0].sequence <= o.LastSeen {
			if e := r.ends[0]; !e.lapsed {
				r.world.observe(event{time.Now(), r.id, "noted", e.task, e.number})
			}
			r.ends = r.ends[1:]
		}
		if len(r.ends) > 0 || !time.Now().Before(deadline) {
			answer, delay := r.lists(), r.holdDelay
			r.mu.Unlock()
			time.Sleep(delay)
			respond(w, http.StatusOK, answer)
			return
		}
		r.mu.Unlock()
		select {
		case <-req.Context().Done():
			return
		case <-time.After(tickInterval):
		}
	}
}

func (r *runner) lists() map[string]any {
	now := r.clock()
	active, ended := []any{}, []any{}
	for name, v := range r.runs {
		percent := 0
		if d := v.step.duration(); v.workingAt != 0 && d > 0 {
			percent = min(int(100*(now-v.workingAt)/d), 99)
		}
		if v.step.LongRunning {
			percent = 100
		}
		active = append(active, []any{name, v.number, "", percent, v.step.CPU})
	}
	for _, e := range r.ends[:min(len(r.ends), maxListedEnds)] {
		ended = append(ended, []any{e.sequence, e.task, e.number, e.how, ""})
	}
	return map[string]any{
		"clockMs": now.Milliseconds(), "born": r.started.UnixMilli(), "activeRuns": active, "ended": ended,
	}
}

// report sends one status report to the agent of the runner's machine.
func (r *runner) report(client *http.Client, control string) {
	r.mu.Lock()
	r.reports++
	body := map[string]any{
		"service": serviceName, "address": r.address, "zone": r.zone, "version": "v1", "slots": 8, "state": "ready",
		"warmupMs": 0, "capacity": r.capacity, "labels": []string{r.label, "r1-1"}, "clockMs": r.clock().Milliseconds(),
		"born": r.started.UnixMilli(), "sequence": r.reports,
	}
	r.mu.Unlock()
	_, _ = send(client, http.MethodPut, "http://"+control+"/instances/"+r.id, "", body)
}

// gangs tracks the members of gangs over all runners.
type gangs struct {
	mu      sync.Mutex
	present map[string]map[int]bool
	ended   map[string]bool
}

func gangKey(v *run) string {
	return fmt.Sprintf("%s.%d.%d/%d", v.task.job, v.task.occurrence, v.task.step, v.number)
}

func (g *gangs) join(v *run) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.present[gangKey(v)] == nil {
		g.present[gangKey(v)] = map[int]bool{}
	}
	g.present[gangKey(v)][v.task.index] = true
}

// leave records that a member has ended. The end of one member that isn't done breaks the others.
func (g *gangs) leave(v *run, how string) {
	g.mu.Lock()
	defer g.mu.Unlock()
	delete(g.present[gangKey(v)], v.task.index)
	if how != "done" {
		g.ended[gangKey(v)] = true
	}
}

func (g *gangs) complete(v *run) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	return len(g.present[gangKey(v)]) == v.step.Count
}

func (g *gangs) broken(v *run) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	return v.workingAt != 0 && g.ended[gangKey(v)]
}

// unacknowledged returns the number of listed ends that the system has not taken note of.
func (r *runner) unacknowledged() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return len(r.ends)
}

// usedCPU returns the CPU that all runs request.
func (r *runner) usedCPU() (cpu int64) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, v := range r.runs {
		cpu += v.step.CPU
	}
	return cpu
}
