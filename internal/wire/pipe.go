package wire

import (
	"context"
	"fmt"
	"io"
	"os"
	"slices"
	"sync"
	"time"

	"google.golang.org/protobuf/proto"
)

// PipeOption configures Pipe.
type PipeOption func(*pipe)

// WithFaults injects the faults of f into the link.
func WithFaults(f *Faults) PipeOption { return func(p *pipe) { p.faults = f } }

// Pipe returns the two ends of an in-memory session. Its operations block durably, so it
// can be used in a testing/synctest bubble.
func Pipe(opts ...PipeOption) (agent, entry Session) {
	p := &pipe{faults: &Faults{}, done: make(chan struct{})}
	for _, opt := range opts {
		opt(p)
	}
	p.faults.mu.Lock()
	p.faults.cut = p.close
	p.faults.mu.Unlock()
	a := &pipeSession{pipe: p, side: AgentSide, accepts: newInbox[*pipeStream]()}
	e := &pipeSession{pipe: p, side: EntrySide, accepts: newInbox[*pipeStream]()}
	a.peer, e.peer = e, a
	return a, e
}

type pipe struct {
	faults *Faults
	once   sync.Once
	done   chan struct{}
}

func (p *pipe) close() { p.once.Do(func() { close(p.done) }) }

type pipeSession struct {
	pipe    *pipe
	side    Side
	peer    *pipeSession
	accepts *inbox[*pipeStream]
}

// Open implements Session.
func (s *pipeSession) Open(ctx context.Context) (Stream, error) {
	if err := ctx.Err(); err != nil {
		return nil, err
	}
	select {
	case <-s.pipe.done:
		return nil, ErrSessionClosed
	default:
	}
	local := &pipeStream{session: s, in: newInbox[[]byte](), closed: make(chan struct{})}
	remote := &pipeStream{session: s.peer, in: newInbox[[]byte](), closed: make(chan struct{})}
	local.peer, remote.peer = remote, local
	fault := s.pipe.faults.faultFor(s.side, nil)
	if !fault.Drop {
		s.peer.accepts.put(remote, time.Now().Add(fault.Delay), false)
	}
	return local, nil
}

// Accept implements Session.
func (s *pipeSession) Accept(ctx context.Context) (Stream, error) {
	for {
		stream, ok, wait := s.accepts.take()
		if ok {
			return stream, nil
		}
		select {
		case <-s.accepts.changed:
		case <-wait:
		case <-ctx.Done():
			return nil, ctx.Err()
		case <-s.pipe.done:
			return nil, ErrSessionClosed
		}
	}
}

// Done implements Session.
func (s *pipeSession) Done() <-chan struct{} { return s.pipe.done }

// RemoteAddr implements Session.
func (s *pipeSession) RemoteAddr() string { return fmt.Sprintf("pipe/%s", s.peer.side) }

// Close implements Session.
func (s *pipeSession) Close() error {
	s.pipe.close()
	return nil
}

type pipeStream struct {
	session *pipeSession
	peer    *pipeStream
	in      *inbox[[]byte]

	mu       sync.Mutex
	deadline time.Time
	once     sync.Once
	closed   chan struct{}
}

// Send implements Stream.
func (s *pipeStream) Send(m proto.Message) error {
	data, err := proto.Marshal(m)
	if err != nil {
		return fmt.Errorf("encode: %w", err)
	}
	if len(data) > MaxMessageBytes {
		return ErrMessageTooLarge
	}
	select {
	case <-s.session.pipe.done:
		return ErrSessionClosed
	case <-s.closed:
		return io.ErrClosedPipe
	default:
	}
	if d := s.currentDeadline(); !d.IsZero() && !time.Now().Before(d) {
		return os.ErrDeadlineExceeded
	}
	faults := s.session.pipe.faults
	fault := faults.faultFor(s.session.side, m)
	if !fault.Drop {
		at := time.Now().Add(fault.Delay)
		s.peer.in.put(data, at, fault.Reorder)
		if fault.Duplicate {
			s.peer.in.put(data, at, fault.Reorder)
		}
	}
	faults.applyAfterSend(fault)
	return nil
}

// Recv implements Stream.
func (s *pipeStream) Recv(m proto.Message) error {
	for {
		data, ok, wait := s.in.take()
		if ok && data == nil {
			s.in.put(nil, time.Time{}, true) // io.EOF on every later call
			return io.EOF
		}
		if ok {
			if err := proto.Unmarshal(data, m); err != nil {
				return fmt.Errorf("decode: %w", err)
			}
			return nil
		}
		if err := s.wait(wait); err != nil {
			return err
		}
	}
}

// wait blocks until the inbox may have changed. It returns an error when the deadline has
// passed or the stream or session is closed.
func (s *pipeStream) wait(next <-chan time.Time) error {
	var expired <-chan time.Time
	if d := s.currentDeadline(); !d.IsZero() {
		timer := time.NewTimer(time.Until(d))
		defer timer.Stop()
		expired = timer.C
	}
	select {
	case <-s.in.changed:
		return nil
	case <-next:
		return nil
	case <-expired:
		if s.currentDeadline().After(time.Now()) {
			return nil
		}
		return os.ErrDeadlineExceeded
	case <-s.closed:
		return io.ErrClosedPipe
	case <-s.session.pipe.done:
		return ErrSessionClosed
	}
}

func (s *pipeStream) currentDeadline() time.Time {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.deadline
}

// SetDeadline implements Stream.
func (s *pipeStream) SetDeadline(t time.Time) error {
	s.mu.Lock()
	s.deadline = t
	s.mu.Unlock()
	s.in.notify()
	return nil
}

// Close implements Stream.
func (s *pipeStream) Close() error {
	s.once.Do(func() {
		close(s.closed)
		fault := s.session.pipe.faults.faultFor(s.session.side, nil)
		if !fault.Drop {
			s.peer.in.put(nil, time.Now().Add(fault.Delay), false)
		}
	})
	return nil
}

// inbox is a queue of values, each of which arrives at a given time.
type inbox[T any] struct {
	mu      sync.Mutex
	items   []arrival[T]
	latest  time.Time
	changed chan struct{}
}

type arrival[T any] struct {
	at    time.Time
	value T
}

func newInbox[T any]() *inbox[T] { return &inbox[T]{changed: make(chan struct{}, 1)} }

// put adds a value that arrives at the given time. Unless reorder is set, it arrives after
// all values added before it without reorder.
func (b *inbox[T]) put(value T, at time.Time, reorder bool) {
	b.mu.Lock()
	if !reorder {
		if at.Before(b.latest) {
			at = b.latest
		}
		b.latest = at
	}
	b.items = append(b.items, arrival[T]{at: at, value: value})
	slices.SortStableFunc(b.items, func(x, y arrival[T]) int { return x.at.Compare(y.at) })
	b.mu.Unlock()
	b.notify()
}

// take returns the first value that has arrived. If there is none, it returns a channel
// that fires at the next arrival, or a nil channel if the queue is empty.
func (b *inbox[T]) take() (value T, ok bool, next <-chan time.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if len(b.items) == 0 {
		return value, false, nil
	}
	first := b.items[0]
	if wait := time.Until(first.at); wait > 0 {
		return value, false, time.After(wait)
	}
	b.items = b.items[1:]
	if len(b.items) > 0 {
		b.notify()
	}
	return first.value, true, nil
}

func (b *inbox[T]) notify() {
	select {
	case b.changed <- struct{}{}:
	default:
	}
}
