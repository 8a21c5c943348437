// Package wire carries protobuf messages between entries and agents. Session and
// Stream abstract the transport: yamux over TCP in production, and an in-memory
// transport with fault injection in tests under synctest.
package wire

import (
	"context"
	"errors"
	"time"

	"google.golang.org/protobuf/proto"
)

// ErrSessionClosed is returned when the session has ended. If Open returns it, nothing
// was sent.
var ErrSessionClosed = errors.New("session closed")

// MaxMessageBytes is the maximum encoded size of one message.
const MaxMessageBytes = 4 << 20

// Stream is an ordered, bidirectional stream of messages.
type Stream interface {
	// Send writes one message. After an error the peer may or may not have
	// received it.
	Send(m proto.Message) error
	// Recv reads the next message into m. It returns io.EOF after the peer's Close.
	Recv(m proto.Message) error
	// SetDeadline sets the deadline of pending and later calls of Send and Recv.
	SetDeadline(t time.Time) error
	Close() error
}

// Session is one connection between an agent and an entry. Both sides may open
// streams.
type Session interface {
	Open(ctx context.Context) (Stream, error)
	Accept(ctx context.Context) (Stream, error)
	// Done is closed when the session has ended.
	Done() <-chan struct{}
	// RemoteAddr names the peer in logs.
	RemoteAddr() string
	Close() error
}
