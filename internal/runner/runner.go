// Package runner defines the interface to the runner on an agent's machine.
package runner

import (
	"context"
	"errors"
	"fmt"
	"time"

	"bamboowood/internal/job"
)

// Errors of a Runner. After an error that wraps none of them, the call may have taken effect
// or may still do so later.
var (
	// ErrOtherIncarnation: another incarnation of the runner answers at the address.
	ErrOtherIncarnation = errors.New("another incarnation of the runner answers")
	// ErrRestarted wraps ErrOtherIncarnation: the runner has restarted under its id. The call had no effect.
	ErrRestarted = fmt.Errorf("%w under the same id", ErrOtherIncarnation)
	// ErrUnhealthy: the runner refused the call, which had no effect.
	ErrUnhealthy = errors.New("runner is unhealthy and did nothing")
	// ErrNoListener: nothing listens at the runner's address.
	ErrNoListener = errors.New("nothing listens at the runner's address")
)

// Refusal is the reason why a runner refused a call; empty means accepted.
type Refusal string

// The reasons for a refusal.
const (
	// RefusedFence: the runner has received a higher fencing token.
	RefusedFence Refusal = "fence"
	// RefusedStale: the run, or one of the same task with a higher number, has already been
	// stopped or has ended.
	RefusedStale Refusal = "old"
	// RefusedLate: the lease in the request has already expired.
	RefusedLate Refusal = "late"
	// RefusedCapacity: the runner has too little free capacity.
	RefusedCapacity Refusal = "room"
	// RefusedTicket: the ticket is missing or has expired.
	RefusedTicket Refusal = "ticket"
	// RefusedInvalid: the request is invalid.
	RefusedInvalid Refusal = "invalid"
	// RefusedUnhealthy: the runner is unhealthy; the request had no effect.
	RefusedUnhealthy Refusal = "unhealthy"
	// RefusedOther: the runner gave no reason, or one that is not known.
	RefusedOther Refusal = "other"
	// RefusedIncarnationEnded: the incarnation that the call was meant for has ended.
	RefusedIncarnationEnded Refusal = "gone"
)

// Fence identifies the incarnation of the runner that a call is meant for. The runner refuses calls with a lower
// Token than it has received before.
type Fence struct {
	RunnerID string
	// StartTime is the start time of the incarnation. If it is 0, the call may reach any incarnation with the id.
	StartTime int64
	Token     int64
}

// StartRequest is a request to start one run.
type StartRequest struct {
	Run     job.Run
	Payload string
	// Checkpoint is the checkpoint to resume from; empty starts from the beginning.
	Checkpoint string
	// Ticket proves that the runner may run the step; empty if none is needed.
	Ticket string
	// LeaseEnd is the end of the run's lease, on the runner's clock.
	LeaseEnd time.Duration
}

// Report is a runner's answer to a lease renewal.
type Report struct {
	// Clock is the reading of the runner's clock.
	Clock time.Duration
	// StartTime is the start time of the answering incarnation, 0 if it is not reported.
	StartTime int64
	Active    []job.Activity
	Ends      []job.End
	// MoreEnds is set if the runner may hold further ends, which it lists once these are acknowledged.
	MoreEnds bool
	// Unreadable counts malformed entries that were left out. UnreadableReason is the error of
	// the first one.
	Unreadable       int
	UnreadableReason error
}

// RenewRequest is a request to extend the lease of all runs, acknowledge ends and wait for new
// ones.
type RenewRequest struct {
	// LeaseEnd is the new end of the lease, on the runner's clock; 0 leaves it unchanged.
	LeaseEnd time.Duration
	// AcknowledgedEnd is the sequence number of the last end that the runner may delete.
	AcknowledgedEnd int64
	// Wait is the maximum time to wait for an end.
	Wait time.Duration
}

// Runner makes calls to one runner. The errors of all methods may wrap ErrOtherIncarnation,
// ErrUnhealthy or ErrNoListener.
type Runner interface {
	// Start starts a run. If err is nil and the refusal empty, the run exists on the runner.
	// clock is the reading of the runner's clock.
	Start(ctx context.Context, f Fence, o StartRequest) (refusal Refusal, clock time.Duration, err error)
	// Stop stops a run. Once the runner has confirmed the stop with an empty refusal, it
	// refuses starts of that run that arrive later.
	Stop(ctx context.Context, f Fence, run job.Run) (refusal Refusal, err error)
	// RenewLease extends the lease of all runs and returns the runner's report. The error of
	// a refused call has a method Reason that returns the Refusal.
	RenewLease(ctx context.Context, f Fence, o RenewRequest) (Report, error)
	// Throttle limits a run to a share of its full speed, 0 to 100 percent. A refusal is
	// returned as an error.
	Throttle(ctx context.Context, f Fence, run job.Run, percent int) error
}
