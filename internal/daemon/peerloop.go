package daemon

import (
	"context"
	"math/rand/v2"
	"sync/atomic"
	"time"

	"github.com/apex/log"

	"bamboowood/internal/platform"
	"bamboowood/internal/state"
	"bamboowood/internal/structs"
)

const (
	// peerInterval is how often an entry updates its row and reads those of the others.
	peerInterval = 3 * time.Second
	// maxUnchangedRounds is the number of rounds with an unchanged row after which another
	// entry is removed from the list that agents receive.
	maxUnchangedRounds = 4
)

// peerRow is the value of the row "entry/{name}".
type peerRow struct {
	Address string `json:"address"`
	Zone    string `json:"zone"`
	// Sequence increases with each write.
	Sequence int64 `json:"sequence"`
}

// peerLoop maintains the list of entries in the table, from which agents discover all entries.
// An entry whose row stays unchanged for maxUnchangedRounds is dropped from the list: liveness is
// judged by changes of the row, not by timestamps, so that clocks need not agree.
type peerLoop struct {
	name, address, zone string
	table               platform.Table
	log                 log.Interface
	addresses           atomic.Pointer[[]string]
	observations        map[string]*peerObservation
}

type peerObservation struct {
	version         int64
	unchangedRounds int
}

func newPeerLoop(name, address, zone string, table platform.Table, logger log.Interface) *peerLoop {
	p := &peerLoop{name: name, address: address, zone: zone, table: table, log: logger, observations: map[string]*peerObservation{}}
	p.addresses.Store(&[]string{address})
	return p
}

// entryAddresses returns the addresses of all listed entries, this one first.
func (p *peerLoop) entryAddresses() []string { return *p.addresses.Load() }

func (p *peerLoop) run(ctx context.Context) error {
	for {
		if err := p.update(ctx); err != nil {
			p.log.WithError(err).Debug("updating the list of entries failed")
		}
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-time.After(peerInterval + rand.N(peerInterval/10)):
		}
	}
}

func (p *peerLoop) update(ctx context.Context) error {
	own, err := state.Get[peerRow](ctx, p.table, state.EntryPrefix+p.name)
	if err != nil {
		return err
	}
	tx := state.NewTx()
	tx.Put(own.Key, own.Version, peerRow{Address: p.address, Zone: p.zone, Sequence: own.Value.Sequence + 1})
	if err := state.Commit(ctx, p.table, tx); err != nil {
		return err
	}
	rows, err := state.List[peerRow](ctx, p.table, state.EntryPrefix)
	if err != nil {
		return err
	}
	p.updateAddresses(rows)
	return nil
}

// updateAddresses rebuilds the list of addresses, without entries whose rows have been
// unchanged for maxUnchangedRounds rounds.
func (p *peerLoop) updateAddresses(rows []state.Row[peerRow]) {
	addresses := []string{p.address}
	present := map[string]bool{}
	for _, r := range rows {
		present[r.Key] = true
		observation, ok := p.observations[r.Key]
		if !ok || observation.version != r.Version {
			p.observations[r.Key] = &peerObservation{version: r.Version}
		} else {
			observation.unchangedRounds++
		}
		if r.Value.Address != p.address && p.observations[r.Key].unchangedRounds < maxUnchangedRounds {
			addresses = append(addresses, r.Value.Address)
		}
	}
	for key := range p.observations {
		if !present[key] {
			delete(p.observations, key)
		}
	}
	p.addresses.Store(&addresses)
}

// deleteRow deletes the entry's row at a graceful shutdown.
func (p *peerLoop) deleteRow(ctx context.Context) error {
	own, err := state.Get[peerRow](ctx, p.table, state.EntryPrefix+p.name)
	if err != nil || !own.Exists() {
		return err
	}
	tx := state.NewTx()
	tx.Delete(own.Key, own.Version)
	return state.Commit(ctx, p.table, tx)
}

// statuses returns the list of entries for operators. Only this entry's status has details.
func (p *peerLoop) statuses(sessions int, scheduling bool, version int64) []structs.EntryStatus {
	var all []structs.EntryStatus
	for i, address := range p.entryAddresses() {
		s := structs.EntryStatus{Address: address}
		if i == 0 {
			s = structs.EntryStatus{
				Address: address, Zone: p.zone, Sessions: sessions, Scheduling: scheduling, ControlVersion: version,
			}
		}
		all = append(all, s)
	}
	return all
}
