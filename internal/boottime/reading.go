package boottime

import "time"

// Reading identifies a boot of a machine by what its kernel and its clocks said at a moment.
type Reading struct {
	// Machine names the machine. It is not empty, and another machine that may get its address has
	// another name.
	Machine string
	// BootID is the kernel's random id of the boot; empty if unknown.
	BootID string
	// Clock is the time since the boot.
	Clock time.Duration
	// PrivateClock is set if Clock may have an offset of this process's own time namespace, or if that is unknown.
	PrivateClock bool
	// Reference is another machine's steady clock at that moment; 0 if unknown. It may have begun anew, stood
	// still or run slowly between two readings.
	Reference time.Duration
	// TimeOfDay is the machine's own, since 1970; 0 if unknown.
	TimeOfDay time.Duration
}

const (
	// maxDrift bounds by how much Clock gains on Reference and TimeOfDay, relative to the time that has passed.
	maxDrift = 0.04
	// maxRounding bounds the errors of Clock and Reference beside their drift.
	maxRounding = 10 * time.Millisecond
	// maxClockStep bounds by how much TimeOfDay is stepped: it may be off by 5 s either way.
	maxClockStep = 10 * time.Second
)

// Evidence is what two readings say about whether the machine has booted between them.
type Evidence string

// Kinds of evidence. Only OtherBootID, ClockWentBack and ClockAhead show a boot.
const (
	NoEvidence    Evidence = "none"
	OtherMachine  Evidence = "other-machine"
	OtherBootID   Evidence = "other-boot-id"
	ClockWentBack Evidence = "clock-went-back"
	ClockAhead    Evidence = "clock-ahead"
)

// Booted reports whether it is certain that the machine has booted between the two readings.
func (e Evidence) Booted() bool { return e == OtherBootID || e == ClockWentBack || e == ClockAhead }

// EvidenceSince compares a reading with an earlier one. Within a boot the id stays, and the clock neither
// goes back nor is ahead of the time that has passed. The id may stay beyond a boot, where several machines
// have one kernel. How much time has passed is known only if the reference and the time of day agree: each may
// have fallen behind by itself. A clock that falls behind them proves nothing, since the machine may have been
// suspended together with its processes, and neither does a reading of another machine.
func (r Reading) EvidenceSince(earlier Reading) Evidence {
	if r.Machine != earlier.Machine {
		return OtherMachine
	}
	if r.BootID != "" && earlier.BootID != "" && r.BootID != earlier.BootID {
		return OtherBootID
	}
	if r.PrivateClock || earlier.PrivateClock {
		return NoEvidence
	}
	gain := r.Clock - earlier.Clock
	switch {
	case gain < 0:
		return ClockWentBack
	case ahead(gain, earlier.Reference, r.Reference, maxRounding) && ahead(gain, earlier.TimeOfDay, r.TimeOfDay, maxClockStep):
		return ClockAhead
	}
	return NoEvidence
}

// ahead reports whether a clock has gained more than the time that has passed by two readings of another one, of
// which 0 means unknown.
func ahead(gain, from, to, maxError time.Duration) bool {
	if from == 0 || to == 0 || to < from {
		return false
	}
	return gain > time.Duration(float64(to-from)*(1+maxDrift))+maxError
}

// BootedSince reports whether it is certain that the machine has booted since an earlier reading.
func (r Reading) BootedSince(earlier Reading) bool { return r.EvidenceSince(earlier).Booted() }
