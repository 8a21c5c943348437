package ledger

import (
	"testing"
	"time"

	"github.com/shoenig/test"
	"github.com/shoenig/test/must"
	"pgregory.net/rapid"

	"bamboowood/internal/store"
)

// Guards against a renewal that is read back with a shorter time until the end of earlier grants than it was written
// with.
func TestRenewal_RoundTrip(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		sent := time.Duration(rapid.Int64Range(int64(time.Millisecond), maxClockMillis*int64(time.Millisecond)/2).Draw(t, "sent"))
		until := sent + time.Duration(rapid.Int64Range(-int64(sent)+1, int64(time.Minute)).Draw(t, "left"))
		h := HeldTerm{Term: Term{Process: "p/0"}, Clock: func() time.Duration { return sent }, EarlierGrantsUntil: until}
		r := decodeRenewal(store.Row{Value: h.renewal().Value, Version: 5})
		must.Eq(t, "p/0", r.Process)
		must.Eq(t, 5, r.Version)
		must.Positive(t, r.SentAt)
		must.LessEq(t, sent, r.SentAt)
		must.GreaterEq(t, until, r.EarlierGrantsUntil)
	})
}

// Guards against a row of another writer, or of an earlier version of the program, that shortens the wait for
// earlier grants.
func TestRenewal_OddRows(t *testing.T) {
	for _, value := range []string{
		"p/0", "p/0 ", "p/0 confirmed-ms=5", "p/0 sent-ms=5", "p/0 sent-ms=5 earlier-grants-until-ms=", "p/0 sent-ms=5 earlier-grants-until-ms=0",
		"p/0 sent-ms=-5 earlier-grants-until-ms=4", "p/0 sent-ms=9999999999999999999 earlier-grants-until-ms=4",
		"p/0 earlier-grants-until-ms=4 sent-ms=5", "p/0 sent-ms=5 earlier-grants-until-ms=4 ", "p/0  sent-ms=5 earlier-grants-until-ms=4",
	} {
		r := decodeRenewal(store.Row{Value: []byte(value), Version: 5})
		test.Eq(t, Renewal{Version: 5, Process: "p/0"}, r, test.Sprint(value))
	}
	test.Eq(t, Renewal{Version: 5}, decodeRenewal(store.Row{Version: 5}))
}
