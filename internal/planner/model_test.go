package planner

import (
	"fmt"
	"maps"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"

	"bamboowood/internal/job"
)

// Times of the model; grants end modelGrant after the last renewal of a leader
// that nobody hears of any more.
const (
	modelHold  = 6 * time.Second
	modelGrant = 7 * time.Second
	modelSlack = 300 * time.Millisecond
	modelTick  = 500 * time.Millisecond
)

// model has runners, the ledger and a succession of planners. Runners are the
// truth about what is alive.
type model struct {
	t      *rapid.T
	now    time.Duration
	term   int64
	p      *Planner
	jobs   []*job.Job
	ledger map[string]*Progress
	agents map[string]*modelAgent
	// noted has the tasks of which a done end has been acknowledged.
	noted map[job.Task]bool
	// done has the tasks of which a run has ended as done.
	done map[job.Task]bool
}

type modelAgent struct {
	connected bool
	// granted is when the lease was last extended.
	granted time.Duration
	alive   map[job.Run]bool
	ends    []job.End
	listed  int64
}

func (m *model) instant() Instant {
	return Instant{Mono: m.now, Wall: time.Unix(1_000_000, 0).Add(m.now)}
}

func (m *model) anyAgent() (string, *modelAgent) {
	id := rapid.SampledFrom(slices.Sorted(maps.Keys(m.agents))).Draw(m.t, "agent")
	return id, m.agents[id]
}

// pass lets time go by: leases are extended where there is contact, and runs
// without a lease are killed.
func (m *model) pass(d time.Duration) {
	for end := m.now + d; m.now < end; {
		m.now += modelTick
		for _, id := range slices.Sorted(maps.Keys(m.agents)) {
			a := m.agents[id]
			if a.connected {
				a.granted = m.now
			}
			if m.now > a.granted+modelHold {
				for run := range a.alive {
					a.end(run, job.EndLeaseExpired)
				}
			}
		}
		m.plan()
	}
}

func (a *modelAgent) end(run job.Run, reason job.EndReason) {
	delete(a.alive, run)
	a.listed++
	a.ends = append(a.ends, job.End{Sequence: a.listed, Run: run, Reason: reason})
}

// plan carries out the planner's orders and checks what must always hold.
func (m *model) plan() {
	orders := m.p.Plan(m.instant(), true)
	for _, o := range orders.Stops {
		if a := m.agents[o.Agent]; a.connected && a.alive[o.Run] {
			m.endAt(o.Agent, o.Run, job.EndStopped)
		}
	}
	for _, o := range orders.Starts {
		a := m.agents[o.Agent]
		if !a.connected {
			m.t.Fatalf("start of %v ordered at an agent without contact", o.Run)
		}
		for id, other := range m.agents {
			for run := range other.alive {
				if run.Task == o.Run.Task {
					m.t.Fatalf("start of %v while %v is alive on %s", o.Run, run, id)
				}
			}
		}
		if m.noted[o.Run.Task] {
			m.t.Fatalf("start of %v though an end of it was acknowledged", o.Run)
		}
		a.alive[o.Run] = true
	}
}

func (m *model) connect(id string) {
	a := m.agents[id]
	for _, e := range a.ends {
		m.p.RunEnded(m.now, id, e)
	}
	var active []job.Activity
	for run := range a.alive {
		active = append(active, job.Activity{Run: run})
	}
	a.connected = true
	a.granted = m.now
	m.p.AgentConnected(m.now, id, testRunner(id), active)
}

func (m *model) disconnect(id string) {
	a := m.agents[id]
	a.connected = false
	m.p.AgentLost(id, a.granted+modelHold+modelSlack)
}

// takeOver replaces the planner by one that knows the ledger only.
func (m *model) takeOver() {
	m.term++
	m.p = New(Options{Term: m.term, EndedRetention: time.Hour, RemoteFactor: 1.5})
	for id, a := range m.agents {
		a.connected = false
		m.p.AddUnreportedAgent(id, m.now+modelGrant+modelHold+modelSlack)
	}
	for _, j := range m.jobs {
		m.p.AddJob(m.instant(), j, m.ledger[j.ID], true)
	}
}

