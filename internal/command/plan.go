package command

import (
	"context"
	"maps"
	"slices"

	"bamboowood/internal/state"
	"bamboowood/internal/statement"
	"bamboowood/internal/structs"
)

// plan is the transaction of a command and its answer. It is valid while the rows on
// which it is based do not change.
type plan struct {
	// object is the object that the command changes, such as "zone norte".
	object string
	// lastChangeID is the id of the command that last changed the object, and
	// currentState the result of that change. If lastChangeID differs between two
	// attempts to decide the same command, the command is refused as a conflict.
	lastChangeID, currentState string
	message                    string
	undo                       string
	// follow is the object whose progress the sender can follow, or "".
	follow  string
	effects []statement.EffectRow
	// control, unless nil, changes the control row beyond its version.
	control func(state.Control) state.Control
	tx      *state.Tx
}

// decide plans a command from the current rows.
func (c *Commander) decide(ctx context.Context, req Request, control state.Control) (*plan, error) {
	s := req.Statement
	settings, err := statement.ReadSettings(s)
	if err != nil {
		return nil, err
	}
	switch {
	case s.Drain != nil && s.Drain.Place.Kind == "zone":
		return c.drainZone(ctx, req, s.Drain.Place.Name.Value, s.Drain.Force, control)
	case s.Drain != nil:
		return c.drainWorker(ctx, req, s.Drain.Place.Name.Value, s.Drain.Force, control)
	case s.Refill != nil && s.Refill.Kind == "zone":
		return c.refillZone(ctx, req, s.Refill.Name.Value)
	case s.Refill != nil:
		return c.refillWorker(ctx, req, s.Refill.Name.Value, control)
	case s.Stop != nil:
		return c.stopTask(ctx, req, structs.TaskKind(s.Stop.Kind), s.Stop.Name.Value)
	case s.Cancel != nil && s.Cancel.Job != nil:
		return c.stopTask(ctx, req, "job", s.Cancel.Job.Value)
	case s.Cancel != nil:
		return c.cancelJobs(ctx, req)
	case s.Set != nil && s.Set.Service != nil:
		return c.setService(ctx, req, s.Set.Service.Value, settings)
	case s.Set != nil:
		return c.setTeam(ctx, req, s.Set.Team.Value, settings)
	case s.Create != nil && s.Create.Service != nil:
		return c.createService(ctx, req, s.Create.Service.Value, settings)
	case s.Create != nil && s.Create.Team != nil:
		return c.createTeam(ctx, req, s.Create.Team.Value, settings)
	case s.Create != nil:
		return c.createTask(ctx, req, specOf(structs.KindWatch, s.Create.Watch.Value, settings), settings.ID)
	case s.Submit != nil:
		return c.createTask(ctx, req, specOf(structs.KindBatch, s.Submit.Job.Value, settings), settings.ID)
	case s.Undo != nil:
		return c.undo(ctx, req, s.Undo.Value, control)
	}
	return nil, statement.Refuse(statement.Internal, "this is a query, not a command")
}

// notFound returns the refusal of a name that does not exist. The refusal suggests the
// nearest existing name.
func notFound[T any](kind, name string, existing map[string]T) error {
	e := statement.Refuse(statement.NotFound, "there is no %s %q", kind, name)
	names := slices.Sorted(maps.Keys(existing))
	e.Suggestion = statement.Nearest(name, names)
	if len(names) <= maxListedNames {
		e.Expected = names
	}
	return e
}

// maxListedNames bounds the existing names that a refusal lists.
const maxListedNames = 20
