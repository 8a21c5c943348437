package state

import (
	"context"
	"fmt"
	"strings"

	"bamboowood/internal/platform"
	"bamboowood/internal/structs"
)

// Control is the value of the row ControlKey.
type Control struct {
	Version int64 `json:"version"`
	// DrainingVMs is the set of VMs that an operator has ordered to drain.
	DrainingVMs map[string]bool `json:"draining_vms,omitempty"`
	// DrainedBy maps each draining VM to the id of the command that drains it.
	DrainedBy map[string]string `json:"drained_by,omitempty"`
}

// maxConfigReads is the number of times that LoadConfig reads the configuration when commands
// change it during the read.
const maxConfigReads = 5

// LoadConfig reads a consistent configuration, that of one control version. It reads the
// control row before and after the other rows and repeats the read when the version has
// changed in between.
func LoadConfig(ctx context.Context, table platform.Table) (*structs.Config, error) {
	for range maxConfigReads {
		before, err := Get[Control](ctx, table, ControlKey)
		if err != nil {
			return nil, err
		}
		config, err := readConfig(ctx, table, before.Value)
		if err != nil {
			return nil, err
		}
		after, err := Get[Control](ctx, table, ControlKey)
		if err != nil {
			return nil, err
		}
		if after.Version == before.Version {
			return config, nil
		}
	}
	return nil, fmt.Errorf("configuration changed during %d reads", maxConfigReads)
}

func readConfig(ctx context.Context, table platform.Table, control Control) (*structs.Config, error) {
	services, err := listByName[structs.Service](ctx, table, ServicePrefix)
	if err != nil {
		return nil, err
	}
	zones, err := listByName[structs.Zone](ctx, table, ZonePrefix)
	if err != nil {
		return nil, err
	}
	teams, err := listByName[structs.Team](ctx, table, TeamPrefix)
	if err != nil {
		return nil, err
	}
	kinds, err := listByName[structs.Kind](ctx, table, KindPrefix)
	if err != nil {
		return nil, err
	}
	return &structs.Config{
		Version: control.Version, Services: services, Zones: zones, Teams: teams, Kinds: kinds,
		DrainingVMs: control.DrainingVMs,
	}, nil
}

func listByName[T any](ctx context.Context, table platform.Table, prefix string) (map[string]T, error) {
	rows, err := List[T](ctx, table, prefix)
	if err != nil {
		return nil, err
	}
	m := make(map[string]T, len(rows))
	for _, r := range rows {
		m[strings.TrimPrefix(r.Key, prefix)] = r.Value
	}
	return m, nil
}
