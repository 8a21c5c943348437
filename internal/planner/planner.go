// Package planner schedules tasks on runners: it decides which tasks to start, stop,
// retry and throttle, and where. It receives events and the time as arguments and
// returns orders. It has no clock, goroutine or connection of its own.
//
// The agents are authoritative for the runs that exist, the ledger for the jobs that
// were accepted and the tasks that have ended. A planner caches both. Invariants:
//
//   - A task has at most one run that may be alive; a task of a speculative step at
//     most two, on different agents. A run may be alive from
//     the order to start it until its end is reported, its agent does not list it
//     any more though its process would know it, or the lease of its agent has
//     certainly expired.
//   - A task of a recovered job is not started before each agent has reported all runs
//     that may be alive there, because a run ordered by an earlier planner may be. Jobs accepted
//     after an agent was recorded as lost cannot have a run there.
//   - A task that is done is never started again.
package planner

import (
	"time"

	"bamboowood/internal/forecast"
	"bamboowood/internal/interference"
	"bamboowood/internal/job"
	"bamboowood/internal/site"
)

// Instant is one point in time on two clocks: the monotonic clock, and the wall clock
// that callers' schedules refer to.
type Instant struct {
	Mono time.Duration
	Wall time.Time
}

// Options configure a planner.
type Options struct {
	// Term is the number of the leadership term that the planner serves. Run numbers
	// of a term are higher than those of all earlier terms.
	Term int64
	// EarlyStart is how long before its due time an occurrence may start. The planner
	// uses half of it.
	EarlyStart time.Duration
	// EndedRetention is how long an ended job is kept.
	EndedRetention time.Duration
	// RemoteFactor is the factor by which a task takes longer outside its data's rack.
	RemoteFactor float64
	// LearnedDurations corrects estimates by the durations learned for their queue and image,
	// instead of by one factor for each queue.
	LearnedDurations bool
	// Lookahead reserves capacity that is expected to become free for large steps that are blocked.
	Lookahead bool
	// Speculation starts copies of late tasks of speculative steps. It requires LearnedDurations.
	Speculation bool
}

// runsPerTerm is the size of the range of run numbers reserved for a term: a task may
// be started that often in one term without using a number of the next term.
const runsPerTerm = 1 << 16

// Planner holds the state of all jobs and agents and plans orders from it. It is not
// safe for concurrent use.
type Planner struct {
	opts   Options
	site   *site.State
	jobs   map[string]*jobState
	agents map[string]*agent
	// orderedAgents lists the agents in the order in which they were added, so that ties
	// between equal costs are broken deterministically.
	orderedAgents []*agent
	// unreported counts agents that have not reported all of their runs yet.
	unreported int
	// waitingSteps holds the steps with waiting tasks.
	waitingSteps []*stepState
	// scheduled holds the jobs with occurrences that are not open yet.
	scheduled map[*jobState]struct{}
	// dirty holds the jobs whose progress is not stored in the ledger yet.
	dirty      map[*jobState]struct{}
	ended      []*jobState
	stops      []Stop
	deadAgents []string
	advice     adviceCalls
	deferrals  []Deferral
	givenUp    []GivenUp
	stats      Stats

	interference *interference.Model
	// bias is, by queue, the logarithm of the factor by which tasks take longer than
	// their callers' estimates.
	bias map[string]float64
	// learned are the durations of tasks relative to their estimates, by queue and image.
	learned   *forecast.Durations
	lookahead lookahead
	copies    copies
	// starvationLimit is how long a job may currently be without a working run. mostlyIdle is
	// set while most of the fleet's CPU is not requested, newJobsWaiting if new jobs still
	// waited for capacity after the last plan.
	starvationLimit            time.Duration
	mostlyIdle, newJobsWaiting bool
	startBudget                startBudget
	// starts are the starts of the current plan so far. If the plan panics, the next one removes their runs.
	starts []Start
	// quarantined holds the ids of the jobs passed to Quarantine.
	quarantined map[string]bool
	// currentJob is the id of the job being processed, empty if none.
	currentJob string
	// lastInstant is the last time that was passed to AddJob or Plan.
	lastInstant Instant
}

// Stats count decisions since the planner was created.
type Stats struct {
	Starts, Stops, Stalls, LeaseExpirations, Failures, Refusals, Deferrals int64
	// BlamedFailures counts the failures that were a job's own fault and were not counted against a runner.
	BlamedFailures int64
}

