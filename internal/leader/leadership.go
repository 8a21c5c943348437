package leader

import (
	"context"
	"errors"
	"fmt"
	"sync"
	"time"

	"github.com/apex/log"
	"golang.org/x/sync/errgroup"

	"bamboowood/internal/contain"
	"bamboowood/internal/job"
	"bamboowood/internal/ledger"
	"bamboowood/internal/planner"
)

const (
	// planInterval is the time between two plans if there is no event.
	planInterval = 50 * time.Millisecond
	// commitInterval is how long ends of runs are collected into one transaction. The
	// end of a job is stored without this delay.
	commitInterval = 40 * time.Millisecond
	// gcInterval is how often jobs whose retention has expired are deleted.
	gcInterval = 5 * time.Second
	// suspendThreshold is the time between two plans from which on the process is
	// assumed to have been suspended, so that another entry may lead.
	suspendThreshold = 700 * time.Millisecond
	// resignTimeout bounds the resignation when leading ends.
	resignTimeout = 800 * time.Millisecond
)

// leadership is a term that this process leads.
type leadership struct {
	leader *Leader
	opts   Options
	term   *ledger.HeldTerm
	ctx    context.Context

	mu      sync.Mutex
	planner *planner.Planner
	conns   map[string]*agentConn
	// recovered is set once the planner has the ledger's jobs. Until then no runs are
	// reported to it, because it would stop those whose jobs it does not have.
	recovered bool
	// recoveredAt is when the planner was recovered. The first plan counts the time since then.
	recoveredAt time.Duration
	// earlyCancels holds the ids of cancelled jobs that have not been received yet.
	earlyCancels map[string]bool
	// unmatchedCancels holds the stored cancels of jobs that the planner does not have.
	unmatchedCancels map[string]ledger.Cancel
	// reservedRoom holds the memory of jobs that entries are about to accept, by id.
	reservedRoom map[string]reservation
	budget       budget
	// ownAdviceCalls counts the calls of the advice service that this process makes.
	ownAdviceCalls int
	// planPanics counts consecutive plans that panicked while no job was handled.
	planPanics int
	// overTargetLoggedAt is when tasks over their target were last logged.
	overTargetLoggedAt time.Duration
	// began is when this process had begun the term, or later.
	began time.Duration
	held  heldInputs
	// settingsAt is when the operator settings that the planner has were the latest; settingsKnown is false
	// before they have been read.
	settingsAt    time.Duration
	settingsKnown bool
	// cancelsAt is when the cancels that the planner has were the latest.
	cancelsAt time.Duration
	// grants bounds until when leaders of earlier terms extend leases.
	grants grantsBound
	// previous is the clock of the process that led the previous term.
	previous leaderClock
	// renewedAt is when the last successful term renewal was sent.
	renewedAt time.Duration

	// deadAgents, jobsToDelete, jobsToCompact and endsToDelete are used only by the commit loop.
	// deadAgents holds the agents whose registrations have been or are to be removed.
	deadAgents                  map[string]bool
	jobsToDelete, jobsToCompact []string
	endsToDelete                []job.End

	// Each of these channels wakes one loop and has a capacity of 1.
	wakePlan   chan struct{}
	wakeCommit chan struct{}
	wakeRenew  chan struct{}
	group      *errgroup.Group
}

// lead leads a term until it ends. sent is when the call that began the term was sent. The
// term is renewed and agents get leases while the ledger is still being read. grants is known if
// the end of the previous term is, and previous if its last renewal is.
func (l *Leader) lead(
	ctx context.Context, term *ledger.HeldTerm, sent time.Duration, grants grantsBound, previous leaderClock,
) error {
	opts, began := l.opts, l.opts.Now()
	term.Clock, term.EarlierGrantsUntil = opts.Now, grants.end(began)
	opts.Planner.Term = term.Term.Number
	opts.Logger = l.opts.Logger.WithField("term", term.Term.Number)
	group, groupCtx := errgroup.WithContext(ctx)
	r := &leadership{
		leader: l, opts: opts, term: term, ctx: groupCtx, planner: planner.New(opts.Planner), conns: map[string]*agentConn{},
		began: began, held: newHeldInputs(), grants: grants, previous: previous, renewedAt: sent, earlyCancels: map[string]bool{},
		unmatchedCancels: map[string]ledger.Cancel{}, reservedRoom: map[string]reservation{},
		deadAgents: map[string]bool{}, budget: newBudget(opts.LinkRate),
		wakePlan: make(chan struct{}, 1), wakeCommit: make(chan struct{}, 1), wakeRenew: make(chan struct{}, 1),
		group: group,
	}
	if !term.Renewed {
		// No starts and no leases before the first renewal.
		r.renewedAt = sent - grantValidity
		signal(r.wakeRenew)
	}
	termsLedTotal.Inc()
	defer resetHeld()
	defer l.leadership.Store(nil)
	defer jobsSetAside.Set(0)
	defer unmatchedCancels.Set(0)
	r.run("renewals", r.renewLoop)
	r.run("load", r.recoverState)
	err := group.Wait()
	opts.Logger.WithError(err).Info("leadership ended")
	if errors.Is(err, ledger.ErrDeposed) {
		return nil
	}
	// No lease is extended any more: the sessions have ended.
	earlier := r.grants.left(l.opts.Now(), r.began).Milliseconds()
	term.Term.EarlierGrantsMillis = &earlier
	l.resign(term, opts.Logger)
	return err
}

