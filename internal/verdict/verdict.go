// Package verdict defines the error type of the request path. Every failure
// says whether the request may have run, so that a caller and each layer in
// between know if a repeat is safe.
package verdict

import (
	"errors"
	"fmt"
)

// Outcome says whether the upstream may have executed a request. Larger values
// carry more doubt or certainty of execution: wrapping may raise an Outcome and
// never lowers it.
type Outcome uint8

const (
	// NotRun is stated only with proof that no upstream saw the request.
	NotRun Outcome = iota
	// MayHaveRun is stated when the request was committed and no whole answer
	// came back.
	MayHaveRun
	// Ran is stated when an upstream answered.
	Ran
)

// String returns the value of the Bamboowood-Outcome response header.
func (o Outcome) String() string {
	switch o {
	case NotRun:
		return "not-run"
	case MayHaveRun:
		return "may-have-run"
	case Ran:
		return "ran"
	}
	return fmt.Sprintf("outcome(%d)", uint8(o))
}

// Error is a failure of a request with its Outcome and Reason.
type Error struct {
	Outcome Outcome
	Reason  Reason
	// Err is the cause; it may be nil.
	Err error
}

// New returns an Error; cause may be nil.
func New(outcome Outcome, reason Reason, cause error) *Error {
	return &Error{Outcome: outcome, Reason: reason, Err: cause}
}

// Error implements the error interface.
func (e *Error) Error() string {
	if e.Err == nil {
		return fmt.Sprintf("%s (%s)", e.Reason, e.Outcome)
	}
	return fmt.Sprintf("%s (%s): %v", e.Reason, e.Outcome, e.Err)
}

// Unwrap returns the cause.
func (e *Error) Unwrap() error { return e.Err }

// Wrap wraps err with a reason. The Outcome of the result is the greater of
// floor and the Outcome that err already carries.
func Wrap(err error, floor Outcome, reason Reason) *Error {
	return New(max(floor, OutcomeOf(err, floor)), reason, err)
}

// OutcomeOf returns the greatest Outcome in the chain of err, and otherwise
// when the chain holds no *Error.
func OutcomeOf(err error, otherwise Outcome) Outcome {
	found := false
	result := NotRun
	for e := (*Error)(nil); errors.As(err, &e); err = e.Err {
		found = true
		result = max(result, e.Outcome)
		if e.Err == nil {
			break
		}
	}
	if !found {
		return otherwise
	}
	return result
}

// ReasonOf returns the Reason of the outermost *Error in the chain of err, and
// Internal when there is none.
func ReasonOf(err error) Reason {
	var e *Error
	if errors.As(err, &e) {
		return e.Reason
	}
	return Internal
}
