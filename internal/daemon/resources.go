package daemon

import (
	"cmp"
	"runtime/debug"
	"time"

	"github.com/apex/log"

	"bamboowood/internal/ingress"
	"bamboowood/internal/settings"
)

// resources are what the listeners of one standalone process share.
type resources struct {
	// memory of the process in bytes; 0 if unknown.
	memory int64
	limits ingress.Limits
	// bodies is the one account of what the clients of all HTTP listeners have sent.
	bodies *ingress.Gate
	report *ingress.Report
}

// resourceOptions configure newResources.
type resourceOptions struct {
	settings.Limits
	// maxMemory bounds the memory that the environment sets; 0 means no bound.
	maxMemory int64
	// bodyTimeout bounds the time in which a body must be complete; 0 means no bound besides progress.
	bodyTimeout time.Duration
}

func newResources(opts resourceOptions, logger log.Interface) *resources {
	memory, descriptors := ingress.Machine(opts.MemoryMB*bytesPerMB, opts.MaxDescriptors)
	if opts.maxMemory > 0 && opts.MemoryMB == 0 {
		memory = min(cmp.Or(memory, opts.maxMemory), opts.maxMemory)
	}
	limits := ingress.NewLimits(memory, descriptors)
	report := ingress.NewReport(logger)
	return &resources{
		memory: memory, limits: limits, report: report,
		bodies: ingress.NewGate(limits.Bodies, opts.bodyTimeout, report),
	}
}

// limitHeap sets the soft limit of the heap of a process that has these resources for itself.
func (r *resources) limitHeap() {
	if r.memory > 0 {
		debug.SetMemoryLimit(heapLimit(r.memory))
	}
}
