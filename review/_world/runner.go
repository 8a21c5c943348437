package main

import (
	"bytes"
	"context"
	"encoding/json"
	"net"
	"net/http"
	"time"
)

// resources are those of a runner or of a task.
type resources struct {
	CPU   int64 `json:"cpu"`
	MemMB int64 `json:"memMb"`
	GPU   int64 `json:"gpu"`
}

// runner is a stand-in for one life of a runner, after the users' page on the protocol: it rejects
// what does not fit, keeps ends until they are acknowledged, and kills its runs when its lease
// expires.
type runner struct {
	w        *world
	id, name string
	address  string
	control  string
	zone     string
	capacity resources
	labels   []string
	born     time.Time
	server   *http.Server

	// All fields below are guarded by world.mu.
	sequence int64
	fence    int64
	lease    time.Duration // on the runner's clock
	active   map[string]*run
	highest  map[string]int64
	ends     []endRow // not taken note of
	endCount int64
	changed  chan struct{}
}

// run is a run on a runner.
type run struct {
	task     string
	number   int64
	working  time.Time // zero until the run works
	stopping bool
}

type endRow struct {
	n      int64
	task   string
	number int64
	how    string
	at     time.Time
}

func (r *runner) clock() time.Duration { return time.Since(r.born) }

// listen starts serving calls. It does not report to the agent yet.
func (r *runner) listen() error {
	ln, err := net.Listen("tcp", r.address)
	if err != nil {
		return err
	}
	r.server = &http.Server{Handler: r, ReadHeaderTimeout: 5 * time.Second}
	go func() { _ = r.server.Serve(ln) }()
	return nil
}

// report sends pings until ctx ends.
func (r *runner) report(ctx context.Context, interval time.Duration) {
	for ctx.Err() == nil {
		r.w.mu.Lock()
		r.sequence++
		body, _ := json.Marshal(map[string]any{
			"service": serviceName, "address": r.address, "zone": r.zone, "version": "v1", "slots": 8, "state": "ready",
			"warmupMs": 0, "capacity": r.capacity, "labels": r.labels, "clockMs": r.clock().Milliseconds(),
			"born": r.born.UnixMilli(), "sequence": r.sequence,
		})
		r.w.mu.Unlock()
		callCtx, cancel := context.WithTimeout(ctx, time.Second)
		request, _ := http.NewRequestWithContext(callCtx, http.MethodPut, "http://"+r.control+"/instances/"+r.id, bytes.NewReader(body))
		request.Header.Set("Content-Type", "application/json")
		if response, err := http.DefaultClient.Do(request); err == nil {
			_ = response.Body.Close()
		}
		cancel()
		select {
		case <-ctx.Done():
		case <-time.After(interval):
		}
	}
}

type orderBody struct {
	Task       string `json:"task"`
	Run        int64  `json:"run"`
	Spec       string `json:"spec"`
	DeadlineMS int64  `json:"deadlineMs"`
	Token      int64  `json:"fencingToken"`
	Percent    int    `json:"percent"`
	LastSeen   int64  `json:"lastSeen"`
	WaitMS     int64  `json:"waitMs"`
}

// ServeHTTP implements the calls of the agent.
func (r *runner) ServeHTTP(w http.ResponseWriter, req *http.Request) {
	var o orderBody
	if err := json.NewDecoder(req.Body).Decode(&o); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	r.w.mu.Lock()
	if req.Header.Get("Expect-Instance") != r.id {
		r.w.mu.Unlock()
		http.Error(w, "another lifetime", http.StatusMisdirectedRequest)
		return
	}
	if req.URL.Path == "/hold" {
		r.hold(w, req, o) // unlocks
		return
	}
	defer r.w.mu.Unlock()
	reason, known := r.carryOut(req.URL.Path, o)
	if !known {
		http.NotFound(w, req)
		return
	}
	status := http.StatusOK
	answer := map[string]any{"clockMs": r.clock().Milliseconds()}
	if reason != "" {
		status, answer["reason"] = http.StatusConflict, reason
	}
	reply(w, status, answer)
}

// carryOut carries out an order other than a lease renewal, or returns why it does not.
func (r *runner) carryOut(path string, o orderBody) (reason string, known bool) {
	switch {
	case o.Token < r.fence:
		reason = "fence"
	case path == "/run-start":
		r.fence = o.Token
		reason = r.start(o)
	case path == "/run-stop":
		r.fence = o.Token
		r.highest[o.Task] = max(r.highest[o.Task], o.Run)
		if x := r.active[o.Task]; x != nil && x.number == o.Run && !x.stopping {
			x.stopping = true
			r.w.logf("stop %s run %d on %s", x.task, x.number, r.name)
			time.AfterFunc(stopTime, func() { r.endLater(x, "stopped") })
		}
	case path == "/pace":
		r.fence = o.Token
	default:
		return "", false
	}
	return reason, true
}

