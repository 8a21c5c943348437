package link

import (
	"context"
	"errors"
	"math/rand/v2"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/apex/log"

	"bamboowood/internal/control"
	"bamboowood/internal/wire"
	"bamboowood/internal/wire/wirepb"
)

// Errors that end the heartbeats of a session.
var (
	errSilent = errors.New("session is silent")
	errEnded  = errors.New("session ended")
)

// agentSession is the agent's side of a session with one entry.
type agentSession struct {
	agent         *Agent
	wire          wire.Session
	controlStream wire.Stream
	signals       chan struct{}
	requests      atomic.Int32 // being served
	drained       chan struct{}

	// advertised are the addresses that the entry lists. Agent.mu guards it and ended.
	advertised []string
	ended      bool

	mu                sync.Mutex
	sequence          int64
	acked             int64
	interval          time.Duration // requested by the entry
	sentAt            time.Time     // of the last heartbeat
	unackedSince      time.Time     // zero when every heartbeat is acknowledged
	ackChanged        chan struct{} // closed and replaced at each acknowledgement
	probe             int64         // the last probe received
	configRequested   bool
	sentEntries       []string
	sentServiceTimes  map[string]int64
	entryBeatReceived bool
}

func newAgentSession(a *Agent, session wire.Session, stream wire.Stream) *agentSession {
	return &agentSession{
		agent: a, wire: session, controlStream: stream, signals: make(chan struct{}, 1), drained: make(chan struct{}, 1),
		ackChanged: make(chan struct{}), interval: HeartbeatInterval, unackedSince: time.Now(),
	}
}

// runHeartbeats sends a heartbeat each interval, and at once when signalled. It returns
// errSilent when the entry leaves a heartbeat unanswered for AckTimeout.
func (s *agentSession) runHeartbeats(ctx context.Context) error {
	timer := time.NewTimer(rand.N(HeartbeatInterval))
	defer timer.Stop()
	for {
		signalled := false
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-s.wire.Done():
			return errEnded
		case <-s.signals:
			signalled = true
		case <-timer.C:
			timer.Reset(HeartbeatInterval)
		}
		s.agent.applyConfig()
		if s.silent() {
			return errSilent
		}
		if !signalled && !s.due() {
			continue
		}
		if _, err := s.sendHeartbeat(); err != nil && errors.Is(err, wire.ErrSessionClosed) {
			return errEnded
		}
	}
}

// silent reports whether an answer is overdue.
func (s *agentSession) silent() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return !s.unackedSince.IsZero() && time.Since(s.unackedSince) >= AckTimeout
}

func (s *agentSession) heartbeatInterval() time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.interval
}

// due reports whether the next heartbeat is due. It is checked every HeartbeatInterval.
func (s *agentSession) due() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return time.Since(s.sentAt) >= s.interval-HeartbeatInterval/2
}

func (s *agentSession) answered() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.entryBeatReceived
}

// signalHeartbeat makes runHeartbeats send a heartbeat at once. It does not block.
func (s *agentSession) signalHeartbeat() {
	select {
	case s.signals <- struct{}{}:
	default:
	}
}

// sendHeartbeat sends a heartbeat with the changes since the last one and returns its
// sequence number.
func (s *agentSession) sendHeartbeat() (int64, error) {
	a := s.agent
	config := a.opts.Holder.Load()
	entries := a.liveEntries()
	services := a.opts.Server.ServiceMicros()

	s.mu.Lock()
	defer s.mu.Unlock()
	s.sequence++
	s.sentAt = time.Now()
	if s.unackedSince.IsZero() {
		s.unackedSince = s.sentAt
	}
	heartbeat := &wirepb.Heartbeat{
		Sequence: s.sequence, InFlight: int32(a.opts.Server.InFlight()), Leaving: a.opts.Server.Leaving(),
		ControlVersion: config.Version, LeaseRemainingMs: a.opts.LeaseRemaining().Milliseconds(),
		RunningTasks: int32(a.opts.RunningTasks()), Probe: s.probe,
	}
	s.probe = 0
	if s.sentEntries == nil || !slices.Equal(entries, s.sentEntries) {
		heartbeat.Entries = &wirepb.EntryList{Addresses: entries}
		s.sentEntries = entries
	}
	heartbeat.ServiceMicros = s.changedServiceTimes(services)
	if s.configRequested {
		data, err := control.Encode(config)
		if err != nil {
			return 0, err
		}
		heartbeat.Config, s.configRequested = data, false
	}
	return s.sequence, s.controlStream.Send(heartbeat)
}

// minReportedChange is the smallest relative change of a service time that is reported.
const minReportedChange = 0.1

// changedServiceTimes returns the service times that changed since they were last
// reported. s.mu is held.
func (s *agentSession) changedServiceTimes(current map[string]int64) map[string]int64 {
	var changed map[string]int64
	for service, micros := range current {
		last, ok := s.sentServiceTimes[service]
		if delta := max(micros-last, last-micros); ok && float64(delta) <= minReportedChange*float64(last) {
			continue
		}
		if changed == nil {
			changed = map[string]int64{}
		}
		if s.sentServiceTimes == nil {
			s.sentServiceTimes = map[string]int64{}
		}
		changed[service], s.sentServiceTimes[service] = micros, micros
	}
	return changed
}

