package command

import (
	"context"
	"fmt"
	"strconv"

	"bamboowood/internal/state"
	"bamboowood/internal/statement"
	"bamboowood/internal/structs"
)

// undo plans the statement that reverts an earlier change, and refuses if the object has
// changed after it. ref is a control version or a command id.
func (c *Commander) undo(ctx context.Context, req Request, ref string, control state.Control) (*plan, error) {
	change, err := c.findChange(ctx, ref)
	if err != nil {
		return nil, err
	}
	if change.Undo == "" {
		e := statement.Refuse(statement.NotUndoable, "change %d cannot be undone", change.Version)
		e.InForce = describeChange(change)
		return nil, e
	}
	inverse, err := statement.Parse(change.Undo)
	if err != nil {
		return nil, fmt.Errorf("undo of change %d: %w", change.Version, err)
	}
	req.Statement = inverse
	p, err := c.decide(ctx, req, control)
	if err != nil {
		return nil, err
	}
	if p.lastChangeID != "" && p.lastChangeID != change.ID {
		e := statement.Refuse(statement.Conflict, "%s has been changed since change %d; nothing was done", p.object, change.Version)
		e.InForce = p.currentState
		if latest, err := c.findChange(ctx, p.lastChangeID); err == nil {
			e.InForce += "; " + describeChange(latest)
		}
		return nil, e
	}
	p.message = fmt.Sprintf("change %d undone: %s", change.Version, p.message)
	return p, nil
}

func (c *Commander) findChange(ctx context.Context, ref string) (structs.Change, error) {
	key := state.CommandKey(ref)
	if version, err := strconv.ParseInt(ref, 10, 64); err == nil && version > 0 {
		key = state.ChangeKey(version)
	}
	row, err := state.Get[structs.Change](ctx, c.table, key)
	if err != nil {
		return structs.Change{}, err
	}
	if !row.Exists() || row.Value.Version == 0 {
		return structs.Change{}, statement.Refuse(statement.NotFound, "there is no change %q; see: show changes", ref)
	}
	return row.Value, nil
}
