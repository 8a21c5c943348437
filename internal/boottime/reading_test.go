package boottime

import (
	"testing"
	"time"

	"github.com/shoenig/test"
)

// Guards against taking a machine for newly booted whose processes may be alive, and against the
// reverse.
func TestReading_BootedSince(t *testing.T) {
	earlier := Reading{Machine: "vm", BootID: "a", Clock: time.Hour, Reference: time.Minute}
	for name, c := range map[string]struct {
		later  Reading
		booted bool
	}{
		"same moment":               {earlier, false},
		"later":                     {Reading{"vm", "a", time.Hour + time.Minute, 2 * time.Minute}, false},
		"clock fast within bounds":  {Reading{"vm", "a", time.Hour + 62*time.Second, 2 * time.Minute}, false},
		"clock slow":                {Reading{"vm", "a", time.Hour + 50*time.Second, 2 * time.Minute}, false},
		"suspended":                 {Reading{"vm", "a", time.Hour + time.Second, 2 * time.Minute}, false},
		"unknown id":                {Reading{"vm", "", time.Hour + time.Minute, 2 * time.Minute}, false},
		"unknown reference":         {Reading{"vm", "a", 9 * time.Hour, 0}, false},
		"reference went back":       {Reading{"vm", "a", 9 * time.Hour, time.Second}, false},
		"another machine":           {Reading{"another", "b", time.Second, 2 * time.Minute}, false},
		"another id":                {Reading{"vm", "b", time.Hour + time.Minute, 2 * time.Minute}, true},
		"clock went back":           {Reading{"vm", "a", time.Hour - time.Millisecond, 2 * time.Minute}, true},
		"clock ahead of reference":  {Reading{"vm", "a", 2 * time.Hour, 2 * time.Minute}, true},
		"clock went back, no id":    {Reading{"vm", "", time.Second, 2 * time.Minute}, true},
		"ahead, no id":              {Reading{"vm", "", 2 * time.Hour, 2 * time.Minute}, true},
		"clock went back, no clock": {Reading{"vm", "a", time.Second, 0}, true},
	} {
		test.Eq(t, c.booted, c.later.BootedSince(earlier), test.Sprint(name))
	}
}