func reply(w http.ResponseWriter, status int, body any) {
	data, _ := json.Marshal(body)
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_, _ = w.Write(data)
}

// extend extends the lease to a time on the runner's clock, shortened to the longest lease.
func (r *runner) extend(deadlineMS int64) {
	r.lease = max(r.lease, min(time.Duration(deadlineMS)*time.Millisecond, r.clock()+holdMax))
}

// start starts a run, or returns why it does not.
func (r *runner) start(o orderBody) string {
	if time.Duration(o.DeadlineMS)*time.Millisecond <= r.clock() {
		return "late"
	}
	if x := r.active[o.Task]; x != nil && x.number == o.Run {
		r.extend(o.DeadlineMS)
		return ""
	}
	if o.Run <= r.highest[o.Task] {
		r.extend(o.DeadlineMS)
		return "old"
	}
	step := r.w.stepOf(o.Task)
	if r.active[o.Task] != nil {
		r.w.breach("TWICE", "%s run %d on %s while run %d is there", o.Task, o.Run, r.name, r.active[o.Task].number)
	}
	if step == nil {
		r.w.breach("UNASKED", "%s was told to start %s, which nobody submitted", r.name, o.Task)
		return "room"
	}
	used := step.need()
	for _, x := range r.active {
		n := r.w.stepOf(x.task).need()
		used.CPU, used.MemMB, used.GPU = used.CPU+n.CPU, used.MemMB+n.MemMB, used.GPU+n.GPU
	}
	if used.CPU > r.capacity.CPU || used.MemMB > r.capacity.MemMB || used.GPU > r.capacity.GPU || r.active[o.Task] != nil {
		r.extend(o.DeadlineMS)
		r.w.logf("rejected for room: %s run %d on %s", o.Task, o.Run, r.name)
		return "room"
	}
	r.extend(o.DeadlineMS)
	r.highest[o.Task] = o.Run
	x := &run{task: o.Task, number: o.Run}
	r.active[o.Task] = x
	r.w.started(r, x, o.Spec)
	r.work(x, step)
	return ""
}

// work lets a run begin its work.
func (r *runner) work(x *run, step *stepSpec) {
	x.working = time.Now()
	if !step.LongRunning {
		time.AfterFunc(step.duration(), func() { r.endLater(x, "done") })
	}
}

// endLater ends a run, unless it has ended.
func (r *runner) endLater(x *run, how string) {
	r.w.mu.Lock()
	defer r.w.mu.Unlock()
	if r.active[x.task] == x {
		r.end(x, how)
	}
}

// end ends a run and lists the end.
func (r *runner) end(x *run, how string) {
	delete(r.active, x.task)
	r.endCount++
	r.ends = append(r.ends, endRow{r.endCount, x.task, x.number, how, time.Now()})
	r.w.ran(r, x, how)
	close(r.changed)
	r.changed = make(chan struct{})
}

// expire kills everything once the lease has expired.
func (r *runner) expire() {
	if r.clock() <= r.lease || r.lease == 0 {
		return
	}
	r.lease = 0
	for _, x := range r.active {
		r.end(x, "lapsed")
	}
}

// hold serves a lease renewal. It is called with the lock held and unlocks it.
func (r *runner) hold(w http.ResponseWriter, req *http.Request, o orderBody) {
	until := time.Now().Add(min(time.Duration(o.WaitMS)*time.Millisecond, 2*time.Second))
	if o.Token >= r.fence {
		r.fence = o.Token
		r.expire()
		r.extend(o.DeadlineMS)
		for len(r.ends) > 0 && r.ends[0].n <= o.LastSeen {
			r.w.acknowledged(r, r.ends[0])
			r.ends = r.ends[1:]
		}
	}
	for {
		r.expire()
		left := time.Until(until)
		if o.Token < r.fence {
			clock := r.clock()
			r.w.mu.Unlock()
			reply(w, http.StatusConflict, map[string]any{"clockMs": clock.Milliseconds(), "reason": "fence"})
			return
		}
		if len(r.ends) > 0 || left <= 0 {
			break
		}
		changed := r.changed
		r.w.mu.Unlock()
		select {
		case <-changed:
		case <-time.After(min(left, 50*time.Millisecond)):
		case <-req.Context().Done():
			return
		}
		r.w.mu.Lock()
	}
	active, ended := []any{}, []any{}
	for _, x := range r.active {
		active = append(active, []any{x.task, x.number, "", r.w.percent(x), r.w.stepOf(x.task).CPU})
	}
	for _, e := range r.ends[:min(len(r.ends), 500)] {
		ended = append(ended, []any{e.n, e.task, e.number, e.how, ""})
	}
	answer := map[string]any{"clockMs": r.clock().Milliseconds(), "born": r.born.UnixMilli(), "activeRuns": active, "ended": ended}
	r.w.mu.Unlock()
	reply(w, http.StatusOK, answer)
}
