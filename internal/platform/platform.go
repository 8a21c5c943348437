// Package platform has the interfaces to what the platform gives: the
// transactional table service, the object store and the workers. HTTP clients
// for them are in this package too; package standin has the servers for tests.
package platform

import (
	"context"
	"errors"
	"time"

	"bamboowood/internal/structs"
)

// Errors of Table and Objects. Anything else, a timeout among them, leaves open
// whether a commit took effect; see IsUnknown.
var (
	// ErrNotFound says that the row or object does not exist.
	ErrNotFound = errors.New("not found")
	// ErrConflict says that a check of the transaction failed and nothing was
	// written.
	ErrConflict = errors.New("version conflict")
	// ErrUnavailable says that the service could not be reached or refused
	// before doing anything: nothing was written.
	ErrUnavailable = errors.New("platform unavailable")
	// ErrInvalid says that the call itself is wrong: nothing was written.
	ErrInvalid = errors.New("invalid call")
	// ErrLeaseExpired says that the worker no longer holds the task's lease.
	ErrLeaseExpired = errors.New("lease lapsed")
	// ErrStaleFence says that the worker has seen a higher fence for the task.
	ErrStaleFence = errors.New("stale fence")
)

// IsUnknown reports whether a failed commit may have taken effect.
func IsUnknown(err error) bool {
	return err != nil && !errors.Is(err, ErrNotFound) && !errors.Is(err, ErrConflict) &&
		!errors.Is(err, ErrUnavailable) && !errors.Is(err, ErrInvalid)
}

// Row is one row of the table. Version is 0 for a row that does not exist and
// otherwise rises with each write of any row (it is the table's revision at the
// row's last write).
type Row struct {
	Key     string `json:"key"`
	Value   []byte `json:"value,omitempty"`
	Version int64  `json:"version"`
}

// Page is one answer to List, rows in the order of their keys.
type Page struct {
	Rows []Row `json:"rows"`
	// Next is the After of the next call, or "" at the end.
	Next string `json:"next,omitempty"`
}

// Check requires that a row still has Version (0: does not exist).
type Check struct {
	Key     string `json:"key"`
	Version int64  `json:"version"`
}

// Write replaces a row's value, or deletes the row.
type Write struct {
	Key    string `json:"key"`
	Value  []byte `json:"value,omitempty"`
	Delete bool   `json:"delete,omitempty"`
}

// Tx is a transaction: all Writes take effect at once if every Check holds.
type Tx struct {
	Checks []Check `json:"checks"`
	Writes []Write `json:"writes"`
}

// MaxPageRows is the greatest limit of List.
const MaxPageRows = 1000

// Table is the platform's transactional table service.
type Table interface {
	// Get returns ErrNotFound for a row that does not exist.
	Get(ctx context.Context, key string) (Row, error)
	// List returns up to limit rows whose key has prefix and is greater than
	// after.
	List(ctx context.Context, prefix, after string, limit int) (Page, error)
	// Commit applies tx and returns the Version that its writes got. A failed
	// check is ErrConflict. IsUnknown errors must be settled by reading.
	Commit(ctx context.Context, tx Tx) (int64, error)
}

// Objects is the platform's object store.
type Objects interface {
	Put(ctx context.Context, key string, data []byte) error
	// Get returns ErrNotFound for an object that does not exist.
	Get(ctx context.Context, key string) ([]byte, error)
	Delete(ctx context.Context, key string) error
}

// TaskStart is an order to a worker.
type TaskStart struct {
	ID    string           `json:"id"`
	Fence int64            `json:"fence"`
	Spec  structs.TaskSpec `json:"spec"`
	// Checkpoint is the object key to resume from, or "".
	Checkpoint string `json:"checkpoint,omitempty"`
	// Lease is how long the task may run without an extension.
	Lease time.Duration `json:"lease"`
}

// TaskPhase is what a worker says of a task.
type TaskPhase string

// Phases of a task on its worker.
const (
	PhaseRunning   TaskPhase = "running"
	PhaseStopped   TaskPhase = "stopped" // by order or by a lapsed lease
	PhaseSucceeded TaskPhase = "succeeded"
	PhaseFailed    TaskPhase = "failed"
)

// TaskStatus is a worker's report of one task.
type TaskStatus struct {
	ID    string    `json:"id"`
	Fence int64     `json:"fence"`
	Phase TaskPhase `json:"phase"`
	// Usage is the measured use; it lags by UsageLag.
	Usage    structs.Resources `json:"usage"`
	UsageLag time.Duration     `json:"usage_lag"`
	// Checkpoint is the object key of the newest checkpoint, or "".
	Checkpoint string `json:"checkpoint,omitempty"`
	// Detail says why it stopped or failed.
	Detail string `json:"detail,omitempty"`
}

// Worker is the platform's control of the tasks on one VM.
type Worker interface {
	// Start runs a task under a lease. A fence at or below one already seen
	// for the task is ErrStaleFence; a repeat with the same fence while the
	// task runs has no effect.
	Start(ctx context.Context, start TaskStart) error
	// Extend sets the lease of the named running tasks to lease from now and
	// returns the ids that no longer run.
	Extend(ctx context.Context, fences map[string]int64, lease time.Duration) (lost []string, err error)
	// Checkpoint stores the task's progress as an object and returns its key.
	Checkpoint(ctx context.Context, id string, fence int64) (string, error)
	// Throttle limits the task to a share (0 < share <= 1) of its processors.
	Throttle(ctx context.Context, id string, fence int64, share float64) error
	// Stop ends the task; when it returns nil the task does not run.
	Stop(ctx context.Context, id string, fence int64) error
	// Forget drops the record of a task that does not run any more.
	Forget(ctx context.Context, id string, fence int64) error
	// List reports all tasks that the worker knows.
	List(ctx context.Context) ([]TaskStatus, error)
}
