package command

import (
	"context"
	"fmt"
	"time"

	"bamboowood/internal/state"
	"bamboowood/internal/statement"
	"bamboowood/internal/structs"
)

func (c *Commander) setService(ctx context.Context, req Request, name string, settings statement.Settings) (*plan, error) {
	row, err := state.Get[structs.Service](ctx, c.table, state.ServiceKey(name))
	if err != nil {
		return nil, err
	}
	if !row.Exists() {
		return nil, c.nameNotFound(ctx, "service", name, state.ServicePrefix)
	}
	next := applyService(row.Value, settings)
	next.ChangeID = req.ID
	p := &plan{object: "service " + name, lastChangeID: row.Value.ChangeID, currentState: serviceState(row.Value), tx: state.NewTx()}
	p.tx.Put(row.Key, row.Version, next)
	p.undo = fmt.Sprintf("set service %s wait = %s idempotent = %t", name, millis(row.Value.WaitMS), row.Value.Idempotent)
	p.message = fmt.Sprintf("%s (before: wait = %s, idempotent = %t)", serviceState(next), millis(row.Value.WaitMS), row.Value.Idempotent)
	p.effects = []statement.EffectRow{{Object: p.object, Effect: serviceState(next)}}
	return p, nil
}

func applyService(s structs.Service, settings statement.Settings) structs.Service {
	if settings.Wait != nil {
		s.WaitMS = settings.Wait.Milliseconds()
	}
	if settings.Idempotent != nil {
		s.Idempotent = *settings.Idempotent
	}
	return s
}

func serviceState(s structs.Service) string {
	return fmt.Sprintf("service %s: wait = %s, idempotent = %t", s.Name, millis(s.WaitMS), s.Idempotent)
}

func millis(ms int64) time.Duration { return time.Duration(ms) * time.Millisecond }

func (c *Commander) createService(ctx context.Context, req Request, name string, settings statement.Settings) (*plan, error) {
	row, err := state.Get[structs.Service](ctx, c.table, state.ServiceKey(name))
	if err != nil {
		return nil, err
	}
	if row.Exists() {
		return nil, alreadyExists("service "+name, serviceState(row.Value))
	}
	next := applyService(structs.Service{Name: name, Idempotent: true, ChangeID: req.ID}, settings)
	p := &plan{object: "service " + name, tx: state.NewTx(), message: "created " + serviceState(next)}
	p.tx.Put(row.Key, 0, next)
	p.effects = []statement.EffectRow{{Object: p.object, Effect: "is created"}}
	return p, nil
}

func (c *Commander) setTeam(ctx context.Context, req Request, name string, settings statement.Settings) (*plan, error) {
	row, err := state.Get[structs.Team](ctx, c.table, state.TeamKey(name))
	if err != nil {
		return nil, err
	}
	if !row.Exists() {
		return nil, c.nameNotFound(ctx, "team", name, state.TeamPrefix)
	}
	next := row.Value
	next.Quota = settings.Resources(next.Quota)
	next.ChangeID = req.ID
	p := &plan{object: "team " + name, lastChangeID: row.Value.ChangeID, currentState: teamState(row.Value), tx: state.NewTx()}
	p.tx.Put(row.Key, row.Version, next)
	p.undo = fmt.Sprintf("set team %s quota %s", name, quotaText(row.Value.Quota))
	p.message = fmt.Sprintf("%s (before: %s)", teamState(next), row.Value.Quota)
	p.effects = []statement.EffectRow{{Object: p.object, Effect: teamState(next)}}
	return p, nil
}

func teamState(t structs.Team) string { return fmt.Sprintf("team %s: quota %s", t.Name, t.Quota) }

// quotaText returns a quota in the syntax of the statement that sets it.
func quotaText(r structs.Resources) string {
	return fmt.Sprintf("cores = %g memory = %dMB accelerators = %d", float64(r.MilliCPU)/1000, r.MemoryMB, r.Accelerators)
}

func (c *Commander) createTeam(ctx context.Context, req Request, name string, settings statement.Settings) (*plan, error) {
	row, err := state.Get[structs.Team](ctx, c.table, state.TeamKey(name))
	if err != nil {
		return nil, err
	}
	if row.Exists() {
		return nil, alreadyExists("team "+name, teamState(row.Value))
	}
	next := structs.Team{Name: name, Quota: settings.Resources(structs.Resources{}), ChangeID: req.ID}
	p := &plan{object: "team " + name, tx: state.NewTx(), message: "created " + teamState(next)}
	p.tx.Put(row.Key, 0, next)
	p.effects = []statement.EffectRow{{Object: p.object, Effect: "is created"}}
	return p, nil
}

func alreadyExists(object, currentState string) error {
	e := statement.Refuse(statement.AlreadyExists, "%s exists already; nothing was done", object)
	e.InForce = currentState
	return e
}

// nameNotFound returns the refusal of a name that no row with the prefix has. The
// refusal suggests existing names when they can be read.
func (c *Commander) nameNotFound(ctx context.Context, kind, name, prefix string) error {
	page, err := c.table.List(ctx, prefix, "", maxNamesRead)
	if err != nil {
		return statement.Refuse(statement.NotFound, "there is no %s %q", kind, name)
	}
	names := make(map[string]bool, len(page.Rows))
	for _, row := range page.Rows {
		names[row.Key[len(prefix):]] = true
	}
	return notFound(kind, name, names)
}

// maxNamesRead bounds the rows that are read to suggest the nearest name.
const maxNamesRead = 500
