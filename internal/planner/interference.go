package planner

import (
	"time"

	"bamboowood/internal/job"
)

// Learning how much fillers disturb tasks with a latency target. The model: the
// tail latency of a serving task is that of its undisturbed siblings times
// 1 + the sum over the fillers on its runner of pressure x share, where share is
// the part of the runner's CPU that the filler uses and the pressure belongs to
// the pair of images. Siblings are the tasks of one job: their load is the same.
const (
	// priorPressure is assumed of a pair of images that has not been seen.
	priorPressure = 1.5
	// learningRate is the share of an error that one report corrects.
	learningRate = 0.25
	// maxExcess bounds what one report may say: near saturation tails explode.
	maxExcess = 4.0
	// maxPressure bounds a learned pressure.
	maxPressure = 30.0
	// settleTime after a change of fillers their effect does not show in a report
	// yet: figures cover the last half second.
	settleTime = 600 * time.Millisecond
	// freshTime is how old the report of a sibling may be.
	freshTime = 1200 * time.Millisecond
	// defaultQuiet is the undisturbed ratio of tail latency to target that is
	// assumed of a serving task of which nothing is known.
	defaultQuiet = 0.4
)

type imagePair struct{ serving, filler string }

// interference is what has been learned; it is shared by all runners.
type interference struct {
	pressure map[imagePair]float64
	// tails has the latest reports of serving tasks by job and agent.
	tails map[string]map[*agent]tailReport
}

// tailReport is the ratio of tail latency to target of a job's tasks on an agent.
type tailReport struct {
	at    time.Duration
	ratio float64
	// expected is the factor by which the fillers there should have raised it.
	expected float64
	// clean says that there were none.
	clean bool
}

func newInterference() interference {
	return interference{pressure: map[imagePair]float64{}, tails: map[string]map[*agent]tailReport{}}
}

func (f *interference) of(serving, filler string) float64 {
	if k, ok := f.pressure[imagePair{serving, filler}]; ok {
		return k
	}
	return priorPressure
}

// quiet returns the undisturbed ratio of a job's serving tasks. measured says
// that a sibling without fillers beside it has been seen.
func (f *interference) quiet(now time.Duration, job string) (ratio float64, measured bool) {
	ratio = -1
	for _, r := range f.tails[job] {
		value := r.ratio / r.expected
		switch {
		case now-r.at > freshTime || measured && !r.clean:
		case r.clean && !measured, ratio < 0, value < ratio:
			ratio, measured = value, r.clean
		}
	}
	if ratio < 0 {
		return defaultQuiet, false
	}
	return ratio, measured
}

// share is the part of the agent's CPU that a filler uses at full speed.
func (a *agent) share(step *job.Step) float64 {
	return float64(step.CPU) / float64(max(a.runner.Capacity.CPU, 1))
}

// learn takes what an agent reported of a serving run.
func (p *Planner) learn(now time.Duration, r *run, act job.Activity) {
	target := r.step.step.LatencyTarget
	a := r.agent
	if target <= 0 || act.TailLatency <= 0 || a.runner == nil {
		return
	}
	settled := now-a.fillersChanged >= settleTime
	f := &p.interference
	image, id := r.step.step.Image, r.step.job.job.ID
	expected, square := 1.0, 0.0
	shares := map[string]float64{}
	for _, other := range a.runs {
		if other.step.step.Filler {
			shares[other.step.step.Image] += float64(other.cpu) / float64(max(a.runner.Capacity.CPU, 1))
		}
	}
	for filler, share := range shares {
		expected += f.of(image, filler) * share
		square += share * share
	}
	ratio := float64(act.TailLatency) / float64(target)
	if f.tails[id] == nil {
		f.tails[id] = map[*agent]tailReport{}
	}
	f.tails[id][a] = tailReport{at: now, ratio: ratio, expected: expected, clean: settled && square == 0}
	if ratio <= 1 {
		r.overSince = 0
	} else if r.overSince == 0 {
		r.overSince = now
	}
	quiet, measured := f.quiet(now, id)
	if !settled || square == 0 || !measured || quiet <= 0 {
		return
	}
	miss := min(max(ratio/quiet-1, 0), maxExcess) - (expected - 1)
	for filler, share := range shares {
		k := f.of(image, filler) + learningRate*miss*share/square
		f.pressure[imagePair{image, filler}] = min(max(k, 0), maxPressure)
	}
}

// disturbed predicts the worst ratio of tail latency to target on the agent if
// a task of s is added and all fillers run at full speed: that of the task itself
// if it serves, and that of the serving tasks there if it is a filler.
func (p *Planner) disturbed(now time.Duration, a *agent, s *stepState) float64 {
	if s.step.LatencyTarget > 0 {
		quiet, _ := p.interference.quiet(now, s.job.job.ID)
		return quiet * (1 + p.load(a, s.step.Image))
	}
	worst := 0.0
	for _, serving := range a.servingSteps() {
		quiet, _ := p.interference.quiet(now, serving.job.job.ID)
		image := serving.step.Image
		worst = max(worst, quiet*(1+p.load(a, image)+p.interference.of(image, s.step.Image)*a.share(s.step)))
	}
	return worst
}

// load is the sum of pressure x share of an agent's fillers on a serving image.
func (p *Planner) load(a *agent, image string) float64 {
	sum := 0.0
	for _, r := range a.runs {
		if r.step.step.Filler && r.phase != stopping {
			sum += p.interference.of(image, r.step.step.Image) * a.share(r.step.step)
		}
	}
	return sum
}

// servingSteps has the steps with a latency target that have a run on the agent.
func (a *agent) servingSteps() []*stepState {
	var steps []*stepState
	for _, r := range a.runs {
		if r.step.step.LatencyTarget > 0 && !containsStep(steps, r.step) {
			steps = append(steps, r.step)
		}
	}
	return steps
}

func containsStep(steps []*stepState, s *stepState) bool {
	for _, other := range steps {
		if other == s {
			return true
		}
	}
	return false
}
