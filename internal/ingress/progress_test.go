package ingress

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"slices"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/shoenig/test"
	"github.com/shoenig/test/must"
)

// pipeListener accepts the ends of in-memory connections.
type pipeListener struct{ conns chan net.Conn }

func (l *pipeListener) Accept() (net.Conn, error) {
	if conn, ok := <-l.conns; ok {
		return conn, nil
	}
	return nil, net.ErrClosed
}
func (l *pipeListener) Close() error   { return nil }
func (l *pipeListener) Addr() net.Addr { return &net.TCPAddr{} }

// exchange sends the parts of a request with a pause before each, and returns the status and the time
// until the response.
func exchange(t *testing.T, pause time.Duration, parts ...string) (status int, took time.Duration) {
	l := &pipeListener{conns: make(chan net.Conn, 1)}
	g := NewGate(minBodies, 0, nil)
	s := &http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		body, err := g.Read(w, r, 262_144)
		switch {
		case errors.Is(err, ErrStalled):
			w.WriteHeader(http.StatusRequestTimeout)
		case err != nil:
			w.WriteHeader(http.StatusBadRequest)
		default:
			body.Release()
		}
	})}
	Configure(s)
	go func() { _ = s.Serve(Listen(l, "test", 10, nil)) }()
	near, far := net.Pipe()
	l.conns <- far
	began := time.Now()
	go func() {
		for _, part := range parts {
			time.Sleep(pause)
			if _, err := io.WriteString(near, part); err != nil {
				return
			}
		}
	}()
	response, err := http.ReadResponse(bufio.NewReader(near), nil)
	must.NoError(t, err)
	took = time.Since(began)
	_ = near.Close()
	close(l.conns)
	_ = s.Close()
	test.Zero(t, g.account.used)
	return response.StatusCode, took
}

// Guards against a slow body, of any kind, that is refused without load although it makes progress, and
// against one that is kept without progress.
func TestGate_Progress(t *testing.T) {
	const n = 40
	declared := fmt.Sprintf("POST / HTTP/1.1\r\nHost: h\r\nContent-Length: %d\r\n\r\n", n)
	var chunks []string
	for range n {
		chunks = append(chunks, "1\r\nx\r\n")
	}
	for name, parts := range map[string][]string{
		"declared": append([]string{declared}, strings.Split(strings.Repeat("x", n), "")...),
		"chunked":  slices.Concat([]string{chunkedPost}, chunks, []string{"0\r\n\r\n"}),
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				status, took := exchange(t, ProgressTimeout-time.Millisecond, parts...)
				test.Eq(t, 200, status)
				test.Greater(t, n*ProgressTimeout*9/10, took)
			})
		})
		t.Run(name+", stopped", func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				status, took := exchange(t, 0, parts[:n/2]...)
				test.Eq(t, http.StatusRequestTimeout, status)
				test.Less(t, 2*ProgressTimeout, took)
			})
		})
	}
}
