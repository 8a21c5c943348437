package ledger

import (
	"bytes"
	"context"
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

// Agents returns the addresses of all agents by name, and where FollowAgents
// continues.
func (l *Ledger) Agents(ctx context.Context) (map[string]string, int64, error) {
	rows, version, err := l.bulk.ReadAll(ctx, store.Range{Table: agentTable, Part: part})
	if err != nil {
		return nil, 0, fmt.Errorf("read agents: %w", err)
	}
	return addresses(rows), version, nil
}

// FollowAgents returns the agents that registered after a version.
func (l *Ledger) FollowAgents(
	ctx context.Context, after int64, wait time.Duration,
) (map[string]string, int64, error) {
	rows, version, err := l.store.Feed(ctx, store.Changes{Table: agentTable, After: after, Wait: wait})
	return addresses(rows), version, err
}

func addresses(rows []store.Row) map[string]string {
	found := map[string]string{}
	for _, row := range rows {
		if !row.Deleted && row.Part == part {
			found[row.Key] = string(row.Value)
		}
	}
	return found
}

// RemoveAgents removes the registrations of agents on which nothing is alive.
func (h *HeldTerm) RemoveAgents(ctx context.Context, names []string) error {
	if len(names) == 0 {
		return nil
	}
	tx := store.Tx{Expect: []store.Expect{h.expectTerm()}}
	for _, name := range names[:min(len(names), store.MaxTxEntries-1)] {
		tx.Remove = append(tx.Remove, key(agentTable, name))
	}
	return deposedBy(h.ledger.apply(ctx, tx))
}
