package daemon

import (
	"context"
	"errors"
	"fmt"
	"net"
	"net/http"

	"github.com/apex/log"
	"github.com/oklog/run"

	"bamboowood/internal/ingress"
	"bamboowood/internal/platform"
	"bamboowood/internal/settings"
	"bamboowood/internal/standin"
)

// Standin is one process with stand-ins for the platform: the table, the object store, and the
// workers and runners of VMs. It is used by tests and dev.
type Standin struct {
	log     log.Interface
	shared  *resources
	conns   *ingress.ConnLimiter
	table   *standin.Table
	servers []*standinServer
	// Addr is the address of the table and the object store. Workers and Runners hold the
	// addresses by VM.
	Addr             string
	Workers, Runners map[string]string
}

type standinServer struct {
	listener net.Listener
	handler  http.Handler
}

// NewStandin builds the stand-ins and opens their listeners.
func NewStandin(cfg settings.Standin, logger log.Interface) (*Standin, error) {
	return newStandin(cfg, logger, newResources(resourceOptions{Limits: cfg.Limits}, logger))
}

func newStandin(cfg settings.Standin, logger log.Interface, shared *resources) (*Standin, error) {
	s := &Standin{
		log: logger.WithField("role", "standin"), shared: shared,
		conns: ingress.NewConnLimiter(shared.limits.Callers, shared.report),
		table: standin.NewTable(), Workers: map[string]string{}, Runners: map[string]string{},
	}
	objects := standin.NewObjects()
	capacity := standin.NewCapacity(shared.limits.Stored)
	s.table.SetCapacity(capacity)
	objects.SetCapacity(capacity)
	if cfg.Listen != "" {
		mux := http.NewServeMux()
		mux.Handle("/v1/objects/", standin.ObjectsHandler(objects))
		mux.Handle("/", standin.TableHandler(s.table))
		addr, err := s.open(cfg.Listen, "platform", mux)
		if err != nil {
			return nil, err
		}
		s.Addr = addr
	}
	for i, vm := range cfg.VMs {
		worker := standin.NewWorker(standin.WorkerOptions{VM: vm.VM, Objects: objects})
		addr, err := s.open(vm.Worker, "worker", standin.WorkerHandler(worker))
		if err != nil {
			return nil, err
		}
		s.Workers[vm.VM] = addr
		runner := standin.NewRunner(standin.RunnerOptions{Mean: cfg.ServiceTime.Value(), Seed: cfg.Seed + uint64(i)})
		if s.Runners[vm.VM], err = s.open(vm.Runner, "runner", runner); err != nil {
			return nil, err
		}
	}
	return s, nil
}

// LimitProcess sets the soft memory limit of a process that runs only the stand-ins.
func (s *Standin) LimitProcess() { s.shared.limitHeap() }

// standinBodyFactor is the memory of a body of the platform's protocol and of what is decoded from it, per
// byte of the body.
const standinBodyFactor = 24

func (s *Standin) open(addr, name string, handler http.Handler) (string, error) {
	ln, err := net.Listen("tcp", addr)
	if err != nil {
		return "", fmt.Errorf("stand-in: %w", err)
	}
	bounded := s.shared.bodies.Handler(platform.MaxBodyBytes, standinBodyFactor, handler, standin.RefuseBody)
	s.servers = append(s.servers, &standinServer{s.conns.Listen(ln, name), bounded})
	return ln.Addr().String(), nil
}

// Run serves until ctx ends.
func (s *Standin) Run(ctx context.Context) error {
	var g run.Group
	addStopSignal(&g, ctx)
	for _, server := range s.servers {
		h := &http.Server{Handler: server.handler, ReadHeaderTimeout: headerTimeout}
		ingress.Configure(h)
		g.Add(func() error {
			if err := h.Serve(server.listener); !errors.Is(err, http.ErrServerClosed) {
				return err
			}
			return nil
		}, func(error) { _ = h.Close() })
	}
	s.log.WithField("listen", s.Addr).WithField("vms", len(s.Workers)).Info("stand-in ready")
	return g.Run()
}
