// Package boottime is a clock that no one sets and that counts the time in which
// the machine is suspended, as leases need it.
package boottime

import (
	"time"

	"golang.org/x/sys/unix"
)

// Now is the time since the machine started.
func Now() time.Duration {
	var t unix.Timespec
	// CLOCK_BOOTTIME exists on every supported kernel; the call cannot fail.
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &t); err != nil {
		panic("clock_gettime(CLOCK_BOOTTIME): " + err.Error())
	}
	return time.Duration(t.Nano())
}
