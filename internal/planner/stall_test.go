package planner

import (
	"testing"
	"time"

	"github.com/shoenig/test"
	"github.com/shoenig/test/must"

	"bamboowood/internal/job"
)

// Guards against stopping a healthy long run as stalled, again and again, so that its task is never done: progress
// is reported in whole percents, and one percent of a task of over 150 s takes longer than stallTimeout.
func TestPlanner_LongRunIsNotStalled(t *testing.T) {
	for name, c := range map[string]struct{ estimate, duration time.Duration }{
		"as estimated": {200 * time.Second, 200 * time.Second},
		"short of it":  {200 * time.Second, 380 * time.Second},
		"straggler":    {30 * time.Second, 7 * 30 * time.Second},
	} {
		t.Run(name, func(t *testing.T) {
			f := newFixture(t, 1)
			f.agent("a")
			long := step(1)
			long.Estimate = c.estimate
			f.add(testJob(1, long), nil, false)
			starts := f.plan().Starts
			must.Len(t, 1, starts)
			const interval = 500 * time.Millisecond
			for worked := time.Duration(0); worked < c.duration; worked += interval {
				percent := int(100 * worked / c.duration)
				f.ActivityReported(f.now, "a", []job.Activity{{Run: starts[0].Run, Percent: percent}})
				must.Len(t, 0, f.plan().Stops, must.Sprintf("after %s", worked))
				f.now += interval
			}
			// The run hangs.
			hung := f.now
			for len(f.plan().Stops) == 0 {
				f.ActivityReported(f.now, "a", []job.Activity{{Run: starts[0].Run, Percent: 99}})
				f.now += interval
				must.Less(t, time.Minute, f.now-hung)
			}
			test.Positive(t, f.now-hung)
		})
	}
}
