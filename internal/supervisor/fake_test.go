package supervisor

import (
	"context"
	"errors"
	"slices"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/apex/log"
	"github.com/apex/log/handlers/discard"

	"bamboowood/internal/job"
	"bamboowood/internal/runner"
)

var errNoAnswer = errors.New("no answer")

// fakeRunner is a runner whose answers the test sets.
type fakeRunner struct {
	mu sync.Mutex
	// id and startTime name the incarnation that answers. Calls for another id are refused; an
	// empty id answers all calls.
	id        string
	startTime int64
	// bound refuses calls for another incarnation with the same id.
	bound           bool
	active          []job.Activity
	ends            []job.End
	acknowledgedEnd int64
	lease           time.Duration
	starts          []job.Run
	stops           []job.Run
	speeds          []int
	tokens          []int64
	// onStart returns the answer to a start; a nil function confirms every start.
	onStart  func(runner.StartRequest) (runner.Refusal, error)
	renewErr error
	// answeredToken is the highest fencing token of renewals that are answered in spite of renewErr.
	answeredToken int64
	// acknowledgements are the acknowledged ends other than 0 of all renewals, in order.
	acknowledgements []int64
	// unreadable is the number of malformed entries in each report. The runner does not wait if there
	// are any.
	unreadable int
	// throttleSilent leaves throttle calls without an answer.
	throttleSilent bool
	// onThrottle, if it is set, is called before a throttle call takes effect. If it returns an error,
	// the call gets no answer and has no effect.
	onThrottle func(percent int) error
	// speed is the speed limit in force of each run that has been throttled.
	speed map[job.Run]int
	// fullCPU is the CPU of a run at full speed, in thousandths of a core. Reports hold the CPU at the
	// speed limit in force if it is set.
	fullCPU int64
	// maxEnds bounds the ends in each report; 0 means no bound.
	maxEnds int
	// leaseEnds are the requested lease ends of all renewals, in order.
	leaseEnds []time.Duration
	startedAt time.Time
}

func (f *fakeRunner) clock() time.Duration { return time.Since(f.startedAt) }

// misdirected returns the error of a call that is meant for another incarnation. The caller holds mu.
func (f *fakeRunner) misdirected(fence runner.Fence) error {
	switch {
	case f.id != "" && f.id != fence.RunnerID:
		return runner.ErrOtherIncarnation
	case f.bound && fence.StartTime != 0 && f.startTime != fence.StartTime:
		return runner.ErrRestarted
	}
	return nil
}

func (f *fakeRunner) Start(_ context.Context, fence runner.Fence, o runner.StartRequest) (runner.Refusal, time.Duration, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if err := f.misdirected(fence); err != nil {
		return runner.RefusedIncarnationEnded, 0, err
	}
	f.starts = append(f.starts, o.Run)
	f.tokens = append(f.tokens, fence.Token)
	f.lease = max(f.lease, o.LeaseEnd)
	if f.onStart != nil {
		refusal, err := f.onStart(o)
		return refusal, f.clock(), err
	}
	f.active = append(f.active, job.Activity{Run: o.Run})
	return "", f.clock(), nil
}

func (f *fakeRunner) Stop(_ context.Context, fence runner.Fence, run job.Run) (runner.Refusal, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if err := f.misdirected(fence); err != nil {
		return runner.RefusedIncarnationEnded, err
	}
	f.stops = append(f.stops, run)
	f.endLocked(run, job.EndStopped)
	return "", nil
}

func (f *fakeRunner) acknowledged() int64 {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.acknowledgedEnd
}

func (f *fakeRunner) end(run job.Run, reason job.EndReason) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.endLocked(run, reason)
}

func (f *fakeRunner) endLocked(run job.Run, reason job.EndReason) {
	for i, a := range f.active {
		if a.Run == run {
			f.active = append(f.active[:i:i], f.active[i+1:]...)
			f.ends = append(f.ends, job.End{Sequence: f.acknowledgedEnd + int64(len(f.ends)) + 1, Run: run, Reason: reason})
			return
		}
	}
}

func (f *fakeRunner) RenewLease(ctx context.Context, fence runner.Fence, o runner.RenewRequest) (runner.Report, error) {
	if o.AcknowledgedEnd != 0 {
		f.mu.Lock()
		f.acknowledgements = append(f.acknowledgements, o.AcknowledgedEnd)
		f.mu.Unlock()
	}
	f.mu.Lock()
	f.leaseEnds = append(f.leaseEnds, o.LeaseEnd)
	f.mu.Unlock()
	deadline := time.Now().Add(o.Wait)
	for {
		f.mu.Lock()
		if f.renewErr != nil && fence.Token > f.answeredToken {
			defer f.mu.Unlock()
			return runner.Report{}, f.renewErr
		}
		if err := f.misdirected(fence); err != nil {
			defer f.mu.Unlock()
			return runner.Report{}, err
		}
		f.lease = max(f.lease, o.LeaseEnd)
		for len(f.ends) > 0 && f.ends[0].Sequence <= o.AcknowledgedEnd {
			f.acknowledgedEnd = f.ends[0].Sequence
			f.ends = f.ends[1:]
		}
		if len(f.ends) > 0 || f.unreadable > 0 || !time.Now().Before(deadline) {
			defer f.mu.Unlock()
			ends, more := f.ends, f.maxEnds > 0 && len(f.ends) >= f.maxEnds
			if more {
				ends = ends[:f.maxEnds]
			}
			return runner.Report{
				Clock: f.clock(), StartTime: f.startTime, Active: f.measuredLocked(),
				Ends: append([]job.End(nil), ends...), MoreEnds: more, Unreadable: f.unreadable,
			}, nil
		}
		f.mu.Unlock()
		select {
		case <-ctx.Done():
			return runner.Report{}, ctx.Err()
		case <-time.After(time.Millisecond):
		}
	}
}