// run starts a loop in a goroutine. A panic in it ends the term, not the process.
func (r *leadership) run(what string, loop func() error) {
	r.group.Go(func() error { return contain.Do(r.opts.Logger, what, loop) })
}

func (l *Leader) resign(term *ledger.HeldTerm, logger log.Interface) {
	ctx, cancel := context.WithTimeout(context.Background(), resignTimeout)
	defer cancel()
	if err := term.Resign(ctx); err != nil {
		logger.WithError(err).Warn("term resignation failed")
	}
}

func (r *leadership) instant() planner.Instant {
	return planner.Instant{Mono: r.opts.Now(), Wall: time.Now()}
}

func signal(c chan struct{}) {
	select {
	case c <- struct{}{}:
	default:
	}
}

// signalChange wakes the plan and commit loops after an event. It is called with the lock
// held.
func (r *leadership) signalChange() {
	signal(r.wakePlan)
	signal(r.wakeCommit)
}

func (r *leadership) renewLoop() error {
	ticker := time.NewTicker(renewInterval)
	defer ticker.Stop()
	for {
		select {
		case <-r.ctx.Done():
			return r.ctx.Err()
		case <-r.wakeRenew:
		case <-ticker.C:
		}
		sent := r.opts.Now()
		ctx, cancel := context.WithTimeout(r.ctx, renewTimeout)
		err := r.term.Renew(ctx)
		cancel()
		switch {
		case errors.Is(err, ledger.ErrDeposed):
			return err
		case err != nil:
			renewFailures.Inc()
			r.opts.Logger.WithError(err).Warn("term renewal failed")
		default:
			r.mu.Lock()
			r.renewedAt = max(r.renewedAt, sent)
			r.mu.Unlock()
		}
	}
}

// Status returns the state of a job. found is false if the planner does not have the job.
// leading is false if this process does not lead or is still recovering the ledger.
func (l *Leader) Status(id string) (state job.State, found, leading bool) {
	r := l.leadership.Load()
	if r == nil {
		return "", false, false
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	state, found = r.planner.Status(id)
	return state, found, true
}

// WaitingJobs returns the number of a queue's jobs of which no task has started. leading
// is false if this process does not lead or is still recovering the ledger.
func (l *Leader) WaitingJobs(queue string) (n int, leading bool) {
	r := l.leadership.Load()
	if r == nil {
		return 0, false
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.planner.WaitingJobs(queue), true
}

// MaxCapacity returns, for each resource, the largest capacity of any runner of a service.
// known is false until all agents have reported and one of them has such a runner. leading
// is false if this process does not lead or is still recovering the ledger.
func (l *Leader) MaxCapacity(service string) (largest job.Resources, known, leading bool) {
	r := l.leadership.Load()
	if r == nil {
		return job.Resources{}, false, false
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	largest, known = r.planner.MaxCapacity(service)
	return largest, known, true
}

// jobAccepted passes a stored job to the planner. It reports whether this process leads. A job for
// which there is no memory is left to the store's feed, since the notification may come from a peer
// that has stored nothing.
func (l *Leader) jobAccepted(j *job.Job) bool {
	r := l.leadership.Load()
	if r != nil {
		if room, known := r.jobRoom(j.ID, 0); known && room < j.PlannerBytes() {
			countNotification("job-dropped")
			return true
		}
		r.applyContents(&ledger.Contents{Jobs: []*job.Job{j}})
	}
	return r != nil
}

// jobCancelled passes a stored cancel to the planner. It reports whether this process leads.
func (l *Leader) jobCancelled(id string) bool {
	r := l.leadership.Load()
	if r != nil && r.earlyCancelsFull(id) {
		countNotification("cancel-dropped")
		return true
	}
	if r != nil {
		r.applyContents(&ledger.Contents{Cancels: []ledger.Cancel{{Job: id}}})
	}
	return r != nil
}

var errLaterTerm = fmt.Errorf("agent follows a later term: %w", ledger.ErrDeposed)
