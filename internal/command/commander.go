// Package command executes the statements that change state: submissions,
// cancellations, drains and configuration. Each accepted statement is one transaction
// of the platform's table that checks the rows on which the decision is based. A
// statement that is repeated with the same id takes effect once. The package reads
// only the rows on which it decides; queries are in package query.
package command

import (
	"context"
	"errors"
	"time"

	"golang.org/x/time/rate"

	"bamboowood/internal/platform"
	"bamboowood/internal/state"
	"bamboowood/internal/statement"
	"bamboowood/internal/structs"
	"bamboowood/internal/verdict"
)

// Commander executes commands. It holds no state that must survive, and any number of
// Commanders may use one table. It is safe for concurrent use.
type Commander struct {
	table             platform.Table
	now               func() time.Time
	capacity          capacityCache
	bulkCancelLimiter *rate.Limiter
}

// New returns a Commander for the table. now supplies the time for histories, for the
// conditions of cancel jobs and for the age of cached capacities.
func New(table platform.Table, now func() time.Time) *Commander {
	return &Commander{table: table, now: now, bulkCancelLimiter: rate.NewLimiter(bulkCancelBatchesPerSecond, bulkCancelBurst)}
}

// Request is a command from an operator.
type Request struct {
	// ID makes the command idempotent. An empty ID is replaced by a generated one.
	ID string
	// Repeat states that an earlier request with this ID may have been sent. The answer
	// "did not happen" then needs proof that no such request takes effect later: the
	// refusal is recorded under the ID, which cannot be used again.
	Repeat    bool
	Author    string
	Statement *statement.Statement
	Confirm   bool
}

// commandRow is the value of the row command/{id}.
type commandRow struct {
	structs.Change
	// Follow is the object whose progress the sender can follow, or "".
	Follow string `json:"follow,omitempty"`
	// Refused is the reason of a refusal that was recorded under the id, or "". The
	// Version of a refused command is 0.
	Refused statement.Reason `json:"refused,omitempty"`
}

// maxAttempts bounds how often a command is decided again after a conflict with a
// change of rows other than its own object's.
const maxAttempts = 12

// Run executes a command. Its errors are *statement.Error.
func (c *Commander) Run(ctx context.Context, req Request) (statement.Result, error) {
	if req.ID == "" {
		req.ID = statement.NewID()
	}
	if !statement.ValidID(req.ID) {
		return statement.Result{}, statement.Refuse(statement.InvalidValue,
			"a command id has 1 to %d letters, digits, '-', '_' or '.'", statement.MaxIDBytes)
	}
	if req.Statement.DryRun {
		return c.DryRun(ctx, req)
	}
	result, err := c.decideAndCommit(ctx, req)
	if err != nil && req.Repeat {
		return c.recordRefusal(ctx, req, err)
	}
	return result, err
}

// decideAndCommit decides and commits a command. It repeats both after a conflict with
// another command, up to maxAttempts times.
func (c *Commander) decideAndCommit(ctx context.Context, req Request) (statement.Result, error) {
	var previous *plan
	var firstVersion int64
	for range maxAttempts {
		prior, err := state.Get[commandRow](ctx, c.table, state.CommandKey(req.ID))
		if err != nil {
			return statement.Result{}, tableUnavailable(err)
		}
		if prior.Exists() {
			return c.answerRepeat(ctx, req, prior.Value)
		}
		control, err := state.Get[state.Control](ctx, c.table, state.ControlKey)
		if err != nil {
			return statement.Result{}, tableUnavailable(err)
		}
		plan, err := c.decide(ctx, req, control.Value)
		if err != nil {
			return statement.Result{}, asStatementError(err)
		}
		if previous != nil && previous.lastChangeID != plan.lastChangeID {
			return statement.Result{}, c.conflict(ctx, plan, firstVersion, control.Value.Version)
		}
		if previous == nil {
			firstVersion = control.Value.Version
		}
		previous = plan
		row, err := c.commit(ctx, req, control, plan)
		if err == nil {
			return c.result(ctx, row, plan)
		}
		if prior := readBack[commandRow](ctx, c.table, err, state.CommandKey(req.ID)); prior.Exists() {
			return c.answerRepeat(ctx, req, prior.Value)
		}
		if !isConflict(err) {
			return statement.Result{}, commitError(err)
		}
	}
	return statement.Result{}, statement.Refuse(statement.Conflict,
		"other commands kept changing the configuration; nothing was done, try again")
}

// commit writes the command row, the change row, the control row and the plan's rows.
func (c *Commander) commit(ctx context.Context, req Request, control state.Row[state.Control], p *plan) (commandRow, error) {
	next := control.Value
	next.Version++
	if p.control != nil {
		next = p.control(next)
	}
	row := commandRow{
		Change: structs.Change{
			Version: next.Version, ID: req.ID, Author: req.Author, Statement: req.Statement.Text,
			At: c.now().UTC(), Object: p.object, Undo: p.undo, Message: p.message,
		},
		Follow: p.follow,
	}
	tx := p.tx
	tx.Put(state.CommandKey(req.ID), 0, row)
	tx.Put(state.ChangeKey(next.Version), 0, row.Change)
	tx.Put(state.ControlKey, control.Version, next)
	tx.VerifyWith(commandWrittenBy(req.ID, tx.ID))
	return row, state.Commit(ctx, c.table, tx)
}

