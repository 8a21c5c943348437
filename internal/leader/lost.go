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

// storeClock relates the store's clock to that of this process: the store answered with its time between before
// and after. The two clocks gain on each other by at most leaseClockDrift.
type storeClock struct{ before, after, store time.Duration }

// latest returns the latest time of the store's clock at a later time of this process's clock.
func (c storeClock) latest(at time.Duration) time.Duration { return c.store + drifted(at-c.before) }

// passed returns by when a time of the store's clock has passed.
func (c storeClock) passed(at time.Duration) time.Duration {
	return c.after + drifted(max(at-c.store, 0))
}

// expiry returns by when the runs on an agent have ended, which is bound at the latest. A record is of no use
// if the store's clock has been reset since it was written.
func (c storeClock) expiry(lost ledger.Lost, bound time.Duration) time.Duration {
	if lost == (ledger.Lost{}) || c.store == 0 || lost.At > c.store {
		return bound
	}
	return min(c.passed(lost.Until), bound)
}

func (r *leadership) readStoreClock() (storeClock, error) {
	before := r.opts.Now()
	t, err := r.opts.Ledger.StoreTime(r.ctx)
	return storeClock{before, r.opts.Now(), t}, err
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
	r.mu.Lock()
	pending := len(r.lostConns(r.opts.Now())) > 0
	r.mu.Unlock()
	if !pending {
		return nil
	}
	clock, err := r.readStoreClock()
	if err != nil || clock.store == 0 {
		return err
	}
	for records := range slices.Chunk(r.lostRecords(clock), ledger.MaxLostAgents) {
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
func (r *leadership) lostRecords(clock storeClock) []ledger.LostAgent {
	r.mu.Lock()
	defer r.mu.Unlock()
	var records []ledger.LostAgent
	for _, c := range r.lostConns(r.opts.Now()) {
		until, _ := r.planner.LeaseExpiry(c.id)
		c.registered = false
		records = append(records, ledger.LostAgent{
			Name: c.id, Address: c.address, Version: c.version, Lost: ledger.Lost{Until: clock.latest(until), At: clock.store},
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
