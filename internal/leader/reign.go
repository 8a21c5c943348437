package leader

import (
	"context"
	"errors"
	"fmt"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/apex/log"
	"golang.org/x/sync/errgroup"

	"bamboowood/internal/job"
	"bamboowood/internal/ledger"
	"bamboowood/internal/planner"
	"bamboowood/internal/store"
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

// reign is one term of this process.
type reign struct {
	opts Options
	hold *ledger.Hold
	ctx  context.Context

	mu      sync.Mutex
	planner *planner.Planner
	links   map[string]*link
	// renewed is when the last successful renewal was sent.
	renewed time.Duration

	// away has the agents to be removed; only the commit loop uses it.
	away []string

	plan   chan struct{}
	commit chan struct{}
	renew  chan struct{}
	group  *errgroup.Group
}

func (l *Leader) lead(ctx context.Context, hold *ledger.Hold) error {
	began := l.opts.Now()
	logger := l.opts.Logger.WithField("term", hold.Term.Number)
	contents, err := hold.Load(ctx)
	for err != nil && ctx.Err() == nil {
		logger.WithError(err).Warn("ledger cannot be read")
		pause(ctx, retryPause)
		contents, err = hold.Load(ctx)
	}
	if err != nil {
		return err
	}
	agents, agentsVersion, err := l.opts.Ledger.Agents(ctx)
	if err != nil {
		return err
	}
	opts := l.opts
	opts.Planner.Term = hold.Term.Number
	opts.Logger = logger
	group, groupCtx := errgroup.WithContext(ctx)
	r := &reign{
		opts: opts, hold: hold, ctx: groupCtx, planner: planner.New(opts.Planner), links: map[string]*link{},
		renewed: began,
		plan:    make(chan struct{}, 1), commit: make(chan struct{}, 1), renew: make(chan struct{}, 1),
		group: group,
	}
	r.restore(contents)
	for id, address := range agents {
		r.planner.AgentKnown(id, began+grantLease+opts.Hold+leaseMargin)
		r.addLink(id, address)
	}
	logger.WithFields(log.Fields{
		"jobs": len(contents.Jobs), "agents": len(agents), "took": (l.opts.Now() - began).String(),
	}).Info("leading")
	takeovers.Inc()
	l.reign.Store(r)
	defer l.reign.Store(nil)
	group.Go(r.renewLoop)
	group.Go(r.planLoop)
	group.Go(r.commitLoop)
	group.Go(func() error { return r.followJobs(contents.Version) })
	group.Go(func() error { return r.followCancels(contents.Version) })
	group.Go(func() error { return r.followAgents(agentsVersion) })
	err = group.Wait()
	logger.WithError(err).Info("leading no more")
	if ctx.Err() != nil {
		l.resign(hold, logger)
	}
	if errors.Is(err, ledger.ErrDeposed) {
		return nil
	}
	return err
}

func (l *Leader) resign(hold *ledger.Hold, logger log.Interface) {
	ctx, cancel := context.WithTimeout(context.Background(), resignTimeout)
	defer cancel()
	if err := hold.Resign(ctx); err != nil {
		logger.WithError(err).Warn("term not given up")
	}
}

func (r *reign) instant() planner.Instant {
	return planner.Instant{Mono: r.opts.Now(), Wall: time.Now()}
}

// restore passes the ledger's contents to the planner.
func (r *reign) restore(c *ledger.Contents) {
	now := r.instant()
	for _, j := range c.Jobs {
		r.planner.Add(now, j, c.Progress[j.ID], true)
	}
	for _, id := range c.Cancels {
		r.planner.Cancel(now.Mono, id)
	}
	r.logUnreadable(c)
}

func (r *reign) logUnreadable(c *ledger.Contents) {
	for _, err := range c.Unreadable {
		r.opts.Logger.WithError(err).Error("row of the ledger left out")
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
func (r *reign) changed() {
	kick(r.plan)
	kick(r.commit)
}

func (r *reign) renewLoop() error {
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
		err := r.hold.Renew(ctx)
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

func (r *reign) planLoop() error {
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
		now := r.opts.Now()
		r.mu.Lock()
		if now-last > wakeGap {
			r.opts.Logger.WithField("gap", (now - last).String()).Warn("process stood still; renewing before any start")
			r.renewed = min(r.renewed, now-startLease)
			kick(r.renew)
		}
		last = now
		r.planner.SetSite(r.opts.Site())
		began := time.Now()
		orders := r.planner.Plan(r.instant(), now < r.renewed+startLease)
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
				"over_ms": o.Over.Milliseconds(), "quiet_ratio": o.Quiet,
			}).Info("pace ordered")
		}
		for _, o := range orders.Starts {
			r.links[o.Agent].start(o)
			r.opts.Logger.WithFields(log.Fields{
				"task": o.Run.Task.String(), "run": o.Run.Number, "agent": o.Agent,
			}).Info("start ordered")
		}
		r.mu.Unlock()
	}
}

