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

func (g *faultProxy) set(edit func(*faultProxy)) {
	g.mu.Lock()
	defer g.mu.Unlock()
	edit(g)
}

// waitWhileFrozen blocks while the process is frozen, regardless of the call's
// context.
func (g *faultProxy) waitWhileFrozen() {
	g.mu.Lock()
	frozen := g.frozen
	g.mu.Unlock()
	if frozen != nil {
		<-frozen
	}
}

func (g *faultProxy) call(ctx context.Context, op standin.Operation, f func() error) error {
	g.mu.Lock()
	before, after := g.before, g.after
	g.mu.Unlock()
	if before != nil {
		before(op)
	}
	g.waitWhileFrozen()
	g.mu.Lock()
	blackholed, killed := g.blackholed, g.killed
	g.mu.Unlock()
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
	g.waitWhileFrozen()
	return err
}

// proxiedTable and proxiedWorker route the calls to a service through a faultProxy.
type proxiedTable struct {
	*faultProxy
	platform.Table
}

func (g proxiedTable) Get(ctx context.Context, key string) (row platform.Row, err error) {
	err = g.call(ctx, standin.OpGet, func() (err error) { row, err = g.Table.Get(ctx, key); return err })
	return row, err
}

func (g proxiedTable) List(ctx context.Context, prefix, after string, limit int) (page platform.Page, err error) {
	err = g.call(ctx, standin.OpList, func() (err error) { page, err = g.Table.List(ctx, prefix, after, limit); return err })
	return page, err
}

func (g proxiedTable) Commit(ctx context.Context, tx platform.Tx) (v int64, err error) {
	err = g.call(ctx, standin.OpCommit, func() (err error) { v, err = g.Table.Commit(ctx, tx); return err })
	return v, err
}

type proxiedWorker struct {
	*faultProxy
	platform.Worker
	// clockRate scales the leases sent to the worker: a lease of d lasts
	// d*clockRate.
	clockRate float64
}

func (g proxiedWorker) scaleLease(d time.Duration) time.Duration {
	return time.Duration(float64(d) * g.clockRate)
}

func (g proxiedWorker) Start(ctx context.Context, s platform.TaskStart) error {
	s.Lease = g.scaleLease(s.Lease)
	return g.call(ctx, standin.OpStart, func() error {
		if g.detachStarts {
			ctx = context.WithoutCancel(ctx)
		}
		return g.Worker.Start(ctx, s)
	})
}

func (g proxiedWorker) Extend(ctx context.Context, fences map[string]int64, d time.Duration) (lost []string, err error) {
	err = g.call(ctx, standin.OpExtend, func() (err error) { lost, err = g.Worker.Extend(ctx, fences, g.scaleLease(d)); return err })
	return lost, err
}

func (g proxiedWorker) Checkpoint(ctx context.Context, id string, fence int64) (key string, err error) {
	err = g.call(ctx, standin.OpCheckpoint, func() (err error) { key, err = g.Worker.Checkpoint(ctx, id, fence); return err })
	return key, err
}

func (g proxiedWorker) Stop(ctx context.Context, id string, fence int64) error {
	return g.call(ctx, standin.OpStop, func() error { return g.Worker.Stop(ctx, id, fence) })
}

func (g proxiedWorker) Forget(ctx context.Context, id string, fence int64) error {
	return g.call(ctx, standin.OpForget, func() error { return g.Worker.Forget(ctx, id, fence) })
}

func (g proxiedWorker) List(ctx context.Context) (s []platform.TaskStatus, err error) {
	err = g.call(ctx, standin.OpList, func() (err error) { s, err = g.Worker.List(ctx); return err })
	return s, err
}
