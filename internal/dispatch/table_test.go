package dispatch

import (
	"context"
	"errors"
	"sync"
	"time"

	"bamboowood/internal/platform"
)

var errAnswerLost = errors.New("answer lost")

// fakeTable is an in-memory platform.Table with faults.
type fakeTable struct {
	mu       sync.Mutex
	rows     map[string]platform.Row
	revision int64

	// down makes every call fail with ErrUnavailable, and delay is how long a call
	// takes. loseAnswer is called for each commit and reports whether its answer is
	// lost after the commit took effect.
	down       func() bool
	delay      time.Duration
	loseAnswer func() bool
	commits    int
}

func newFakeTable() *fakeTable {
	return &fakeTable{
		rows: map[string]platform.Row{},
		down: func() bool { return false }, loseAnswer: func() bool { return false },
	}
}

func (f *fakeTable) committed() int {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.commits
}

func (f *fakeTable) simulateCall(ctx context.Context) error {
	if f.down() {
		return platform.ErrUnavailable
	}
	select {
	case <-time.After(f.delay):
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

func (f *fakeTable) Get(ctx context.Context, key string) (platform.Row, error) {
	if err := f.simulateCall(ctx); err != nil {
		return platform.Row{}, err
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	row, ok := f.rows[key]
	if !ok {
		return platform.Row{}, platform.ErrNotFound
	}
	return row, nil
}

func (f *fakeTable) List(context.Context, string, string, int) (platform.Page, error) {
	return platform.Page{}, platform.ErrInvalid
}

func (f *fakeTable) Commit(ctx context.Context, tx platform.Tx) (int64, error) {
	if err := f.simulateCall(ctx); err != nil {
		return 0, err
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, c := range tx.Checks {
		if f.rows[c.Key].Version != c.Version {
			return 0, platform.ErrConflict
		}
	}
	f.commits++
	f.revision++
	for _, w := range tx.Writes {
		if w.Delete {
			delete(f.rows, w.Key)
			continue
		}
		f.rows[w.Key] = platform.Row{Key: w.Key, Value: w.Value, Version: f.revision}
	}
	if f.loseAnswer() {
		return 0, errAnswerLost
	}
	return f.revision, nil
}
