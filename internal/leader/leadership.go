package leader

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
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

	// away has the agents to be removed from the ledger, ended the jobs, large those whose
	// rows are to be shrunk; only the commit loop uses them.
	away, ended, large []string

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
		renewed: sent, early: map[string]bool{}, budget: newBudget(opts.LinkRate),
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

// begin reads what the store has and then begins to plan.
func (r *leadership) begin() error {
	began := r.opts.Now()
	agents, agentsVersion, err := readUntilDone(r, "agents", func() (map[string]string, int64, error) {
		return r.opts.Ledger.Agents(r.ctx)
	})
	if err != nil {
		return err
	}
	r.awaitAgents(agents, began+grantLease+r.opts.Hold+leaseMargin)
	load := r.opts.Ledger.NewLoad()
	contents, version, err := readUntilDone(r, "jobs", func() (*ledger.Contents, int64, error) {
		c, err := load.Run(r.ctx)
		if err != nil {
			return nil, 0, err
		}
		return c, c.Version, nil
	})
	if err != nil {
		return err
	}
	r.term.Use(contents)
	r.ended = contents.Orphans
	r.restore(contents)
	r.opts.Logger.WithFields(log.Fields{
		"jobs": len(contents.Jobs), "agents": len(agents), "took": (r.opts.Now() - began).String(),
	}).Info("leading")
	r.leader.leadership.Store(r)
	r.run("plans", r.planLoop)
	r.run("commits", r.commitLoop)
	r.run("jobs", func() error { return r.followJobs(version) })
	r.run("cancels", func() error { return r.followCancels(version) })
	r.run("agents", func() error { return r.followAgents(agentsVersion) })
	return nil
}

// readUntilDone repeats a read of the ledger until it succeeds.
func readUntilDone[T any](r *leadership, what string, read func() (T, int64, error)) (T, int64, error) {
	for {
		found, version, err := read()
		if err == nil || r.ctx.Err() != nil {
			return found, version, err
		}
		r.opts.Logger.WithError(err).WithField("what", what).Warn("ledger cannot be read")
		pause(r.ctx, retryPause+rand.N(retryPause))
	}
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

// restore passes the ledger's contents to the planner, and then what agents have sent
// meanwhile.
func (r *leadership) restore(c *ledger.Contents) {
	r.mu.Lock()
	defer r.mu.Unlock()
	now := r.instant()
	for _, j := range c.Jobs {
		r.add(now, j, c.Progress[j.ID], true)
	}
	for _, id := range c.Cancels {
		r.planner.Cancel(now.Mono, id)
	}
	r.logUnreadable(c)
	r.restored = true
	for _, k := range r.links {
		k.takeHeld(now.Mono)
	}
}

// add passes a job to the planner; one that it cannot take is set aside. It is called
// with the lock held.
func (r *leadership) add(now planner.Instant, j *job.Job, progress *planner.Progress, recovered bool) {
	err := contain.Do(r.opts.Logger.WithField("job", j.ID), "new job", func() error {
		r.planner.Add(now, j, progress, recovered)
		return nil
	})
	if err != nil {
		r.setAside(j.ID)
	}
}

func (r *leadership) logUnreadable(c *ledger.Contents) {
	for _, err := range c.Unreadable {
		r.opts.Logger.WithError(err).Error("row of the ledger left out")
	}
}

// awaitAgents makes the planner wait for all agents that may have runs of an
// earlier leader, and begins their sessions once it knows of all.
func (r *leadership) awaitAgents(agents map[string]string, lapseAt time.Duration) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for id := range agents {
		r.planner.AgentKnown(id, lapseAt)
	}
	for id, address := range agents {
		r.addLink(id, address)
	}
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

func (r *leadership) planLoop() error {
	ticker := time.NewTicker(planInterval)
	defer ticker.Stop()
	last := r.opts.Now()
	for {
		select {
		case <-r.ctx.Done():
			return r.ctx.Err()
		case <-r.plan:
		case <-ticker.C:
		}
		var err error
		if last, err = r.planNow(last); err != nil {
			return err
		}
	}
}

// planNow plans, and passes the orders on. last is when it was called last; it returns
// this time.
func (r *leadership) planNow(last time.Duration) (now time.Duration, err error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	now = r.opts.Now()
	if now-last > wakeGap {
		r.opts.Logger.WithField("gap", (now - last).String()).Warn("process stood still; renewing before any start")
		r.renewed = min(r.renewed, now-startLease)
		kick(r.renew)
	}
	r.planner.SetSite(r.opts.Site())
	began := time.Now()
	r.planner.SetStartBudget(r.budget.left(now))
	orders, err := r.planOnce(now)
	if err != nil {
		return now, err
	}
	planSeconds.UpdateDuration(began)
	countOrders(orders)
	for _, o := range orders.Stops {
		if k := r.links[o.Agent]; k != nil {
			k.stop(o)
		}
	}
	for _, o := range orders.Paces {
		if k := r.links[o.Agent]; k != nil {
			k.pace(o)
		}
		r.opts.Logger.WithFields(log.Fields{
			"task": o.Run.Task.String(), "run": o.Run.Number, "agent": o.Agent, "percent": o.Percent,
			"over_ms": o.Over.Milliseconds(), "headroom": o.Headroom,
		}).Info("pace ordered")
	}
	for _, q := range orders.Questions {
		r.run("advice", func() error { r.ask(q); return nil })
	}
	for _, o := range orders.Starts {
		r.links[o.Agent].start(o)
		r.opts.Logger.WithFields(log.Fields{
			"task": o.Run.Task.String(), "run": o.Run.Number, "agent": o.Agent,
		}).Info("start ordered")
	}
	return now, nil
}

// maxPlanPanics on end, without a job that causes them, end the term: another entry may
// fare better, and reads everything anew.
const maxPlanPanics = 20

// planOnce sets a job aside that the planner cannot handle.
func (r *leadership) planOnce(now time.Duration) (orders planner.Orders, err error) {
	err = contain.Do(r.opts.Logger, "planner", func() error {
		orders = r.planner.Plan(r.instant(), now < r.renewed+startLease)
		return nil
	})
	if err == nil {
		r.planPanics = 0
		return orders, nil
	}
	if id := r.planner.Handling(); id != "" {
		r.setAside(id)
		return planner.Orders{}, nil
	}
	r.planPanics++
	if r.planPanics < maxPlanPanics {
		return planner.Orders{}, nil
	}
	return planner.Orders{}, err
}

// setAside is called with the lock held.
func (r *leadership) setAside(id string) {
	jobsAside.Inc()
	r.opts.Logger.WithField("job", id).Error("job set aside; it stays accepted and is not run")
	r.planner.SetAside(r.opts.Now(), id)
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

// Waiting returns the number of a queue's jobs of which no task has started.
func (l *Leader) Waiting(queue string) (n int, leading bool) {
	r := l.leadership.Load()
	if r == nil {
		return 0, false
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.planner.Waiting(queue), true
}

// Largest returns the most that any runner of a service has of each resource.
func (l *Leader) Largest(service string) (largest job.Resources, known, leading bool) {
	r := l.leadership.Load()
	if r == nil {
		return job.Resources{}, false, false
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	largest, known = r.planner.Largest(service)
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
