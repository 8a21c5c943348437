// Package scheduler runs the placement of tasks on an entry. Any number of
// schedulers may run at once: every change is a transaction that checks the rows
// it was decided on. The scheduling lease saves the others the work; it guards
// nothing.
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

// Options are the settings of a Scheduler. Zero values take the defaults.
type Options struct {
	// Interval is the time between two passes.
	Interval time.Duration `toml:"interval" validate:"omitempty,gte=10ms,lte=1m"`
	// LeaseDuration is how long the scheduling lease holds without a renewal.
	LeaseDuration time.Duration `toml:"lease_duration" validate:"omitempty,gte=100ms,lte=1m"`
	// CallTimeout bounds one call of the table.
	CallTimeout time.Duration `toml:"call_timeout" validate:"omitempty,gte=10ms,lte=1m"`
	// GroupSize bounds the placements of one transaction.
	GroupSize int `toml:"group_size" validate:"gte=0,lte=64"`
	// Placement are the planner's bounds and weights.
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

// Scheduler places pending tasks. Pass must not be called at the same time as
// Run or another Pass of the same Scheduler.
type Scheduler struct {
	options Options
	table   platform.Table
	control *control.Holder
	notify  func(vm string)
	log     log.Interface
	planner *placement.Planner
	lease   *schedulingLease
	poke    chan struct{}
	held    atomic.Bool
	epoch   time.Time
	view    *view

	changedMu sync.Mutex
	changed   map[string]bool

	explained  map[string]explained
	sweptAt    reading
	sweepAfter string
}

// New returns a Scheduler. notify is called after a commit has changed what a VM
// has to do; holder names this entry in the scheduling lease.
func New(options Options, table platform.Table, control *control.Holder, notify func(vm string), holder string, logger log.Interface) *Scheduler {
	options = options.withDefaults()
	bounded := boundedTable{table, options.CallTimeout}
	return &Scheduler{
		options: options, table: bounded, control: control, notify: notify, log: logger,
		planner: placement.NewPlanner(options.Placement),
		lease:   newSchedulingLease(holder, options.LeaseDuration),
		poke:    make(chan struct{}, 1), epoch: time.Now(), view: newView(),
		explained: map[string]explained{}, changed: map[string]bool{},
	}
}

// Wake asks for a pass soon; it never blocks.
func (s *Scheduler) Wake() {
	select {
	case s.poke <- struct{}{}:
	default:
	}
}

// VMChanged says that tasks have ended or left on a VM, so that the room is seen
// before the VM rows are read again anyway. It never blocks.
func (s *Scheduler) VMChanged(vm string) {
	s.changedMu.Lock()
	defer s.changedMu.Unlock()
	s.changed[vm] = true
}

// takeChanged returns and forgets the VMs that have changed.
func (s *Scheduler) takeChanged() map[string]bool {
	s.changedMu.Lock()
	defer s.changedMu.Unlock()
	taken := s.changed
	s.changed = map[string]bool{}
	return taken
}

// Scheduling reports whether this scheduler holds the scheduling lease.
func (s *Scheduler) Scheduling() bool { return s.held.Load() }

// Run passes until ctx ends, while this entry holds the scheduling lease.
func (s *Scheduler) Run(ctx context.Context) error {
	ticker := time.NewTicker(s.options.Interval)
	defer ticker.Stop()
	for {
		s.turn(ctx)
		select {
		case <-ctx.Done():
			s.resign()
			return nil
		case <-ticker.C:
		case <-s.poke:
		}
	}
}

// turn keeps the lease and makes one pass if it is held.
func (s *Scheduler) turn(ctx context.Context) {
	held, err := s.lease.keep(ctx, s.table, s.now)
	if err != nil {
		countFailure("lease")
		s.log.WithError(err).Debug("scheduling lease not renewed")
	}
	if s.held.Swap(held) != held {
		s.log.WithField("held", held).Info("scheduling lease changed hands")
	}
	if !held {
		return
	}
	if err := s.Pass(ctx); err != nil && ctx.Err() == nil {
		countFailure("pass")
		s.log.WithError(err).Warn("scheduling pass failed")
	}
}

// resign gives the lease up so that another entry need not wait for its lapse.
func (s *Scheduler) resign() {
	if !s.held.Swap(false) {
		return
	}
	ctx, cancel := context.WithTimeout(context.Background(), s.options.CallTimeout)
	defer cancel()
	if err := s.lease.release(ctx, s.table); err != nil {
		s.log.WithError(err).Debug("scheduling lease not released")
	}
}

// now is this process's monotonic clock.
func (s *Scheduler) now() time.Duration { return time.Since(s.epoch) }

// boundedTable gives every call its own timeout.
type boundedTable struct {
	platform.Table
	timeout time.Duration
}

// Get implements platform.Table.
func (t boundedTable) Get(ctx context.Context, key string) (platform.Row, error) {
	ctx, cancel := context.WithTimeout(ctx, t.timeout)
	defer cancel()
	return t.Table.Get(ctx, key)
}

// List implements platform.Table.
func (t boundedTable) List(ctx context.Context, prefix, after string, limit int) (platform.Page, error) {
	ctx, cancel := context.WithTimeout(ctx, t.timeout)
	defer cancel()
	return t.Table.List(ctx, prefix, after, limit)
}

// Commit implements platform.Table.
func (t boundedTable) Commit(ctx context.Context, tx platform.Tx) (int64, error) {
	ctx, cancel := context.WithTimeout(ctx, t.timeout)
	defer cancel()
	return t.Table.Commit(ctx, tx)
}
