// Package operators serves the operators' HTTP API: statements with a bearer token,
// metrics and health checks. Queries and commands are executed by packages query
// and command.
package operators

import (
	"bytes"
	"context"
	"crypto/sha256"
	"crypto/subtle"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"runtime/debug"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/apex/log"
	"github.com/labstack/echo/v5"

	"bamboowood/internal/command"
	"bamboowood/internal/ingress"
	"bamboowood/internal/query"
	"bamboowood/internal/statement"
	"bamboowood/internal/verdict"
)

// Role is the set of operations that a token permits.
type Role string

// Roles.
const (
	// RoleRead permits queries and dry runs.
	RoleRead Role = "read"
	// RoleOperate permits queries, dry runs and commands.
	RoleOperate Role = "operate"
)

// Token is one bearer token; Name is the author in show changes.
type Token struct {
	Name   string
	Secret string
	Role   Role
}

// Options configure the handler.
type Options struct {
	Commander *command.Commander
	Queries   *query.Queries
	Tokens    []Token
	// Bodies admits the bodies of statements; it must not be nil.
	Bodies *ingress.Gate
	// OnChange is called after a command was accepted; it may be nil.
	OnChange func()
	// Ready returns nil if the process is ready to serve, otherwise the reason why
	// not; the function may be nil.
	Ready func() error
}

// Limits of a request.
const (
	// maxBodyBytes is enough for a statement of maximum length in escaped form.
	maxBodyBytes = 8 * statement.MaxBytes
	// parseFactor is the memory that parsing a statement takes, per byte of its text.
	parseFactor = 192
	// statementTimeout bounds the execution of one statement.
	statementTimeout = 10 * time.Second
)

const problemJSON = "application/problem+json"

type handler struct {
	Options
	// parsing serializes the parsing of statements: the memory that it discards is not in the account.
	parsing sync.Mutex
}

// Handler returns the handler of the operators' HTTP API.
func Handler(opts Options) http.Handler {
	h := &handler{Options: opts}
	e := echo.New()
	e.HTTPErrorHandler = func(c *echo.Context, err error) { writeError(c.Response(), routeError(err)) }
	e.POST("/v1/statements", h.statements)
	e.GET("/metrics", h.metrics)
	e.GET("/healthz", func(c *echo.Context) error { return c.String(http.StatusOK, "ok\n") })
	e.GET("/readyz", h.ready)
	return e
}

// routeError converts an error of the router or of a handler into a statement.Error.
func routeError(err error) *statement.Error {
	var e *statement.Error
	if errors.As(err, &e) {
		return e
	}
	switch echo.StatusCode(err) {
	case http.StatusNotFound:
		return statement.Refuse(statement.NoRoute, "there is no such route; statements go to POST /v1/statements")
	case http.StatusMethodNotAllowed:
		return statement.Refuse(statement.NoMethod, "the route does not have this method; statements go to POST /v1/statements")
	}
	return &statement.Error{Outcome: verdict.MayHaveRun, Reason: statement.Internal, Detail: "internal error", Err: err}
}

func writeError(w http.ResponseWriter, e *statement.Error) {
	metrics.GetOrCreateCounter(fmt.Sprintf("bamboowood_statement_refusals_total{reason=%q}", string(e.Reason))).Inc()
	p := e.Problem()
	if e.Reason == statement.NoMemory {
		w.Header().Set("Retry-After", strconv.Itoa(int(ingress.RetryAfter.Seconds())))
	}
	if p.Status == http.StatusUnauthorized {
		w.Header().Set("WWW-Authenticate", `Bearer realm="bamboowood"`)
	}
	writeJSON(w, p.Status, problemJSON, p)
}

func writeJSON(w http.ResponseWriter, status int, contentType string, body any) {
	data, err := json.Marshal(body)
	if err != nil {
		status, data = http.StatusInternalServerError, []byte(`{"outcome":"may-have-run","reason":"internal"}`)
	}
	w.Header().Set("Content-Type", contentType)
	w.WriteHeader(status)
	if _, err := w.Write(append(data, '\n')); err != nil {
		log.WithError(err).Debug("writing response to operator failed")
	}
}

func (h *handler) metrics(c *echo.Context) error {
	h.Queries.UpdateGauges(c.Request().Context())
	w := c.Response()
	w.Header().Set("Content-Type", "text/plain; version=0.0.4")
	metrics.WritePrometheus(w, true)
	return nil
}

func (h *handler) ready(c *echo.Context) error {
	if h.Ready != nil {
		if err := h.Ready(); err != nil {
			return c.String(http.StatusServiceUnavailable, err.Error()+"\n")
		}
	}
	return c.String(http.StatusOK, "ready\n")
}