func (f *fakeRunner) Throttle(ctx context.Context, _ runner.Fence, run job.Run, percent int) error {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.speeds = append(f.speeds, percent)
	if f.throttleSilent {
		f.mu.Unlock()
		<-ctx.Done()
		f.mu.Lock()
		return ctx.Err()
	}
	if f.onThrottle != nil {
		f.mu.Unlock()
		err := f.onThrottle(percent)
		f.mu.Lock()
		if err != nil {
			return err
		}
	}
	f.setSpeedLocked(run, percent)
	return nil
}

func (f *fakeRunner) setSpeedLocked(run job.Run, percent int) {
	if f.speed == nil {
		f.speed = map[job.Run]int{}
	}
	f.speed[run] = percent
}

// setSpeed makes a speed limit take effect without a call of this process.
func (f *fakeRunner) setSpeed(run job.Run, percent int) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.setSpeedLocked(run, percent)
}

// speedOf returns the speed limit in force of a run.
func (f *fakeRunner) speedOf(run job.Run) int {
	f.mu.Lock()
	defer f.mu.Unlock()
	if percent, ok := f.speed[run]; ok {
		return percent
	}
	return fullSpeed
}

func (f *fakeRunner) throttleCalls() []int {
	f.mu.Lock()
	defer f.mu.Unlock()
	return slices.Clone(f.speeds)
}

// setTail sets the tail latency of a run in later reports.
func (f *fakeRunner) setTail(run job.Run, tail time.Duration) {
	f.mu.Lock()
	defer f.mu.Unlock()
	for i := range f.active {
		if f.active[i].Run == run {
			f.active[i].TailLatency = tail
		}
	}
}

func (f *fakeRunner) measuredLocked() []job.Activity {
	active := slices.Clone(f.active)
	for i := range active {
		if f.fullCPU > 0 && active[i].TailLatency == 0 {
			percent, throttled := f.speed[active[i].Run]
			if !throttled {
				percent = fullSpeed
			}
			active[i].CPU = f.fullCPU * int64(percent) / fullSpeed
		}
	}
	return active
}

const testLease = 5 * time.Second

// harness is a supervisor with a fakeRunner, in virtual time.
type harness struct {
	*Supervisor
	fake *fakeRunner
	t    *testing.T
	// suspended is how long the machine has been suspended, in nanoseconds. The runner's clock
	// does not count that time.
	suspended *atomic.Int64
	// stop ends the context of Run and waits until Run has returned.
	stop func()
}

func runTest(t *testing.T, prepare func(*fakeRunner), check func(h *harness)) {
	synctest.Test(t, func(t *testing.T) {
		fake := &fakeRunner{startedAt: time.Now().Add(-time.Hour)}
		if prepare != nil {
			prepare(fake)
		}
		origin := time.Now().Add(-time.Minute)
		var suspended atomic.Int64
		steadyNow := func() time.Duration { return time.Since(origin) }
		s := New(Options{
			Runner: fake, Logger: &log.Logger{Handler: discard.Default}, SteadyNow: steadyNow,
			Now:      func() time.Duration { return steadyNow() + time.Duration(suspended.Load()) },
			MaxLease: testLease, FirstToken: 1,
		})
		s.BootRegistered(LaterInBoot)
		ctx, cancel := context.WithCancel(t.Context())
		done := make(chan struct{})
		go func() {
			defer close(done)
			_ = s.Run(ctx)
		}()
		stop := func() {
			cancel()
			<-done
		}
		check(&harness{Supervisor: s, fake: fake, t: t, suspended: &suspended, stop: stop})
		stop()
	})
}

// report passes a status report to the supervisor and returns its error.
func (h *harness) report(r job.Runner) error {
	return h.RunnerReported(h.t.Context(), r, "10.2.0.182:4711")
}

func (h *harness) reportRunner(id string, sequence int64) {
	_ = h.report(job.Runner{ID: id, Service: "desk", Sequence: sequence})
	time.Sleep(50 * time.Millisecond)
}

func (h *harness) grantLease() { h.GrantLease(h.opts.Now() + testLease) }

func (h *harness) startRun(n int64) job.Run {
	r := job.Run{Task: job.Task{Job: "5c0e7a21d94b36f8"}, Number: n}
	h.Start(h.t.Context(), Order{Details: RunDetails{Run: r}})
	return r
}

// collectUpdates merges the updates of the next d.
func (h *harness) collectUpdates(d time.Duration) Update {
	var all Update
	for end := time.Now().Add(d); time.Now().Before(end); time.Sleep(5 * time.Millisecond) {
		u, _ := h.TakeUpdate()
		all.Active = append(all.Active, u.Active...)
		all.Ends = append(all.Ends, u.Ends...)
		all.Refusals = append(all.Refusals, u.Refusals...)
	}
	return all
}

// heartbeat is the interval at which an agent's leader grants leases.
const heartbeat = 300 * time.Millisecond

// refusalsWhileLeased returns the refusals of the next d, in which the leader grants leases.
func (h *harness) refusalsWhileLeased(d time.Duration) (refusals []RefusedStart) {
	for range d / heartbeat {
		h.grantLease()
		refusals = append(refusals, h.collectUpdates(heartbeat).Refusals...)
	}
	return refusals
}
