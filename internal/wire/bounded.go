package wire

import (
	"encoding/binary"
	"fmt"
	"net"
	"sync"
	"time"

	"github.com/hashicorp/yamux"

	"bamboowood/internal/ingress"
)

const (
	// maxPeerStreams bounds the streams of a bounded session, including those that the peer has not
	// closed yet. It is above maxStreams, the bound that peers of this system keep, since a closed stream
	// may last for streamCloseTimeout.
	maxPeerStreams = 8 * maxStreams
	// boundedCloseTimeout is streamCloseTimeout of bounded sessions. Closed streams keep their buffers
	// for that long.
	boundedCloseTimeout = 500 * time.Millisecond
	// bufferFactor is the memory of a stream's buffer per byte in it: yamux doubles a buffer that a
	// frame fills.
	bufferFactor = 2
	// streamOverhead is the memory of a stream besides its data, in bytes.
	streamOverhead = 256
	// memoryWait bounds the wait for memory of a peer that has been expelled, in steps of memoryPause.
	memoryWait  = time.Second
	memoryPause = 5 * time.Millisecond
)

// Bounds are the limits of a session whose peer has not been authenticated.
type Bounds struct {
	// Pool holds what has been received and not been read, and the messages that are being read. nil
	// means no bound.
	Pool *ingress.Pool
	// MaxMessage bounds one message that the peer sends; 0 means MaxMessageBytes.
	MaxMessage int
	// MaxSession bounds what the session takes of Pool; 0 means no bound of its own.
	MaxSession int64
	// Report counts sessions that end for want of memory; it may be nil.
	Report *ingress.Report
}

// NewBoundedServerSession is NewServerSession with limits.
func NewBoundedServerSession(conn net.Conn, bounds Bounds) (Session, error) {
	s := &yamuxSession{remote: conn.RemoteAddr().String(), maxMessage: bounds.MaxMessage}
	if s.maxMessage == 0 {
		s.maxMessage = MaxMessageBytes
	}
	frames := &frameConn{Conn: conn}
	if bounds.Pool != nil {
		s.memory = &sessionMemory{peer: s.remote, report: bounds.Report, streams: map[uint32]*streamMemory{}}
		s.memory.member = bounds.Pool.Join(bounds.MaxSession, sync.OnceFunc(func() {
			bounds.Report.Refused(ingress.PeerMemory, s.remote, nil)
			_ = conn.Close()
		}))
		frames.memory = s.memory
	}
	config := yamuxConfig()
	if bounds.Pool != nil {
		config.StreamCloseTimeout = boundedCloseTimeout
	}
	session, err := yamux.Server(frames, config)
	if err != nil {
		_ = conn.Close()
		return nil, fmt.Errorf("yamux: %w", err)
	}
	s.session = session
	if s.memory != nil {
		go func() {
			<-session.CloseChan()
			// The streams that were closed last keep their buffers until then.
			time.Sleep(boundedCloseTimeout)
			s.memory.member.Leave()
		}()
	}
	return s, nil
}

// sessionMemory accounts for the data that a session has received and that no stream has read yet. What is
// left when a stream is closed counts until yamux has dropped the stream's buffer.
type sessionMemory struct {
	member *ingress.Member
	peer   string
	report *ingress.Report
	parser frameParser

	mu sync.Mutex
	// streams are the streams that yamux has buffers for. It discards data of others.
	streams map[uint32]*streamMemory
}

// streamMemory is the memory of one stream.
type streamMemory struct {
	taken int64 // for data that has not been read, in bytes
	// overhead is streamOverhead if the peer opened the stream, else 0.
	overhead int64
	closed   bool
}

// received accounts for bytes that were read from the connection.
func (m *sessionMemory) received(p []byte) error {
	for len(p) > 0 {
		var part framePart
		part, p = m.parser.next(p)
		if part.opens {
			if err := m.openedByPeer(part.stream); err != nil {
				return err
			}
		}
		if err := m.receivedData(part.stream, bufferFactor*int64(part.data)); err != nil {
			return err
		}
	}
	return nil
}

