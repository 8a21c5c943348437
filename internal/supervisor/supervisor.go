// Package supervisor starts, stops and throttles runs on an agent's runner as the
// leader orders. No other process calls that runner, so the supervisor has the complete
// set of runs that may be alive there: those that the runner lists and those whose start
// is unconfirmed.
package supervisor

import (
	"context"
	"math"
	"sync"
	"time"

	"github.com/apex/log"

	"bamboowood/internal/job"
	"bamboowood/internal/latency"
	"bamboowood/internal/runner"
)

// Options configures a Supervisor.
type Options struct {
	Runner runner.Runner
	Logger log.Interface
	// Now is a monotonic clock that includes the time in which the machine is suspended.
	Now func() time.Duration
	// SteadyNow is a monotonic clock that stands still while the machine is suspended, as the
	// runner's clock may.
	SteadyNow func() time.Duration
	// MaxLease is the longest lease that this process gives to the runner; RunnerMaxLease is the one to which the
	// runner shortens longer ones, 0 if that is MaxLease.
	MaxLease, RunnerMaxLease time.Duration
	// FirstToken is the initial fencing token. It must be higher than the tokens of
	// earlier processes on this machine.
	FirstToken int64
}

// Order is the leader's order to start a run.
type Order struct {
	Details    RunDetails
	Payload    string
	Checkpoint string
	Ticket     string
	// ValidUntil is when the order expires, on the clock Options.Now; 0 means never.
	ValidUntil time.Duration
	// Speed is the initial speed limit; unknown means full speed.
	Speed job.Speed
	// RunnerID and StartTime name the incarnation for which the start was planned. An empty id means any.
	RunnerID  string
	StartTime int64
}

// isFor reports whether the start may be carried out on an incarnation.
func (o *Order) isFor(r *job.Runner) bool {
	return o.RunnerID == "" || r != nil && r.ID == o.RunnerID && r.StartTime == o.StartTime
}

// RunDetails holds the properties of a run that throttling needs.
type RunDetails struct {
	Run           job.Run
	BestEffort    bool
	LatencyTarget time.Duration
	// CPU is the CPU in use at full speed, in thousandths of a core; 0 if unknown.
	CPU int64
}

// RefusedStart reports that a run is not alive on the runner and cannot start later.
type RefusedStart struct {
	Run    job.Run
	Reason runner.Refusal
}

// Update holds the changes since the previous update.
type Update struct {
	// RunnerChanged marks Runner as changed. A nil Runner then means that the agent has
	// no runner that answers. After another incarnation or a nil Runner, Active has all runs that
	// may be alive.
	RunnerChanged bool
	Runner        *job.Runner
	// Active also holds unconfirmed and stopping runs.
	Active   []job.Activity
	Ends     []job.End
	Refusals []RefusedStart
	// UnlistedFor is for how long runs may be alive that Active lacks: those of an earlier process of
	// this agent on a runner that has been replaced, or with an end that the runner has not listed yet. Only
	// snapshots have it. MoreEnds is set if the latter is the only reason.
	UnlistedFor time.Duration
	MoreEnds    bool
}

func (u *Update) empty() bool {
	return !u.RunnerChanged && len(u.Active) == 0 && len(u.Ends) == 0 && len(u.Refusals) == 0
}

type phase uint8

const (
	// starting: the start is unconfirmed.
	starting phase = iota
	running
	// stopping: a stop has been ordered or confirmed.
	stopping
)

type taskRun struct {
	details RunDetails
	// detailsKnown is not set for a run of an earlier process until the leader has sent its details.
	detailsKnown bool
	phase        phase
	activity     job.Activity
	// reconciling marks a run that is alive only if the next report lists it. Only the
	// report of a call sent after reconcilingSince counts. notListedReason is the reason that
	// the leader receives if the run is not listed.
	reconciling      bool
	reconcilingSince time.Duration
	notListedReason  runner.Refusal
	speed            speedControl
	// latency tracks a latency-critical run.
	latency latency.Watch
	// reportedAt is when the run's progress was last put into an update.
	reportedAt time.Duration
	// sent is set once a call to start the run may have reached the runner.
	sent bool
	// detachedUntil is set for a run of an incarnation that no longer answers: only the end of its
	// lease, at this time at the latest, proves that it is gone. 0 for all other runs.
	detachedUntil time.Duration
	// unlisted is set if the run is stopped because reports with malformed entries do not list it.
	unlisted bool
	// reportsNotListed counts the consecutive reports that do not list this confirmed run.
	reportsNotListed int
}

