package daemon

import (
	"context"
	"errors"
	"fmt"
	"maps"
	"net"
	"net/http"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/apex/log"
	"github.com/oklog/run"

	"bamboowood/internal/ingress"
)

// Times of a shutdown, each as what then remains of the grace period.
const (
	// answerMargin is when the contexts of requests in flight end, so that these are answered before
	// closeMargin.
	answerMargin = 1800 * time.Millisecond
	// closeMargin is when connections that still carry a request are closed.
	closeMargin = 1500 * time.Millisecond
	// exitMargin is when the process exits although some of its actors have not returned.
	exitMargin = 500 * time.Millisecond
)

const (
	// shutdownAttempt bounds one call of http.Server.Shutdown, which checks the connections at
	// intervals that grow during the call.
	shutdownAttempt = 60 * time.Millisecond
	// reportedWait is the least wait for an actor that the log tells of.
	reportedWait = time.Millisecond
)

var errOverdue = errors.New("shutdown did not end within the grace period")

// actors are the servers and loops of a process. They run until the first of them returns or the
// context of run ends. Then the servers shut down, all at once, and the loops end after them. All of
// that has one deadline, the end of the grace period.
type actors struct {
	logger log.Interface
	report *ingress.Report
	grace  time.Duration
	// servers are added by serve, loops by add, before run.
	servers []*server
	loops   []loop
	// requests is the context of all requests. It ends answerMargin before the end of the grace
	// period.
	requests    context.Context
	endRequests context.CancelFunc
	// overdue is closed exitMargin before the end of the grace period.
	overdue chan struct{}

	mu sync.Mutex
	// shutdownAt is when the shutdown began; zero before.
	shutdownAt time.Time
	// interruptedAt is when each running actor was interrupted, zero before.
	interruptedAt map[string]time.Time
	// waits tells how long the actors took to return, in the order in which they did.
	waits []string
}

type server struct {
	http.Server
	name     string
	listener net.Listener
	requests atomic.Int64  // in flight
	closed   chan struct{} // closed when all connections are
}

type loop struct {
	name string
	run  func(ctx context.Context) error
}

func newActors(logger log.Interface, grace time.Duration) *actors {
	a := &actors{logger: logger, report: ingress.NewReport(logger), grace: grace, overdue: make(chan struct{}), interruptedAt: map[string]time.Time{}}
	a.requests, a.endRequests = context.WithCancel(context.Background())
	return a
}

// add adds a loop, which returns when its context ends. The name is unique.
func (a *actors) add(name string, run func(ctx context.Context) error) {
	a.loops = append(a.loops, loop{name, run})
}

// serve adds an HTTP server that listens at address, with at most maxConns connections. The name is
// unique.
func (a *actors) serve(name, address string, maxConns int, handler http.Handler) error {
	ln, err := net.Listen("tcp", address)
	if err != nil {
		return fmt.Errorf("listen: %w", err)
	}
	a.serveOn(ln, name, maxConns, handler)
	return nil
}

// serveWhenFree is like serve, but the address may be in use at first.
func (a *actors) serveWhenFree(name, address string, maxConns int, handler http.Handler) error {
	ln, err := newRetryListener(address, a.logger.WithField("server", name))
	if err != nil {
		return fmt.Errorf("listen: %w", err)
	}
	a.serveOn(ln, name, maxConns, handler)
	return nil
}

func (a *actors) serveOn(ln net.Listener, name string, maxConns int, handler http.Handler) {
	s := &server{name: name, listener: ingress.Listen(ln, name, maxConns, a.report), closed: make(chan struct{})}
	s.ReadHeaderTimeout, s.IdleTimeout = headerTimeout, idleTimeout
	s.BaseContext = func(net.Listener) context.Context { return a.requests }
	s.Handler = http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		s.requests.Add(1)
		defer s.requests.Add(-1)
		handler.ServeHTTP(w, r)
	})
	ingress.Configure(&s.Server)
	a.servers = append(a.servers, s)
}

// beginShutdown starts the grace period, unless it has started already.
func (a *actors) beginShutdown() {
	a.mu.Lock()
	defer a.mu.Unlock()
	if !a.shutdownAt.IsZero() {
		return
	}
	a.shutdownAt = time.Now()
	time.AfterFunc(a.grace-answerMargin, a.endRequests)
	time.AfterFunc(a.grace-exitMargin, func() { close(a.overdue) })
}

