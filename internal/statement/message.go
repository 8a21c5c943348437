package statement

import (
	"encoding/json"
	"fmt"
	"net/http"

	"bamboowood/internal/verdict"
)

// Request is the body of POST /v1/statements.
type Request struct {
	Statement string `json:"statement"`
	// ID makes a command idempotent: commands with the same id take effect once.
	ID string `json:"id,omitempty"`
	// Repeat marks a request that may follow an earlier one with the same ID. The
	// outcome "not-run" is then returned only with proof that none took effect.
	Repeat bool `json:"repeat,omitempty"`
	// Confirm has the effect of the word "confirm" at the end of a cancellation.
	Confirm bool `json:"confirm,omitempty"`
	// DryRun has the effect of the words "dry run" before a command.
	DryRun bool `json:"dry_run,omitempty"`
}

// Result is the response to a statement that succeeded.
type Result struct {
	// Columns are the fields of Rows that are shown in a table on a terminal.
	Columns []Column          `json:"columns,omitempty"`
	Rows    []json.RawMessage `json:"rows"`
	Message string            `json:"message,omitempty"`
	// ChangeID is the id of the accepted command. Version is the control version
	// that the command created or, for a query, the current one.
	ChangeID string `json:"change_id,omitempty"`
	Version  int64  `json:"version,omitempty"`
	// Repeated is set if an earlier request with the same id was accepted.
	Repeated bool      `json:"repeated,omitempty"`
	Progress *Progress `json:"progress,omitempty"`
}

// Progress is the progress of an accepted command.
type Progress struct {
	// Object is what the progress refers to: "zone norte", "worker w-1", "jobs" for
	// a bulk cancellation, otherwise "version 12".
	Object string `json:"object"`
	// Tasks is the number of tasks that still hold resources there; -1 if unknown.
	Tasks int `json:"tasks"`
	// Requests is the number of requests in flight on upstreams there.
	Requests int `json:"requests"`
	// Behind is the number of responsive upstreams that have not yet reported the
	// command's control version.
	Behind int  `json:"behind"`
	Done   bool `json:"done"`
}

// Position is a place in a statement; both count from 1.
type Position struct {
	Line   int `json:"line"`
	Column int `json:"column"`
}

// Reason classifies the error of a statement.
type Reason string

// Reasons.
const (
	Syntax           Reason = "syntax"
	UnknownField     Reason = "unknown-field"
	InvalidValue     Reason = "invalid-value"
	NotFound         Reason = "not-found"
	AlreadyExists    Reason = "already-exists"
	Conflict         Reason = "conflict"
	NeedsForce       Reason = "needs-force"
	NeedsConfirm     Reason = "needs-confirm"
	CannotFit        Reason = "cannot-fit"
	IDReused         Reason = "id-reused"
	NotUndoable      Reason = "not-undoable"
	AlreadyFinished  Reason = "already-finished"
	TableUnavailable Reason = "table-unavailable"
	OutcomeUnknown   Reason = "outcome-unknown"
	Unauthorized     Reason = "unauthorized"
	Forbidden        Reason = "forbidden"
	BadRequest       Reason = "bad-request"
	TooLarge         Reason = "too-large"
	NoMemory         Reason = "bodies-full"
	BodyIncomplete   Reason = "body-incomplete"
	NoRoute          Reason = "no-such-route"
	NoMethod         Reason = "no-such-method"
	Internal         Reason = "internal"
)

// Error is the error of a statement that was rejected or failed. Outcome is
// verdict.NotRun if the statement changed nothing, and verdict.MayHaveRun if it
// may have taken effect.
type Error struct {
	Outcome verdict.Outcome
	Reason  Reason
	Detail  string
	// Position is set for errors in the statement's text.
	Position   *Position
	Expected   []string
	Suggestion string
	// InForce describes the state or the change that caused the refusal. For a conflict
	// it has the object's current state and latest change.
	InForce string
	Err     error
}

// Refuse returns an Error whose Outcome is verdict.NotRun.
func Refuse(reason Reason, format string, args ...any) *Error {
	return &Error{Outcome: verdict.NotRun, Reason: reason, Detail: fmt.Sprintf(format, args...)}
}

// Error implements the error interface.
func (e *Error) Error() string {
	text := e.Detail
	if e.Position != nil {
		text = fmt.Sprintf("%d:%d: %s", e.Position.Line, e.Position.Column, text)
	}
	if e.Err != nil {
		text += ": " + e.Err.Error()
	}
	return text
}

// Unwrap returns the cause.
func (e *Error) Unwrap() error { return e.Err }

// Problem is the RFC 9457 problem JSON of an Error.
type Problem struct {
	Type       string    `json:"type"`
	Title      string    `json:"title"`
	Status     int       `json:"status"`
	Detail     string    `json:"detail"`
	Outcome    string    `json:"outcome"`
	Reason     Reason    `json:"reason"`
	Position   *Position `json:"position,omitempty"`
	Expected   []string  `json:"expected,omitempty"`
	Suggestion string    `json:"suggestion,omitempty"`
	InForce    string    `json:"in_force,omitempty"`
}

// statuses maps reasons to HTTP statuses; other reasons map to 400.
var statuses = map[Reason]int{
	NotFound: http.StatusNotFound, AlreadyExists: http.StatusConflict, Conflict: http.StatusConflict,
	NeedsForce: http.StatusConflict, NeedsConfirm: http.StatusConflict, CannotFit: http.StatusUnprocessableEntity,
	IDReused: http.StatusConflict, NotUndoable: http.StatusConflict, AlreadyFinished: http.StatusConflict,
	TableUnavailable: http.StatusServiceUnavailable, OutcomeUnknown: http.StatusGatewayTimeout,
	Unauthorized: http.StatusUnauthorized, Forbidden: http.StatusForbidden,
	TooLarge: http.StatusRequestEntityTooLarge, NoMemory: http.StatusServiceUnavailable,
	BodyIncomplete: http.StatusRequestTimeout, NoRoute: http.StatusNotFound, NoMethod: http.StatusMethodNotAllowed, Internal: http.StatusInternalServerError,
}

// Problem returns e as an RFC 9457 problem.
func (e *Error) Problem() Problem {
	status, ok := statuses[e.Reason]
	if !ok {
		status = http.StatusBadRequest
	}
	detail := e.Detail
	if e.Err != nil {
		detail += ": " + e.Err.Error()
	}
	return Problem{
		Type: "about:blank", Title: http.StatusText(status), Status: status, Detail: detail,
		Outcome: e.Outcome.String(), Reason: e.Reason, Position: e.Position, Expected: e.Expected,
		Suggestion: e.Suggestion, InForce: e.InForce,
	}
}

// AsError returns p as an Error.
func (p Problem) AsError() *Error {
	outcome := verdict.MayHaveRun
	if p.Outcome == verdict.NotRun.String() {
		outcome = verdict.NotRun
	}
	return &Error{
		Outcome: outcome, Reason: p.Reason, Detail: p.Detail, Position: p.Position,
		Expected: p.Expected, Suggestion: p.Suggestion, InForce: p.InForce,
	}
}
