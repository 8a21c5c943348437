package planner

import (
	"maps"
	"slices"
	"time"

	"pgregory.net/rapid"

	"bamboowood/internal/job"
)

// runner returns the description of the current incarnation of an agent's runner.
func (a *modelAgent) runner(id string) *job.Runner {
	r := testRunner(id)
	r.StartTime = a.incarnation
	return r
}

// unlistedUntil returns until when runs may be alive that the agent's process does not know; 0 if the
// current runner is older than a lease.
func (a *modelAgent) unlistedUntil(now time.Duration) time.Duration {
	if now-a.runnerSince > modelLease || now > a.startedAt+modelLease {
		return 0
	}
	return a.startedAt + modelLease + modelTick
}

func activities[V any](runs map[job.Run]V) (active []job.Activity) {
	for run := range runs {
		active = append(active, job.Activity{Run: run})
	}
	return active
}

func (a *modelAgent) active() []job.Activity { return activities(a.liveRuns) }

func (a *modelAgent) detachedActive() []job.Activity { return activities(a.detached) }

// expireEarlierRuns ends the runs on replaced runners whose lease has expired. Their ends are not reported;
// an agent reports those that it knows as refused.
func (m *model) expireEarlierRuns(id string) {
	a := m.agents[id]
	maps.DeleteFunc(a.earlierRuns, func(_ job.Run, until time.Duration) bool { return m.now > until })
	for run, until := range a.detached {
		if m.now <= until {
			continue
		}
		delete(a.detached, run)
		if a.connected {
			m.p.StartRefused(m.now, id, run, RefusedLate)
		}
	}
}

// recordLost records a lost agent in the ledger. The record is removed when it connects again.
func (m *model) recordLost() {
	id, a := m.anyAgent()
	if until, ok := m.p.LeaseExpiry(id); ok && !a.connected && a.lostAt == 0 {
		m.version++
		a.lostUntil, a.lostAt = until, m.version
	}
}

// restartAgent replaces the process of an agent, and at times its runner meanwhile. The next process knows
// no run of earlier runners.
func (m *model) restartAgent() {
	id, a := m.anyAgent()
	if a.connected {
		m.disconnect(id)
	}
	if rapid.Bool().Draw(m.t, "runner replaced") {
		m.detachLiveRuns(a)
		m.nextRunner(id)
	}
	a.startedAt = m.now
	clear(a.detached)
	if rapid.Bool().Draw(m.t, "reconnects") {
		m.connect(id)
	}
	m.plan()
}

// restartRunner restarts a runner under its id: all of its runs and ends are gone.
func (m *model) restartRunner() {
	id, a := m.anyAgent()
	gone := slices.Collect(maps.Keys(a.liveRuns))
	clear(a.liveRuns)
	m.nextRunner(id)
	if a.connected {
		for _, run := range gone {
			m.p.StartRefused(m.now, id, run, RefusedLate)
		}
	}
	m.plan()
}

// replaceRunner has another runner answer at a runner's address. The process of the earlier one lives on
// until the end of its lease.
func (m *model) replaceRunner() {
	id, a := m.anyAgent()
	m.detachLiveRuns(a)
	m.nextRunner(id)
	m.plan()
}

// returnRunner has the runs of earlier runners listed again, after the first list of an agent's process.
func (m *model) returnRunner() {
	ids := slices.DeleteFunc(slices.Sorted(maps.Keys(m.agents)), func(id string) bool {
		return !m.agents[id].connected || len(m.agents[id].earlierRuns) == 0
	})
	if len(ids) == 0 {
		return
	}
	id := rapid.SampledFrom(ids).Draw(m.t, "agent")
	a := m.agents[id]
	back := slices.Collect(maps.Keys(a.earlierRuns))
	clear(a.earlierRuns)
	m.detachLiveRuns(a)
	m.nextRunner(id)
	for _, run := range back {
		a.liveRuns[run] = true
		delete(a.detached, run)
	}
	m.p.ActivityReported(m.now, id, a.active())
	m.plan()
}

// detachLiveRuns leaves the runs of a runner to the end of their lease. The agent's process knows them.
func (m *model) detachLiveRuns(a *modelAgent) {
	for run := range a.liveRuns {
		a.earlierRuns[run] = a.renewedAt + modelLease
		a.detached[run] = a.renewedAt + modelLease
	}
	clear(a.liveRuns)
}

// nextRunner begins the next incarnation of an agent's runner and reports it if the agent is connected.
func (m *model) nextRunner(id string) {
	a := m.agents[id]
	a.incarnation++
	a.runnerSince = m.now
	a.ends, a.lastEnd = nil, 0
	if a.connected {
		m.p.RunnerChanged(m.now, id, a.runner(id), a.detachedActive())
	}
}

// checkOtherRuns checks that a started task has no other live run, or, if its step is speculative, at most one
// and that on another agent.
func (m *model) checkOtherRuns(o Start) {
	copies := 0
	for id, other := range m.agents {
		for _, runs := range [][]job.Activity{other.active(), activities(other.earlierRuns)} {
			for _, act := range runs {
				if act.Run.Task != o.Run.Task {
					continue
				}
				if copies++; !o.Step.Speculative || o.Step.Gang || copies > 1 || id == o.Agent {
					m.t.Fatalf("start of %v on %s while %v is alive on %s", o.Run, o.Agent, act.Run, id)
				}
				m.copies++
			}
		}
	}
}
