package job

import "time"

// Run names one start of a task.
type Run struct {
	Task   Task
	Number int64
}

// EndReason says how a run ended.
type EndReason string

// The ways in which a run ends.
const (
	// EndDone: the task has finished.
	EndDone EndReason = "done"
	// EndFailed: the task or its runner failed.
	EndFailed EndReason = "failed"
	// EndStopped: the system stopped it.
	EndStopped EndReason = "stopped"
	// EndLeaseExpired: the runner's lease ran out.
	EndLeaseExpired EndReason = "lapsed"
	// EndGangMemberLost: another member of its gang ended.
	EndGangMemberLost EndReason = "broken"
	// EndGangIncomplete: the other members of its gang did not come in time.
	EndGangIncomplete EndReason = "alone"
)

// End is the end of a run as its runner lists it.
type End struct {
	// Sequence numbers the ends of one life of a runner from 1.
	Sequence   int64
	Run        Run
	Reason     EndReason
	Checkpoint string
}

// Activity is what a runner reports of a run that has not ended.
type Activity struct {
	Run        Run
	Checkpoint string
	// Percent of a task's work that is done; 100 for a continuous task at work.
	Percent int
	// TailLatency is reported for continuous tasks that serve users.
	TailLatency time.Duration
	// CPU in use, in thousandths of a core, is reported for all other tasks.
	CPU int64
	// Unconfirmed runs were ordered, and the runner has not confirmed them.
	Unconfirmed bool
}

// Resources are what a runner has or a task needs.
type Resources struct {
	// CPU is in thousandths of a core.
	CPU      int64
	MemoryMB int64
	GPUs     int64
}

// Runner is what a runner says of itself.
type Runner struct {
	// ID and StartTime together name one life of a runner. StartTime is the time of its
	// start; 0 if it does not tell.
	ID        string
	StartTime int64
	// Address takes the orders.
	Address  string
	Service  string
	Zone     string
	Labels   []string
	Capacity Resources
	Draining bool
	// Remaining is the least time that a draining runner keeps running.
	Remaining time.Duration
	// Sequence orders the reports of one life.
	Sequence int64
}

// SameIncarnation says whether both are the same life of a runner.
func (r *Runner) SameIncarnation(other *Runner) bool {
	return r.ID == other.ID && r.StartTime == other.StartTime
}

// Request is what one task of the step occupies on a runner.
func (s *Step) Request() Resources {
	return Resources{CPU: s.CPU, MemoryMB: s.MemoryMB, GPUs: s.GPUs}
}
