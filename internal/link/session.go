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
	"google.golang.org/protobuf/proto"

	"bamboowood/internal/control"
	"bamboowood/internal/exchange"
	"bamboowood/internal/membership"
	"bamboowood/internal/structs"
	"bamboowood/internal/wire"
	"bamboowood/internal/wire/wirepb"
)

// peer holds an entry's sessions with one VM.
type peer struct {
	// sessions are the sessions of the newest incarnation, newest first.
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

// entrySession is the entry's side of a session with one agent.
type entrySession struct {
	entry         *Entry
	wire          *exchange.StreamPool
	controlStream wire.Stream
	announce      *wirepb.Announce
	vm            string
	incarnation   int64
	// suspected is set while the session counts as unresponsive: after an overdue heartbeat
	// or a request without a reply, until the agent answers a probe. The session then gets
	// no new requests.
	suspected atomic.Bool
	// runningTasks is the number of tasks in the last heartbeat.
	runningTasks int32
	// entries are the entries that the agent has sessions with; Entry.mu guards it.
	entries []string
	// overdueTimer fires when the next heartbeat is overdue, dropTimer DropAfter after
	// the last heartbeat.
	overdueTimer, dropTimer *time.Timer
	// requestedInterval is the last interval requested from the agent, in nanoseconds.
	requestedInterval atomic.Int64

	sendMu sync.Mutex
	// State that the agent has reported or was sent; sendMu guards it.
	agentVersion        int64
	sentVersion         int64
	heartbeatsSinceSend int // heartbeats received since sentVersion was sent
	sentEntries         []string
	probe               int64
}

func newEntrySession(e *Entry, session wire.Session, stream wire.Stream, a *wirepb.Announce) *entrySession {
	s := &entrySession{
		entry: e, wire: exchange.NewStreamPool(session), controlStream: stream, announce: a, vm: a.GetVm(), incarnation: a.GetIncarnation(),
		agentVersion: a.GetControlVersion(),
	}
	s.requestedInterval.Store(int64(HeartbeatInterval))
	return s
}

// overdueAfter returns the time after which the next heartbeat is overdue.
func (s *entrySession) overdueAfter() time.Duration {
	return time.Duration(s.requestedInterval.Load()) + AckTimeout
}

func (s *entrySession) announcement() membership.Announcement {
	return membership.Announcement{
		VM: s.vm, Zone: s.announce.GetZone(), Rack: s.announce.GetRack(), Incarnation: s.incarnation,
		Services: s.announce.GetServices(), Slots: s.announce.GetSlots(), ControlVersion: s.announce.GetControlVersion(),
	}
}

// answerDiscover sends the entries' addresses and returns once the agent has closed the
// session.
func (s *entrySession) answerDiscover() error {
	if err := s.sendEntryBeat(entryBeatContent{}); err != nil {
		return err
	}
	_ = s.controlStream.SetDeadline(time.Now().Add(handshakeTimeout))
	_ = s.controlStream.Recv(&wirepb.Heartbeat{})
	return nil
}

func (s *entrySession) sendRefusal(reason error) {
	_ = s.controlStream.SetDeadline(time.Now().Add(handshakeTimeout))
	_ = s.controlStream.Send(&wirepb.EntryBeat{Refusal: reason.Error()})
	_ = s.controlStream.Recv(&wirepb.Heartbeat{}) // wait until the agent has read it and closes
}

// run reads heartbeats until the session ends.
func (s *entrySession) run(ctx context.Context) error {
	s.startTimers()
	go s.acceptTableCalls(ctx)
	if err := s.sendEntryBeat(entryBeatContent{}); err != nil {
		return err
	}
	for {
		heartbeat := &wirepb.Heartbeat{}
		if err := s.controlStream.Recv(heartbeat); err != nil {
			return fmt.Errorf("receive heartbeat from %s: %w", s.vm, err)
		}
		if n := proto.Size(heartbeat); n > maxStateBytes {
			return fmt.Errorf("%w: heartbeat of %s with %d bytes", errStateTooLarge, s.vm, n)
		}
		if err := s.handleHeartbeat(heartbeat); err != nil {
			return err
		}
	}
}

func (s *entrySession) startTimers() {
	s.entry.mu.Lock()
	defer s.entry.mu.Unlock()
	s.overdueTimer = time.AfterFunc(s.overdueAfter(), func() { s.entry.suspect(s) })
	s.dropTimer = time.AfterFunc(DropAfter, func() { _ = s.wire.Close() })
}

// stopTimers stops the timers. Entry.mu is held.
func (s *entrySession) stopTimers() {
	if s.overdueTimer != nil {
		s.overdueTimer.Stop()
		s.dropTimer.Stop()
	}
}

// handleHeartbeat applies one heartbeat and answers it.
func (s *entrySession) handleHeartbeat(heartbeat *wirepb.Heartbeat) error {
	if data := heartbeat.GetConfig(); len(data) > 0 {
		s.entry.mergeConfig(data)
	}
	if err := s.record(heartbeat); err != nil {
		return err
	}
	s.report(heartbeat)
	s.wire.Trim()
	return s.sendEntryBeat(entryBeatContent{sequence: heartbeat.GetSequence(), agentVersion: heartbeat.GetControlVersion()})
}

// record records the heartbeat in the registry.
func (s *entrySession) record(heartbeat *wirepb.Heartbeat) error {
	e := s.entry
	e.mu.Lock()
	defer e.mu.Unlock()
	changed, err := e.registry.Heartbeat(e.now(), s.vm, s.incarnation, membershipHeartbeat(heartbeat))
	if err != nil {
		return fmt.Errorf("record heartbeat of %s: %w", s.vm, err)
	}
	s.overdueTimer.Reset(s.overdueAfter())
	s.dropTimer.Reset(DropAfter)
	if list := heartbeat.GetEntries(); list != nil {
		e.directory.replace(s.entries, list.GetAddresses())
		s.entries = list.GetAddresses()
	}
	if s.answersProbe(heartbeat.GetProbe()) && s.suspected.CompareAndSwap(true, false) {
		sessionsRecovered.Inc()
		changed = e.registry.SetConnected(s.vm, s.incarnation, true) || changed
	}
	if changed {
		e.publish()
	}
	return nil
}

// answersProbe reports whether the heartbeat returns the last probe sent, which shows
// that the session works in both directions.
func (s *entrySession) answersProbe(probe int64) bool {
	s.sendMu.Lock()
	defer s.sendMu.Unlock()
	return probe != 0 && probe == s.probe
}

func membershipHeartbeat(heartbeat *wirepb.Heartbeat) membership.Heartbeat {
	b := membership.Heartbeat{
		InFlight: heartbeat.GetInFlight(), Leaving: heartbeat.GetLeaving(), ControlVersion: heartbeat.GetControlVersion(),
		LeaseRemaining: time.Duration(heartbeat.GetLeaseRemainingMs()) * time.Millisecond,
		RunningTasks:   heartbeat.GetRunningTasks(),
	}
	if micros := heartbeat.GetServiceMicros(); len(micros) > 0 {
		b.ServiceTime = make(map[string]time.Duration, len(micros))
		for service, us := range micros {
			b.ServiceTime[service] = time.Duration(us) * time.Microsecond
		}
	}
	return b
}

func (s *entrySession) report(heartbeat *wirepb.Heartbeat) {
	if heartbeat.GetRunningTasks() < s.runningTasks {
		s.entry.opts.OnTasksEnded(s.vm)
	}
	s.runningTasks = heartbeat.GetRunningTasks()
	for _, service := range s.announce.GetServices() {
		s.entry.opts.OnLoadReport(s.vm, service, structs.Load{
			InFlight:        heartbeat.GetInFlight(),
			MeanServiceTime: time.Duration(heartbeat.GetServiceMicros()[service]) * time.Microsecond,
		})
	}
}

// mergeConfig merges a configuration from an agent and publishes it if it is newer.
func (e *Entry) mergeConfig(data []byte) {
	config, err := control.Decode(data)
	if err != nil {
		configErrors.Inc()
		log.WithError(err).Warn("malformed configuration from agent skipped")
		return
	}
	if e.opts.Holder.Merge(config) {
		configMerges.Inc()
		e.PublishConfig()
	}
}

// entryBeatContent is the content of one EntryBeat besides the state of the session.
type entryBeatContent struct {
	sequence          int64
	agentVersion      int64 // valid if sequence is not 0
	placementsChanged bool
}

// sendEntryBeat sends an EntryBeat with the state that the agent does not have yet.
func (s *entrySession) sendEntryBeat(c entryBeatContent) error {
	entries := s.entry.Entries()
	config := s.entry.opts.Holder.Load()
	s.entry.mu.Lock()
	leaving, interval := s.entry.leaving, intervalFor(len(s.entry.sessions))
	s.entry.mu.Unlock()

	s.sendMu.Lock()
	defer s.sendMu.Unlock()
	if c.sequence != 0 {
		s.agentVersion = max(s.agentVersion, c.agentVersion)
		s.heartbeatsSinceSend++
	}
	beat := &wirepb.EntryBeat{
		Sequence: c.sequence, ControlVersion: config.Version, PlacementsChanged: c.placementsChanged,
		WantConfig: s.agentVersion > config.Version, Leaving: leaving,
	}
	if interval != time.Duration(s.requestedInterval.Load()) {
		beat.IntervalMs = int32(interval.Milliseconds())
		s.requestedInterval.Store(int64(interval))
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
	if err := s.controlStream.Send(beat); err != nil {
		return fmt.Errorf("send entry beat to %s: %w", s.vm, err)
	}
	if beat.Entries != nil {
		s.sentEntries = beat.Entries
	}
	return nil
}

// addConfig adds the configuration if the agent's is older and this one is not in
// transit already. sendMu is held.
func (s *entrySession) addConfig(beat *wirepb.EntryBeat, config *structs.Config) error {
	inTransit := s.sentVersion == config.Version && s.heartbeatsSinceSend < resendHeartbeats
	if s.agentVersion >= config.Version || inTransit || s.announce.GetDiscover() {
		return nil
	}
	data, err := s.entry.encoder.Encode(config)
	if err != nil {
		return err
	}
	beat.Config = data
	s.sentVersion, s.heartbeatsSinceSend = config.Version, 0
	configPushes.Inc()
	return nil
}

// maxTableCalls is the most calls that one session relays concurrently.
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