// New returns a planner without jobs and agents.
func New(opts Options) *Planner {
	return &Planner{
		opts: opts, site: &site.State{},
		jobs: map[string]*jobState{}, agents: map[string]*agent{},
		scheduled: map[*jobState]struct{}{}, dirty: map[*jobState]struct{}{},
		interference: interference.New(), bias: map[string]float64{}, quarantined: map[string]bool{},
		learned: forecast.NewDurations(), advice: adviceCalls{grantShares: map[string]*grantShare{}},
	}
}

// jobState is a job and its progress.
//
// A run is live while it may be alive: from the order to start it until its end is certain.
// A live run is working unless its speed limit is 0. Its phase is starting until its start
// is confirmed, then running, and stopping once a stop is ordered.
type jobState struct {
	job   *job.Job
	state job.State
	// storedState is the state that is stored in the ledger.
	storedState job.State
	// recovered jobs may have runs that an earlier planner ordered.
	recovered bool
	// acceptedVersion is the version of the store with which a recovered job was accepted; 0 if unknown.
	acceptedVersion int64
	// started is set once a runner has confirmed the start of a task. An order alone
	// does not set it, since it may be refused.
	started    bool
	acceptedAt time.Duration
	durations  durations
	// opened is the number of occurrences that were opened, in order; open holds those that
	// are not done. An occurrence is opened when it is due by this process's wall clock, or
	// when the ledger or an agent shows that an earlier leader opened it.
	// occurrenceTasks is the number of tasks of one.
	opened          int
	open            map[int]*occurrence
	occurrenceTasks int
	// recoveredProgress is the progress with which the job was added, nil if there was none.
	recoveredProgress *Progress
	// liveRuns counts the job's live runs.
	liveRuns int
	// workingRuns counts the job's working runs. While it is 0, idleSince is when the last
	// working run ended or was throttled to zero.
	workingRuns int
	idleSince   time.Duration
	// starved is set once the job has exceeded the starvation limit. From then on one of its
	// tasks is kept working while the fleet is mostly idle.
	starved bool
	endedAt time.Duration
	// unsettled are runs of done tasks that may still start. The progress is not stored meanwhile.
	unsettled []*run
	// setAside is set once the job's progress can never be stored, until the job is cancelled.
	setAside bool
}

// occurrence is one execution of a job's steps.
type occurrence struct {
	number    int
	due       time.Duration
	steps     []stepState
	stepsLeft int
	// deferred is set once the occurrence has been deferred in an overload.
	deferred bool
}

// stepState is the progress of one step of an occurrence.
type stepState struct {
	job       *jobState
	occ       *occurrence
	index     int
	step      *job.Step
	tasks     []taskState
	doneTasks int
	// waitingTasks counts the tasks that wait for a runner.
	waitingTasks int
	// open is set once all preceding steps are done.
	open bool
	// queued is set while the step is in Planner.waitingSteps.
	queued bool
	// retryAt is when a best-effort step for which no runner was found is tried again.
	retryAt time.Duration
	// advice is set if an advice service decides which runners may run the step.
	advice *advice
	// runsOnAgent counts live runs by agent, for MaxPerRunner.
	runsOnAgent map[*agent]int
	trials      *trials
	// gangRunNumber is the last run number of a gang. Its members share the number and
	// the checkpoint.
	gangRunNumber  int64
	gangCheckpoint string
}

type taskState struct {
	done bool
	// waiting tasks may start once notBefore has passed.
	waiting bool
	// failedRuns are the numbers of the failed runs.
	failedRuns []int64
	// lastRunNumber is the highest run number that was used.
	lastRunNumber int64
	liveRun       *run
	// copyRun is a second run that may be alive; it is nil unless the step is speculative.
	copyRun    *run
	checkpoint string
	notBefore  time.Duration
	// avoidAgent is the agent on which the last run failed or stalled.
	avoidAgent *agent
	// failedAttempts counts refused starts and ends without success. It determines the
	// delay before the next start.
	failedAttempts int
	// heldBack is set once the task has waited because of a reservation.
	heldBack bool
}

// SetSite sets the operator settings, such as drained zones.
func (p *Planner) SetSite(s *site.State) { p.site = s }

// HasJob reports whether the planner has the job or has quarantined it.
func (p *Planner) HasJob(id string) bool { return p.jobs[id] != nil || p.quarantined[id] }

