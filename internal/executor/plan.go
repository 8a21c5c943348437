package executor

import (
	"fmt"

	"bamboowood/internal/platform"
	"bamboowood/internal/structs"
	"bamboowood/internal/task"
)

// action is how sync handles one task.
type action int

const (
	actKeep              action = iota
	actStart                    // commit the start, then start the task on the worker
	actSucceed                  // commit the success
	actFail                     // commit the failure
	actRequeue                  // requeue the task
	actEvicted                  // commit the completed eviction
	actDrop                     // remove a reservation without a task
	actCheckpointAndStop        // checkpoint and stop the task on the worker
	actStop                     // stop the task on the worker
)

// observation is the state of one task in the VM's row, as known to this process.
type observation struct {
	self structs.Owner
	id   string
	row  task.Row
	// status is the worker's report, nil when there is none.
	status *platform.TaskStatus
	// stopReason is the reason of a confirmed stop under the row's fence, or "".
	stopReason requeueReason
	// startFailure is why the worker rejected the start, or "".
	startFailure string
	// checkpoint is the key of the newest checkpoint stored by this process, or "".
	checkpoint string
	// draining and zoneDrained rule out starts permanently; canStart reports
	// whether the lease allows a start now.
	draining, zoneDrained, canStart bool
}

// decision is an action with the reason for a requeue, stop or failure.
type decision struct {
	action action
	reason string
}

func requeue(reason requeueReason) decision { return decision{actRequeue, string(reason)} }

// phase returns the phase that the worker reports for the row's fence, or "" when
// it reports none.
func (o observation) phase() platform.TaskPhase {
	if o.status == nil || o.status.Fence != o.row.Value.Fence {
		return ""
	}
	return o.status.Phase
}

// previousRunSucceeded reports whether the worker's previous run of a placed batch
// task, under the preceding fence, succeeded without its completion having been
// committed.
func (o observation) previousRunSucceeded() bool {
	t := o.row.Value
	return t.State == structs.StatePlaced && t.Spec.Kind != structs.KindWatch &&
		o.status != nil && o.status.Phase == platform.PhaseSucceeded && o.status.Fence == t.Fence-1
}

// staleReservation reports whether no task of this VM backs the reservation.
func (o observation) staleReservation() bool {
	t := o.row.Value
	return !o.row.Exists() || !t.State.HoldsResources() || t.Owner.VM != o.self.VM ||
		t.Owner.Incarnation > o.self.Incarnation
}

// newestCheckpoint returns the key of the checkpoint to resume from, or "" to use
// the one in the row.
func (o observation) newestCheckpoint() string {
	if o.phase() != "" && o.status.Checkpoint != "" {
		return o.status.Checkpoint
	}
	return o.checkpoint
}

// decide returns how to handle a task. A transition that ends a run (success,
// failure, requeue, eviction) is chosen only with proof that the task does not run: the
// worker's record of its end or a confirmed stop.
func decide(o observation) decision {
	t := o.row.Value
	switch {
	case o.staleReservation():
		return decision{action: actDrop}
	case t.State == structs.StatePlaced && t.Owner == o.self:
		return decidePlaced(o)
	case o.phase() == platform.PhaseRunning && o.stopReason == "":
		return decideRunning(o)
	case t.Owner.Incarnation < o.self.Incarnation:
		o.stopReason = requeueOlderIncarnation // stopped by the registration
	}
	return decideStopped(o)
}

func decidePlaced(o observation) decision {
	switch {
	case o.previousRunSucceeded():
		return decision{action: actSucceed}
	case o.draining:
		return requeue(requeueDraining)
	case o.zoneDrained:
		return requeue(requeueZoneDrained)
	case o.canStart:
		return decision{action: actStart}
	}
	return decision{action: actKeep}
}

func decideRunning(o observation) decision {
	switch {
	case o.row.Value.Owner != o.self:
		return decision{actCheckpointAndStop, string(requeueOlderIncarnation)}
	case o.row.Value.State == structs.StateEvicting:
		return decision{action: actCheckpointAndStop, reason: o.row.Value.Reason}
	case o.row.Value.State == structs.StateStopping:
		return decision{action: actStop, reason: o.row.Value.Reason}
	}
	return decision{action: actKeep}
}

// decideStopped handles a task that the worker does not report as running.
func decideStopped(o observation) decision {
	state := o.row.Value.State
	switch phase := o.phase(); {
	case phase == platform.PhaseSucceeded && state != structs.StatePlaced:
		return decision{action: actSucceed}
	case phase == platform.PhaseFailed && state != structs.StatePlaced:
		return decision{actFail, fmt.Sprintf("worker: %s", o.status.Detail)}
	case o.startFailure != "":
		return decision{actFail, o.startFailure}
	case phase != platform.PhaseStopped && o.stopReason == "":
		return decision{actStop, string(requeueNotRunning)}
	case state == structs.StateEvicting && o.row.Value.Owner == o.self:
		return decision{action: actEvicted}
	case o.stopReason != "":
		return requeue(o.stopReason)
	}
	return requeue(requeueLeaseExpired)
}
