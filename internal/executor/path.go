package executor

import (
	"context"
	"errors"
	"sync/atomic"
	"time"

	"bamboowood/internal/platform"
)

// directRetryInterval is the time after which a call tries the direct path again
// although the relay works.
const directRetryInterval = 10 * time.Second

// tablePath is a Table that uses the direct path, or the relay after the direct path
// failed. It retries the direct path every directRetryInterval. Each call has a
// timeout.
type tablePath struct {
	primary, relay platform.Table
	timeout        time.Duration
	clock          *clock
	// relayedSince is when calls were switched to the relay; 0 while the direct
	// path is in use.
	relayedSince atomic.Int64
}

// answered reports whether err is an answer of the table rather than a failure of
// the path to it.
func answered(err error) bool {
	return err == nil || errors.Is(err, platform.ErrNotFound) || errors.Is(err, platform.ErrConflict) ||
		errors.Is(err, platform.ErrInvalid)
}

// relayed reports whether calls currently go through the relay.
func (p *tablePath) relayed() bool {
	since := p.relayedSince.Load()
	return since != 0 && p.clock.now()-time.Duration(since) < directRetryInterval
}

// call runs f on the current path and switches paths when the table did not answer.
func (p *tablePath) call(ctx context.Context, f func(context.Context, platform.Table) error) error {
	ctx, cancel := context.WithTimeout(ctx, p.timeout)
	defer cancel()
	relayed := p.relayed()
	table := p.primary
	if relayed {
		table = p.relay
	}
	err := f(ctx, table)
	switch {
	case answered(err):
		if !relayed {
			p.relayedSince.Store(0)
		}
		countTableCall(relayed, "answered")
	default:
		countTableCall(relayed, "failed")
		p.switchPath(relayed)
	}
	return err
}

func (p *tablePath) switchPath(relayed bool) {
	if p.relay == nil || relayed {
		p.relayedSince.Store(0)
		return
	}
	p.relayedSince.Store(max(int64(p.clock.now()), 1))
}

// read runs f on the current path and, when the table does not answer, once more on
// the other.
func (p *tablePath) read(ctx context.Context, f func(context.Context, platform.Table) error) error {
	err := p.call(ctx, f)
	if answered(err) || p.relay == nil || ctx.Err() != nil {
		return err
	}
	return p.call(ctx, f)
}

// Get implements platform.Table.
func (p *tablePath) Get(ctx context.Context, key string) (row platform.Row, err error) {
	err = p.read(ctx, func(ctx context.Context, t platform.Table) (err error) {
		row, err = t.Get(ctx, key)
		return err
	})
	return row, err
}

// List implements platform.Table.
func (p *tablePath) List(ctx context.Context, prefix, after string, limit int) (page platform.Page, err error) {
	err = p.read(ctx, func(ctx context.Context, t platform.Table) (err error) {
		page, err = t.List(ctx, prefix, after, limit)
		return err
	})
	return page, err
}

// Commit implements platform.Table. When an answer is lost, the retry sent by
// state.Commit uses the other path.
func (p *tablePath) Commit(ctx context.Context, tx platform.Tx) (version int64, err error) {
	err = p.call(ctx, func(ctx context.Context, t platform.Table) (err error) {
		version, err = t.Commit(ctx, tx)
		return err
	})
	return version, err
}
