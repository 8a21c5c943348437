package ingress

import (
	"context"
	"errors"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"syscall"
	"time"
)

const (
	// ProgressTimeout is how long a body or a response may make no progress.
	ProgressTimeout = 5 * time.Second
	// acceptPause is the pause after a connection could not be accepted.
	acceptPause = 20 * time.Millisecond
)

// ConnLimiter bounds the open connections of one or more listeners. When there are too many, it closes one
// without a request in progress: first of those that never had one served, then of the others, the one
// with the least recent progress. If there is none, it closes the new connection.
type ConnLimiter struct {
	limit  int
	report *Report

	mu    sync.Mutex
	conns map[*Conn]struct{}
}

// NewConnLimiter returns a bound of limit connections.
func NewConnLimiter(limit int, report *Report) *ConnLimiter {
	return &ConnLimiter{limit: limit, report: report, conns: map[*Conn]struct{}{}}
}

// Listener is a listener whose open connections are bounded.
type Listener struct {
	net.Listener
	*ConnLimiter
	name string
	// writeTimeout bounds each write to a connection; 0 leaves that to the user of the connection.
	writeTimeout time.Duration
}

// Listen wraps a listener with a bound of its own. name is used in logs.
func Listen(ln net.Listener, name string, limit int, report *Report) *Listener {
	return NewConnLimiter(limit, report).Listen(ln, name)
}

// Listen wraps a listener, whose connections count together with those of the other ones. name is used in
// logs.
func (b *ConnLimiter) Listen(ln net.Listener, name string) *Listener {
	return &Listener{Listener: ln, ConnLimiter: b, name: name, writeTimeout: ProgressTimeout}
}

// WithWriteTimeout sets the time that one write to a connection may take; 0 means that the user of the
// connection sets deadlines.
func (l *Listener) WithWriteTimeout(d time.Duration) *Listener {
	l.writeTimeout = d
	return l
}

// Accept implements net.Listener. It fails only when the listener is closed: a lack of descriptors, or
// a client that has left already, must not end the process.
func (l *Listener) Accept() (net.Conn, error) {
	for {
		conn, err := l.Listener.Accept()
		if err != nil {
			if !isTransient(err) {
				return nil, err
			}
			l.report.Refused(AcceptFailed, l.name, err)
			time.Sleep(acceptPause)
			continue
		}
		c := &Conn{Conn: conn, listener: l}
		c.progress.Store(time.Now().UnixNano())
		if l.admit(c) {
			return c, nil
		}
		l.report.Refused(Connections, l.name, nil)
		_ = conn.Close()
	}
}

func isTransient(err error) bool {
	return errors.Is(err, syscall.EMFILE) || errors.Is(err, syscall.ENFILE) || errors.Is(err, syscall.ENOBUFS) ||
		errors.Is(err, syscall.ENOMEM) || errors.Is(err, syscall.ECONNABORTED) || errors.Is(err, syscall.EPROTO)
}

// admit adds a connection, and closes another one if there are too many. It returns false if none
// can be closed.
func (l *Listener) admit(c *Conn) bool {
	l.mu.Lock()
	var victim *Conn
	if len(l.conns) >= l.limit {
		if victim = l.victim(); victim == nil {
			l.mu.Unlock()
			return false
		}
		delete(l.conns, victim)
	}
	l.conns[c] = struct{}{}
	l.mu.Unlock()
	if victim != nil {
		l.report.Refused(ConnectionEvicted, victim.listener.name, nil)
		_ = victim.Close()
	}
	return true
}

func (b *ConnLimiter) victim() *Conn {
	var victim *Conn
	for c := range b.conns {
		if !c.busy.Load() && (victim == nil || c.before(victim)) {
			victim = c
		}
	}
	return victim
}

// Open returns the number of open connections.
func (b *ConnLimiter) Open() int {
	b.mu.Lock()
	defer b.mu.Unlock()
	return len(b.conns)
}

// Conn is a connection of a Listener.
type Conn struct {
	net.Conn
	listener *Listener
	// progress is when something was last received or sent, in Unix nanoseconds.
	progress atomic.Int64
	// busy is set while a request that has been received is in progress, served once one has been served.
	busy, served atomic.Bool
}

// where names the listener of a connection, which may be nil, in logs.
func (c *Conn) where() string {
	if c == nil {
		return "unknown"
	}
	return c.listener.name
}

// before reports whether c is to be closed rather than d.
func (c *Conn) before(d *Conn) bool {
	if c.served.Load() != d.served.Load() {
		return d.served.Load()
	}
	return c.progress.Load() < d.progress.Load()
}

// NetConn returns the connection that c wraps.
func (c *Conn) NetConn() net.Conn { return c.Conn }

// MarkServed records that a request or a session of the client was valid.
func (c *Conn) MarkServed() { c.served.Store(true) }

// MarkServed records that a request or a session of the client was valid, if conn is a Conn.
func MarkServed(conn net.Conn) {
	if c, ok := conn.(*Conn); ok {
		c.MarkServed()
	}
}

// Read implements net.Conn.
func (c *Conn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	if n > 0 {
		c.progress.Store(time.Now().UnixNano())
	}
	return n, err
}

// Write implements net.Conn. It fails if the client does not read in time.
func (c *Conn) Write(p []byte) (int, error) {
	now := time.Now()
	if timeout := c.listener.writeTimeout; timeout > 0 {
		_ = c.Conn.SetWriteDeadline(now.Add(timeout))
	}
	n, err := c.Conn.Write(p)
	if n > 0 {
		c.progress.Store(now.UnixNano())
	}
	var timeout net.Error
	if errors.As(err, &timeout) && timeout.Timeout() {
		c.listener.report.Refused(ResponseUnread, c.listener.name, nil)
	}
	return n, err
}

// Close implements net.Conn.
func (c *Conn) Close() error {
	c.listener.mu.Lock()
	delete(c.listener.conns, c)
	c.listener.mu.Unlock()
	return c.Conn.Close()
}

type connKey struct{}

// connOf returns the connection of a request, or nil if its server was not configured by Configure.
func connOf(r *http.Request) *Conn {
	c, _ := r.Context().Value(connKey{}).(*Conn)
	return c
}

// Configure sets up an HTTP server that serves a Listener: it bounds headers, and the time for which a
// body that its handler does not read may stay open.
func Configure(s *http.Server) {
	if s.MaxHeaderBytes == 0 {
		s.MaxHeaderBytes = MaxHeaderBytes
	}
	s.ConnContext = func(ctx context.Context, conn net.Conn) context.Context {
		if c, ok := conn.(*Conn); ok {
			return context.WithValue(ctx, connKey{}, c)
		}
		return ctx
	}
	bodyTimeout := ProgressTimeout + deadlineStep
	if s.ReadTimeout > 0 {
		bodyTimeout = min(bodyTimeout, s.ReadTimeout)
	}
	next := s.Handler
	s.Handler = http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		c := connOf(r)
		if c == nil {
			next.ServeHTTP(w, r)
			return
		}
		if r.ContentLength != 0 {
			_ = c.SetReadDeadline(time.Now().Add(bodyTimeout))
		} else {
			c.busy.Store(true)
		}
		next.ServeHTTP(w, r)
		c.busy.Store(false)
		c.MarkServed()
	})
}
