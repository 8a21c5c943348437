// Package boottime provides a monotonic clock that includes the time in which the machine is
// suspended, as leases require.
package boottime

import (
	"time"

	"golang.org/x/sys/unix"
)

// Now returns the time since the machine booted.
func Now() time.Duration {
	var t unix.Timespec
	// CLOCK_BOOTTIME exists on every supported kernel; the call cannot fail.
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &t); err != nil {
		panic("clock_gettime(CLOCK_BOOTTIME): " + err.Error())
	}
	return time.Duration(t.Nano())
}
