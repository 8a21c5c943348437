package planner

import (
	"slices"
	"time"

	"bamboowood/internal/interference"
	"bamboowood/internal/job"
)

const (
	// settleTime after a change of fillers their effect does not show in a report
	// yet: figures cover the last half second.
	settleTime = 600 * time.Millisecond
	// settledShare is the change of a runner's CPU in use by fillers below which its
	// reports stay valid.
	settledShare = 0.02
	// recoveringHeadroom: below it a queue has grown that takes time to drain when the
	// fillers let go.
	recoveringHeadroom = 0.5
	// reportDelay is the mean age of what a report tells.
	reportDelay = 250 * time.Millisecond
)

// share is the part of the agent's CPU that a filler uses at full speed.
func (a *agent) share(step *job.Step) float64 { return a.shareOf(step.CPU) }

func (a *agent) shareOf(cpu int64) float64 {
	return float64(cpu) / float64(max(a.runner.Capacity.CPU, 1))
}

// learn takes what an agent reported of its serving runs.
func (p *Planner) learn(now time.Duration, a *agent, active []job.Activity) {
	type sum struct{ headroom, tasks float64 }
	sums := map[*stepState]sum{}
	for _, act := range active {
		r := a.runs[act.Run]
		if r == nil || r.step.step.LatencyTarget <= 0 || act.TailLatency <= 0 || r.step.job.state.Terminal() {
			continue
		}
		headroom := float64(r.step.step.LatencyTarget) / float64(act.TailLatency)
		switch {
		case headroom >= 1:
			r.overSince = 0
		case r.overSince == 0:
			r.overSince = now
		}
		s := sums[r.step]
		sums[r.step] = sum{s.headroom + headroom, s.tasks + 1}
	}
	if len(sums) == 0 || a.runner == nil {
		return
	}
	shares := map[string]float64{}
	for _, r := range a.runs {
		if r.step.step.BestEffort && r.cpu > 0 {
			shares[r.step.step.Image] += a.shareOf(r.cpu)
		}
	}
	settled := now >= a.settledAt
	for s, sum := range sums {
		headroom := sum.headroom / sum.tasks
		p.interference.Observe(now-reportDelay, interference.Report{
			Image: s.step.Image, Job: s.job.job.ID, Headroom: headroom, Shares: shares, Steady: settled,
		})
		if headroom < recoveringHeadroom {
			a.settledAt = max(a.settledAt, now+settleTime)
		}
	}
}

// headroom forecasts the headroom of a serving step without fillers.
func (p *Planner) headroom(now time.Duration, s *stepState) float64 {
	return p.interference.Headroom(s.job.job.ID, now+lookAhead)
}

// neighbours is what a filler finds on an agent: the serving images there with the
// least headroom that their steps are forecast to have, and what the fillers there
// cost them.
type neighbours struct {
	// at is when it was worked out; 0 if the agent's runs have changed since.
	at     time.Duration
	images []servingImage
}

type servingImage struct {
	image    string
	headroom float64
	// load is the headroom that the fillers cost at full speed, hardest the pressure
	// of the one that presses hardest.
	load, hardest float64
}

// neighboursOf returns the agent's neighbours, worked out once for each plan.
func (p *Planner) neighboursOf(now time.Duration, a *agent) []servingImage {
	n := &a.neighbours
	if n.at == now {
		return n.images
	}
	n.at, n.images = now, n.images[:0]
	for _, r := range a.runs {
		if r.step.step.LatencyTarget <= 0 {
			continue
		}
		image, headroom := r.step.step.Image, p.headroom(now, r.step)
		i := slices.IndexFunc(n.images, func(s servingImage) bool { return s.image == image })
		if i < 0 {
			load, hardest := p.load(a, image)
			n.images = append(n.images, servingImage{image: image, headroom: headroom, load: load, hardest: hardest})
		} else {
			n.images[i].headroom = min(n.images[i].headroom, headroom)
		}
	}
	return n.images
}

// slowed predicts what part of its CPU a filler of a step would gain nothing by if it
// were added to an agent: what the fillers there lose to keep the serving tasks' goal,
// those that press hardest first, and the new one among them. cost is the headroom
// that it takes.
func (p *Planner) slowed(now time.Duration, a *agent, s *job.Step) (slowed, cost float64) {
	share := a.share(s)
	if a.serving == 0 || share <= 0 {
		return 0, 0
	}
	for _, n := range p.neighboursOf(now, a) {
		pressure := p.interference.Pressure(n.image, s.Image)
		own := pressure * share
		cost = max(cost, own)
		lacking := min(n.load+own-(n.headroom-paceGoal), own)
		if lacking > 0 {
			slowed = max(slowed, lacking/(max(n.hardest, pressure)*share))
		}
	}
	return slowed, cost
}

// load is the headroom that an agent's fillers cost a serving image at full speed, and
// the pressure of the one that presses hardest.
func (p *Planner) load(a *agent, image string) (sum, hardest float64) {
	for _, r := range a.runs {
		if r.step.step.BestEffort && r.phase != stopping {
			pressure := p.interference.Pressure(image, r.step.step.Image)
			sum += pressure * a.share(r.step.step)
			hardest = max(hardest, pressure)
		}
	}
	return sum, hardest
}

// servingSteps has the steps with a latency target that have a run on the agent.
func (a *agent) servingSteps() []*stepState {
	var steps []*stepState
	for _, r := range a.runs {
		if r.step.step.LatencyTarget > 0 && !slices.Contains(steps, r.step) {
			steps = append(steps, r.step)
		}
	}
	return steps
}
