package supervisor

import (
	"context"
	"errors"
	"fmt"
	"time"

	"github.com/apex/log"

	"bamboowood/internal/job"
	"bamboowood/internal/runner"
)

type incarnation struct {
	id        string
	startTime int64
}

func incarnationOf(r *job.Runner) incarnation { return incarnation{r.ID, r.StartTime} }

// Limits of the confirmation of a report. Its sender waits one second for the answer.
const (
	confirmTimeout     = 800 * time.Millisecond
	confirmCallTimeout = 300 * time.Millisecond
	confirmRetryPause  = 50 * time.Millisecond
)

// errReplaced is the error of a confirmation during which another incarnation was adopted.
var errReplaced = errors.New("another incarnation was adopted meanwhile")

// RunnerReported applies a status report. sender is the address from which it came, for the log.
//
// A report of an incarnation other than the current one proves nothing by itself: a runner sends its
// reports to other agents while its own does not acknowledge them, and a delayed report may outlive
// its sender. Such an incarnation is adopted once it has answered at the address of this agent's
// runner. The error wraps runner.ErrOtherIncarnation if another one answers there.
func (s *Supervisor) RunnerReported(ctx context.Context, r job.Runner, sender string) error {
	ctx, cancel := context.WithTimeout(ctx, confirmTimeout)
	defer cancel()
	for {
		if found, err := s.applyReportOfCurrent(&r, sender); found {
			return err
		}
		err := s.confirmAndAdopt(ctx, &r, sender)
		if err == nil || errors.Is(err, runner.ErrOtherIncarnation) {
			return err
		}
		select {
		case <-ctx.Done():
			countReport(reportUnconfirmed)
			return fmt.Errorf("runner %s not confirmed: %w", r.ID, err)
		case <-time.After(confirmRetryPause):
		}
	}
}

// applyReportOfCurrent applies a report of the current incarnation, unless it contradicts the one that
// was applied last. It returns false if the report is of another incarnation.
func (s *Supervisor) applyReportOfCurrent(r *job.Runner, sender string) (found bool, err error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	cur := s.runner
	if cur == nil || !cur.SameIncarnation(r) {
		return false, nil
	}
	outdated, moved := r.Sequence <= cur.Sequence, r.Service != cur.Service || r.Zone != cur.Zone
	if outdated || moved {
		if !s.contradiction.outvotes(s.opts.Now(), r) {
			if outdated {
				countReport(reportOutdated)
				return true, nil
			}
			s.reportIgnored(r, sender, errMoved.Error())
			return true, errMoved
		}
		s.opts.Logger.WithFields(log.Fields{
			"runner": r.ID, "sequence": r.Sequence, "service": r.Service, "zone": r.Zone,
			"ignored_sequence": cur.Sequence, "ignored_service": cur.Service, "ignored_zone": cur.Zone,
		}).Warn("runner's reports contradict an earlier one, which is ignored now")
	}
	s.contradiction = contradiction{}
	countReport(reportCurrent)
	if s.unreachable {
		s.signal(s.renewNow)
	}
	changed := cur.Draining != r.Draining || r.Draining || cur.Capacity != r.Capacity || moved
	s.runner = r
	if !r.Draining {
		// The departure was that of an earlier incarnation.
		s.left = false
	}
	if changed {
		s.runnerChanged()
	}
	return true, nil
}

// confirmAndAdopt asks the runner's address for the incarnation that r names and adopts it if that
// one answers. The call neither extends a lease nor acknowledges ends.
func (s *Supervisor) confirmAndAdopt(ctx context.Context, r *job.Runner, sender string) error {
	s.mu.Lock()
	fence, adoptions := runner.Fence{RunnerID: r.ID, Token: s.token}, s.adoptions
	s.mu.Unlock()
	callCtx, cancel := context.WithTimeout(ctx, confirmCallTimeout)
	defer cancel()
	answer, err := s.opts.Runner.RenewLease(callCtx, fence, runner.RenewRequest{})
	s.mu.Lock()
	defer s.mu.Unlock()
	var refused interface{ Reason() runner.Refusal }
	switch {
	case s.adoptions != adoptions:
		return errReplaced
	case errors.Is(err, runner.ErrOtherIncarnation):
		s.reportIgnored(r, sender, "another incarnation answers at the runner's address")
		return err
	case errors.As(err, &refused) && refused.Reason() == runner.RefusedFence && s.token == fence.Token:
		s.raiseToken()
		return err
	case err != nil:
		return err
	}
	if why := s.outdated(r, answer.StartTime); why != "" {
		s.reportIgnored(r, sender, why)
		return fmt.Errorf("%w: %s", runner.ErrOtherIncarnation, why)
	}
	countReport(reportAdopted)
	s.setIncarnation(r, sender)
	return nil
}

// outdated returns why r is not the incarnation with startTime that has answered for its id, or an
// empty string if it is. Incarnations are ordered only where the answer has no start time.
func (s *Supervisor) outdated(r *job.Runner, startTime int64) string {
	switch {
	case startTime != 0:
		if startTime != r.StartTime {
			return "another incarnation answers for its id"
		}
	case s.endedIncarnations[incarnationOf(r)]:
		return "incarnation has ended"
	case s.runner != nil && r.StartTime != 0 && r.StartTime < s.runner.StartTime:
		return "incarnation is older than the current one"
	}
	return ""
}

// reportIgnored logs an ignored report, once for consecutive ones of the same incarnation.
func (s *Supervisor) reportIgnored(r *job.Runner, sender, why string) {
	countReport(reportOther)
	if s.ignoredReport == incarnationOf(r) {
		return
	}
	s.ignoredReport = incarnationOf(r)
	fields := log.Fields{"reported": r.ID, "born": r.StartTime, "address": r.Address, "sender": sender, "why": why}
	if s.runner != nil {
		fields["runner"], fields["runner_born"] = s.runner.ID, s.runner.StartTime
	}
	s.opts.Logger.WithFields(fields).Warn("runner report ignored")
}

