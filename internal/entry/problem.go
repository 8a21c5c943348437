package entry

import (
	"encoding/json"
	"errors"
	"net/http"

	"github.com/labstack/echo/v5"

	"bamboowood/internal/verdict"
)

// Problem is the body of an error response, as in RFC 9457.
type Problem struct {
	Type      string `json:"type"`
	Title     string `json:"title"`
	Status    int    `json:"status"`
	Detail    string `json:"detail,omitempty"`
	Outcome   string `json:"outcome"`
	Reason    string `json:"reason"`
	RequestID string `json:"request_id,omitempty"`
}

// retryAfterSeconds is the Retry-After header of a refused request that did not
// run.
const retryAfterSeconds = "1"

// statusClientClosed is the status recorded if the caller has disconnected.
const statusClientClosed = 499

// statuses maps reasons to HTTP statuses; the status of other reasons is 502.
var statuses = map[verdict.Reason]int{
	verdict.UnknownService:      http.StatusNotFound,
	verdict.UnknownJob:          http.StatusNotFound,
	verdict.InvalidRequest:      http.StatusBadRequest,
	verdict.BodyTooLarge:        http.StatusRequestEntityTooLarge,
	verdict.BodyIncomplete:      http.StatusRequestTimeout,
	verdict.RateLimited:         http.StatusTooManyRequests,
	verdict.QueueFull:           http.StatusServiceUnavailable,
	verdict.BodyMemoryExhausted: http.StatusServiceUnavailable,
	verdict.WaitTooShort:        http.StatusServiceUnavailable,
	verdict.WaitExpired:         http.StatusGatewayTimeout,
	verdict.NoUpstream:          http.StatusServiceUnavailable,
	verdict.NoConfiguration:     http.StatusServiceUnavailable,
	verdict.ShuttingDown:        http.StatusServiceUnavailable,
	verdict.ClientDisconnected:  statusClientClosed,
	verdict.ClaimUnavailable:    http.StatusServiceUnavailable,
	verdict.ClaimRunning:        http.StatusConflict,
	verdict.ClaimUnconfirmed:    http.StatusConflict,
	verdict.KeyReused:           http.StatusUnprocessableEntity,
	verdict.JobRefused:          http.StatusUnprocessableEntity,
	verdict.TableUnavailable:    http.StatusServiceUnavailable,
	verdict.RetryBudgetSpent:    http.StatusServiceUnavailable,
	verdict.Internal:            http.StatusInternalServerError,
}

// isTransient reports whether the caller may retry a request that did not run and
// got the status.
func isTransient(status int) bool {
	return status == http.StatusServiceUnavailable || status == http.StatusTooManyRequests ||
		status == http.StatusBadGateway || status == http.StatusGatewayTimeout
}

// writeError responds to a failed request with a Problem, and counts the refusal.
func writeError(ctx *echo.Context, err error) {
	if r, _ := echo.UnwrapResponse(ctx.Response()); r != nil && r.Committed {
		return
	}
	p := problemOf(err)
	p.RequestID = ctx.Response().Header().Get(HeaderRequestID)
	outcome := verdict.OutcomeOf(err, verdict.NotRun)
	verdict.Count(verdict.Refusal, verdict.Reason(p.Reason))
	header := ctx.Response().Header()
	header.Set(HeaderOutcome, p.Outcome)
	if outcome == verdict.NotRun && isTransient(p.Status) {
		header.Set("Retry-After", retryAfterSeconds)
	}
	data, encodeErr := json.Marshal(p)
	if encodeErr != nil {
		return
	}
	_ = ctx.Blob(p.Status, "application/problem+json", data)
}

func problemOf(err error) Problem {
	var v *verdict.Error
	if errors.As(err, &v) {
		status, ok := statuses[v.Reason]
		if !ok {
			status = http.StatusBadGateway
		}
		return Problem{
			Type: "about:blank", Title: string(v.Reason), Status: status, Detail: v.Error(),
			Outcome: verdict.OutcomeOf(err, v.Outcome).String(), Reason: string(v.Reason),
		}
	}
	// Errors of the HTTP router: the request reached no handler.
	status := echo.StatusCode(err)
	if status == 0 {
		return Problem{
			Type: "about:blank", Title: string(verdict.Internal), Status: http.StatusInternalServerError,
			Detail: err.Error(), Outcome: verdict.MayHaveRun.String(), Reason: string(verdict.Internal),
		}
	}
	return Problem{
		Type: "about:blank", Title: http.StatusText(status), Status: status, Detail: err.Error(),
		Outcome: verdict.NotRun.String(), Reason: string(verdict.InvalidRequest),
	}
}
