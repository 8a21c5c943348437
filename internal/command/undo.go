package command

import (
	"context"
	"fmt"
	"strconv"

	"bamboowood/internal/state"
	"bamboowood/internal/statement"
	"bamboowood/internal/structs"
)

// undo plans the statement that reverts an earlier change, unless its object has
// been changed since. which is a control version or a command id.
func (c *Commander) undo(ctx context.Context, order Request, which string, control state.Control) (*plan, error) {
	change, err := c.findChange(ctx, which)
	if err != nil {
		return nil, err
	}
	if change.Undo == "" {
		e := statement.Refuse(statement.NotUndoable, "change %d cannot be undone", change.Version)
		e.InForce = describe(change)
		return nil, e
	}
	inverse, err := statement.Parse(change.Undo)
	if err != nil {
		return nil, fmt.Errorf("undo of change %d: %w", change.Version, err)
	}
	order.Statement = inverse
	p, err := c.decide(ctx, order, control)
	if err != nil {
		return nil, err
	}
	if p.inForce != "" && p.inForce != change.ID {
		e := statement.Refuse(statement.Conflict, "%s has been changed since change %d; nothing was done", p.object, change.Version)
		e.InForce = p.state
		if latest, err := c.findChange(ctx, p.inForce); err == nil {
			e.InForce += "; " + describe(latest)
		}
		return nil, e
	}
	p.message = fmt.Sprintf("change %d undone: %s", change.Version, p.message)
	return p, nil
}

func (c *Commander) findChange(ctx context.Context, which string) (structs.Change, error) {
	key := state.CommandKey(which)
	if version, err := strconv.ParseInt(which, 10, 64); err == nil && version > 0 {
		key = state.ChangeKey(version)
	}
	row, err := state.Get[structs.Change](ctx, c.table, key)
	if err != nil {
		return structs.Change{}, err
	}
	if !row.Exists() || row.Value.Version == 0 {
		return structs.Change{}, statement.Refuse(statement.NotFound, "there is no change %q; see: show changes", which)
	}
	return row.Value, nil
}
