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
	// VM, Zone and Rack say where the agent is.
	VM, Zone, Rack string
	// Incarnation rises with every start of the VM's agent.
	Incarnation int64
	// Services are those that the runner serves.
	Services []string
	// Seeds are addresses that reach some entry, such as the balancer's.
	Seeds []string
	// Holder has the configuration in force.
	Holder *control.Holder
	// Server admits and runs requests.
	Server *exchange.Server
	// OnPlacementsChanged is called when an entry says that the VM's placements have
	// changed. It must not block; nil is allowed.
	OnPlacementsChanged func()
	// LeaseRemaining and RunningTasks are reported in heartbeats; nil is allowed.
	LeaseRemaining func() time.Duration
	RunningTasks   func() int
	// Dial connects to an entry; nil means wire.Dial without TLS.
	Dial func(ctx context.Context, addr string) (wire.Session, error)
}

// Agent keeps a session with every entry.
type Agent struct {
	opts    AgentOptions
	leaving atomic.Bool

	mu       sync.Mutex
	targets  map[string]struct{}      // addresses with a running connect loop
	sessions map[*agentSession]string // live sessions and their entries' addresses
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

// Run keeps the sessions until ctx ends. It then closes them and waits for its
// goroutines.
func (a *Agent) Run(ctx context.Context) error {
	var wg sync.WaitGroup
	defer wg.Wait()
	var retry backoff
	interval := minDiscoverInterval
	for {
		learned := 0
		if !a.leaving.Load() {
			learned = a.discover(ctx, &wg)
		}
		interval = min(2*interval, a.maxDiscoverInterval())
		if learned > 0 {
			interval = minDiscoverInterval
		}
		delay := jitter(interval)
		if learned == 0 && !a.connected() {
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

// maxDiscoverInterval is DiscoverInterval, longer in proportion to the heartbeat
// interval: among many agents it is enough that any one finds a new entry,
// because the entries tell all the others.
func (a *Agent) maxDiscoverInterval() time.Duration {
	longest := HeartbeatInterval
	for _, s := range a.live() {
		longest = max(longest, s.heartbeatInterval())
	}
	return DiscoverInterval * (longest / HeartbeatInterval)
}

func (a *Agent) connected() bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	return len(a.sessions) > 0
}

// discover asks the entry behind a random seed for the entries' addresses, and
// keeps a session with each. It returns how many addresses are new.
func (a *Agent) discover(ctx context.Context, wg *sync.WaitGroup) int {
	if len(a.opts.Seeds) == 0 {
		return 0
	}
	seed := a.opts.Seeds[rand.IntN(len(a.opts.Seeds))]
	addresses, err := a.askEntries(ctx, seed)
	if err != nil {
		if ctx.Err() == nil {
			log.WithError(err).WithField("seed", seed).Debug("seed did not answer")
		}
		return 0
	}
	return a.connectAll(ctx, wg, addresses)
}

// askEntries returns the addresses that the entry behind seed names. An entry
// without an address of its own is reached at the seed's.
func (a *Agent) askEntries(ctx context.Context, seed string) ([]string, error) {
	askCtx, cancel := context.WithTimeout(ctx, handshakeTimeout)
	defer cancel()
	session, err := a.dial(askCtx, seed)
	if err != nil {
		return nil, err
	}
	defer session.Close()
	announce := a.announce()
	announce.Discover = true
	stream, err := openControl(askCtx, session, announce)
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

// connectAll starts a connect loop for each address that has none, and returns
// their number.
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

// connect keeps a session with the entry at addr until ctx ends or the address
// is given up.
func (a *Agent) connect(ctx context.Context, wg *sync.WaitGroup, addr string) {
	var retry backoff
	lastUp := time.Now()
	for !a.leaving.Load() {
		if a.runSession(ctx, wg, addr) {
			lastUp = time.Now()
			retry.reset()
		}
		if a.giveUp(addr, time.Since(lastUp)) {
			return
		}
		select {
		case <-ctx.Done():
			return
		case <-time.After(retry.next()):
		}
	}
}

// giveUp removes the address if it failed for too long and no entry names it.
func (a *Agent) giveUp(addr string, failedFor time.Duration) bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	if failedFor < GiveUpAfter {
		return false
	}
	for s := range a.sessions {
		if slices.Contains(s.listed, addr) {
			return false
		}
	}
	delete(a.targets, addr)
	return true
}

// runSession dials addr and runs a session until it ends or goes silent. A
// silent one is left to finish its requests. It reports whether the entry had
// answered.
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
	defer a.forget(s)
	wg.Go(func() { s.acceptStreams(ctx, wg) })
	wg.Go(func() { s.readBeats(ctx, wg, addr) })
	err = s.heartbeats(ctx)
	if errors.Is(err, errSilent) {
		replacements.Inc()
		log.WithField("entry", addr).Warn("session is silent; dialing beside it")
		wg.Go(func() { s.linger(ctx) })
	} else {
		_ = session.Close()
	}
	return s.answered()
}

// remember adds a session that its entry has answered.
func (a *Agent) remember(s *agentSession, addr string, listed []string) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if s.ended {
		return
	}
	a.sessions[s] = addr
	if len(listed) > 0 {
		s.listed = listed
	}
}

func (a *Agent) forget(s *agentSession) {
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

// live returns the live sessions.
func (a *Agent) live() []*agentSession {
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

// applyConfig refuses or admits offers as the configuration in force says.
func (a *Agent) applyConfig() {
	config := a.opts.Holder.Load()
	a.opts.Server.SetZoneDrained(!control.ZoneActive(config, a.opts.Zone))
	a.opts.Server.SetDraining(config.DrainingVMs[a.opts.VM])
}

// Leave refuses further offers, says so on all sessions, and returns once every
// request in flight is answered and the entries have confirmed that they read
// everything, or with the context's error. Run goes on until its context ends.
func (a *Agent) Leave(ctx context.Context) error {
	a.leaving.Store(true)
	a.opts.Server.Leave()
	for _, s := range a.live() {
		s.kick()
	}
	if err := a.opts.Server.Wait(ctx); err != nil {
		return fmt.Errorf("requests in flight: %w", err)
	}
	flushCtx, cancel := context.WithTimeout(ctx, flushTimeout)
	defer cancel()
	var wg sync.WaitGroup
	for _, s := range a.live() {
		wg.Go(func() { s.flush(flushCtx) })
	}
	wg.Wait()
	return nil
}

// errNoSession says that no entry can be reached now.
var errNoSession = errors.New("no session with an entry")

// openStream opens a stream on any live session.
func (a *Agent) openStream(ctx context.Context) (wire.Stream, error) {
	err := errNoSession
	for _, s := range a.live() {
		stream, openErr := s.wire.Open(ctx)
		if openErr == nil {
			return stream, nil
		}
		err = openErr
	}
	return nil, err
}

// Table returns the platform's table as relayed by the entries, for an agent
// that cannot reach it itself.
func (a *Agent) Table() platform.Table { return relayedTable{agent: a} }
