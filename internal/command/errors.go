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

// maxChangesSearched bounds the changes among which a conflict is looked for.
const maxChangesSearched = 50

// conflict says that the object has been changed by someone else after the
// control version decidedAt.
func (c *Commander) conflict(ctx context.Context, p *plan, decidedAt, version int64) error {
	e := statement.Refuse(statement.Conflict, "%s was changed by another command meanwhile; nothing was done", p.object)
	e.InForce = p.state
	for v := version; v > max(decidedAt, version-maxChangesSearched); v-- {
		change, err := state.Get[structs.Change](ctx, c.table, state.ChangeKey(v))
		if err == nil && change.Exists() && change.Value.Object == p.object {
			e.InForce += "; " + describe(change.Value)
			break
		}
	}
	return e
}

// describe says who made a change and when.
func describe(change structs.Change) string {
	return fmt.Sprintf("change %d: %q by %s at %s", change.Version, change.Statement, change.Author,
		change.At.UTC().Format(time.RFC3339))
}

// readError says that nothing was done because a read failed.
func readError(err error) error {
	e := statement.Refuse(statement.TableUnavailable, "the platform's table does not answer; nothing was done")
	e.Err = err
	return e
}

// doubt says that it is not known whether a command took effect.
func doubt(err error) error {
	return &statement.Error{
		Outcome: verdict.MayHaveRun, Reason: statement.OutcomeUnknown, Err: unsettled(err),
		Detail: "the platform's table did not confirm the command",
	}
}

// commitError says whether a failed commit may have taken effect.
func commitError(err error) error {
	none := errors.Is(err, platform.ErrConflict) || errors.Is(err, platform.ErrUnavailable) || errors.Is(err, platform.ErrInvalid)
	if none && !errors.Is(err, state.ErrOutcomeUnknown) {
		return readError(err)
	}
	return doubt(err)
}

// unsettled returns err as state.ErrOutcomeUnknown.
func unsettled(err error) error {
	if errors.Is(err, state.ErrOutcomeUnknown) {
		return err
	}
	return fmt.Errorf("%w: %w", state.ErrOutcomeUnknown, err)
}

// asError returns err as *statement.Error; an error of a read is a refusal.
func asError(err error) error {
	var e *statement.Error
	var transition *task.TransitionError
	var refusal *task.RefusalError
	switch {
	case errors.As(err, &e):
		return e
	case errors.As(err, &transition), errors.As(err, &refusal):
		return statement.Refuse(statement.Conflict, "%v; nothing was done", err)
	}
	return readError(err)
}

// isConflict reports whether a commit has surely taken no effect because rows
// have changed.
func isConflict(err error) bool {
	return errors.Is(err, platform.ErrConflict) && !errors.Is(err, state.ErrOutcomeUnknown)
}
