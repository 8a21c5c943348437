package platform

import (
	"errors"
	"net/http"
	"time"
	"unicode/utf8"
)

// Paths of the platform's HTTP protocol. Keys and ids are percent-encoded as one
// path segment.
const (
	RowsPath         = "/v1/rows"
	TransactionsPath = "/v1/transactions"
	ObjectsPath      = "/v1/objects"
	TasksPath        = "/v1/tasks"
	LeasesPath       = "/v1/leases"
)

// Limits of one request.
const (
	// MaxKeyBytes bounds the key of a row or an object.
	MaxKeyBytes = 1024
	// MaxPageBytes bounds a page of List: the page ends once its values have this size.
	MaxPageBytes = 4 << 20
	// MaxBodyBytes bounds the body of an HTTP request or response.
	MaxBodyBytes = 64 << 20
)

// ValidateKey returns ErrInvalid for a key that cannot be part of a request's path: one
// that is empty, too long, a dot segment or not UTF-8.
func ValidateKey(key string) error {
	if key == "" || key == "." || key == ".." || len(key) > MaxKeyBytes || !utf8.ValidString(key) {
		return ErrInvalid
	}
	return nil
}

// Failure is the JSON body of every response that is not a success. The outcome of the
// request is certain only if Code is a known code.
type Failure struct {
	Code   string `json:"code"`
	Detail string `json:"detail,omitempty"`
}

// CommitResult is the response to POST /v1/transactions.
type CommitResult struct {
	Version int64 `json:"version"`
}

// LeaseExtension is the body of POST /v1/leases.
type LeaseExtension struct {
	Fences map[string]int64 `json:"fences"`
	Lease  time.Duration    `json:"lease"`
}

// LeaseResult is the response to POST /v1/leases.
type LeaseResult struct {
	Lost []string `json:"lost,omitempty"`
}

// TaskRequest is the body of POST /v1/tasks/{id}/{order}.
type TaskRequest struct {
	Fence int64   `json:"fence"`
	Share float64 `json:"share,omitempty"`
}

// CheckpointResult is the response to POST /v1/tasks/{id}/checkpoint.
type CheckpointResult struct {
	Key string `json:"key"`
}

var errorCodes = []struct {
	err    error
	code   string
	status int
}{
	{ErrNotFound, "not-found", http.StatusNotFound},
	{ErrConflict, "conflict", http.StatusConflict},
	{ErrUnavailable, "unavailable", http.StatusServiceUnavailable},
	{ErrInvalid, "invalid", http.StatusBadRequest},
	{ErrLeaseExpired, "lease-lapsed", http.StatusGone},
	{ErrStaleFence, "stale-fence", http.StatusPreconditionFailed},
}

// FailureOf returns the HTTP status and body for err. An error without a code becomes an
// internal server error, which leaves the outcome unknown.
func FailureOf(err error) (int, Failure) {
	for _, c := range errorCodes {
		if errors.Is(err, c.err) {
			return c.status, Failure{Code: c.code, Detail: err.Error()}
		}
	}
	return http.StatusInternalServerError, Failure{Code: "internal", Detail: err.Error()}
}

// errorOf returns the error for a Failure received with an HTTP status, or nil if no
// known error has this code and status.
func errorOf(status int, f Failure) error {
	for _, c := range errorCodes {
		if c.code == f.Code && c.status == status {
			return c.err
		}
	}
	return nil
}
