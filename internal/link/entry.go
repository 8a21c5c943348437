package link

import (
	"context"
	"crypto/tls"
	"errors"
	"fmt"
	"net"
	"slices"
	"sync"
	"time"

	"github.com/apex/log"
	"google.golang.org/protobuf/proto"

	"bamboowood/internal/control"
	"bamboowood/internal/exchange"
	"bamboowood/internal/ingress"
	"bamboowood/internal/membership"
	"bamboowood/internal/platform"
	"bamboowood/internal/routing"
	"bamboowood/internal/structs"
	"bamboowood/internal/verdict"
	"bamboowood/internal/wire"
	"bamboowood/internal/wire/wirepb"
)

// EntryOptions configure an Entry.
type EntryOptions struct {
	// Address is the address at which agents reach this entry, or "" when it has none of
	// its own.
	Address string
	// Zone is the entry's availability zone.
	Zone string
	// Entries returns the addresses of other entries from a source besides agents, such as
	// the platform's table; nil is allowed.
	Entries func() []string
	// Holder holds the configuration in force.
	Holder *control.Holder
	// OnSnapshot is called with each new snapshot of a service. Calls are not concurrent.
	// It must not block or call the Entry; nil is allowed.
	OnSnapshot func(*routing.Snapshot)
	// OnLoadReport is called with the load that an agent reports in a heartbeat; nil is
	// allowed.
	OnLoadReport func(vm, service string, load structs.Load)
	// OnTasksEnded is called when a VM runs fewer tasks than at its last heartbeat. It must
	// not block; nil is allowed.
	OnTasksEnded func(vm string)
	// Table serves the calls that agents relay; nil replies unavailable.
	Table platform.Table
	// Exchange holds the timeouts of requests.
	Exchange exchange.ClientOptions
	// Bounds limit the sessions that Serve accepts.
	Bounds wire.Bounds
}

// Entry holds an entry's sessions with all agents. Its methods are safe for concurrent use.
type Entry struct {
	opts  EntryOptions
	start time.Time
	// encoder encodes a configuration once and shares the result among all sessions.
	encoder control.Encoder
	// peers maps a VM to its *peer.
	peers     sync.Map
	directory *directory

	mu        sync.Mutex
	registry  *membership.Registry
	sessions  map[*entrySession]struct{}
	published map[string]struct{}
	// publishedAt is when snapshots were last published; publishScheduled is set while a
	// timer is to publish the next ones.
	publishedAt      time.Duration
	publishScheduled bool
	leaving          bool
}

// NewEntry returns an Entry without sessions.
func NewEntry(opts EntryOptions) *Entry {
	if opts.OnSnapshot == nil {
		opts.OnSnapshot = func(*routing.Snapshot) {}
	}
	if opts.OnTasksEnded == nil {
		opts.OnTasksEnded = func(string) {}
	}
	if opts.OnLoadReport == nil {
		opts.OnLoadReport = func(string, string, structs.Load) {}
	}
	if opts.Entries == nil {
		opts.Entries = func() []string { return nil }
	}
	return &Entry{
		opts: opts, start: time.Now(), directory: newDirectory(opts.Address, opts.Entries),
		registry:  membership.NewRegistry(membership.Options{HeartbeatTimeout: DropAfter, RemoveAfter: RemoveAfter}),
		sessions:  map[*entrySession]struct{}{},
		published: map[string]struct{}{},
	}
}

// now returns the time since the entry's start.
func (e *Entry) now() time.Duration { return time.Since(e.start) }

// Serve accepts agents' connections until ctx ends or ln fails.
func (e *Entry) Serve(ctx context.Context, ln net.Listener) error {
	stop := context.AfterFunc(ctx, func() { _ = ln.Close() })
	defer stop()
	var wg sync.WaitGroup
	defer wg.Wait()
	for {
		conn, err := ln.Accept()
		if err != nil {
			if ctx.Err() != nil {
				return nil
			}
			return fmt.Errorf("accept: %w", err)
		}
		wg.Go(func() { e.serveConn(ctx, conn) })
	}
}

func (e *Entry) serveConn(ctx context.Context, conn net.Conn) {
	if secure := tlsConn(conn); secure != nil {
		handshakeCtx, cancel := context.WithTimeout(ctx, handshakeTimeout)
		err := secure.HandshakeContext(handshakeCtx)
		cancel()
		if err != nil {
			_ = conn.Close()
			log.WithError(err).WithField("remote", conn.RemoteAddr().String()).Warn("tls handshake failed")
			return
		}
	}
	session, err := wire.NewBoundedServerSession(conn, e.opts.Bounds)
	if err != nil {
		log.WithError(err).Warn("session setup failed")
		return
	}
	if err := e.serveSession(ctx, session, func() { ingress.MarkServed(conn) }); err != nil && ctx.Err() == nil {
		log.WithError(err).WithField("remote", session.RemoteAddr()).Info("session ended")
	}
}

