// Package leader elects the leading entry and runs its planner: it reads the ledger,
// keeps sessions to all agents, passes events to the planner and the planner's orders
// to the agents, and stores progress.
package leader

import (
	"cmp"
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"strings"
	"sync/atomic"
	"time"

	"github.com/apex/log"

	"bamboowood/internal/ingress"
	"bamboowood/internal/job"
	"bamboowood/internal/ledger"
	"bamboowood/internal/planner"
	"bamboowood/internal/site"
)

// Leases of the leadership. A leader orders no start once startValidity has passed since it
// sent its last successful renewal. Another entry takes over only after it has seen the same
// renewal for takeoverAfter.
const (
	renewInterval = 400 * time.Millisecond
	startValidity = 1800 * time.Millisecond
	takeoverAfter = 2200 * time.Millisecond
	// renewTimeout bounds one renewal. The store usually takes 7 ms, and up to 60
	// times as long when it is slow.
	renewTimeout = time.Second
	// watchInterval is how often the other entries read the renewal.
	watchInterval = 300 * time.Millisecond
	// grantValidity is how long after its last renewal a leader extends the leases of
	// agents. Runs survive an outage of the store for grantValidity plus the lease. A
	// later leader waits for the same time for agents that it cannot reach.
	grantValidity = 7 * time.Second
	// followWait is how long a call of a feed waits for a change. A feed may stop
	// delivering changes without an error, so the wait must not be much longer than
	// the delay that a change may have.
	followWait = time.Second
	// followCancelsWait is the same for cancels. After one call without an answer, the cancels must still be
	// recent enough for starts.
	followCancelsWait = 500 * time.Millisecond
	// retryPause is the pause after a failed call of the store.
	retryPause = 250 * time.Millisecond
)

// Options configure a Leader.
type Options struct {
	Ledger *ledger.Ledger
	// CallersLedger is the same ledger, used for writes on behalf of callers.
	CallersLedger *ledger.Ledger
	Logger        log.Interface
	// Address is where other processes reach this one. Process is unique to this
	// process and distinguishes it from earlier ones at the same address.
	Address, Process string
	// Site returns the operators' current settings.
	Site func() *site.State
	// SettingsAge returns an upper bound of the time since they were the store's latest; known is false before
	// they have been read. If it is nil, they count as read.
	SettingsAge func() (age time.Duration, known bool)
	// EvacuationDeadline is the time after the confirmation of an evacuation from which on nothing may start in
	// the zone; 0 means 5 s. No plan is based on older settings.
	EvacuationDeadline time.Duration
	// CancelDeadline is the time after the confirmation of a cancel from which on no task of the job may start; 0
	// means 3 s. No plan is based on older cancels.
	CancelDeadline time.Duration
	// Snapshot returns the settings for another entry that has those of version after.
	Snapshot func(after int64) (snapshot site.Snapshot, known bool)
	// Now is a monotonic clock that includes the time in which the machine was
	// suspended.
	Now func() time.Duration
	// Advisor is the advice service; nil if none is configured.
	Advisor Advisor
	// LeaseDuration is the duration of the leases granted to agents.
	LeaseDuration time.Duration
	// LinkRate is the rate of this machine's link in bytes per second; 0 if unknown.
	LinkRate int64
	// JobMemory bounds the memory of the planner's jobs in bytes; 0 means no bound.
	JobMemory int64
	// Peers holds the messages that other entries send; nil means no bound. Report counts those
	// that are refused.
	Peers   *ingress.Pool
	Report  *ingress.Report
	Planner planner.Options
}

// Advisor is a client of the advice service, which decides which of the runners may run the
// task's step.
type Advisor interface {
	Advise(ctx context.Context, t job.Task, runners []string) (job.AdviceAnswer, error)
}

// Leader takes part in the leader election and runs the planner while it leads. It is safe
// for concurrent use.
type Leader struct {
	opts Options
	// termsLed counts the terms that this process has led. Only Run uses it.
	termsLed int
	// term is the latest term observed.
	term atomic.Pointer[ledger.Term]
	// leadership is set while this process leads and has recovered all jobs.
	leadership atomic.Pointer[leadership]
	// runBegan is when Run was called first, after this process had bound its address. Only Run uses it.
	runBegan time.Duration
}

// New returns a Leader, which does nothing until Run is called.
func New(opts Options) *Leader {
	opts.EvacuationDeadline = cmp.Or(opts.EvacuationDeadline, defaultEvacuationDeadline)
	opts.CancelDeadline = cmp.Or(opts.CancelDeadline, defaultCancelDeadline)
	l := &Leader{opts: opts}
	l.term.Store(&ledger.Term{})
	return l
}

// Address returns the address of the leading entry, or "" if it is unknown.
func (l *Leader) Address() string { return l.term.Load().Leader }

// Leading reports whether this process leads and has recovered all jobs.
func (l *Leader) Leading() bool { return l.leadership.Load() != nil }

// Run campaigns for the leadership and leads until ctx is done, and then resigns.
func (l *Leader) Run(ctx context.Context) error {
	if l.runBegan == 0 {
		l.runBegan = l.opts.Now()
	}
	for ctx.Err() == nil {
		if err := l.campaign(ctx); err != nil && ctx.Err() == nil {
			l.opts.Logger.WithError(err).Warn("leader election or term failed")
			pause(ctx, retryPause+rand.N(retryPause))
		}
	}
	return ctx.Err()
}

func pause(ctx context.Context, d time.Duration) {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-timer.C:
	}
}

