// Package control holds the newest configuration that a node has received. Its version,
// the control version, never decreases.
package control

import (
	"sync/atomic"

	"bamboowood/internal/structs"
)

// Holder holds the newest structs.Config. It is safe for concurrent use; reads take
// no lock.
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

// Load returns the newest configuration; the caller must not modify it.
func (h *Holder) Load() *structs.Config { return h.current.Load() }

// Version returns the version of the newest configuration.
func (h *Holder) Version() int64 { return h.Load().Version }

// Merge replaces the held configuration by config if config has a greater version,
// and reports whether it did. The caller must not modify config afterwards.
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

// ZoneActive reports whether tasks and requests may go to the zone. A zone that
// config does not contain is active.
func ZoneActive(config *structs.Config, zone string) bool {
	z, ok := config.Zones[zone]
	return !ok || z.State != structs.ZoneDrained
}
