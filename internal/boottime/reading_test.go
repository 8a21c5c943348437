package boottime

import (
	"testing"
	"time"

	"github.com/shoenig/test"
)

// Guards against taking a machine for newly booted whose processes may be alive, and against the
// reverse.
func TestReading_BootedSince(t *testing.T) {
	earlier := Reading{BootID: "a", Clock: time.Hour, Reference: time.Minute}
	for name, c := range map[string]struct {
		later  Reading
		booted bool
	}{
		"same moment":               {earlier, false},
		"later":                     {Reading{"a", time.Hour + time.Minute, 2 * time.Minute}, false},
		"clock fast within bounds":  {Reading{"a", time.Hour + 62*time.Second, 2 * time.Minute}, false},
		"clock slow":                {Reading{"a", time.Hour + 50*time.Second, 2 * time.Minute}, false},
		"suspended":                 {Reading{"a", time.Hour + time.Second, 2 * time.Minute}, false},
		"unknown id":                {Reading{"", time.Hour + time.Minute, 2 * time.Minute}, false},
		"unknown reference":         {Reading{"a", 9 * time.Hour, 0}, false},
		"reference went back":       {Reading{"a", 9 * time.Hour, time.Second}, false},
		"another id":                {Reading{"b", time.Hour + time.Minute, 2 * time.Minute}, true},
		"clock went back":           {Reading{"a", time.Hour - time.Millisecond, 2 * time.Minute}, true},
		"clock ahead of reference":  {Reading{"a", 2 * time.Hour, 2 * time.Minute}, true},
		"clock went back, no id":    {Reading{"", time.Second, 2 * time.Minute}, true},
		"ahead, no id":              {Reading{"", 2 * time.Hour, 2 * time.Minute}, true},
		"clock went back, no clock": {Reading{"a", time.Second, 0}, true},
	} {
		test.Eq(t, c.booted, c.later.BootedSince(earlier), test.Sprint(name))
	}
}
