package daemon

import (
	"cmp"
	"net"
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
	// messages is the account of what the peers of all sessions have sent.
	messages *ingress.Pool
	report   *ingress.Report
}

// resourceOptions configure newResources.
type resourceOptions struct {
	settings.Limits
	// maxMemory bounds the memory that the environment sets; 0 means no bound.
	maxMemory int64
	// maxBodies bounds all bodies in bytes, and maxCallers the connections of callers. They are cut to
	// maxExplicitShare times the default, which applies if they are 0.
	maxBodies  int64
	maxCallers int
	// bodyTimeout bounds the time in which a body must be complete; 0 means no bound besides progress.
	bodyTimeout time.Duration
}

func newResources(opts resourceOptions, logger log.Interface) *resources {
	memory, descriptors := ingress.Machine(opts.MemoryMB*bytesPerMB, opts.MaxDescriptors)
	if opts.maxMemory > 0 && opts.MemoryMB == 0 {
		memory = min(cmp.Or(memory, opts.maxMemory), opts.maxMemory)
	}
	limits := ingress.NewLimits(memory, descriptors)
	limits.Bodies = explicitLimit(logger, "max_bodies_bytes", opts.maxBodies, limits.Bodies)
	limits.Callers = int(explicitLimit(logger, "max_connections", int64(opts.maxCallers), int64(limits.Callers)))
	report := ingress.NewReport(logger)
	return &resources{
		memory: memory, limits: limits, report: report,
		bodies:   ingress.NewGate(limits.Bodies, opts.bodyTimeout, report),
		messages: ingress.NewPool(limits.Messages),
	}
}

// maxExplicitShare bounds a limit of the settings file, as a multiple of its default.
const maxExplicitShare = 2

// explicitLimit returns a limit of the settings file, or its default if it is 0. One that is too large for
// the machine is cut, since a settings file may be moved to a smaller one.
func explicitLimit(logger log.Interface, key string, value, byDefault int64) int64 {
	allowed := maxExplicitShare * byDefault
	if value <= allowed {
		return cmp.Or(value, byDefault)
	}
	logger.WithFields(log.Fields{"key": key, "value": value, "in_force": allowed}).Warn("limit is too large for this machine")
	return allowed
}

// limitHeap sets the soft limit of the heap of a process that has these resources for itself.
func (r *resources) limitHeap() {
	if r.memory > 0 {
		debug.SetMemoryLimit(heapLimit(r.memory))
	}
}

// bounded wraps a listener for probes and metrics.
func (r *resources) bounded(ln net.Listener, name string) net.Listener {
	return ingress.Listen(ln, name, r.limits.Probes, r.report)
}
