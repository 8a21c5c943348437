package store

import (
	"testing"
	"time"

	"github.com/shoenig/test"
)

// Guards against an answer without rows that counts as current after a wait that the store has cut short, even at a
// time to come, and against an answer that the store may have cut to a page.
func TestFeedRequest_CurrentAt(t *testing.T) {
	const sent = time.Hour
	for name, c := range map[string]struct {
		wait, took time.Duration
		rows       int
		at         time.Duration
		known      bool
	}{
		"no change in the whole wait": {time.Second, 1010 * time.Millisecond, 0, sent + time.Second, true},
		"no change, at once":          {time.Second, 10 * time.Millisecond, 0, sent, true},
		"no wait":                     {0, 10 * time.Millisecond, 0, sent, true},
		"a change":                    {time.Second, 900 * time.Millisecond, 1, sent, true},
		"a change after the wait":     {time.Second, 1100 * time.Millisecond, 1, sent, true},
		"a page":                      {time.Second, 900 * time.Millisecond, maxPageRows, 0, false},
	} {
		at, known := FeedRequest{Wait: c.wait}.CurrentAt(sent, sent+c.took, c.rows)
		test.Eq(t, c.at, at, test.Sprint(name))
		test.Eq(t, c.known, known, test.Sprint(name))
	}
}
