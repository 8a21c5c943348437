package planner

import (
	"slices"
	"time"

	"bamboowood/internal/interference"
	"bamboowood/internal/job"
)

const (
	// steadyDelay is the time after a change of the best-effort load until reports show
	// its full effect: their figures cover the last half second.
	steadyDelay = 600 * time.Millisecond
	// steadyTolerance is the change of the best-effort share of a runner's CPU up to which
	// its reports count as steady.
	steadyTolerance = 0.02
	// recoveringHeadroom is the headroom below which a task has built up a queue. The
	// queue takes time to clear after the best-effort tasks are throttled.
	recoveringHeadroom = 0.5
	// admissionHorizon is how far ahead the headroom of latency-critical tasks is forecast when a
	// best-effort task is to start beside them: about as long as such a task runs.
	admissionHorizon = 2400 * time.Millisecond
	// reportAge is the mean age of the figures in a report.
	reportAge = 250 * time.Millisecond
)

// cpuShare is the share of the agent's CPU that a best-effort task of the step uses at
// full speed.
func (a *agent) cpuShare(step *job.Step) float64 { return a.cpuShareOf(step.CPU) }

func (a *agent) cpuShareOf(cpu int64) float64 {
	return float64(cpu) / float64(max(a.runner.Capacity.CPU, 1))
}

// observeInterference passes the tail latencies of an agent's latency-critical runs to
// the interference model.
func (p *Planner) observeInterference(now time.Duration, a *agent, active []job.Activity) {
	type sum struct{ headroom, tasks float64 }
	sums := map[*stepState]sum{}
	for _, act := range active {
		r := a.runs[act.Run]
		if r == nil || r.step.step.LatencyTarget <= 0 || r.step.job.state.Terminal() {
			continue
		}
		r.tailLatency = act.TailLatency
		r.latency.Observe(now, act.TailLatency, r.step.step.LatencyTarget)
		if act.TailLatency <= 0 {
			continue
		}
		headroom := float64(r.step.step.LatencyTarget) / float64(act.TailLatency)
		s := sums[r.step]
		sums[r.step] = sum{s.headroom + headroom, s.tasks + 1}
	}
	if len(sums) == 0 || a.runner == nil {
		return
	}
	shares := map[string]float64{}
	for _, r := range a.runs {
		if r.step.step.BestEffort && r.cpu > 0 {
			// A report of more than the whole CPU is wrong, and would outweigh all others.
			shares[r.step.step.Image] += min(a.cpuShareOf(r.cpu), 1)
		}
	}
	steady := now >= a.steadyAt
	for s, sum := range sums {
		headroom := sum.headroom / sum.tasks
		p.interference.Observe(now-reportAge, interference.Report{
			Image: s.step.Image, Job: s.job.job.ID, Headroom: headroom, Shares: shares, Steady: steady,
		})
		if headroom < recoveringHeadroom {
			a.steadyAt = max(a.steadyAt, now+steadyDelay)
		}
	}
}

// headroom forecasts the headroom of a latency-critical step without best-effort tasks.
func (p *Planner) headroom(now time.Duration, s *stepState) float64 {
	return p.interference.Headroom(s.job.job.ID, now+forecastHorizon)
}

// admissionHeadroom forecasts the least headroom of a latency-critical step while a best-effort task
// that starts now is running. A task that starts while the load rises would otherwise be throttled a
// moment later.
func (p *Planner) admissionHeadroom(now time.Duration, s *stepState) float64 {
	return min(p.headroom(now, s), p.interference.Headroom(s.job.job.ID, now+admissionHorizon))
}

// colocation caches the latency-critical images on an agent and the interference that
// they suffer there.
type colocation struct {
	// computedAt is the time of the cached result; 0 if the agent's runs have changed since.
	computedAt time.Duration
	images     []criticalImage
}

// criticalImage is an image of latency-critical tasks on an agent.
type criticalImage struct {
	image string
	// headroom is the least forecast of the image's steps on the agent over admissionHorizon.
	headroom float64
	// headroomCost is the headroom that the agent's best-effort tasks cost the image at
	// full speed, maxPressure the highest pressure of any of them.
	headroomCost, maxPressure float64
}

// colocatedImages returns the latency-critical images on an agent, computed once per plan.
func (p *Planner) colocatedImages(now time.Duration, a *agent) []criticalImage {
	n := &a.colocation
	if n.computedAt == now {
		return n.images
	}
	n.computedAt, n.images = now, n.images[:0]
	for _, r := range a.runs {
		if r.step.step.LatencyTarget <= 0 {
			continue
		}
		image, headroom := r.step.step.Image, p.admissionHeadroom(now, r.step)
		i := slices.IndexFunc(n.images, func(s criticalImage) bool { return s.image == image })
		if i < 0 {
			headroomCost, maxPressure := p.bestEffortCost(a, image)
			n.images = append(n.images, criticalImage{image: image, headroom: headroom, headroomCost: headroomCost, maxPressure: maxPressure})
		} else {
			n.images[i].headroom = min(n.images[i].headroom, headroom)
		}
	}
	return n.images
}

// predictSlowdown predicts the effect of adding a best-effort task to an agent. slowdown
// is the share of the task's speed that throttling would take from it or from the
// best-effort tasks there, highest pressure first, to keep the headroom goal of the
// latency-critical tasks. headroomCost is the headroom that the task would cost them.
func (p *Planner) predictSlowdown(now time.Duration, a *agent, s *job.Step) (slowdown, headroomCost float64) {
	share := a.cpuShare(s)
	if a.criticalTasks == 0 || share <= 0 {
		return 0, 0
	}
	if a.longestOverTarget(now) > maxTimeOverTarget {
		return 1, 0
	}
	for _, n := range p.colocatedImages(now, a) {
		pressure := p.interference.Pressure(n.image, s.Image)
		ownCost := pressure * share
		headroomCost = max(headroomCost, ownCost)
		deficit := min(n.headroomCost+ownCost-(n.headroom-headroomGoal), ownCost)
		if deficit > 0 {
			slowdown = max(slowdown, deficit/(max(n.maxPressure, pressure)*share))
		}
	}
	return slowdown, headroomCost
}

// bestEffortCost returns the headroom that an agent's best-effort tasks cost a
// latency-critical image at full speed, and the highest pressure of any of them.
func (p *Planner) bestEffortCost(a *agent, image string) (headroomCost, maxPressure float64) {
	for _, r := range a.runs {
		if r.step.step.BestEffort && r.phase != stopping {
			pressure := p.interference.Pressure(image, r.step.step.Image)
			headroomCost += pressure * a.cpuShare(r.step.step)
			maxPressure = max(maxPressure, pressure)
		}
	}
	return headroomCost, maxPressure
}

// criticalSteps returns the latency-critical steps that have a run on the agent.
func (a *agent) criticalSteps() []*stepState {
	var steps []*stepState
	for _, r := range a.runs {
		if r.step.step.LatencyTarget > 0 && !slices.Contains(steps, r.step) {
			steps = append(steps, r.step)
		}
	}
	return steps
}
