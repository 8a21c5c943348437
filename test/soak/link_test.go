package soak

import (
	"net"
	"sync"
	"testing"
	"time"

	"github.com/shoenig/test/must"
)

// direction of bytes on a link: from the side that dialled, or to it.
type direction int

const (
	forth direction = iota
	back
	directions
)

// link is a loopback proxy in front of one address. Its faults hold for all connections
// through it.
type link struct {
	target string
	ln     net.Listener

	mu    sync.Mutex
	moved *sync.Cond
	// held directions pass nothing on until they are let go.
	held  [directions]bool
	delay time.Duration
	conns map[*pair]struct{}
}

// pair is one connection through a link.
type pair struct {
	near, far *net.TCPConn
	// muted connections are read and pass nothing on any more.
	muted, closed bool
}

func newLink(t *testing.T, target string) *link {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	must.NoError(t, err)
	l := &link{target: target, ln: ln, conns: map[*pair]struct{}{}}
	l.moved = sync.NewCond(&l.mu)
	go l.accept()
	t.Cleanup(func() {
		_ = ln.Close()
		l.heal()
		l.reset()
	})
	return l
}

func (l *link) address() string { return l.ln.Addr().String() }

func (l *link) accept() {
	for {
		conn, err := l.ln.Accept()
		if err != nil {
			return
		}
		go l.serve(conn.(*net.TCPConn))
	}
}

func (l *link) serve(near *net.TCPConn) {
	if !l.wait(&pair{}, forth) {
		_ = near.Close()
		return
	}
	conn, err := net.Dial("tcp", l.target)
	if err != nil {
		_ = near.SetLinger(0)
		_ = near.Close()
		return
	}
	p := &pair{near: near, far: conn.(*net.TCPConn)}
	l.mu.Lock()
	l.conns[p] = struct{}{}
	l.mu.Unlock()
	go l.copy(p, p.far, p.near, forth)
	l.copy(p, p.near, p.far, back)
}

const copyBuffer = 32 << 10

func (l *link) copy(p *pair, dst, src *net.TCPConn, d direction) {
	buf := make([]byte, copyBuffer)
	for {
		n, err := src.Read(buf)
		if n > 0 && l.wait(p, d) {
			if _, werr := dst.Write(buf[:n]); werr != nil {
				err = werr
			}
		}
		if err != nil {
			l.close(p)
			return
		}
	}
}

// wait holds bytes up as the link's faults say. It returns false if they are to be dropped.
func (l *link) wait(p *pair, d direction) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.delay > 0 {
		delay := l.delay
		l.mu.Unlock()
		<-time.After(delay)
		l.mu.Lock()
	}
	for l.held[d] && !p.muted && !p.closed {
		l.moved.Wait()
	}
	return !p.muted && !p.closed
}

func (l *link) close(p *pair) {
	l.mu.Lock()
	defer l.mu.Unlock()
	p.closed = true
	delete(l.conns, p)
	l.moved.Broadcast()
	_ = p.near.Close()
	_ = p.far.Close()
}

// reset breaks all open connections off.
func (l *link) reset() {
	l.mu.Lock()
	defer l.mu.Unlock()
	for p := range l.conns {
		_ = p.near.SetLinger(0)
		_ = p.far.SetLinger(0)
		_ = p.near.Close()
		_ = p.far.Close()
	}
}

// mute makes all open connections silent for good; new ones work.
func (l *link) mute() {
	l.mu.Lock()
	defer l.mu.Unlock()
	for p := range l.conns {
		p.muted = true
	}
	l.moved.Broadcast()
}

// hold stops the bytes of some directions until heal.
func (l *link) hold(ds ...direction) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, d := range ds {
		l.held[d] = true
	}
}

// slow delays all bytes.
func (l *link) slow(by time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.delay = by
}

// heal ends holds and delays.
func (l *link) heal() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.held, l.delay = [directions]bool{}, 0
	l.moved.Broadcast()
}
