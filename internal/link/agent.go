package link

import (
	"context"
	"errors"
	"fmt"
	"maps"
	"math/rand/v2"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/apex/log"

	"bamboowood/internal/control"
	"bamboowood/internal/exchange"
	"bamboowood/internal/platform"
	"bamboowood/internal/wire"
	"bamboowood/internal/wire/wirepb"
)

// AgentOptions configure an Agent.
type AgentOptions struct {
	// VM, Zone and Rack are the agent's location.
	VM, Zone, Rack string
	// Incarnation increases with every start of the VM's agent.
	Incarnation int64
	// Services are the services of the runner.
	Services []string
	// Seeds are addresses that reach any entry, such as the balancer's.
	Seeds []string
	// Holder holds the configuration in force.
	Holder *control.Holder
	// Server admits and runs requests.
	Server *exchange.Server
	// OnPlacementsChanged is called when an entry reports that the VM's placements have
	// changed. It must not block; nil is allowed.
	OnPlacementsChanged func()
	// LeaseRemaining and RunningTasks are reported in heartbeats; nil is allowed.
	LeaseRemaining func() time.Duration
	RunningTasks   func() int
	// Dial connects to an entry; nil means wire.Dial without TLS.
	Dial func(ctx context.Context, addr string) (wire.Session, error)
}

// Agent maintains a session with every entry. Its methods are safe for concurrent use.
type Agent struct {
	opts    AgentOptions
	leaving atomic.Bool

	mu       sync.Mutex
	targets  map[string]struct{}      // addresses with a running connect loop
	sessions map[*agentSession]string // live sessions to their entries' addresses
	wake     chan struct{}            // wakes discovery when the last session is lost
}

// NewAgent returns an Agent; Run connects it.
func NewAgent(opts AgentOptions) *Agent {
	if opts.OnPlacementsChanged == nil {
		opts.OnPlacementsChanged = func() {}
	}
	if opts.LeaseRemaining == nil {
		opts.LeaseRemaining = func() time.Duration { return 0 }
	}
	if opts.RunningTasks == nil {
		opts.RunningTasks = func() int { return 0 }
	}
	if opts.Dial == nil {
		opts.Dial = func(ctx context.Context, addr string) (wire.Session, error) { return wire.Dial(ctx, addr, nil) }
	}
	return &Agent{
		opts: opts, targets: map[string]struct{}{}, sessions: map[*agentSession]string{},
		wake: make(chan struct{}, 1),
	}
}

// Run maintains the sessions until ctx ends. It then closes them and waits for its
// goroutines. The error is always nil.
func (a *Agent) Run(ctx context.Context) error {
	var wg sync.WaitGroup
	defer wg.Wait()
	var retry backoff
	interval := minDiscoverInterval
	for {
		discovered := 0
		if !a.leaving.Load() {
			discovered = a.discover(ctx, &wg)
		}
		interval = min(2*interval, a.maxDiscoverInterval())
		if discovered > 0 {
			interval = minDiscoverInterval
		}
		delay := jitter(interval)
		if discovered == 0 && !a.connected() {
			interval, delay = minDiscoverInterval, retry.next()
		} else {
			retry.reset()
		}
		select {
		case <-ctx.Done():
			return nil
		case <-time.After(delay):
		case <-a.wake:
			interval = minDiscoverInterval
		}
	}
}

// maxDiscoverInterval returns DiscoverInterval, scaled by the heartbeat interval. Among
// many agents it is enough that one finds a new entry, because the entries send its
// address to all other agents.
func (a *Agent) maxDiscoverInterval() time.Duration {
	longest := HeartbeatInterval
	for _, s := range a.liveSessions() {
		longest = max(longest, s.heartbeatInterval())
	}
	return DiscoverInterval * (longest / HeartbeatInterval)
}

func (a *Agent) connected() bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	return len(a.sessions) > 0
}

