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
	// paceGoal is the headroom, target / tail latency, that fillers must leave; what
	// is above 1 is for the errors of the forecast.
	paceGoal = 1.1
	// lookAhead is how far ahead the load of serving tasks is forecast: the time until
	// a pace is in force and until the next one.
	lookAhead = 400 * time.Millisecond
	// overTime over its target on end stops the fillers beside a task, whatever
	// has been learned. The users allow 4 s (harmMs), of which reports take one.
	overTime = 2200 * time.Millisecond
	// paceInterval bounds how often an agent's paces change; figures cover half a
	// second.
	paceInterval = 250 * time.Millisecond
	// paceStep is the least change, in percent, that is worth an order.
	paceStep = 8
)

// Throttle orders an agent to let a run work at a share of its speed.
type Throttle struct {
	Agent   string
	Run     job.Run
	Percent int
	// OverTarget is how long a serving task beside it has been over its target, Headroom the
	// least that is forecast there without fillers.
	OverTarget time.Duration
	Headroom   float64
}

// paces returns the changed paces of fillers beside serving tasks.
func (p *Planner) paces(now time.Duration) []Throttle {
	var paces []Throttle
	for _, a := range p.order {
		if a.state != live || a.runner == nil || now-a.pacedAt < paceInterval {
			continue
		}
		a.pacedAt = now
		wanted, over, headroom := p.wantedPaces(now, a)
		for _, r := range wanted {
			change := r.run.pace - r.percent
			if change == 0 || max(change, -change) < paceStep && r.percent != fullPace && r.percent != 0 {
				continue
			}
			r.run.setPace(now, r.percent)
			a.fillersChange(now, a.share(r.run.step.step)*float64(change)/fullPace)
			paces = append(paces, Throttle{Agent: a.id, Run: r.run.id, Percent: r.percent, OverTarget: over, Headroom: headroom})
		}
	}
	return paces
}

type wantedPace struct {
	run     *run
	percent int
}

// wantedPaces slows down the fillers that press most, each serving step in turn,
// until all are within the goal. over is the longest time that a serving task has been
// over its target, least the least forecast headroom, 0 without serving tasks.
func (p *Planner) wantedPaces(now time.Duration, a *agent) (wanted []wantedPace, over time.Duration, least float64) {
	for _, r := range a.runs {
		if r.step.step.BestEffort && r.phase == running {
			wanted = append(wanted, wantedPace{run: r, percent: fullPace})
		}
	}
	if len(wanted) == 0 {
		return nil, 0, 0
	}
	for i, s := range a.servingSteps() {
		headroom := p.headroom(now, s)
		if i == 0 || headroom < least {
			least = headroom
		}
		overFor := a.overFor(now, s)
		over = max(over, overFor)
		switch {
		case overFor > overTime:
			p.limit(a, s.step.Image, wanted, 0)
		case p.interference.TargetUnattainable(s.job.job.ID, now+lookAhead):
		default:
			p.limit(a, s.step.Image, wanted, max(headroom-paceGoal, 0))
		}
	}
	return wanted, over, least
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
	pressure := func(w wantedPace) float64 { return p.interference.Pressure(image, w.run.step.step.Image) }
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
