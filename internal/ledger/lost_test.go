package ledger

import (
	"testing"
	"time"

	"github.com/shoenig/test"
	"github.com/shoenig/test/must"
	"pgregory.net/rapid"
)

// Guards against a record that is read back shorter than it was written.
func TestLost_RoundTrip(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		at := time.Duration(rapid.Int64Range(int64(time.Millisecond), maxClockMillis*int64(time.Millisecond)/2).Draw(t, "at"))
		want := Lost{At: at, Until: at + time.Duration(rapid.Int64Range(0, int64(maxLost)-int64(2*time.Millisecond)).Draw(t, "left"))}
		want.Process = rapid.StringMatching("[0-9a-f/]*").Draw(t, "process")
		want.Since = rapid.Int64Min(0).Draw(t, "since")
		address, got := decodeRegistration(encodeLost("10.0.0.1:80", want))
		must.Eq(t, "10.0.0.1:80", address)
		must.GreaterEq(t, want.Until, got.Until)
		must.LessEq(t, want.At, got.At)
		must.Eq(t, want.Process, got.Process)
		must.Eq(t, want.Since, got.Since)
	})
}

// Guards against a row of another writer that shortens the wait for an agent, and against an earlier version of
// the program, which takes the value for an address, that reaches an agent recorded as lost.
func TestLost_Malformed(t *testing.T) {
	for _, value := range []string{
		"10.0.0.1:80 ", "10.0.0.1:80 lost-until-ms=5", "10.0.0.1:80 lost-until-ms=5 at-ms=9", "10.0.0.1:80 lost-until-ms=5 at-ms=0",
		"10.0.0.1:80 lost-until-ms=99999999 at-ms=1", "10.0.0.1:80 lost-until-ms=-5 at-ms=-9", "odd lost-until-ms=5 at-ms=4",
		"10.0.0.1:80 at-ms=4 lost-until-ms=5", "10.0.0.1:80 lost-until-ms=9999999999999999999 at-ms=4", "10.0.0.1:80 lost-until-ms=5 at-ms=4 ",
		"10.0.0.1:80 lost-until-ms=5 at-ms=4 leader=p", "10.0.0.1:80 lost-until-ms=5 at-ms=4 p since-ver=1",
		"10.0.0.1:80 lost-until-ms=5 at-ms=4 leader=p since-ver=-1", "10.0.0.1:80 lost-until-ms=5 at-ms=4 since-ver=1 leader=p",
		"10.0.0.1:80 lost-until-ms=5 at-ms=9 leader=p since-ver=1",
	} {
		address, lost := decodeRegistration([]byte(value))
		test.Eq(t, "", address, test.Sprint(value))
		test.Eq(t, Lost{}, lost, test.Sprint(value))
	}
	_, lost := decodeRegistration([]byte("10.0.0.1:80 lost-until-ms=5 at-ms=4"))
	test.Eq(t, Lost{Until: 5 * time.Millisecond, At: 4 * time.Millisecond}, lost, test.Sprint("earlier version"))
	test.Eq(t, "", usableAddress(encodeLost("10.0.0.1:80", Lost{At: time.Second, Until: 2 * time.Second})))
}
