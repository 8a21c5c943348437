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
		s.memory = &sessionMemory{peer: s.remote, report: bounds.Report}
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

// sessionMemory accounts for the data that a session has received and that no stream has read yet. Data
// that is left when a stream is closed counts until the session ends.
type sessionMemory struct {
	member *ingress.Member
	peer   string
	report *ingress.Report
	parser frameParser
}

// received accounts for bytes that were read from the connection.
func (m *sessionMemory) received(p []byte) error {
	if n := m.parser.data(p); n > 0 {
		return m.take(bufferFactor * int64(n))
	}
	return nil
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

// frameParser finds the bodies of data frames in the bytes of a connection.
type frameParser struct {
	header [frameHeaderBytes]byte
	filled int
	// body is the number of bytes that are left of the current frame's body.
	body int
}

// data returns how many of the bytes p, which follow those of earlier calls, are bodies of data frames.
func (f *frameParser) data(p []byte) int {
	total := 0
	for len(p) > 0 {
		if f.body > 0 {
			n := min(f.body, len(p))
			total, f.body, p = total+n, f.body-n, p[n:]
			continue
		}
		n := copy(f.header[f.filled:], p)
		f.filled, p = f.filled+n, p[n:]
		if f.filled < frameHeaderBytes {
			break
		}
		f.filled = 0
		if f.header[frameTypeOffset] == frameTypeData {
			f.body = int(binary.BigEndian.Uint32(f.header[frameLengthOffset:]))
		}
	}
	return total
}
