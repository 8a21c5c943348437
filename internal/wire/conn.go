package wire

import (
	"encoding/binary"
	"net"
	"time"
)

// Layout of the yamux frame header: version, type, flags, stream, length.
const (
	frameHeaderBytes  = 12
	frameTypeOffset   = 1
	frameFlagsOffset  = 2
	frameStreamOffset = 4
	frameLengthOffset = 8
	frameTypeData     = 0
	frameFlagSYN      = 1
)

// maxJoinedBytes is the largest frame body that is copied behind its header so that
// both are sent in one write.
const maxJoinedBytes = 64 << 10

// frameConn bounds each write by writeTimeout. It sends the header and the body of a
// data frame in one write; yamux writes them separately. Write is called only by the
// sending goroutine of yamux, so it needs no lock.
type frameConn struct {
	net.Conn
	// frame buffers the header of a data frame until its body is written.
	frame []byte
	// memory accounts for what is read; nil if that is not bounded.
	memory *sessionMemory
}

// Read implements io.Reader. It is called only by the receiving goroutine of yamux.
func (c *frameConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	if c.memory != nil && n > 0 {
		if short := c.memory.received(p[:n]); short != nil {
			return 0, short
		}
	}
	return n, err
}

// Write implements io.Writer.
func (c *frameConn) Write(p []byte) (int, error) {
	if len(c.frame) == 0 && isDataHeader(p) {
		c.frame = append(c.frame, p...)
		return len(p), nil
	}
	if err := c.SetWriteDeadline(time.Now().Add(writeTimeout)); err != nil {
		return 0, err
	}
	if len(c.frame) == 0 {
		return c.Conn.Write(p)
	}
	header := len(c.frame)
	if len(p) > maxJoinedBytes {
		return c.writeSeparately(p)
	}
	c.frame = append(c.frame, p...)
	n, err := c.Conn.Write(c.frame)
	c.frame = c.frame[:0]
	return max(n-header, 0), err
}

// writeSeparately writes the buffered header and then p.
func (c *frameConn) writeSeparately(p []byte) (int, error) {
	_, err := c.Conn.Write(c.frame)
	c.frame = c.frame[:0]
	if err != nil {
		return 0, err
	}
	return c.Conn.Write(p)
}

// isDataHeader reports whether p is the header of a data frame with a body.
func isDataHeader(p []byte) bool {
	return len(p) == frameHeaderBytes && p[frameTypeOffset] == frameTypeData &&
		binary.BigEndian.Uint32(p[frameLengthOffset:]) > 0
}
