package planner

import (
	"cmp"
	"slices"
	"time"

	"bamboowood/internal/job"
)

// Pacing of fillers, so that the tasks that they disturb keep their latency
// target.
const (
	// fullPace is a run's full speed, in percent.
	fullPace = 100
	// paceGoal is the ratio of tail latency to target up to which fillers may
	// raise it; the rest is for the swing of the load until the next report.
	paceGoal = 1.0
	// hopelessRatio: a task whose undisturbed tail latency is so far beyond its
	// target misses it with and without fillers.
	hopelessRatio = 1.15
	// overTime over its target on end stops the fillers beside a task, whatever
	// has been learned. The users allow 4 s (harmMs), of which reports take one.
	overTime = 2200 * time.Millisecond
	// paceInterval bounds how often an agent's paces change; figures cover half a
	// second.
	paceInterval = 250 * time.Millisecond
	// paceStep is the least change, in percent, that is worth an order.
	paceStep = 8
)

// Pace orders an agent to let a run work at a share of its speed.
type Pace struct {
	Agent   string
	Run     job.Run
	Percent int
	// Over is how long a serving task beside it has been over its target, Quiet the
	// highest undisturbed ratio of tail latency to target there.
	Over  time.Duration
	Quiet float64
}

// paces returns the changed paces of fillers beside serving tasks.
func (p *Planner) paces(now time.Duration) []Pace {
	var paces []Pace
	for _, a := range p.order {
		if a.state != live || a.runner == nil || now-a.pacedAt < paceInterval {
			continue
		}
		a.pacedAt = now
		wanted, over, quiet := p.wantedPaces(now, a)
		for _, r := range wanted {
			change := r.run.pace - r.percent
			if change == 0 || max(change, -change) < paceStep && r.percent != fullPace && r.percent != 0 {
				continue
			}
			r.run.setPace(now, r.percent)
			a.fillersChanged = now
			paces = append(paces, Pace{Agent: a.id, Run: r.run.id, Percent: r.percent, Over: over, Quiet: quiet})
		}
	}
	return paces
}

type wantedPace struct {
	run     *run
	percent int
}

// wantedPaces slows down the fillers that press most, each serving step in turn,
// until all are within the goal.
func (p *Planner) wantedPaces(now time.Duration, a *agent) (wanted []wantedPace, over time.Duration, worst float64) {
	for _, r := range a.runs {
		if r.step.step.Filler && r.phase == running {
			wanted = append(wanted, wantedPace{run: r, percent: fullPace})
		}
	}
	if len(wanted) == 0 {
		return nil, 0, 0
	}
	for _, s := range a.servingSteps() {
		quiet, measured := p.interference.quiet(now, s.job.job.ID)
		worst = max(worst, quiet)
		overFor := a.overFor(now, s)
		over = max(over, overFor)
		switch {
		case overFor > overTime:
			p.limit(a, s.step.Image, wanted, 0)
		case measured && quiet > hopelessRatio:
		default:
			p.limit(a, s.step.Image, wanted, max(paceGoal/quiet-1, 0))
		}
	}
	return wanted, over, worst
}

// overFor is how long a run of the step has been over its latency target.
func (a *agent) overFor(now time.Duration, s *stepState) time.Duration {
	longest := time.Duration(0)
	for _, r := range a.runs {
		if r.step == s && r.overSince != 0 {
			longest = max(longest, now-r.overSince)
		}
	}
	return longest
}

// limit lowers paces, those of the highest pressure on a serving image first,
// until the sum of pressure x share is at most allowed.
func (p *Planner) limit(a *agent, image string, wanted []wantedPace, allowed float64) {
	pressure := func(w wantedPace) float64 { return p.interference.of(image, w.run.step.step.Image) }
	slices.SortFunc(wanted, func(x, y wantedPace) int { return cmp.Compare(pressure(y), pressure(x)) })
	sum := 0.0
	for _, w := range wanted {
		sum += pressure(w) * a.share(w.run.step.step) * float64(w.percent) / fullPace
	}
	for i := range wanted {
		if sum <= allowed && allowed > 0 {
			return
		}
		full := pressure(wanted[i]) * a.share(wanted[i].run.step.step)
		if allowed == 0 {
			wanted[i].percent = 0
			continue
		}
		if full <= 0 {
			continue
		}
		part := full * float64(wanted[i].percent) / fullPace
		keep := max(part-(sum-allowed), 0)
		wanted[i].percent = int(keep / full * fullPace)
		sum += keep - part
	}
}
