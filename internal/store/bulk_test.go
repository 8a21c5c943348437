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

// tableStore serves n rows; each takes rowTime. Reads fail while failures is above 0,
// but for the first.
type tableStore struct {
	store.Store
	n, failures int
	rowTime     time.Duration
	pages       []int
	read        int
}

func (s *tableStore) Read(_ context.Context, r store.Range, limit int) (store.Page, error) {
	if s.read > 0 && s.failures > 0 {
		s.failures--
		return store.Page{}, store.ErrRefused
	}
	s.read++
	page := store.Page{Version: int64(s.read)}
	for i := range s.n {
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
	s.pages = append(s.pages, len(page.Rows))
	return page, nil
}

// Pages become as large as the link carries in the time that a page should take.
func TestBulk_PagesFitTheLink(t *testing.T) {
	for rowTime, want := range map[time.Duration]int{time.Microsecond: 500, 5 * time.Millisecond: 60, time.Second: 8} {
		synctest.Test(t, func(t *testing.T) {
			s := &tableStore{n: 1_000, rowTime: rowTime}
			rows, version, err := store.NewBulkReader(s, 0).ReadAll(t.Context(), store.Range{})
			must.NoError(t, err)
			test.Len(t, s.n, rows)
			test.Eq(t, 1, version)
			for _, n := range s.pages[1 : len(s.pages)-1] {
				test.Eq(t, want, n)
			}
		})
	}
}

// A page that fails is read again; what was read before it is kept.
func TestBulk_GoesOnAfterAFailure(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := &tableStore{n: 1_000, failures: 3, rowTime: time.Millisecond}
		rows, _, err := store.NewBulkReader(s, 0).ReadAll(t.Context(), store.Range{})
		must.NoError(t, err)
		must.Len(t, s.n, rows)
		for i, row := range rows {
			must.Eq(t, fmt.Sprintf("%06d", i), row.Key)
		}
	})
}

// A store that stays away ends the read.
func TestBulk_GivesUp(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := &tableStore{n: 1_000, failures: 100, rowTime: time.Millisecond}
		_, _, err := store.NewBulkReader(s, 0).ReadAll(t.Context(), store.Range{})
		test.ErrorIs(t, err, store.ErrRefused)
	})
}
