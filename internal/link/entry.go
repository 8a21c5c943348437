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

	"bamboowood/internal/control"
	"bamboowood/internal/exchange"
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
	// Address is where agents reach this entry, or "" when it has no address of
	// its own.
	Address string
	// Zone is the entry's availability zone.
	Zone string
	// Entries returns the addresses of other entries as far as they are known
	// otherwise; it may be nil.
	Entries func() []string
	// Holder has the configuration in force.
	Holder *control.Holder
	// OnSnapshot is called, one call at a time, with each new snapshot of a
	// service. It must not block or call the Entry.
	OnSnapshot func(*routing.Snapshot)
	// OnLoadReport is called with what an agent says of its load in a heartbeat; it
	// may be nil.
	OnLoadReport func(vm, service string, load structs.Load)
	// OnTasksEnded is called when a VM runs fewer tasks than at its last
	// heartbeat; it must not block and may be nil.
	OnTasksEnded func(vm string)
	// Table serves the calls that agents relay; it may be nil.
	Table platform.Table
	// Exchange has the timeouts of requests.
	Exchange exchange.ClientOptions
}

// Entry holds the sessions of one entry with all agents.
type Entry struct {
	opts  EntryOptions
	start time.Time
	// encoder encodes a configuration once for all sessions.
	encoder control.Encoder
	// peers maps a VM to its *peer.
	peers     sync.Map
	directory *directory

	mu        sync.Mutex
	registry  *membership.Registry
	sessions  map[*entrySession]struct{}
	published map[string]struct{}
	// publishedAt is when snapshots were last handed out; publishDue says that a
	// timer will do so again.
	publishedAt time.Duration
	publishDue  bool
	leaving     bool
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
		registry:  membership.NewRegistry(membership.Options{SilentAfter: DropAfter, RemoveAfter: RemoveAfter}),
		sessions:  map[*entrySession]struct{}{},
		published: map[string]struct{}{},
	}
}

// now is the entry's monotonic clock.
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
	if secure, ok := conn.(*tls.Conn); ok {
		handshakeCtx, cancel := context.WithTimeout(ctx, handshakeTimeout)
		err := secure.HandshakeContext(handshakeCtx)
		cancel()
		if err != nil {
			_ = conn.Close()
			log.WithError(err).WithField("remote", conn.RemoteAddr().String()).Warn("tls handshake failed")
			return
		}
	}
	session, err := wire.NewServerSession(conn)
	if err != nil {
		log.WithError(err).Warn("session not started")
		return
	}
	if err := e.ServeSession(ctx, session); err != nil && ctx.Err() == nil {
		log.WithError(err).WithField("remote", session.RemoteAddr()).Info("session ended")
	}
}

// errNotAnnounced says that a session did not begin with an announcement.
var errNotAnnounced = errors.New("session did not begin with an announcement")

// ServeSession serves one agent's session until it ends or ctx does.
func (e *Entry) ServeSession(ctx context.Context, session wire.Session) error {
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
	return stream, announce, stream.SetDeadline(time.Time{})
}

// add registers the session, and closes those of older incarnations of the VM.
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
		supersessions.Inc()
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

// expire applies the passing of time to the registry.
func (e *Entry) expire() {
	e.mu.Lock()
	defer e.mu.Unlock()
	if !e.registry.Expire(e.now()) {
		return
	}
	e.publish()
	e.peers.Range(func(vm, p any) bool {
		if _, known := e.registry.Newest(vm.(string)); !known && len(p.(*peer).list()) == 0 {
			e.peers.Delete(vm)
		}
		return true
	})
}

// publish hands out the snapshots of all services: at once, or after
// publishInterval when it has just done so. e.mu is held.
func (e *Entry) publish() {
	if e.publishDue {
		return
	}
	if wait := e.publishedAt + publishInterval - e.now(); e.publishedAt != 0 && wait > 0 {
		e.publishDue = true
		time.AfterFunc(wait, func() {
			e.mu.Lock()
			defer e.mu.Unlock()
			e.publishDue = false
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

// Do runs the request on the VM over its newest session that answers. Errors are
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

// suspect takes the session out of use until it answers a probe.
func (e *Entry) suspect(s *entrySession) {
	if !s.suspected.CompareAndSwap(false, true) {
		return
	}
	suspicions.Inc()
	e.mu.Lock()
	e.refreshConnected(s)
	e.mu.Unlock()
	go s.sendBeat(beatContent{})
}

// Upstreams returns the status of every upstream, in the order of their names.
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

// NotifyPlacements tells the VM's agent at once that its placements changed.
func (e *Entry) NotifyPlacements(vm string) {
	if s, _ := e.session(vm); s != nil {
		go s.sendBeat(beatContent{placementsChanged: true})
	}
}

// PublishConfig publishes snapshots by the newest configuration and pushes it to
// every agent that has an older one.
func (e *Entry) PublishConfig() {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.publish()
	for s := range e.sessions {
		go s.sendBeat(beatContent{})
	}
}

// Leave tells all agents that this entry is going away.
func (e *Entry) Leave() {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.leaving = true
	for s := range e.sessions {
		go s.sendBeat(beatContent{})
	}
}

// Entries returns the addresses of all entries that this one knows of, its own
// first: its source's and those that agents have live sessions with.
func (e *Entry) Entries() []string {
	e.directory.refresh(time.Now())
	return e.directory.list()
}

func (e *Entry) peerOf(vm string) *peer {
	p, _ := e.peers.LoadOrStore(vm, &peer{})
	return p.(*peer)
}