func (h *handler) statements(c *echo.Context) error {
	start := time.Now()
	r := c.Request()
	token, err := h.authenticate(r)
	if err != nil {
		return err
	}
	body, err := h.readBody(c.Response(), r)
	if err != nil {
		return err
	}
	defer body.Release()
	request, err := decodeRequest(body.Data)
	if err != nil {
		return err
	}
	if err := body.Charge(parseFactor * int64(min(len(request.Statement), statement.MaxBytes))); err != nil {
		return noMemory(err)
	}
	s, err := h.parse(request.Statement)
	if err != nil {
		return err
	}
	s.DryRun = s.DryRun || request.DryRun
	if s.IsCommand() && !s.DryRun && token.Role != RoleOperate {
		return statement.Refuse(statement.Forbidden, "the token %s may read but not operate; nothing was done", token.Name)
	}
	// A command continues after its client has disconnected.
	ctx, cancel := context.WithTimeout(context.WithoutCancel(r.Context()), statementTimeout)
	defer cancel()
	result, err := h.run(ctx, s, request, token.Name)
	metrics.GetOrCreateHistogram("bamboowood_statement_duration_seconds").UpdateDuration(start)
	if err != nil {
		return err
	}
	writeJSON(c.Response(), http.StatusOK, "application/json", result)
	return nil
}

func (h *handler) parse(text string) (*statement.Statement, error) {
	h.parsing.Lock()
	defer h.parsing.Unlock()
	return statement.Parse(text)
}

// run executes a statement. After a panic the outcome is MayHaveRun, because the
// command may have taken effect.
func (h *handler) run(ctx context.Context, s *statement.Statement, request statement.Request, author string) (result statement.Result, err error) {
	defer func() {
		if v := recover(); v != nil {
			log.WithField("panic", fmt.Sprint(v)).WithField("stack", string(debug.Stack())).Error("statement panicked")
			err = &statement.Error{Outcome: verdict.MayHaveRun, Reason: statement.Internal, Detail: "internal error"}
		}
	}()
	if !s.IsCommand() {
		return h.Queries.Run(ctx, s)
	}
	commandRequest := command.Request{ID: request.ID, Repeat: request.Repeat, Author: author, Statement: s, Confirm: request.Confirm}
	if s.DryRun {
		return h.Commander.DryRun(ctx, commandRequest)
	}
	result, err = h.Commander.Run(ctx, commandRequest)
	if err != nil {
		return result, err
	}
	if !result.Repeated {
		metrics.GetOrCreateCounter("bamboowood_commands_accepted_total").Inc()
		log.WithFields(log.Fields{
			"change_id": result.ChangeID, "version": result.Version, "author": author, "statement": s.Text,
		}).Info("command accepted")
	}
	if h.OnChange != nil {
		h.OnChange()
	}
	h.addProgress(ctx, &result)
	return result, nil
}

// addProgress sets the progress of an accepted command, except of a bulk cancellation,
// which reports its own.
func (h *handler) addProgress(ctx context.Context, result *statement.Result) {
	object := fmt.Sprintf("version %d", result.Version)
	if p := result.Progress; p != nil {
		if p.Object == command.BulkCancelObject {
			return
		}
		object = p.Object
	}
	progress := h.Queries.Progress(ctx, object, result.Version)
	result.Progress = &progress
}

func (h *handler) authenticate(r *http.Request) (Token, error) {
	secret, found := strings.CutPrefix(r.Header.Get("Authorization"), "Bearer ")
	if !found {
		return Token{}, statement.Refuse(statement.Unauthorized, "a bearer token is needed; nothing was done")
	}
	sum := sha256.Sum256([]byte(secret))
	for _, t := range h.Tokens {
		tokenSum := sha256.Sum256([]byte(t.Secret))
		if t.Secret != "" && subtle.ConstantTimeCompare(sum[:], tokenSum[:]) == 1 {
			return t, nil
		}
	}
	return Token{}, statement.Refuse(statement.Unauthorized, "the bearer token is not known; nothing was done")
}

// readBody reads the body of a request, which must be released.
func (h *handler) readBody(w http.ResponseWriter, r *http.Request) (*ingress.Body, error) {
	body, err := h.Bodies.Read(w, r, maxBodyBytes)
	var tooLarge *http.MaxBytesError
	switch {
	case err == nil:
		return body, nil
	case errors.As(err, &tooLarge):
		return nil, statement.Refuse(statement.TooLarge, "the body is larger than %d bytes; nothing was done", maxBodyBytes)
	case errors.Is(err, ingress.ErrMemory):
		return nil, noMemory(err)
	}
	return nil, statement.Refuse(statement.BodyIncomplete, "the body was not received: %v; nothing was done", err)
}

func noMemory(err error) error {
	return statement.Refuse(statement.NoMemory, "%v; nothing was done", err)
}

// decodeRequest decodes one JSON object. It rejects unknown fields, because a misspelt
// dry_run must not execute a command.
func decodeRequest(data []byte) (statement.Request, error) {
	var request statement.Request
	decoder := json.NewDecoder(bytes.NewReader(data))
	decoder.DisallowUnknownFields()
	err := decoder.Decode(&request)
	if err == nil {
		if _, err = decoder.Token(); errors.Is(err, io.EOF) {
			return request, nil
		}
		if err == nil {
			err = errors.New("there is more after the first object")
		}
	}
	return request, statement.Refuse(statement.BadRequest, "the body is not one JSON object with a statement: %v; nothing was done", err)
}
