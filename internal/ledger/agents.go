package ledger

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"net/netip"
	"time"

	"bamboowood/internal/store"
)

// RegisterAgent stores an agent's address under its name. It writes nothing if that address
// is stored already.
func (l *Ledger) RegisterAgent(ctx context.Context, name, address string) error {
	row, err := l.readRow(ctx, mainKey(agentTable, name))
	if err != nil {
		return fmt.Errorf("read agent: %w", err)
	}
	if row != nil && bytes.Equal(row.Value, []byte(address)) {
		return nil
	}
	_, err = l.store.Apply(ctx, store.Tx{Writes: []store.Write{{Key: mainKey(agentTable, name), Value: []byte(address)}}})
	return err
}

// Agent is an agent's registration.
type Agent struct {
	// Address is empty if it is not an IP address with a port: another writer has replaced the
	// row, and the agent may still have runs.
	Address string
	// Version changes with each registration and each record.
	Version int64
	// Lost is the record of a lost agent. Nothing may be started on the agent or granted to it before it is
	// registered again without one.
	Lost Lost
}

// Agents returns all registered agents by name, and the version from which FollowAgents
// continues.
func (l *Ledger) Agents(ctx context.Context) (map[string]Agent, int64, error) {
	rows, version, err := l.bulk.ReadAll(ctx, store.ReadRequest{Table: agentTable, Part: mainPart})
	if err != nil {
		return nil, 0, fmt.Errorf("read agents: %w", err)
	}
	return registrations(rows), version, nil
}

// FollowAgents returns the agents that registered after a version, and the version to
// continue from. It waits up to the given time for a registration.
func (l *Ledger) FollowAgents(
	ctx context.Context, after int64, wait time.Duration,
) (map[string]Agent, int64, error) {
	rows, version, err := l.store.Feed(ctx, store.FeedRequest{Table: agentTable, After: after, Wait: wait})
	return registrations(rows), version, err
}

func registrations(rows []store.Row) map[string]Agent {
	found := map[string]Agent{}
	for _, row := range rows {
		if !row.Deleted && row.Part == mainPart {
			address, lost := decodeRegistration(row.Value)
			found[row.Key] = Agent{Address: address, Version: row.Version, Lost: lost}
		}
	}
	return found
}

// usableAddress returns the address in a row's value, or "" if it cannot be dialled without a
// lookup.
func usableAddress(value []byte) string {
	address, err := netip.ParseAddrPort(string(value))
	if err != nil || address.Port() == 0 || address.Addr().Zone() != "" {
		return ""
	}
	return string(value)
}

// RemoveAgent deletes the registration of a dead agent, given by its version. A later
// registration stays, even if the store executes the call late.
func (h *HeldTerm) RemoveAgent(ctx context.Context, name string, version int64) error {
	k := mainKey(agentTable, name)
	err := h.ledger.apply(ctx, store.Tx{
		Expect: []store.Expect{h.expectTerm(), {Key: k, Version: version}}, Remove: []store.Key{k},
	})
	if conflict := (*store.ConflictError)(nil); errors.As(err, &conflict) && h.termUnchanged(conflict) {
		// An earlier attempt deleted the row, or the agent has registered again.
		return nil
	}
	return conflictAsDeposed(err)
}

// ReregisterAgent registers an agent again after its registration was deleted or got a record, and returns
// the version of the new registration. A record that is written late then finds another version.
func (h *HeldTerm) ReregisterAgent(ctx context.Context, name, address string) (int64, error) {
	version, err := h.ledger.store.Apply(ctx, store.Tx{
		Expect: []store.Expect{h.expectTerm()},
		Writes: []store.Write{{Key: mainKey(agentTable, name), Value: []byte(address)}},
	})
	return version, conflictAsDeposed(err)
}
