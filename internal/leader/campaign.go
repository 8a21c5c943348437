// Package leader runs the planner of the one entry that leads: it reads the
// ledger, keeps sessions to all agents, passes events to the planner and its
// orders to the agents, and stores what has ended.
package leader

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"sync/atomic"
	"time"

	"github.com/apex/log"

	"bamboowood/internal/job"
	"bamboowood/internal/ledger"
	"bamboowood/internal/planner"
	"bamboowood/internal/site"
	"bamboowood/internal/store"
)

// Leases between entries. An entry starts nothing later than startLease after it
// sent its last successful renewal, and no other entry leads before the renewal
// has stood still for takeoverAfter.
const (
	renewInterval = 400 * time.Millisecond
	startLease    = 1800 * time.Millisecond
	takeoverAfter = 2200 * time.Millisecond
	// renewTimeout bounds one renewal: on a bad day the store takes 60 times its
	// 7 ms.
	renewTimeout = time.Second
	// watchInterval is how often the other entries look at the renewal.
	watchInterval = 300 * time.Millisecond
	// grantLease is how long after its last renewal a leader extends the leases of
	// what runs, so that work outlives an outage of the store: this and the lease
	// together. A later leader waits as long for agents that it cannot reach.
	grantLease = 7 * time.Second
	// followWait is how long a feed waits for a change. A feed may go silent, so it
	// must not be much longer than what a change may take.
	followWait = time.Second
	// retryPause follows a failed call of the store.
	retryPause = 250 * time.Millisecond
)

// Options of a Leader.
type Options struct {
	Ledger *ledger.Ledger
	// CallersLedger is the same for writes on behalf of callers.
	CallersLedger *ledger.Ledger
	Logger        log.Interface
	// Address is where other processes reach this one; Process tells it from
	// earlier ones there.
	Address, Process string
	// Site returns the operators' will.
	Site func() *site.State
	// Now is a clock that counts suspended time.
	Now func() time.Duration
	// Advisor knows which runners may run a step; nil if there is none.
	Advisor Advisor
	// LeaseDuration is the lease that agents get.
	LeaseDuration time.Duration
	// LinkRate is what this machine's link carries, in bytes a second; 0 if not known.
	LinkRate int64
	Planner  planner.Options
}

// Advisor tells which of the runners may run the task's step: their tickets by runner,
// and how long these are valid.
type Advisor interface {
	Advise(ctx context.Context, t job.Task, runners []string) (tickets map[string]string, valid time.Duration, err error)
}

// Leader competes for the leadership.
type Leader struct {
	opts Options
	// led counts the terms that this process has led; only Run uses it.
	led int
	// term is the latest one that is known.
	term atomic.Pointer[ledger.Term]
	// leadership is set while this process leads and knows all jobs.
	leadership atomic.Pointer[leadership]
}

// New returns a leader; Run has to be called.
func New(opts Options) *Leader {
	l := &Leader{opts: opts}
	l.term.Store(&ledger.Term{})
	return l
}

// Address is where the entry that leads is reached; empty if that is not known.
func (l *Leader) Address() string { return l.term.Load().Leader }

// Leading says whether this process leads.
func (l *Leader) Leading() bool { return l.leadership.Load() != nil }

// Run competes and leads until ctx ends; then it resigns.
func (l *Leader) Run(ctx context.Context) error {
	for ctx.Err() == nil {
		if err := l.campaign(ctx); err != nil && ctx.Err() == nil {
			l.opts.Logger.WithError(err).Warn("campaign for the leadership failed")
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

// campaign follows the current term until it ends, and leads the next one if it
// can.
func (l *Leader) campaign(ctx context.Context) error {
	term, version, err := l.opts.Ledger.CurrentTerm(ctx)
	if err != nil {
		return err
	}
	l.observe(term)
	if !l.vacant(term) {
		vacant, err := l.watch(ctx, term, version)
		if err != nil || !vacant {
			return err
		}
	}
	sent := l.opts.Now()
	held, err := l.opts.Ledger.BeginTerm(ctx, term, l.opts.Address, fmt.Sprintf("%s/%d", l.opts.Process, l.led))
	if errors.Is(err, ledger.ErrDeposed) {
		return nil
	}
	if err != nil {
		return err
	}
	l.observe(held.Term)
	// A term that this process has led is not taken up again: its run numbers are used.
	l.led++
	return l.lead(ctx, held, sent)
}

func (l *Leader) observe(term ledger.Term) {
	if old := l.term.Swap(&term); old.Number != term.Number {
		l.opts.Logger.WithFields(log.Fields{"term": term.Number, "leader": term.Leader}).Info("term begins")
	}
}

// hear takes what an agent says of a later term, for a process that cannot reach the
// store.
func (l *Leader) hear(term ledger.Term) {
	if term.Number > l.term.Load().Number && term.Leader != "" {
		l.observe(term)
	}
}

// vacant says whether nobody leads for certain: there was no term, its leader
// has resigned, or was an earlier process at this address.
func (l *Leader) vacant(term ledger.Term) bool {
	return term.Number == 0 || term.Resigned || term.Leader == l.opts.Address
}

// termChanged waits until another term begins or this one is given up. Failed calls do
// not end it, since the watch would have to begin anew.
func (l *Leader) termChanged(ctx context.Context, term ledger.Term, version int64) error {
	for {
		found, next, err := l.opts.Ledger.FollowTerm(ctx, version, followWait)
		if errors.Is(err, store.ErrCompacted) {
			var current ledger.Term
			current, next, err = l.opts.Ledger.CurrentTerm(ctx)
			found = err == nil && (current.Number != term.Number || current.Resigned)
		}
		switch {
		case ctx.Err() != nil:
			return ctx.Err()
		case err != nil:
			l.opts.Logger.WithError(err).Warn("term cannot be followed")
			pause(ctx, retryPause+rand.N(retryPause))
		case found:
			return nil
		default:
			version = next
		}
	}
}

// watch returns true once the term is not renewed any more, and false when it
// has changed.
func (l *Leader) watch(ctx context.Context, term ledger.Term, version int64) (bool, error) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	changed := make(chan error, 1)
	go func() { changed <- l.termChanged(ctx, term, version) }()
	var seen int64
	var since time.Duration
	ticker := time.NewTicker(watchInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return false, ctx.Err()
		case err := <-changed:
			return false, err
		case <-ticker.C:
		}
		renewal, err := l.opts.Ledger.RenewalVersion(ctx)
		switch now := l.opts.Now(); {
		case err != nil:
			l.opts.Logger.WithError(err).Warn("renewal cannot be read")
		case renewal != seen:
			seen, since = renewal, now
		case now-since > takeoverAfter:
			l.opts.Logger.WithFields(log.Fields{
				"renewal": renewal, "age": (now - since).String(),
			}).Warn("leader does not renew its term")
			return true, nil
		}
	}
}
