// Package command carries out what changes things: submissions, cancellations,
// drains and configuration. Each accepted statement is one transaction of the
// platform's table that checks the rows it was decided on, and a statement
// repeated with the same id takes effect once. It reads only what it decides on;
// queries are in package query.
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

// Commander carries out commands. It keeps nothing that matters: any number of
// them may work on one table.
type Commander struct {
	table    platform.Table
	now      func() time.Time
	capacity capacityCache
	waves    *rate.Limiter
}

// New returns a Commander; now is for display and history only.
func New(table platform.Table, now func() time.Time) *Commander {
	return &Commander{table: table, now: now, waves: rate.NewLimiter(waveBatchesPerSecond, waveBurst)}
}

// Request is one command from an operator.
type Request struct {
	// ID makes the command repeatable; a fresh one is made when it is "".
	ID string
	// Repeat says that an earlier request with this ID may have been sent, so
	// that "did not happen" needs proof that none takes effect: a refusal is
	// then recorded under the ID, which is spent.
	Repeat    bool
	Author    string
	Statement *statement.Statement
	Confirm   bool
}

// commandRow is the row command/{id}.
type commandRow struct {
	structs.Change
	// Follow is the object whose progress the sender may follow, or "".
	Follow string `json:"follow,omitempty"`
	// Refused is set for an id that was settled by a refusal; Version is then 0.
	Refused statement.Reason `json:"refused,omitempty"`
}

// maxAttempts bounds how often a command is decided anew because other rows
// than its own object's have changed.
const maxAttempts = 12

// Run carries out a command. Errors are *statement.Error.
func (c *Commander) Run(ctx context.Context, order Request) (statement.Result, error) {
	if order.ID == "" {
		order.ID = statement.NewID()
	}
	if !statement.ValidID(order.ID) {
		return statement.Result{}, statement.Refuse(statement.InvalidValue,
			"a command id has 1 to %d letters, digits, '-', '_' or '.'", statement.MaxIDBytes)
	}
	if order.Statement.DryRun {
		return c.DryRun(ctx, order)
	}
	result, err := c.attempt(ctx, order)
	if err != nil && order.Repeat {
		return c.settleRefusal(ctx, order, err)
	}
	return result, err
}

// attempt decides and commits a command until no other command interferes.
func (c *Commander) attempt(ctx context.Context, order Request) (statement.Result, error) {
	var decided *plan
	var decidedAt int64
	for range maxAttempts {
		prior, err := state.Get[commandRow](ctx, c.table, state.CommandKey(order.ID))
		if err != nil {
			return statement.Result{}, readError(err)
		}
		if prior.Exists() {
			return c.repeat(ctx, order, prior.Value)
		}
		control, err := state.Get[state.Control](ctx, c.table, state.ControlKey)
		if err != nil {
			return statement.Result{}, readError(err)
		}
		plan, err := c.decide(ctx, order, control.Value)
		if err != nil {
			return statement.Result{}, asError(err)
		}
		if decided != nil && decided.inForce != plan.inForce {
			return statement.Result{}, c.conflict(ctx, plan, decidedAt, control.Value.Version)
		}
		if decided == nil {
			decidedAt = control.Value.Version
		}
		decided = plan
		row, err := c.commit(ctx, order, control, plan)
		if err == nil {
			return c.result(ctx, row, plan)
		}
		if prior := readBack[commandRow](ctx, c.table, err, state.CommandKey(order.ID)); prior.Exists() {
			return c.repeat(ctx, order, prior.Value)
		}
		if !isConflict(err) {
			return statement.Result{}, commitError(err)
		}
	}
	return statement.Result{}, statement.Refuse(statement.Conflict,
		"other commands kept changing the configuration; nothing was done, try again")
}