// Supervisor manages the runs of one agent's runner. It is safe for concurrent use.
type Supervisor struct {
	opts Options

	mu     sync.Mutex
	runner *job.Runner
	// left is set once the runner has announced its end. unreachable is set while its address refuses
	// connections or another incarnation answers there; the leader then learns of no runner, while
	// runs count as alive until their lease has expired.
	left, unreachable bool
	// endedIncarnations holds the earlier incarnations of the runner.
	endedIncarnations map[incarnation]bool
	// nextStartTime is that of the last answer of an unreported incarnation.
	nextStartTime int64
	// ignoredReport is the incarnation of the last report that was ignored.
	ignoredReport incarnation
	contradiction contradiction
	// adoptions counts the calls of setIncarnation.
	adoptions int
	token     int64
	runs      map[job.Run]*taskRun
	withdrawn withdrawnRuns
	// ends are the ends that the ledger has not stored yet. receivedEnd is the sequence
	// number of the last end received, storedEnd that of the last end stored.
	ends        []job.End
	receivedEnd int64
	storedEnd   int64
	// acknowledgedEnd is the last end acknowledged to the runner. answeredAt is when the
	// current incarnation last answered a lease renewal.
	acknowledgedEnd int64
	answeredAt      time.Duration
	// grantedUntil is the end of the lease that the leader has granted to this agent, on
	// Now's clock.
	grantedUntil time.Duration
	// runnerLeaseUntil is an upper bound, on Now's clock, of the end of the leases that this process or an
	// earlier one on this machine has given to the runner.
	runnerLeaseUntil time.Duration
	// ungrantedLeaseUntil is an upper bound of the end of the lease that calls for an earlier incarnation may have
	// given to a restarted runner; 0 if it is that of a lease of MaxLease.
	ungrantedLeaseUntil time.Duration
	// runnerClock is the reading of the runner's clock at runnerClockAt, which is
	// runnerClockSteadyAt on SteadyNow's clock.
	runnerClock         time.Duration
	runnerClockAt       time.Duration
	runnerClockSteadyAt time.Duration
	// listMalformed is set while the runner's reports have malformed entries.
	listMalformed bool
	// failures counts consecutive lease renewals without an answer.
	failures        int
	noListenerSince time.Duration

	// runsListed is set once the runner has listed its runs to this process. At
	// runsKnownAt, the leases of runs that this process may not have on record have expired.
	runsListed  bool
	runsKnownAt time.Duration
	pages       endPages
	// earlierLeaseUntil is when the leases that an earlier process of this agent gave have expired.
	earlierLeaseUntil time.Duration
	// bootRegistered is set once the ledger has that this process runs in the current boot of the VM.
	// Until bootAwaitedUntil a snapshot waits for that. From noRunnerKnownAt on, no run can be alive that this
	// process has not started, unless there is a runner.
	bootRegistered   bool
	noRunnerKnownAt  time.Duration
	bootAwaitedUntil time.Duration
	// restarted is set while the runner has restarted under the same id and has not listed
	// its runs yet. Starts meant for the previous incarnation may have reached the new one.
	restarted bool
	// cancelRenewal cancels the lease renewal in progress.
	cancelRenewal context.CancelFunc

	// paused is set while a latency-critical run has been over its target for too long. Best-effort runs
	// have speed 0 then.
	paused             bool
	standaloneCap      standaloneCap
	latenciesAppliedAt time.Duration
	// lastGrantAt is when the leader last granted a lease.
	lastGrantAt time.Duration
	update      Update
	notify      chan struct{}
	renewNow    chan struct{}
	callSlots   chan struct{}
	// calls are the calls in progress. None is added once ended is set.
	calls sync.WaitGroup
	ended bool
	// throttling is the context of throttle calls. It ends with the context of Run.
	throttling    context.Context
	endThrottling context.CancelFunc
}

// bootRegistrationWait is how long a snapshot waits for the registration of the boot; the ledger
// answers within milliseconds unless it is away.
const bootRegistrationWait = time.Second

// maxCalls bounds the concurrent start, stop and throttle calls to the runner.
const maxCalls = 10

// New returns a Supervisor. It calls the runner only while Run runs.
func New(opts Options) *Supervisor {
	now := opts.Now()
	opts.RunnerMaxLease = max(opts.RunnerMaxLease, opts.MaxLease)
	earlierLeaseUntil := now + opts.MaxLease + leaseMargin
	throttling, endThrottling := context.WithCancel(context.Background())
	return &Supervisor{
		throttling: throttling, endThrottling: endThrottling, bootAwaitedUntil: now + bootRegistrationWait,
		noRunnerKnownAt: math.MaxInt64,
		runsKnownAt:     earlierLeaseUntil, earlierLeaseUntil: earlierLeaseUntil, runnerLeaseUntil: earlierLeaseUntil,
		opts: opts, endedIncarnations: map[incarnation]bool{}, token: opts.FirstToken, runs: map[job.Run]*taskRun{},
		notify: make(chan struct{}, 1), renewNow: make(chan struct{}, 1), callSlots: make(chan struct{}, maxCalls),
		standaloneCap: newStandaloneCap(), withdrawn: newWithdrawnRuns(),
	}
}