// receivedData takes n bytes for data of a stream.
func (m *sessionMemory) receivedData(id uint32, n int64) error {
	m.mu.Lock()
	stream := m.streams[id]
	m.mu.Unlock()
	if n == 0 || stream == nil {
		return nil
	}
	if err := m.take(n); err != nil {
		return err
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.streams[id] != stream {
		m.member.Give(n)
		return nil
	}
	stream.taken += n
	return nil
}

// opened begins to account for a stream that this side has opened.
func (m *sessionMemory) opened(id uint32) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.streams[id] = &streamMemory{}
}

// openedByPeer begins to account for a stream. Its id may be that of one that has been closed. yamux
// refuses streams that nobody accepts, of which only streamOverhead stays until the session ends.
func (m *sessionMemory) openedByPeer(id uint32) error {
	if err := m.take(streamOverhead); err != nil {
		return err
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	if stream := m.streams[id]; stream != nil && !stream.closed {
		m.member.Give(streamOverhead)
		return nil
	}
	m.streams[id] = &streamMemory{overhead: streamOverhead}
	return nil
}

// read returns the memory of n bytes that were read from a stream.
func (m *sessionMemory) read(id uint32, n int64) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if stream := m.streams[id]; stream != nil {
		n = min(n, stream.taken)
		stream.taken -= n
		m.member.Give(n)
	}
}

// closed returns the memory of a stream once yamux has dropped its buffer.
func (m *sessionMemory) closed(id uint32) {
	m.mu.Lock()
	defer m.mu.Unlock()
	stream := m.streams[id]
	if stream == nil || stream.closed {
		return
	}
	stream.closed = true
	m.member.Give(stream.overhead)
	time.AfterFunc(boundedCloseTimeout, func() {
		m.mu.Lock()
		defer m.mu.Unlock()
		m.member.Give(stream.taken)
		stream.taken = 0
		if m.streams[id] == stream {
			delete(m.streams, id)
		}
	})
}

// take takes n bytes and waits if another peer is expelled for them.
func (m *sessionMemory) take(n int64) error {
	for began := time.Now(); ; time.Sleep(memoryPause) {
		ok, retry := m.member.Take(n)
		if ok {
			return nil
		}
		if !retry || time.Since(began) > memoryWait {
			m.report.Refused(ingress.PeerMemory, m.peer, nil)
			return errNoPeerMemory
		}
	}
}

// frameParser finds the streams and the data in the bytes of a connection.
type frameParser struct {
	header [frameHeaderBytes]byte
	filled int
	// body is the number of bytes that are left of the current frame's data.
	body int
}

// framePart is a part of one frame.
type framePart struct {
	stream uint32
	// opens is set if the frame opens the stream.
	opens bool
	// data is the number of bytes of the stream's data.
	data int
}

// next returns the first part in the bytes p, which follow those of earlier calls, and the bytes after it.
func (f *frameParser) next(p []byte) (part framePart, rest []byte) {
	if f.body > 0 {
		n := min(f.body, len(p))
		f.body -= n
		return framePart{stream: f.stream(), data: n}, p[n:]
	}
	n := copy(f.header[f.filled:], p)
	f.filled += n
	if f.filled < frameHeaderBytes {
		return framePart{}, p[n:]
	}
	f.filled = 0
	if f.header[frameTypeOffset] == frameTypeData {
		f.body = int(binary.BigEndian.Uint32(f.header[frameLengthOffset:]))
	}
	flags := binary.BigEndian.Uint16(f.header[frameFlagsOffset:])
	return framePart{stream: f.stream(), opens: flags&frameFlagSYN != 0}, p[n:]
}

func (f *frameParser) stream() uint32 { return binary.BigEndian.Uint32(f.header[frameStreamOffset:]) }
