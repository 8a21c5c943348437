package ledger

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"math"
	"strconv"
	"strings"
	"time"

	"bamboowood/internal/store"
)

// Lost is the record, in an agent's registration, that the leader has no contact to the agent and that nothing
// is started on it or granted to it while the record is there. The zero value is no record. Both times are
// on the clock of the process that wrote the record.
type Lost struct {
	// Until is when the runs on the agent have ended, At a time at which the record had not been written.
	Until, At time.Duration
	// Process is the leader that wrote the record, as in Term; empty if unknown.
	Process string
	// Since is the version of the store from which on nothing has been started on the agent.
	Since int64
}

// maxLost bounds Until-At in valid records; it is longer than any lease and the grants before it.
const maxLost = time.Minute

// Labels of the values in a row, which follow the address. Earlier versions of the program take a row with a
// record for one without an address: they neither reach the agent nor remove the registration before they
// have waited for its lease, and the agent replaces the row when it registers again.
const (
	lostUntilLabel, lostAtLabel      = "lost-until-ms=", "at-ms="
	lostProcessLabel, lostSinceLabel = "leader=", "since-ver="
)

func (l Lost) valid() bool {
	return l.At > 0 && l.Until >= l.At && l.Until-l.At <= maxLost && l.At <= maxClockMillis*time.Millisecond
}

// encodeLost returns the value of a registration with a record.
func encodeLost(address string, lost Lost) []byte {
	until := (lost.Until + time.Millisecond - 1).Milliseconds()
	return fmt.Appendf(nil, "%s %s%d %s%d %s%s %s%d", address, lostUntilLabel, until, lostAtLabel, lost.At.Milliseconds(),
		lostProcessLabel, lost.Process, lostSinceLabel, lost.Since)
}

// decodeRegistration returns the address and the record in a row's value. The address is empty, and there is no
// record, if the value is not one that this program writes. Earlier versions write records without a process,
// whose times are on the store's clock.
func decodeRegistration(value []byte) (string, Lost) {
	if !bytes.ContainsRune(value, ' ') {
		return usableAddress(value), Lost{}
	}
	fields := strings.Split(string(value), " ")
	if len(fields) != 3 && len(fields) != 5 {
		return "", Lost{}
	}
	until, errUntil := labelledMillis(fields[1], lostUntilLabel)
	at, errAt := labelledMillis(fields[2], lostAtLabel)
	lost := Lost{Until: until, At: at}
	address := usableAddress([]byte(fields[0]))
	if len(fields) == 5 {
		var labelled bool
		var errSince error
		lost.Process, labelled = strings.CutPrefix(fields[3], lostProcessLabel)
		lost.Since, errSince = labelledNumber(fields[4], lostSinceLabel, math.MaxInt64)
		if !labelled || errSince != nil {
			return "", Lost{}
		}
	}
	if errUntil != nil || errAt != nil || address == "" || !lost.valid() {
		return "", Lost{}
	}
	return address, lost
}

var errNotLabelled = errors.New("value without its label")

func labelledMillis(field, label string) (time.Duration, error) {
	ms, err := labelledNumber(field, label, maxClockMillis)
	return time.Duration(ms) * time.Millisecond, err
}

func labelledNumber(field, label string, highest int64) (int64, error) {
	digits, ok := strings.CutPrefix(field, label)
	if !ok {
		return 0, errNotLabelled
	}
	n, err := strconv.ParseInt(digits, 10, 64)
	if err != nil || n < 0 || n > highest {
		return 0, errNotLabelled
	}
	return n, nil
}

// StoreTime reads the store's clock; 0 if the store does not tell it.
func (l *Ledger) StoreTime(ctx context.Context) (time.Duration, error) {
	page, err := l.store.Read(ctx, store.ReadRequest{Table: termTable, Part: mainPart, From: leaderKey, To: leaderKey + "\x00"}, 1)
	if err != nil {
		return 0, fmt.Errorf("read store clock: %w", err)
	}
	return page.Time, nil
}

// LostAgent is an agent whose registration, given by its version, is to get a record.
type LostAgent struct {
	Name, Address string
	Version       int64
	Lost          Lost
}

// MaxLostAgents is the maximum number of agents in a call of RecordLost.
const MaxLostAgents = (store.MaxTxEntries - 1) / 2

// RecordLost writes the records of lost agents, as this process's, and returns the versions of the registrations that have one
// now. A registration that has changed is left as it is, also if the store executes the call late. After an
// error each of the records may be written.
func (h *HeldTerm) RecordLost(ctx context.Context, agents []LostAgent) (map[string]int64, error) {
	version, err := h.recordLost(ctx, agents)
	versions := map[string]int64{}
	switch {
	case errors.Is(err, errRegistrationChanged) && len(agents) > 1:
		for _, a := range agents {
			one, err := h.RecordLost(ctx, []LostAgent{a})
			if err != nil {
				return versions, err
			}
			if v := one[a.Name]; v != 0 {
				versions[a.Name] = v
			}
		}
		return versions, nil
	case errors.Is(err, errRegistrationChanged):
		return versions, nil
	case err != nil:
		return versions, err
	}
	for _, a := range agents {
		versions[a.Name] = version
	}
	return versions, nil
}

var errRegistrationChanged = errors.New("registration has changed")

func (h *HeldTerm) recordLost(ctx context.Context, agents []LostAgent) (int64, error) {
	tx := store.Tx{Expect: []store.Expect{h.expectTerm()}}
	for _, a := range agents {
		k := mainKey(agentTable, a.Name)
		a.Lost.Process = h.Term.Process
		tx.Expect = append(tx.Expect, store.Expect{Key: k, Version: a.Version})
		tx.Writes = append(tx.Writes, store.Write{Key: k, Value: encodeLost(a.Address, a.Lost)})
	}
	version, err := h.ledger.store.Apply(ctx, tx)
	if conflict := (*store.ConflictError)(nil); errors.As(err, &conflict) && h.termUnchanged(conflict) {
		return 0, errRegistrationChanged
	}
	return version, conflictAsDeposed(err)
}
