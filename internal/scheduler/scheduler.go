// Package scheduler places tasks on VMs and runs in each entry process. Any number of schedulers
// may run concurrently: every change is a transaction that checks the rows it was decided
// on. The scheduling lease only avoids duplicate work; correctness does not depend on it.
package scheduler

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"github.com/apex/log"

	"bamboowood/internal/control"
	"bamboowood/internal/placement"
	"bamboowood/internal/platform"
)

// Options are the settings of a Scheduler. Zero values select the defaults.
type Options struct {
	// Interval is the time between two passes.
	Interval time.Duration `toml:"interval" validate:"omitempty,gte=10ms,lte=1m"`
	// LeaseDuration is the validity of the scheduling lease after a renewal.
	LeaseDuration time.Duration `toml:"lease_duration" validate:"omitempty,gte=100ms,lte=1m"`
	// CallTimeout limits the duration of one call to the table.
	CallTimeout time.Duration `toml:"call_timeout" validate:"omitempty,gte=10ms,lte=1m"`
	// GroupSize limits the placements of one transaction.
	GroupSize int `toml:"group_size" validate:"gte=0,lte=64"`
	// Placement are the limits and weights of the planner.
	Placement placement.Options `toml:"-"`
}

// Defaults of Options.
const (
	DefaultInterval      = 500 * time.Millisecond
	DefaultLeaseDuration = 3 * time.Second
	DefaultCallTimeout   = 2 * time.Second
	DefaultGroupSize     = 16
)

func (o Options) withDefaults() Options {
	if o.Interval <= 0 {
		o.Interval = DefaultInterval
	}
	if o.LeaseDuration <= 0 {
		o.LeaseDuration = DefaultLeaseDuration
	}
	if o.CallTimeout <= 0 {
		o.CallTimeout = DefaultCallTimeout
	}
	if o.GroupSize <= 0 {
		o.GroupSize = DefaultGroupSize
	}
	return o
}

// Scheduler places pending tasks. Pass must not be called concurrently with Run or with
// another Pass of the same Scheduler. The other methods are safe for concurrent use.
type Scheduler struct {
	options    Options
	table      platform.Table
	control    *control.Holder
	notify     func(vm string)
	log        log.Interface
	planner    *placement.Planner
	lease      *schedulingLease
	wake       chan struct{}
	holdsLease atomic.Bool
	epoch      time.Time
	view       *view

	changedMu  sync.Mutex
	changedVMs map[string]bool

	recordedReasons map[string]recordedReason
	lastSweep       readTime
	sweepCursor     string
}

// New returns a Scheduler. notify is called with the ID of a VM after a commit has changed
// its tasks. holder is the name of this entry in the scheduling lease.
func New(options Options, table platform.Table, control *control.Holder, notify func(vm string), holder string, logger log.Interface) *Scheduler {
	options = options.withDefaults()
	bounded := timeoutTable{table, options.CallTimeout}
	return &Scheduler{
		options: options, table: bounded, control: control, notify: notify, log: logger,
		planner: placement.NewPlanner(options.Placement),
		lease:   newSchedulingLease(holder, options.LeaseDuration),
		wake:    make(chan struct{}, 1), epoch: time.Now(), view: newView(),
		recordedReasons: map[string]recordedReason{}, changedVMs: map[string]bool{},
	}
}

// Wake requests a pass without waiting for the next interval. It does not block.
func (s *Scheduler) Wake() {
	select {
	case s.wake <- struct{}{}:
	default:
	}
}

// VMChanged reports that tasks on a VM have ended or left, so that the next pass reads the
// VM's row before its regular refresh and uses the free capacity. It does not block.
func (s *Scheduler) VMChanged(vm string) {
	s.changedMu.Lock()
	defer s.changedMu.Unlock()
	s.changedVMs[vm] = true
}

// takeChangedVMs returns the set of changed VMs and resets it.
func (s *Scheduler) takeChangedVMs() map[string]bool {
	s.changedMu.Lock()
	defer s.changedMu.Unlock()
	taken := s.changedVMs
	s.changedVMs = map[string]bool{}
	return taken
}

// Scheduling reports whether this scheduler holds the scheduling lease.
func (s *Scheduler) Scheduling() bool { return s.holdsLease.Load() }

// Run makes passes until ctx ends, whenever this entry holds the scheduling lease.
func (s *Scheduler) Run(ctx context.Context) error {
	ticker := time.NewTicker(s.options.Interval)
	defer ticker.Stop()
	for {
		s.runOnce(ctx)
		select {
		case <-ctx.Done():
			s.resign()
			return nil
		case <-ticker.C:
		case <-s.wake:
		}
	}
}

// runOnce acquires or renews the lease and makes one pass if the lease is held.
func (s *Scheduler) runOnce(ctx context.Context) {
	held, err := s.lease.acquireOrRenew(ctx, s.table, s.now)
	if err != nil {
		countFailure("lease")
		s.log.WithError(err).Debug("scheduling lease acquisition or renewal failed")
	}
	if s.holdsLease.Swap(held) != held {
		s.log.WithField("held", held).Info("scheduling lease acquired or lost")
	}
	if !held {
		return
	}
	if err := s.Pass(ctx); err != nil && ctx.Err() == nil {
		countFailure("pass")
		s.log.WithError(err).Warn("scheduling pass failed")
	}
}

// resign releases the lease so that another entry can acquire it before it expires.
func (s *Scheduler) resign() {
	if !s.holdsLease.Swap(false) {
		return
	}
	ctx, cancel := context.WithTimeout(context.Background(), s.options.CallTimeout)
	defer cancel()
	if err := s.lease.release(ctx, s.table); err != nil {
		s.log.WithError(err).Debug("scheduling lease release failed")
	}
}

// now returns the monotonic time since the Scheduler was created.
func (s *Scheduler) now() time.Duration { return time.Since(s.epoch) }

// timeoutTable applies a timeout to each call.
type timeoutTable struct {
	platform.Table
	timeout time.Duration
}

// Get implements platform.Table.
func (t timeoutTable) Get(ctx context.Context, key string) (platform.Row, error) {
	ctx, cancel := context.WithTimeout(ctx, t.timeout)
	defer cancel()
	return t.Table.Get(ctx, key)
}

// List implements platform.Table.
func (t timeoutTable) List(ctx context.Context, prefix, after string, limit int) (platform.Page, error) {
	ctx, cancel := context.WithTimeout(ctx, t.timeout)
	defer cancel()
	return t.Table.List(ctx, prefix, after, limit)
}

// Commit implements platform.Table.
func (t timeoutTable) Commit(ctx context.Context, tx platform.Tx) (int64, error) {
	ctx, cancel := context.WithTimeout(ctx, t.timeout)
	defer cancel()
	return t.Table.Commit(ctx, tx)
}
