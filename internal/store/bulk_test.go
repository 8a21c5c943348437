package store_test

import (
	"context"
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"github.com/shoenig/test"
	"github.com/shoenig/test/must"

	"bamboowood/internal/store"
)

// tableStore serves rowCount rows; each takes rowTime. Except for the first, reads fail while
// remainingFailures is above 0.
type tableStore struct {
	store.Store
	rowCount, remainingFailures int
	rowTime                     time.Duration
	pageSizes                   []int
	reads                       int
}

func (s *tableStore) Read(_ context.Context, r store.ReadRequest, limit int) (store.Page, error) {
	if s.reads > 0 && s.remainingFailures > 0 {
		s.remainingFailures--
		return store.Page{}, store.ErrRefused
	}
	s.reads++
	page := store.Page{Version: int64(s.reads)}
	for i := range s.rowCount {
		k := fmt.Sprintf("%06d", i)
		if k < r.From {
			continue
		}
		if len(page.Rows) == limit {
			page.More = true
			break
		}
		page.Rows = append(page.Rows, store.Row{Key: k})
	}
	time.Sleep(time.Duration(len(page.Rows)) * s.rowTime)
	s.pageSizes = append(s.pageSizes, len(page.Rows))
	return page, nil
}

// The number of rows of a page adapts to the link rate, so that each page takes the
// target time.
func TestBulkReader_PageSizeFollowsLinkRate(t *testing.T) {
	for rowTime, want := range map[time.Duration]int{time.Microsecond: 500, 5 * time.Millisecond: 60, time.Second: 8} {
		synctest.Test(t, func(t *testing.T) {
			s := &tableStore{rowCount: 1_000, rowTime: rowTime}
			rows, version, err := store.NewBulkReader(s, 0).ReadAll(t.Context(), store.ReadRequest{})
			must.NoError(t, err)
			test.Len(t, s.rowCount, rows)
			test.Eq(t, 1, version)
			for _, n := range s.pageSizes[1 : len(s.pageSizes)-1] {
				test.Eq(t, want, n)
			}
		})
	}
}

// A page that fails is read again, without reading the pages before it again.
func TestBulkReader_RetriesFailedPage(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := &tableStore{rowCount: 1_000, remainingFailures: 3, rowTime: time.Millisecond}
		rows, _, err := store.NewBulkReader(s, 0).ReadAll(t.Context(), store.ReadRequest{})
		must.NoError(t, err)
		must.Len(t, s.rowCount, rows)
		for i, row := range rows {
			must.Eq(t, fmt.Sprintf("%06d", i), row.Key)
		}
	})
}

// A read fails if the store does not recover within the attempts for a page.
func TestBulkReader_FailsAfterRetries(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := &tableStore{rowCount: 1_000, remainingFailures: 100, rowTime: time.Millisecond}
		_, _, err := store.NewBulkReader(s, 0).ReadAll(t.Context(), store.ReadRequest{})
		test.ErrorIs(t, err, store.ErrRefused)
	})
}

// oddPageStore answers each read with the same page. It cancels the read after many of them.
type oddPageStore struct {
	store.Store
	page   store.Page
	reads  int
	cancel context.CancelFunc
}

func (s *oddPageStore) Read(ctx context.Context, _ store.ReadRequest, _ int) (store.Page, error) {
	if s.reads++; s.reads == 100 {
		s.cancel()
	}
	return s.page, ctx.Err()
}

// Guards against a page after which the read does not advance: it was read again without an end or a
// pause, with all of its rows kept. A page without rows ended the read as if the rest did not exist.
func TestBulkReader_PageThatDoesNotAdvance(t *testing.T) {
	for _, rows := range [][]store.Row{{}, {{Key: ""}}, {{Key: "b"}, {Key: "a"}}, {{Key: "m"}, {Key: "n"}}} {
		ctx, cancel := context.WithCancel(t.Context())
		s := &oddPageStore{page: store.Page{Rows: rows, More: true, Version: 3}, cancel: cancel}
		_, _, err := store.NewBulkReader(s, 0).ReadAll(ctx, store.ReadRequest{Table: "t", From: "a"})
		cancel()
		test.Error(t, err, test.Sprint(rows))
		test.Less(t, 10, s.reads, test.Sprint(rows))
	}
}
