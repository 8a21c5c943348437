package daemon

import (
	"context"
	"fmt"
	"os"
	"path/filepath"
	"time"

	"github.com/apex/log"
	"github.com/oklog/run"

	"bamboowood/internal/operators"
	"bamboowood/internal/settings"
)

// Parameters of dev: two VMs in each availability zone.
const (
	devVMs        = 8
	devVMsPerRack = 2
	devToken      = "dev"
	anyPort       = "127.0.0.1:0"
)

// devLease is shorter than in production, so that recovery can be observed quickly.
const devLease = 10 * time.Second

// DevOptions configures NewDev. Callers and Operators are listen addresses.
type DevOptions struct {
	Callers, Operators string
	Deployment         Deployment
	Log                log.Interface
}

// devMemory bounds the memory of dev, in bytes, if its environment allows more.
const devMemory = 256 << 20

// Dev is a whole deployment in one process on loopback.
type Dev struct {
	shared  *resources
	standin *Standin
	entry   *Entry
	agents  []*Agent
	log     log.Interface
}

// NewDev builds the stand-in, the entry and the agents, and opens all listeners.
func NewDev(opts DevOptions) (*Dev, error) {
	d := opts.Deployment
	d.VMs, d.VMsPerRack = devVMs, devVMsPerRack
	shared := newResources(resourceOptions{
		maxMemory: devMemory, bodyTimeout: settings.DefaultEntry().Callers.ReadTimeout.Value(),
	}, opts.Log)
	shared.limits = shared.limits.Halve() // of the entry, and of the stand-ins
	dev := &Dev{log: opts.Log, shared: shared}
	var err error
	if dev.standin, err = newStandin(devStandin(d), opts.Log, shared); err != nil {
		return nil, err
	}
	if dev.entry, err = devEntry(d, opts, dev.standin.Addr, shared); err != nil {
		return nil, err
	}
	for _, p := range d.vmLocations() {
		a, err := NewAgent(devAgent(d, p, dev), "", opts.Log)
		if err != nil {
			return nil, err
		}
		dev.agents = append(dev.agents, a)
	}
	return dev, nil
}

func devStandin(d Deployment) settings.Standin {
	s := settings.DefaultStandin()
	s.Listen = anyPort
	for _, p := range d.vmLocations() {
		s.VMs = append(s.VMs, settings.StandinVM{VM: p.vm, Worker: anyPort, Runner: anyPort, Capacity: d.Capacity})
	}
	return s
}

func devEntry(d Deployment, opts DevOptions, platformAddr string, shared *resources) (*Entry, error) {
	cfg := settings.DefaultEntry()
	cfg.Name, cfg.Zone = "entry-1", d.Zones[0]
	cfg.Callers.Listen, cfg.Operators.Listen, cfg.Agents.Listen = opts.Callers, opts.Operators, anyPort
	cfg.Platform.Table = "http://" + platformAddr
	cfg.Platform.Objects = cfg.Platform.Table
	cfg.Bootstrap = d.bootstrap()
	cfg.LeaseDuration = settings.Duration(devLease)
	tokens := []operators.Token{{Name: "dev", Secret: devToken, Role: operators.RoleOperate}}
	return newEntry(cfg, "", opts.Log, tokens, shared)
}

func devAgent(d Deployment, p vmLocation, dev *Dev) settings.Agent {
	a := settings.DefaultAgent()
	a.VM, a.Zone, a.Rack = p.vm, p.zone, p.rack
	a.Entries = []string{dev.entry.AgentsAddr()}
	a.Upstream.URL = "http://" + dev.standin.Runners[p.vm]
	a.Upstream.Services = d.serviceNames()
	a.Worker = "http://" + dev.standin.Workers[p.vm]
	a.Platform.Table = "http://" + dev.standin.Addr
	a.Platform.Objects = a.Platform.Table
	a.Capacity, a.ServiceReserve = d.Capacity, d.ServiceReserve
	a.LeaseDuration = settings.Duration(devLease)
	return a
}

// LimitProcess sets the soft memory limit of a process that runs only this deployment.
func (d *Dev) LimitProcess() { d.shared.limitHeap() }

// CallersAddr returns the address of the callers' listener.
func (d *Dev) CallersAddr() string { return d.entry.CallersAddr() }

// OperatorsAddr returns the address of the operators' listener.
func (d *Dev) OperatorsAddr() string { return d.entry.OperatorsAddr() }

// Run serves until ctx ends, then stops gracefully: first the agents and the entry, then the
// stand-in of the platform.
func (d *Dev) Run(ctx context.Context) error {
	var g run.Group
	addStopSignal(&g, ctx)
	parts := []func(context.Context) error{d.entry.Run}
	for _, a := range d.agents {
		parts = append(parts, a.Run)
	}
	addStage(&g, parts)
	addStage(&g, []func(context.Context) error{d.standin.Run})
	return g.Run()
}

// addStage adds an actor that runs parts and stops them together. The group's next actor is
// stopped only after all parts have ended.
func addStage(g *run.Group, parts []func(context.Context) error) {
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	g.Add(func() error {
		defer close(done)
		var inner run.Group
		for _, part := range parts {
			partCtx, stop := context.WithCancel(ctx)
			inner.Add(func() error { return part(partCtx) }, func(error) { stop() })
		}
		return inner.Run()
	}, func(error) {
		cancel()
		<-done
	})
}

// WriteExample writes the example settings of a deployment to dir.
func WriteExample(d Deployment, dir string) error {
	files, err := ExampleFiles(d)
	if err != nil {
		return err
	}
	if err := os.MkdirAll(dir, 0o755); err != nil {
		return fmt.Errorf("example: %w", err)
	}
	for name, data := range files {
		if err := os.WriteFile(filepath.Join(dir, name), data, 0o644); err != nil {
			return fmt.Errorf("example: %w", err)
		}
	}
	return nil
}
