package executor_test

import (
	"context"
	"errors"
	"sync"
	"time"

	"bamboowood/internal/platform"
	"bamboowood/internal/standin"
)

// faultProxy injects faults into the calls from one agent process to one service.
type faultProxy struct {
	mu           sync.Mutex
	blackholed   bool // calls have no effect and no answer until their context ends
	killed       bool // the process was killed: calls fail without an effect
	detachStarts bool // a delayed start is carried out even after its caller's context ended
	frozen       chan struct{}
	before       func(op standin.Operation) // called before each call
	after        func(op standin.Operation) // called after each call
}

var errKilled = errors.New("process was killed")

func (p *faultProxy) set(edit func(*faultProxy)) {
	p.mu.Lock()
	defer p.mu.Unlock()
	edit(p)
}

// waitWhileFrozen blocks while the process is frozen, regardless of the call's
// context.
func (p *faultProxy) waitWhileFrozen() {
	p.mu.Lock()
	frozen := p.frozen
	p.mu.Unlock()
	if frozen != nil {
		<-frozen
	}
}

func (p *faultProxy) call(ctx context.Context, op standin.Operation, f func() error) error {
	p.mu.Lock()
	before, after := p.before, p.after
	p.mu.Unlock()
	if before != nil {
		before(op)
	}
	p.waitWhileFrozen()
	p.mu.Lock()
	blackholed, killed := p.blackholed, p.killed
	p.mu.Unlock()
	if killed {
		return errKilled
	}
	if blackholed {
		<-ctx.Done()
		return ctx.Err()
	}
	err := f()
	if after != nil {
		after(op)
	}
	p.waitWhileFrozen()
	return err
}

// proxiedTable and proxiedWorker route the calls to a service through a faultProxy.
type proxiedTable struct {
	*faultProxy
	platform.Table
}

func (t proxiedTable) Get(ctx context.Context, key string) (row platform.Row, err error) {
	err = t.call(ctx, standin.OpGet, func() (err error) { row, err = t.Table.Get(ctx, key); return err })
	return row, err
}

func (t proxiedTable) List(ctx context.Context, prefix, after string, limit int) (page platform.Page, err error) {
	err = t.call(ctx, standin.OpList, func() (err error) { page, err = t.Table.List(ctx, prefix, after, limit); return err })
	return page, err
}

func (t proxiedTable) Commit(ctx context.Context, tx platform.Tx) (v int64, err error) {
	err = t.call(ctx, standin.OpCommit, func() (err error) { v, err = t.Table.Commit(ctx, tx); return err })
	return v, err
}

type proxiedWorker struct {
	*faultProxy
	platform.Worker
	// clockRate scales the leases sent to the worker: a lease of d lasts
	// d*clockRate.
	clockRate float64
}

func (w proxiedWorker) scaleLease(d time.Duration) time.Duration {
	return time.Duration(float64(d) * w.clockRate)
}

func (w proxiedWorker) Start(ctx context.Context, s platform.TaskStart) error {
	s.Lease = w.scaleLease(s.Lease)
	return w.call(ctx, standin.OpStart, func() error {
		if w.detachStarts {
			ctx = context.WithoutCancel(ctx)
		}
		return w.Worker.Start(ctx, s)
	})
}

func (w proxiedWorker) Extend(ctx context.Context, fences map[string]int64, d time.Duration) (lost []string, err error) {
	err = w.call(ctx, standin.OpExtend, func() (err error) { lost, err = w.Worker.Extend(ctx, fences, w.scaleLease(d)); return err })
	return lost, err
}

func (w proxiedWorker) Checkpoint(ctx context.Context, id string, fence int64) (key string, err error) {
	err = w.call(ctx, standin.OpCheckpoint, func() (err error) { key, err = w.Worker.Checkpoint(ctx, id, fence); return err })
	return key, err
}

func (w proxiedWorker) Stop(ctx context.Context, id string, fence int64) error {
	return w.call(ctx, standin.OpStop, func() error { return w.Worker.Stop(ctx, id, fence) })
}

func (w proxiedWorker) Forget(ctx context.Context, id string, fence int64) error {
	return w.call(ctx, standin.OpForget, func() error { return w.Worker.Forget(ctx, id, fence) })
}

func (w proxiedWorker) List(ctx context.Context) (s []platform.TaskStatus, err error) {
	err = w.call(ctx, standin.OpList, func() (err error) { s, err = w.Worker.List(ctx); return err })
	return s, err
}
