package planner

import (
	"math"
	"time"

	"bamboowood/internal/forecast"
	"bamboowood/internal/job"
)

// Callers' estimates are often several times too low or too high. But the tasks of one step
// take about the same time, and the estimates of one queue err in the same direction, those of
// one image by the same factor.
const (
	// estimateWeight is the weight of an estimate relative to that of one finished task.
	estimateWeight = 0.5
	// biasRate is the share of the estimation error of one finished step by which its
	// queue's bias is corrected.
	biasRate = 0.1
	// maxBias bounds the absolute value of a bias, which is the logarithm of a factor.
	maxBias = 1.5
)

// durations are the expected durations of a job's steps.
type durations struct {
	// finishedTime and finishedTasks are the total duration and the number of the
	// finished tasks, by step.
	finishedTime  []time.Duration
	finishedTasks []int
	// taskDurations are the expected durations of one task, by step.
	taskDurations []time.Duration
	// criticalPath is the duration of the longest chain of steps from the start of each
	// step to the end of the job.
	criticalPath []time.Duration
	objective    time.Duration
}

// biases returns, for a step, the logarithm of the factor by which its estimate is corrected.
type biases func(step int) float64

func newDurations(j *job.Job, bias biases) durations {
	d := durations{
		finishedTime: make([]time.Duration, len(j.Steps)), finishedTasks: make([]int, len(j.Steps)),
		taskDurations: make([]time.Duration, len(j.Steps)), criticalPath: make([]time.Duration, len(j.Steps)),
	}
	d.update(j, bias)
	return d
}

// expectedTaskDuration is the expected duration of a task of step i.
func (d *durations) expectedTaskDuration(j *job.Job, i int, bias float64) time.Duration {
	estimate := float64(j.Steps[i].Estimate) * math.Exp(bias)
	return time.Duration((estimateWeight*estimate + float64(d.finishedTime[i])) / (estimateWeight + float64(d.finishedTasks[i])))
}

// update computes the task durations, critical paths and the objective.
func (d *durations) update(j *job.Job, bias biases) {
	clear(d.criticalPath)
	longest := time.Duration(0)
	for i := len(j.Steps) - 1; i >= 0; i-- {
		d.taskDurations[i] = d.expectedTaskDuration(j, i, bias(i))
		d.criticalPath[i] += d.taskDurations[i]
		for _, before := range j.Steps[i].After {
			d.criticalPath[before] = max(d.criticalPath[before], d.criticalPath[i])
		}
		longest = max(longest, d.criticalPath[i])
	}
	d.objective = j.Objective(longest)
}

// biases returns the corrections of a job's estimates: the median of the learned durations of a step's
// queue and image, and the queue's bias if there are too few. The objective counts the work of a task, so
// the few runs that take several times as long must not count, as they would in the mean.
func (p *Planner) biases(j *job.Job) biases {
	return func(step int) float64 {
		if p.opts.LearnedDurations {
			if median, ok := p.learned.Quantile(durationKey(j, step), time.Second, 0.5); ok {
				return min(max(math.Log(median.Seconds()), -maxBias), maxBias)
			}
		}
		return p.bias[j.Queue.Name]
	}
}

func durationKey(j *job.Job, step int) forecast.Key {
	return forecast.Key{Queue: j.Queue.Name, Image: j.Steps[step].Image}
}

// recordDuration updates the expected durations from a run that ended done. Only a
// task's first run of the term counts, and only if it was never throttled.
func (p *Planner) recordDuration(now time.Duration, r *run) {
	s := r.step
	if r.confirmedAt == 0 || s.step.Continuous || r.speedLimitChangedAt != 0 || r.id.Number != p.firstRunNumber() {
		return
	}
	js := s.job
	duration := now - r.confirmedAt
	js.durations.finishedTime[s.index] += duration
	js.durations.finishedTasks[s.index]++
	p.learned.Learn(durationKey(js.job, s.index), s.step.Estimate, duration, 1/float64(len(s.tasks)))
	queue := js.job.Queue.Name
	if js.durations.finishedTasks[s.index] == 1 && s.step.Estimate > 0 && duration > 0 {
		residual := math.Log(float64(duration)/float64(s.step.Estimate)) - p.bias[queue]
		p.bias[queue] = min(max(p.bias[queue]+biasRate*residual, -maxBias), maxBias)
	}
	js.durations.update(js.job, p.biases(js.job))
}

// learnedRemaining returns the expected remaining time of a confirmed run from its progress, and from the
// learned durations while it has little. ok is false without either.
func (p *Planner) learnedRemaining(now time.Duration, r *run) (left time.Duration, ok bool) {
	elapsed := now - r.confirmedAt
	if left, ok = forecast.RemainingByProgress(elapsed, r.confirmedPercent, r.percent); ok || !p.opts.LearnedDurations {
		return left, ok
	}
	key, estimate := durationKey(r.step.job.job, r.step.index), r.step.step.Estimate
	if r.confirmedPercent > 0 {
		left, ok = p.learned.Expected(key, estimate)
		return left * time.Duration(max(100-r.percent, 0)) / 100, ok
	}
	return p.learned.Remaining(key, estimate, elapsed)
}