// store commits all progress and acknowledges the ends that were passed on.
func (m *model) store() {
	for _, c := range m.p.TakeChanges(1000) {
		m.ledger[c.Job] = c.Progress
		m.p.ChangeCommitted(m.now, c)
		if c.Progress.State == job.Completed {
			m.checkCompleted(c.Job)
		}
	}
	for _, a := range m.agents {
		if !a.connected {
			continue
		}
		for _, e := range a.ends {
			if e.Reason == job.EndDone {
				m.noted[e.Run.Task] = true
			}
		}
		a.ends = nil
	}
}

func (m *model) checkCompleted(id string) {
	for _, j := range m.jobs {
		for s := range j.Steps {
			for i := range j.Steps[s].Tasks {
				if task := (job.Task{Job: j.ID, Step: s, Index: i}); j.ID == id && !m.done[task] {
					m.t.Fatalf("job is shown as completed and %v has not ended", task)
				}
			}
		}
	}
}

func (m *model) finish(reason job.EndReason) {
	id, a := m.anyAgent()
	for _, run := range slices.SortedFunc(maps.Keys(a.alive), func(x, y job.Run) int {
		return int(x.Number-y.Number)*1000 + x.Task.Index - y.Task.Index
	}) {
		m.endAt(id, run, reason)
		break
	}
	m.plan()
}

// endAt ends a run and passes its end on if there is contact.
func (m *model) endAt(id string, run job.Run, reason job.EndReason) {
	a := m.agents[id]
	a.end(run, reason)
	if reason == job.EndDone {
		m.done[run.Task] = true
	}
	if a.connected {
		m.p.RunEnded(m.now, id, a.ends[len(a.ends)-1])
	}
}

// Over lost agents, lapsed leases, and leaders that know the ledger only, no task
// runs twice at a time, none is started after its end was acknowledged, and in
// quiet times all jobs end.
func TestModel_TakeoverAndLostAgents(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := &model{
			t: t, now: time.Hour, ledger: map[string]*Progress{}, agents: map[string]*modelAgent{},
			noted: map[job.Task]bool{}, done: map[job.Task]bool{},
		}
		for i := range 3 {
			m.agents[fmt.Sprintf("a%d", i)] = &modelAgent{granted: m.now, alive: map[job.Run]bool{}}
		}
		m.takeOver()
		m.reconnectAll()
		t.Repeat(map[string]func(*rapid.T){
			"hand in": func(*rapid.T) {
				if len(m.jobs) < 20 {
					j := testJob(len(m.jobs), step(3), step(2, 0))
					j.Queue.MaxAttempts = 1000
					j.AcceptedAt = m.instant().Wall
					m.jobs = append(m.jobs, j)
					m.p.AddJob(m.instant(), j, nil, false)
					m.plan()
				}
			},
			"pass": func(t *rapid.T) {
				m.pass(time.Duration(rapid.IntRange(1, 20).Draw(t, "ticks")) * modelTick)
			},
			"done":   func(*rapid.T) { m.finish(job.EndDone) },
			"failed": func(*rapid.T) { m.finish(job.EndFailed) },
			"store":  func(*rapid.T) { m.store() },
			"lose": func(*rapid.T) {
				if id, a := m.anyAgent(); a.connected {
					m.disconnect(id)
				}
			},
			"return": func(*rapid.T) {
				if id, a := m.anyAgent(); !a.connected {
					m.connect(id)
					m.plan()
				}
			},
			"take over": func(*rapid.T) { m.takeOver() },
		})
		m.settle()
	})
}

func (m *model) reconnectAll() {
	for _, id := range slices.Sorted(maps.Keys(m.agents)) {
		if !m.agents[id].connected {
			m.connect(id)
		}
	}
	m.plan()
}

// settle lets all jobs end in quiet times.
func (m *model) settle() {
	m.reconnectAll()
	for range 400 {
		m.pass(modelTick)
		for id, a := range m.agents {
			for run := range maps.Clone(a.alive) {
				m.endAt(id, run, job.EndDone)
			}
		}
		m.plan()
		m.store()
	}
	for _, j := range m.jobs {
		if state, known := m.p.Status(j.ID); !known || state != job.Completed {
			m.t.Fatalf("job %s is %q (known: %v) after a long quiet time", j.ID, state, known)
		}
	}
}
