package wire

import (
	"fmt"
	"time"

	"google.golang.org/protobuf/proto"

	"bamboowood/internal/job"
	"bamboowood/internal/wire/wirepb"
)

// RunRef encodes a reference to a run.
func RunRef(r job.Run) *wirepb.RunRef {
	return &wirepb.RunRef{Task: r.Task.String(), Number: r.Number}
}

// Run decodes a reference to a run. It returns an error if its number is not in 1 to
// job.MaxRunNumber.
func Run(r *wirepb.RunRef) (job.Run, error) {
	task, err := job.ParseTask(r.GetTask())
	if err != nil {
		return job.Run{}, fmt.Errorf("decode run: %w", err)
	}
	if n := r.GetNumber(); n < 1 || n > job.MaxRunNumber {
		return job.Run{}, fmt.Errorf("decode run of %s: number %d is not in 1 to %d", task, n, int64(job.MaxRunNumber))
	}
	return job.Run{Task: task, Number: r.GetNumber()}, nil
}

// RunActivity encodes a run that may be alive.
func RunActivity(a job.Activity) *wirepb.RunActivity {
	return &wirepb.RunActivity{
		Run: RunRef(a.Run), Checkpoint: a.Checkpoint, Percent: int32(a.Percent),
		TailLatencyMs: a.TailLatency.Milliseconds(), Cpu: a.CPU, Unconfirmed: a.Unconfirmed,
		OrderedSpeed: encodeSpeed(a.OrderedSpeed), RunnerSpeed: encodeSpeed(a.RunnerSpeed),
		DetailsUnknown: a.DetailsUnknown,
	}
}

func encodeSpeed(s job.Speed) *int32 {
	if !s.Known {
		return nil
	}
	return proto.Int32(int32(s.Percent))
}

// Speed decodes a speed limit. One that is out of range is unknown.
func Speed(percent *int32) job.Speed {
	if percent == nil || *percent < 0 || *percent > job.FullSpeed {
		return job.Speed{}
	}
	return job.SpeedOf(int(*percent))
}

// Activities decodes runs that may be alive. Runs that cannot be decoded are skipped; only
// a peer of another version sends them.
func Activities(in []*wirepb.RunActivity) []job.Activity {
	out := make([]job.Activity, 0, len(in))
	for _, a := range in {
		run, err := Run(a.Run)
		if err != nil {
			continue
		}
		out = append(out, job.Activity{
			Run: run, Checkpoint: a.Checkpoint, Percent: int(a.Percent),
			TailLatency: time.Duration(a.TailLatencyMs) * time.Millisecond, CPU: a.Cpu, Unconfirmed: a.Unconfirmed,
			OrderedSpeed: Speed(a.OrderedSpeed), RunnerSpeed: Speed(a.RunnerSpeed),
			DetailsUnknown: a.DetailsUnknown,
		})
	}
	return out
}

// RunEnd encodes the end of a run.
func RunEnd(e job.End) *wirepb.RunEnd {
	return &wirepb.RunEnd{Sequence: e.Sequence, Run: RunRef(e.Run), Reason: string(e.Reason), Checkpoint: e.Checkpoint}
}

// End decodes the end of a run.
func End(e *wirepb.RunEnd) (job.End, error) {
	run, err := Run(e.Run)
	return job.End{Sequence: e.Sequence, Run: run, Reason: job.EndReason(e.Reason), Checkpoint: e.Checkpoint}, err
}

// RunnerInfo encodes a runner; it returns nil if r is nil.
func RunnerInfo(r *job.Runner) *wirepb.RunnerInfo {
	if r == nil {
		return nil
	}
	return &wirepb.RunnerInfo{
		Id: r.ID, Born: r.StartTime, Service: r.Service, Zone: r.Zone, Labels: r.Labels,
		Cpu: r.Capacity.CPU, MemoryMb: r.Capacity.MemoryMB, Gpus: r.Capacity.GPUs,
		Draining: r.Draining, RemainingMs: r.Remaining.Milliseconds(),
	}
}

// Runner decodes a runner; it returns nil if r is nil.
func Runner(r *wirepb.RunnerInfo) *job.Runner {
	if r == nil {
		return nil
	}
	return &job.Runner{
		ID: r.Id, StartTime: r.Born, Service: r.Service, Zone: r.Zone, Labels: r.Labels,
		Capacity: job.Resources{CPU: r.Cpu, MemoryMB: r.MemoryMb, GPUs: r.Gpus},
		Draining: r.Draining, Remaining: time.Duration(r.RemainingMs) * time.Millisecond,
	}
}
