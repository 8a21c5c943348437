package boottime

import (
	"testing"
	"time"

	"github.com/shoenig/test"
)

// Guards against taking a machine for newly booted whose processes may be alive, and against the
// reverse.
func TestReading_BootedSince(t *testing.T) {
	const day = 24 * time.Hour
	earlier := Reading{Machine: "vm", BootID: "a", Clock: time.Hour, Reference: time.Minute, TimeOfDay: day}
	later := func(clock, reference, timeOfDay time.Duration) Reading {
		return Reading{Machine: "vm", BootID: "a", Clock: time.Hour + clock, Reference: time.Minute + reference, TimeOfDay: day + timeOfDay}
	}
	with := func(r Reading, change func(r *Reading)) Reading {
		change(&r)
		return r
	}
	noID := func(r *Reading) { r.BootID = "" }
	otherID := func(r *Reading) { r.BootID = "b" }
	private := func(r *Reading) { r.PrivateClock = true }
	for name, c := range map[string]struct {
		later  Reading
		booted bool
	}{
		"same moment":                    {earlier, false},
		"later":                          {later(time.Minute, time.Minute, time.Minute), false},
		"clock fast within bounds":       {later(62*time.Second, time.Minute, time.Minute), false},
		"clock slow":                     {later(50*time.Second, time.Minute, time.Minute), false},
		"suspended":                      {later(time.Second, time.Minute, time.Minute), false},
		"unknown id":                     {with(later(time.Minute, time.Minute, time.Minute), noID), false},
		"unknown reference":              {with(later(8*time.Hour, 0, 0), func(r *Reading) { r.Reference = 0 }), false},
		"unknown time of day":            {with(later(8*time.Hour, 0, 0), func(r *Reading) { r.TimeOfDay = 0 }), false},
		"reference went back":            {later(8*time.Hour, -59*time.Second, 0), false},
		"reference stood still":          {later(8*time.Hour, 0, 8*time.Hour), false},
		"reference slow":                 {later(time.Minute, 54*time.Second, time.Minute), false},
		"reference began anew":           {later(8*time.Hour, time.Minute, 8*time.Hour), false},
		"time of day went back":          {later(time.Minute, time.Minute, -time.Second), false},
		"time of day stepped back":       {later(time.Minute, time.Minute, time.Second), false},
		"reference slow, step of 10 s":   {later(time.Minute, 54*time.Second, 50*time.Second), false},
		"reference anew, step of 30 s":   {later(time.Minute, 10*time.Second, 30*time.Second), false},
		"another machine":                {with(later(-time.Hour, time.Minute, time.Minute), func(r *Reading) { r.Machine, r.BootID = "another", "b" }), false},
		"another id":                     {with(later(time.Minute, time.Hour, time.Hour), otherID), true},
		"another id, clock went back":    {with(later(-time.Minute, time.Minute, time.Minute), otherID), true},
		"another id, private clock":      {with(with(later(time.Minute, time.Hour, time.Hour), otherID), private), false},
		"container started again":        {with(later(time.Minute, time.Minute, time.Minute), otherID), false},
		"container, reference ahead":     {with(later(time.Minute, time.Hour, time.Minute), otherID), false},
		"container, time of day ahead":   {with(later(time.Minute, time.Minute, time.Hour), otherID), false},
		"container, unknown reference":   {with(later(time.Minute, 0, time.Hour), func(r *Reading) { r.BootID, r.Reference = "b", 0 }), false},
		"clock went back":                {later(-time.Millisecond, time.Minute, time.Minute), true},
		"clock went back, private":       {with(later(-time.Millisecond, time.Minute, time.Minute), private), false},
		"clock ahead":                    {later(time.Hour, time.Minute, time.Minute), true},
		"clock ahead, private":           {with(later(time.Hour, time.Minute, time.Minute), private), false},
		"clock went back, no id":         {with(later(time.Second-time.Hour, time.Minute, time.Minute), noID), true},
		"ahead, no id":                   {with(later(time.Hour, time.Minute, time.Minute), noID), true},
		"clock went back, no references": {Reading{Machine: "vm", BootID: "a", Clock: time.Second}, true},
	} {
		test.Eq(t, c.booted, c.later.BootedSince(earlier), test.Sprint(name))
	}
}
