package command

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"reflect"
	"strings"

	"github.com/go-playground/validator/v10"

	"bamboowood/internal/platform"
	"bamboowood/internal/state"
	"bamboowood/internal/statement"
	"bamboowood/internal/structs"
	"bamboowood/internal/task"
)

var validate = newValidator()

// newValidator returns a validator that reports fields by their JSON names.
func newValidator() *validator.Validate {
	v := validator.New(validator.WithRequiredStructEnabled())
	v.RegisterTagNameFunc(func(f reflect.StructField) string {
		name, _, _ := strings.Cut(f.Tag.Get("json"), ",")
		return name
	})
	return v
}

// SubmitTask creates a task if none with the id exists. A repeat with the same id and
// specification returns the existing task; a repeat with another specification is
// refused. An empty id is replaced by a generated one. With a given id, the outcome of
// a failed read is unknown, because an earlier submission may have taken effect.
// Errors are *statement.Error.
func (c *Commander) SubmitTask(ctx context.Context, id string, spec structs.TaskSpec) (structs.Task, error) {
	generated := id == ""
	if generated {
		id = statement.NewID()
	}
	if !statement.ValidID(id) {
		return structs.Task{}, statement.Refuse(statement.InvalidValue,
			"a task id has 1 to %d letters, digits, '-', '_' or '.'", statement.MaxIDBytes)
	}
	row, err := state.Get[structs.Task](ctx, c.table, state.TaskKey(id))
	if err != nil && generated {
		return structs.Task{}, tableUnavailable(err)
	}
	if err != nil {
		return structs.Task{}, outcomeUnknown(err)
	}
	if row.Exists() {
		return existingTask(row.Value, spec)
	}
	if err := c.checkSpec(ctx, spec); err != nil {
		return structs.Task{}, asStatementError(err)
	}
	tx := task.NewTx(c.now().UTC())
	tx.Submit(id, spec)
	err = tx.Commit(ctx, c.table)
	switch {
	case err == nil:
		return tx.Tasks()[0].Value, nil
	case !isConflict(err):
		if row = readBack[structs.Task](ctx, c.table, err, row.Key); row.Exists() {
			return existingTask(row.Value, spec)
		}
		return structs.Task{}, commitError(err)
	}
	row, err = state.Get[structs.Task](ctx, c.table, state.TaskKey(id))
	if err != nil {
		return structs.Task{}, outcomeUnknown(err)
	}
	return existingTask(row.Value, spec)
}

// existingTask answers a submission whose id already has a task.
func existingTask(t structs.Task, spec structs.TaskSpec) (structs.Task, error) {
	if sameSpec(t.Spec, spec) {
		return t, nil
	}
	return structs.Task{}, statement.Refuse(statement.IDReused, "the id %s belongs to a task with another specification", t.ID)
}

// sameSpec reports whether the stored forms of two specifications are equal.
func sameSpec(a, b structs.TaskSpec) bool {
	x, errA := json.Marshal(a)
	y, errB := json.Marshal(b)
	return errA == nil && errB == nil && string(x) == string(y)
}

// checkSpec refuses a specification that is invalid or can never run.
func (c *Commander) checkSpec(ctx context.Context, spec structs.TaskSpec) error {
	if err := validate.Struct(spec); err != nil {
		return statement.Refuse(statement.InvalidValue, "%s", validationText(err))
	}
	if spec.Declared.IsZero() {
		return statement.Refuse(statement.InvalidValue, "%s declares no resources and there is no kind of that name with a default", spec.Name)
	}
	team, err := state.Get[structs.Team](ctx, c.table, state.TeamKey(spec.Team))
	if err != nil {
		return err
	}
	if !team.Exists() {
		return c.nameNotFound(ctx, "team", spec.Team, state.TeamPrefix)
	}
	if quota := team.Value.Quota; !spec.Declared.Fits(quota) {
		return statement.Refuse(statement.CannotFit, "%s asks for %s, but the quota of team %s is %s",
			spec.Name, spec.Declared, spec.Team, quota)
	}
	return c.checkFits(ctx, spec)
}

// validationText lists the invalid fields of a specification and their rules.
func validationText(err error) string {
	var fields validator.ValidationErrors
	if !errors.As(err, &fields) {
		return err.Error()
	}
	var parts []string
	for _, f := range fields {
		parts = append(parts, fmt.Sprintf("%s must be %s", fieldName(f), strings.TrimSpace(f.Tag()+" "+f.Param())))
	}
	return strings.Join(parts, "; ")
}

func fieldName(f validator.FieldError) string {
	_, path, _ := strings.Cut(f.Namespace(), ".")
	return path
}

// createTask plans the submission of a task by an operator.
func (c *Commander) createTask(ctx context.Context, req Request, spec structs.TaskSpec, id string) (*plan, error) {
	if id == "" {
		id = req.ID
	}
	row, err := state.Get[structs.Task](ctx, c.table, state.TaskKey(id))
	if err != nil {
		return nil, err
	}
	noun := nounOf(spec.Kind)
	if row.Exists() {
		return nil, alreadyExists(noun+" "+id, fmt.Sprintf("%s %s is %s", noun, id, row.Value.State))
	}
	kind, err := state.Get[structs.Kind](ctx, c.table, state.KindKey(spec.Name))
	if err != nil {
		return nil, err
	}
	if kind.Value.Kind == spec.Kind {
		spec = kind.Value.ApplyDefaults(spec)
	}
	if err := c.checkSpec(ctx, spec); err != nil {
		return nil, err
	}
	tx := task.NewTx(c.now().UTC())
	tx.Submit(id, spec)
	p := &plan{object: noun + " " + id, tx: tx.Build()}
	p.undo = "stop " + noun + " " + id
	p.message = fmt.Sprintf("%s %s is submitted", noun, id)
	p.effects = []statement.EffectRow{{Object: p.object, Effect: "waits for placement of " + spec.Declared.String()}}
	return p, nil
}