func (r *reign) commitLoop() error {
	ticker := time.NewTicker(commitInterval)
	defer ticker.Stop()
	var last, tidied time.Duration
	for {
		select {
		case <-r.ctx.Done():
			return r.ctx.Err()
		case <-r.commit:
		case <-ticker.C:
		}
		if now := r.opts.Now(); now-tidied > tidyInterval {
			tidied = now
			if err := r.tidy(); errors.Is(err, ledger.ErrDeposed) {
				return err
			} else if err != nil && r.ctx.Err() == nil {
				r.opts.Logger.WithError(err).Warn("ledger not tidied")
			}
		}
		if err := r.removeAgents(); errors.Is(err, ledger.ErrDeposed) {
			return err
		} else if err != nil && r.ctx.Err() == nil {
			r.opts.Logger.WithError(err).Warn("agents not removed")
			pause(r.ctx, retryPause)
		}
		r.mu.Lock()
		pending, urgent := r.planner.Pending()
		r.mu.Unlock()
		now := r.opts.Now()
		if !pending {
			r.ackEnds()
			continue
		}
		if !urgent && now-last < commitInterval {
			continue
		}
		last = now
		if err := r.commitOnce(); err != nil {
			if errors.Is(err, ledger.ErrDeposed) {
				return err
			}
			r.opts.Logger.WithError(err).Warn("ends not stored")
			pause(r.ctx, retryPause)
		}
	}
}

// commitOnce stores changes, and tells agents which ends are stored if those were
// all.
func (r *reign) commitOnce() error {
	r.mu.Lock()
	changes := r.planner.TakeChanges(ledger.MaxCommit)
	pending, _ := r.planner.Pending()
	marks := r.marks()
	r.mu.Unlock()
	began := time.Now()
	err := r.hold.Commit(r.ctx, changes)
	commitSeconds.UpdateDuration(began)
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, c := range changes {
		if err != nil {
			r.planner.NotCommitted(c)
			continue
		}
		age := r.planner.Committed(r.opts.Now(), c)
		if c.Progress.State.Terminal() {
			countJobEnd(c.Progress.State)
			jobSeconds.Update(age.Seconds())
			r.opts.Logger.WithFields(log.Fields{"job": c.Job, "state": string(c.Progress.State), "age_ms": age.Milliseconds()}).Info("job ended")
		}
	}
	if err == nil && !pending {
		r.sendMarks(marks)
	}
	return err
}

// marks returns the last end that was taken from each agent.
func (r *reign) marks() map[*link]endMark {
	marks := make(map[*link]endMark, len(r.links))
	for _, k := range r.links {
		marks[k] = k.taken
	}
	return marks
}

func (r *reign) sendMarks(marks map[*link]endMark) {
	for k, m := range marks {
		k.ackEnds(m)
	}
}

// ackEnds acknowledges ends that changed nothing.
func (r *reign) ackEnds() {
	r.mu.Lock()
	defer r.mu.Unlock()
	if pending, _ := r.planner.Pending(); !pending {
		r.sendMarks(r.marks())
	}
}

// tidy removes jobs that ended long ago, and agents on which nothing can be alive.
func (r *reign) tidy() error {
	r.mu.Lock()
	ids := r.planner.Forget(r.opts.Now())
	stats := r.planner.Stats()
	jobs := r.planner.Jobs()
	loads := r.planner.Loads(r.opts.Now())
	r.mu.Unlock()
	r.opts.Logger.WithFields(log.Fields{
		"jobs": jobs, "starts": stats.Starts, "stops": stats.Stops, "stalls": stats.Stalls,
		"lapses": stats.Lapses, "failures": stats.Failures, "refusals": stats.Refusals,
	}).Info("planner")
	for _, a := range loads {
		r.opts.Logger.WithFields(log.Fields{
			"agent": a.ID, "state": a.State, "runs": a.Runs, "cpu": a.Used.CPU, "cpu_of": a.Capacity.CPU,
			"memory_mb": a.Used.MemoryMB, "memory_mb_of": a.Capacity.MemoryMB, "filler_cpu": a.FillerCPU,
			"filler_cpu_paced": a.PacedCPU, "serving": a.Serving, "draining": a.Draining, "ejected": a.Ejected,
			"faults": a.RecentFaults,
		}).Info("agent load")
	}
	return r.hold.Forget(r.ctx, ids)
}