// RunnerLeft applies the departure of an incarnation of the runner. A startTime of 0 means that the departure does not
// name it. It may then be a delayed one of an earlier incarnation under the same id, and counts as that of the current one
// only if that has reported that it drains. Otherwise nothing is started before the runner has answered.
func (s *Supervisor) RunnerLeft(id string, startTime int64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.runner == nil || s.runner.ID != id || startTime != 0 && startTime != s.runner.StartTime {
		return
	}
	if startTime == 0 && !s.runner.Draining {
		s.opts.Logger.WithFields(log.Fields{
			"runner": id, "born": s.runner.StartTime, "runs": len(s.runs), "lease_left_ms": s.leaseLeft().Milliseconds(),
		}).Warn("departure without a start time of a runner that does not drain")
		s.setUnreachable(true)
		s.signal(s.renewNow)
		return
	}
	s.left = true
	left := *s.runner
	left.Draining, left.Remaining = true, 0
	s.runner = &left
	s.runnerChanged()
}

// setIncarnation makes a new incarnation, or another runner, the current one.
func (s *Supervisor) setIncarnation(r *job.Runner, sender string) {
	restarted := s.runner != nil && s.runner.ID == r.ID
	if s.runner != nil {
		s.endedIncarnations[incarnationOf(s.runner)] = true
		s.token++
		s.opts.Logger.WithFields(log.Fields{
			"runner": s.runner.ID, "runner_born": s.runner.StartTime, "runner_address": s.runner.Address,
			"new_runner": r.ID, "born": r.StartTime, "address": r.Address, "sender": sender,
			"runs": len(s.runs), "lease_left_ms": s.leaseLeft().Milliseconds(),
		}).Warn("runner restarted or replaced")
	} else {
		s.opts.Logger.WithFields(log.Fields{"runner": r.ID, "born": r.StartTime, "address": r.Address, "sender": sender}).Info("runner discovered")
	}
	if s.cancelRenewal != nil {
		s.cancelRenewal()
	}
	if !restarted {
		s.giveUpRuns()
		s.forgetRestart()
		s.runsListed = false
		s.runnerLeaseUntil = s.leaseBeforeAdoption(r)
	}
	s.adoptions++
	s.contradiction = contradiction{}
	s.runner, s.left, s.unreachable = r, false, false
	s.ends, s.receivedEnd, s.storedEnd, s.pages.complete = nil, 0, 0, false
	s.acknowledgedEnd, s.answeredAt = 0, 0
	s.runnerClock, s.runnerClockAt, s.failures = 0, 0, 0
	s.ungrantedLeaseUntil = 0
	if restarted {
		s.reconcileAfterRestart()
	}
	s.reportFullState()
	s.signal(s.renewNow)
}

// giveUpRuns gives up the runs of the current incarnation when a runner with another id answers at
// its address. The earlier process may live on unless it had announced its end, so that only runs
// that were never sent to it are dropped at once. The others are left to the end of its lease.
func (s *Supervisor) giveUpRuns() {
	if s.left {
		s.dropAllRuns(causeReplaced)
		return
	}
	for run, r := range s.runs {
		if r.phase == starting && !r.sent {
			s.dropRun(run, runner.RefusedLate, causeReplaced)
		} else {
			s.detach(r)
		}
	}
}

// forgetRestart removes the record of a restart of a runner that has listed its runs, has been replaced or has left. Its
// runs are on record, dropped or detached, those of earlier processes of this agent may be alive on the next one.
func (s *Supervisor) forgetRestart() {
	if s.restarted {
		s.restarted = false
		s.runsKnownAt = min(s.runsKnownAt, s.earlierLeaseUntil)
	}
}

// leaseBeforeAdoption returns until when the leases last that a runner, which is adopted in place of another one, may
// have been given. If it is one that had been replaced itself, these are the leases of its detached runs as well.
func (s *Supervisor) leaseBeforeAdoption(r *job.Runner) time.Duration {
	until := s.earlierLeaseUntil
	if s.endedIncarnations[incarnationOf(r)] {
		for _, run := range s.runs {
			until = max(until, run.detachedUntil)
		}
	}
	return until
}

// restartSeen records that the runner has answered with another start time than that of the current incarnation. Calls
// for the current one may have given that one a lease, which it shortened to MaxLease; later calls give it none.
func (s *Supervisor) restartSeen(startTime int64) {
	if s.nextStartTime != startTime {
		s.nextStartTime = startTime
		s.runnerLeaseUntil = max(s.runnerLeaseUntil, s.leaseOfEarlierCalls())
	}
}

// reconcileAfterRestart keeps the runs of the previous incarnation when the runner restarts
// under the same id. A start that was sent before the restart was detected may have reached
// the new incarnation. Its first list shows which runs are alive; the leader receives the
// restart together with that list.
func (s *Supervisor) reconcileAfterRestart() {
	now := s.opts.Now()
	s.restarted, s.runsListed = true, false
	// The lease end of a start for the previous incarnation, which may reach the new one, is a time on the previous
	// one's clock. The runner shortens the lease to its own limit.
	s.runsKnownAt = now + s.opts.MaxLease + s.opts.RunnerMaxLease
	s.runnerLeaseUntil = s.runsKnownAt
	for _, r := range s.runs {
		if r.detachedUntil != 0 {
			continue
		}
		r.speed.inForce = job.Speed{}
		r.reconciling, r.reconcilingSince, r.notListedReason = r.phase != starting, now, runner.RefusedIncarnationEnded
	}
}
