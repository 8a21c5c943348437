package link

import (
	"context"
	"errors"
	"fmt"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/apex/log"

	"bamboowood/internal/control"
	"bamboowood/internal/exchange"
	"bamboowood/internal/membership"
	"bamboowood/internal/structs"
	"bamboowood/internal/wire"
	"bamboowood/internal/wire/wirepb"
)

// peer is one VM as an entry sees it.
type peer struct {
	// sessions are those of the newest incarnation, newest first.
	sessions atomic.Pointer[[]*entrySession]
}

func (p *peer) list() []*entrySession {
	if sessions := p.sessions.Load(); sessions != nil {
		return *sessions
	}
	return nil
}

// pick returns the newest session that is not suspected, or nil.
func (p *peer) pick() *entrySession {
	for _, s := range p.list() {
		if !s.suspected.Load() {
			return s
		}
	}
	return nil
}

// entrySession is one agent's session at an entry.
type entrySession struct {
	entry       *Entry
	wire        *exchange.StreamPool
	control     wire.Stream
	announce    *wirepb.Announce
	vm          string
	incarnation int64
	// suspected sessions get no new streams.
	suspected atomic.Bool
	// runningTasks is what the last heartbeat said.
	runningTasks int32
	// entries are those that the agent has sessions with; Entry.mu guards it.
	entries []string
	// quiet fires when a heartbeat is overdue, drop DropAfter the last one.
	quiet, drop *time.Timer
	// interval is what the agent was last asked for, in nanoseconds.
	interval atomic.Int64

	sendMu sync.Mutex
	// What the agent has, as far as this side knows; sendMu guards it.
	agentVersion int64
	sentVersion  int64
	sentBefore   int // heartbeats since sentVersion was sent
	sentEntries  []string
	probe        int64
}

func newEntrySession(e *Entry, session wire.Session, stream wire.Stream, a *wirepb.Announce) *entrySession {
	s := &entrySession{
		entry: e, wire: exchange.NewStreamPool(session), control: stream, announce: a, vm: a.GetVm(), incarnation: a.GetIncarnation(),
		agentVersion: a.GetControlVersion(),
	}
	s.interval.Store(int64(HeartbeatInterval))
	return s
}

// overdueAfter is the time after which the next heartbeat is overdue.
func (s *entrySession) overdueAfter() time.Duration {
	return time.Duration(s.interval.Load()) + AckTimeout
}

func (s *entrySession) announcement() membership.Announcement {
	return membership.Announcement{
		VM: s.vm, Zone: s.announce.GetZone(), Rack: s.announce.GetRack(), Incarnation: s.incarnation,
		Services: s.announce.GetServices(), Slots: s.announce.GetSlots(), ControlVersion: s.announce.GetControlVersion(),
	}
}

// answerDiscover tells the agent the entries' addresses and ends the session
// once the agent has closed it.
func (s *entrySession) answerDiscover() error {
	if err := s.sendBeat(beatContent{}); err != nil {
		return err
	}
	_ = s.control.SetDeadline(time.Now().Add(handshakeTimeout))
	_ = s.control.Recv(&wirepb.Heartbeat{})
	return nil
}

func (s *entrySession) sendRefusal(reason error) {
	_ = s.control.SetDeadline(time.Now().Add(handshakeTimeout))
	_ = s.control.Send(&wirepb.EntryBeat{Refusal: reason.Error()})
	_ = s.control.Recv(&wirepb.Heartbeat{}) // until the agent has read it and closes
}

// run reads heartbeats until the session ends.
func (s *entrySession) run(ctx context.Context) error {
	s.startTimers()
	go s.acceptTableCalls(ctx)
	if err := s.sendBeat(beatContent{}); err != nil {
		return err
	}
	for {
		beat := &wirepb.Heartbeat{}
		if err := s.control.Recv(beat); err != nil {
			return fmt.Errorf("heartbeats of %s: %w", s.vm, err)
		}
		if err := s.heartbeat(beat); err != nil {
			return err
		}
	}
}

func (s *entrySession) startTimers() {
	s.entry.mu.Lock()
	defer s.entry.mu.Unlock()
	s.quiet = time.AfterFunc(s.overdueAfter(), func() { s.entry.suspect(s) })
	s.drop = time.AfterFunc(DropAfter, func() { _ = s.wire.Close() })
}

// stopTimers runs under Entry.mu.
func (s *entrySession) stopTimers() {
	if s.quiet != nil {
		s.quiet.Stop()
		s.drop.Stop()
	}
}

// heartbeat takes one heartbeat and answers it.
func (s *entrySession) heartbeat(beat *wirepb.Heartbeat) error {
	if data := beat.GetConfig(); len(data) > 0 {
		s.entry.merge(data)
	}
	if err := s.record(beat); err != nil {
		return err
	}
	s.report(beat)
	s.wire.Trim()
	return s.sendBeat(beatContent{sequence: beat.GetSequence(), agentVersion: beat.GetControlVersion()})
}

// record enters the heartbeat into the registry.
func (s *entrySession) record(beat *wirepb.Heartbeat) error {
	e := s.entry
	e.mu.Lock()
	defer e.mu.Unlock()
	changed, err := e.registry.Heartbeat(e.now(), s.vm, s.incarnation, membershipBeat(beat))
	if err != nil {
		return fmt.Errorf("heartbeat of %s: %w", s.vm, err)
	}
	s.quiet.Reset(s.overdueAfter())
	s.drop.Reset(DropAfter)
	if list := beat.GetEntries(); list != nil {
		e.directory.replace(s.entries, list.GetAddresses())
		s.entries = list.GetAddresses()
	}
	if s.answersProbe(beat.GetProbe()) && s.suspected.CompareAndSwap(true, false) {
		recoveries.Inc()
		changed = e.registry.SetConnected(s.vm, s.incarnation, true) || changed
	}
	if changed {
		e.publish()
	}
	return nil
}

