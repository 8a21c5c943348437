package supervisor

import (
	"time"

	"bamboowood/internal/runner"
)

// A runner lists its ends in pages: it lists further ones only once the listed ones are acknowledged, and an
// end is acknowledged only once the ledger has stored it. A new process therefore needs the leader to see
// all ends. Its first snapshot is partial: runs that it does not list may be among the ends to come. The
// next snapshot, in a session of its own, follows the last page.
const (
	// partialSnapshotInterval is how long a partial snapshot is valid before another one replaces it.
	partialSnapshotInterval = 2 * time.Second
	// partialSnapshotMargin, added to partialSnapshotInterval and the longest lease, is the time for which
	// the leader must not count unlisted runs as absent. If the agent is lost just before its next snapshot,
	// the time lasts until the lease has expired: later ends do not count.
	partialSnapshotMargin = time.Second
)

// endPages tracks whether the runner has listed all of its ends to this process.
type endPages struct {
	// complete is set once an answer of the current incarnation had all ends.
	complete bool
	// partialAt is when the last snapshot was taken, if that was partial; 0 otherwise.
	partialAt time.Duration
}

// applyEndPage records whether a report has the last page of ends. It follows applyEnds.
func (s *Supervisor) applyEndPage(report runner.Report) {
	// Ends that cannot be read are never acknowledged: a page of nothing else remains the last one.
	stuck := report.Unreadable > 0 && len(s.ends) == 0 && s.storedEnd <= s.acknowledgedEnd
	if s.pages.complete || report.MoreEnds && !stuck {
		return
	}
	s.pages.complete = true
	if s.pages.partialAt != 0 {
		s.signal(s.notify)
	}
}

// endsIncomplete reports whether the runner has answered, but may have ends that it has not listed. Ends do not count
// any more once its lease has expired.
func (s *Supervisor) endsIncomplete() bool {
	return s.runsListed && !s.pages.complete && s.opts.Now() <= s.runnerLeaseUntil+killTime
}

// snapshotPages adds to a snapshot how far the runner has listed its ends.
func (s *Supervisor) snapshotPages(u *Update) {
	s.pages.partialAt = 0
	if !s.endsIncomplete() {
		return
	}
	s.pages.partialAt = s.opts.Now()
	u.MoreEnds = u.UnlistedFor == 0
	u.UnlistedFor = max(u.UnlistedFor, s.opts.MaxLease+partialSnapshotInterval+partialSnapshotMargin)
	partialSnapshots.Inc()
	s.opts.Logger.WithField("ends", len(s.ends)).Warn("snapshot without all ends of the runner; runs that it does not list may have ended")
}

// SnapshotOutdated reports whether the last snapshot was partial and another one is due, in a new session:
// a snapshot does not have the runs whose starts are on their way.
func (s *Supervisor) SnapshotOutdated() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	at := s.pages.partialAt
	return at != 0 && (!s.endsIncomplete() || s.opts.Now()-at >= partialSnapshotInterval)
}
