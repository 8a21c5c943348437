package boottime

import "time"

// Reading identifies a boot of a machine by what its kernel and its clocks said at a moment.
type Reading struct {
	// Machine names the machine. It is not empty, and another machine that may get its address has
	// another name.
	Machine string
	// BootID is the kernel's random id of the boot, or that of a container; empty if unknown.
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
	// maxDrift bounds by how much clocks gain on each other, relative to the time that has passed.
	maxDrift = 0.04
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

// EvidenceSince compares a reading with an earlier one. Within a boot the clock neither goes back nor is ahead of
// the time that has passed. A clock that falls behind it proves nothing, since the machine may have been suspended
// together with its processes, and neither does a reading of another machine.
//
// The id may stay beyond a boot, where several machines have one kernel, and another id may come without one, with
// a container that is started again. How much time has passed is known only if the reference and the time of day
// agree: each may be wrong by itself.
func (r Reading) EvidenceSince(earlier Reading) Evidence {
	switch {
	case r.Machine != earlier.Machine:
		return OtherMachine
	case r.PrivateClock || earlier.PrivateClock:
		return NoEvidence
	}
	otherID := r.BootID != "" && earlier.BootID != "" && r.BootID != earlier.BootID
	gain := r.Clock - earlier.Clock
	shortest, longest, known := r.passedSince(earlier)
	switch {
	case otherID && (gain < 0 || known && gain < shortest):
		return OtherBootID
	case otherID:
		return NoEvidence
	case gain < 0:
		return ClockWentBack
	case known && gain > longest:
		return ClockAhead
	}
	return NoEvidence
}

// passedSince returns bounds of the time that has passed since an earlier reading. known is false unless the
// reference and the time of day agree on it.
func (r Reading) passedSince(earlier Reading) (shortest, longest time.Duration, known bool) {
	if min(r.Reference, earlier.Reference, r.TimeOfDay, earlier.TimeOfDay) == 0 || r.Reference < earlier.Reference {
		return 0, 0, false
	}
	byReference, byTimeOfDay := r.Reference-earlier.Reference, r.TimeOfDay-earlier.TimeOfDay
	drift := time.Duration(float64(max(byReference, byTimeOfDay)) * maxDrift)
	if (byReference - byTimeOfDay).Abs() > drift+maxClockStep {
		return 0, 0, false
	}
	return min(byReference, byTimeOfDay) - drift - maxClockStep, max(byReference, byTimeOfDay) + drift + maxClockStep, true
}

// BootedSince reports whether it is certain that the machine has booted since an earlier reading.
func (r Reading) BootedSince(earlier Reading) bool { return r.EvidenceSince(earlier).Booted() }