// run runs the actors until one of them returns or ctx ends, and shuts them down. It returns the
// error of the actor that returned first, or errOverdue if some have not returned exitMargin before
// the end of the grace period.
func (a *actors) run(ctx context.Context) error {
	// Actors are interrupted in the order in which they are added: requests in flight need the loops.
	var g run.Group
	for _, s := range a.servers {
		a.addTo(&g, s.name, s.run, func() {})
	}
	serversClosed := make(chan struct{})
	g.Add(func() error { <-serversClosed; return nil }, func(error) {
		defer close(serversClosed)
		a.beginShutdown()
		a.shutdownServers()
	})
	for _, l := range a.loops {
		loopCtx, cancel := context.WithCancel(context.Background())
		a.addTo(&g, l.name, func() error {
			err := l.run(loopCtx)
			if errors.Is(err, context.Canceled) && loopCtx.Err() != nil {
				return nil
			}
			return err
		}, cancel)
	}
	addStopSignal(&g, ctx)
	done := make(chan error, 1)
	go func() { done <- g.Run() }()
	select {
	case err := <-done:
		a.logEnd()
		return err
	case <-a.overdue:
		return a.abandon()
	}
}

// addTo adds an actor to a group and records how long it takes to return once it is interrupted.
func (a *actors) addTo(g *run.Group, name string, execute func() error, interrupt func()) {
	a.interruptedAt[name] = time.Time{}
	g.Add(func() error {
		defer a.returned(name)
		return execute()
	}, func(error) {
		a.interrupted(name)
		interrupt()
	})
}

func (a *actors) interrupted(name string) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if _, running := a.interruptedAt[name]; running {
		a.interruptedAt[name] = time.Now()
	}
}

func (a *actors) returned(name string) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if at := a.interruptedAt[name]; !at.IsZero() && time.Since(at) >= reportedWait {
		a.waits = append(a.waits, fmt.Sprintf("%s %d ms", name, time.Since(at).Milliseconds()))
	}
	delete(a.interruptedAt, name)
}

func (s *server) run() error {
	err := s.Serve(s.listener)
	if errors.Is(err, http.ErrServerClosed) {
		<-s.closed
		return nil
	}
	return fmt.Errorf("serve %s: %w", s.listener.Addr(), err)
}

// shutdownServers accepts no further connections and waits until no server has a request in flight,
// or closeMargin remains of the grace period. Then it closes the connections that are left.
func (a *actors) shutdownServers() {
	a.mu.Lock()
	deadline := a.shutdownAt.Add(a.grace - closeMargin)
	a.mu.Unlock()
	ctx, cancel := context.WithDeadline(context.Background(), deadline)
	defer cancel()
	var wg sync.WaitGroup
	for _, s := range a.servers {
		wg.Go(func() {
			defer close(s.closed)
			if !s.shutdown(ctx) {
				a.logger.WithFields(log.Fields{
					"server": s.name, "requests": s.requests.Load(),
				}).Warn("connections closed at the end of the grace period")
				_ = s.Close()
			}
		})
	}
	wg.Wait()
}

// shutdown reports whether all connections have been closed, none with a request in flight.
func (s *server) shutdown(ctx context.Context) bool {
	for {
		attempt, cancel := context.WithTimeout(ctx, shutdownAttempt)
		err := s.Shutdown(attempt)
		cancel()
		if !errors.Is(err, context.DeadlineExceeded) {
			return true
		}
		if ctx.Err() != nil {
			return false
		}
	}
}

// logEnd logs how long the shutdown took, and for which actors it waited.
func (a *actors) logEnd() {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.logger.WithFields(log.Fields{
		"took_ms": time.Since(a.shutdownAt).Milliseconds(), "waited_for": strings.Join(a.waits, ", "),
	}).Info("shutdown finished")
}

// abandon logs which actors have not returned.
func (a *actors) abandon() error {
	a.mu.Lock()
	defer a.mu.Unlock()
	running := slices.Sorted(maps.Keys(a.interruptedAt))
	a.logger.WithFields(log.Fields{
		"took_ms": time.Since(a.shutdownAt).Milliseconds(), "waited_for": strings.Join(a.waits, ", "),
		"running": strings.Join(running, ", "),
	}).Error("shutdown overdue; exiting")
	return fmt.Errorf("%w: %s", errOverdue, strings.Join(running, ", "))
}
