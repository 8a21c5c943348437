package planner

import (
	"math"
	"time"

	"bamboowood/internal/job"
)

// Callers' estimates are off by factors. What is known better: the tasks of a step take
// about the same time, and a queue's estimates are wrong in the same direction.
const (
	// estimateWeight is the weight of an estimate against that of one finished task.
	estimateWeight = 0.5
	// biasRate is the share of its error that one finished step corrects of a queue's
	// bias.
	biasRate = 0.1
	// maxBias bounds a bias, as the logarithm of a factor.
	maxBias = 1.5
)

// durations are the expected lengths of a job's steps.
type durations struct {
	// sum and count are of the tasks that are done, by step.
	sum   []time.Duration
	count []int
	// lengths are what a task of each step is expected to take.
	lengths []time.Duration
	// tail is the longest chain from the start of each step to the end of the job.
	tail      []time.Duration
	objective time.Duration
}

func newDurations(j *job.Job, bias float64) durations {
	d := durations{
		sum: make([]time.Duration, len(j.Steps)), count: make([]int, len(j.Steps)),
		lengths: make([]time.Duration, len(j.Steps)), tail: make([]time.Duration, len(j.Steps)),
	}
	d.update(j, bias)
	return d
}

// expected is the length of a task of step i.
func (d *durations) expected(j *job.Job, i int, bias float64) time.Duration {
	estimate := float64(j.Steps[i].Estimate) * math.Exp(bias)
	return time.Duration((estimateWeight*estimate + float64(d.sum[i])) / (estimateWeight + float64(d.count[i])))
}

// update works out tails and the objective.
func (d *durations) update(j *job.Job, bias float64) {
	clear(d.tail)
	longest := time.Duration(0)
	for i := len(j.Steps) - 1; i >= 0; i-- {
		d.lengths[i] = d.expected(j, i, bias)
		d.tail[i] += d.lengths[i]
		for _, before := range j.Steps[i].After {
			d.tail[before] = max(d.tail[before], d.tail[i])
		}
		longest = max(longest, d.tail[i])
	}
	d.objective = j.Objective(longest)
}

// finished notes the length of a run that ended done. Fillers count only if they were
// never slowed down.
func (p *Planner) finished(now time.Duration, r *run) {
	s := r.step
	if r.phase == starting || s.step.Continuous || r.pacedSince != 0 || r.id.Number != p.firstRun() {
		return
	}
	js := s.job
	took := now - r.confirmedAt
	js.durations.sum[s.index] += took
	js.durations.count[s.index]++
	queue := js.job.Queue.Name
	if js.durations.count[s.index] == 1 && s.step.Estimate > 0 && took > 0 {
		miss := math.Log(float64(took)/float64(s.step.Estimate)) - p.bias[queue]
		p.bias[queue] = min(max(p.bias[queue]+biasRate*miss, -maxBias), maxBias)
	}
	js.durations.update(js.job, p.bias[queue])
}
