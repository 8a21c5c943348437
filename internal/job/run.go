package job

import (
	"strconv"
	"time"
)

// MaxRunNumber bounds the numbers of runs that are read: a higher one is not of this system, whose
// numbers begin at 65,536 times that of the term.
const MaxRunNumber = 1 << 50

// Run identifies one attempt to execute a task. Numbers of a task's runs increase.
type Run struct {
	Task   Task
	Number int64
}

// EndReason is the reason why a run ended.
type EndReason string

// The reasons why a run ends.
const (
	// EndDone: the task finished.
	EndDone EndReason = "done"
	// EndFailed: the task or its runner failed.
	EndFailed EndReason = "failed"
	// EndStopped: the system stopped it.
	EndStopped EndReason = "stopped"
	// EndLeaseExpired: the lease of the runner's runs expired.
	EndLeaseExpired EndReason = "lapsed"
	// EndGangMemberLost: another member of its gang ended.
	EndGangMemberLost EndReason = "broken"
	// EndGangIncomplete: the other members of its gang did not start in time.
	EndGangIncomplete EndReason = "alone"
)

// End is the end of a run as reported by its runner.
type End struct {
	// Sequence numbers the ends of one incarnation of a runner from 1.
	Sequence   int64
	Run        Run
	Reason     EndReason
	Checkpoint string
}

// Activity is the status of a run that has not ended, as reported by its runner.
type Activity struct {
	Run        Run
	Checkpoint string
	// CheckpointUnknown is set if the report's checkpoint could not be read. The one reported
	// before remains valid.
	CheckpointUnknown bool
	// Percent is the share of the task's work that is done; 100 for a continuous task that
	// is up.
	Percent int
	// TailLatency is valid only for latency-critical tasks, CPU only for all others: for each
	// run one of the two fields has a meaningless value.
	TailLatency time.Duration
	// CPU is the CPU in use, in thousandths of a core.
	CPU int64
	// Unconfirmed is set while the runner has not confirmed the start.
	Unconfirmed bool
	// OrderedSpeed is the speed limit that the agent has been ordered to enforce, RunnerSpeed
	// the one that the runner has confirmed. Only agents set them.
	OrderedSpeed, RunnerSpeed Speed
	// DetailsUnknown is set while the agent does not know what kind of task the run is of.
	DetailsUnknown bool
}

// FullSpeed is the speed limit of a run that is not throttled, in percent.
const FullSpeed = 100

// Speed is a speed limit of a run. Its zero value is unknown.
type Speed struct {
	// Percent is the limit in percent of the run's full speed, 0 to FullSpeed.
	Percent int
	Known   bool
}

// SpeedOf returns a known speed limit.
func SpeedOf(percent int) Speed { return Speed{Percent: percent, Known: true} }

// speedTolerance is the share of a run's full CPU by which a report may exceed its speed limit: reports
// are rough.
const speedTolerance = 0.2

// Exceeded reports whether a run that uses cpu, of fullCPU at full speed, is above the limit.
func (s Speed) Exceeded(cpu, fullCPU int64) bool {
	return s.Known && float64(cpu) > (float64(s.Percent)/FullSpeed+speedTolerance)*float64(fullCPU)
}

// String returns the limit in percent, "unknown" if it is unknown.
func (s Speed) String() string {
	if !s.Known {
		return "unknown"
	}
	return strconv.Itoa(s.Percent)
}

// Resources is the capacity of a runner or the request of a task.
type Resources struct {
	// CPU is in thousandths of a core.
	CPU      int64
	MemoryMB int64
	GPUs     int64
}

// Holds reports whether a task of the step requests at most these resources. The CPU of best-effort
// tasks does not count, since they use what others leave idle.
func (r Resources) Holds(s *Step) bool {
	return s.MemoryMB <= r.MemoryMB && s.GPUs <= r.GPUs && (s.BestEffort || s.CPU <= r.CPU)
}

// Runner is a runner's status report.
type Runner struct {
	// ID and StartTime together identify one incarnation of a runner: one start of its
	// process. StartTime is 0 if the runner does not report it.
	ID        string
	StartTime int64
	// Address is where the runner accepts calls.
	Address  string
	Service  string
	Zone     string
	Labels   []string
	Capacity Resources
	Draining bool
	// Remaining is the minimum time for which a draining runner keeps running.
	Remaining time.Duration
	// Sequence orders the reports of one incarnation.
	Sequence int64
}

// SameIncarnation reports whether r and other are the same incarnation of a runner.
func (r *Runner) SameIncarnation(other *Runner) bool {
	return r.ID == other.ID && r.StartTime == other.StartTime
}

// Request returns the resources that one task of the step occupies on a runner.
func (s *Step) Request() Resources {
	return Resources{CPU: s.CPU, MemoryMB: s.MemoryMB, GPUs: s.GPUs}
}
