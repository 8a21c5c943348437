package daemon

import (
	"fmt"
	"slices"
	"time"

	"bamboowood/internal/settings"
	"bamboowood/internal/structs"
)

// Deployment describes the VMs and the initial configuration of one user.
type Deployment struct {
	Name  string
	Zones []string
	// VMs is the number of VMs. VMsPerRack of them share a rack; a rack belongs to one zone.
	VMs, VMsPerRack int
	Capacity        structs.Resources
	ServiceReserve  structs.Resources
	Services        []settings.Service
	Teams           []settings.Team
	Kinds           []settings.Kind
}

const (
	milliCPUPerCore = 1000
	mbPerGB         = 1024
)

// Deployments are the users' deployments, by name.
var Deployments = map[string]Deployment{
	"paysandu": {
		Name: "paysandu", Zones: []string{"centro", "norte", "puerto", "sur"}, VMs: 11, VMsPerRack: 3,
		Capacity:       structs.Resources{MilliCPU: 64 * milliCPUPerCore, MemoryMB: 250 * mbPerGB, Accelerators: 1},
		ServiceReserve: structs.Resources{MilliCPU: 8 * milliCPUPerCore, MemoryMB: 16 * mbPerGB},
		Services:       []settings.Service{{Name: "glint-check", Wait: settings.Duration(300 * time.Millisecond), Idempotent: true}},
		Teams: []settings.Team{
			{Name: "workshops", Quota: structs.Resources{MilliCPU: 400 * milliCPUPerCore, MemoryMB: 1500 * mbPerGB, Accelerators: 8}},
			{Name: "guild", Quota: structs.Resources{MilliCPU: 100 * milliCPUPerCore, MemoryMB: 400 * mbPerGB, Accelerators: 2}},
		},
		Kinds: []settings.Kind{
			{
				Name: "recalibration", Kind: structs.KindBatch, Team: "workshops",
				Declared: structs.Resources{MilliCPU: 4 * milliCPUPerCore, MemoryMB: 8 * mbPerGB},
				Duration: settings.Duration(20 * time.Minute),
			},
			{
				Name: "lash-watch", Kind: structs.KindWatch, Team: "guild",
				Declared: structs.Resources{MilliCPU: 1 * milliCPUPerCore, MemoryMB: 2 * mbPerGB},
				MaxGap:   settings.Duration(2 * time.Minute),
			},
		},
	},
	"kiatu": {
		Name: "kiatu", Zones: []string{"westlands", "parklands", "ngara", "eastleigh"}, VMs: 11, VMsPerRack: 3,
		Capacity:       structs.Resources{MilliCPU: 16 * milliCPUPerCore, MemoryMB: 60 * mbPerGB},
		ServiceReserve: structs.Resources{MilliCPU: 4 * milliCPUPerCore, MemoryMB: 8 * mbPerGB},
		Services:       []settings.Service{{Name: "tag-check", Wait: settings.Duration(200 * time.Millisecond), Idempotent: true}},
		Teams: []settings.Team{
			{Name: "ledger", Quota: structs.Resources{MilliCPU: 100 * milliCPUPerCore, MemoryMB: 400 * mbPerGB}},
			{Name: "racks", Quota: structs.Resources{MilliCPU: 30 * milliCPUPerCore, MemoryMB: 120 * mbPerGB}},
		},
		Kinds: []settings.Kind{
			{
				Name: "fee-run", Kind: structs.KindBatch, Team: "ledger",
				Declared: structs.Resources{MilliCPU: 2 * milliCPUPerCore, MemoryMB: 4 * mbPerGB},
				Duration: settings.Duration(30 * time.Minute),
			},
			{
				Name: "stock-watch", Kind: structs.KindWatch, Team: "racks",
				Declared: structs.Resources{MilliCPU: 500, MemoryMB: mbPerGB},
				MaxGap:   settings.Duration(2 * time.Minute),
			},
		},
	},
}

// FindDeployment returns the deployment of the given name.
func FindDeployment(name string) (Deployment, error) {
	d, ok := Deployments[name]
	if !ok {
		return d, fmt.Errorf("unknown deployment %q: want kiatu or paysandu", name)
	}
	return d, nil
}

// vmLocation is a VM with its zone and rack.
type vmLocation struct {
	vm, zone, rack string
}

// vmLocations returns the VMs with their zones and racks.
func (d Deployment) vmLocations() []vmLocation {
	var all []vmLocation
	for i := range d.VMs {
		rack := i / d.VMsPerRack
		zone := d.Zones[rack%len(d.Zones)]
		all = append(all, vmLocation{
			vm:   fmt.Sprintf("%s-w%d", zone, i%d.VMsPerRack+1),
			zone: zone,
			rack: fmt.Sprintf("%s-r%d", zone, rack/len(d.Zones)+1),
		})
	}
	return all
}

// bootstrap returns the initial configuration that an entry creates.
func (d Deployment) bootstrap() settings.Bootstrap {
	return settings.Bootstrap{
		Zones: slices.Clone(d.Zones), Services: d.Services, Teams: d.Teams, Kinds: d.Kinds,
	}
}

// serviceNames returns the names of the services.
func (d Deployment) serviceNames() []string {
	var names []string
	for _, s := range d.Services {
		names = append(names, s.Name)
	}
	return names
}
