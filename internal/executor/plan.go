package executor

import (
	"fmt"

	"bamboowood/internal/platform"
	"bamboowood/internal/structs"
	"bamboowood/internal/task"
)

// action is what sync does about one task.
type action int

const (
	actKeep    action = iota
	actStart          // commit the start, then start it on the worker
	actSucceed        // report the success
	actFail           // report the failure
	actRequeue        // give it back
	actEvicted        // report the completed eviction
	actDrop           // remove a reservation without a task
	actSave           // checkpoint and stop it on the worker
	actStop           // stop it on the worker
)

// observation is all that is known of one task that the VM's row names.
type observation struct {
	me  structs.Owner
	id  string
	row task.Row
	// status is the worker's report, nil when it has none.
	status *platform.TaskStatus
	// stopped is the reason of a confirmed stop under the row's fence, or "".
	stopped requeueReason
	// failed is why the worker refused the start, or "".
	failed string
	// checkpoint is the newest one known to this process, or "".
	checkpoint string
	// draining and zoneOut forbid starts for good, startable is whether a start
	// is possible now.
	draining, zoneOut, startable bool
}

// decision is an action with the reason for a requeue or failure.
type decision struct {
	action action
	reason string
}

func requeue(reason requeueReason) decision { return decision{actRequeue, string(reason)} }

// phase returns the worker's word on the row's fence, or "" when it has none.
func (o observation) phase() platform.TaskPhase {
	if o.status == nil || o.status.Fence != o.row.Value.Fence {
		return ""
	}
	return o.status.Phase
}

// doneBefore reports whether the worker's last run of a placed batch task, under
// the fence before, has succeeded without having been counted.
func (o observation) doneBefore() bool {
	t := o.row.Value
	return t.State == structs.StatePlaced && t.Spec.Kind != structs.KindWatch &&
		o.status != nil && o.status.Phase == platform.PhaseSucceeded && o.status.Fence == t.Fence-1
}

// foreign reports whether the reservation is not backed by a task of this VM.
func (o observation) foreign() bool {
	t := o.row.Value
	return !o.row.Exists() || !t.State.HoldsResources() || t.Owner.VM != o.me.VM ||
		t.Owner.Incarnation > o.me.Incarnation
}

// newestCheckpoint returns the key to resume from, or "" for the row's own.
func (o observation) newestCheckpoint() string {
	if o.phase() != "" && o.status.Checkpoint != "" {
		return o.status.Checkpoint
	}
	return o.checkpoint
}

// decide returns what to do about a task. A task is given up only with proof
// that it does not run: its record on the worker or a confirmed stop.
func decide(o observation) decision {
	t := o.row.Value
	switch {
	case o.foreign():
		return decision{action: actDrop}
	case t.State == structs.StatePlaced && t.Owner == o.me:
		return decidePlaced(o)
	case o.phase() == platform.PhaseRunning && o.stopped == "":
		return decideRunning(o)
	case t.Owner.Incarnation < o.me.Incarnation:
		o.stopped = requeueOldOwner // registration stopped it
	}
	return decideStopped(o)
}

func decidePlaced(o observation) decision {
	switch {
	case o.doneBefore():
		return decision{action: actSucceed}
	case o.draining:
		return requeue(requeueDraining)
	case o.zoneOut:
		return requeue(requeueZoneOut)
	case o.startable:
		return decision{action: actStart}
	}
	return decision{action: actKeep}
}

func decideRunning(o observation) decision {
	switch {
	case o.row.Value.Owner != o.me:
		return decision{actSave, string(requeueOldOwner)}
	case o.row.Value.State == structs.StateEvicting:
		return decision{action: actSave, reason: o.row.Value.Reason}
	case o.row.Value.State == structs.StateStopping:
		return decision{action: actStop, reason: o.row.Value.Reason}
	}
	return decision{action: actKeep}
}

// decideStopped handles a task that is not reported as running.
func decideStopped(o observation) decision {
	state := o.row.Value.State
	switch phase := o.phase(); {
	case phase == platform.PhaseSucceeded && state != structs.StatePlaced:
		return decision{action: actSucceed}
	case phase == platform.PhaseFailed && state != structs.StatePlaced:
		return decision{actFail, fmt.Sprintf("worker: %s", o.status.Detail)}
	case o.failed != "":
		return decision{actFail, o.failed}
	case phase != platform.PhaseStopped && o.stopped == "":
		return decision{actStop, string(requeueLost)}
	case state == structs.StateEvicting && o.row.Value.Owner == o.me:
		return decision{action: actEvicted}
	case o.stopped != "":
		return requeue(o.stopped)
	}
	return requeue(requeueLapsed)
}
