package ingress

import (
	"io"
	"net"
	"testing"

	"github.com/shoenig/test"
	"github.com/shoenig/test/must"
)

// Guards against listeners that together have more connections than their limiter allows.
func TestConnLimiter_TwoListeners(t *testing.T) {
	limiter := NewConnLimiter(3, nil)
	accepted := make(chan net.Conn, 10)
	var addresses []string
	for _, name := range []string{"a", "b"} {
		inner, err := net.Listen("tcp", "127.0.0.1:0")
		must.NoError(t, err)
		ln := limiter.Listen(inner, name)
		t.Cleanup(func() { _ = ln.Close() })
		addresses = append(addresses, inner.Addr().String())
		go func() {
			for {
				conn, err := ln.Accept()
				if err != nil {
					return
				}
				accepted <- conn
			}
		}()
	}
	var conns []net.Conn
	for i := range 6 {
		conns = append(conns, dial(t, addresses[i%2]))
		<-accepted
	}
	test.Eq(t, 3, limiter.Open())
	for _, evicted := range conns[:3] {
		_, err := evicted.Read(make([]byte, 1))
		test.ErrorIs(t, err, io.EOF)
	}
}
