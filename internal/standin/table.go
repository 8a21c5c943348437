// Package standin has small in-memory stand-ins of the platform's services: the table
// service, the object store, the worker of a VM and an upstream of services. Faults can
// be injected into their calls, and handlers serve them over HTTP for tests that run
// processes. They use no clock but package time, so they work inside testing/synctest.
package standin

import (
	"context"
	"fmt"
	"slices"
	"strings"
	"sync"

	"golang.org/x/time/rate"

	"bamboowood/internal/platform"
)

// Table is an in-memory platform.Table. A row's version is the revision of the whole
// table at the row's last write. Safe for concurrent use.
type Table struct {
	faults *Faults

	mu       sync.Mutex
	rows     map[string]platform.Row
	keys     []string // sorted
	revision int64
	counts   Counts
	reads    *rate.Limiter
	writes   *rate.Limiter
	onCommit func(tx platform.Tx, version int64)
	capacity *Capacity
}

// Counts are the calls that a Table has executed since its creation, and the rows and
// bytes that they read and wrote.
type Counts struct {
	Gets        int64 `json:"gets"`
	Lists       int64 `json:"lists"`
	Commits     int64 `json:"commits"`
	Conflicts   int64 `json:"conflicts"`
	RowsRead    int64 `json:"rows_read"`
	RowsWritten int64 `json:"rows_written"`
	// BytesRead and BytesWritten count the bytes of values, without keys.
	BytesRead    int64 `json:"bytes_read"`
	BytesWritten int64 `json:"bytes_written"`
}

// Sub returns the counts since the earlier Counts were read.
func (c Counts) Sub(earlier Counts) Counts {
	return Counts{
		Gets: c.Gets - earlier.Gets, Lists: c.Lists - earlier.Lists, Commits: c.Commits - earlier.Commits,
		Conflicts: c.Conflicts - earlier.Conflicts, RowsRead: c.RowsRead - earlier.RowsRead,
		RowsWritten: c.RowsWritten - earlier.RowsWritten, BytesRead: c.BytesRead - earlier.BytesRead,
		BytesWritten: c.BytesWritten - earlier.BytesWritten,
	}
}

// NewTable returns an empty Table without faults and rate limits.
func NewTable() *Table {
	return &Table{
		faults: newFaults(), rows: map[string]platform.Row{},
		reads: rate.NewLimiter(rate.Inf, 1), writes: rate.NewLimiter(rate.Inf, 1),
	}
}

// Faults returns the fault settings of the table.
func (t *Table) Faults() *Faults { return t.faults }

// Limit sets a rate limit for Get and List together and one for Commit, in calls per
// second; 0 means no limit. A call above the limit waits. It fails with
// platform.ErrUnavailable if its context would end first.
func (t *Table) Limit(readsPerSecond, writesPerSecond float64) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.reads, t.writes = newLimiter(readsPerSecond), newLimiter(writesPerSecond)
}

// SetCapacity bounds the bytes of the rows. A transaction that exceeds it fails with
// platform.ErrUnavailable.
func (t *Table) SetCapacity(c *Capacity) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.capacity = c
}

// OnCommit sets f to be called after each transaction that took effect, in commit order
// and before any other call reads or writes the table. f must not call the table.
func (t *Table) OnCommit(f func(tx platform.Tx, version int64)) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.onCommit = f
}

// limitBurst is the time, in seconds, for which a limiter can save up calls: a burst has at
// most limit * limitBurst calls, but at least one is allowed.
const limitBurst = 0.1

func newLimiter(perSecond float64) *rate.Limiter {
	if perSecond <= 0 {
		return rate.NewLimiter(rate.Inf, 1)
	}
	return rate.NewLimiter(rate.Limit(perSecond), max(1, int(perSecond*limitBurst)))
}

func (t *Table) waitForLimit(ctx context.Context, write bool) error {
	t.mu.Lock()
	l := t.reads
	if write {
		l = t.writes
	}
	t.mu.Unlock()
	if err := l.Wait(ctx); err != nil {
		return fmt.Errorf("%w: above the rate limit: %w", platform.ErrUnavailable, err)
	}
	return nil
}

// Counts returns the counts so far.
func (t *Table) Counts() Counts {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.counts
}

// Get implements platform.Table.
func (t *Table) Get(ctx context.Context, key string) (platform.Row, error) {
	if err := t.waitForLimit(ctx, false); err != nil {
		return platform.Row{}, err
	}
	var row platform.Row
	err := t.faults.call(ctx, OpGet, func() error {
		var err error
		row, err = t.get(key)
		return err
	})
	if err != nil {
		return platform.Row{}, err
	}
	return row, nil
}

