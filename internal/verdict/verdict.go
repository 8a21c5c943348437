// Package verdict defines the error type of the request path. Every error states
// whether the request may have run, from which callers and intermediate layers
// derive whether a retry is safe.
package verdict

import (
	"errors"
	"fmt"
)

// Outcome states whether an upstream may have executed a request. Larger values
// mean that execution is more likely. Wrapping an error may raise its Outcome but
// never lowers it.
type Outcome uint8

const (
	// NotRun requires proof that no upstream received the request.
	NotRun Outcome = iota
	// MayHaveRun means that the request was committed and no complete answer was
	// received.
	MayHaveRun
	// Ran means that an upstream answered.
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

// Error is the error of a failed request, with its Outcome and Reason.
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

// Wrap returns an Error with the reason and with err as its cause. Its Outcome is
// the greater of floor and the Outcome of err.
func Wrap(err error, floor Outcome, reason Reason) *Error {
	return New(max(floor, OutcomeOf(err, floor)), reason, err)
}

// OutcomeOf returns the greatest Outcome in the chain of err, or fallback if the
// chain contains no *Error.
func OutcomeOf(err error, fallback Outcome) Outcome {
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
		return fallback
	}
	return result
}

// ReasonOf returns the Reason of the outermost *Error in the chain of err, or
// Internal if there is none.
func ReasonOf(err error) Reason {
	var e *Error
	if errors.As(err, &e) {
		return e.Reason
	}
	return Internal
}
