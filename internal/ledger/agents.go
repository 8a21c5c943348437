package ledger

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"time"

	"bamboowood/internal/store"
)

// RegisterAgent stores an agent's address under its name, unless it is there.
func (l *Ledger) RegisterAgent(ctx context.Context, name, address string) error {
	row, err := l.readOne(ctx, key(agentTable, name))
	if err != nil {
		return fmt.Errorf("read agent: %w", err)
	}
	if row != nil && bytes.Equal(row.Value, []byte(address)) {
		return nil
	}
	_, err = l.store.Apply(ctx, store.Tx{Writes: []store.Write{{Key: key(agentTable, name), Value: []byte(address)}}})
	return err
}

// Agent is an agent's registration.
type Agent struct {
	Address string
	// Version changes with each registration.
	Version int64
}

// Agents returns all registered agents by name, and where FollowAgents continues.
func (l *Ledger) Agents(ctx context.Context) (map[string]Agent, int64, error) {
	rows, version, err := l.bulk.ReadAll(ctx, store.Range{Table: agentTable, Part: part})
	if err != nil {
		return nil, 0, fmt.Errorf("read agents: %w", err)
	}
	return agents(rows), version, nil
}

// FollowAgents returns the agents that registered after a version.
func (l *Ledger) FollowAgents(
	ctx context.Context, after int64, wait time.Duration,
) (map[string]Agent, int64, error) {
	rows, version, err := l.store.Feed(ctx, store.Changes{Table: agentTable, After: after, Wait: wait})
	return agents(rows), version, err
}

func agents(rows []store.Row) map[string]Agent {
	found := map[string]Agent{}
	for _, row := range rows {
		if !row.Deleted && row.Part == part {
			found[row.Key] = Agent{Address: string(row.Value), Version: row.Version}
		}
	}
	return found
}

// RemoveAgent removes a registration of an agent on which nothing is alive. A later
// registration stays, also when the call is carried out late.
func (h *HeldTerm) RemoveAgent(ctx context.Context, name string, version int64) error {
	k := key(agentTable, name)
	err := h.ledger.apply(ctx, store.Tx{
		Expect: []store.Expect{h.expectTerm(), {Key: k, Version: version}}, Remove: []store.Key{k},
	})
	if conflict := (*store.ConflictError)(nil); errors.As(err, &conflict) && h.current(conflict) {
		// It was removed by an earlier try, or the agent has registered again.
		return nil
	}
	return deposedBy(err)
}

// RestoreAgent registers an agent whose registration was removed, and returns the version
// of the new one.
func (h *HeldTerm) RestoreAgent(ctx context.Context, name, address string) (int64, error) {
	version, err := h.ledger.store.Apply(ctx, store.Tx{
		Expect: []store.Expect{h.expectTerm()},
		Writes: []store.Write{{Key: key(agentTable, name), Value: []byte(address)}},
	})
	return version, deposedBy(err)
}
