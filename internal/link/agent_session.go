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
	agent    *Agent
	wire     wire.Session
	control  wire.Stream
	kicks    chan struct{}
	requests atomic.Int32 // being served
	drained  chan struct{}

	// Agent.mu guards listed, the addresses that the entry names, and ended.
	listed []string
	ended  bool

	mu           sync.Mutex
	sequence     int64
	acked        int64
	interval     time.Duration // that the entry asks for
	sentAt       time.Time     // of the last heartbeat
	waitingSince time.Time     // for an answer; zero when none is due
	ackChanged   chan struct{} // closed and replaced at each acknowledgement
	probe        int64         // the last probe received
	wantConfig   bool
	sentEntries  []string
	sentServices map[string]int64
	gotBeat      bool
}

func newAgentSession(a *Agent, session wire.Session, stream wire.Stream) *agentSession {
	return &agentSession{
		agent: a, wire: session, control: stream, kicks: make(chan struct{}, 1), drained: make(chan struct{}, 1),
		ackChanged: make(chan struct{}), interval: HeartbeatInterval, waitingSince: time.Now(),
	}
}

// heartbeats sends a heartbeat each interval, and at once when kicked. It ends
// with errSilent when the entry leaves one unanswered for AckTimeout.
func (s *agentSession) heartbeats(ctx context.Context) error {
	timer := time.NewTimer(rand.N(HeartbeatInterval))
	defer timer.Stop()
	for {
		kicked := false
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-s.wire.Done():
			return errEnded
		case <-s.kicks:
			kicked = true
		case <-timer.C:
			timer.Reset(HeartbeatInterval)
		}
		s.agent.applyConfig()
		if s.silent() {
			return errSilent
		}
		if !kicked && !s.due() {
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
	return !s.waitingSince.IsZero() && time.Since(s.waitingSince) >= AckTimeout
}

func (s *agentSession) heartbeatInterval() time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.interval
}

// due reports whether it is time for the next heartbeat, as looked at every
// HeartbeatInterval.
func (s *agentSession) due() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return time.Since(s.sentAt) >= s.interval-HeartbeatInterval/2
}

func (s *agentSession) answered() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.gotBeat
}

// kick sends a heartbeat soon.
func (s *agentSession) kick() {
	select {
	case s.kicks <- struct{}{}:
	default:
	}
}

// sendHeartbeat sends a heartbeat with what has changed since the last and
// returns its sequence.
func (s *agentSession) sendHeartbeat() (int64, error) {
	a := s.agent
	config := a.opts.Holder.Load()
	entries := a.liveEntries()
	services := a.opts.Server.ServiceMicros()

	s.mu.Lock()
	defer s.mu.Unlock()
	s.sequence++
	s.sentAt = time.Now()
	if s.waitingSince.IsZero() {
		s.waitingSince = s.sentAt
	}
	beat := &wirepb.Heartbeat{
		Sequence: s.sequence, InFlight: int32(a.opts.Server.InFlight()), Leaving: a.opts.Server.Leaving(),
		ControlVersion: config.Version, LeaseRemainingMs: a.opts.LeaseRemaining().Milliseconds(),
		RunningTasks: int32(a.opts.RunningTasks()), Probe: s.probe,
	}
	s.probe = 0
	if s.sentEntries == nil || !slices.Equal(entries, s.sentEntries) {
		beat.Entries = &wirepb.EntryList{Addresses: entries}
		s.sentEntries = entries
	}
	beat.ServiceMicros = s.changedServices(services)
	if s.wantConfig {
		data, err := control.Encode(config)
		if err != nil {
			return 0, err
		}
		beat.Config, s.wantConfig = data, false
	}
	return s.sequence, s.control.Send(beat)
}

// changedShare is the least change of a service time that is worth reporting.
const changedShare = 0.1

// changedServices returns the service times that moved since they were last
// reported. s.mu is held.
func (s *agentSession) changedServices(now map[string]int64) map[string]int64 {
	var changed map[string]int64
	for service, micros := range now {
		last, ok := s.sentServices[service]
		if delta := max(micros-last, last-micros); ok && float64(delta) <= changedShare*float64(last) {
			continue
		}
		if changed == nil {
			changed = map[string]int64{}
		}
		if s.sentServices == nil {
			s.sentServices = map[string]int64{}
		}
		changed[service], s.sentServices[service] = micros, micros
	}
	return changed
}

// readBeats takes the entry's beats until the session ends.
func (s *agentSession) readBeats(ctx context.Context, wg *sync.WaitGroup, addr string) {
	defer s.wire.Close()
	for {
		beat := &wirepb.EntryBeat{}
		if err := s.control.Recv(beat); err != nil {
			return
		}
		if reason := beat.GetRefusal(); reason != "" {
			log.WithField("entry", addr).WithField("reason", reason).Error("entry refused the announcement")
			return
		}
		s.take(beat)
		s.agent.remember(s, addr, beat.GetEntries())
		s.agent.connectAll(ctx, wg, beat.GetEntries())
	}
}

// take applies one beat.
func (s *agentSession) take(beat *wirepb.EntryBeat) {
	if data := beat.GetConfig(); len(data) > 0 {
		s.agent.merge(data)
	}
	if beat.GetPlacementsChanged() {
		s.agent.opts.OnPlacementsChanged()
	}
	s.mu.Lock()
	first := !s.gotBeat
	s.gotBeat = true
	if beat.GetSequence() > s.acked || first {
		s.acked = max(s.acked, beat.GetSequence())
		s.waitingSince = time.Now() // for the heartbeats sent meanwhile
		if s.acked == s.sequence {
			s.waitingSince = time.Time{}
		}
		close(s.ackChanged)
		s.ackChanged = make(chan struct{})
	}
	if ms := beat.GetIntervalMs(); ms > 0 {
		s.interval = max(time.Duration(ms)*time.Millisecond, HeartbeatInterval)
	}
	s.wantConfig = s.wantConfig || beat.GetWantConfig()
	if beat.GetProbe() != 0 {
		s.probe = beat.GetProbe()
	}
	s.mu.Unlock()
	if beat.GetProbe() != 0 || beat.GetWantConfig() || first {
		s.kick()
	}
}

// merge takes a configuration that an entry sent.
func (a *Agent) merge(data []byte) {
	config, err := control.Decode(data)
	if err != nil {
		configErrors.Inc()
		log.WithError(err).Warn("configuration from an entry not understood")
		return
	}
	if !a.opts.Holder.Merge(config) {
		return
	}
	configMerges.Inc()
	a.applyConfig()
	for _, s := range a.live() {
		s.kick()
	}
}

// flush waits until the entry has acknowledged a heartbeat that was sent after
// the call, and so has read everything before it.
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

// serveStream takes one offer after the other while the entry keeps the stream.
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

// linger closes a replaced session once its requests are done and the entry has
// read their answers.
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
