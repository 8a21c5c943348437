package soak

import (
	"net"
	"sync"
	"testing"
	"time"

	"github.com/shoenig/test/must"
)

// direction is the direction of bytes through a proxy: to the server, or back to the client
// that dialled.
type direction int

const (
	toServer direction = iota
	toClient
	directionCount
)

// proxy is a TCP proxy on loopback in front of one address. An injected fault applies to all
// connections through it.
type proxy struct {
	target string
	ln     net.Listener

	mu      sync.Mutex
	changed *sync.Cond
	// blocked directions forward nothing until clearFaults.
	blocked [directionCount]bool
	delay   time.Duration
	conns   map[*proxyConn]struct{}
}

// proxyConn is one connection through a proxy.
type proxyConn struct {
	client, server *net.TCPConn
	// blackholed connections stay open and are read, but what they carry is dropped.
	blackholed, closed bool
}

func newProxy(t *testing.T, target string) *proxy {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	must.NoError(t, err)
	p := &proxy{target: target, ln: ln, conns: map[*proxyConn]struct{}{}}
	p.changed = sync.NewCond(&p.mu)
	go p.accept()
	t.Cleanup(func() {
		_ = ln.Close()
		p.clearFaults()
		p.reset()
	})
	return p
}

func (p *proxy) address() string { return p.ln.Addr().String() }

func (p *proxy) accept() {
	for {
		conn, err := p.ln.Accept()
		if err != nil {
			return
		}
		go p.serve(conn.(*net.TCPConn))
	}
}

func (p *proxy) serve(client *net.TCPConn) {
	if !p.waitToForward(&proxyConn{}, toServer) {
		_ = client.Close()
		return
	}
	conn, err := net.Dial("tcp", p.target)
	if err != nil {
		_ = client.SetLinger(0)
		_ = client.Close()
		return
	}
	c := &proxyConn{client: client, server: conn.(*net.TCPConn)}
	p.mu.Lock()
	p.conns[c] = struct{}{}
	p.mu.Unlock()
	go p.copy(c, c.server, c.client, toServer)
	p.copy(c, c.client, c.server, toClient)
}

const copyBuffer = 32 << 10

func (p *proxy) copy(c *proxyConn, dst, src *net.TCPConn, d direction) {
	buf := make([]byte, copyBuffer)
	for {
		n, err := src.Read(buf)
		if n > 0 && p.waitToForward(c, d) {
			if _, werr := dst.Write(buf[:n]); werr != nil {
				err = werr
			}
		}
		if err != nil {
			p.close(c)
			return
		}
	}
}

// waitToForward delays or blocks bytes according to the injected faults. It returns false if
// the bytes are to be dropped.
func (p *proxy) waitToForward(c *proxyConn, d direction) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.delay > 0 {
		delay := p.delay
		p.mu.Unlock()
		<-time.After(delay)
		p.mu.Lock()
	}
	for p.blocked[d] && !c.blackholed && !c.closed {
		p.changed.Wait()
	}
	return !c.blackholed && !c.closed
}

func (p *proxy) close(c *proxyConn) {
	p.mu.Lock()
	defer p.mu.Unlock()
	c.closed = true
	delete(p.conns, c)
	p.changed.Broadcast()
	_ = c.client.Close()
	_ = c.server.Close()
}

// reset resets all open connections.
func (p *proxy) reset() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for c := range p.conns {
		_ = c.client.SetLinger(0)
		_ = c.server.SetLinger(0)
		_ = c.client.Close()
		_ = c.server.Close()
	}
}

// blackhole permanently drops what the open connections carry; new connections work.
func (p *proxy) blackhole() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for c := range p.conns {
		c.blackholed = true
	}
	p.changed.Broadcast()
}

// block blocks the given directions until clearFaults.
func (p *proxy) block(ds ...direction) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, d := range ds {
		p.blocked[d] = true
	}
}

// setDelay delays all bytes until clearFaults.
func (p *proxy) setDelay(by time.Duration) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.delay = by
}

// clearFaults ends blocks and delays.
func (p *proxy) clearFaults() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.blocked, p.delay = [directionCount]bool{}, 0
	p.changed.Broadcast()
}
