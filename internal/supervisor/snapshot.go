package supervisor

import (
	"time"

	"bamboowood/internal/job"
)

// runsKnown reports whether s.runs has all runs that may be alive.
func (s *Supervisor) runsKnown() bool {
	now := s.opts.Now()
	return s.runsListed || now >= s.runsKnownAt || s.runner == nil && now >= s.noRunnerKnownAt
}

// BootClaim is what is known of earlier processes of the agent in the current boot of its VM.
type BootClaim uint8

const (
	// LaterInBoot: an earlier process may have given leases and started runs.
	LaterInBoot BootClaim = iota
	// FirstByClock: this process is the first one, if clocks are right. The kernel doesn't say so.
	FirstByClock
	// FirstInBoot: this process is certainly the first one.
	FirstInBoot
)

// silentRunnerWait is the time within which a live runner reports. PROTOCOL has an interval of 1.5 s.
const silentRunnerWait = 4 * time.Second

// BootRegistered records that the ledger has the boot of the VM in which this process runs. No earlier
// process of the agent can have given a lease or started a run in this boot if this one is the first: each
// starts runs only once its boot is registered, and the runs of earlier boots ended with the VM. If only
// clocks show that, a runner that lives on must have had the time to report.
func (s *Supervisor) BootRegistered(claim BootClaim) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.bootRegistered = true
	switch claim {
	case FirstInBoot:
		s.earlierLeaseUntil, s.noRunnerKnownAt = 0, 0
	case FirstByClock:
		s.earlierLeaseUntil, s.noRunnerKnownAt = 0, s.opts.Now()+silentRunnerWait
	}
	s.signal(s.notify)
}

// Snapshot returns the full state: the runner, all runs that may be alive and all ends
// that are not stored. It discards pending updates. ok is false until the runner has
// listed its runs, all earlier leases have expired or there is no runner in a boot of which this is the first
// process, and shortly while the boot of the VM is being registered.
func (s *Supervisor) Snapshot() (u Update, ok bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if !s.runsKnown() || !s.bootRegistered && s.opts.Now() < s.bootAwaitedUntil {
		return Update{}, false
	}
	s.update = Update{}
	u = s.fullState()
	u.UnlistedFor = s.unlistedFor()
	s.snapshotPages(&u)
	return u, true
}

// maxClockStep is by how much the time of day may have been stepped since the runner's start: it may be
// off by 5 s either way.
const maxClockStep = 10 * time.Second

// unlistedFor returns for how long runs may be alive that neither this process nor the current runner
// knows. There are none if no earlier process gave a lease since the VM booted, or if the current runner
// has served its address since before the last lease that one may have given to another runner.
func (s *Supervisor) unlistedFor() time.Duration {
	if r := s.runner; r != nil && r.StartTime != 0 && s.runnerClockAt != 0 {
		// The runner's clock begins with it, and may be slow; the time of day may have been stepped.
		byClock := s.runnerClock + s.opts.Now() - s.runnerClockAt
		if min(byClock, time.Since(time.UnixMilli(r.StartTime))) > s.opts.MaxLease+killTime+maxClockStep {
			return 0
		}
	}
	return max(s.earlierLeaseUntil+killTime-s.opts.Now(), 0)
}

// fullState returns the full state as an update.
func (s *Supervisor) fullState() Update {
	u := Update{RunnerChanged: true, Runner: s.reachableRunner(), Ends: append([]job.End(nil), s.ends...)}
	for _, r := range s.runs {
		u.Active = append(u.Active, r.reported())
	}
	return u
}
