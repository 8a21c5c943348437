package planner

import "time"

// grantShare learns which share of the runners the advice service allows, for one queue.
type grantShare struct{ asked, granted float64 }

// maxGrantWeight is the number of runners at which all earlier answers are halved, so that a changed policy is
// followed.
const maxGrantWeight = 200

func (g *grantShare) learn(asked, granted int) {
	g.asked += float64(asked)
	g.granted += float64(granted)
	if g.asked > maxGrantWeight {
		g.asked, g.granted = g.asked/2, g.granted/2
	}
}

// estimate returns the probability that a runner is allowed, 0.5 without any answer.
func (g *grantShare) estimate() float64 {
	return (g.granted + 1) / (g.asked + 2)
}

// adviceOverhead is what a call takes besides the service's own time.
const adviceOverhead = 10 * time.Millisecond

// requestSize returns how many runners, of at most most, a request names that should grant wanted of them. Each
// is granted with probability share. It is the size with the most useful grants for the service's time: a larger
// request delays the steps that wait for the service, a smaller one is more often repeated.
func requestSize(wanted, most int, share float64, duration func(n int) time.Duration) int {
	best, bestRate := min(most, 1), 0.0
	// grants[i] is the probability that exactly i of the n runners are granted, for i below wanted.
	grants := make([]float64, wanted)
	if wanted > 0 {
		grants[0] = 1
	}
	useful := 0.0
	for n := 1; n <= most; n++ {
		lacking := 0.0
		for i := wanted - 1; i >= 0; i-- {
			lacking += grants[i]
			grants[i] *= 1 - share
			if i > 0 {
				grants[i] += grants[i-1] * share
			}
		}
		useful += share * lacking
		if rate := useful / (duration(n) + adviceOverhead).Seconds(); rate >= bestRate {
			best, bestRate = n, rate
		}
	}
	return best
}
