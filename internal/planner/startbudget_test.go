package planner

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/shoenig/test"
	"github.com/shoenig/test/must"
	"pgregory.net/rapid"

	"bamboowood/internal/job"
)

// linkFixture is a planner whose starts share a link.
type linkFixture struct {
	*fixture
	// rate is in bytes of payload per second; backlog is what may be sent later.
	rate, backlog int64
	left          int64
}

// tick plans after 50 ms, and returns the starts.
func (f *linkFixture) tick() []Start {
	f.now += 50 * time.Millisecond
	f.left = min(f.left+f.rate/20, f.backlog)
	f.SetStartBudget(max(f.left, 0), true)
	starts := f.plan().Starts
	for _, s := range starts {
		f.left -= int64(len(s.Payload))
	}
	return starts
}

func newLinkFixture(t *testing.T, runners int) *linkFixture {
	f := &linkFixture{fixture: newFixture(t, 1), rate: 625_000, backlog: 125_000}
	for n := range runners {
		r := testRunner(fmt.Sprint(n))
		r.Capacity = job.Resources{CPU: 64_000, MemoryMB: 250_000}
		f.AgentConnected(f.now, fmt.Sprint(n), Snapshot{Runner: r})
	}
	return f
}

func wideJob(n, tasks, priority int) *job.Job {
	j := testJob(n, step(tasks))
	j.Steps[0].CPU, j.Steps[0].MemoryMB = 10, 10
	j.Queue.Priority = priority
	j.Payload = strings.Repeat("x", job.MaxPayloadBytes)
	return j
}

// Guards against review/8 (LOST): a gang that waits for room used up the start budget of each plan, and
// continuous tasks that rank behind it were not started.
func TestPattern_WaitingGangOnSlowLink(t *testing.T) {
	f := newLinkFixture(t, 7)
	gang := wideJob(1, 56, 0)
	gang.Steps[0].Gang, gang.Steps[0].CPU = true, 8_000
	gang.Queue.Stretch = 1000
	f.add(gang, nil, false)
	// One member more than fits.
	f.agents["0"].requested.CPU += 1_000
	watch := wideJob(2, 2, 2)
	watch.Steps[0].Continuous = true
	f.add(watch, nil, false)
	starts := f.tick()
	must.Len(t, 2, starts)
	test.Eq(t, watch.ID, starts[0].Run.Task.Job)
	// What has not started has not used the budget.
	test.Eq(t, f.startBudget.bytes, f.rate/20-2*job.MaxPayloadBytes)
}

// Guards against a job that never counts as starved, since each plan that tried its gang in vain counted as
// work: its other steps stayed behind higher-ranked jobs.
func TestPlanner_WaitingGangIsIdle(t *testing.T) {
	f := newFixture(t, 1)
	f.agent("a")
	gang := step(17)
	gang.Gang = true
	j := testJob(1, gang)
	f.add(j, nil, false)
	added := f.now
	f.now += time.Second
	f.plan()
	test.Eq(t, added, f.jobs[j.ID].idleSince)
}

// Guards against a wide job that takes the whole budget of each plan: a continuous job and short jobs behind
// it were not started for the 20 s that its starts take to send.
func TestPattern_WideJobOnSlowLink(t *testing.T) {
	f := newLinkFixture(t, 71)
	wide := wideJob(1, 3_000, 0)
	wide.Queue.Slack = time.Hour
	f.add(wide, nil, false)
	waiting := map[string]bool{}
	add := func(n int, continuous bool) {
		j := wideJob(n, 4, 2)
		j.Steps[0].Continuous = continuous
		waiting[j.ID] = true
		f.add(j, nil, false)
	}
	add(2, true)
	for n := range 10 {
		add(3+n, false)
	}
	wideStarts := 0
	for range 20 { // 1 s
		for _, s := range f.tick() {
			delete(waiting, s.Run.Task.Job)
			if s.Run.Task.Job == wide.ID {
				wideStarts++
			}
		}
	}
	test.MapEmpty(t, waiting)
	// By its rank it gets at least half of what the link carries.
	test.GreaterEq(t, int(f.rate)/job.MaxPayloadBytes/2, wideStarts)
}

// Guards against a budget that is exceeded, left unused while tasks wait, or kept from one of the jobs: in
// any mix of jobs that can meet their objective, each has a run within the time in which the link carries
// four starts of each.
func TestStartBudget_Properties(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		f := newLinkFixture(t, 20)
		f.rate = rapid.Int64Range(50_000, 1_000_000).Draw(rt, "rate")
		f.backlog = f.rate / 5
		jobs := rapid.IntRange(1, 12).Draw(rt, "jobs")
		waiting := map[string]bool{}
		tasks := 0
		for n := range jobs {
			j := wideJob(n, rapid.IntRange(1, 200).Draw(rt, "tasks"), rapid.IntRange(0, 2).Draw(rt, "priority"))
			j.Payload = j.Payload[:rapid.IntRange(1000, job.MaxPayloadBytes).Draw(rt, "payload")]
			j.Steps[0].Continuous = rapid.Bool().Draw(rt, "continuous")
			j.Queue.Slack = time.Hour
			tasks += j.Steps[0].Tasks
			waiting[j.ID] = true
			f.add(j, nil, false)
		}
		allowed := time.Duration(4*int64(jobs)*(turnBytes+job.MaxPayloadBytes))*time.Second/time.Duration(f.rate) + time.Second
		began, sent := f.now, int64(0)
		for f.now-began < allowed {
			before := f.left
			starts := f.tick()
			if tasks -= len(starts); tasks > 0 && f.left > 0 {
				rt.Fatalf("%d bytes left (%d before) while %d tasks wait", f.left, before, tasks)
			}
			for _, s := range starts {
				sent += int64(len(s.Payload))
				delete(waiting, s.Run.Task.Job)
			}
			if most := f.backlog + f.rate*int64(f.now-began)/int64(time.Second) + job.MaxPayloadBytes; sent > most {
				rt.Fatalf("%d bytes ordered, at most %d allowed", sent, most)
			}
		}
		if len(waiting) > 0 {
			rt.Fatalf("%d of %d jobs have no run after %s", len(waiting), jobs, allowed)
		}
	})
}