// commit writes the command, its change, the control row and the plan's rows.
func (c *Commander) commit(ctx context.Context, order Request, control state.Row[state.Control], p *plan) (commandRow, error) {
	next := control.Value
	next.Version++
	if p.control != nil {
		next = p.control(next)
	}
	row := commandRow{
		Change: structs.Change{
			Version: next.Version, ID: order.ID, Author: order.Author, Statement: order.Statement.Text,
			At: c.now().UTC(), Object: p.object, Undo: p.undo, Message: p.message,
		},
		Follow: p.follow,
	}
	tx := p.tx
	tx.Put(state.CommandKey(order.ID), 0, row)
	tx.Put(state.ChangeKey(next.Version), 0, row.Change)
	tx.Put(state.ControlKey, control.Version, next)
	tx.VerifyWith(commandWrittenBy(order.ID, tx.ID))
	return row, state.Commit(ctx, c.table, tx)
}

// commandWrittenBy proves a command by its row, which no later transaction
// overwrites.
func commandWrittenBy(id, txID string) func(context.Context, platform.Table) (bool, error) {
	return func(ctx context.Context, table platform.Table) (bool, error) {
		row, err := state.Get[commandRow](ctx, table, state.CommandKey(id))
		return row.Exists() && row.TxID == txID, err
	}
}

// settleTimeout bounds the read that settles a commit without an answer.
const settleTimeout = 2 * time.Second

// readBack returns the row that a commit with an unknown outcome was to write;
// it does not exist after other errors and when it cannot be read. Its absence
// proves nothing: the commit may still be on its way.
func readBack[T any](ctx context.Context, table platform.Table, err error, key string) state.Row[T] {
	if !errors.Is(err, state.ErrOutcomeUnknown) {
		return state.Row[T]{}
	}
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), settleTimeout)
	defer cancel()
	row, err := state.Get[T](ctx, table, key)
	if err != nil {
		return state.Row[T]{}
	}
	return row
}

// repeat answers a command whose id has been settled before.
func (c *Commander) repeat(ctx context.Context, order Request, row commandRow) (statement.Result, error) {
	if row.Refused != "" {
		return statement.Result{}, statement.Refuse(row.Refused, "%s (settled under the id %s; send it with another id)", row.Message, order.ID)
	}
	if row.Statement != order.Statement.Text {
		e := statement.Refuse(statement.IDReused, "the id %s belongs to another command", order.ID)
		e.InForce = describe(row.Change)
		return statement.Result{}, e
	}
	return c.result(ctx, row, nil)
}

// settleRefusal records the refusal of a repeat under its id, so that an
// earlier request that is still on its way cannot take effect.
func (c *Commander) settleRefusal(ctx context.Context, order Request, err error) (statement.Result, error) {
	var e *statement.Error
	if !errors.As(err, &e) || e.Outcome != verdict.NotRun || e.Reason == statement.NeedsConfirm || e.Reason == statement.IDReused {
		return statement.Result{}, err
	}
	tx := state.NewTx()
	tx.Put(state.CommandKey(order.ID), 0, commandRow{
		Change: structs.Change{
			ID: order.ID, Author: order.Author, Statement: order.Statement.Text, At: c.now().UTC(), Message: e.Detail,
		},
		Refused: e.Reason,
	})
	commitErr := state.Commit(ctx, c.table, tx)
	if commitErr == nil {
		return statement.Result{}, err
	}
	prior, readErr := state.Get[commandRow](ctx, c.table, state.CommandKey(order.ID))
	if readErr == nil && prior.Exists() {
		return c.repeat(ctx, order, prior.Value)
	}
	return statement.Result{}, doubt(commitErr)
}

// result returns what the sender of an accepted command is told, after
// carrying on with its wave of cancellations if it has one.
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
	progress := c.runWave(ctx, row.ID)
	result.Progress = &progress
	return result, nil
}

// DryRun returns what a command would do; it changes nothing.
func (c *Commander) DryRun(ctx context.Context, order Request) (statement.Result, error) {
	order.Confirm = true
	order.ID = "dry-run"
	control, err := state.Get[state.Control](ctx, c.table, state.ControlKey)
	if err != nil {
		return statement.Result{}, readError(err)
	}
	plan, err := c.decide(ctx, order, control.Value)
	if err != nil {
		return statement.Result{}, asError(err)
	}
	result, err := statement.ResultOf(plan.effects)
	if err != nil {
		return statement.Result{}, asError(err)
	}
	result.Message = "dry run, nothing has changed; it would answer: " + plan.message
	result.Version = control.Value.Version
	return result, nil
}
