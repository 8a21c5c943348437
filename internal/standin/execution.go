package standin

import (
	"time"

	"bamboowood/internal/platform"
	"bamboowood/internal/structs"
)

// execution is one simulated task of the worker.
type execution struct {
	start      platform.TaskStart
	behaviour  Behaviour
	phase      platform.TaskPhase
	detail     string
	startedAt  time.Time
	updatedAt  time.Time // progress includes the work up to this time
	leaseEnd   time.Time
	progress   time.Duration
	share      float64
	checkpoint string
	runIndex   int // index in Worker.runs
}

// progressObject is the content of a checkpoint.
type progressObject struct {
	Progress time.Duration `json:"progress"`
}

// advanceAll updates all executions to their state at now; w.mu is held.
func (w *Worker) advanceAll(now time.Time) {
	for _, e := range w.tasks {
		w.advance(e, now)
	}
}

// advance adds the progress up to now. It ends the execution at the time at which its
// work is done, it fails or its lease expires, whichever is first; w.mu is held.
func (w *Worker) advance(e *execution, now time.Time) {
	if e.phase != platform.PhaseRunning {
		return
	}
	until := now
	if e.leaseEnd.Before(until) {
		until = e.leaseEnd
	}
	target, phase, detail := e.nextEnd()
	gained := time.Duration(float64(until.Sub(e.updatedAt)) * e.share)
	if target > 0 && e.progress+gained >= target {
		remaining := max(0, target-e.progress)
		e.progress = target
		w.end(e, phase, detail, e.updatedAt.Add(time.Duration(float64(remaining)/e.share)))
		return
	}
	e.progress += gained
	e.updatedAt = until
	if !now.Before(e.leaseEnd) {
		w.end(e, platform.PhaseStopped, "lease lapsed", e.leaseEnd)
	}
}

// nextEnd returns the progress at which the execution succeeds or fails (0: never), with
// the phase and detail of that end.
func (e *execution) nextEnd() (time.Duration, platform.TaskPhase, string) {
	b := e.behaviour
	if b.FailAfter > 0 && (b.Duration == 0 || b.FailAfter < b.Duration) {
		return b.FailAfter, platform.PhaseFailed, "failed while running"
	}
	return b.Duration, platform.PhaseSucceeded, ""
}

func (w *Worker) end(e *execution, phase platform.TaskPhase, detail string, at time.Time) {
	if e.phase != platform.PhaseRunning {
		return
	}
	e.phase, e.detail, e.updatedAt = phase, detail, at
	run := &w.runs[e.runIndex]
	run.To, run.Phase, run.Done = at, phase, e.progress
}

func (e *execution) usage() structs.Resources {
	u := e.behaviour.Usage
	if u.IsZero() {
		u = e.start.Spec.Declared
	}
	u.MilliCPU = int64(float64(u.MilliCPU) * e.share)
	return u
}

func (w *Worker) status(e *execution, now time.Time) platform.TaskStatus {
	s := platform.TaskStatus{
		ID: e.start.ID, Fence: e.start.Fence, Phase: e.phase, UsageLag: w.options.UsageLag,
		Checkpoint: e.checkpoint, Detail: e.detail,
	}
	at := now.Add(-w.options.UsageLag)
	if !at.Before(e.startedAt) && (e.phase == platform.PhaseRunning || at.Before(e.updatedAt)) {
		s.Usage = e.usage()
	}
	return s
}
