package follower

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"sync"
	"time"

	"bamboowood/internal/job"
	"bamboowood/internal/runner"
)

const (
	modelLease    = 3 * time.Second
	modelEndsPage = 3
)

var errNoAnswer = errors.New("no answer")

// world is what all runners of the model share: the random numbers and what was seen.
type world struct {
	mu     sync.Mutex
	rand   *rand.Rand
	faults bool
	origin time.Time
	// limit is the runners' own limit of a lease.
	limit time.Duration
	// alive has the live runs of each task on runners that are up. planned has the incarnation for which each
	// run was planned, done the tasks of which an end as done was acknowledged.
	alive   map[job.Task]map[job.Run]bool
	planned map[job.Run]string
	done    map[job.Task]bool
	// lasting has the jobs whose tasks do not end by themselves.
	lasting  map[string]bool
	starts   int
	problems []string
}

func (w *world) now() time.Duration { return time.Since(w.origin) }

func (w *world) chance(oneOf int) bool { return w.faults && w.rand.IntN(oneOf) == 0 }

func (w *world) problem(format string, args ...any) {
	w.problems = append(w.problems, fmt.Sprintf("%s: ", w.now())+fmt.Sprintf(format, args...))
}

// modelRunner is a runner at one address. Its fields are guarded by the world's lock.
type modelRunner struct {
	*world
	id   string
	born int64
	// began is when the incarnation began; its clock counts from there.
	began time.Duration
	fence int64
	// lease is the end of the lease on that clock.
	lease   time.Duration
	runs    map[job.Run]time.Duration
	highest map[job.Task]int64
	ends    []job.End
	lastEnd int64
	duty    func(job.Task) time.Duration
}

// restart replaces the process by another incarnation.
func (r *modelRunner) restart(id string, born int64) {
	for run := range r.runs {
		delete(r.alive[run.Task], run)
	}
	r.id, r.born, r.began, r.fence, r.lease, r.ends, r.lastEnd = id, born, r.now(), 0, 0, nil, 0
	r.runs, r.highest = map[job.Run]time.Duration{}, map[job.Task]int64{}
}

func (r *modelRunner) clock() time.Duration { return r.now() - r.began }

func (r *modelRunner) currentBorn() int64 {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.born
}

func (r *modelRunner) end(run job.Run, reason job.EndReason) {
	delete(r.runs, run)
	delete(r.alive[run.Task], run)
	r.lastEnd++
	r.ends = append(r.ends, job.End{Sequence: r.lastEnd, Run: run, Reason: reason})
}

// tick ends the runs that are done or whose lease has expired.
func (r *modelRunner) tick() {
	for run, until := range r.runs {
		if r.clock() > r.lease {
			r.end(run, job.EndLeaseExpired)
		} else if r.now() >= until {
			r.end(run, job.EndDone)
		}
	}
}

// do carries out a call: at once, late, or not at all. It returns an error if there is no answer.
func (r *modelRunner) do(ctx context.Context, f runner.Fence, effect func() runner.Refusal) (runner.Refusal, error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	carryOut := func() (runner.Refusal, error) {
		r.tick()
		if r.id != f.RunnerID {
			return "", runner.ErrOtherIncarnation
		}
		if f.StartTime != 0 && f.StartTime != r.born {
			return "", runner.ErrRestarted
		}
		if f.Token < r.fence {
			return runner.RefusedFence, nil
		}
		r.fence = f.Token
		return effect(), nil
	}
	switch {
	case ctx.Err() != nil:
		return "", ctx.Err()
	case r.chance(20):
		time.AfterFunc(time.Duration(r.rand.IntN(900))*time.Millisecond, func() {
			r.mu.Lock()
			defer r.mu.Unlock()
			_, _ = carryOut()
		})
	case r.chance(20):
		_, _ = carryOut()
	case r.chance(20):
	default:
		return carryOut()
	}
	r.mu.Unlock()
	<-ctx.Done()
	r.mu.Lock()
	return "", errNoAnswer
}

func (r *modelRunner) Start(ctx context.Context, f runner.Fence, o runner.StartRequest) (runner.Refusal, time.Duration, error) {
	born := r.currentBorn()
	refusal, err := r.do(ctx, f, func() runner.Refusal {
		lease := min(o.LeaseEnd, r.clock()+r.limit)
		_, running := r.runs[o.Run]
		switch {
		case r.born != born || lease < r.clock(): // starts do not reach a later incarnation here
			return runner.RefusedLate
		case running:
			return ""
		case o.Run.Number <= r.highest[o.Run.Task]:
			return runner.RefusedStale
		}
		r.lease = max(r.lease, lease)
		r.start(o.Run)
		return ""
	})
	return refusal, 0, err
}

// start starts a run and checks what must hold for it.
func (r *modelRunner) start(run job.Run) {
	r.starts++
	if planned := r.planned[run]; planned != r.id {
		r.problem("%v started on %s, planned for %s", run, r.id, planned)
	}
	if r.done[run.Task] {
		r.problem("%v started after its task was done", run)
	}
	if r.alive[run.Task] == nil {
		r.alive[run.Task] = map[job.Run]bool{}
	}
	r.alive[run.Task][run] = true
	if len(r.alive[run.Task]) > 1 {
		r.problem("%v started while another run is alive: %v", run, r.alive[run.Task])
	}
	r.runs[run], r.highest[run.Task] = r.now()+r.duty(run.Task), run.Number
}

func (r *modelRunner) Stop(ctx context.Context, f runner.Fence, run job.Run) (runner.Refusal, error) {
	return r.do(ctx, f, func() runner.Refusal {
		r.highest[run.Task] = max(r.highest[run.Task], run.Number)
		if _, running := r.runs[run]; running {
			r.end(run, job.EndStopped)
		}
		return ""
	})
}

func (r *modelRunner) Throttle(ctx context.Context, f runner.Fence, _ job.Run, _ int) error {
	_, err := r.do(ctx, f, func() runner.Refusal { return "" })
	return err
}

func (r *modelRunner) RenewLease(ctx context.Context, f runner.Fence, o runner.RenewRequest) (runner.Report, error) {
	var report runner.Report
	born := r.currentBorn()
	time.Sleep(min(o.Wait, 20*time.Millisecond))
	refusal, err := r.do(ctx, f, func() runner.Refusal {
		if o.LeaseEnd != 0 {
			r.lease = max(r.lease, min(o.LeaseEnd, r.clock()+r.limit))
		}
		for r.born == born && len(r.ends) > 0 && r.ends[0].Sequence <= o.AcknowledgedEnd {
			if r.ends[0].Reason == job.EndDone {
				r.done[r.ends[0].Run.Task] = true
			}
			r.ends = r.ends[1:]
		}
		listed := min(len(r.ends), modelEndsPage)
		report = runner.Report{
			Clock: r.clock(), StartTime: r.born, Ends: append([]job.End(nil), r.ends[:listed]...), MoreEnds: listed == modelEndsPage,
		}
		for run := range r.runs {
			report.Active = append(report.Active, job.Activity{Run: run, Percent: 50})
		}
		return ""
	})
	switch {
	case err != nil:
		return runner.Report{}, err
	case refusal != "":
		return runner.Report{}, refusedError(refusal)
	}
	return report, nil
}

type refusedError runner.Refusal

func (e refusedError) Error() string          { return string(e) }
func (e refusedError) Reason() runner.Refusal { return runner.Refusal(e) }