func nounOf(kind structs.TaskKind) string {
	if kind == structs.KindWatch {
		return "watch"
	}
	return "job"
}

func specOf(kind structs.TaskKind, name string, s statement.Settings) structs.TaskSpec {
	spec := structs.TaskSpec{
		Name: name, Kind: kind, Team: s.Team, Priority: s.Priority, Declared: s.Resources(structs.Resources{}),
		DurationMS: s.Duration.Milliseconds(), MaxGapMS: s.Gap.Milliseconds(),
	}
	if s.Payload != "" {
		spec.Payload = []byte(s.Payload)
	}
	return spec
}

// CancelTask cancels a task, or orders its agent to stop it. A task that is already
// cancelled or stopping is returned unchanged. A task that has ended otherwise is
// refused. Errors are *statement.Error.
func (c *Commander) CancelTask(ctx context.Context, id, author string) (structs.Task, error) {
	for range maxAttempts {
		row, err := c.taskRow(ctx, "", id)
		if err != nil {
			return structs.Task{}, asStatementError(err)
		}
		if cancelledOrStopping(row.Value) {
			return row.Value, nil
		}
		tx := task.NewTx(c.now().UTC())
		if err := c.addCancellation(ctx, tx, row, "cancelled by "+author); err != nil {
			return structs.Task{}, asStatementError(err)
		}
		err = tx.Commit(ctx, c.table)
		if err == nil {
			return tx.Tasks()[0].Value, nil
		}
		if current := readBack[structs.Task](ctx, c.table, err, row.Key); current.Exists() && cancelledOrStopping(current.Value) {
			return current.Value, nil
		}
		if !isConflict(err) {
			return structs.Task{}, commitError(err)
		}
	}
	return structs.Task{}, statement.Refuse(statement.Conflict, "task %s kept changing; nothing was done, try again", id)
}

// cancelledOrStopping reports whether a task is cancelled or its agent has the order to
// stop it.
func cancelledOrStopping(t structs.Task) bool {
	return t.State == structs.StateCancelled || t.State == structs.StateStopping
}

// taskRow reads a task. kind is "job", "watch", or "" for either.
func (c *Commander) taskRow(ctx context.Context, kind, id string) (state.Row[structs.Task], error) {
	row, err := state.Get[structs.Task](ctx, c.table, state.TaskKey(id))
	if err != nil {
		return row, err
	}
	noun := kind
	if noun == "" {
		noun = "task"
	}
	if !row.Exists() {
		e := statement.Refuse(statement.NotFound, "there is no %s %q", noun, id)
		e.Err = platform.ErrNotFound
		return row, e
	}
	if kind != "" && nounOf(row.Value.Spec.Kind) != kind {
		return row, statement.Refuse(statement.NotFound, "%s is a %s, not a %s", id, nounOf(row.Value.Spec.Kind), kind)
	}
	return row, nil
}

// addCancellation adds the cancellation of a task to tx. A task that is pending or
// placed is cancelled at once; otherwise its agent is ordered to stop it.
func (c *Commander) addCancellation(ctx context.Context, tx *task.Tx, row task.Row, reason string) error {
	t := row.Value
	if t.State.Final() {
		return statement.Refuse(statement.AlreadyFinished, "%s %s has already %s", nounOf(t.Spec.Kind), t.ID, t.State)
	}
	vm := task.VMRow{}
	if t.State.HoldsResources() {
		var err error
		if vm, err = state.Get[structs.VM](ctx, c.table, state.VMKey(t.Owner.VM)); err != nil {
			return err
		}
	}
	return tx.Cancel(row, vm, reason)
}

// stopTask plans the statements stop job, stop watch and cancel job.
func (c *Commander) stopTask(ctx context.Context, req Request, kind structs.TaskKind, id string) (*plan, error) {
	row, err := c.taskRow(ctx, string(kind), id)
	if err != nil {
		return nil, err
	}
	p := &plan{object: string(kind) + " " + id, tx: state.NewTx()}
	if cancelledOrStopping(row.Value) {
		p.tx.Check(row.Key, row.Version)
		p.message = fmt.Sprintf("%s was already %s", p.object, row.Value.State)
		return p, nil
	}
	tx := task.NewTx(c.now().UTC())
	if err := c.addCancellation(ctx, tx, row, "stopped by "+req.Author); err != nil {
		return nil, err
	}
	next := tx.Tasks()[0].Value
	p.tx = tx.Build()
	p.message = fmt.Sprintf("%s is %s", p.object, next.State)
	p.effects = []statement.EffectRow{{Object: p.object, Effect: fmt.Sprintf("%s -> %s", row.Value.State, next.State)}}
	return p, nil
}