// Updates returns a channel that receives a signal when TakeUpdate has an update.
func (s *Supervisor) Updates() <-chan struct{} { return s.notify }

func (s *Supervisor) signal(c chan struct{}) {
	select {
	case c <- struct{}{}:
	default:
	}
}

// TakeUpdate returns the changes since the last call of TakeUpdate or Snapshot. ok is false
// if there are none. While the runs on a restarted runner are unknown and it counts as answering, an
// update holds refusals only.
func (s *Supervisor) TakeUpdate() (u Update, ok bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.restarted && !s.unreachable && !s.runsKnown() {
		u.Refusals, s.update.Refusals = s.update.Refusals, nil
	} else {
		u, s.update = s.update, Update{}
	}
	return u, !u.empty()
}

// GrantLease allows the lease of all runs to be extended until a time on the clock
// Options.Now. An earlier, longer grant stays in force.
func (s *Supervisor) GrantLease(until time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.lastGrantAt = s.opts.Now()
	first := s.grantedUntil <= s.lastGrantAt
	s.grantedUntil = max(s.grantedUntil, until)
	if first {
		s.signal(s.renewNow)
	}
}

// EndsStored marks the ends of an incarnation of the runner up to sequence as stored in
// the ledger, so that they can be acknowledged to the runner.
func (s *Supervisor) EndsStored(id string, startTime, sequence int64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.runner == nil || s.runner.ID != id || s.runner.StartTime != startTime || sequence <= s.storedEnd {
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
	s.signal(s.renewNow)
}

// SetDetails sets the details of runs. The runner does not report them, so runs that an
// earlier process started have none until then.
func (s *Supervisor) SetDetails(all []RunDetails) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, d := range all {
		if r := s.runs[d.Run]; r != nil {
			r.details, r.detailsKnown = d, true
		}
	}
}

func (s *Supervisor) runnerChanged() {
	if s.unreachable {
		// The leader takes the runs of an update without a runner for all that may be alive.
		s.reportFullState()
		return
	}
	s.update.RunnerChanged, s.update.Runner = true, s.runner
	s.signal(s.notify)
}

// reachableRunner returns the current incarnation; nil if there is none or it does not answer.
func (s *Supervisor) reachableRunner() *job.Runner {
	if s.unreachable {
		return nil
	}
	return s.runner
}

// setUnreachable changes whether the current incarnation answers, and reports the change with the
// full state.
func (s *Supervisor) setUnreachable(unreachable bool) {
	if s.unreachable == unreachable {
		return
	}
	s.unreachable = unreachable
	entry := s.opts.Logger.WithFields(log.Fields{
		"runner": s.runner.ID, "born": s.runner.StartTime, "runs": len(s.runs), "lease_left_ms": s.leaseLeft().Milliseconds(),
	})
	switch {
	case s.leasedBeyondGrant():
		entry.Warn("runner is not used while it may have a lease beyond the leader's grant")
	case unreachable:
		entry.Warn("runner does not answer; its runs are kept until their lease ends")
	default:
		entry.Info("runner answers again")
	}
	s.reportFullState()
}

// reportFullState makes the next update hold the full state beside the pending refusals.
func (s *Supervisor) reportFullState() {
	refused := s.update.Refusals
	s.update = s.fullState()
	s.update.Refusals = refused
	s.signal(s.notify)
}

// fence returns the fence for calls to the current runner; false if there is no runner.
func (s *Supervisor) fence() (runner.Fence, bool) {
	if s.runner == nil {
		return runner.Fence{}, false
	}
	return runner.Fence{RunnerID: s.runner.ID, StartTime: s.runner.StartTime, Token: s.token}, true
}

// tokenStep is added to a fencing token to exceed that of an earlier process whose clock
// was ahead: one hour in milliseconds.
const tokenStep = 3_600_000

// raiseToken raises the fencing token after the runner has refused a call for having seen a
// higher one. No other process calls this runner, so the higher token is that of an earlier
// process on this machine.
func (s *Supervisor) raiseToken() {
	s.token += tokenStep
	s.opts.Logger.WithField("token", s.token).Warn("fencing token lower than runner's; raised")
}

// call runs a call to the runner in the background. It returns false, and runs nothing, once Run is ending.
// The caller holds the lock, so that no call is added after Run has begun to wait for those in progress.
func (s *Supervisor) call(do func()) bool {
	if s.ended {
		return false
	}
	s.calls.Go(do)
	return true
}

func (s *Supervisor) end() {
	s.mu.Lock()
	s.ended = true
	s.mu.Unlock()
	s.calls.Wait()
}

// Run renews the lease until ctx is done, waits for calls in progress and returns ctx.Err(). Orders that arrive
// later are not carried out.
func (s *Supervisor) Run(ctx context.Context) error {
	defer s.end()
	stop := context.AfterFunc(ctx, s.endThrottling)
	defer stop()
	s.renewLoop(ctx)
	return ctx.Err()
}
