package daemon

import (
	"context"
	"errors"
	"fmt"
	"net"
	"net/http"

	"github.com/apex/log"
	"github.com/oklog/run"

	"bamboowood/internal/settings"
	"bamboowood/internal/standin"
)

// Standin is one process with stand-ins for the platform: the table, the object store, and the
// workers and runners of VMs. It is used by tests and dev.
type Standin struct {
	log     log.Interface
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
	s := &Standin{
		log: logger.WithField("role", "standin"), table: standin.NewTable(),
		Workers: map[string]string{}, Runners: map[string]string{},
	}
	objects := standin.NewObjects()
	if cfg.Listen != "" {
		mux := http.NewServeMux()
		mux.Handle("/v1/objects/", standin.ObjectsHandler(objects))
		mux.Handle("/", standin.TableHandler(s.table))
		addr, err := s.open(cfg.Listen, mux)
		if err != nil {
			return nil, err
		}
		s.Addr = addr
	}
	for i, vm := range cfg.VMs {
		worker := standin.NewWorker(standin.WorkerOptions{VM: vm.VM, Objects: objects})
		addr, err := s.open(vm.Worker, standin.WorkerHandler(worker))
		if err != nil {
			return nil, err
		}
		s.Workers[vm.VM] = addr
		runner := standin.NewRunner(standin.RunnerOptions{Mean: cfg.ServiceTime.Value(), Seed: cfg.Seed + uint64(i)})
		if s.Runners[vm.VM], err = s.open(vm.Runner, runner); err != nil {
			return nil, err
		}
	}
	return s, nil
}

func (s *Standin) open(addr string, handler http.Handler) (string, error) {
	ln, err := net.Listen("tcp", addr)
	if err != nil {
		return "", fmt.Errorf("stand-in: %w", err)
	}
	s.servers = append(s.servers, &standinServer{ln, handler})
	return ln.Addr().String(), nil
}

// Run serves until ctx ends.
func (s *Standin) Run(ctx context.Context) error {
	var g run.Group
	addStopSignal(&g, ctx)
	for _, server := range s.servers {
		h := &http.Server{Handler: server.handler, ReadHeaderTimeout: headerTimeout}
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
