// Package recovery finds VMs whose agents have stopped renewing their leases,
// revokes those leases and requeues the tasks. Several processes may run it at the
// same time: every decision is checked by the transaction that applies it.
package recovery

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"time"

	"github.com/apex/log"

	"bamboowood/internal/lease"
	"bamboowood/internal/platform"
	"bamboowood/internal/state"
	"bamboowood/internal/structs"
	"bamboowood/internal/task"
)

// Options are the settings of a Recovery. Zero values take the defaults.
type Options struct {
	// Interval is the time between two passes.
	Interval time.Duration `toml:"interval" validate:"omitempty,gte=100ms,lte=1m"`
	// Margin is the time added to a lease's duration before the lease is revoked.
	Margin time.Duration `toml:"margin" validate:"omitempty,gte=100ms,lte=5m"`
	// MaxGap is the longest time between two answers of the table for which the
	// table counts as available throughout.
	MaxGap time.Duration `toml:"max_gap" validate:"omitempty,gte=1s,lte=5m"`
	// CallTimeout limits the duration of one call to the table.
	CallTimeout time.Duration `toml:"call_timeout" validate:"omitempty,gte=100ms,lte=1m"`
	// NewIncarnationGrace is the time that a VM's new incarnation has to report or
	// requeue the tasks of the old one itself.
	NewIncarnationGrace time.Duration `toml:"new_incarnation_grace" validate:"omitempty,gte=100ms,lte=5m"`
}

// Defaults of Options.
const (
	DefaultInterval            = 2 * time.Second
	DefaultMargin              = 3 * time.Second
	DefaultMaxGap              = 6 * time.Second
	DefaultCallTimeout         = 3 * time.Second
	DefaultNewIncarnationGrace = 5 * time.Second
)

// requeueBatch is the maximum number of tasks that one transaction requeues.
const requeueBatch = 16

func (o Options) withDefaults() Options {
	set := func(d *time.Duration, value time.Duration) {
		if *d <= 0 {
			*d = value
		}
	}
	set(&o.Interval, DefaultInterval)
	set(&o.Margin, DefaultMargin)
	set(&o.MaxGap, DefaultMaxGap)
	set(&o.CallTimeout, DefaultCallTimeout)
	set(&o.NewIncarnationGrace, DefaultNewIncarnationGrace)
	return o
}

// Recovery observes the lease rows, revokes expired leases and requeues their
// tasks. Run and Pass must not be called concurrently.
type Recovery struct {
	opts   Options
	table  platform.Table
	log    log.Interface
	clock  func() time.Duration // monotonic
	leases map[string]*observedLease
}

// observedLease is the state of one VM's lease as observed by this process.
type observedLease struct {
	observer    lease.Observer
	incarnation int64
	// supersededAt is the time (monotonic) at which a newer incarnation was first
	// observed while tasks of older ones may remain; 0 when none remain.
	supersededAt time.Duration
	// allRequeued is set once all tasks of the revoked or released lease have been
	// requeued.
	allRequeued bool
}

// New returns a Recovery that uses table.
func New(opts Options, table platform.Table, logger log.Interface) *Recovery {
	start := time.Now()
	return &Recovery{
		opts: opts.withDefaults(), table: table, log: logger, leases: map[string]*observedLease{},
		clock: func() time.Duration { return time.Since(start) },
	}
}

// Run makes passes until ctx ends.
func (r *Recovery) Run(ctx context.Context) error {
	for {
		if err := r.Pass(ctx); err != nil && ctx.Err() == nil {
			countPass("failed")
			r.log.WithError(err).Warn("recovery pass failed")
		}
		wait := r.opts.Interval*3/4 + time.Duration(rand.Int64N(int64(r.opts.Interval)/2+1))
		select {
		case <-ctx.Done():
			return nil
		case <-time.After(wait):
		}
	}
}

// Pass reads all lease rows once, revokes the expired leases and requeues the tasks
// of ended ones. It starts at a random row, so that concurrent processes seldom
// conflict, and stops acting when the table stops answering.
func (r *Recovery) Pass(ctx context.Context) error {
	callCtx, cancel := context.WithTimeout(ctx, r.opts.CallTimeout)
	defer cancel()
	rows, err := state.List[structs.Lease](callCtx, r.table, state.LeasePrefix)
	if err != nil {
		return err
	}
	countPass("answered")
	now := r.clock()
	var failure error
	for i, first := 0, rand.IntN(max(len(rows), 1)); i < len(rows); i++ {
		row := rows[(first+i)%len(rows)]
		o := r.observe(now, row)
		if failure != nil {
			continue // keep observing the other rows, but write no more
		}
		err := r.recoverVM(ctx, now, o, row)
		switch {
		case err == nil:
		case errors.Is(err, platform.ErrConflict):
			r.log.WithError(err).WithField("vm", row.Value.VM).Debug("VM recovery conflicted with another writer; retrying in the next pass")
		case errors.Is(err, platform.ErrUnavailable), platform.IsUnknown(err):
			failure = fmt.Errorf("recover VM %s: %w", row.Value.VM, err)
		default:
			r.log.WithError(err).WithField("vm", row.Value.VM).Error("VM recovery failed")
		}
	}
	return failure
}

