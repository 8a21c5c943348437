package supervisor

import (
	"context"
	"time"

	"github.com/apex/log"

	"bamboowood/internal/job"
)

const (
	// withdrawnFor is how long a run that was stopped before its start arrived, or was reported as not
	// started, is refused. A start expires within 2 s of its order, and sessions end after 1.2 s of silence.
	withdrawnFor = 10 * time.Second
	// maxWithdrawn bounds the withdrawn runs on record, at some 200 bytes each.
	maxWithdrawn = 16384
)

// withdrawnRuns holds runs that are not alive and must not be started, although an order to start them may
// still arrive. If there are too many of them, all starts are refused until the oldest ones may be forgotten.
type withdrawnRuns struct {
	until map[job.Run]time.Duration
	// order has the runs in the order in which they expire.
	order []job.Run
	// fullUntil is until when a run may be missing because the record was full.
	fullUntil time.Duration
}

func newWithdrawnRuns() withdrawnRuns { return withdrawnRuns{until: map[job.Run]time.Duration{}} }

func (w *withdrawnRuns) add(now time.Duration, run job.Run) {
	w.expire(now)
	if _, known := w.until[run]; known {
		return
	}
	if len(w.until) >= maxWithdrawn {
		w.fullUntil = now + withdrawnFor
		return
	}
	w.until[run] = now + withdrawnFor
	w.order = append(w.order, run)
}

func (w *withdrawnRuns) expire(now time.Duration) {
	expired := 0
	for expired < len(w.order) && now >= w.until[w.order[expired]] {
		delete(w.until, w.order[expired])
		expired++
	}
	w.order = w.order[expired:]
}

// has reports whether a run is on record.
func (w *withdrawnRuns) has(now time.Duration, run job.Run) bool {
	w.expire(now)
	_, known := w.until[run]
	return known
}

// refuses reports whether a run must not be started.
func (w *withdrawnRuns) refuses(now time.Duration, run job.Run) bool {
	return w.has(now, run) || now < w.fullUntil
}

// stopIfWithdrawn stops a run that the runner lists although it was withdrawn: a call of an earlier process to
// start it took effect late. The leader does not repeat its stop for a run that it counts as being stopped.
func (s *Supervisor) stopIfWithdrawn(ctx context.Context, run job.Run) {
	r := s.runs[run]
	if r.phase == stopping || !s.withdrawn.has(s.opts.Now(), run) {
		return
	}
	r.phase = stopping
	s.opts.Logger.WithFields(log.Fields{"task": run.Task.String(), "run": run.Number}).Warn("stopping run that was withdrawn")
	s.call(func() { s.stopUntilConfirmed(ctx, run, r) })
}
