// Package control keeps the newest configuration that a node has seen and
// merges those it receives. A node's version never goes back.
package control

import (
	"sync/atomic"

	"bamboowood/internal/structs"
)

// Holder keeps the newest structs.Config. Reads take no lock.
type Holder struct {
	current atomic.Pointer[structs.Config]
}

// NewHolder returns a Holder at version 0 with an empty configuration.
func NewHolder() *Holder {
	h := &Holder{}
	h.current.Store(&structs.Config{
		Services: map[string]structs.Service{}, Zones: map[string]structs.Zone{}, Teams: map[string]structs.Team{},
	})
	return h
}

// Load returns the newest configuration; the caller must not change it.
func (h *Holder) Load() *structs.Config { return h.current.Load() }

// Version returns the version in force.
func (h *Holder) Version() int64 { return h.Load().Version }

// Merge takes config if its version is above the one in force and reports
// whether it did. The caller must not change config afterwards.
func (h *Holder) Merge(config *structs.Config) bool {
	for {
		old := h.current.Load()
		if config.Version <= old.Version {
			return false
		}
		if h.current.CompareAndSwap(old, config) {
			return true
		}
	}
}

// ZoneActive reports whether tasks and requests may go to the zone. A zone that no
// row names is in.
func ZoneActive(config *structs.Config, zone string) bool {
	z, ok := config.Zones[zone]
	return !ok || z.State != structs.ZoneDrained
}
