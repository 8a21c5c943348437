// Package query implements the operators' read-only operations: show and explain
// statements, the progress of commands, and alarms. Commands are in package command.
package query

import (
	"context"
	"errors"
	"fmt"
	"slices"
	"strings"
	"time"

	"bamboowood/internal/control"
	"bamboowood/internal/platform"
	"bamboowood/internal/state"
	"bamboowood/internal/statement"
	"bamboowood/internal/structs"
	"bamboowood/internal/verdict"
)

// LocalView provides the state that this entry has without reading the table.
type LocalView interface {
	Upstreams() []structs.UpstreamStatus
	Entries() []structs.EntryStatus
}

// Queries answers queries from the table, the entry's local view and the current
// configuration. It is safe for concurrent use.
type Queries struct {
	table   platform.Table
	local   LocalView
	control *control.Holder
	now     func() time.Time
	alarms  alarmState
}

// New returns a Queries that uses the system clock.
func New(table platform.Table, local LocalView, control *control.Holder) *Queries {
	return NewAt(table, local, control, time.Now)
}

// NewAt returns a Queries that uses the clock now.
func NewAt(table platform.Table, local LocalView, control *control.Holder, now func() time.Time) *Queries {
	return &Queries{table: table, local: local, control: control, now: now}
}

// Run answers a show or explain statement. Errors are *statement.Error.
func (q *Queries) Run(ctx context.Context, s *statement.Statement) (statement.Result, error) {
	result, err := q.run(ctx, s)
	if err != nil {
		return statement.Result{}, asError(err)
	}
	result.Version = q.control.Version()
	return result, nil
}

func (q *Queries) run(ctx context.Context, s *statement.Statement) (statement.Result, error) {
	switch {
	case s.Explain != nil:
		return q.explain(ctx, s.Explain)
	case s.Show == nil:
		return statement.Result{}, statement.Refuse(statement.Internal, "this is a command, not a query")
	case s.Show.Capacity:
		return q.capacity(ctx, s.Show.By)
	}
	return q.show(ctx, s.Show)
}

// GetTask returns a task, or an error that wraps platform.ErrNotFound.
func (q *Queries) GetTask(ctx context.Context, id string) (structs.Task, error) {
	row, err := state.Get[structs.Task](ctx, q.table, state.TaskKey(id))
	if err == nil && !row.Exists() {
		err = fmt.Errorf("task %s: %w", id, platform.ErrNotFound)
	}
	return row.Value, err
}

// asError returns err as a *statement.Error. Its outcome is NotRun, as a failed read
// changes nothing.
func asError(err error) error {
	var e *statement.Error
	if errors.As(err, &e) {
		return e
	}
	return &statement.Error{
		Outcome: verdict.NotRun, Reason: statement.TableUnavailable, Err: err,
		Detail: "the platform's table does not answer; upstreams, entries and alarms are still shown",
	}
}

func (q *Queries) show(ctx context.Context, show *statement.Show) (statement.Result, error) {
	switch show.Table {
	case "upstreams":
		return statement.Select(show, q.upstreamRows())
	case "entries":
		return statement.Select(show, q.entryRows())
	case "services":
		return statement.Select(show, q.serviceRows())
	case "alarms":
		return statement.Select(show, q.Alarms(ctx))
	case "changes":
		return q.showChanges(ctx, show)
	}
	return q.showTable(ctx, show)
}

// showTable answers a query from the rows of the table.
func (q *Queries) showTable(ctx context.Context, show *statement.Show) (statement.Result, error) {
	switch show.Table {
	case "zones":
		s, err := q.readTopology(ctx)
		if err != nil {
			return statement.Result{}, err
		}
		return statement.Select(show, s.zoneRows(q.local.Upstreams()))
	case "workers":
		s, err := q.readTopology(ctx)
		if err != nil {
			return statement.Result{}, err
		}
		return statement.Select(show, s.workerRows())
	case "teams":
		s, err := q.readTeams(ctx)
		if err != nil {
			return statement.Result{}, err
		}
		return statement.Select(show, s.teamRows())
	case "watches":
		return showTasks(ctx, q, show, structs.KindWatch, (*snapshot).watchRow)
	case "jobs":
		return showTasks(ctx, q, show, structs.KindBatch, (*snapshot).taskRow)
	}
	return showTasks(ctx, q, show, "", (*snapshot).taskRow)
}