// removeAgents removes the registrations of agents on which nothing is alive, so
// that a later leader need not wait for them. Those that return register again.
func (r *reign) removeAgents() error {
	r.mu.Lock()
	r.away = append(r.away, r.planner.TakeGone()...)
	r.away = slices.DeleteFunc(r.away, func(id string) bool { return !r.planner.Gone(id) })
	away := r.away
	r.mu.Unlock()
	if len(away) == 0 {
		return nil
	}
	if err := r.hold.RemoveAgents(r.ctx, away); err != nil {
		return err
	}
	r.away = nil
	r.opts.Logger.WithField("agents", strings.Join(away, ",")).Info("agents removed")
	return nil
}

// follow calls next with the version that its last call returned, and reload when
// the store has dropped that history.
func (r *reign) follow(
	version int64, next func(after int64) (int64, error), reload func() (int64, error),
) error {
	for r.ctx.Err() == nil {
		v, err := next(version)
		if errors.Is(err, store.ErrForgotten) {
			v, err = reload()
		}
		if err != nil {
			if r.ctx.Err() == nil {
				r.opts.Logger.WithError(err).Warn("feed of the store interrupted")
			}
			pause(r.ctx, retryPause)
			continue
		}
		version = v
	}
	return r.ctx.Err()
}

func (r *reign) followJobs(version int64) error {
	return r.follow(version, func(after int64) (int64, error) {
		c, err := r.opts.Ledger.FollowJobs(r.ctx, after, followWait)
		if err != nil {
			return 0, err
		}
		r.take(c)
		return c.Version, nil
	}, r.reload)
}

func (r *reign) followCancels(version int64) error {
	return r.follow(version, func(after int64) (int64, error) {
		c, err := r.opts.Ledger.FollowCancels(r.ctx, after, followWait)
		if err != nil {
			return 0, err
		}
		r.take(c)
		return c.Version, nil
	}, r.reload)
}

// reload reads all jobs and cancels, of which the planner may know most.
func (r *reign) reload() (int64, error) {
	r.opts.Logger.Warn("store has dropped the history of a feed; reading all jobs")
	c, err := r.opts.Ledger.Load(r.ctx)
	if err != nil {
		return 0, err
	}
	r.take(c)
	return c.Version, nil
}

// take passes new jobs and cancels to the planner.
func (r *reign) take(c *ledger.Contents) {
	r.mu.Lock()
	defer r.mu.Unlock()
	now := r.instant()
	for _, j := range c.Jobs {
		if !r.planner.Known(j.ID) {
			r.planner.Add(now, j, nil, false)
			r.opts.Logger.WithFields(log.Fields{
				"job": j.ID, "queue": j.Queue.Name, "age_ms": now.Wall.Sub(j.AcceptedAt).Milliseconds(),
			}).Info("job known")
		}
	}
	for _, id := range c.Cancels {
		if !r.planner.Cancel(now.Mono, id) {
			r.earlyCancel(id)
		}
	}
	r.logUnreadable(c)
	r.changed()
}

// earlyCancel handles a cancel that overtook its job in the feeds.
func (r *reign) earlyCancel(id string) {
	r.group.Go(func() error {
		pause(r.ctx, retryPause)
		r.mu.Lock()
		defer r.mu.Unlock()
		if !r.planner.Cancel(r.opts.Now(), id) {
			r.opts.Logger.WithField("job", id).Info("cancel of a job that is not known")
		}
		r.changed()
		return nil
	})
}

func (r *reign) followAgents(version int64) error {
	return r.follow(version, func(after int64) (int64, error) {
		agents, v, err := r.opts.Ledger.FollowAgents(r.ctx, after, followWait)
		if err == nil {
			r.addAgents(agents)
		}
		return v, err
	}, func() (int64, error) {
		agents, v, err := r.opts.Ledger.Agents(r.ctx)
		if err == nil {
			r.addAgents(agents)
		}
		return v, err
	})
}

func (r *reign) addAgents(agents map[string]string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for id, address := range agents {
		r.addLink(id, address)
	}
}

// Status returns the state of a job. leading is false if this process does not
// lead.
func (l *Leader) Status(id string) (state job.State, known, leading bool) {
	r := l.reign.Load()
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
	r := l.reign.Load()
	if r == nil {
		return 0, false
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.planner.Waiting(queue), true
}

// accepted takes a job that is stored. It reports whether this process leads.
func (l *Leader) accepted(j *job.Job) bool {
	r := l.reign.Load()
	if r != nil {
		r.take(&ledger.Contents{Jobs: []*job.Job{j}})
	}
	return r != nil
}

// cancelled takes a cancel that is stored. It reports whether this process leads.
func (l *Leader) cancelled(id string) bool {
	r := l.reign.Load()
	if r != nil {
		r.take(&ledger.Contents{Cancels: []string{id}})
	}
	return r != nil
}

var errLaterTerm = fmt.Errorf("agent follows a later term: %w", ledger.ErrDeposed)