// answersProbe reports whether the heartbeat repeats the last probe sent, which
// proves that both directions of the session work.
func (s *entrySession) answersProbe(probe int64) bool {
	s.sendMu.Lock()
	defer s.sendMu.Unlock()
	return probe != 0 && probe == s.probe
}

func membershipBeat(beat *wirepb.Heartbeat) membership.Heartbeat {
	b := membership.Heartbeat{
		InFlight: beat.GetInFlight(), Leaving: beat.GetLeaving(), ControlVersion: beat.GetControlVersion(),
		LeaseRemaining: time.Duration(beat.GetLeaseRemainingMs()) * time.Millisecond,
		RunningTasks:   beat.GetRunningTasks(),
	}
	if micros := beat.GetServiceMicros(); len(micros) > 0 {
		b.ServiceTime = make(map[string]time.Duration, len(micros))
		for service, us := range micros {
			b.ServiceTime[service] = time.Duration(us) * time.Microsecond
		}
	}
	return b
}

func (s *entrySession) report(beat *wirepb.Heartbeat) {
	if beat.GetRunningTasks() < s.runningTasks {
		s.entry.opts.OnTasksEnded(s.vm)
	}
	s.runningTasks = beat.GetRunningTasks()
	for _, service := range s.announce.GetServices() {
		s.entry.opts.OnLoadReport(s.vm, service, structs.Load{
			InFlight:        beat.GetInFlight(),
			MeanServiceTime: time.Duration(beat.GetServiceMicros()[service]) * time.Microsecond,
		})
	}
}

// merge takes a configuration that an agent sent and spreads it if it is newer.
func (e *Entry) merge(data []byte) {
	config, err := control.Decode(data)
	if err != nil {
		configErrors.Inc()
		log.WithError(err).Warn("configuration from an agent not understood")
		return
	}
	if e.opts.Holder.Merge(config) {
		configMerges.Inc()
		e.PublishConfig()
	}
}

// beatContent is what one EntryBeat has to say beyond the session's state.
type beatContent struct {
	sequence          int64
	agentVersion      int64 // valid with sequence
	placementsChanged bool
}

// sendBeat sends an EntryBeat with what the agent does not know yet.
func (s *entrySession) sendBeat(c beatContent) error {
	entries := s.entry.Entries()
	config := s.entry.opts.Holder.Load()
	s.entry.mu.Lock()
	leaving, interval := s.entry.leaving, intervalFor(len(s.entry.sessions))
	s.entry.mu.Unlock()

	s.sendMu.Lock()
	defer s.sendMu.Unlock()
	if c.sequence != 0 {
		s.agentVersion = max(s.agentVersion, c.agentVersion)
		s.sentBefore++
	}
	beat := &wirepb.EntryBeat{
		Sequence: c.sequence, ControlVersion: config.Version, PlacementsChanged: c.placementsChanged,
		WantConfig: s.agentVersion > config.Version, Leaving: leaving,
	}
	if interval != time.Duration(s.interval.Load()) {
		beat.IntervalMs = int32(interval.Milliseconds())
		s.interval.Store(int64(interval))
	}
	if s.suspected.Load() {
		s.probe++
		beat.Probe = s.probe
	}
	if s.sentEntries == nil || !slices.Equal(entries, s.sentEntries) {
		beat.Entries, beat.Self = entries, s.entry.opts.Address
	}
	if err := s.addConfig(beat, config); err != nil {
		return err
	}
	if err := s.control.Send(beat); err != nil {
		return fmt.Errorf("beat to %s: %w", s.vm, err)
	}
	if beat.Entries != nil {
		s.sentEntries = beat.Entries
	}
	return nil
}

// addConfig adds the configuration when the agent's is older and this one is not
// already on its way. sendMu is held.
func (s *entrySession) addConfig(beat *wirepb.EntryBeat, config *structs.Config) error {
	underWay := s.sentVersion == config.Version && s.sentBefore < resendBeats
	if s.agentVersion >= config.Version || underWay || s.announce.GetDiscover() {
		return nil
	}
	data, err := s.entry.encoder.Encode(config)
	if err != nil {
		return err
	}
	beat.Config = data
	s.sentVersion, s.sentBefore = config.Version, 0
	configPushes.Inc()
	return nil
}

// maxTableCalls bounds the calls that one session relays at once.
const maxTableCalls = 16

// acceptTableCalls serves the streams that the agent opens.
func (s *entrySession) acceptTableCalls(ctx context.Context) {
	slots := make(chan struct{}, maxTableCalls)
	for {
		stream, err := s.wire.Accept(ctx)
		if err != nil {
			return
		}
		slots <- struct{}{}
		go func() {
			defer func() { <-slots }()
			defer stream.Close()
			if err := serveTableCall(ctx, stream, s.entry.opts.Table); err != nil && !errors.Is(err, wire.ErrSessionClosed) {
				tableErrors.Inc()
				log.WithError(err).WithField("vm", s.vm).Debug("table call failed")
			}
		}()
	}
}
