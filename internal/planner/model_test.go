package planner

import (
	"fmt"
	"maps"
	"slices"
	"testing"
	"time"

	"github.com/shoenig/test"
	"pgregory.net/rapid"

	"bamboowood/internal/forecast"
	"bamboowood/internal/job"
)

// Times of the model. modelGrant is how long after a takeover a former leader may still
// extend leases.
const (
	modelLease = 6 * time.Second
	modelGrant = 7 * time.Second
	modelSlack = 300 * time.Millisecond
	modelTick  = 500 * time.Millisecond
	// modelSkew bounds the difference between a leader's wall clock and the true time.
	modelSkew = 5 * time.Second
	// modelEarlyStart is how long before its due time an occurrence may start.
	modelEarlyStart = 250 * time.Millisecond
)

// model simulates runners, the ledger and a succession of planners. The runners determine
// which runs are alive.
type model struct {
	t   *rapid.T
	now time.Duration
	// skew is how far the wall clock of the current leader is ahead.
	skew   time.Duration
	term   int64
	p      *Planner
	jobs   []*job.Job
	ledger map[string]*Progress
	agents map[string]*modelAgent
	// storedAsDone holds the tasks whose end as done was reported to the agent as stored.
	storedAsDone map[job.Task]bool
	// done holds the tasks with a run that ended as done.
	done map[job.Task]bool
	// copies counts the starts of copies.
	copies int
	// version is that of the store. acceptedAt has the versions with which the jobs were accepted.
	version    int64
	acceptedAt map[string]int64
}

type modelAgent struct {
	connected bool
	// renewedAt is when the lease was last extended.
	renewedAt time.Duration
	liveRuns  map[job.Run]bool
	ends      []job.End
	lastEnd   int64
	// startedAt is when the agent's process started.
	startedAt time.Duration
	// lostUntil and lostAt are the record of a lost agent; 0 if there is none.
	lostUntil time.Duration
	lostAt    int64
	// runnerSince is when the current runner replaced another one, incarnation the number of runners so
	// far.
	runnerSince time.Duration
	incarnation int64
	// earlierRuns holds the runs that are alive on replaced runners, and detached those that the agent's
	// process knows there, each with the end of its lease. detached also holds runs that have ended.
	earlierRuns, detached map[job.Run]time.Duration
}

func (m *model) instant() Instant {
	return Instant{Mono: m.now, Wall: m.trueTime().Add(m.skew)}
}

func (m *model) trueTime() time.Time { return time.Unix(1_000_000, 0).Add(m.now) }

func (m *model) drawSkew() {
	ticks := int(modelSkew / modelTick)
	m.skew = time.Duration(rapid.IntRange(-ticks, ticks).Draw(m.t, "skew")) * modelTick
}

func (m *model) anyAgent() (string, *modelAgent) {
	id := rapid.SampledFrom(slices.Sorted(maps.Keys(m.agents))).Draw(m.t, "agent")
	return id, m.agents[id]
}

// advance moves the time forward. The leases of connected agents are extended; runs whose
// lease has expired are killed.
func (m *model) advance(d time.Duration) {
	for end := m.now + d; m.now < end; {
		m.now += modelTick
		for _, id := range slices.Sorted(maps.Keys(m.agents)) {
			a := m.agents[id]
			if a.connected {
				a.renewedAt = m.now
			}
			if m.now > a.renewedAt+modelLease {
				for run := range a.liveRuns {
					m.endAt(id, run, job.EndLeaseExpired)
				}
			}
			m.expireEarlierRuns(id)
		}
		m.plan()
	}
}

func (a *modelAgent) end(run job.Run, reason job.EndReason) {
	delete(a.liveRuns, run)
	a.lastEnd++
	a.ends = append(a.ends, job.End{Sequence: a.lastEnd, Run: run, Reason: reason})
}

// plan executes the planner's orders and checks the invariants.
func (m *model) plan() {
	orders := m.p.Plan(m.instant(), true)
	for _, o := range orders.Stops {
		if a := m.agents[o.Agent]; a.connected && a.liveRuns[o.Run] {
			m.endAt(o.Agent, o.Run, job.EndStopped)
		}
	}
	for _, o := range orders.Starts {
		a := m.agents[o.Agent]
		if !a.connected {
			m.t.Fatalf("start of %v ordered at an agent without contact", o.Run)
		}
		m.checkOtherRuns(o)
		if m.storedAsDone[o.Run.Task] {
			m.t.Fatalf("start of %v though its end as done was stored", o.Run)
		}
		if early := m.job(o.Run.Task.Job).Due(o.Run.Task.Occurrence).Sub(m.trueTime()); early > modelSkew+modelEarlyStart {
			m.t.Fatalf("start of %v %v before it is due", o.Run, early)
		}
		a.liveRuns[o.Run] = true
		if o.Run.Task.Index%2 == 0 {
			m.p.ActivityReported(m.now, o.Agent, []job.Activity{{Run: o.Run}})
		}
	}
}

