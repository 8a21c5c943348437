package supervisor

import (
	"context"
	"errors"
	"sync"
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

// fakeRunner is a runner whose answers the test decides.
type fakeRunner struct {
	mu     sync.Mutex
	active []job.Activity
	ends   []job.End
	acked  int64
	lease  time.Duration
	starts []job.Run
	stops  []job.Run
	paces  []int
	tokens []int64
	// onStart answers a start; nil confirms it.
	onStart func(runner.StartRequest) (runner.Refusal, error)
	holdErr error
	// acknowledgements has what calls acknowledged, if anything.
	acknowledgements []int64
	began            time.Time
}

func (f *fakeRunner) clock() time.Duration { return time.Since(f.began) }

func (f *fakeRunner) Start(_ context.Context, fence runner.Fence, o runner.StartRequest) (runner.Refusal, time.Duration, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.starts = append(f.starts, o.Run)
	f.tokens = append(f.tokens, fence.Token)
	if f.onStart != nil {
		refusal, err := f.onStart(o)
		return refusal, f.clock(), err
	}
	f.active = append(f.active, job.Activity{Run: o.Run})
	return "", f.clock(), nil
}

func (f *fakeRunner) Stop(_ context.Context, _ runner.Fence, run job.Run) (runner.Refusal, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.stops = append(f.stops, run)
	f.endLocked(run, job.EndStopped)
	return "", nil
}

func (f *fakeRunner) acknowledged() int64 {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.acked
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
			f.ends = append(f.ends, job.End{Sequence: f.acked + int64(len(f.ends)) + 1, Run: run, Reason: reason})
			return
		}
	}
}

