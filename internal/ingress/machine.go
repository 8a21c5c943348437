package ingress

import (
	"math"
	"runtime/debug"
	"syscall"

	"github.com/KimMachineGun/automemlimit/memlimit"
)

// Machine returns the memory in bytes and the number of descriptors that this process may use. They are
// the arguments, unless one is 0. The memory is then GOMEMLIMIT, or else the limit of the control group,
// or else the machine's memory; the descriptors are the limit of open files. A result is 0 if it cannot be
// determined. Machine must be called before the process sets its own soft limit of memory.
func Machine(memory int64, descriptors int) (int64, int) {
	if memory <= 0 {
		memory = environmentMemory()
	}
	if descriptors <= 0 {
		descriptors = openFilesLimit()
	}
	return memory, descriptors
}

func environmentMemory() int64 {
	if limit := debug.SetMemoryLimit(-1); limit != math.MaxInt64 {
		return limit
	}
	memory, err := memlimit.ApplyFallback(memlimit.FromCgroup, memlimit.FromSystem)()
	if err != nil || memory > math.MaxInt64 {
		return 0
	}
	if total, err := memlimit.FromSystem(); err == nil {
		memory = min(memory, total)
	}
	return int64(memory)
}

func openFilesLimit() int {
	var limit syscall.Rlimit
	if err := syscall.Getrlimit(syscall.RLIMIT_NOFILE, &limit); err != nil {
		return 0
	}
	return int(min(limit.Cur, math.MaxInt32))
}