// commandWrittenBy returns a function that reports whether the transaction wrote the
// command's row. The row is proof because no later transaction overwrites it.
func commandWrittenBy(id, txID string) func(context.Context, platform.Table) (bool, error) {
	return func(ctx context.Context, table platform.Table) (bool, error) {
		row, err := state.Get[commandRow](ctx, table, state.CommandKey(id))
		return row.Exists() && row.TxID == txID, err
	}
}

// readBackTimeout bounds the read that follows a commit with an unknown outcome.
const readBackTimeout = 2 * time.Second

// readBack reads the row that a commit with an unknown outcome was to write. If err
// is not state.ErrOutcomeUnknown, or if the read fails, it returns an empty row
// (Row.Exists is false). An empty row does not prove that the commit had no effect,
// because the commit may still arrive at the table.
func readBack[T any](ctx context.Context, table platform.Table, err error, key string) state.Row[T] {
	if !errors.Is(err, state.ErrOutcomeUnknown) {
		return state.Row[T]{}
	}
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), readBackTimeout)
	defer cancel()
	row, err := state.Get[T](ctx, table, key)
	if err != nil {
		return state.Row[T]{}
	}
	return row
}

// answerRepeat answers a command whose id already has a command row.
func (c *Commander) answerRepeat(ctx context.Context, req Request, row commandRow) (statement.Result, error) {
	if row.Refused != "" {
		return statement.Result{}, statement.Refuse(row.Refused, "%s (settled under the id %s; send it with another id)", row.Message, req.ID)
	}
	if row.Statement != req.Statement.Text {
		e := statement.Refuse(statement.IDReused, "the id %s belongs to another command", req.ID)
		e.InForce = describeChange(row.Change)
		return statement.Result{}, e
	}
	return c.result(ctx, row, nil)
}

// recordRefusal records the refusal of a repeated request under its id, so that an
// earlier request that is still in flight cannot take effect.
func (c *Commander) recordRefusal(ctx context.Context, req Request, err error) (statement.Result, error) {
	var e *statement.Error
	if !errors.As(err, &e) || e.Outcome != verdict.NotRun || e.Reason == statement.NeedsConfirm || e.Reason == statement.IDReused {
		return statement.Result{}, err
	}
	tx := state.NewTx()
	tx.Put(state.CommandKey(req.ID), 0, commandRow{
		Change: structs.Change{
			ID: req.ID, Author: req.Author, Statement: req.Statement.Text, At: c.now().UTC(), Message: e.Detail,
		},
		Refused: e.Reason,
	})
	commitErr := state.Commit(ctx, c.table, tx)
	if commitErr == nil {
		return statement.Result{}, err
	}
	prior, readErr := state.Get[commandRow](ctx, c.table, state.CommandKey(req.ID))
	if readErr == nil && prior.Exists() {
		return c.answerRepeat(ctx, req, prior.Value)
	}
	return statement.Result{}, outcomeUnknown(commitErr)
}

// result returns the answer to an accepted command. If the command is a bulk
// cancellation, it continues the cancellation first.
func (c *Commander) result(ctx context.Context, row commandRow, p *plan) (statement.Result, error) {
	result := statement.Result{Message: row.Message, ChangeID: row.ID, Version: row.Version, Repeated: p == nil}
	if p != nil && p.effects != nil {
		rows, err := statement.ResultOf(p.effects)
		if err != nil {
			return result, nil
		}
		result.Columns, result.Rows = rows.Columns, rows.Rows
	}
	if row.Follow == "" {
		return result, nil
	}
	if row.Follow != BulkCancelObject {
		result.Progress = &statement.Progress{Object: row.Follow}
		return result, nil
	}
	progress := c.runBulkCancel(ctx, row.ID)
	result.Progress = &progress
	return result, nil
}

// DryRun returns the effects of a command without any change.
func (c *Commander) DryRun(ctx context.Context, req Request) (statement.Result, error) {
	req.Confirm = true
	req.ID = "dry-run"
	control, err := state.Get[state.Control](ctx, c.table, state.ControlKey)
	if err != nil {
		return statement.Result{}, tableUnavailable(err)
	}
	plan, err := c.decide(ctx, req, control.Value)
	if err != nil {
		return statement.Result{}, asStatementError(err)
	}
	result, err := statement.ResultOf(plan.effects)
	if err != nil {
		return statement.Result{}, asStatementError(err)
	}
	result.Message = "dry run, nothing has changed; it would answer: " + plan.message
	result.Version = control.Value.Version
	return result, nil
}
