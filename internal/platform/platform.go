// Package platform declares the interfaces of the platform's services: the transactional
// table, the object store and the workers. It also has HTTP clients for them; package
// standin has servers for tests.
package platform

import (
	"context"
	"errors"
	"time"

	"bamboowood/internal/structs"
)

// Errors of Table, Objects and Worker. After any other error, such as a timeout, it is
// unknown whether the call took effect; see IsUnknown.
var (
	// ErrNotFound means that the row, object or task does not exist.
	ErrNotFound = errors.New("not found")
	// ErrConflict means that a check of the transaction failed: nothing was written.
	ErrConflict = errors.New("version conflict")
	// ErrUnavailable means that the service could not be reached, or refused the call
	// before any effect: nothing was written.
	ErrUnavailable = errors.New("platform unavailable")
	// ErrInvalid means that the call's arguments are invalid: nothing was written.
	ErrInvalid = errors.New("invalid call")
	// ErrLeaseExpired means that the worker no longer holds a lease for the task.
	ErrLeaseExpired = errors.New("lease lapsed")
	// ErrStaleFence means that the worker has received a higher fence for the task.
	ErrStaleFence = errors.New("stale fence")
)

// IsUnknown reports whether a failed call of a Table, Objects or Worker may have taken
// effect.
func IsUnknown(err error) bool {
	return err != nil && !errors.Is(err, ErrNotFound) && !errors.Is(err, ErrConflict) &&
		!errors.Is(err, ErrUnavailable) && !errors.Is(err, ErrInvalid)
}

// Row is one row of the table. Version is the table's revision at the row's last write,
// or 0 for a row that does not exist. The revision increases with each write of any row.
type Row struct {
	Key     string `json:"key"`
	Value   []byte `json:"value,omitempty"`
	Version int64  `json:"version"`
}

// Page is one page of List, with its rows in the order of their keys.
type Page struct {
	Rows []Row `json:"rows"`
	// Next is the argument after for the next page, or "" on the last page.
	Next string `json:"next,omitempty"`
}

// Check requires that a row has Version (0: that the row does not exist).
type Check struct {
	Key     string `json:"key"`
	Version int64  `json:"version"`
}

// Write creates a row, replaces its value or deletes it.
type Write struct {
	Key    string `json:"key"`
	Value  []byte `json:"value,omitempty"`
	Delete bool   `json:"delete,omitempty"`
}

// Tx is a transaction: all Writes take effect atomically if every Check holds.
type Tx struct {
	Checks []Check `json:"checks"`
	Writes []Write `json:"writes"`
}

// MaxPageRows is the largest limit that List accepts.
const MaxPageRows = 1000

// Table is the platform's transactional table service.
type Table interface {
	// Get returns ErrNotFound for a row that does not exist.
	Get(ctx context.Context, key string) (Row, error)
	// List returns up to limit rows whose key starts with prefix and is greater than
	// after.
	List(ctx context.Context, prefix, after string, limit int) (Page, error)
	// Commit applies tx and returns the Version of the rows that it wrote. It returns
	// ErrConflict if a check fails. After an error for which IsUnknown is true, the caller
	// must read the rows to find out whether tx took effect.
	Commit(ctx context.Context, tx Tx) (int64, error)
}

// Objects is the platform's object store.
type Objects interface {
	Put(ctx context.Context, key string, data []byte) error
	// Get returns ErrNotFound for an object that does not exist.
	Get(ctx context.Context, key string) ([]byte, error)
	Delete(ctx context.Context, key string) error
}

// TaskStart is the request to start a task on a worker.
type TaskStart struct {
	ID    string           `json:"id"`
	Fence int64            `json:"fence"`
	Spec  structs.TaskSpec `json:"spec"`
	// Checkpoint is the object key of the checkpoint to resume from, or "".
	Checkpoint string `json:"checkpoint,omitempty"`
	// Lease is how long the task may run without an extension.
	Lease time.Duration `json:"lease"`
}

// TaskPhase is the state of a task that its worker reports.
type TaskPhase string

// Phases of a task on its worker.
const (
	PhaseRunning   TaskPhase = "running"
	PhaseStopped   TaskPhase = "stopped" // on request, or because its lease expired
	PhaseSucceeded TaskPhase = "succeeded"
	PhaseFailed    TaskPhase = "failed"
)

// TaskStatus is a worker's report of one task.
type TaskStatus struct {
	ID    string    `json:"id"`
	Fence int64     `json:"fence"`
	Phase TaskPhase `json:"phase"`
	// Usage is the usage measured UsageLag ago.
	Usage    structs.Resources `json:"usage"`
	UsageLag time.Duration     `json:"usage_lag"`
	// Checkpoint is the object key of the newest checkpoint, or "".
	Checkpoint string `json:"checkpoint,omitempty"`
	// Detail is the reason why the task stopped or failed.
	Detail string `json:"detail,omitempty"`
}

// Worker controls the tasks on one VM.
type Worker interface {
	// Start runs a task under a lease. It returns ErrStaleFence if the worker has received
	// the same or a higher fence for the task. A repeat with the same fence while the task
	// runs is no error and has no effect.
	Start(ctx context.Context, start TaskStart) error
	// Extend sets the leases of the tasks in fences, which maps task ids to fences, to
	// expire after lease from now. It returns the ids of the tasks that no longer run.
	Extend(ctx context.Context, fences map[string]int64, lease time.Duration) (lost []string, err error)
	// Checkpoint stores the task's progress as an object and returns its key.
	Checkpoint(ctx context.Context, id string, fence int64) (string, error)
	// Throttle limits the task to a share (0 < share <= 1) of its processors.
	Throttle(ctx context.Context, id string, fence int64, share float64) error
	// Stop ends the task. After it has returned nil the task does not run.
	Stop(ctx context.Context, id string, fence int64) error
	// Forget deletes the record of a task that no longer runs.
	Forget(ctx context.Context, id string, fence int64) error
	// List returns the status of every task that the worker has a record of.
	List(ctx context.Context) ([]TaskStatus, error)
}