// showTasks answers a query from the tasks of a kind, or of all kinds if it is "".
func showTasks[R any](
	ctx context.Context, q *Queries, show *statement.Show, kind structs.TaskKind, row func(*snapshot, structs.Task) R,
) (statement.Result, error) {
	s, err := q.readTasks(ctx, func(s *snapshot, t structs.Task) bool {
		return (kind == "" || t.Spec.Kind == kind) && statement.Match(show.Table, show.Where, row(s, t))
	})
	if err != nil {
		return statement.Result{}, err
	}
	rows := make([]R, len(s.tasks))
	for i, t := range s.tasks {
		rows[i] = row(s, t)
	}
	return statement.Select(show, rows)
}

// maxChangesRead is how many of the newest changes the statement show changes reads.
const maxChangesRead = platform.MaxPageRows

func (q *Queries) showChanges(ctx context.Context, show *statement.Show) (statement.Result, error) {
	head, err := state.Get[state.Control](ctx, q.table, state.ControlKey)
	if err != nil {
		return statement.Result{}, err
	}
	after := ""
	if oldest := head.Value.Version - maxChangesRead; oldest > 0 {
		after = state.ChangeKey(oldest)
	}
	changes, err := listAfter[structs.Change](ctx, q.table, state.ChangePrefix, after)
	if err != nil {
		return statement.Result{}, err
	}
	var rows []statement.ChangeRow
	for _, c := range slices.Backward(changes) {
		rows = append(rows, statement.ChangeRow{
			Version: c.Version, At: c.At, Author: c.Author, Statement: c.Statement, ID: c.ID, Object: c.Object, Undo: c.Undo,
		})
	}
	return statement.Select(show, rows)
}

// Progress returns what remains to be done for an accepted command: the tasks and
// requests that remain in a drained object, "zone NAME" or "worker ID", and the
// upstreams that have not reported the control version yet. For other objects it
// counts only the upstreams.
func (q *Queries) Progress(ctx context.Context, object string, version int64) statement.Progress {
	progress := statement.Progress{Object: object}
	if strings.HasPrefix(object, "zone ") || strings.HasPrefix(object, "worker ") {
		progress.Tasks = q.countTasks(ctx, object)
	}
	for _, u := range q.local.Upstreams() {
		if object == "zone "+u.Zone || object == "worker "+u.VM {
			progress.Requests += u.InFlight
		}
		if u.State != stateSilent && u.ControlVersion < version {
			progress.Behind++
		}
	}
	progress.Done = progress.Tasks == 0 && progress.Requests == 0 && progress.Behind == 0
	return progress
}

// countTasks returns the number of tasks on the VMs of an object, or -1 if the table
// cannot be read.
func (q *Queries) countTasks(ctx context.Context, object string) int {
	s, err := q.readTopology(ctx)
	if err != nil {
		return -1
	}
	tasks := 0
	for _, vm := range s.vms {
		if object == "zone "+vm.Zone || object == "worker "+vm.ID {
			tasks += len(vm.Tasks)
		}
	}
	return tasks
}

func (q *Queries) capacity(ctx context.Context, by string) (statement.Result, error) {
	if by == "team" {
		s, err := q.readTeams(ctx)
		if err != nil {
			return statement.Result{}, err
		}
		return statement.ResultOf(s.teamCapacity())
	}
	s, err := q.readTopology(ctx)
	if err != nil {
		return statement.Result{}, err
	}
	return statement.ResultOf(s.capacityRows(by))
}

func cores(milli int64) float64 { return float64(milli) / 1000 }

func notFound(kind, name string, candidates []string) error {
	e := statement.Refuse(statement.NotFound, "there is no %s %q", kind, name)
	e.Suggestion = statement.Nearest(name, candidates)
	return e
}
