package planner

import (
	"fmt"
	"runtime"
	"testing"
	"time"

	"github.com/shoenig/test"

	"bamboowood/internal/job"
)

// Guards against an estimate of a job's memory that is below what the planner takes for it, so that
// jobs that were admitted exceed the memory of the leader.
func TestPlanner_JobMemoryCoversHeap(t *testing.T) {
	many := make([]job.Step, job.MaxSteps)
	for i := range many {
		many[i].Tasks = 1
	}
	for name, c := range map[string]struct {
		steps       []job.Step
		occurrences int
	}{
		"one large step":            {[]job.Step{{Tasks: job.MaxTasks}}, 0},
		"many steps":                {many, 0},
		"many occurrences":          {[]job.Step{{Tasks: 1}}, job.MaxOccurrences},
		"occurrences of many steps": {many, job.MaxOccurrences},
		"ordinary":                  {[]job.Step{{Tasks: 10}, {Tasks: 20, After: []int{0}}}, 0},
	} {
		t.Run(name, func(t *testing.T) {
			f := newFixture(t, 1)
			const jobs = 5
			before := heap()
			for i := range jobs {
				j := &job.Job{ID: fmt.Sprintf("%016x", i), Steps: c.steps, Occurrences: c.occurrences, AcceptedAt: time.Unix(0, 0)}
				if c.occurrences > 0 {
					j.Start, j.Interval = time.Unix(0, 0), time.Millisecond
				}
				f.AddJob(Instant{Mono: f.now, Wall: time.Unix(1e9, 0)}, j, nil, false)
			}
			used := heap() - before
			t.Logf("%d of %d bytes", used, f.JobMemory())
			test.LessEq(t, f.JobMemory(), used)
			runtime.KeepAlive(f)
		})
	}
}

func heap() int64 {
	runtime.GC()
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return int64(m.HeapAlloc)
}
