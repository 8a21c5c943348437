// Package supervisor runs tasks on the runner beside an agent on the orders of a
// leader. It alone calls that runner, so it knows every run that may be alive
// there: those that the runner lists and those whose start has no result yet.
package supervisor

import (
	"context"
	"sync"
	"time"

	"github.com/apex/log"

	"bamboowood/internal/job"
	"bamboowood/internal/runner"
)

// Options of a supervisor.
type Options struct {
	Runner runner.Runner
	Logger log.Interface
	// Now is a clock that counts suspended time.
	Now func() time.Duration
	// MaxLease is the longest lease that the runner grants.
	MaxLease time.Duration
	// FirstToken is the fencing token to begin with; it must be higher than
	// those of earlier processes on this machine.
	FirstToken int64
}

// Order starts a run.
type Order struct {
	Details    RunDetails
	Payload    string
	Checkpoint string
	Ticket     string
	// ValidUntil is when the order lapses, on the clock of the options; 0 if it does not.
	ValidUntil time.Duration
}

// RunDetails is what the supervisor needs to know of a run besides starting it.
type RunDetails struct {
	Run           job.Run
	BestEffort    bool
	LatencyTarget time.Duration
}

// Refusal says that a run does not exist and never will.
type Refusal struct {
	Run    job.Run
	Reason runner.Refusal
}

// Update is what has changed since the last one.
type Update struct {
	// RunnerChanged says that Runner is new; nil means that there is none.
	RunnerChanged bool
	Runner        *job.Runner
	Active        []job.Activity
	Ends          []job.End
	Refusals      []Refusal
}

func (u *Update) empty() bool {
	return !u.RunnerChanged && len(u.Active) == 0 && len(u.Ends) == 0 && len(u.Refusals) == 0
}

type phase uint8

const (
	// ordered: the start has no result yet.
	ordered phase = iota
	active
	// stopping: an order to stop is under way or has been confirmed.
	stopping
)

type taskRun struct {
	details  RunDetails
	phase    phase
	activity job.Activity
	// resolved is set once the run can be alive only if the runner lists it; a
	// report of a call that began later settles whether it is.
	resolved   bool
	resolvedAt time.Duration
	reason     runner.Refusal
	// pace is the share of its speed that is ordered, in percent; paceSet is the
	// one that the runner has confirmed.
	pace, paceSet int
	// reportedAt is when the leader was last told of the run's progress.
	reportedAt time.Duration
	// missing counts reports that should list the run and do not.
	missing int
}

// Supervisor is safe for concurrent use.
type Supervisor struct {
	opts Options

	mu     sync.Mutex
	runner *job.Runner
	// past has the ids and births of earlier lives.
	past  map[life]bool
	token int64
	runs  map[job.Run]*taskRun
	// ends are those that the leader has not stored, listed up to lastEnd.
	ends      []job.End
	lastEnd   int64
	storedEnd int64
	// acknowledgedEnd is the last that the runner has been told to forget, answeredAt when
	// its present life last answered with its lists.
	acknowledgedEnd int64
	answeredAt      time.Duration
	// permitted is how long the leader lets the lease last, on Now's clock.
	permitted time.Duration
	// leaseEnd is the latest time to which a lease may have been extended.
	leaseEnd time.Duration
	// clock is the runner's clock at clockAt.
	clock   time.Duration
	clockAt time.Duration
	// failures counts calls in a row that got no answer.
	failures  int
	refusedAt time.Duration

	// ready says that all runs that may be alive are known: the runner has listed
	// them to this process, or the leases of an earlier one have run out.
	ready   bool
	readyAt time.Duration
	// reborn says that the runner has begun a new life under the same id and has not listed
	// its runs yet. Starts for the life before may have reached it.
	reborn bool
	// cancelHold ends the call under way that waits for the runner's lists.
	cancelHold context.CancelFunc

	pacer   pacer
	pacedAt time.Duration
	// followed is when the leader last extended the lease.
	followed time.Duration
	update   Update
	notify   chan struct{}
	wake     chan struct{}
	slots    chan struct{}
	waiters  sync.WaitGroup
}