// tlsConn returns the TLS connection that conn is or wraps, or nil.
func tlsConn(conn net.Conn) *tls.Conn {
	if wrapper, ok := conn.(interface{ NetConn() net.Conn }); ok {
		if _, secure := conn.(*tls.Conn); !secure {
			conn = wrapper.NetConn()
		}
	}
	secure, _ := conn.(*tls.Conn)
	return secure
}

// maxStateBytes bounds an announcement and a heartbeat, whose content an entry keeps.
const maxStateBytes = 64 << 10

// errStateTooLarge means that an announcement or a heartbeat exceeds maxStateBytes.
var errStateTooLarge = errors.New("state of the agent is too large")

// errNotAnnounced means that a session did not begin with an announcement.
var errNotAnnounced = errors.New("session did not begin with an announcement")

// ServeSession serves one agent's session until the session or ctx ends, and closes it.
func (e *Entry) ServeSession(ctx context.Context, session wire.Session) error {
	return e.serveSession(ctx, session, func() {})
}

// serveSession implements ServeSession. It calls announced once the agent has been accepted.
func (e *Entry) serveSession(ctx context.Context, session wire.Session, announced func()) error {
	defer session.Close()
	stop := context.AfterFunc(ctx, func() { _ = session.Close() })
	defer stop()
	stream, announce, err := receiveAnnounce(ctx, session)
	if err != nil {
		announceErrors.Inc()
		return err
	}
	s := newEntrySession(e, session, stream, announce)
	if announce.GetDiscover() {
		return s.answerDiscover()
	}
	if err := e.add(s); err != nil {
		announceRefusals.Inc()
		s.sendRefusal(err)
		return err
	}
	defer e.remove(s)
	announced()
	return s.run(ctx)
}

func receiveAnnounce(ctx context.Context, session wire.Session) (wire.Stream, *wirepb.Announce, error) {
	handshakeCtx, cancel := context.WithTimeout(ctx, handshakeTimeout)
	defer cancel()
	stream, err := session.Accept(handshakeCtx)
	if err != nil {
		return nil, nil, fmt.Errorf("%w: %w", errNotAnnounced, err)
	}
	_ = stream.SetDeadline(time.Now().Add(handshakeTimeout))
	hello := &wirepb.Hello{}
	if err := stream.Recv(hello); err != nil {
		return nil, nil, fmt.Errorf("%w: %w", errNotAnnounced, err)
	}
	announce := hello.GetAnnounce()
	if announce == nil {
		return nil, nil, errNotAnnounced
	}
	if n := proto.Size(announce); n > maxStateBytes {
		return nil, nil, fmt.Errorf("%w: %d bytes", errStateTooLarge, n)
	}
	return stream, announce, stream.SetDeadline(time.Time{})
}

// add registers the session and closes the sessions of older incarnations of the VM.
func (e *Entry) add(s *entrySession) error {
	e.mu.Lock()
	defer e.mu.Unlock()
	replaced, err := e.registry.Announce(e.now(), s.announcement())
	if err != nil {
		return err
	}
	e.sessions[s] = struct{}{}
	p := e.peerOf(s.vm)
	kept := []*entrySession{s}
	for _, old := range p.list() {
		if old.incarnation == s.incarnation {
			kept = append(kept, old)
			continue
		}
		go old.wire.Close()
	}
	p.sessions.Store(&kept)
	if replaced {
		incarnationsReplaced.Inc()
	}
	sessionsOpened.Inc()
	e.publish()
	return nil
}

func (e *Entry) remove(s *entrySession) {
	e.mu.Lock()
	defer e.mu.Unlock()
	s.stopTimers()
	delete(e.sessions, s)
	e.directory.replace(s.entries, nil)
	p := e.peerOf(s.vm)
	kept := slices.DeleteFunc(slices.Clone(p.list()), func(o *entrySession) bool { return o == s })
	p.sessions.Store(&kept)
	sessionsClosed.Inc()
	e.refreshConnected(s)
	time.AfterFunc(RemoveAfter, e.expire)
}

// refreshConnected records whether a session of the VM is usable. e.mu is held.
func (e *Entry) refreshConnected(s *entrySession) {
	if e.registry.SetConnected(s.vm, s.incarnation, e.peerOf(s.vm).pick() != nil) {
		e.publish()
	}
}

