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
	// planInterval bounds the time between two plans without an event.
	planInterval = 50 * time.Millisecond
	// commitInterval gathers ends into one transaction; the end of a job does not
	// wait.
	commitInterval = 40 * time.Millisecond
	// tidyInterval is how often jobs that ended long ago are removed.
	tidyInterval = 5 * time.Second
	// wakeGap between two plans means that the process was suspended; another
	// entry may lead by now.
	wakeGap = 700 * time.Millisecond
	// resignTimeout bounds giving up the term when the process stops.
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
	links   map[string]*link
	// restored says that the planner has the ledger's jobs. Until then it must not learn
	// of runs, since it would stop those whose jobs it does not know.
	restored bool
	// early has the cancels of jobs that the planner does not know yet.
	early  map[string]bool
	budget budget
	// planPanics counts plans on end that panicked, for no job's sake.
	planPanics int
	// renewed is when the last successful renewal was sent.
	renewed time.Duration

	// away has the agents whose registrations are to be removed or have been; ended has
	// the jobs to be removed, large those whose rows are to be shrunk. Only the commit loop
	// uses them.
	away         map[string]bool
	ended, large []string

	plan   chan struct{}
	commit chan struct{}
	renew  chan struct{}
	group  *errgroup.Group
}

// lead leads a term that was begun by a call sent at a time. The term is renewed, and
// agents get their leases, while the ledger is still being read.
func (l *Leader) lead(ctx context.Context, term *ledger.HeldTerm, sent time.Duration) error {
	opts := l.opts
	opts.Planner.Term = term.Term.Number
	opts.Logger = l.opts.Logger.WithField("term", term.Term.Number)
	group, groupCtx := errgroup.WithContext(ctx)
	r := &leadership{
		leader: l, opts: opts, term: term, ctx: groupCtx, planner: planner.New(opts.Planner), links: map[string]*link{},
		renewed: sent, early: map[string]bool{}, away: map[string]bool{}, budget: newBudget(opts.LinkRate),
		plan: make(chan struct{}, 1), commit: make(chan struct{}, 1), renew: make(chan struct{}, 1),
		group: group,
	}
	if !term.Renewed {
		// Neither starts nor leases before the first renewal.
		r.renewed = sent - grantLease
		kick(r.renew)
	}
	takeovers.Inc()
	defer l.leadership.Store(nil)
	r.run("renewals", r.renewLoop)
	r.run("load", r.begin)
	err := group.Wait()
	opts.Logger.WithError(err).Info("leading no more")
	if errors.Is(err, ledger.ErrDeposed) {
		return nil
	}
	l.resign(term, opts.Logger)
	return err
}

// run runs a loop of the leadership. A panic in it ends the term, not the process.
func (r *leadership) run(what string, loop func() error) {
	r.group.Go(func() error { return contain.Do(r.opts.Logger, what, loop) })
}

func (l *Leader) resign(term *ledger.HeldTerm, logger log.Interface) {
	ctx, cancel := context.WithTimeout(context.Background(), resignTimeout)
	defer cancel()
	if err := term.Resign(ctx); err != nil {
		logger.WithError(err).Warn("term not given up")
	}
}

func (r *leadership) instant() planner.Instant {
	return planner.Instant{Mono: r.opts.Now(), Wall: time.Now()}
}

func kick(c chan struct{}) {
	select {
	case c <- struct{}{}:
	default:
	}
}

// changed makes the loops look at what an event has changed. It is called with
// the lock held.
func (r *leadership) changed() {
	kick(r.plan)
	kick(r.commit)
}

func (r *leadership) renewLoop() error {
	ticker := time.NewTicker(renewInterval)
	defer ticker.Stop()
	for {
		select {
		case <-r.ctx.Done():
			return r.ctx.Err()
		case <-r.renew:
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
			r.opts.Logger.WithError(err).Warn("term not renewed")
		default:
			r.mu.Lock()
			r.renewed = max(r.renewed, sent)
			r.mu.Unlock()
		}
	}
}

// Status returns the state of a job. leading is false if this process does not
// lead.
func (l *Leader) Status(id string) (state job.State, known, leading bool) {
	r := l.leadership.Load()
	if r == nil {
		return "", false, false
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	state, known = r.planner.Status(id)
	return state, known, true
}

// WaitingJobs returns the number of a queue's jobs of which no task has started.
func (l *Leader) WaitingJobs(queue string) (n int, leading bool) {
	r := l.leadership.Load()
	if r == nil {
		return 0, false
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.planner.WaitingJobs(queue), true
}

// MaxCapacity returns the most that any runner of a service has of each resource.
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

// accepted takes a job that is stored. It reports whether this process leads.
func (l *Leader) accepted(j *job.Job) bool {
	r := l.leadership.Load()
	if r != nil {
		r.take(&ledger.Contents{Jobs: []*job.Job{j}})
	}
	return r != nil
}

// cancelled takes a cancel that is stored. It reports whether this process leads.
func (l *Leader) cancelled(id string) bool {
	r := l.leadership.Load()
	if r != nil {
		r.take(&ledger.Contents{Cancels: []string{id}})
	}
	return r != nil
}

var errLaterTerm = fmt.Errorf("agent follows a later term: %w", ledger.ErrDeposed)
