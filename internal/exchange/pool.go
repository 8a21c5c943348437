package exchange

import (
	"context"

	"bamboowood/internal/wire"
)

// maxIdleStreams is the most idle streams that one session keeps.
const maxIdleStreams = 8

// StreamPool is a session that opens a stream only when it has no idle one. It
// implements PoolingSession and is safe for concurrent use.
type StreamPool struct {
	wire.Session
	idle chan wire.Stream
}

// NewStreamPool returns a StreamPool without idle streams.
func NewStreamPool(s wire.Session) *StreamPool {
	return &StreamPool{Session: s, idle: make(chan wire.Stream, maxIdleStreams)}
}

// Open implements wire.Session.
func (p *StreamPool) Open(ctx context.Context) (wire.Stream, error) {
	if err := ctx.Err(); err != nil {
		return nil, err
	}
	select {
	case stream := <-p.idle:
		return stream, nil
	default:
		return p.Session.Open(ctx)
	}
}

// PutIdle implements PoolingSession.
func (p *StreamPool) PutIdle(stream wire.Stream) {
	select {
	case p.idle <- stream:
	default:
		go stream.Close()
	}
}

// Trim closes one idle stream, if there is one.
func (p *StreamPool) Trim() {
	select {
	case stream := <-p.idle:
		go stream.Close()
	default:
	}
}