// readEntryBeats applies the entry's EntryBeats until the session ends.
func (s *agentSession) readEntryBeats(ctx context.Context, wg *sync.WaitGroup, addr string) {
	defer s.wire.Close()
	for {
		beat := &wirepb.EntryBeat{}
		if err := s.controlStream.Recv(beat); err != nil {
			return
		}
		if reason := beat.GetRefusal(); reason != "" {
			log.WithField("entry", addr).WithField("reason", reason).Error("announcement refused by entry")
			return
		}
		s.applyEntryBeat(beat)
		s.agent.addSession(s, addr, beat.GetEntries())
		s.agent.connectAll(ctx, wg, beat.GetEntries())
	}
}

// applyEntryBeat applies one EntryBeat.
func (s *agentSession) applyEntryBeat(beat *wirepb.EntryBeat) {
	if data := beat.GetConfig(); len(data) > 0 {
		s.agent.mergeConfig(data)
	}
	if beat.GetPlacementsChanged() {
		s.agent.opts.OnPlacementsChanged()
	}
	s.mu.Lock()
	first := !s.entryBeatReceived
	s.entryBeatReceived = true
	if beat.GetSequence() > s.acked || first {
		s.acked = max(s.acked, beat.GetSequence())
		s.unackedSince = time.Now() // for the later heartbeats
		if s.acked == s.sequence {
			s.unackedSince = time.Time{}
		}
		close(s.ackChanged)
		s.ackChanged = make(chan struct{})
	}
	if ms := beat.GetIntervalMs(); ms > 0 {
		s.interval = max(time.Duration(ms)*time.Millisecond, HeartbeatInterval)
	}
	s.configRequested = s.configRequested || beat.GetWantConfig()
	if beat.GetProbe() != 0 {
		s.probe = beat.GetProbe()
	}
	s.mu.Unlock()
	if beat.GetProbe() != 0 || beat.GetWantConfig() || first {
		s.signalHeartbeat()
	}
}

// mergeConfig merges a configuration from an entry and applies it if it is newer.
func (a *Agent) mergeConfig(data []byte) {
	config, err := control.Decode(data)
	if err != nil {
		configErrors.Inc()
		log.WithError(err).Warn("malformed configuration from entry skipped")
		return
	}
	if !a.opts.Holder.Merge(config) {
		return
	}
	configMerges.Inc()
	a.applyConfig()
	for _, s := range a.liveSessions() {
		s.signalHeartbeat()
	}
}

// flush waits until the entry has acknowledged a heartbeat sent by this call, which
// shows that it has read everything sent before.
func (s *agentSession) flush(ctx context.Context) {
	sequence, err := s.sendHeartbeat()
	if err != nil {
		return
	}
	for {
		s.mu.Lock()
		acked, changed := s.acked, s.ackChanged
		s.mu.Unlock()
		if acked >= sequence {
			return
		}
		select {
		case <-changed:
		case <-s.wire.Done():
			return
		case <-ctx.Done():
			return
		}
	}
}

// acceptStreams serves the streams that the entry opens.
func (s *agentSession) acceptStreams(ctx context.Context, wg *sync.WaitGroup) {
	for {
		stream, err := s.wire.Accept(ctx)
		if err != nil {
			return
		}
		wg.Go(func() { s.serveStream(ctx, stream) })
	}
}

func (s *agentSession) requestDone() {
	if s.requests.Add(-1) == 0 {
		select {
		case s.drained <- struct{}{}:
		default:
		}
	}
}

// serveStream serves successive offers until the stream is no longer kept.
func (s *agentSession) serveStream(ctx context.Context, stream wire.Stream) {
	_ = stream.SetDeadline(time.Now().Add(handshakeTimeout))
	for first := true; ; first = false {
		hello := &wirepb.Hello{}
		err := stream.Recv(hello)
		offer := hello.GetOffer()
		if err != nil || offer == nil {
			if first || err == nil {
				badStreams.Inc()
			}
			_ = stream.Close()
			return
		}
		if !s.serveOffer(ctx, stream, offer) {
			return
		}
		_ = stream.SetDeadline(time.Time{})
	}
}

func (s *agentSession) serveOffer(ctx context.Context, stream wire.Stream, offer *wirepb.Offer) (kept bool) {
	s.requests.Add(1)
	defer s.requestDone()
	return s.agent.opts.Server.Serve(ctx, stream, offer)
}

// linger closes a replaced session once its requests are done and the entry has read the
// answers, or after lingerTimeout.
func (s *agentSession) linger(ctx context.Context) {
	defer s.wire.Close()
	limit := time.NewTimer(lingerTimeout)
	defer limit.Stop()
	for s.requests.Load() > 0 {
		select {
		case <-s.drained:
		case <-limit.C:
			return
		case <-s.wire.Done():
			return
		case <-ctx.Done():
			return
		}
	}
	flushCtx, cancel := context.WithTimeout(ctx, flushTimeout)
	defer cancel()
	s.flush(flushCtx)
}