// discover requests the entries' addresses from the entry behind a random seed and
// connects to each. It returns the number of new addresses.
func (a *Agent) discover(ctx context.Context, wg *sync.WaitGroup) int {
	if len(a.opts.Seeds) == 0 {
		return 0
	}
	seed := a.opts.Seeds[rand.IntN(len(a.opts.Seeds))]
	addresses, err := a.queryEntries(ctx, seed)
	if err != nil {
		if ctx.Err() == nil {
			log.WithError(err).WithField("seed", seed).Debug("entry discovery failed")
		}
		return 0
	}
	return a.connectAll(ctx, wg, addresses)
}

// queryEntries returns the addresses that the entry behind seed lists. An entry without
// an address of its own is reached at the seed's.
func (a *Agent) queryEntries(ctx context.Context, seed string) ([]string, error) {
	queryCtx, cancel := context.WithTimeout(ctx, handshakeTimeout)
	defer cancel()
	session, err := a.dial(queryCtx, seed)
	if err != nil {
		return nil, err
	}
	defer session.Close()
	announce := a.announce()
	announce.Discover = true
	stream, err := openControl(queryCtx, session, announce)
	if err != nil {
		return nil, err
	}
	defer stream.Close()
	_ = stream.SetDeadline(time.Now().Add(handshakeTimeout))
	beat := &wirepb.EntryBeat{}
	if err := stream.Recv(beat); err != nil {
		return nil, fmt.Errorf("discover: %w", err)
	}
	addresses := beat.GetEntries()
	if beat.GetSelf() == "" {
		addresses = append(addresses, seed)
	}
	return addresses, nil
}

func (a *Agent) dial(ctx context.Context, addr string) (wire.Session, error) {
	dials.Inc()
	session, err := a.opts.Dial(ctx, addr)
	if err != nil {
		dialErrors.Inc()
	}
	return session, err
}

func (a *Agent) announce() *wirepb.Announce {
	return &wirepb.Announce{
		Vm: a.opts.VM, Zone: a.opts.Zone, Rack: a.opts.Rack, Incarnation: a.opts.Incarnation,
		Services: a.opts.Services, Slots: int32(a.opts.Server.Slots()), ControlVersion: a.opts.Holder.Version(),
	}
}

func openControl(ctx context.Context, session wire.Session, announce *wirepb.Announce) (wire.Stream, error) {
	stream, err := session.Open(ctx)
	if err != nil {
		return nil, fmt.Errorf("announce: %w", err)
	}
	if err := stream.Send(&wirepb.Hello{Kind: &wirepb.Hello_Announce{Announce: announce}}); err != nil {
		return nil, fmt.Errorf("announce: %w", err)
	}
	return stream, nil
}

// connectAll starts a connect loop for each address that has none and returns the number
// started.
func (a *Agent) connectAll(ctx context.Context, wg *sync.WaitGroup, addresses []string) (started int) {
	a.mu.Lock()
	defer a.mu.Unlock()
	for _, addr := range addresses {
		if _, ok := a.targets[addr]; ok || addr == "" || ctx.Err() != nil {
			continue
		}
		a.targets[addr] = struct{}{}
		wg.Go(func() { a.connect(ctx, wg, addr) })
		started++
	}
	return started
}

// connect maintains a session with the entry at addr until ctx ends, the agent leaves or
// the address is given up.
func (a *Agent) connect(ctx context.Context, wg *sync.WaitGroup, addr string) {
	var retry backoff
	lastConnected := time.Now()
	for !a.leaving.Load() {
		if a.runSession(ctx, wg, addr) {
			lastConnected = time.Now()
			retry.reset()
		}
		if a.giveUp(addr, time.Since(lastConnected)) {
			return
		}
		select {
		case <-ctx.Done():
			return
		case <-time.After(retry.next()):
		}
	}
}

// giveUp removes the address if it failed for GiveUpAfter and no entry lists it, and
// reports whether it did.
func (a *Agent) giveUp(addr string, failedFor time.Duration) bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	if failedFor < GiveUpAfter {
		return false
	}
	for s := range a.sessions {
		if slices.Contains(s.advertised, addr) {
			return false
		}
	}
	delete(a.targets, addr)
	return true
}

