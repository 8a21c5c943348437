// Package runner is the interface to the runner beside an agent, as far as the
// product needs it.
package runner

import (
	"context"
	"errors"
	"time"

	"bamboowood/internal/job"
)

// Errors of a Runner. An error that wraps none of them leaves open whether the
// call was carried out, or will be later.
var (
	// ErrOtherIncarnation: another life of the runner answers at the address.
	ErrOtherIncarnation = errors.New("another life of the runner answers")
	// ErrUnhealthy: the runner refused the call and did nothing.
	ErrUnhealthy = errors.New("runner is unhealthy and did nothing")
	// ErrNoListener: nothing listens at the runner's address.
	ErrNoListener = errors.New("nothing listens at the runner's address")
)

// Refusal says why a runner has not started a run.
type Refusal string

// The reasons of a refusal.
const (
	// RefusedFence: a higher fencing token has been seen.
	RefusedFence Refusal = "fence"
	// RefusedStale: this run or a higher one has already been stopped or has ended.
	RefusedStale Refusal = "old"
	// RefusedLate: the lease given with the order has already run out.
	RefusedLate Refusal = "late"
	// RefusedCapacity: the runner has no room.
	RefusedCapacity Refusal = "room"
	// RefusedTicket: the ticket is missing or has expired.
	RefusedTicket Refusal = "ticket"
	// RefusedInvalid: the runner does not understand the order.
	RefusedInvalid Refusal = "invalid"
	// RefusedUnhealthy: the runner is unhealthy and did nothing.
	RefusedUnhealthy Refusal = "unhealthy"
	// RefusedIncarnationEnded: that life of the runner has ended.
	RefusedIncarnationEnded Refusal = "gone"
)

// Fence names the life of the runner a call is meant for, and orders its callers.
type Fence struct {
	RunnerID string
	Token    int64
}

// StartRequest starts one run.
type StartRequest struct {
	Run     job.Run
	Payload string
	// Checkpoint to resume from; empty starts anew.
	Checkpoint string
	// Ticket says that the runner may run the step; empty where none is needed.
	Ticket string
	// LeaseEnd is on the runner's clock.
	LeaseEnd time.Duration
}

// Report is what a runner lists.
type Report struct {
	// Clock is the runner's clock.
	Clock time.Duration
	// StartTime is the life that reports, 0 if it does not tell.
	StartTime int64
	Active    []job.Activity
	Ends      []job.End
	// Unreadable counts entries that were dropped because they make no sense.
	Unreadable int
}

// RenewRequest extends the lease of all runs and acknowledges ends.
type RenewRequest struct {
	// LeaseEnd is on the runner's clock; 0 leaves the lease as it is.
	LeaseEnd time.Duration
	// AcknowledgedEnd is the last end that the runner may forget.
	AcknowledgedEnd int64
	// Wait for an end, at most so long.
	Wait time.Duration
}

// Runner is one runner. Clock results are on the runner's clock.
type Runner interface {
	// Start returns an empty refusal when the run is there.
	Start(ctx context.Context, f Fence, o StartRequest) (refusal Refusal, clock time.Duration, err error)
	// Stop returns when the runner has taken note: a start of that run that
	// arrives later is refused.
	Stop(ctx context.Context, f Fence, run job.Run) (refusal Refusal, err error)
	RenewLease(ctx context.Context, f Fence, o RenewRequest) (Report, error)
	// Throttle lets a run work at a share of its speed, 0 to 100.
	Throttle(ctx context.Context, f Fence, run job.Run, percent int) error
}
