package ledger_test

import (
	"strings"
	"testing"
	"time"

	"github.com/shoenig/test"
	"github.com/shoenig/test/must"

	"bamboowood/internal/boottime"
	"bamboowood/platform/platformtest"
)

// vm returns a machine with a boot clock.
func vm(name, bootID string, clock func() time.Duration) boottime.Machine {
	return boottime.Machine{Name: name, BootID: bootID, Clock: clock, TimeOfDay: func() time.Duration { return time.Duration(time.Now().UnixNano()) }}
}

// clockFrom returns a boot clock that shows d now.
func clockFrom(d time.Duration) func() time.Duration {
	origin := time.Now().Add(-d)
	return func() time.Duration { return time.Since(origin) }
}

// Guards against taking an agent process for the first in a boot of its VM after another one has
// registered in that boot, and against waiting for runs that ended with the VM's power.
func TestBootRegistration_First(t *testing.T) {
	l, _ := newLedger(t)
	register := func(bootID string, clock func() time.Duration) bool {
		first, err := l.NewBootRegistration("10.0.0.1", vm("vm", bootID, clock)).Register(t.Context())
		must.NoError(t, err)
		return first
	}
	boot := clockFrom(time.Hour)
	test.True(t, register("a", boot))
	test.False(t, register("a", boot))
	test.False(t, register("a", boot))
	test.True(t, register("a", clockFrom(time.Minute)), test.Sprint("clock began anew"))
	test.True(t, register("a", clockFrom(9*time.Hour)), test.Sprint("clock is ahead of the time that has passed"))
	next := clockFrom(time.Second)
	test.True(t, register("b", next), test.Sprint("another boot id"))
	test.False(t, register("b", next))
}

// Guards against taking a process for the first in its boot on a VM that has got the address of another one,
// whose runs may be alive.
func TestBootRegistration_AnotherVM(t *testing.T) {
	l, _ := newLedger(t)
	for _, machine := range []string{"vm", "another"} {
		first, err := l.NewBootRegistration("10.0.0.1", vm(machine, machine, clockFrom(time.Hour))).Register(t.Context())
		must.NoError(t, err)
		test.Eq(t, machine == "vm", first, test.Sprint(machine))
	}
}

// Guards against taking a process for the first whose predecessor was of a version without boot
// registrations.
func TestBootRegistration_EarlierVersion(t *testing.T) {
	l, _ := newLedger(t)
	must.NoError(t, l.RegisterAgent(t.Context(), "10.0.0.1", "10.0.0.1:1"))
	first, err := l.NewBootRegistration("10.0.0.1", vm("vm", "a", clockFrom(time.Hour))).Register(t.Context())
	must.NoError(t, err)
	test.False(t, first)
}

// Guards against a registration that counts as that of another process because its answer was lost.
func TestBootRegistration_LostAnswer(t *testing.T) {
	l, standin := newLedger(t)
	registration := l.NewBootRegistration("10.0.0.1", vm("vm", "a", clockFrom(time.Hour)))
	standin.SetFault(platformtest.Lost)
	_, err := registration.Register(t.Context())
	must.Error(t, err)
	standin.SetFault(platformtest.None)
	first, err := registration.Register(t.Context())
	must.NoError(t, err)
	test.True(t, first)
}

// Guards against an odd row of another writer that makes a process the first in its boot.
func TestBootRegistration_OddRows(t *testing.T) {
	l, s := newWritableLedger(t)
	for _, value := range []string{
		"", "null", "{}", "[", `"a"`, `{"clock_ms":1e400}`, `{"clock_ms":9e18,"store_ms":1}`, `{"clock_ms":-1}`, `{"clock_ms":"1"}`,
		`{"boot_id":1}`, strings.Repeat("[", 20_000), `{"clock_ms":` + strings.Repeat("[", 20_000),
	} {
		writeRow(t, s, "boots", "1", "10.0.0.1", value)
		first, err := l.NewBootRegistration("10.0.0.1", vm("vm", "a", clockFrom(time.Hour))).Register(t.Context())
		must.NoError(t, err)
		test.False(t, first, test.Sprint(value[:min(len(value), 40)]))
	}
}

// Guards against taking an agent process for the first in its boot, so that runs that go on are given up, because
// the clock of the store stood still, is slow or began anew between two processes.
func TestBootRegistration_StoreClockFallsBehind(t *testing.T) {
	for name, storeClock := range map[string]time.Duration{
		"stood still":           100 * time.Millisecond,
		"slow by a tenth":       54*time.Second + 100*time.Millisecond,
		"slow by a twentieth":   57*time.Second + 100*time.Millisecond,
		"began anew long since": 20 * time.Second,
		"began anew just now":   0,
	} {
		l, s := newLedger(t)
		s.SetClock(100 * time.Millisecond)
		s.SetClockRate(0)
		boot, timeOfDay := time.Hour, 1000*time.Hour
		machine := vm("vm", "a", func() time.Duration { return boot })
		machine.TimeOfDay = func() time.Duration { return timeOfDay }
		for process := range 2 {
			first, err := l.NewBootRegistration("10.0.0.1", machine).Register(t.Context())
			must.NoError(t, err)
			test.Eq(t, process == 0, first, test.Sprint(name))
			boot, timeOfDay = boot+time.Minute, timeOfDay+time.Minute
			s.SetClock(storeClock)
		}
	}
}

// Guards against taking an agent process for the first in its boot because of a clock with an offset of its own,
// or by a row of an earlier version that does not tell whether the clock had one.
func TestBootRegistration_PrivateClock(t *testing.T) {
	l, s := newWritableLedger(t)
	machine := vm("vm", "a", clockFrom(time.Hour))
	machine.PrivateClock = true
	first, err := l.NewBootRegistration("10.0.0.1", machine).Register(t.Context())
	must.NoError(t, err)
	test.True(t, first)
	for _, clock := range []time.Duration{time.Minute, 9 * time.Hour} {
		first, err = l.NewBootRegistration("10.0.0.1", vm("vm", "a", clockFrom(clock))).Register(t.Context())
		must.NoError(t, err)
		test.False(t, first, test.Sprint("after a private clock: ", clock))
		writeRow(t, s, "boots", "1", "10.0.0.1", `{"machine":"vm","boot_id":"a","clock_ms":3600000,"store_ms":1}`)
		first, err = l.NewBootRegistration("10.0.0.1", vm("vm", "a", clockFrom(clock))).Register(t.Context())
		must.NoError(t, err)
		test.False(t, first, test.Sprint("after an earlier version: ", clock))
		writeRow(t, s, "boots", "1", "10.0.0.1", `{"machine":"vm","boot_id":"a","clock_ms":3600000,"store_ms":1}`)
	}
}
