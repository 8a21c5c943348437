package supervisor

import (
	"context"
	"errors"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/apex/log"
	"github.com/apex/log/handlers/discard"
	"github.com/shoenig/test"
	"github.com/shoenig/test/must"

	"bamboowood/internal/job"
	"bamboowood/internal/runner"
)

var errNoAnswer = errors.New("no answer")

// fakeRunner is a runner whose answers the test sets.
type fakeRunner struct {
	mu sync.Mutex
	// id and startTime name the incarnation that answers. Calls for another id are refused; an
	// empty id answers all calls.
	id              string
	startTime       int64
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
	// leaseEnds are the requested lease ends of all renewals, in order.
	leaseEnds []time.Duration
	startedAt time.Time
}

func (f *fakeRunner) clock() time.Duration { return time.Since(f.startedAt) }

// misdirected reports whether a call is meant for another runner. The caller holds mu.
func (f *fakeRunner) misdirected(fence runner.Fence) bool {
	return f.id != "" && f.id != fence.RunnerID
}

func (f *fakeRunner) Start(_ context.Context, fence runner.Fence, o runner.StartRequest) (runner.Refusal, time.Duration, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.misdirected(fence) {
		return runner.RefusedIncarnationEnded, 0, runner.ErrOtherIncarnation
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
	if f.misdirected(fence) {
		return runner.RefusedIncarnationEnded, runner.ErrOtherIncarnation
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
		if f.misdirected(fence) {
			defer f.mu.Unlock()
			return runner.Report{}, runner.ErrOtherIncarnation
		}
		f.lease = max(f.lease, o.LeaseEnd)
		for len(f.ends) > 0 && f.ends[0].Sequence <= o.AcknowledgedEnd {
			f.acknowledgedEnd = f.ends[0].Sequence
			f.ends = f.ends[1:]
		}
		if len(f.ends) > 0 || f.unreadable > 0 || !time.Now().Before(deadline) {
			defer f.mu.Unlock()
			return runner.Report{
				Clock: f.clock(), StartTime: f.startTime, Active: append([]job.Activity(nil), f.active...), Ends: append([]job.End(nil), f.ends...), Unreadable: f.unreadable,
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

func (f *fakeRunner) Throttle(_ context.Context, _ runner.Fence, _ job.Run, percent int) error {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.speeds = append(f.speeds, percent)
	return nil
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
		ctx, cancel := context.WithCancel(t.Context())
		done := make(chan struct{})
		go func() {
			defer close(done)
			_ = s.Run(ctx)
		}()
		check(&harness{Supervisor: s, fake: fake, t: t, suspended: &suspended})
		cancel()
		<-done
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

// Guards against an end that is acknowledged, and thereby deleted by the runner, before the
// ledger has stored it.
func TestSupervisor_RunsTaskAndKeepsEndUntilStored(t *testing.T) {
	runTest(t, nil, func(h *harness) {
		h.reportRunner("i-1", 1)
		h.grantLease()
		r := h.startRun(1)
		u := h.collectUpdates(100 * time.Millisecond)
		must.SliceNotEmpty(t, u.Active)
		h.fake.end(r, job.EndDone)
		u = h.collectUpdates(time.Second)
		must.Len(t, 1, u.Ends)
		snapshot, ok := h.Snapshot()
		must.True(t, ok)
		test.Len(t, 1, snapshot.Ends)
		test.Eq(t, 0, h.fake.acknowledged())
		h.EndsStored("i-1", 0, 1)
		h.collectUpdates(200 * time.Millisecond)
		test.Eq(t, 1, h.fake.acknowledged())
	})
}

// The answer to a start is lost after the runner has started the run. A second attempt must
// confirm the run, which must not be stopped or reported as refused.
func TestSupervisor_LostAnswerOfStart(t *testing.T) {
	runTest(t, func(f *fakeRunner) {
		f.onStart = func(o runner.StartRequest) (runner.Refusal, error) {
			if len(f.starts) == 1 {
				f.active = append(f.active, job.Activity{Run: o.Run})
				return "", errNoAnswer
			}
			return "", nil
		}
	}, func(h *harness) {
		h.reportRunner("i-1", 1)
		h.grantLease()
		h.startRun(1)
		u := h.collectUpdates(time.Second)
		test.Len(t, 0, u.Refusals)
		test.SliceNotEmpty(t, u.Active)
		test.Len(t, 0, h.fake.stops)
	})
}

// A start without an answer may still take effect later. The run counts as refused only after
// a stop is confirmed.
func TestSupervisor_StartWithoutAnswerIsStopped(t *testing.T) {
	runTest(t, func(f *fakeRunner) {
		f.onStart = func(runner.StartRequest) (runner.Refusal, error) { return "", errNoAnswer }
	}, func(h *harness) {
		h.reportRunner("i-1", 1)
		h.grantLease()
		r := h.startRun(1)
		u := h.collectUpdates(2 * time.Second)
		must.Len(t, 1, u.Refusals)
		test.Eq(t, r, u.Refusals[0].Run)
		test.Eq(t, []job.Run{r}, h.fake.stops)
	})
}

// A run that has ended before its start was confirmed must not be reported as refused, as its
// end is reported.
func TestSupervisor_EndedBeforeConfirmed(t *testing.T) {
	runTest(t, func(f *fakeRunner) {
		f.onStart = func(o runner.StartRequest) (runner.Refusal, error) {
			if len(f.starts) == 1 {
				f.active = append(f.active, job.Activity{Run: o.Run})
				f.endLocked(o.Run, job.EndDone)
				return "", errNoAnswer
			}
			return runner.RefusedStale, nil
		}
	}, func(h *harness) {
		h.reportRunner("i-1", 1)
		h.grantLease()
		h.startRun(1)
		u := h.collectUpdates(time.Second)
		test.Len(t, 0, u.Refusals)
		test.Len(t, 1, u.Ends)
	})
}

// After a restart of the agent there is no snapshot before the runner has listed its runs.
func TestSupervisor_SnapshotWaitsForFirstList(t *testing.T) {
	old := job.Run{Task: job.Task{Job: "5c0e7a21d94b36f8"}, Number: 7}
	runTest(t, func(f *fakeRunner) { f.active = []job.Activity{{Run: old}} }, func(h *harness) {
		_, ok := h.Snapshot()
		must.False(t, ok)
		h.reportRunner("i-1", 1)
		snapshot, ok := h.Snapshot()
		must.True(t, ok)
		must.Len(t, 1, snapshot.Active)
		test.Eq(t, old, snapshot.Active[0].Run)
	})
}

// Without a runner there is no snapshot before the leases of an earlier process have expired.
func TestSupervisor_SnapshotWithoutRunner(t *testing.T) {
	runTest(t, nil, func(h *harness) {
		time.Sleep(testLease)
		_, ok := h.Snapshot()
		test.False(t, ok)
		time.Sleep(time.Second)
		_, ok = h.Snapshot()
		test.True(t, ok)
	})
}

// Without a lease a start is refused and not sent to the runner.
func TestSupervisor_NoLease(t *testing.T) {
	runTest(t, nil, func(h *harness) {
		h.reportRunner("i-1", 1)
		h.startRun(1)
		u := h.collectUpdates(time.Second)
		must.Len(t, 1, u.Refusals)
		test.Eq(t, runner.RefusedLate, u.Refusals[0].Reason)
		test.Len(t, 0, h.fake.starts)
	})
}

// The lease on the runner's clock ends before the granted lease, even if that clock is 2% slow.
func TestSupervisor_LeaseOnSlowClock(t *testing.T) {
	runTest(t, nil, func(h *harness) {
		h.reportRunner("i-1", 1)
		before := h.fake.clock()
		h.grantLease()
		h.collectUpdates(time.Second)
		h.fake.mu.Lock()
		defer h.fake.mu.Unlock()
		test.Greater(t, before+testLease*9/10, h.fake.lease)
		test.LessEq(t, before+testLease*98/100, h.fake.lease)
	})
}

// Runs of an unresponsive runner are dropped after its lease has expired, not before.
func TestSupervisor_UnresponsiveRunner(t *testing.T) {
	runTest(t, nil, func(h *harness) {
		h.reportRunner("i-1", 1)
		h.grantLease()
		r := h.startRun(1)
		h.collectUpdates(100 * time.Millisecond)
		h.fake.mu.Lock()
		h.fake.renewErr = errNoAnswer
		h.fake.mu.Unlock()
		u := h.collectUpdates(testLease - time.Second)
		test.Len(t, 0, u.Refusals)
		u = h.collectUpdates(2 * time.Second)
		must.Len(t, 1, u.Refusals)
		test.Eq(t, r, u.Refusals[0].Run)
	})
}

// A restarted agent whose clock is behind that of the earlier process has a lower fencing
// token than the runner. The supervisor raises the token and starts the run.
func TestSupervisor_HigherTokenAtRunner(t *testing.T) {
	refused := true
	runTest(t, func(f *fakeRunner) {
		f.onStart = func(o runner.StartRequest) (runner.Refusal, error) {
			if refused {
				refused = false
				return runner.RefusedFence, nil
			}
			f.active = append(f.active, job.Activity{Run: o.Run})
			return "", nil
		}
	}, func(h *harness) {
		h.reportRunner("i-1", 1)
		h.grantLease()
		h.startRun(1)
		u := h.collectUpdates(time.Second)
		test.Len(t, 0, u.Refusals)
		must.Len(t, 2, h.fake.tokens)
		test.Greater(t, h.fake.tokens[0], h.fake.tokens[1])
	})
}

// A start on a draining runner is refused and not sent.
func TestSupervisor_DrainingRunner(t *testing.T) {
	runTest(t, nil, func(h *harness) {
		h.reportRunner("i-1", 1)
		h.grantLease()
		must.NoError(t, h.report(job.Runner{ID: "i-1", Service: "desk", Sequence: 2, Draining: true}))
		h.startRun(1)
		u := h.collectUpdates(time.Second)
		test.Len(t, 1, u.Refusals)
		test.Len(t, 0, h.fake.starts)
	})
}

// A restarted agent has no record of earlier incarnations of the runner. A delayed report of
// an earlier one must not displace the current one, whether it arrives before or after the
// first report of the current one.
func TestSupervisor_DelayedReportAfterRestart(t *testing.T) {
	earlier := job.Runner{ID: "i-1", Service: "desk", StartTime: 100, Sequence: 900}
	current := job.Runner{ID: "i-1", Service: "desk", StartTime: 200, Sequence: 2, Draining: true}
	check := func(reports []job.Runner, answered int64) {
		runTest(t, func(f *fakeRunner) { f.startTime = answered }, func(h *harness) {
			for _, r := range reports {
				_ = h.report(r)
				time.Sleep(50 * time.Millisecond)
			}
			snapshot, ok := h.Snapshot()
			must.True(t, ok)
			test.Eq(t, current.StartTime, snapshot.Runner.StartTime)
			h.grantLease()
			h.startRun(1)
			u := h.collectUpdates(time.Second)
			test.Len(t, 1, u.Refusals)
			test.Len(t, 0, h.fake.starts)
		})
	}
	for _, reports := range [][]job.Runner{{earlier, current}, {current, earlier}, {earlier, current, earlier}} {
		check(reports, 0)
		check(reports, current.StartTime)
	}
}