func (t *Table) get(key string) (platform.Row, error) {
	if err := platform.ValidateKey(key); err != nil {
		return platform.Row{}, err
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	t.counts.Gets++
	row, ok := t.rows[key]
	if !ok {
		return platform.Row{}, fmt.Errorf("row %s: %w", key, platform.ErrNotFound)
	}
	t.counts.RowsRead++
	t.counts.BytesRead += int64(len(row.Value))
	row.Value = slices.Clone(row.Value)
	return row, nil
}

// List implements platform.Table. All rows of a page are read at one revision.
func (t *Table) List(ctx context.Context, prefix, after string, limit int) (platform.Page, error) {
	if err := t.waitForLimit(ctx, false); err != nil {
		return platform.Page{}, err
	}
	var page platform.Page
	err := t.faults.call(ctx, OpList, func() error {
		var err error
		page, err = t.list(prefix, after, limit)
		return err
	})
	if err != nil {
		return platform.Page{}, err
	}
	return page, nil
}

func (t *Table) list(prefix, after string, limit int) (platform.Page, error) {
	if limit < 1 || limit > platform.MaxPageRows {
		return platform.Page{}, fmt.Errorf("%w: limit %d is not within 1 and %d", platform.ErrInvalid, limit, platform.MaxPageRows)
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	t.counts.Lists++
	var page platform.Page
	size := 0
	i, _ := slices.BinarySearch(t.keys, max(prefix, after))
	for ; i < len(t.keys); i++ {
		key := t.keys[i]
		if key <= after && after != "" {
			continue
		}
		if !strings.HasPrefix(key, prefix) {
			break
		}
		if len(page.Rows) == limit || size >= platform.MaxPageBytes {
			page.Next = page.Rows[len(page.Rows)-1].Key
			break
		}
		row := t.rows[key]
		row.Value = slices.Clone(row.Value)
		size += len(row.Value)
		page.Rows = append(page.Rows, row)
	}
	t.counts.RowsRead += int64(len(page.Rows))
	t.counts.BytesRead += int64(size)
	return page, nil
}

// Commit implements platform.Table.
func (t *Table) Commit(ctx context.Context, tx platform.Tx) (int64, error) {
	if err := t.waitForLimit(ctx, true); err != nil {
		return 0, err
	}
	var version int64
	err := t.faults.call(ctx, OpCommit, func() error {
		var err error
		version, err = t.commit(tx)
		return err
	})
	if err != nil {
		return 0, err
	}
	return version, nil
}

func (t *Table) commit(tx platform.Tx) (int64, error) {
	if err := validateTx(tx); err != nil {
		return 0, err
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	t.counts.Commits++
	for _, c := range tx.Checks {
		if current := t.rows[c.Key].Version; current != c.Version {
			t.counts.Conflicts++
			return 0, fmt.Errorf("%w: %s is at %d, expected %d", platform.ErrConflict, c.Key, current, c.Version)
		}
	}
	if err := t.capacity.change(t.growth(tx)); err != nil {
		return 0, err
	}
	t.revision++
	for _, w := range tx.Writes {
		t.write(w)
	}
	if t.onCommit != nil {
		t.onCommit(tx, t.revision)
	}
	return t.revision, nil
}

// growth returns how many more bytes the rows take after tx, and those of the largest row that it writes.
// t.mu is held.
func (t *Table) growth(tx platform.Tx) (bytes, largest int64) {
	for _, w := range tx.Writes {
		if row, found := t.rows[w.Key]; found {
			bytes -= storedBytes(row.Key, row.Value)
		}
		if !w.Delete {
			n := storedBytes(w.Key, w.Value)
			bytes, largest = bytes+n, max(largest, n)
		}
	}
	return bytes, largest
}

// write applies one write at the current revision; t.mu is held.
func (t *Table) write(w platform.Write) {
	t.counts.RowsWritten++
	t.counts.BytesWritten += int64(len(w.Value))
	i, found := slices.BinarySearch(t.keys, w.Key)
	if w.Delete {
		if found {
			t.keys = slices.Delete(t.keys, i, i+1)
			delete(t.rows, w.Key)
		}
		return
	}
	if !found {
		t.keys = slices.Insert(t.keys, i, w.Key)
	}
	t.rows[w.Key] = platform.Row{Key: w.Key, Value: slices.Clone(w.Value), Version: t.revision}
}

func validateTx(tx platform.Tx) error {
	seen := make(map[string]bool, len(tx.Writes))
	for _, c := range tx.Checks {
		if err := platform.ValidateKey(c.Key); err != nil {
			return fmt.Errorf("check of key %q: %w", c.Key, err)
		}
	}
	for _, w := range tx.Writes {
		if err := platform.ValidateKey(w.Key); err != nil {
			return fmt.Errorf("write of key %q: %w", w.Key, err)
		}
		if seen[w.Key] {
			return fmt.Errorf("%w: key %q is written twice", platform.ErrInvalid, w.Key)
		}
		seen[w.Key] = true
	}
	return nil
}