func (f *fakeRunner) RenewLease(ctx context.Context, _ runner.Fence, o runner.RenewRequest) (runner.Report, error) {
	if o.AcknowledgedEnd != 0 {
		f.mu.Lock()
		f.acknowledgements = append(f.acknowledgements, o.AcknowledgedEnd)
		f.mu.Unlock()
	}
	deadline := time.Now().Add(o.Wait)
	for {
		f.mu.Lock()
		if f.holdErr != nil {
			defer f.mu.Unlock()
			return runner.Report{}, f.holdErr
		}
		f.lease = max(f.lease, o.LeaseEnd)
		for len(f.ends) > 0 && f.ends[0].Sequence <= o.AcknowledgedEnd {
			f.acked = f.ends[0].Sequence
			f.ends = f.ends[1:]
		}
		if len(f.ends) > 0 || !time.Now().Before(deadline) {
			defer f.mu.Unlock()
			return runner.Report{
				Clock: f.clock(), Active: append([]job.Activity(nil), f.active...), Ends: append([]job.End(nil), f.ends...),
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
	f.paces = append(f.paces, percent)
	return nil
}

const testHold = 5 * time.Second

// bench is a supervisor beside a fakeRunner, in virtual time.
type bench struct {
	*Supervisor
	fake *fakeRunner
	t    *testing.T
}

func run(t *testing.T, prepare func(*fakeRunner), check func(b *bench)) {
	synctest.Test(t, func(t *testing.T) {
		fake := &fakeRunner{began: time.Now().Add(-time.Hour)}
		if prepare != nil {
			prepare(fake)
		}
		origin := time.Now().Add(-time.Minute)
		s := New(Options{
			Runner: fake, Logger: &log.Logger{Handler: discard.Default},
			Now: func() time.Duration { return time.Since(origin) }, MaxLease: testHold, FirstToken: 1,
		})
		ctx, cancel := context.WithCancel(t.Context())
		done := make(chan struct{})
		go func() {
			defer close(done)
			_ = s.Run(ctx)
		}()
		check(&bench{Supervisor: s, fake: fake, t: t})
		cancel()
		<-done
	})
}

func (b *bench) report(id string, sequence int64) {
	b.RunnerReported(job.Runner{ID: id, Service: "desk", Sequence: sequence})
	time.Sleep(50 * time.Millisecond)
}

func (b *bench) permit() { b.GrantLease(b.opts.Now() + testHold) }

func (b *bench) begin(n int64) job.Run {
	r := job.Run{Task: job.Task{Job: "5c0e7a21d94b36f8"}, Number: n}
	b.Start(b.t.Context(), Order{Details: RunDetails{Run: r}})
	return r
}

// collect gathers updates for a while.
func (b *bench) collect(d time.Duration) Update {
	var all Update
	for end := time.Now().Add(d); time.Now().Before(end); time.Sleep(5 * time.Millisecond) {
		u, _ := b.TakeUpdate()
		all.Active = append(all.Active, u.Active...)
		all.Ends = append(all.Ends, u.Ends...)
		all.Refusals = append(all.Refusals, u.Refusals...)
	}
	return all
}

func TestSupervisor_RunsTaskAndKeepsEndUntilStored(t *testing.T) {
	run(t, nil, func(b *bench) {
		b.report("i-1", 1)
		b.permit()
		r := b.begin(1)
		u := b.collect(100 * time.Millisecond)
		must.SliceNotEmpty(t, u.Active)
		b.fake.end(r, job.EndDone)
		u = b.collect(time.Second)
		must.Len(t, 1, u.Ends)
		snapshot, ok := b.Snapshot()
		must.True(t, ok)
		test.Len(t, 1, snapshot.Ends)
		test.Eq(t, 0, b.fake.acknowledged())
		b.EndsStored("i-1", 0, 1)
		b.collect(200 * time.Millisecond)
		test.Eq(t, 1, b.fake.acknowledged())
	})
}

// A start that is carried out without an answer is confirmed by a second try.
func TestSupervisor_LostAnswerOfStart(t *testing.T) {
	run(t, func(f *fakeRunner) {
		f.onStart = func(o runner.StartRequest) (runner.Refusal, error) {
			if len(f.starts) == 1 {
				f.active = append(f.active, job.Activity{Run: o.Run})
				return "", errNoAnswer
			}
			return "", nil
		}
	}, func(b *bench) {
		b.report("i-1", 1)
		b.permit()
		b.begin(1)
		u := b.collect(time.Second)
		test.Len(t, 0, u.Refusals)
		test.SliceNotEmpty(t, u.Active)
		test.Len(t, 0, b.fake.stops)
	})
}

// A start without any answer counts as refused only after a stop is confirmed: the
// order may be carried out later.
func TestSupervisor_StartWithoutAnswerIsStopped(t *testing.T) {
	run(t, func(f *fakeRunner) {
		f.onStart = func(runner.StartRequest) (runner.Refusal, error) { return "", errNoAnswer }
	}, func(b *bench) {
		b.report("i-1", 1)
		b.permit()
		r := b.begin(1)
		u := b.collect(2 * time.Second)
		must.Len(t, 1, u.Refusals)
		test.Eq(t, r, u.Refusals[0].Run)
		test.Eq(t, []job.Run{r}, b.fake.stops)
	})
}

// A run that has ended before its start was confirmed must not be reported as
// refused: its end tells.
func TestSupervisor_EndedBeforeConfirmed(t *testing.T) {
	run(t, func(f *fakeRunner) {
		f.onStart = func(o runner.StartRequest) (runner.Refusal, error) {
			if len(f.starts) == 1 {
				f.active = append(f.active, job.Activity{Run: o.Run})
				f.endLocked(o.Run, job.EndDone)
				return "", errNoAnswer
			}
			return runner.RefusedStale, nil
		}
	}, func(b *bench) {
		b.report("i-1", 1)
		b.permit()
		b.begin(1)
		u := b.collect(time.Second)
		test.Len(t, 0, u.Refusals)
		test.Len(t, 1, u.Ends)
	})
}

// After a restart the agent says nothing before the runner has listed its runs.
func TestSupervisor_SnapshotWaitsForFirstList(t *testing.T) {
	old := job.Run{Task: job.Task{Job: "5c0e7a21d94b36f8"}, Number: 7}
	run(t, func(f *fakeRunner) { f.active = []job.Activity{{Run: old}} }, func(b *bench) {
		_, ok := b.Snapshot()
		must.False(t, ok)
		b.report("i-1", 1)
		snapshot, ok := b.Snapshot()
		must.True(t, ok)
		must.Len(t, 1, snapshot.Active)
		test.Eq(t, old, snapshot.Active[0].Run)
	})
}

// Without a runner the snapshot waits until leases of an earlier process have run
// out.
func TestSupervisor_SnapshotWithoutRunner(t *testing.T) {
	run(t, nil, func(b *bench) {
		time.Sleep(testHold)
		_, ok := b.Snapshot()
		test.False(t, ok)
		time.Sleep(time.Second)
		_, ok = b.Snapshot()
		test.True(t, ok)
	})
}

// Nothing is started without a lease.
func TestSupervisor_NoLease(t *testing.T) {
	run(t, nil, func(b *bench) {
		b.report("i-1", 1)
		b.begin(1)
		u := b.collect(time.Second)
		must.Len(t, 1, u.Refusals)
		test.Eq(t, runner.RefusedLate, u.Refusals[0].Reason)
		test.Len(t, 0, b.fake.starts)
	})
}

// The lease on the runner's clock ends before what the leader allows, also if that
// clock is 2% slow.
func TestSupervisor_LeaseOnSlowClock(t *testing.T) {
	run(t, nil, func(b *bench) {
		b.report("i-1", 1)
		before := b.fake.clock()
		b.permit()
		b.collect(time.Second)
		b.fake.mu.Lock()
		defer b.fake.mu.Unlock()
		test.Greater(t, before+testHold*9/10, b.fake.lease)
		test.LessEq(t, before+testHold*98/100, b.fake.lease)
	})
}

// Runs on a runner that does not answer are given up after its lease, not before.
func TestSupervisor_SilentRunner(t *testing.T) {
	run(t, nil, func(b *bench) {
		b.report("i-1", 1)
		b.permit()
		r := b.begin(1)
		b.collect(100 * time.Millisecond)
		b.fake.mu.Lock()
		b.fake.holdErr = errNoAnswer
		b.fake.mu.Unlock()
		u := b.collect(testHold - time.Second)
		test.Len(t, 0, u.Refusals)
		u = b.collect(2 * time.Second)
		must.Len(t, 1, u.Refusals)
		test.Eq(t, r, u.Refusals[0].Run)
	})
}

// A restarted agent whose clock is behind raises its fencing token.
func TestSupervisor_HigherTokenIsKnown(t *testing.T) {
	refused := true
	run(t, func(f *fakeRunner) {
		f.onStart = func(o runner.StartRequest) (runner.Refusal, error) {
			if refused {
				refused = false
				return runner.RefusedFence, nil
			}
			f.active = append(f.active, job.Activity{Run: o.Run})
			return "", nil
		}
	}, func(b *bench) {
		b.report("i-1", 1)
		b.permit()
		b.begin(1)
		u := b.collect(time.Second)
		test.Len(t, 0, u.Refusals)
		must.Len(t, 2, b.fake.tokens)
		test.Greater(t, b.fake.tokens[0], b.fake.tokens[1])
	})
}

// Nothing starts on a runner that leaves.
func TestSupervisor_DrainingRunner(t *testing.T) {
	run(t, nil, func(b *bench) {
		b.report("i-1", 1)
		b.permit()
		b.RunnerReported(job.Runner{ID: "i-1", Service: "desk", Sequence: 2, Draining: true})
		b.begin(1)
		u := b.collect(time.Second)
		test.Len(t, 1, u.Refusals)
		test.Len(t, 0, b.fake.starts)
	})
}

// A restarted agent knows no past life: a report of an earlier one that was held up on its
// way changes nothing, whether it comes before or after the first of the present life.
func TestSupervisor_HeldUpReportAfterRestart(t *testing.T) {
	earlier := job.Runner{ID: "i-1", Service: "desk", StartTime: 100, Sequence: 900}
	present := job.Runner{ID: "i-1", Service: "desk", StartTime: 200, Sequence: 2, Draining: true}
	for _, reports := range [][]job.Runner{{earlier, present}, {present, earlier}, {earlier, present, earlier}} {
		run(t, nil, func(b *bench) {
			for _, r := range reports {
				b.RunnerReported(r)
				time.Sleep(50 * time.Millisecond)
			}
			snapshot, ok := b.Snapshot()
			must.True(t, ok)
			test.Eq(t, present.StartTime, snapshot.Runner.StartTime)
			b.permit()
			b.begin(1)
			u := b.collect(time.Second)
			test.Len(t, 1, u.Refusals)
			test.Len(t, 0, b.fake.starts)
		})
	}
}
