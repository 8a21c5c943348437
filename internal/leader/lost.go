package leader

import (
	"errors"
	"fmt"
	"slices"
	"strings"
	"time"

	"github.com/VictoriaMetrics/metrics"

	"bamboowood/internal/ledger"
)

const (
	// recordLostAfter is how long there must have been no session with an agent before it is recorded as lost: a
	// session that ends by itself is followed by another one within agentRetryDelay and a dial.
	recordLostAfter = time.Second
	// recordLostInterval is how often lost agents are looked for.
	recordLostInterval = 250 * time.Millisecond
	// minLostLeft is the least time for which runs may be alive on a lost agent that is recorded.
	minLostLeft = 500 * time.Millisecond
)

// leaderClock relates the clock of the process that led the previous term to that of this process: it showed reading
// at seenAt, or earlier. The zero value is an unknown clock. The two clocks gain on each other by at most
// leaseClockDrift.
type leaderClock struct {
	process         string
	reading, seenAt time.Duration
}

// clockOf returns the clock of a process that had sent a renewal at a time.
func clockOf(renewal ledger.Renewal, at time.Duration) leaderClock {
	if renewal.SentAt == 0 {
		return leaderClock{}
	}
	return leaderClock{process: renewal.Process, reading: renewal.SentAt, seenAt: at}
}

// passed returns by when a time of the leader's clock has passed.
func (c leaderClock) passed(at time.Duration) time.Duration {
	return c.seenAt + drifted(max(at-c.reading, 0))
}

// expiry returns by when the runs on an agent have ended, which is bound at the latest. A record, if there is one,
// was there at readAt.
func (c leaderClock) expiry(lost ledger.Lost, readAt, bound time.Duration) time.Duration {
	if lost == (ledger.Lost{}) {
		return bound
	}
	bound = min(bound, readAt+drifted(lost.Until-lost.At))
	if c.process == "" || lost.Process != c.process {
		return bound
	}
	return min(bound, c.passed(lost.Until))
}

// recordLostLoop records lost agents, so that a later leader waits for them no longer than this one.
func (r *leadership) recordLostLoop() error {
	ticker := time.NewTicker(recordLostInterval)
	defer ticker.Stop()
	for {
		select {
		case <-r.ctx.Done():
			return r.ctx.Err()
		case <-ticker.C:
		}
		if err := r.recordLost(); errors.Is(err, ledger.ErrDeposed) {
			return err
		} else if err != nil && r.ctx.Err() == nil {
			countLostRecords("failed", 1)
			r.opts.Logger.WithError(err).Warn("lost agents not recorded")
			pause(r.ctx, retryPause)
		}
	}
}

func (r *leadership) recordLost() error {
	for records := range slices.Chunk(r.lostRecords(), ledger.MaxLostAgents) {
		versions, err := r.term.RecordLost(r.ctx, records)
		r.lostRecorded(versions)
		countLostRecords("changed", len(records)-len(versions))
		if err != nil {
			return err
		}
	}
	return nil
}

// lostConns returns the connections of the agents that are to be recorded as lost. It is called with the lock held.
func (r *leadership) lostConns(now time.Duration) []*agentConn {
	var lost []*agentConn
	for id, c := range r.conns {
		until, ok := r.planner.LeaseExpiry(id)
		if ok && !c.inSession && now-c.lostSince >= recordLostAfter && until-now >= minLostLeft &&
			c.address != "" && c.recordedVersion != c.version {
			lost = append(lost, c)
		}
	}
	return lost
}

// lostRecords returns the records of lost agents. From now on they count as not registered, whether or not the
// store writes the record: they get no lease and nothing is started on them until they are registered again.
func (r *leadership) lostRecords() []ledger.LostAgent {
	r.mu.Lock()
	defer r.mu.Unlock()
	now := r.opts.Now()
	var records []ledger.LostAgent
	for _, c := range r.lostConns(now) {
		until, _ := r.planner.LeaseExpiry(c.id)
		c.registered = false
		records = append(records, ledger.LostAgent{
			Name: c.id, Address: c.address, Version: c.version, Lost: ledger.Lost{Until: until, At: now, Since: c.lostVersion},
		})
	}
	return records
}

func (r *leadership) lostRecorded(versions map[string]int64) {
	if len(versions) == 0 {
		return
	}
	countLostRecords("written", len(versions))
	r.mu.Lock()
	defer r.mu.Unlock()
	var ids []string
	for id, version := range versions {
		ids = append(ids, id)
		if c := r.conns[id]; version > c.version {
			c.version, c.recordedVersion = version, version
		}
	}
	slices.Sort(ids)
	r.opts.Logger.WithField("agents", strings.Join(ids, ",")).Info("lost agents recorded")
}

func countLostRecords(result string, n int) {
	metrics.GetOrCreateCounter(fmt.Sprintf("bamboowood_lost_agents_recorded_total{result=%q}", result)).Add(n)
}
