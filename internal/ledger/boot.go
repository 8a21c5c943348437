package ledger

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"time"

	"github.com/VictoriaMetrics/metrics"

	"bamboowood/internal/boottime"
	"bamboowood/internal/store"
)

// bootTable has the boot of each agent's VM in which an agent process registered last. Its rows are
// spread over parts, since all VMs may boot at once.
const bootTable = "boots"

var bootsUnreadable = metrics.NewCounter("bamboowood_boot_rows_unreadable_total")

// bootRow is a row of bootTable.
type bootRow struct {
	Machine     string `json:"machine"`
	BootID      string `json:"boot_id,omitempty"`
	ClockMillis int64  `json:"clock_ms"`
	StoreMillis int64  `json:"store_ms"`
	// SharedClock is set if the clock has no offset of the process's own. Rows of earlier versions lack it, and
	// the time of day.
	SharedClock     bool  `json:"shared_clock,omitempty"`
	TimeOfDayMillis int64 `json:"time_of_day_ms,omitempty"`
}

// Highest valid readings: some 30 years of a clock, and a time of day in the year 2255.
const (
	maxClockMillis     = 1e12
	maxTimeOfDayMillis = 9e12
)

// decodeBoot decodes a row of bootTable. Only another writer stores one that is not valid.
func decodeBoot(value []byte) (boottime.Reading, error) {
	var b bootRow
	if err := json.Unmarshal(value, &b); err != nil {
		return boottime.Reading{}, fmt.Errorf("decode boot: %w", err)
	}
	if min(b.ClockMillis, b.StoreMillis, b.TimeOfDayMillis) < 0 || max(b.ClockMillis, b.StoreMillis) > maxClockMillis || b.TimeOfDayMillis > maxTimeOfDayMillis {
		return boottime.Reading{}, errors.New("decode boot: clock out of range")
	}
	return boottime.Reading{
		Machine: b.Machine, BootID: b.BootID, PrivateClock: !b.SharedClock, Clock: time.Duration(b.ClockMillis) * time.Millisecond,
		Reference: time.Duration(b.StoreMillis) * time.Millisecond, TimeOfDay: time.Duration(b.TimeOfDayMillis) * time.Millisecond,
	}, nil
}

// BootRegistration registers the boot of its VM in which an agent process runs.
type BootRegistration struct {
	ledger  *Ledger
	agent   string
	machine boottime.Machine
	// value is what the last attempt wrote, whose outcome may be unknown, and first its result.
	value []byte
	first bool
	basis BootBasis
}

// BootBasis is why a process counts as the first in its boot, or as a later one, for the log.
type BootBasis struct {
	// Now and Earlier are the readings compared; Earlier is zero if no process has registered before.
	Now, Earlier boottime.Reading
	// Evidence is empty if there was no earlier registration, or none that can be read.
	Evidence boottime.Evidence
}

// Basis returns why the last call of Register decided as it did.
func (b *BootRegistration) Basis() BootBasis { return b.basis }

// NewBootRegistration returns a registration for the process of an agent on a machine, its VM.
func (l *Ledger) NewBootRegistration(agent string, machine boottime.Machine) *BootRegistration {
	return &BootRegistration{ledger: l, agent: agent, machine: machine}
}

// Register stores the boot. first reports whether it is certain that no earlier process of the agent
// has registered in this boot. After an error Register may be called again.
func (b *BootRegistration) Register(ctx context.Context) (first bool, err error) {
	k := store.Key{Table: bootTable, Part: b.agent[max(len(b.agent)-1, 0):], Key: b.agent}
	// A reading that is compared with an earlier one must not be late, one that later ones are
	// compared with must not be early.
	m := &b.machine
	now := boottime.Reading{
		Machine: m.Name, BootID: m.BootID, PrivateClock: m.PrivateClock, Clock: m.Clock().Truncate(time.Millisecond), TimeOfDay: m.TimeOfDay(),
	}
	page, err := b.ledger.store.Read(ctx, store.ReadRequest{Table: k.Table, Part: k.Part, From: k.Key, To: k.Key + "\x00"}, 1)
	if err != nil {
		return false, fmt.Errorf("read boot: %w", err)
	}
	var row store.Row
	if len(page.Rows) > 0 {
		row = page.Rows[0]
		if b.value != nil && bytes.Equal(row.Value, b.value) {
			return b.first, nil
		}
	}
	now.Reference = page.Time
	b.first, err = b.firstAfter(ctx, row, now)
	if err != nil {
		return false, err
	}
	b.value, err = json.Marshal(bootRow{
		Machine: m.Name, BootID: m.BootID, SharedClock: !m.PrivateClock, ClockMillis: m.Clock().Milliseconds(),
		StoreMillis: page.Time.Milliseconds(), TimeOfDayMillis: now.TimeOfDay.Milliseconds(),
	})
	if err != nil {
		return false, fmt.Errorf("encode boot: %w", err)
	}
	_, err = b.ledger.store.Apply(ctx, store.Tx{
		Expect: []store.Expect{{Key: k, Version: row.Version}}, Writes: []store.Write{{Key: k, Value: b.value}},
	})
	if conflict := (*store.ConflictError)(nil); errors.As(err, &conflict) {
		return false, fmt.Errorf("boot registered meanwhile: %w", err)
	}
	return b.first, err
}

// firstAfter reports whether it is certain that no earlier process of the agent has registered in the
// boot of a reading, given the row of the last registration.
func (b *BootRegistration) firstAfter(ctx context.Context, row store.Row, now boottime.Reading) (bool, error) {
	b.basis = BootBasis{Now: now}
	if row.Version == 0 {
		// Processes of earlier versions register their address only. A registration is removed
		// once nothing can be alive there.
		agent, err := b.ledger.readRow(ctx, mainKey(agentTable, b.agent))
		if err != nil {
			return false, fmt.Errorf("read agent: %w", err)
		}
		return agent == nil, nil
	}
	earlier, err := decodeBoot(row.Value)
	if err != nil {
		bootsUnreadable.Inc()
		return false, nil
	}
	b.basis.Earlier, b.basis.Evidence = earlier, now.EvidenceSince(earlier)
	return b.basis.Evidence.Booted(), nil
}
