package daemon

import (
	"fmt"
	"net"
	"net/http"
	"sync/atomic"

	"github.com/apex/log"

	"bamboowood/internal/command"
	"bamboowood/internal/control"
	"bamboowood/internal/dispatch"
	"bamboowood/internal/ingress"
	"bamboowood/internal/link"
	"bamboowood/internal/operators"
	"bamboowood/internal/platform"
	"bamboowood/internal/recovery"
	"bamboowood/internal/scheduler"
	"bamboowood/internal/settings"
)

// platformConns bounds an entry's connections to each platform service.
const platformConns = 32

// Entry is one entry process: the HTTP servers for callers and operators, the sessions with
// agents, and the scheduling loops.
type Entry struct {
	cfg       settings.Entry
	log       log.Interface
	listeners entryListeners
	shared    *resources

	table      platform.Table
	control    *control.Holder
	link       *link.Entry
	dispatcher *dispatch.Dispatcher
	scheduler  *scheduler.Scheduler
	recovery   *recovery.Recovery
	commander  *command.Commander
	config     *configLoop
	peers      *peerLoop

	callers   http.Handler
	operators http.Handler
	draining  atomic.Bool
}

type entryListeners struct {
	callers, operators, agents net.Listener
}

// NewEntry builds an entry and opens its listeners. Relative paths in cfg are resolved against
// the directory of file, the path of the settings file.
func NewEntry(cfg settings.Entry, file string, logger log.Interface) (*Entry, error) {
	tokens, err := readTokens(cfg.Operators.Tokens, file)
	if err != nil {
		return nil, err
	}
	shared := newResources(resourceOptions{
		Limits: cfg.Limits, maxBodies: cfg.Callers.MaxBodiesBytes, maxCallers: cfg.Callers.MaxConnections,
		bodyTimeout: cfg.Callers.ReadTimeout.Value(),
	}, logger)
	return newEntry(cfg, file, logger, tokens, shared)
}

func newEntry(
	cfg settings.Entry, file string, logger log.Interface, tokens []operators.Token, shared *resources,
) (*Entry, error) {
	listeners, err := openListeners(cfg, file, shared)
	if err != nil {
		return nil, err
	}
	e := &Entry{cfg: cfg, log: logger.WithField("entry", cfg.Name), listeners: listeners, shared: shared}
	e.connect(tokens)
	return e, nil
}

func readTokens(tokens []settings.Token, file string) ([]operators.Token, error) {
	var result []operators.Token
	for _, t := range tokens {
		secret, err := settings.ReadSecret(file, t.SecretFile)
		if err != nil {
			return nil, fmt.Errorf("token %s: %w", t.Name, err)
		}
		result = append(result, operators.Token{Name: t.Name, Secret: secret, Role: operators.Role(t.Role)})
	}
	return result, nil
}

func openListeners(cfg settings.Entry, file string, shared *resources) (l entryListeners, err error) {
	if l.callers, err = listen(cfg.Callers.Listen, cfg.Callers.TLS, file); err != nil {
		return l, fmt.Errorf("callers: %w", err)
	}
	l.callers = ingress.Listen(l.callers, "callers", shared.limits.Callers, shared.report).
		WithWriteTimeout(cfg.Callers.WriteTimeout.Value())
	if l.operators, err = listen(cfg.Operators.Listen, cfg.Operators.TLS, file); err != nil {
		return l, fmt.Errorf("operators: %w", err)
	}
	l.operators = shared.bounded(l.operators, "operators")
	if l.agents, err = listen(cfg.Agents.Listen, cfg.Agents.TLS, file); err != nil {
		return l, fmt.Errorf("agents: %w", err)
	}
	// The sessions set the deadlines of their writes.
	l.agents = ingress.Listen(l.agents, "agents", shared.limits.Agents, shared.report).WithWriteTimeout(0)
	return l, nil
}

// LimitProcess sets the soft memory limit of a process that runs only this entry.
func (e *Entry) LimitProcess() { e.shared.limitHeap() }

// AgentsAddr returns the address that agents dial.
func (e *Entry) AgentsAddr() string {
	if e.cfg.Agents.Advertise != "" {
		return e.cfg.Agents.Advertise
	}
	return e.listeners.agents.Addr().String()
}

// CallersAddr returns the address of the callers' listener.
func (e *Entry) CallersAddr() string { return e.listeners.callers.Addr().String() }

// OperatorsAddr returns the address of the operators' listener.
func (e *Entry) OperatorsAddr() string { return e.listeners.operators.Addr().String() }
