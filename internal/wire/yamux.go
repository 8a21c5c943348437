package wire

import (
	"bytes"
	"context"
	"crypto/tls"
	"encoding/binary"
	"errors"
	"fmt"
	"io"
	"net"
	"os"
	"strings"
	"sync"
	"time"

	"github.com/apex/log"
	"github.com/hashicorp/yamux"
	"google.golang.org/protobuf/encoding/protodelim"
	"google.golang.org/protobuf/proto"

	"bamboowood/internal/netcount"
)

// Limits of a yamux session.
const (
	// acceptBacklog bounds the streams that wait for Accept. It is twice
	// maxStreams so that opening a stream never blocks on it.
	acceptBacklog = 2 * maxStreams
	// maxStreams bounds the open streams of one session.
	maxStreams = 128
	// streamWindowBytes is the flow control window of one stream, the minimum
	// that yamux allows.
	streamWindowBytes = 256 << 10
	// writeTimeout bounds one write to the connection. A connection on which a
	// write times out is closed.
	writeTimeout = 500 * time.Millisecond
	// streamCloseTimeout bounds the wait of a closed stream for the peer's close.
	streamCloseTimeout = 5 * time.Second
	// dialTimeout bounds the TCP connect and the TLS handshake.
	dialTimeout = 2 * time.Second
)

// ErrTooManyStreams is returned when the session has maxStreams open streams; nothing
// was sent.
var ErrTooManyStreams = errors.New("too many streams")

// ErrMessageTooLarge is returned when a message exceeds MaxMessageBytes; nothing was
// sent.
var ErrMessageTooLarge = errors.New("message too large")

// errNoPeerMemory ends a bounded session that has no memory for what its peer sends.
var errNoPeerMemory = errors.New("no memory for messages of the peer")

// Dial connects to an entry and starts a session on the connection. If tlsConfig is
// nil, the connection is plain TCP.
func Dial(ctx context.Context, addr string, tlsConfig *tls.Config) (Session, error) {
	conn, err := netcount.Dialer(netcount.Entry, dialTimeout)(ctx, "tcp", addr)
	if err != nil {
		return nil, fmt.Errorf("dial %s: %w", addr, err)
	}
	if tlsConfig != nil {
		tlsConn := tls.Client(conn, tlsConfig)
		handshakeCtx, cancel := context.WithTimeout(ctx, dialTimeout)
		defer cancel()
		if err := tlsConn.HandshakeContext(handshakeCtx); err != nil {
			_ = conn.Close()
			return nil, fmt.Errorf("tls handshake with %s: %w", addr, err)
		}
		conn = tlsConn
	}
	return NewClientSession(conn)
}

// NewClientSession starts the agent's side of a session on conn.
func NewClientSession(conn net.Conn) (Session, error) {
	return newYamuxSession(conn, yamux.Client)
}

// NewServerSession starts the entry's side of a session on conn.
func NewServerSession(conn net.Conn) (Session, error) {
	return newYamuxSession(conn, yamux.Server)
}

func newYamuxSession(
	conn net.Conn, start func(io.ReadWriteCloser, *yamux.Config) (*yamux.Session, error),
) (Session, error) {
	session, err := start(&frameConn{Conn: conn}, yamuxConfig())
	if err != nil {
		_ = conn.Close()
		return nil, fmt.Errorf("yamux: %w", err)
	}
	return &yamuxSession{session: session, remote: conn.RemoteAddr().String(), maxMessage: MaxMessageBytes}, nil
}

// yamuxConfig sets every field. Keep-alive is disabled because the heartbeats of package
// link detect dead sessions. No open timeout is set because package exchange bounds the
// wait for an accept.
func yamuxConfig() *yamux.Config {
	return &yamux.Config{
		AcceptBacklog:          acceptBacklog,
		EnableKeepAlive:        false,
		KeepAliveInterval:      time.Minute, // unused, must not be zero
		ConnectionWriteTimeout: writeTimeout,
		MaxStreamWindowSize:    streamWindowBytes,
		StreamOpenTimeout:      0,
		StreamCloseTimeout:     streamCloseTimeout,
		LogOutput:              nil,
		Logger:                 yamuxLogger{},
	}
}

type yamuxSession struct {
	session    *yamux.Session
	remote     string
	maxMessage int
	// memory is nil if the session's memory is not bounded.
	memory *sessionMemory
}

func (s *yamuxSession) newStream(stream *yamux.Stream) *yamuxStream {
	return &yamuxStream{stream: stream, session: s}
}

// Open implements Session.
func (s *yamuxSession) Open(ctx context.Context) (Stream, error) {
	if err := ctx.Err(); err != nil {
		return nil, err
	}
	if s.session.NumStreams() >= maxStreams {
		return nil, ErrTooManyStreams
	}
	stream, err := s.session.OpenStream()
	if err != nil {
		return nil, fmt.Errorf("%w: %w", ErrSessionClosed, err)
	}
	if s.memory != nil {
		s.memory.opened(stream.StreamID())
	}
	return s.newStream(stream), nil
}

