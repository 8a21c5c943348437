package store

import (
	"context"
	"fmt"
	"sync"
	"time"
)

const (
	// pageTime is what one page of a bulk read should take: a page that fails is read
	// again whole.
	pageTime = 300 * time.Millisecond
	// firstPageRows is the size of a page before it is known what the link carries.
	firstPageRows = 100
	// minPageRows and maxPageRows bound the size; the store returns at most 500 rows.
	minPageRows = 8
	maxPageRows = 500
	// pageAttempts bounds the tries to read a page after the first one of a range.
	pageAttempts = 5
	// pageRetryPause follows the first failed try, and doubles with each.
	pageRetryPause = 100 * time.Millisecond
	// bulkQueueTime is how long other calls may be held up by bulk reads on the link.
	bulkQueueTime = 100 * time.Millisecond
	// windowBytes is what one connection may have on its way.
	windowBytes = 64 << 10
	// maxBulkReads bounds bulk reads at the same time on a fast link.
	maxBulkReads = 16
)

// BulkReader reads whole ranges of a store page by page, so that calls that share the link,
// renewals above all, are not held up. It is safe for concurrent use.
type BulkReader struct {
	store Store
	slots chan struct{}

	mu   sync.Mutex
	rows int
	// urgent counts the urgent reads; calm is closed when there are none.
	urgent int
	calm   chan struct{}
}

// NewBulkReader returns a reader of s over a link of linkRate bytes a second, 0 if that is not
// known.
func NewBulkReader(s Store, linkRate int64) *BulkReader {
	n := maxBulkReads
	if linkRate > 0 {
		n = int(min(max(linkRate*int64(bulkQueueTime)/int64(time.Second)/windowBytes, 1), maxBulkReads))
	}
	return &BulkReader{store: s, slots: make(chan struct{}, n), rows: firstPageRows}
}

// BeginUrgent says that reads for which others should wait are under way, until done is called.
func (b *BulkReader) BeginUrgent() (done func()) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.urgent == 0 {
		b.calm = make(chan struct{})
	}
	b.urgent++
	return sync.OnceFunc(func() {
		b.mu.Lock()
		defer b.mu.Unlock()
		b.urgent--
		if b.urgent == 0 {
			close(b.calm)
		}
	})
}

// WaitForUrgent waits while urgent reads are under way, at most for a time.
func (b *BulkReader) WaitForUrgent(ctx context.Context, atMost time.Duration) {
	b.mu.Lock()
	urgent, calm := b.urgent > 0, b.calm
	b.mu.Unlock()
	if !urgent {
		return
	}
	select {
	case <-calm:
	case <-time.After(atMost):
	case <-ctx.Done():
	}
}

// ReadAll returns all rows of the range, in order of their keys, and a version from
// which Feed continues without a gap. A page that fails is tried again, the first one
// excepted.
func (b *BulkReader) ReadAll(ctx context.Context, r Range) ([]Row, int64, error) {
	var all []Row
	var version int64
	for {
		page, err := b.page(ctx, r, len(all) > 0)
		if err != nil {
			return nil, 0, err
		}
		if version == 0 {
			// Later pages are newer; a feed from the first one misses nothing.
			version = page.Version
		}
		all = append(all, page.Rows...)
		if !page.More || len(page.Rows) == 0 {
			return all, version, nil
		}
		r.From = page.Rows[len(page.Rows)-1].Key + "\x00"
	}
}

func (b *BulkReader) page(ctx context.Context, r Range, again bool) (Page, error) {
	wait := pageRetryPause
	for attempt := 1; ; attempt++ {
		page, err := b.tryPage(ctx, r)
		if err == nil || !again || attempt == pageAttempts {
			return page, err
		}
		select {
		case <-ctx.Done():
			return Page{}, fmt.Errorf("%w; last try: %w", ctx.Err(), err)
		case <-time.After(wait):
		}
		wait *= 2
	}
}

func (b *BulkReader) tryPage(ctx context.Context, r Range) (Page, error) {
	select {
	case b.slots <- struct{}{}:
	case <-ctx.Done():
		return Page{}, ctx.Err()
	}
	defer func() { <-b.slots }()
	b.mu.Lock()
	limit := b.rows
	b.mu.Unlock()
	began := time.Now()
	page, err := b.store.Read(ctx, r, limit)
	if err == nil {
		b.learn(len(page.Rows), time.Since(began))
	}
	return page, err
}

// learn sizes the next page by what the last one took.
func (b *BulkReader) learn(rows int, took time.Duration) {
	if rows < minPageRows {
		return
	}
	fitting := float64(rows) * float64(pageTime) / float64(max(took, time.Millisecond))
	b.mu.Lock()
	defer b.mu.Unlock()
	b.rows = int(min(max(fitting, minPageRows), maxPageRows))
}