type life struct {
	id   string
	born int64
}

// rebornLeases times the longest lease that this process gives are over when those have run
// out that a new life of the runner has taken from starts for the one before: these name a
// time on the other life's clock, and the runner shortens them to a limit of its own.
const rebornLeases = 2

// maxCalls bounds the concurrent orders to the runner.
const maxCalls = 10

// New returns a supervisor; Run has to be called.
func New(opts Options) *Supervisor {
	return &Supervisor{
		readyAt: opts.Now() + opts.MaxLease + leaseMargin,
		opts:    opts, past: map[life]bool{}, token: opts.FirstToken, runs: map[job.Run]*taskRun{},
		notify: make(chan struct{}, 1), wake: make(chan struct{}, 1), slots: make(chan struct{}, maxCalls),
		pacer: newPacer(),
	}
}

// Updates signals that TakeUpdate has something.
func (s *Supervisor) Updates() <-chan struct{} { return s.notify }

func (s *Supervisor) signal(c chan struct{}) {
	select {
	case c <- struct{}{}:
	default:
	}
}

// TakeUpdate returns what has changed since the last call or Snapshot.
func (s *Supervisor) TakeUpdate() (u Update, any bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.reborn && !s.known() {
		return Update{}, false
	}
	u, s.update = s.update, Update{}
	return u, !u.empty()
}

// known says that all runs that may be alive are.
func (s *Supervisor) known() bool { return s.ready || s.opts.Now() >= s.readyAt }

// Snapshot returns the whole state: the runner, all runs that may be alive and
// all ends that are not stored. Updates before it are dropped. ok is false while
// the runs are not known.
func (s *Supervisor) Snapshot() (u Update, ok bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if !s.known() {
		return Update{}, false
	}
	s.update = Update{}
	return s.whole(), true
}

// whole is the state as an update.
func (s *Supervisor) whole() Update {
	u := Update{RunnerChanged: true, Runner: s.runner, Ends: append([]job.End(nil), s.ends...)}
	for _, r := range s.runs {
		u.Active = append(u.Active, r.activity)
	}
	return u
}

// GrantLease lets the lease last until a time on Now's clock.
func (s *Supervisor) GrantLease(until time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.followed = s.opts.Now()
	first := s.permitted <= s.followed
	s.permitted = max(s.permitted, until)
	if first {
		s.signal(s.wake)
	}
}

// EndsStored says that the ledger has the ends of a life of the runner up to
// sequence.
func (s *Supervisor) EndsStored(id string, born, sequence int64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.runner == nil || s.runner.ID != id || s.runner.StartTime != born || sequence <= s.storedEnd {
		return
	}
	s.storedEnd = sequence
	kept := s.ends[:0]
	for _, e := range s.ends {
		if e.Sequence > sequence {
			kept = append(kept, e)
		}
	}
	s.ends = kept
	s.signal(s.wake)
}

// SetDetails tells what the supervisor cannot know of runs that it did not start.
func (s *Supervisor) SetDetails(all []RunDetails) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, d := range all {
		if r := s.runs[d.Run]; r != nil {
			r.details = d
		}
	}
}

// RunnerReported takes a report of the runner. Reports of earlier lives and
// overtaken ones are ignored.
func (s *Supervisor) RunnerReported(r job.Runner) {
	s.mu.Lock()
	defer s.mu.Unlock()
	cur := s.runner
	switch {
	case s.past[life{r.ID, r.StartTime}]:
		return
	case cur != nil && cur.SameIncarnation(&r):
		if r.Sequence <= cur.Sequence {
			return
		}
		changed := cur.Draining != r.Draining || r.Draining || cur.Capacity != r.Capacity
		s.runner = &r
		if changed {
			s.runnerChanged()
		}
		return
	case cur != nil && r.StartTime != 0 && r.StartTime < cur.StartTime:
		return
	}
	s.newLife(&r)
}