// campaign waits for the current term to end and leads the next one until it ends, unless
// another entry begins the next term first. Errors are those of the election and of the term.
func (l *Leader) campaign(ctx context.Context) error {
	term, version, err := l.opts.Ledger.CurrentTerm(ctx)
	if err != nil {
		return err
	}
	readAt := l.opts.Now()
	seen := l.term.Load().Number
	if term.Unreadable {
		unreadableTerms.Inc()
		l.opts.Logger.Warn("term row is unreadable; waiting until its leader has stopped renewing")
	} else {
		l.observe(term)
	}
	renewal, grants, previous := ledger.NoLeader, boundOfResigned(term, readAt), leaderClock{}
	switch {
	case !l.leaderless(term):
		last, since, expired, err := l.watch(ctx, term, version)
		if err != nil || !expired {
			return err
		}
		renewal, grants, previous = last.Version, boundOfUnrenewed(term, since), clockOf(last, since)
	case term.Number != 0:
		last := l.lastRenewal(ctx)
		previous = clockOf(last, l.opts.Now())
		if l.ledByEarlierProcess(term) {
			grants = boundOfEnded(term, last, l.runBegan)
		}
	}
	process := fmt.Sprintf("%s/%d", l.opts.Process, l.termsLed)
	if term.Process != process {
		// Agents refuse a term that is not later than all that they have seen. The row lacks one of
		// these if another writer has replaced it.
		term.Number = max(term.Number, seen)
	}
	sent := l.opts.Now()
	held, err := l.opts.Ledger.BeginTerm(ctx, term, renewal, l.opts.Address, process)
	if errors.Is(err, ledger.ErrDeposed) || errors.Is(err, ledger.ErrRenewed) {
		return nil
	}
	if err != nil {
		return err
	}
	l.observe(held.Term)
	// A term that this process has led is not resumed, because its run numbers are used:
	// the counter gives the next term another process name.
	l.termsLed++
	return l.lead(ctx, held, sent, grants, previous)
}

func (l *Leader) observe(term ledger.Term) {
	if old := l.term.Swap(&term); old.Number != term.Number {
		l.opts.Logger.WithFields(log.Fields{"term": term.Number, "leader": term.Leader}).Info("term begins")
	}
}

// observeLater records a later term reported by an agent. It lets a process that cannot
// reach the store find the leader.
func (l *Leader) observeLater(term ledger.Term) {
	if term.Number > l.term.Load().Number && term.Leader != "" {
		l.observe(term)
	}
}

// leaderless reports whether certainly no process leads: there has been no term, its
// leader has resigned, or its leader was an earlier process at this address.
func (l *Leader) leaderless(term ledger.Term) bool {
	return !term.Unreadable && (term.Number == 0 || term.Resigned || term.Leader == l.opts.Address)
}

// ledByEarlierProcess reports whether a term's leader was an earlier process at this address, which has ended.
func (l *Leader) ledByEarlierProcess(term ledger.Term) bool {
	return !term.Unreadable && !term.Resigned && term.Number != 0 && term.Leader == l.opts.Address &&
		!strings.HasPrefix(term.Process, l.opts.Process+"/")
}

// lastRenewal returns the last renewal of a term that has no leader; the zero value if the store does not answer.
func (l *Leader) lastRenewal(ctx context.Context) ledger.Renewal {
	renewal, err := l.opts.Ledger.Renewal(ctx)
	if err != nil {
		l.opts.Logger.WithError(err).Warn("renewal read failed")
	}
	return renewal
}

// awaitTermChange waits until another term begins or the leader resigns this one. It
// retries failed calls: an error would make watch start over.
func (l *Leader) awaitTermChange(ctx context.Context, term ledger.Term, version int64) error {
	for {
		found, next, err := l.opts.Ledger.FollowTerm(ctx, version, followWait)
		if feedInterrupted(err) {
			var current ledger.Term
			current, next, err = l.opts.Ledger.CurrentTerm(ctx)
			found = err == nil && (current.Number != term.Number || current.Resigned)
		}
		switch {
		case ctx.Err() != nil:
			return ctx.Err()
		case err != nil:
			l.opts.Logger.WithError(err).Warn("term feed failed")
			pause(ctx, retryPause+rand.N(retryPause))
		case found:
			return nil
		default:
			version = next
		}
	}
}

// watch returns true once the version of the term's renewal has been unchanged for
// takeoverAfter, and false when the term has changed. The leader may renew the term until the
// next one begins, so the call that begins it must expect the returned renewal's version. It has
// been the last renewal since a time at the latest.
func (l *Leader) watch(
	ctx context.Context, term ledger.Term, version int64,
) (renewal ledger.Renewal, since time.Duration, expired bool, err error) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	changed := make(chan error, 1)
	go func() { changed <- l.awaitTermChange(ctx, term, version) }()
	lastRenewal := ledger.NoLeader
	var unchangedSince time.Duration
	ticker := time.NewTicker(watchInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return ledger.Renewal{}, 0, false, ctx.Err()
		case err := <-changed:
			return ledger.Renewal{}, 0, false, err
		case <-ticker.C:
		}
		renewal, err = l.opts.Ledger.Renewal(ctx)
		switch now := l.opts.Now(); {
		case err != nil:
			l.opts.Logger.WithError(err).Warn("renewal read failed")
		case renewal.Version != lastRenewal:
			lastRenewal, unchangedSince = renewal.Version, now
		case now-unchangedSince > takeoverAfter:
			l.opts.Logger.WithFields(log.Fields{
				"renewal": renewal.Version, "age": (now - unchangedSince).String(),
			}).Warn("leader stopped renewing its term")
			return renewal, unchangedSince, true, nil
		}
	}
}
