package command

import (
	"context"
	"maps"
	"slices"

	"bamboowood/internal/state"
	"bamboowood/internal/statement"
	"bamboowood/internal/structs"
)

// plan is what a command will write if nothing that it was decided on changes.
type plan struct {
	// object is what the command is about, such as "zone norte".
	object string
	// inForce is the id of the command that last changed the object and state
	// what it set; a command that finds another inForce on its second attempt
	// is a conflict.
	inForce, state string
	message        string
	undo           string
	// follow is the object whose progress can be followed, or "".
	follow  string
	effects []statement.EffectRow
	// control changes the control row beyond its version; it may be nil.
	control func(state.Control) state.Control
	tx      *state.Tx
}

// decide plans a command from the rows as they are now.
func (c *Commander) decide(ctx context.Context, order Request, control state.Control) (*plan, error) {
	s := order.Statement
	settings, err := statement.ReadSettings(s)
	if err != nil {
		return nil, err
	}
	switch {
	case s.Drain != nil && s.Drain.Place.Kind == "zone":
		return c.drainZone(ctx, order, s.Drain.Place.Name.Value, s.Drain.Force, control)
	case s.Drain != nil:
		return c.drainWorker(ctx, order, s.Drain.Place.Name.Value, s.Drain.Force, control)
	case s.Refill != nil && s.Refill.Kind == "zone":
		return c.refillZone(ctx, order, s.Refill.Name.Value)
	case s.Refill != nil:
		return c.refillWorker(ctx, order, s.Refill.Name.Value, control)
	case s.Stop != nil:
		return c.stopTask(ctx, order, structs.TaskKind(s.Stop.Kind), s.Stop.Name.Value)
	case s.Cancel != nil && s.Cancel.Job != nil:
		return c.stopTask(ctx, order, "job", s.Cancel.Job.Value)
	case s.Cancel != nil:
		return c.cancelJobs(ctx, order)
	case s.Set != nil && s.Set.Service != nil:
		return c.setService(ctx, order, s.Set.Service.Value, settings)
	case s.Set != nil:
		return c.setTeam(ctx, order, s.Set.Team.Value, settings)
	case s.Create != nil && s.Create.Service != nil:
		return c.createService(ctx, order, s.Create.Service.Value, settings)
	case s.Create != nil && s.Create.Team != nil:
		return c.createTeam(ctx, order, s.Create.Team.Value, settings)
	case s.Create != nil:
		return c.createTask(ctx, order, specOf(structs.KindWatch, s.Create.Watch.Value, settings), settings.ID)
	case s.Submit != nil:
		return c.createTask(ctx, order, specOf(structs.KindBatch, s.Submit.Job.Value, settings), settings.ID)
	case s.Undo != nil:
		return c.undo(ctx, order, s.Undo.Value, control)
	}
	return nil, statement.Refuse(statement.Internal, "this is a query, not a command")
}

// notFound refuses a name that no row has and offers the nearest.
func notFound[T any](kind, name string, known map[string]T) error {
	e := statement.Refuse(statement.NotFound, "there is no %s %q", kind, name)
	names := slices.Sorted(maps.Keys(known))
	e.Suggestion = statement.Nearest(name, names)
	if len(names) <= maxNamesExpected {
		e.Expected = names
	}
	return e
}

// maxNamesExpected bounds the names that an error lists.
const maxNamesExpected = 20
