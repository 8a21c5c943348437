// Package client sends statements to the HTTP API for operators of an entry (a server
// process).
package client

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptrace"
	"net/url"
	"strings"
	"sync/atomic"
	"time"

	"bamboowood/internal/statement"
	"bamboowood/internal/verdict"
)

// Client sends statements to one entry with one token. It is safe for concurrent use.
type Client struct {
	base  string
	token string
	http  *http.Client
}

// Address returns the base URL of the HTTP API for operators of an entry. text is a URL or
// host:port; the latter means plain HTTP.
func Address(text string) (string, error) {
	const allowed = "want HOST:PORT, http://HOST:PORT or https://HOST:PORT"
	if !strings.Contains(text, "://") {
		if host, port, err := net.SplitHostPort(text); err != nil || host == "" || port == "" {
			return "", fmt.Errorf("address of an entry %q: %s", text, allowed)
		}
		return "http://" + text, nil
	}
	u, err := url.Parse(text)
	if err != nil || u.Host == "" || u.Scheme != "http" && u.Scheme != "https" {
		return "", fmt.Errorf("address of an entry %q: %s", text, allowed)
	}
	return text, nil
}

// New returns a Client of the entry at the base URL, such as "http://127.0.0.1:7481".
func New(base, token string, httpClient *http.Client) *Client {
	return &Client{base: strings.TrimRight(base, "/"), token: token, http: httpClient}
}

// Options are the options of a request; see statement.Request.
type Options struct {
	ID      string
	Repeat  bool
	Confirm bool
	DryRun  bool
	// MaxRetries is how often a command is sent again with the same id while its
	// outcome is unknown.
	MaxRetries int
}

// Limits of a request.
const (
	maxResultBytes = 64 << 20
	retryDelay     = 200 * time.Millisecond
)

// Run sends a statement and returns its result. Errors are *statement.Error; their
// Outcome is verdict.MayHaveRun if it is unknown whether a command took effect.
func (c *Client) Run(ctx context.Context, text string, opts Options) (statement.Result, error) {
	request := statement.Request{
		Statement: text, ID: opts.ID, Repeat: opts.Repeat, Confirm: opts.Confirm, DryRun: opts.DryRun,
	}
	mutating := isMutating(text, opts.DryRun)
	if request.ID == "" && mutating {
		request.ID = statement.NewID()
	}
	result, err := c.send(ctx, request, mutating)
	if opts.Repeat {
		err = retryError(err)
	}
	for range opts.MaxRetries {
		if err == nil || !IsUnknown(err) {
			return result, err
		}
		select {
		case <-ctx.Done():
			return result, err
		case <-time.After(retryDelay):
		}
		request.Repeat = true
		result, err = c.send(ctx, request, mutating)
		err = retryError(err)
	}
	return result, err
}

// IsUnknown reports whether a failed command may have taken effect.
func IsUnknown(err error) bool {
	var e *statement.Error
	return err != nil && (!errors.As(err, &e) || e.Outcome != verdict.NotRun)
}

// retryError returns the error of a retry. A retry that was not sent leaves the
// outcome of the earlier request unknown, so NotSent becomes OutcomeUnknown.
func retryError(err error) error {
	var e *statement.Error
	if errors.As(err, &e) && e.Reason == NotSent {
		e.Outcome, e.Reason = verdict.MayHaveRun, statement.OutcomeUnknown
	}
	return err
}

// NotSent is the reason of a request that was not sent to the entry.
const NotSent statement.Reason = "not-sent"

// isMutating reports whether a statement may change anything. A statement that does
// not parse counts as mutating, because a newer entry might accept it.
func isMutating(text string, dryRun bool) bool {
	s, err := statement.Parse(text)
	return err != nil || s.IsCommand() && !s.DryRun && !dryRun
}

func (c *Client) send(ctx context.Context, request statement.Request, mutating bool) (statement.Result, error) {
	var result statement.Result
	body, err := json.Marshal(request)
	if err != nil {
		return result, notSentError(err)
	}
	var connected atomic.Bool
	ctx = httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{GotConn: func(httptrace.GotConnInfo) { connected.Store(true) }})
	r, err := http.NewRequestWithContext(ctx, http.MethodPost, c.base+"/v1/statements", bytes.NewReader(body))
	if err != nil {
		return result, notSentError(err)
	}
	r.Header.Set("Content-Type", "application/json")
	r.Header.Set("Authorization", "Bearer "+c.token)
	response, err := c.http.Do(r)
	if err != nil && !connected.Load() {
		return result, notSentError(err)
	}
	if err != nil {
		return result, incompleteAnswerError(err, mutating)
	}
	defer response.Body.Close()
	data, err := io.ReadAll(io.LimitReader(response.Body, maxResultBytes))
	if err != nil {
		return result, incompleteAnswerError(err, mutating)
	}
	if response.StatusCode != http.StatusOK {
		return result, readProblem(response, data, mutating)
	}
	if err := json.Unmarshal(data, &result); err != nil {
		return result, incompleteAnswerError(err, mutating)
	}
	return result, nil
}

func notSentError(err error) error {
	return &statement.Error{
		Outcome: verdict.NotRun, Reason: NotSent, Detail: "the entry cannot be reached; nothing was done", Err: err,
	}
}

// incompleteAnswerError returns the error of a request that was sent but got no
// complete response. A mutating statement may have taken effect.
func incompleteAnswerError(err error, mutating bool) error {
	e := &statement.Error{Outcome: verdict.NotRun, Reason: statement.TableUnavailable, Detail: "the entry gave no whole answer", Err: err}
	if mutating {
		e.Outcome, e.Reason = verdict.MayHaveRun, statement.OutcomeUnknown
	}
	return e
}

func readProblem(response *http.Response, data []byte, mutating bool) error {
	var p statement.Problem
	if err := json.Unmarshal(data, &p); err != nil || p.Outcome == "" {
		return incompleteAnswerError(fmt.Errorf("status %s without a problem body", response.Status), mutating)
	}
	return p.AsError()
}
