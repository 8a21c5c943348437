// Package task implements the state machine of jobs and watches, with one map of
// transitions. Methods of Tx collect the changed rows, and the caller commits them in a
// transaction that checks the rows' versions.
package task

import (
	"fmt"
	"slices"
	"time"

	"bamboowood/internal/structs"
)

// transitions maps each state to the states that may follow it.
var transitions = map[structs.TaskState][]structs.TaskState{
	structs.StatePending:  {structs.StatePlaced, structs.StateCancelled, structs.StateFailed, structs.StateSucceeded},
	structs.StatePlaced:   {structs.StateRunning, structs.StatePending, structs.StateCancelled, structs.StateSucceeded},
	structs.StateRunning:  {structs.StateEvicting, structs.StateStopping, structs.StateSucceeded, structs.StateFailed, structs.StatePending},
	structs.StateEvicting: {structs.StatePending, structs.StateSucceeded, structs.StateFailed, structs.StateStopping, structs.StateCancelled},
	structs.StateStopping: {structs.StateCancelled, structs.StateSucceeded, structs.StateFailed},
}

// Allowed reports whether a task in state from may move to state to.
func Allowed(from, to structs.TaskState) bool { return slices.Contains(transitions[from], to) }

// Transition describes one transition.
type Transition struct {
	To     structs.TaskState
	At     time.Time
	Reason string
	TxID   string
}

// TransitionError is returned for a transition that the map transitions does not allow.
type TransitionError struct {
	ID       string
	From, To structs.TaskState
}

// Error implements the error interface.
func (e *TransitionError) Error() string {
	return fmt.Sprintf("task %s cannot go from %s to %s", e.ID, e.From, e.To)
}

// Apply returns t after the change, which it appends to the history. It clears the
// owner and the reservation when the new state holds no resources. It returns a
// *TransitionError if the change is not allowed.
func Apply(t structs.Task, c Transition) (structs.Task, error) {
	if !Allowed(t.State, c.To) {
		return t, &TransitionError{ID: t.ID, From: t.State, To: c.To}
	}
	entry := structs.Transition{
		At: c.At, From: t.State, To: c.To, VM: t.Owner.VM, Fence: t.Fence, Reason: c.Reason, TxID: c.TxID,
	}
	history := append(slices.Clone(t.History), entry)
	if len(history) > structs.MaxHistory {
		history = history[len(history)-structs.MaxHistory:]
	}
	t.History = history
	t.State = c.To
	t.Reason = c.Reason
	t.ChangedAt = c.At
	if !c.To.HoldsResources() {
		t.Owner = structs.Owner{}
		t.Reserved = structs.Resources{}
	}
	return t, nil
}
