package planner

import (
	"testing"
	"time"

	"github.com/shoenig/test"
	"github.com/shoenig/test/must"

	"bamboowood/internal/job"
)

// bestEffortJob returns a best-effort job of one step with a number of tasks that take 2 s each.
func bestEffortJob(n, tasks int) *job.Job {
	s := bestEffortStep("fill")
	s.Tasks, s.CPU, s.Estimate = tasks, 4_000, 2*time.Second
	j := testJob(n, s)
	j.Queue.Stretch = 4
	return j
}

// A narrow and a wide best-effort job wait for CPU at the same time. Guards against the narrow one waiting
// for all tasks of the wide one.
func TestPattern_NarrowJobBesideWideOne(t *testing.T) {
	f := newFixture(t, 1)
	f.agent("a")
	f.add(bestEffortJob(1, 5), nil, false)
	f.add(bestEffortJob(2, 1), nil, false)
	orders := f.plan()
	must.Len(t, 0, orders.Deferrals, must.Sprint("all jobs can meet their objective"))
	starts := orders.Starts
	must.SliceNotEmpty(t, starts)
	test.Eq(t, testJob(2).ID, starts[0].Run.Task.Job)
}

// Narrow best-effort jobs keep arriving. Guards against a wide job that is overtaken until it has missed its
// objective: it is put back by a third of it at most.
func TestPattern_WideJobIsNotOvertakenForever(t *testing.T) {
	f := newFixture(t, 1)
	f.agent("a")
	wide := bestEffortJob(1, 5)
	f.add(wide, nil, false)
	f.now += f.jobs[wide.ID].durations.objective/3 + time.Millisecond
	f.jobs[wide.ID].idleSince = f.now // the job does not count as starved
	f.add(bestEffortJob(2, 1), nil, false)
	starts := f.plan().Starts
	must.SliceNotEmpty(t, starts)
	test.Eq(t, wide.ID, starts[0].Run.Task.Job)
}

func TestFairQueue_Delay(t *testing.T) {
	q := fairQueue{rate: 10_000, occurrences: map[*occurrence]struct{}{{number: 1}: {}, {number: 2}: {}}}
	test.Eq(t, 2*time.Second, q.fairDelay(10_000, time.Hour))
	test.Eq(t, time.Second, q.fairDelay(10_000, time.Second))
	q.rate = 0
	test.Eq(t, time.Second, q.fairDelay(10_000, time.Second))
	test.Eq(t, time.Second, q.fairDelay(0, time.Second))
}
