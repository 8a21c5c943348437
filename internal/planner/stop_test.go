package planner

import (
	"testing"
	"time"

	"github.com/shoenig/test"
	"github.com/shoenig/test/must"

	"bamboowood/internal/job"
)

// Guards against runs that are stopped without a reason, or with that of another case.
func TestPlanner_StopReasons(t *testing.T) {
	// startOne starts the only task of job 1 on agent a and reports it as running.
	startOne := func(f *fixture) job.Run {
		f.agent("a")
		f.add(testJob(1, step(1)), nil, false)
		run := f.plan().Starts[0].Run
		f.ActivityReported(f.now, "a", []job.Activity{{Run: run, Percent: 1}})
		return run
	}
	// loseAndRestart starts the task of a run on agent b once a's lease has expired.
	loseAndRestart := func(f *fixture) job.Run {
		f.AgentLost("a", f.now)
		f.agent("b")
		return f.plan().Starts[0].Run
	}
	for reason, prepare := range map[StopReason]func(f *fixture) Stop{
		StopJobCancelled: func(f *fixture) Stop {
			run := startOne(f)
			f.Cancel(f.now, run.Task.Job)
			return Stop{Agent: "a", Run: run}
		},
		StopJobFailed: func(f *fixture) Stop {
			f.agent("a")
			f.add(testJob(1, step(2)), nil, false)
			runs := f.plan().Starts
			f.end("a", runs[0].Run, job.EndFailed)
			again := f.plan().Starts[0].Run
			f.end("a", again, job.EndFailed)
			return Stop{Agent: "a", Run: runs[1].Run}
		},
		StopTaskDone: func(f *fixture) Stop {
			first := startOne(f)
			second := loseAndRestart(f)
			f.end("a", first, job.EndDone)
			return Stop{Agent: "b", Run: second}
		},
		StopOtherRun: func(f *fixture) Stop {
			first := startOne(f)
			loseAndRestart(f)
			f.agent("a", job.Activity{Run: first})
			return Stop{Agent: "a", Run: first}
		},
		StopJobEnded: func(f *fixture) Stop {
			run := startOne(f)
			f.AgentLost("a", f.now)
			f.plan()
			f.Cancel(f.now, run.Task.Job)
			f.agent("a", job.Activity{Run: run})
			return Stop{Agent: "a", Run: run}
		},
		StopJobUnknown: func(f *fixture) Stop {
			run := job.Run{Task: job.Task{Job: testJob(1).ID}, Number: 1}
			f.agent("a", job.Activity{Run: run})
			return Stop{Agent: "a", Run: run}
		},
		StopStalled: func(f *fixture) Stop {
			run := startOne(f)
			f.now += stallTimeout + time.Millisecond
			return Stop{Agent: "a", Run: run}
		},
		StopDraining: func(f *fixture) Stop {
			run := startOne(f)
			leaving := testRunner("a")
			leaving.Draining = true
			f.RunnerChanged(f.now, "a", leaving, nil)
			return Stop{Agent: "a", Run: run}
		},
		StopThrottled: func(f *fixture) Stop {
			_, first := f.throttleToZero(10_000, 1)
			f.now += zeroSpeedTimeout + time.Millisecond
			f.agent("b")
			return Stop{Agent: "a", Run: first.Run}
		},
		StopQuarantined: func(f *fixture) Stop {
			run := startOne(f)
			f.Quarantine(f.now, run.Task.Job)
			return Stop{Agent: "a", Run: run}
		},
	} {
		t.Run(string(reason), func(t *testing.T) {
			f := newFixture(t, 1)
			want := prepare(f)
			want.Reason = reason
			must.Eq(t, []Stop{want}, f.plan().Stops)
			must.SliceEmpty(t, f.plan().Stops)
			f.agent(want.Agent, job.Activity{Run: want.Run})
			want.Repeated = true
			test.Eq(t, []Stop{want}, f.plan().Stops)
		})
	}
}
