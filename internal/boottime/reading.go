package boottime

import (
	"os"
	"strings"
	"time"
)

// Reading identifies a boot of a machine by what its kernel and its clocks said at a moment.
type Reading struct {
	// Machine names the machine. It is not empty, and another machine that may get its address has
	// another name.
	Machine string
	// BootID is the kernel's random id of the boot; empty if unknown.
	BootID string
	// Clock is the time since the boot.
	Clock time.Duration
	// Reference is another machine's steady clock at that moment; 0 if unknown.
	Reference time.Duration
}

// maxDrift bounds by how much Clock gains on Reference, relative to the time that has passed.
const maxDrift = 0.04

// maxRounding bounds the errors of both clocks beside their drift.
const maxRounding = 10 * time.Millisecond

// Evidence is what two readings say about whether the machine has booted between them.
type Evidence string

// Kinds of evidence. Only OtherBootID, ClockWentBack and ClockAhead show a boot.
const (
	NoEvidence    Evidence = "none"
	OtherMachine  Evidence = "other-machine"
	OtherBootID   Evidence = "other-boot-id"
	ClockWentBack Evidence = "clock-went-back"
	ClockAhead    Evidence = "clock-ahead-of-reference"
)

// Booted reports whether it is certain that the machine has booted between the two readings.
func (e Evidence) Booted() bool { return e == OtherBootID || e == ClockWentBack || e == ClockAhead }

// EvidenceSince compares a reading with an earlier one. Within a boot the id stays, and the clock neither
// goes back nor gains on the reference. A clock that falls behind the reference proves nothing, since the
// machine may have been suspended together with its processes, and neither does a reading of another machine.
func (r Reading) EvidenceSince(earlier Reading) Evidence {
	if r.Machine != earlier.Machine {
		return OtherMachine
	}
	if r.BootID != "" && earlier.BootID != "" && r.BootID != earlier.BootID {
		return OtherBootID
	}
	if r.Clock < earlier.Clock {
		return ClockWentBack
	}
	if r.Reference == 0 || earlier.Reference == 0 || r.Reference < earlier.Reference {
		return NoEvidence
	}
	longest := time.Duration(float64(r.Reference-earlier.Reference)*(1+maxDrift)) + maxRounding
	if r.Clock-earlier.Clock > longest {
		return ClockAhead
	}
	return NoEvidence
}

// BootedSince reports whether it is certain that the machine has booted since an earlier reading.
func (r Reading) BootedSince(earlier Reading) bool { return r.EvidenceSince(earlier).Booted() }

// BootID returns the kernel's random id of this boot; "" if it names none.
func BootID() string { return readID("/proc/sys/kernel/random/boot_id") }

// MachineID returns the id of the installed system; "" if it has none.
func MachineID() string { return readID("/etc/machine-id") }

func readID(path string) string {
	id, err := os.ReadFile(path)
	if err != nil {
		return ""
	}
	return strings.TrimSpace(string(id))
}
