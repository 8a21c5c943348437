package planner

import (
	"math"
	"testing"
	"time"

	"github.com/shoenig/test"
	"github.com/shoenig/test/must"

	"bamboowood/internal/job"
)

// Guards against a valid job that makes each leader run out of memory: all of its occurrences are
// due at once, with up to MaxTasks tasks each.
func TestPlanner_ManyOccurrencesDueAtOnce(t *testing.T) {
	const tasks, occurrences = job.MaxTasks / 4, 50
	j := testJob(1, job.Step{Tasks: tasks, CPU: 1, Estimate: time.Second})
	j.Occurrences, j.Interval, j.Start = occurrences, time.Millisecond, time.Unix(0, 0)
	must.NoError(t, j.Validate())
	f := newFixture(t, 1)
	f.add(j, nil, false)
	js := f.jobs[j.ID]
	openTasks := func(js *jobState) int {
		n := 0
		for _, occ := range js.open {
			for i := range occ.steps {
				n += len(occ.steps[i].tasks)
			}
		}
		return n
	}
	finish := func(occurrence int) {
		for i := range tasks {
			f.RunEnded(f.now, "a", job.End{Run: job.Run{Task: job.Task{Job: j.ID, Occurrence: occurrence, Index: i}, Number: 1}, Reason: job.EndDone})
		}
	}
	test.Eq(t, job.MaxTasks, openTasks(js))
	finish(2)
	f.plan()
	test.Eq(t, job.MaxTasks, openTasks(js))
	test.Eq(t, 5, js.opened)

	// A later term opens the same occurrences, and the others after them.
	progress := js.progress()
	f = newFixture(t, 2)
	f.add(j, progress, true)
	js = f.jobs[j.ID]
	test.Eq(t, 5, js.opened)
	test.MapNotContainsKey(t, js.open, 2)
	for k := range occurrences {
		if k != 2 {
			finish(k)
		}
		f.plan()
		must.LessEq(t, job.MaxTasks, openTasks(js))
	}
	test.Eq(t, job.Completed, js.state)
}

// Guards against one report of an impossible CPU that outweighs all others of the image: the
// estimated pressure, which all runners share, fell to none.
func TestObserveInterference_ImpossibleCPU(t *testing.T) {
	pressureAfter := func(cpu int64) float64 {
		f := newFixture(t, 1)
		colocated, _, bestEffort := f.colocate("dump")
		f.report(bestEffort.Agent, bestEffort.Run, cpu)
		f.now += time.Second
		f.report(colocated.Agent, colocated.Run, 60)
		return f.interference.Pressure("web", "dump")
	}
	whole, impossible := pressureAfter(16_000), pressureAfter(1<<40)
	t.Logf("pressure %.2f after a report of the whole CPU, %.2f after an impossible one", whole, impossible)
	test.Eq(t, whole, impossible)
}

// Guards against times of a stored job so far away that differences between them overflow: its age was
// negative, and its deadline came before those of all others or after them by chance.
func TestPlanner_TimesFarAway(t *testing.T) {
	for name, change := range map[string]func(*job.Job){
		"no time of acceptance":      func(j *job.Job) { j.AcceptedAt = time.Time{} },
		"accepted in the far past":   func(j *job.Job) { j.AcceptedAt = time.Unix(-1<<55, 0) },
		"accepted in the future":     func(j *job.Job) { j.AcceptedAt = time.Unix(1<<55, 0) },
		"due in the far past":        func(j *job.Job) { j.Occurrences, j.Start = 1, time.Unix(-1<<55, 0) },
		"negative interval":          func(j *job.Job) { j.Occurrences, j.Start, j.Interval = 2, time.Unix(0, 0), math.MinInt64 },
		"interval that overflows":    func(j *job.Job) { j.Occurrences, j.Start, j.Interval = 5, time.Unix(0, 0), math.MaxInt64/2 },
		"due at the end of all time": func(j *job.Job) { j.Occurrences, j.Start = 1, time.Unix(1<<62, 0) },
	} {
		f := newFixture(t, 1)
		f.agent("a")
		j := testJob(1, job.Step{Tasks: 1, CPU: 1, Estimate: time.Second})
		j.AcceptedAt = f.instant().Wall
		change(j)
		f.AddJob(f.instant(), j, nil, false)
		js := f.jobs[j.ID]
		f.now += time.Minute
		f.plan()
		test.Between(t, 0, f.now-js.acceptedAt, maxAge+time.Hour, test.Sprint(name))
		for _, occ := range js.open {
			test.Between(t, -maxAge, f.now-occ.due, maxAge+time.Hour, test.Sprint(name))
		}
	}
}