// Tracks reports whether the planner has the job and has neither quarantined it nor set it aside: only then do
// changes hold the ends of its runs.
func (p *Planner) Tracks(id string) bool {
	js := p.jobs[id]
	return js != nil && !js.setAside
}

// AddJob adds an accepted job. progress is nil if the ledger has no progress of the
// job. recovered means that an earlier planner may have started it. A job that was
// added before is left unchanged.
func (p *Planner) AddJob(now Instant, j *job.Job, progress *Progress, recovered bool) {
	p.lastInstant = now
	if p.HasJob(j.ID) {
		return
	}
	age := min(max(now.Wall.Sub(j.AcceptedAt), 0), maxAge)
	js := &jobState{
		job: j, state: job.Queued, storedState: job.Queued, recovered: recovered,
		acceptedAt: now.Mono - age, idleSince: now.Mono, durations: newDurations(j, p.biases(j)), open: map[int]*occurrence{},
	}
	for i := range j.Steps {
		js.occurrenceTasks += j.Steps[i].Tasks
	}
	p.jobs[j.ID] = js
	if progress != nil {
		js.storedState = progress.State
		js.started = progress.State != job.Queued
		if progress.State.Terminal() {
			p.finishJob(now.Mono, js, progress.State)
			return
		}
	}
	js.recoveredProgress = progress
	p.openOccurrences(now, js, progress.openedOccurrences())
	if js.opened < j.OccurrenceCount() {
		p.scheduled[js] = struct{}{}
	}
	p.completeIfDone(now.Mono, js)
}

// openSteps opens the steps whose predecessors are all done.
func (p *Planner) openSteps(occ *occurrence) {
	for i := range occ.steps {
		s := &occ.steps[i]
		if s.open || !occ.predecessorsDone(s.step) {
			continue
		}
		s.open = true
		for t := range s.tasks {
			if !s.tasks[t].done && s.tasks[t].liveRun == nil {
				s.setWaiting(&s.tasks[t], true)
			}
		}
		p.enqueue(s)
	}
}

func (s *stepState) setWaiting(t *taskState, waiting bool) {
	if t.waiting == waiting {
		return
	}
	t.waiting = waiting
	if waiting {
		s.waitingTasks++
	} else {
		s.waitingTasks--
	}
}

func (o *occurrence) predecessorsDone(step *job.Step) bool {
	for _, before := range step.After {
		if o.steps[before].doneTasks < len(o.steps[before].tasks) {
			return false
		}
	}
	return true
}

func (p *Planner) enqueue(s *stepState) {
	if s.waitingTasks > 0 && !s.queued {
		s.queued = true
		p.waitingSteps = append(p.waitingSteps, s)
	}
}

// Cancel ends a job at its caller's request. It returns false if the planner does not
// have the job.
func (p *Planner) Cancel(now time.Duration, id string) bool {
	js := p.jobs[id]
	if js == nil {
		return false
	}
	if !js.state.Terminal() {
		p.finishJob(now, js, job.Cancelled)
	}
	return true
}

// finishJob moves a job to a terminal state and stops its remaining runs.
func (p *Planner) finishJob(now time.Duration, js *jobState, state job.State) {
	js.state = state
	js.endedAt = now
	js.setAside = false
	delete(p.scheduled, js)
	p.interference.ForgetJob(js.job.ID)
	p.ended = append(p.ended, js)
	if js.storedState != state {
		p.dirty[js] = struct{}{}
	}
	reason := StopJobCancelled
	if state == job.Failed {
		reason = StopJobFailed
	}
	for _, occ := range js.open {
		for i := range occ.steps {
			for t := range occ.steps[i].tasks {
				if r := occ.steps[i].tasks[t].liveRun; r != nil {
					p.stopRun(r, reason)
				}
				if r := occ.steps[i].tasks[t].copyRun; r != nil {
					p.stopRun(r, reason)
				}
			}
		}
	}
}

// stopRun orders a run to be stopped, unless that was ordered before.
func (p *Planner) stopRun(r *run, reason StopReason) {
	if r.phase == stopping {
		return
	}
	r.phase, r.stopReason = stopping, reason
	r.agent.colocation.computedAt = 0
	p.stats.Stops++
	p.stops = append(p.stops, Stop{Agent: r.agent.id, Run: r.id, Reason: reason})
}

func (p *Planner) completeIfDone(now time.Duration, js *jobState) {
	if js.state.Terminal() || js.opened < js.job.OccurrenceCount() || len(js.open) > 0 {
		return
	}
	p.finishJob(now, js, job.Completed)
}
