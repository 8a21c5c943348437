package test

import (
	"io"
	"net"
	"sync"
	"testing"

	"github.com/shoenig/test/must"
)

// forwarder forwards TCP connections to a target until blackhole is called. Then
// open connections stay open but carry nothing in either direction, and new
// ones hang.
type forwarder struct {
	addr       string
	target     string
	mu         sync.Mutex
	blackholed chan struct{} // closed when connections are blackholed
	conns      []net.Conn
}

func newForwarder(t *testing.T, target string) *forwarder {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	must.NoError(t, err)
	f := &forwarder{addr: ln.Addr().String(), target: target, blackholed: make(chan struct{})}
	t.Cleanup(func() {
		_ = ln.Close()
		f.mu.Lock()
		defer f.mu.Unlock()
		for _, c := range f.conns {
			_ = c.Close()
		}
	})
	go func() {
		for {
			conn, err := ln.Accept()
			if err != nil {
				return
			}
			f.forward(conn)
		}
	}()
	return f
}

func (f *forwarder) forward(conn net.Conn) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.conns = append(f.conns, conn)
	select {
	case <-f.blackholed:
		return
	default:
	}
	out, err := net.Dial("tcp", f.target)
	if err != nil {
		_ = conn.Close()
		return
	}
	f.conns = append(f.conns, out)
	go f.copy(out, conn, f.blackholed)
	go f.copy(conn, out, f.blackholed)
}

func (f *forwarder) copy(dst, src net.Conn, blackholed chan struct{}) {
	buf := make([]byte, 32<<10)
	for {
		n, err := src.Read(buf)
		select {
		case <-blackholed:
			return // neither forwarded nor closed
		default:
		}
		if n > 0 {
			if _, werr := dst.Write(buf[:n]); werr != nil {
				err = io.EOF
			}
		}
		if err != nil {
			_ = dst.Close()
			_ = src.Close()
			return
		}
	}
}

// blackhole permanently stops the traffic of all open connections. New
// connections work if newConnsWork is set, and hang otherwise.
func (f *forwarder) blackhole(newConnsWork bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	close(f.blackholed)
	if newConnsWork {
		f.blackholed = make(chan struct{})
	}
}