// observe records one lease row that the table returned.
func (r *Recovery) observe(now time.Duration, row task.LeaseRow) *observedLease {
	o := r.leases[row.Key]
	if o == nil {
		o = &observedLease{incarnation: row.Value.Incarnation}
		r.leases[row.Key] = o
	}
	if o.observer.Observe(now, row.Version, r.opts.MaxGap) == 0 {
		o.allRequeued = false
	}
	if row.Value.Incarnation > o.incarnation {
		o.incarnation, o.supersededAt = row.Value.Incarnation, max(now, 1)
	}
	return o
}

// recoverVM revokes the VM's lease if it has expired and requeues the tasks of a
// lease that has ended or of an older incarnation.
func (r *Recovery) recoverVM(ctx context.Context, now time.Duration, o *observedLease, row task.LeaseRow) error {
	if o.supersededAt != 0 && now-o.supersededAt >= r.opts.NewIncarnationGrace {
		old := structs.Lease{VM: row.Value.VM, Incarnation: o.incarnation - 1}
		if err := r.requeue(ctx, old, reasonSuperseded); err != nil {
			return err
		}
		o.supersededAt = 0
	}
	if o.allRequeued {
		return nil
	}
	reason := reasonRevoked
	duration := time.Duration(row.Value.DurationMS) * time.Millisecond
	switch {
	case row.Value.Released:
		reason = reasonReleased
	case row.Value.Revoked:
	case o.observer.UnchangedFor() < lease.RevokeAfter(duration, r.opts.Margin):
		return nil
	default:
		if err := r.revoke(ctx, row); err != nil {
			return err
		}
		r.log.WithField("vm", row.Value.VM).WithField("incarnation", row.Value.Incarnation).
			WithField("unrenewed", o.observer.UnchangedFor().String()).Error("VM lease expired and was revoked; requeuing its tasks")
	}
	if err := r.requeue(ctx, row.Value, reason); err != nil {
		return err
	}
	o.allRequeued = row.Value.Released || row.Value.Revoked
	return nil
}

// revoke marks the lease as revoked. From this transaction on, the VM's agent
// cannot commit any transaction that checks the lease, and no task of the VM is
// running.
func (r *Recovery) revoke(ctx context.Context, row task.LeaseRow) error {
	ctx, cancel := context.WithTimeout(ctx, r.opts.CallTimeout)
	defer cancel()
	vm, err := state.Get[structs.VM](ctx, r.table, state.VMKey(row.Value.VM))
	if err != nil {
		return err
	}
	row.Value.Revoked = true
	tx := task.NewTx(time.Now())
	tx.Put(row.Key, row.Version, row.Value)
	if vm.Exists() && vm.Value.Incarnation == row.Value.Incarnation {
		if err := tx.EditVM(vm, func(v *structs.VM) { v.Revoked = true }); err != nil {
			return err
		}
	}
	if err := tx.Commit(ctx, r.table); err != nil {
		return err
	}
	countRevocation("lapsed")
	return nil
}

// requeue requeues the tasks of a lease that is revoked, released or superseded,
// one batch at a time.
func (r *Recovery) requeue(ctx context.Context, ended structs.Lease, reason requeueReason) error {
	for {
		more, err := r.requeueNextBatch(ctx, ended, reason)
		if err != nil || !more {
			return err
		}
	}
}

// requeueNextBatch requeues up to requeueBatch tasks and reports whether there may
// be more.
func (r *Recovery) requeueNextBatch(ctx context.Context, ended structs.Lease, reason requeueReason) (bool, error) {
	ctx, cancel := context.WithTimeout(ctx, r.opts.CallTimeout)
	defer cancel()
	vm, err := state.Get[structs.VM](ctx, r.table, state.VMKey(ended.VM))
	if err != nil {
		return false, err
	}
	tx := task.NewTx(time.Now())
	for id := range vm.Value.Tasks {
		if tx.Len() >= requeueBatch {
			break
		}
		row, err := state.Get[structs.Task](ctx, r.table, state.TaskKey(id))
		if err != nil {
			return false, err
		}
		t := row.Value
		if !t.State.HoldsResources() || t.Owner.VM != ended.VM || t.Owner.Incarnation > ended.Incarnation {
			continue
		}
		if err := tx.Requeue(row, vm, "", string(reason)); err != nil {
			return false, err
		}
	}
	if tx.Len() == 0 {
		return false, nil
	}
	if err := tx.Commit(ctx, r.table); err != nil {
		return false, err
	}
	countRequeues(reason, tx.Len())
	return tx.Len() == requeueBatch, nil
}
