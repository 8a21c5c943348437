package command

import (
	"context"
	"errors"
	"fmt"
	"time"

	"bamboowood/internal/platform"
	"bamboowood/internal/state"
	"bamboowood/internal/statement"
	"bamboowood/internal/structs"
	"bamboowood/internal/task"
	"bamboowood/internal/verdict"
)

// maxChangesSearched bounds the changes that are read to find the conflicting one.
const maxChangesSearched = 50

// conflict returns the refusal of a command whose object another command has changed
// after the control version firstVersion. It names that change if it is found.
func (c *Commander) conflict(ctx context.Context, p *plan, firstVersion, version int64) error {
	e := statement.Refuse(statement.Conflict, "%s was changed by another command meanwhile; nothing was done", p.object)
	e.InForce = p.currentState
	for v := version; v > max(firstVersion, version-maxChangesSearched); v-- {
		change, err := state.Get[structs.Change](ctx, c.table, state.ChangeKey(v))
		if err == nil && change.Exists() && change.Value.Object == p.object {
			e.InForce += "; " + describeChange(change.Value)
			break
		}
	}
	return e
}

// describeChange returns the statement, author and time of a change as text.
func describeChange(change structs.Change) string {
	return fmt.Sprintf("change %d: %q by %s at %s", change.Version, change.Statement, change.Author,
		change.At.UTC().Format(time.RFC3339))
}

// tableUnavailable returns the refusal of a command that had no effect because a call to
// the table failed.
func tableUnavailable(err error) error {
	e := statement.Refuse(statement.TableUnavailable, "the platform's table does not answer; nothing was done")
	e.Err = err
	return e
}

// outcomeUnknown returns the error of a command that may or may not have taken effect.
func outcomeUnknown(err error) error {
	return &statement.Error{
		Outcome: verdict.MayHaveRun, Reason: statement.OutcomeUnknown, Err: wrapOutcomeUnknown(err),
		Detail: "the platform's table did not confirm the command",
	}
}

// commitError converts the error of a commit: to a refusal if the commit certainly had
// no effect, otherwise to an unknown outcome.
func commitError(err error) error {
	notCommitted := errors.Is(err, platform.ErrConflict) || errors.Is(err, platform.ErrUnavailable) || errors.Is(err, platform.ErrInvalid)
	if notCommitted && !errors.Is(err, state.ErrOutcomeUnknown) {
		return tableUnavailable(err)
	}
	return outcomeUnknown(err)
}

// wrapOutcomeUnknown wraps err in state.ErrOutcomeUnknown unless it already does so.
func wrapOutcomeUnknown(err error) error {
	if errors.Is(err, state.ErrOutcomeUnknown) {
		return err
	}
	return fmt.Errorf("%w: %w", state.ErrOutcomeUnknown, err)
}

// asStatementError converts err to *statement.Error. It treats an error of any other
// package than statement and task as a failed read, which is a refusal.
func asStatementError(err error) error {
	var e *statement.Error
	var transition *task.TransitionError
	var refusal *task.RefusalError
	switch {
	case errors.As(err, &e):
		return e
	case errors.As(err, &transition), errors.As(err, &refusal):
		return statement.Refuse(statement.Conflict, "%v; nothing was done", err)
	}
	return tableUnavailable(err)
}

// isConflict reports whether a commit certainly had no effect because checked rows have
// changed.
func isConflict(err error) bool {
	return errors.Is(err, platform.ErrConflict) && !errors.Is(err, state.ErrOutcomeUnknown)
}
