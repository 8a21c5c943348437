package forecast

import (
	"cmp"
	"slices"
	"time"

	"bamboowood/internal/job"
)

// Release is capacity that is expected to become free.
type Release struct {
	At     time.Duration
	Amount job.Resources
}

// Runner is the expected capacity of one runner. Free is what is neither in use nor reserved.
type Runner struct {
	Free     job.Resources
	Releases []Release
}

// Blocked is a step of which no further task fits on any runner now.
type Blocked struct {
	// Need is what one task needs, Tasks the number of tasks to reserve capacity for.
	Need  job.Resources
	Tasks int
	// Together is set if the tasks can only start at the same time.
	Together bool
	// Slots returns how many tasks the runner with an index may run at most, 0 if it is not eligible.
	Slots func(runner int) int
}

// Reservation is capacity for one task of a blocked step from At on. Step and Runner are indexes.
type Reservation struct {
	Step, Runner int
	At           time.Duration
}

// Plan returns, for each blocked step in order, the earliest times at which capacity for its tasks is
// expected on eligible runners, and on which runners. Times later than now+horizon count as unknown: the
// errors of durations add up. Capacity that is reserved for a step is not available to later ones. Plan
// sorts the releases and reduces the free capacity of the runners that it is given.
func Plan(now time.Duration, runners []Runner, blocked []Blocked, horizon time.Duration) []Reservation {
	sorted := make([]bool, len(runners))
	var all []Reservation
	for step, b := range blocked {
		if b.Tasks <= 0 {
			continue
		}
		var found []Reservation
		for i := range runners {
			slots := min(b.Slots(i), b.Tasks)
			if slots <= 0 {
				continue
			}
			if !sorted[i] {
				slices.SortFunc(runners[i].Releases, func(a, b Release) int { return cmp.Compare(a.At, b.At) })
				sorted[i] = true
			}
			for _, at := range runners[i].times(now, now+horizon, b.Need, slots) {
				found = append(found, Reservation{Step: step, Runner: i, At: at})
			}
		}
		slices.SortStableFunc(found, func(a, b Reservation) int { return cmp.Compare(a.At, b.At) })
		if b.Together && len(found) < b.Tasks {
			continue
		}
		found = found[:min(len(found), b.Tasks)]
		for i, r := range found {
			if b.Together {
				found[i].At = found[len(found)-1].At
			}
			runners[r.Runner].Free = subtract(runners[r.Runner].Free, b.Need)
		}
		all = append(all, found...)
	}
	return all
}

// times returns the times up to limit at which a first, second and further task of the given need fits,
// at most slots.
func (r *Runner) times(now, limit time.Duration, need job.Resources, slots int) []time.Duration {
	var times []time.Duration
	free := r.Free
	take := func(at time.Duration) {
		for len(times) < slots && Fits(need, free) {
			times = append(times, at)
			free = subtract(free, need)
		}
	}
	take(now)
	for _, release := range r.Releases {
		if len(times) == slots || release.At > limit {
			break
		}
		free.CPU += release.Amount.CPU
		free.MemoryMB += release.Amount.MemoryMB
		free.GPUs += release.Amount.GPUs
		take(max(release.At, now))
	}
	return times
}

// Fits reports whether need is at most free in each resource that is needed. A resource that is not needed may be overdrawn.
func Fits(need, free job.Resources) bool {
	return (need.CPU == 0 || need.CPU <= free.CPU) && (need.MemoryMB == 0 || need.MemoryMB <= free.MemoryMB) &&
		(need.GPUs == 0 || need.GPUs <= free.GPUs)
}

func subtract(a, b job.Resources) job.Resources {
	return job.Resources{CPU: a.CPU - b.CPU, MemoryMB: a.MemoryMB - b.MemoryMB, GPUs: a.GPUs - b.GPUs}
}
