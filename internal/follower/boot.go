package follower

import (
	"github.com/apex/log"

	"bamboowood/internal/boottime"
	"bamboowood/internal/supervisor"
)

// bootClaim returns what the registration of a boot shows, given whether the process is the first in its boot.
func bootClaim(first bool, e boottime.Evidence) supervisor.BootClaim {
	switch {
	case !first:
		return supervisor.LaterInBoot
	case e == boottime.ClockWentBack || e == boottime.ClockAhead:
		return supervisor.FirstByClock
	}
	return supervisor.FirstInBoot
}

// logBoot logs a registration of the boot, with the readings from which it was derived.
func (f *Follower) logBoot(first bool) {
	b := f.opts.Boot.Basis()
	f.opts.Logger.WithFields(log.Fields{
		"first": first, "evidence": string(b.Evidence), "boot_id": b.Now.BootID, "earlier_boot_id": b.Earlier.BootID,
		"clock_ms": b.Now.Clock.Milliseconds(), "earlier_clock_ms": b.Earlier.Clock.Milliseconds(),
		"store_ms": b.Now.Reference.Milliseconds(), "earlier_store_ms": b.Earlier.Reference.Milliseconds(),
		"time_of_day_ms": b.Now.TimeOfDay.Milliseconds(), "earlier_time_of_day_ms": b.Earlier.TimeOfDay.Milliseconds(),
		"private_clock": b.Now.PrivateClock,
	}).Info("boot of the VM registered")
}