// RunnerLeft says that a life of the runner ends.
func (s *Supervisor) RunnerLeft(id string, born int64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.runner == nil || s.runner.ID != id || born != 0 && born != s.runner.StartTime {
		return
	}
	left := *s.runner
	left.Draining, left.Remaining = true, 0
	s.runner = &left
	s.runnerChanged()
}

// newLife takes a life of the runner that is new here.
func (s *Supervisor) newLife(r *job.Runner) {
	reborn := s.runner != nil && s.runner.ID == r.ID
	if s.runner != nil {
		s.past[life{s.runner.ID, s.runner.StartTime}] = true
		s.token++
		s.opts.Logger.WithFields(log.Fields{
			"runner": s.runner.ID, "new_runner": r.ID, "born": r.StartTime, "runs": len(s.runs),
		}).Warn("runner has been replaced by a new life")
	} else {
		s.opts.Logger.WithFields(log.Fields{"runner": r.ID, "born": r.StartTime}).Info("runner found")
	}
	if s.cancelHold != nil {
		s.cancelHold()
	}
	s.runner = r
	s.ends, s.lastEnd, s.storedEnd = nil, 0, 0
	s.acknowledgedEnd, s.answeredAt = 0, 0
	s.leaseEnd, s.clock, s.clockAt, s.failures = 0, 0, 0, 0
	s.update.Active, s.update.Ends = nil, nil
	if reborn {
		s.doubtRuns()
	} else {
		s.runsLost()
	}
	s.runnerChanged()
	s.signal(s.wake)
}

// runsLost gives up all runs with the life that they were for. The leader may not know yet
// that some of them were ordered.
func (s *Supervisor) runsLost() {
	for run := range s.runs {
		s.gone(run, runner.RefusedLate)
	}
}

// doubtRuns keeps the runs of a life whose id the runner has kept. A start that was sent
// before this process knew of the new life may have reached it: its first list settles
// which of them are alive, and the leader is told with it.
func (s *Supervisor) doubtRuns() {
	now := s.opts.Now()
	s.reborn, s.ready = true, false
	s.readyAt = now + rebornLeases*s.opts.MaxLease
	s.leaseEnd = s.readyAt
	for _, r := range s.runs {
		r.resolved, r.resolvedAt, r.reason = r.phase != ordered, now, runner.RefusedIncarnationEnded
	}
}

func (s *Supervisor) runnerChanged() {
	s.update.RunnerChanged, s.update.Runner = true, s.runner
	s.signal(s.notify)
}

// fence returns the life that calls are for, false if there is none.
func (s *Supervisor) fence() (runner.Fence, bool) {
	if s.runner == nil {
		return runner.Fence{}, false
	}
	return runner.Fence{RunnerID: s.runner.ID, Token: s.token}, true
}

// tokenStep raises a fencing token above that of an earlier process whose clock
// was ahead: an hour in milliseconds.
const tokenStep = 3_600_000

// raiseToken answers a refusal for a higher token. No other process calls this
// runner, so the higher one is that of an earlier process on this machine.
func (s *Supervisor) raiseToken() {
	s.token += tokenStep
	s.opts.Logger.WithField("token", s.token).Warn("runner knows a higher fencing token")
}

// gone says that a run is not alive and never will be.
func (s *Supervisor) gone(run job.Run, reason runner.Refusal) {
	if s.runs[run] == nil {
		return
	}
	delete(s.runs, run)
	s.update.Refusals = append(s.update.Refusals, Refusal{Run: run, Reason: reason})
	s.opts.Logger.WithFields(log.Fields{
		"task": run.Task.String(), "run": run.Number, "reason": string(reason),
	}).Info("run is not there")
	s.signal(s.notify)
}

// Run calls the runner until ctx ends.
func (s *Supervisor) Run(ctx context.Context) error {
	defer s.waiters.Wait()
	s.holdLoop(ctx)
	return ctx.Err()
}