// expire advances the registry to the present time and publishes any change.
func (e *Entry) expire() {
	e.mu.Lock()
	defer e.mu.Unlock()
	if !e.registry.Expire(e.now()) {
		return
	}
	e.publish()
	e.peers.Range(func(vm, p any) bool {
		if _, registered := e.registry.Newest(vm.(string)); !registered && len(p.(*peer).list()) == 0 {
			e.peers.Delete(vm)
		}
		return true
	})
}

// publish publishes the snapshots of all services: at once, or publishInterval after the
// last publication. e.mu is held.
func (e *Entry) publish() {
	if e.publishScheduled {
		return
	}
	if wait := e.publishedAt + publishInterval - e.now(); e.publishedAt != 0 && wait > 0 {
		e.publishScheduled = true
		time.AfterFunc(wait, func() {
			e.mu.Lock()
			defer e.mu.Unlock()
			e.publishScheduled = false
			e.publishNow()
		})
		return
	}
	e.publishNow()
}

func (e *Entry) publishNow() {
	e.publishedAt = max(e.now(), 1)
	config := e.opts.Holder.Load()
	services := e.registry.Services()
	for _, name := range services {
		e.published[name] = struct{}{}
	}
	for name := range e.published {
		e.opts.OnSnapshot(e.registry.Snapshot(name, e.opts.Zone, config))
		if !slices.Contains(services, name) {
			delete(e.published, name)
		}
	}
}

// Do runs the request on the VM over the newest session that is not suspected. Errors are
// *verdict.Error.
func (e *Entry) Do(ctx context.Context, vm string, req structs.Request) (structs.Answer, structs.Load, error) {
	s, reason := e.session(vm)
	if s == nil {
		return structs.Answer{}, structs.Load{InFlight: -1}, verdict.New(verdict.NotRun, reason, nil)
	}
	answer, load, err := exchange.Do(ctx, s.wire, req, e.opts.Exchange)
	if err != nil {
		if verdict.ReasonOf(err) == verdict.SessionSilent {
			e.suspect(s)
		}
		return structs.Answer{}, load, err
	}
	answer.VM = vm
	return answer, load, nil
}

// session returns a usable session with the VM, or the reason why there is none.
func (e *Entry) session(vm string) (*entrySession, verdict.Reason) {
	value, ok := e.peers.Load(vm)
	if !ok {
		return nil, verdict.SessionLost
	}
	p := value.(*peer)
	if s := p.pick(); s != nil {
		return s, ""
	}
	if len(p.list()) > 0 {
		return nil, verdict.SessionSilent
	}
	return nil, verdict.SessionLost
}

// suspect excludes the session from new requests until it answers a probe.
func (e *Entry) suspect(s *entrySession) {
	if !s.suspected.CompareAndSwap(false, true) {
		return
	}
	sessionsSuspected.Inc()
	e.mu.Lock()
	e.refreshConnected(s)
	e.mu.Unlock()
	go s.sendEntryBeat(entryBeatContent{})
}

// Upstreams returns the status of every upstream, sorted by name.
func (e *Entry) Upstreams() []structs.UpstreamStatus {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.registry.Status(e.now(), e.opts.Holder.Load())
}

// Sessions returns the number of open sessions.
func (e *Entry) Sessions() int {
	e.mu.Lock()
	defer e.mu.Unlock()
	return len(e.sessions)
}

// NotifyPlacements notifies the VM's agent at once that its placements have changed.
func (e *Entry) NotifyPlacements(vm string) {
	if s, _ := e.session(vm); s != nil {
		go s.sendEntryBeat(entryBeatContent{placementsChanged: true})
	}
}

// PublishConfig publishes snapshots for the configuration in force and sends it to every
// agent that has an older one.
func (e *Entry) PublishConfig() {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.publish()
	for s := range e.sessions {
		go s.sendEntryBeat(entryBeatContent{})
	}
}

// Leave notifies all agents that this entry is leaving.
func (e *Entry) Leave() {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.leaving = true
	for s := range e.sessions {
		go s.sendEntryBeat(entryBeatContent{})
	}
}

// Entries returns the addresses of all entries, this entry's own first: those from the
// source and those that agents report live sessions with.
func (e *Entry) Entries() []string {
	e.directory.refresh(time.Now())
	return e.directory.list()
}

func (e *Entry) peerOf(vm string) *peer {
	p, _ := e.peers.LoadOrStore(vm, &peer{})
	return p.(*peer)
}
