// Package state reads and writes the typed rows of the platform's table. Each row
// stores the id of the transaction that wrote it, so that a commit whose answer was
// lost can be verified by reading its rows back.
package state

import (
	"fmt"

	"bamboowood/internal/structs"
)

// Keys of the table's rows, and prefixes of such keys.
const (
	TaskPrefix    = "task/"
	VMPrefix      = "vm/"
	LeasePrefix   = "lease/"
	ZonePrefix    = "zone/"
	ServicePrefix = "service/"
	TeamPrefix    = "team/"
	KindPrefix    = "kind/"
	ChangePrefix  = "change/"
	CommandPrefix = "command/"
	ClaimPrefix   = "claim/"
	EntryPrefix   = "entry/"
	// BulkCancelPrefix is the prefix of bulk cancellations that a command has accepted
	// and that are not complete yet.
	BulkCancelPrefix = "wave/"
	// QueuePrefix is the prefix of the index of pending tasks. Urgent tasks have a
	// separate prefix, so that they are found without reading a long queue.
	QueuePrefix       = "queue/"
	UrgentQueuePrefix = QueuePrefix + "urgent/"
	NormalQueuePrefix = QueuePrefix + "normal/"
	PeakPrefix        = "peak/"
	// ControlKey is the key of the single row that holds the control version.
	ControlKey = "control"
	// SchedulingKey is the key of the scheduling lease. The lease avoids duplicate work;
	// correctness does not depend on it.
	SchedulingKey = "scheduling"
)

// TaskKey returns the key of the structs.Task with the id.
func TaskKey(id string) string { return TaskPrefix + id }

// QueueKey returns the key of the structs.QueueEntry of a pending task.
func QueueKey(priority structs.Priority, id string) string {
	if priority >= structs.PriorityUrgent {
		return UrgentQueuePrefix + id
	}
	return NormalQueuePrefix + id
}

// PeakKey returns the key of the structs.Peak of the tasks with the spec name.
func PeakKey(name string) string { return PeakPrefix + name }

// VMKey returns the key of a structs.VM.
func VMKey(id string) string { return VMPrefix + id }

// LeaseKey returns the key of a structs.Lease.
func LeaseKey(vm string) string { return LeasePrefix + vm }

// ZoneKey returns the key of a structs.Zone.
func ZoneKey(name string) string { return ZonePrefix + name }

// ServiceKey returns the key of a structs.Service.
func ServiceKey(name string) string { return ServicePrefix + name }

// TeamKey returns the key of a structs.Team.
func TeamKey(name string) string { return TeamPrefix + name }

// KindKey returns the key of a structs.Kind.
func KindKey(name string) string { return KindPrefix + name }

// ChangeKey returns the key of a structs.Change.
func ChangeKey(version int64) string { return fmt.Sprintf("%s%020d", ChangePrefix, version) }

// CommandKey returns the key of a command's row, whose value package command defines.
func CommandKey(id string) string { return CommandPrefix + id }

// ClaimKey returns the key of a structs.Claim.
func ClaimKey(service, key string) string { return ClaimPrefix + service + "/" + key }

// BulkCancelKey returns the key of the bulk cancellation of a command.
func BulkCancelKey(command string) string { return BulkCancelPrefix + command }
