package command

import (
	"context"
	"fmt"
	"maps"
	"slices"

	"bamboowood/internal/platform"
	"bamboowood/internal/state"
	"bamboowood/internal/structs"
)

// maxBootstrapRows bounds the configuration rows that one transaction of Bootstrap writes.
const maxBootstrapRows = 100

// Bootstrap creates the missing rows of the services, zones, teams and kinds of config.
// It never changes an existing row. Any number of processes may run it at once.
func (c *Commander) Bootstrap(ctx context.Context, config structs.Config) error {
	for failures := 0; failures < maxAttempts; {
		done, err := c.bootstrapOnce(ctx, config)
		switch {
		case err == nil && done:
			return nil
		case isConflict(err):
			failures++
		case err != nil:
			return fmt.Errorf("create configuration: %w", err)
		}
	}
	return fmt.Errorf("create configuration: %w", platform.ErrConflict)
}

// bootstrapOnce creates missing rows, at most maxBootstrapRows. done reports that none
// was missing.
func (c *Commander) bootstrapOnce(ctx context.Context, config structs.Config) (done bool, err error) {
	control, err := state.Get[state.Control](ctx, c.table, state.ControlKey)
	if err != nil {
		return false, err
	}
	current, err := state.LoadConfig(ctx, c.table)
	if err != nil {
		return false, err
	}
	tx := state.NewTx()
	rows := 0
	put := func(key string, value any) {
		if rows < maxBootstrapRows {
			tx.Put(key, 0, value)
		}
		rows++
	}
	for _, name := range missing(config.Services, current.Services) {
		put(state.ServiceKey(name), config.Services[name])
	}
	for _, name := range missing(config.Zones, current.Zones) {
		put(state.ZoneKey(name), config.Zones[name])
	}
	for _, name := range missing(config.Teams, current.Teams) {
		put(state.TeamKey(name), config.Teams[name])
	}
	for _, name := range missing(config.Kinds, current.Kinds) {
		put(state.KindKey(name), config.Kinds[name])
	}
	if rows == 0 && control.Exists() {
		return true, nil
	}
	next := control.Value
	next.Version++
	tx.Put(state.ControlKey, control.Version, next)
	return false, state.Commit(ctx, c.table, tx)
}

// missing returns the sorted names that are in want and not in have.
func missing[V any](want, have map[string]V) []string {
	return slices.DeleteFunc(slices.Sorted(maps.Keys(want)), func(name string) bool {
		_, ok := have[name]
		return ok
	})
}