// Accept implements Session. A stream that fails while it is being accepted is skipped.
func (s *yamuxSession) Accept(ctx context.Context) (Stream, error) {
	for {
		stream, err := s.session.AcceptStreamWithContext(ctx)
		if err == nil && s.memory != nil && s.session.NumStreams() > maxPeerStreams {
			_ = s.Close()
			return nil, ErrTooManyStreams
		}
		if err == nil {
			return s.newStream(stream), nil
		}
		if ctx.Err() != nil {
			return nil, ctx.Err()
		}
		if s.session.IsClosed() {
			return nil, fmt.Errorf("%w: %w", ErrSessionClosed, err)
		}
	}
}

// Done implements Session.
func (s *yamuxSession) Done() <-chan struct{} { return s.session.CloseChan() }

// RemoteAddr implements Session.
func (s *yamuxSession) RemoteAddr() string { return s.remote }

// Close implements Session.
func (s *yamuxSession) Close() error { return s.session.Close() }

type yamuxStream struct {
	stream     *yamux.Stream
	session    *yamuxSession
	byteBuffer [1]byte
}

// writeBuffers holds the buffers of messages being encoded.
var writeBuffers = sync.Pool{New: func() any { return new(bytes.Buffer) }}

// maxPooledBytes is the capacity of the largest buffer that is returned to writeBuffers.
const maxPooledBytes = 64 << 10

// Send implements Stream. It sends the message in one write.
func (s *yamuxStream) Send(m proto.Message) error {
	if proto.Size(m) > MaxMessageBytes {
		return ErrMessageTooLarge
	}
	buf := writeBuffers.Get().(*bytes.Buffer)
	defer func() {
		if buf.Cap() <= maxPooledBytes {
			buf.Reset()
			writeBuffers.Put(buf)
		}
	}()
	if _, err := protodelim.MarshalTo(buf, m); err != nil {
		return fmt.Errorf("encode: %w", err)
	}
	if _, err := s.stream.Write(buf.Bytes()); err != nil {
		return s.normalize(err)
	}
	return nil
}

// Recv implements Stream.
func (s *yamuxStream) Recv(m proto.Message) error {
	size, err := binary.ReadUvarint(s)
	if err != nil {
		return s.normalize(err)
	}
	if size > uint64(s.session.maxMessage) {
		return &protodelim.SizeTooLargeError{Size: size, MaxSize: uint64(s.session.maxMessage)}
	}
	if memory := s.session.memory; memory != nil {
		if err := memory.take(int64(size)); err != nil {
			return err
		}
		defer memory.member.Give(int64(size))
	}
	data := make([]byte, size)
	if _, err := io.ReadFull(s, data); err != nil {
		return s.normalize(noEOF(err))
	}
	if err := proto.Unmarshal(data, m); err != nil {
		return fmt.Errorf("decode: %w", err)
	}
	return nil
}

// noEOF returns io.ErrUnexpectedEOF instead of io.EOF, for a message that has begun.
func noEOF(err error) error {
	if errors.Is(err, io.EOF) {
		return io.ErrUnexpectedEOF
	}
	return err
}

// Read implements io.Reader.
func (s *yamuxStream) Read(p []byte) (int, error) {
	n, err := s.stream.Read(p)
	if memory := s.session.memory; memory != nil && n > 0 {
		memory.read(s.stream.StreamID(), bufferFactor*int64(n))
	}
	return n, err
}

// ReadByte implements io.ByteReader.
func (s *yamuxStream) ReadByte() (byte, error) {
	_, err := io.ReadFull(s, s.byteBuffer[:])
	return s.byteBuffer[0], err
}

// normalize maps yamux's errors to those of the Stream contract.
func (s *yamuxStream) normalize(err error) error {
	switch {
	case s.stream.Session().IsClosed():
		return fmt.Errorf("%w: %w", ErrSessionClosed, err)
	case errors.Is(err, yamux.ErrTimeout), errors.Is(err, yamux.ErrConnectionWriteTimeout):
		return fmt.Errorf("%w: %w", os.ErrDeadlineExceeded, err)
	}
	return err
}

// SetDeadline implements Stream.
func (s *yamuxStream) SetDeadline(t time.Time) error { return s.stream.SetDeadline(t) }

// Close implements Stream.
func (s *yamuxStream) Close() error {
	if memory := s.session.memory; memory != nil {
		defer memory.closed(s.stream.StreamID())
	}
	return s.stream.Close()
}

// yamuxLogger logs yamux's messages at debug level, since failures are also returned to
// the caller as errors.
type yamuxLogger struct{}

// Print implements yamux.Logger.
func (yamuxLogger) Print(v ...any) { logYamux(fmt.Sprint(v...)) }

// Printf implements yamux.Logger.
func (yamuxLogger) Printf(format string, v ...any) { logYamux(fmt.Sprintf(format, v...)) }

// Println implements yamux.Logger.
func (yamuxLogger) Println(v ...any) { logYamux(fmt.Sprintln(v...)) }

func logYamux(message string) {
	log.WithField("component", "yamux").Debug(strings.TrimSpace(message))
}