// runSession dials addr and runs a session until it ends or goes silent. A silent session
// stays open for its requests. It reports whether the entry had answered.
func (a *Agent) runSession(ctx context.Context, wg *sync.WaitGroup, addr string) bool {
	dialCtx, cancel := context.WithTimeout(ctx, handshakeTimeout)
	defer cancel()
	session, err := a.dial(dialCtx, addr)
	if err != nil {
		log.WithError(err).WithField("entry", addr).Debug("dial failed")
		return false
	}
	stream, err := openControl(dialCtx, session, a.announce())
	if err != nil {
		_ = session.Close()
		return false
	}
	s := newAgentSession(a, session, stream)
	defer a.removeSession(s)
	wg.Go(func() { s.acceptStreams(ctx, wg) })
	wg.Go(func() { s.readEntryBeats(ctx, wg, addr) })
	err = s.runHeartbeats(ctx)
	if errors.Is(err, errSilent) {
		sessionsReplaced.Inc()
		log.WithField("entry", addr).Warn("session silent, opening a replacement")
		wg.Go(func() { s.linger(ctx) })
	} else {
		_ = session.Close()
	}
	return s.answered()
}

// addSession adds a session whose entry has answered.
func (a *Agent) addSession(s *agentSession, addr string, advertised []string) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if s.ended {
		return
	}
	a.sessions[s] = addr
	if len(advertised) > 0 {
		s.advertised = advertised
	}
}

func (a *Agent) removeSession(s *agentSession) {
	a.mu.Lock()
	defer a.mu.Unlock()
	s.ended = true
	delete(a.sessions, s)
	if len(a.sessions) == 0 {
		select {
		case a.wake <- struct{}{}:
		default:
		}
	}
}

// liveSessions returns the live sessions.
func (a *Agent) liveSessions() []*agentSession {
	a.mu.Lock()
	defer a.mu.Unlock()
	return slices.Collect(maps.Keys(a.sessions))
}

// liveEntries returns the addresses of the entries with a live session, sorted.
func (a *Agent) liveEntries() []string {
	a.mu.Lock()
	defer a.mu.Unlock()
	return slices.Compact(slices.Sorted(maps.Values(a.sessions)))
}

// applyConfig makes the server refuse or admit offers according to the configuration.
func (a *Agent) applyConfig() {
	config := a.opts.Holder.Load()
	a.opts.Server.SetZoneDrained(!control.ZoneActive(config, a.opts.Zone))
	a.opts.Server.SetDraining(config.DrainingVMs[a.opts.VM])
}

// Leave refuses further offers and reports on all sessions that the agent is leaving. It
// returns nil once every request in flight is answered and the entries have confirmed
// that they read the answers or flushTimeout has passed, and the context's error if the
// requests take longer. Run continues until its context ends.
func (a *Agent) Leave(ctx context.Context) error {
	a.leaving.Store(true)
	a.opts.Server.Leave()
	for _, s := range a.liveSessions() {
		s.signalHeartbeat()
	}
	if err := a.opts.Server.Wait(ctx); err != nil {
		return fmt.Errorf("wait for requests in flight: %w", err)
	}
	flushCtx, cancel := context.WithTimeout(ctx, flushTimeout)
	defer cancel()
	var wg sync.WaitGroup
	for _, s := range a.liveSessions() {
		wg.Go(func() { s.flush(flushCtx) })
	}
	wg.Wait()
	return nil
}

// errNoSession means that the agent has no live session.
var errNoSession = errors.New("no session with an entry")

// openStream opens a stream on any live session.
func (a *Agent) openStream(ctx context.Context) (wire.Stream, error) {
	err := errNoSession
	for _, s := range a.liveSessions() {
		stream, openErr := s.wire.Open(ctx)
		if openErr == nil {
			return stream, nil
		}
		err = openErr
	}
	return nil, err
}

// Table returns the platform's table as relayed by the entries, for an agent that cannot
// reach it directly.
func (a *Agent) Table() platform.Table { return relayedTable{agent: a} }
