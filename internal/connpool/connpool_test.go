package connpool_test

import (
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/shoenig/test"
	"github.com/shoenig/test/must"

	"bamboowood/internal/connpool"
)

const silence = 50 * time.Millisecond

// fixture is a server that counts its connections, and a client with a Pool whose transports are
// counted. The server leaves requests for /silent without an answer, and breaks off within the one
// for /stalls.
type fixture struct {
	url        string
	client     *http.Client
	conns      atomic.Int64
	transports atomic.Int64
}

func newFixture(t *testing.T) *fixture {
	f := &fixture{}
	server := httptest.NewUnstartedServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		switch r.URL.Path {
		case "/silent":
			<-r.Context().Done()
		case "/stalls":
			_, _ = io.WriteString(w, "begin")
			_ = http.NewResponseController(w).Flush()
			<-r.Context().Done()
		}
	}))
	server.Config.ConnState = func(_ net.Conn, state http.ConnState) {
		if state == http.StateNew {
			f.conns.Add(1)
		}
	}
	server.Start()
	t.Cleanup(server.Close)
	f.url = server.URL
	f.client = &http.Client{Transport: connpool.New("test", silence, func() *http.Transport {
		f.transports.Add(1)
		return &http.Transport{}
	})}
	t.Cleanup(f.client.CloseIdleConnections)
	return f
}

func (f *fixture) get(t *testing.T, path string, timeout time.Duration) error {
	ctx, cancel := context.WithTimeout(t.Context(), timeout)
	defer cancel()
	return f.getContext(ctx, t, path)
}

func (f *fixture) getContext(ctx context.Context, t *testing.T, path string) error {
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, f.url+path, nil)
	must.NoError(t, err)
	response, err := f.client.Do(request)
	if err != nil {
		return err
	}
	defer func() { _ = response.Body.Close() }()
	_, err = io.Copy(io.Discard, response.Body)
	return err
}

// Guards against kept connections that are used again after one of them has gone silent, before
// or within a response.
func TestPool_ReplacesConnectionsAfterTimeout(t *testing.T) {
	for _, path := range []string{"/silent", "/stalls"} {
		t.Run(path, func(t *testing.T) {
			f := newFixture(t)
			// A request that begins before the timeout and ends after it keeps its connection.
			var group sync.WaitGroup
			group.Go(func() { test.ErrorIs(t, f.get(t, path, 3*silence), context.DeadlineExceeded) })
			group.Go(func() { test.ErrorIs(t, f.get(t, path, 4*silence), context.DeadlineExceeded) })
			must.NoError(t, f.get(t, "/", time.Second))
			group.Wait()
			before := f.conns.Load()
			for range 2 {
				must.NoError(t, f.get(t, "/", time.Second))
			}
			test.Eq(t, before+1, f.conns.Load(), test.Sprint("one new connection, which is kept"))
		})
	}
}

// Guards against kept connections that are used again because the transport reports a passed
// deadline as an error other than a timeout, before or within a response.
func TestPool_ReplacesConnectionsAfterDeadlineWithCause(t *testing.T) {
	cause := errors.New("the caller's time is over")
	for _, path := range []string{"/silent", "/stalls"} {
		t.Run(path, func(t *testing.T) {
			f := newFixture(t)
			ctx, cancel := context.WithTimeoutCause(t.Context(), 3*silence, cause)
			defer cancel()
			test.ErrorIs(t, f.getContext(ctx, t, path), cause)
			test.Eq(t, 2, f.transports.Load())
		})
	}
}

// Guards against silent connections that are kept after a part of the timeouts of http.Client: it
// sets a deadline and a timer for the same time, and only the former gives a timeout error.
func TestPool_ReplacesConnectionsAfterClientTimeout(t *testing.T) {
	var group sync.WaitGroup
	for range 40 {
		f := newFixture(t)
		f.client.Timeout = 3 * silence
		group.Go(func() {
			test.Error(t, f.getContext(t.Context(), t, "/silent"))
			test.Eq(t, 2, f.transports.Load())
		})
	}
	group.Wait()
}

// Guards against connections that are replaced because a caller that has left before its deadline
// notices it only later.
func TestPool_KeepsConnectionsOfCancelledCaller(t *testing.T) {
	f := newFixture(t)
	ctx, cancel := context.WithTimeout(t.Context(), time.Second)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, f.url+"/stalls", nil)
	must.NoError(t, err)
	response, err := f.client.Do(request)
	must.NoError(t, err)
	cancel()
	deadline, _ := ctx.Deadline()
	<-time.After(time.Until(deadline))
	_, err = io.Copy(io.Discard, response.Body)
	test.ErrorIs(t, err, context.Canceled)
	test.NoError(t, response.Body.Close())
	test.Eq(t, 1, f.transports.Load())
}

// Guards against connections that are replaced although nothing speaks against them: after an
// answer, a caller that leaves, or a caller whose deadline is early.
func TestPool_KeepsConnections(t *testing.T) {
	f := newFixture(t)
	for range 3 {
		must.NoError(t, f.get(t, "/", time.Second))
	}
	test.Eq(t, 1, f.conns.Load())
	test.Error(t, f.get(t, "/silent", silence/2)) // uses up the connection
	must.NoError(t, f.get(t, "/", time.Second))
	test.Eq(t, 2, f.conns.Load())

	ctx, cancel := context.WithCancel(t.Context())
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, f.url+"/silent", nil)
	must.NoError(t, err)
	time.AfterFunc(2*silence, cancel)
	var group sync.WaitGroup
	group.Go(func() {
		_, err := f.client.Do(request)
		test.ErrorIs(t, err, context.Canceled)
	})
	group.Go(func() { test.NoError(t, f.get(t, "/", time.Second)) })
	group.Wait()
	before := f.conns.Load()
	must.NoError(t, f.get(t, "/", time.Second))
	test.Eq(t, before, f.conns.Load())
}