func (m *model) job(id string) *job.Job {
	return m.jobs[slices.IndexFunc(m.jobs, func(j *job.Job) bool { return j.ID == id })]
}

func (m *model) connect(id string) {
	a := m.agents[id]
	for _, e := range a.ends {
		m.p.RunEnded(m.now, id, e)
	}
	a.connected = true
	a.renewedAt = m.now
	a.lostUntil, a.lostAt = 0, 0
	m.p.AgentConnected(m.now, id, Snapshot{
		Runner: a.runner(id), Active: append(a.detachedActive(), a.active()...), UnlistedFor: max(a.unlistedUntil(m.now)-m.now, 0),
	})
}

func (m *model) disconnect(id string) {
	a := m.agents[id]
	a.connected = false
	m.p.AgentLost(id, a.renewedAt+modelLease+modelSlack)
}

// takeOver replaces the planner with one that has only the ledger's contents.
func (m *model) takeOver() {
	m.term++
	m.drawSkew()
	m.p = New(Options{Term: m.term, EarlyStart: modelEarlyStart, EndedRetention: time.Hour, RemoteFactor: 1.5, LearnedDurations: true, Speculation: true})
	for i := range 100 { // copies are started early and pay
		m.p.learned.Learn(forecast.Key{Queue: "q"}, time.Second, time.Duration(1+i/96*200)*modelTick/5, 1)
	}
	grant := modelGrant
	if rapid.Bool().Draw(m.t, "resigned") {
		grant = 0
	}
	for id, a := range m.agents {
		a.connected = false
		expiry := m.now + grant + modelLease + modelSlack
		if a.lostAt != 0 {
			expiry = min(expiry, a.lostUntil)
		}
		m.p.AddUnreportedAgent(id, expiry)
		m.p.AgentLostAt(id, a.lostAt)
	}
	for _, j := range m.jobs {
		m.p.AddJob(m.instant(), j, m.ledger[j.ID], true)
		m.p.JobAcceptedAt(j.ID, m.acceptedAt[j.ID])
	}
}

// commit stores all progress in the ledger and reports their ends to the connected agents as
// stored.
func (m *model) commit() {
	for _, c := range m.p.TakeChanges(1000) {
		m.checkProgressGrows(m.ledger[c.Job], c)
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
				for _, member := range m.members(e.Run) {
					m.storedAsDone[member.Task] = true
				}
			}
		}
		a.ends = nil
	}
}

func (m *model) checkCompleted(id string) {
	j := m.job(id)
	for k := range j.OccurrenceCount() {
		for _, task := range occurrenceTasks(j, k) {
			if !m.done[task] {
				m.t.Fatalf("job is shown as completed although %v has not ended", task)
			}
		}
	}
}

func occurrenceTasks(j *job.Job, k int) []job.Task {
	var tasks []job.Task
	for s := range j.Steps {
		for i := range j.Steps[s].Tasks {
			tasks = append(tasks, job.Task{Job: j.ID, Occurrence: k, Step: s, Index: i})
		}
	}
	return tasks
}

// checkProgressGrows checks that no task that is done in the stored progress is missing in the
// progress that replaces it.
func (m *model) checkProgressGrows(stored *Progress, c Change) {
	if stored == nil || c.Progress.State.Terminal() {
		return
	}
	j := m.job(c.Job)
	for k := range j.OccurrenceCount() {
		for _, task := range occurrenceTasks(j, k) {
			if stored.taskDone(task) && !c.Progress.taskDone(task) {
				m.t.Fatalf("stored progress of %v is lost", task)
			}
		}
	}
}

func (pr *Progress) taskDone(t job.Task) bool {
	if pr.occurrenceDone(t.Occurrence) {
		return true
	}
	o := pr.Open[t.Occurrence]
	return o != nil && t.Step < len(o.Done) && bit(o.Done[t.Step], t.Index)
}

func (m *model) finish(reason job.EndReason) {
	id, a := m.anyAgent()
	for _, run := range slices.SortedFunc(maps.Keys(a.liveRuns), func(x, y job.Run) int {
		return int(x.Number-y.Number)*1000 + x.Task.Index - y.Task.Index
	}) {
		m.endAt(id, run, reason)
		break
	}
	m.plan()
}

// members returns the runs that end together with a run: all members if it is one of a gang.
func (m *model) members(run job.Run) []job.Run {
	s := m.job(run.Task.Job).Steps[run.Task.Step]
	if !s.Gang {
		return []job.Run{run}
	}
	runs := make([]job.Run, s.Tasks)
	for i := range runs {
		runs[i] = run
		runs[i].Task.Index = i
	}
	return runs
}

