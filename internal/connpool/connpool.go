// Package connpool keeps HTTP connections open between requests and replaces all of them
// when one has gone silent.
package connpool

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"sync"
	"time"

	"github.com/VictoriaMetrics/metrics"
)

// Pool is a http.RoundTripper over kept connections to one peer. It is safe for concurrent use.
//
// What silences a connection without an error, such as a failed device on the path, silences
// the others of its time as well. A kept connection shows it only by a request that times out.
// So after such a request, no connection that was open before it began is used for a new one.
type Pool struct {
	peer         string
	newTransport func() *http.Transport
	silence      time.Duration

	mu sync.Mutex
	// transport has the connections that new requests use. Requests in progress may use an
	// earlier one.
	transport *http.Transport
}

var _ http.RoundTripper = (*Pool)(nil)

// New returns a Pool of connections to peer, which is a label value of its metric. newTransport
// must return a new transport with each call. A request that times out earlier than silence after
// its start, by the deadline of its caller, is no evidence against the connections.
func New(peer string, silence time.Duration, newTransport func() *http.Transport) *Pool {
	return &Pool{peer: peer, newTransport: newTransport, silence: silence, transport: newTransport()}
}

// RoundTrip implements http.RoundTripper.
func (p *Pool) RoundTrip(request *http.Request) (*http.Response, error) {
	p.mu.Lock()
	transport := p.transport
	p.mu.Unlock()
	began := time.Now()
	response, err := transport.RoundTrip(request)
	if err != nil {
		p.observe(request.Context(), transport, began, err)
		return nil, err
	}
	response.Body = &body{ReadCloser: response.Body, observe: func(err error) {
		p.observe(request.Context(), transport, began, err)
	}}
	return response, nil
}

// observe replaces transport, unless that has been done, if err shows that a request that began
// at the given time and had the context ctx got no answer.
func (p *Pool) observe(ctx context.Context, transport *http.Transport, began time.Time, err error) {
	if !timedOut(ctx, err) || time.Since(began) < p.silence {
		return
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.transport != transport {
		return
	}
	p.transport = p.newTransport()
	// Connections in use are closed when they become idle, since the transport gets no new request.
	transport.CloseIdleConnections()
	metrics.GetOrCreateCounter(fmt.Sprintf("bamboowood_connection_pools_replaced_total{peer=%q}", p.peer)).Inc()
}

// timedOut reports whether a request with the context ctx failed with err because it timed out.
//
// The deadline of ctx counts whatever err is: http.Client.Timeout sets the deadline, but also
// cancels the request by a second timer, and a http.Transport reports whichever came first. Only
// the error of the deadline is a timeout.
func timedOut(ctx context.Context, err error) bool {
	var timeout interface{ Timeout() bool }
	if errors.As(err, &timeout) && timeout.Timeout() {
		return true
	}
	deadline, ok := ctx.Deadline()
	return ok && !time.Now().Before(deadline) && !errors.Is(ctx.Err(), context.Canceled)
}

// CloseIdleConnections closes the connections that are not in use.
func (p *Pool) CloseIdleConnections() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.transport.CloseIdleConnections()
}

// body reports errors of reading a response.
type body struct {
	io.ReadCloser
	observe func(error)
}

// Read implements io.Reader.
func (b *body) Read(data []byte) (int, error) {
	n, err := b.ReadCloser.Read(data)
	if err != nil && !errors.Is(err, io.EOF) {
		b.observe(err)
	}
	return n, err
}
