package store

import (
	"context"
	"errors"
	"fmt"
	"sync"
	"time"
)

const (
	// targetPageTime is the time that the read of one page should take. It is short because a
	// page that fails is read again as a whole.
	targetPageTime = 300 * time.Millisecond
	// initialPageRows is the number of rows of a page until the link rate is measured.
	initialPageRows = 100
	// minPageRows and maxPageRows bound the rows of a page; the store returns at most 500 rows.
	minPageRows = 8
	maxPageRows = 500
	// maxPageAttempts bounds the attempts to read a page. The first page of a range is read
	// only once.
	maxPageAttempts = 5
	// initialPageBackoff is the delay after the first failed attempt. It doubles with each one.
	initialPageBackoff = 100 * time.Millisecond
	// maxQueueTime bounds how long bulk reads may delay other calls on the link.
	maxQueueTime = 100 * time.Millisecond
	// connWindowBytes is the maximum number of bytes in flight on one connection.
	connWindowBytes = 64 << 10
	// maxConcurrentReads bounds the concurrent bulk reads on a fast link.
	maxConcurrentReads = 16
)

// BulkReader reads whole ranges of a store page by page, so that it does not delay other calls
// on the same link, above all renewals. It is safe for concurrent use.
type BulkReader struct {
	store     Store
	readSlots chan struct{}

	mu       sync.Mutex
	pageRows int
	// urgentReads counts the urgent reads in progress; urgentDone is closed when it drops to 0.
	urgentReads int
	urgentDone  chan struct{}
}

// NewBulkReader returns a reader of s over a link of linkRate bytes per second; 0 means that
// the rate is unknown.
func NewBulkReader(s Store, linkRate int64) *BulkReader {
	n := maxConcurrentReads
	if linkRate > 0 {
		n = int(min(max(linkRate*int64(maxQueueTime)/int64(time.Second)/connWindowBytes, 1), maxConcurrentReads))
	}
	return &BulkReader{store: s, readSlots: make(chan struct{}, n), pageRows: initialPageRows}
}

// BeginUrgent makes WaitForUrgent block until done is called. It marks the start of urgent reads.
func (b *BulkReader) BeginUrgent() (done func()) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.urgentReads == 0 {
		b.urgentDone = make(chan struct{})
	}
	b.urgentReads++
	return sync.OnceFunc(func() {
		b.mu.Lock()
		defer b.mu.Unlock()
		b.urgentReads--
		if b.urgentReads == 0 {
			close(b.urgentDone)
		}
	})
}

// WaitForUrgent waits until no urgent reads are in progress, timeout has passed or ctx ends.
func (b *BulkReader) WaitForUrgent(ctx context.Context, timeout time.Duration) {
	b.mu.Lock()
	urgent, urgentDone := b.urgentReads > 0, b.urgentDone
	b.mu.Unlock()
	if !urgent || timeout <= 0 {
		return
	}
	select {
	case <-urgentDone:
	case <-time.After(timeout):
	case <-ctx.Done():
	}
}

var errNoProgress = errors.New("page has no later key to continue from")

// ReadAll returns all rows of the range, in order of their keys, and a version from which Feed
// continues without a gap. It retries each page that fails, except the first.
func (b *BulkReader) ReadAll(ctx context.Context, r ReadRequest) ([]Row, int64, error) {
	var all []Row
	var version int64
	for {
		page, err := b.readPage(ctx, r, len(all) > 0)
		if err != nil {
			return nil, 0, err
		}
		if version == 0 {
			// Later pages are newer, so a feed from the version of the first one has no gap.
			version = page.Version
		}
		all = append(all, page.Rows...)
		if !page.More {
			return all, version, nil
		}
		next := ""
		for _, row := range page.Rows {
			next = max(next, row.Key+"\x00")
		}
		if next <= r.From {
			return nil, 0, fmt.Errorf("%w: read of %s from key %.40q", errNoProgress, r.Table, r.From)
		}
		r.From = next
	}
}

func (b *BulkReader) readPage(ctx context.Context, r ReadRequest, retry bool) (Page, error) {
	backoff := initialPageBackoff
	for attempt := 1; ; attempt++ {
		page, err := b.tryReadPage(ctx, r)
		if err == nil || !retry || attempt == maxPageAttempts {
			return page, err
		}
		select {
		case <-ctx.Done():
			return Page{}, fmt.Errorf("%w; last attempt: %w", ctx.Err(), err)
		case <-time.After(backoff):
		}
		backoff *= 2
	}
}

func (b *BulkReader) tryReadPage(ctx context.Context, r ReadRequest) (Page, error) {
	select {
	case b.readSlots <- struct{}{}:
	case <-ctx.Done():
		return Page{}, ctx.Err()
	}
	defer func() { <-b.readSlots }()
	b.mu.Lock()
	limit := b.pageRows
	b.mu.Unlock()
	start := time.Now()
	page, err := b.store.Read(ctx, r, limit)
	if err == nil {
		b.adjustPageRows(len(page.Rows), time.Since(start))
	}
	return page, err
}

// adjustPageRows sets the number of rows of the next page, so that it takes targetPageTime at the
// rate of the last page.
func (b *BulkReader) adjustPageRows(rows int, elapsed time.Duration) {
	if rows < minPageRows {
		return
	}
	fitting := float64(rows) * float64(targetPageTime) / float64(max(elapsed, time.Millisecond))
	b.mu.Lock()
	defer b.mu.Unlock()
	b.pageRows = int(min(max(fitting, minPageRows), maxPageRows))
}
