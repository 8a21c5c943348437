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
	// Deleted is set if the registration has been deleted.
	Deleted bool
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

// FollowAgents returns the agents that registered, or whose registrations were deleted, after a version, and the
// version to continue from. It waits up to the given time for a registration.
func (l *Ledger) FollowAgents(
	ctx context.Context, after int64, wait time.Duration,
) (map[string]Agent, int64, error) {
	rows, version, err := l.store.Feed(ctx, store.FeedRequest{Table: agentTable, After: after, Wait: wait})
	return registrations(rows), version, err
}

func registrations(rows []store.Row) map[string]Agent {
	found := map[string]Agent{}
	for _, row := range rows {
		switch {
		case row.Part != mainPart:
		case row.Deleted:
			found[row.Key] = Agent{Version: row.Version, Deleted: true}
		default:
			address, lost := decodeRegistration(row.Value)
			if lost != (Lost{}) && lost.Since == 0 {
				lost.Since = row.Version
			}
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

// Registration is an agent's registration in the ledger, given by its version, or one to be written.
type Registration struct {
	Name, Address string
	Version       int64
}

// MaxRegistrations is the maximum number of agents in a call of RemoveAgents or ReregisterAgents.
const MaxRegistrations = (store.MaxTxEntries - 1) / 2

// RemoveAgents deletes the registrations of dead agents. A later registration stays, even if the store
// executes the call late. After an error each of them may have been deleted.
func (h *HeldTerm) RemoveAgents(ctx context.Context, agents []Registration) error {
	err := h.removeAgents(ctx, agents)
	if !errors.Is(err, errRegistrationChanged) || len(agents) == 1 {
		return ignoreChanged(err)
	}
	for _, a := range agents {
		if err := ignoreChanged(h.removeAgents(ctx, []Registration{a})); err != nil {
			return err
		}
	}
	return nil
}

// removeAgents deletes all registrations or none. It returns errRegistrationChanged if one has been deleted by an
// earlier attempt, or its agent has registered again.
func (h *HeldTerm) removeAgents(ctx context.Context, agents []Registration) error {
	tx := store.Tx{Expect: []store.Expect{h.expectTerm()}}
	for _, a := range agents {
		k := mainKey(agentTable, a.Name)
		tx.Expect = append(tx.Expect, store.Expect{Key: k, Version: a.Version})
		tx.Remove = append(tx.Remove, k)
	}
	err := h.ledger.apply(ctx, tx)
	if conflict := (*store.ConflictError)(nil); errors.As(err, &conflict) && h.termUnchanged(conflict) {
		return errRegistrationChanged
	}
	return conflictAsDeposed(err)
}

func ignoreChanged(err error) error {
	if errors.Is(err, errRegistrationChanged) {
		return nil
	}
	return err
}

// ReregisterAgents registers agents again after their registrations were deleted or got a record, and returns
// the version of all new registrations. A record that is written late then finds another version.
func (h *HeldTerm) ReregisterAgents(ctx context.Context, agents []Registration) (version int64, err error) {
	tx := store.Tx{Expect: []store.Expect{h.expectTerm()}}
	for _, a := range agents {
		tx.Writes = append(tx.Writes, store.Write{Key: mainKey(agentTable, a.Name), Value: []byte(a.Address)})
	}
	version, err = h.ledger.store.Apply(ctx, tx)
	return version, conflictAsDeposed(err)
}
