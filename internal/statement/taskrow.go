package statement

import (
	"time"

	"bamboowood/internal/structs"
)

// TaskRowOf returns the row of a task. zone is the zone of the task's worker, or "".
func TaskRowOf(t structs.Task, zone string, now time.Time) TaskRow {
	priority := "normal"
	if t.Spec.Priority >= structs.PriorityUrgent {
		priority = "urgent"
	}
	kind := "job"
	if t.Spec.Kind == structs.KindWatch {
		kind = "watch"
	}
	return TaskRow{
		ID: t.ID, Kind: kind, Name: t.Spec.Name, Team: t.Spec.Team, State: string(t.State), Priority: priority,
		Worker: t.Owner.VM, Zone: zone, Cores: float64(t.Spec.Declared.MilliCPU) / 1000,
		MemoryMB: t.Spec.Declared.MemoryMB, Accelerators: t.Spec.Declared.Accelerators,
		Attempts: int64(t.Attempts), Evictions: int64(t.Evictions), Fence: t.Fence,
		AgeMS: now.Sub(t.SubmittedAt).Milliseconds(), Submitted: t.SubmittedAt, Changed: t.ChangedAt, Reason: t.Reason,
	}
}
