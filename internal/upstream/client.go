// Package upstream is the agent's HTTP client for the runner on the same VM.
//
// The client sends POST {base}/{service} with the request's body and the headers
// Bamboowood-Request-Id and Bamboowood-Remaining (milliseconds left of the agreed
// wait). The answer must have the same Bamboowood-Request-Id and declare its
// length, by Content-Length or by chunked encoding.
package upstream

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptrace"
	"net/url"
	"strconv"
	"strings"
	"sync/atomic"
	"time"

	"bamboowood/internal/structs"
	"bamboowood/internal/verdict"
)

// Headers of the runner protocol.
const (
	HeaderRequestID = "Bamboowood-Request-Id"
	HeaderRemaining = "Bamboowood-Remaining"
)

// DefaultMaxConns is the default maximum number of connections to a runner.
const DefaultMaxConns = 64

// MaxAnswerBytes is the maximum size of the body of an answer.
const MaxAnswerBytes = 3 << 20

const (
	dialTimeout     = time.Second
	idleConnTimeout = 30 * time.Second
	maxHeaderBytes  = 64 << 10
)

// Client calls one runner. It never repeats a request. It is safe for concurrent
// use.
type Client struct {
	base      string
	transport *http.Transport
}

// NewClient returns a Client of the runner at base, such as
// "http://127.0.0.1:9000", with at most maxConns connections; 0 means
// DefaultMaxConns.
func NewClient(base string, maxConns int) *Client {
	if maxConns <= 0 {
		maxConns = DefaultMaxConns
	}
	return &Client{
		base: strings.TrimRight(base, "/"),
		transport: &http.Transport{
			DialContext:            (&net.Dialer{Timeout: dialTimeout}).DialContext,
			MaxConnsPerHost:        maxConns,
			MaxIdleConnsPerHost:    maxConns,
			MaxIdleConns:           maxConns,
			IdleConnTimeout:        idleConnTimeout,
			MaxResponseHeaderBytes: maxHeaderBytes,
			DisableCompression:     true,
		},
	}
}

// Close closes the idle connections.
func (c *Client) Close() { c.transport.CloseIdleConnections() }

// Call sends the request and returns the runner's complete answer. Errors are
// *verdict.Error: with NotRun if the request could not be built or got no
// connection to the runner, and with MayHaveRun otherwise.
func (c *Client) Call(ctx context.Context, req structs.Request) (structs.Answer, error) {
	var connected atomic.Bool
	trace := &httptrace.ClientTrace{GotConn: func(httptrace.GotConnInfo) { connected.Store(true) }}
	httpReq, err := c.newRequest(httptrace.WithClientTrace(ctx, trace), req)
	if err != nil {
		return structs.Answer{}, verdict.New(verdict.NotRun, verdict.InvalidRequest, err)
	}
	start := time.Now()
	// The transport is used directly: it follows no redirect, and it repeats a
	// POST without an Idempotency-Key header only when nothing was written.
	resp, err := c.transport.RoundTrip(httpReq)
	if err != nil {
		return structs.Answer{}, callError(ctx, err, connected.Load())
	}
	defer resp.Body.Close()
	answer, err := c.readAnswer(ctx, req, resp)
	if err != nil {
		return structs.Answer{}, err
	}
	answer.ServiceTime = time.Since(start)
	return answer, nil
}

func (c *Client) newRequest(ctx context.Context, req structs.Request) (*http.Request, error) {
	target := c.base + "/" + url.PathEscape(req.Service)
	httpReq, err := http.NewRequestWithContext(ctx, http.MethodPost, target, bytes.NewReader(req.Body))
	if err != nil {
		return nil, fmt.Errorf("build request: %w", err)
	}
	httpReq.Header.Set(HeaderRequestID, req.ID)
	if req.ContentType != "" {
		httpReq.Header.Set("Content-Type", req.ContentType)
	}
	if !req.Deadline.IsZero() {
		remaining := max(time.Until(req.Deadline).Milliseconds(), 0)
		httpReq.Header.Set(HeaderRemaining, strconv.FormatInt(remaining, 10))
	}
	return httpReq, nil
}

// readAnswer reads the answer and checks that it is complete and belongs to req.
func (c *Client) readAnswer(ctx context.Context, req structs.Request, resp *http.Response) (structs.Answer, error) {
	if got := resp.Header.Get(HeaderRequestID); got != req.ID {
		// The answers on this connection no longer match its requests: do not reuse
		// it.
		c.transport.CloseIdleConnections()
		err := fmt.Errorf("answer of request %q instead of %q", got, req.ID)
		return structs.Answer{}, verdict.New(verdict.MayHaveRun, verdict.WrongAnswer, err)
	}
	if resp.ContentLength < 0 && len(resp.TransferEncoding) == 0 {
		err := errors.New("answer without a declared length")
		return structs.Answer{}, verdict.New(verdict.MayHaveRun, verdict.UpstreamTruncated, err)
	}
	body, err := io.ReadAll(io.LimitReader(resp.Body, MaxAnswerBytes+1))
	if err != nil {
		return structs.Answer{}, bodyError(ctx, err)
	}
	if len(body) > MaxAnswerBytes {
		err := fmt.Errorf("answer exceeds %d bytes", MaxAnswerBytes)
		return structs.Answer{}, verdict.New(verdict.MayHaveRun, verdict.UpstreamTruncated, err)
	}
	return structs.Answer{
		RequestID: req.ID, Status: resp.StatusCode, ContentType: resp.Header.Get("Content-Type"), Body: body,
	}, nil
}

func callError(ctx context.Context, err error, connected bool) error {
	switch {
	case connected && ctx.Err() != nil:
		return verdict.New(verdict.MayHaveRun, verdict.WaitExpired, err)
	case connected:
		return verdict.New(verdict.MayHaveRun, verdict.UpstreamFailed, err)
	default:
		return verdict.New(verdict.NotRun, verdict.UpstreamUnreachable, err)
	}
}

func bodyError(ctx context.Context, err error) error {
	if ctx.Err() != nil {
		return verdict.New(verdict.MayHaveRun, verdict.WaitExpired, err)
	}
	return verdict.New(verdict.MayHaveRun, verdict.UpstreamTruncated, err)
}
