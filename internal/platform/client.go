package platform

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"net/http/httptrace"
	"net/url"
	"strings"
	"sync/atomic"
)

// client sends requests of the platform's HTTP protocol.
type client struct {
	base string
	http *http.Client
}

func newClient(base string, httpClient *http.Client) client {
	if httpClient == nil {
		httpClient = http.DefaultClient
	}
	c := *httpClient
	// A redirect is not part of the protocol; following one could send a request twice.
	c.CheckRedirect = func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse }
	return client{base: strings.TrimSuffix(base, "/"), http: &c}
}

// keyPath returns prefix followed by the key as one path segment.
func keyPath(prefix, key string) string { return prefix + "/" + url.PathEscape(key) }

// doJSON sends in as the body (nil: no body) and decodes the response into out (nil: the
// response body is ignored).
func (c client) doJSON(ctx context.Context, method, path string, in, out any) error {
	var body []byte
	if in != nil {
		data, err := json.Marshal(in)
		if err != nil {
			return fmt.Errorf("%w: encode: %w", ErrInvalid, err)
		}
		body = data
	}
	data, err := c.do(ctx, method, path, body)
	if err != nil || out == nil {
		return err
	}
	if err := json.Unmarshal(data, out); err != nil {
		return fmt.Errorf("%s %s: decode response: %w", method, path, err)
	}
	return nil
}

// do sends body and returns the body of the response. The error wraps ErrUnavailable if
// no connection was obtained, or the error whose code the service returned. Any other
// error means that the outcome is unknown.
func (c client) do(ctx context.Context, method, path string, body []byte) ([]byte, error) {
	var connected atomic.Bool
	trace := &httptrace.ClientTrace{GotConn: func(httptrace.GotConnInfo) { connected.Store(true) }}
	req, err := http.NewRequestWithContext(httptrace.WithClientTrace(ctx, trace), method, c.base+path, bytes.NewReader(body))
	if err != nil {
		return nil, fmt.Errorf("%w: %w", ErrInvalid, err)
	}
	if body != nil {
		req.Header.Set("Content-Type", "application/json")
	}
	resp, err := c.http.Do(req)
	if err != nil && !connected.Load() {
		return nil, fmt.Errorf("%w: %w", ErrUnavailable, err)
	}
	if err != nil {
		return nil, fmt.Errorf("no response: %w", err)
	}
	defer func() { _ = resp.Body.Close() }()
	data, err := io.ReadAll(io.LimitReader(resp.Body, MaxBodyBytes+1))
	if err != nil {
		return nil, fmt.Errorf("%s %s: read response: %w", method, path, err)
	}
	if len(data) > MaxBodyBytes {
		return nil, fmt.Errorf("%s %s: response larger than %d bytes", method, path, MaxBodyBytes)
	}
	if resp.StatusCode == http.StatusOK {
		return data, nil
	}
	return nil, decodeFailure(method, path, resp.StatusCode, data)
}

// decodeFailure returns the error for a response that is not a success.
func decodeFailure(method, path string, status int, data []byte) error {
	var f Failure
	if err := json.Unmarshal(data, &f); err != nil {
		return fmt.Errorf("%s %s: status %d without a failure code", method, path, status)
	}
	if namedErr := errorOf(status, f); namedErr != nil {
		return fmt.Errorf("%w: %s %s: %s", namedErr, method, path, f.Detail)
	}
	return fmt.Errorf("%s %s: status %d: %s", method, path, status, f.Detail)
}
