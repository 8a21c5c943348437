// Package netcount counts the bytes that connections transfer, by kind of peer.
package netcount

import (
	"context"
	"fmt"
	"net"
	"time"

	"github.com/VictoriaMetrics/metrics"
)

// Peer is the kind of process at the other end of a connection.
type Peer string

// Kinds of peers, as in the metric's label.
const (
	Entry    Peer = "entry"
	Platform Peer = "platform"
	Worker   Peer = "worker"
)

type countingConn struct {
	net.Conn
	sent, received *metrics.Counter
}

// Wrap returns a connection that adds its traffic to
// bamboowood_connection_bytes_total{peer,direction}.
func Wrap(c net.Conn, peer Peer) net.Conn {
	return &countingConn{Conn: c, sent: counter(peer, "sent"), received: counter(peer, "received")}
}

func counter(peer Peer, direction string) *metrics.Counter {
	name := fmt.Sprintf(`bamboowood_connection_bytes_total{peer=%q,direction=%q}`, string(peer), direction)
	return metrics.GetOrCreateCounter(name)
}

// Read implements net.Conn.
func (c *countingConn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	c.received.Add(n)
	return n, err
}

// Write implements net.Conn.
func (c *countingConn) Write(b []byte) (int, error) {
	n, err := c.Conn.Write(b)
	c.sent.Add(n)
	return n, err
}

// Dialer returns a dial function that wraps its connections by Wrap.
func Dialer(peer Peer, timeout time.Duration) func(ctx context.Context, network, addr string) (net.Conn, error) {
	dialer := &net.Dialer{Timeout: timeout}
	return func(ctx context.Context, network, addr string) (net.Conn, error) {
		c, err := dialer.DialContext(ctx, network, addr)
		if err != nil {
			return nil, err
		}
		return Wrap(c, peer), nil
	}
}
