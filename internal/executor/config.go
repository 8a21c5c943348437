package executor

import (
	"time"

	"bamboowood/internal/structs"
)

// Config is the settings of an Executor. Zero durations are replaced by the
// defaults.
type Config struct {
	VM   string `toml:"vm" validate:"required,max=63"`
	Zone string `toml:"zone" validate:"required,max=63"`
	Rack string `toml:"rack" validate:"max=63"`
	// Capacity is the VM's total resources. ServiceReserve is the part of it that
	// is reserved for the services and not available to tasks.
	Capacity       structs.Resources `toml:"capacity"`
	ServiceReserve structs.Resources `toml:"service_reserve"`
	Services       []string          `toml:"services"`
	// LeaseDuration is how long one renewal of the VM's lease is valid. The lease
	// is renewed after a third of it.
	LeaseDuration time.Duration `toml:"lease_duration" validate:"omitempty,gte=3s,lte=10m"`
	// StartBound is the longest time from sending the transaction that starts a
	// task to the start itself.
	StartBound time.Duration `toml:"start_bound" validate:"omitempty,gte=100ms,lte=3s"`
	// CheckpointInterval is the time between two checkpoints of a running task.
	CheckpointInterval time.Duration `toml:"checkpoint_interval" validate:"omitempty,gte=1s,lte=1h"`
	// StatusInterval is the time between two polls of the worker's reports.
	StatusInterval time.Duration `toml:"status_interval" validate:"omitempty,gte=100ms,lte=1m"`
	// CallTimeout limits the duration of one call to the table, WorkerTimeout of one
	// short call to the worker, CheckpointTimeout of one checkpoint.
	CallTimeout       time.Duration `toml:"call_timeout" validate:"omitempty,gte=100ms,lte=1m"`
	WorkerTimeout     time.Duration `toml:"worker_timeout" validate:"omitempty,gte=100ms,lte=1m"`
	CheckpointTimeout time.Duration `toml:"checkpoint_timeout" validate:"omitempty,gte=100ms,lte=10m"`
}

// Defaults of Config.
const (
	DefaultLeaseDuration      = 30 * time.Second
	DefaultStartBound         = 1500 * time.Millisecond
	DefaultCheckpointInterval = 60 * time.Second
	DefaultStatusInterval     = time.Second
	DefaultCallTimeout        = 2 * time.Second
	DefaultWorkerTimeout      = 2 * time.Second
	DefaultCheckpointTimeout  = 30 * time.Second
)

const (
	// renewDivisor: the lease is renewed after duration/renewDivisor.
	renewDivisor = 3
	// leaseCheckDivisor: the remaining lease is checked every
	// duration/leaseCheckDivisor.
	leaseCheckDivisor = 36
	// checkpointDivisor: with less than duration/checkpointDivisor left, running
	// tasks are checkpointed and stopped. The checkpoint timeout leaves
	// duration/stopDivisor for the stops.
	checkpointDivisor = 4
	stopDivisor       = 10
	// retryDivisor, maxRetryDivisor: failed calls to the table are retried after
	// duration/retryDivisor; the delay doubles up to duration/maxRetryDivisor, or
	// up to duration/expiredRetryDivisor for renewals of an expired lease.
	retryDivisor        = 30
	maxRetryDivisor     = 6
	expiredRetryDivisor = 2
	// startDivisor: no task is started with less than duration/startDivisor left.
	startDivisor = 3
	// vmReadsPerFullRead is the number of reads of the VM row after which all task
	// rows are read again even if the VM row has not changed.
	vmReadsPerFullRead = 6
	// maxParallelCalls bounds the concurrent calls to the worker or the table for
	// the tasks of one VM.
	maxParallelCalls = 8
)

// withDefaults returns c with zero durations replaced by the defaults.
func (c Config) withDefaults() Config {
	set := func(d *time.Duration, value time.Duration) {
		if *d <= 0 {
			*d = value
		}
	}
	set(&c.LeaseDuration, DefaultLeaseDuration)
	set(&c.StartBound, DefaultStartBound)
	set(&c.CheckpointInterval, DefaultCheckpointInterval)
	set(&c.StatusInterval, DefaultStatusInterval)
	set(&c.CallTimeout, DefaultCallTimeout)
	set(&c.WorkerTimeout, DefaultWorkerTimeout)
	set(&c.CheckpointTimeout, DefaultCheckpointTimeout)
	return c
}