// endAt ends a run and passes the end to the planner if the agent is connected. If it is one
// of a gang, the other members end too.
func (m *model) endAt(id string, run job.Run, reason job.EndReason) {
	if !m.agents[id].liveRuns[run] {
		return
	}
	m.endOne(id, run, reason)
	if reason != job.EndDone {
		reason = job.EndGangMemberLost
	}
	for _, member := range m.members(run) {
		if reason == job.EndDone {
			// The end of one member stands for all.
			m.done[member.Task] = true
		}
		for _, id := range slices.Sorted(maps.Keys(m.agents)) {
			if m.agents[id].liveRuns[member] {
				m.endOne(id, member, reason)
			}
			delete(m.agents[id].earlierRuns, member)
		}
	}
}

func (m *model) endOne(id string, run job.Run, reason job.EndReason) {
	a := m.agents[id]
	a.end(run, reason)
	if reason == job.EndDone {
		m.done[run.Task] = true
	}
	if a.connected {
		m.p.RunEnded(m.now, id, a.ends[len(a.ends)-1])
	}
}

// Agents are lost and restart, leases expire, runners restart or are replaced while their process lives on,
// and planners, whose wall clocks differ, are replaced at random. No task may have two live runs, start after its end was stored or long before it is due,
// stored progress must not shrink, and once the faults cease all jobs must complete.
func TestModel_TakeoverAndLostAgents(t *testing.T) {
	copies := 0
	rapid.Check(t, func(t *rapid.T) {
		m := &model{
			t: t, now: time.Hour, ledger: map[string]*Progress{}, agents: map[string]*modelAgent{},
			storedAsDone: map[job.Task]bool{}, done: map[job.Task]bool{}, acceptedAt: map[string]int64{},
		}
		for i := range 3 {
			m.agents[fmt.Sprintf("a%d", i)] = &modelAgent{
				renewedAt: m.now, liveRuns: map[job.Run]bool{}, earlierRuns: map[job.Run]time.Duration{}, detached: map[job.Run]time.Duration{},
			}
		}
		m.takeOver()
		m.reconnectAll()
		t.Repeat(map[string]func(*rapid.T){
			"submit": func(t *rapid.T) {
				if len(m.jobs) < 20 {
					j := testJob(len(m.jobs), step(3), step(2, 0))
					j.Steps[rapid.IntRange(0, 1).Draw(t, "gang step")].Gang = rapid.Bool().Draw(t, "gang")
					j.Steps[0].Speculative = rapid.Bool().Draw(t, "speculative")
					if rapid.Bool().Draw(t, "scheduled") {
						j.Occurrences, j.Interval = 3, 2*time.Second
						j.Start = m.trueTime().Add(time.Second)
					}
					j.Queue.MaxAttempts = 1000
					j.AcceptedAt = m.instant().Wall
					m.jobs = append(m.jobs, j)
					m.version++
					m.acceptedAt[j.ID] = m.version
					m.p.AddJob(m.instant(), j, nil, false)
					m.plan()
				}
			},
			"advance": func(t *rapid.T) {
				m.advance(time.Duration(rapid.IntRange(1, 20).Draw(t, "ticks")) * modelTick)
			},
			"done":   func(*rapid.T) { m.finish(job.EndDone) },
			"failed": func(*rapid.T) { m.finish(job.EndFailed) },
			"commit": func(*rapid.T) { m.commit() },
			"disconnect": func(*rapid.T) {
				if id, a := m.anyAgent(); a.connected {
					m.disconnect(id)
				}
			},
			"reconnect": func(*rapid.T) {
				if id, a := m.anyAgent(); !a.connected {
					m.connect(id)
					m.plan()
				}
			},
			"take over":           func(*rapid.T) { m.takeOver() },
			"record lost":         func(*rapid.T) { m.recordLost() },
			"agent restarts":      func(*rapid.T) { m.restartAgent() },
			"runner restarts":     func(*rapid.T) { m.restartRunner() },
			"runner replaced":     func(*rapid.T) { m.replaceRunner() },
			"earlier runner back": func(*rapid.T) { m.returnRunner() },
			"clock step":          func(*rapid.T) { m.drawSkew() },
		})
		m.finishAll()
		copies += m.copies
	})
	test.Positive(t, copies, test.Sprint("no copy was started"))
}

func (m *model) reconnectAll() {
	for _, id := range slices.Sorted(maps.Keys(m.agents)) {
		if !m.agents[id].connected {
			m.connect(id)
		}
	}
	m.plan()
}

// finishAll ends all runs as done, without further faults, and checks that all jobs
// complete.
func (m *model) finishAll() {
	m.reconnectAll()
	for range 400 {
		m.advance(modelTick)
		for id, a := range m.agents {
			for run := range maps.Clone(a.liveRuns) {
				m.endAt(id, run, job.EndDone)
			}
		}
		m.plan()
		m.commit()
	}
	for _, j := range m.jobs {
		if state, known := m.p.Status(j.ID); !known || state != job.Completed {
			m.t.Fatalf("job %s is %q (known: %v) long after the last fault", j.ID, state, known)
		}
	}
}
