package interference

import (
	"slices"
	"time"
)

// filter is a Kalman filter for one latency-critical image. Its state has two entries for
// each job, the headroom without best-effort tasks and its trend per second, and one entry
// for each best-effort image, its pressure.
type filter struct {
	at        time.Duration
	mean      []float64
	cov       [][]float64
	jobs      map[string]int
	pressures map[string]int
	// lastUsed is the time of the last report that included each best-effort image.
	lastUsed map[string]time.Duration
}

func newFilter(at time.Duration) *filter {
	return &filter{at: at, jobs: map[string]int{}, pressures: map[string]int{}, lastUsed: map[string]time.Duration{}}
}

func (f *filter) size() int { return len(f.mean) }

// addEntry adds an uncorrelated entry to the state and returns its index.
func (f *filter) addEntry(mean, deviation float64) int {
	n := f.size()
	f.mean = append(f.mean, mean)
	for i := range f.cov {
		f.cov[i] = append(f.cov[i], 0)
	}
	row := make([]float64, n+1)
	row[n] = deviation * deviation
	f.cov = append(f.cov, row)
	return n
}

// ensureJob returns the index of a job's headroom, adding it if it is missing. The next index is
// its trend.
func (f *filter) ensureJob(id string) int {
	i, ok := f.jobs[id]
	if !ok {
		i = f.addEntry(priorHeadroom, priorHeadroomDeviation)
		f.addEntry(0, priorTrendDeviation)
		f.jobs[id] = i
	}
	return i
}

// maxPressures bounds the best-effort images of one filter. The cost of an update grows with
// the square of their number.
const maxPressures = 48

// ensurePressure returns the index of a best-effort image's pressure, adding it if it is missing.
// A full filter evicts the least recently used pressure.
func (f *filter) ensurePressure(bestEffort string) int {
	i, ok := f.pressures[bestEffort]
	if !ok {
		if len(f.pressures) == maxPressures {
			oldest := ""
			for name, at := range f.lastUsed {
				if oldest == "" || at < f.lastUsed[oldest] {
					oldest = name
				}
			}
			i := f.pressures[oldest]
			delete(f.pressures, oldest)
			delete(f.lastUsed, oldest)
			f.removeEntries(i, 1)
		}
		i = f.addEntry(priorPressure, priorPressureDeviation)
		f.pressures[bestEffort] = i
	}
	f.lastUsed[bestEffort] = f.at
	return i
}

// removeJob removes a job's two entries.
func (f *filter) removeJob(id string) {
	if i, ok := f.jobs[id]; ok {
		delete(f.jobs, id)
		f.removeEntries(i, 2)
	}
}

// removeEntries removes n entries from the state, starting at index i.
func (f *filter) removeEntries(i, n int) {
	f.mean = slices.Delete(f.mean, i, i+n)
	f.cov = slices.Delete(f.cov, i, i+n)
	for k := range f.cov {
		f.cov[k] = slices.Delete(f.cov[k], i, i+n)
	}
	for _, indexes := range []map[string]int{f.jobs, f.pressures} {
		for name, k := range indexes {
			if k > i {
				indexes[name] = k - n
			}
		}
	}
}

// predict is the prediction step: headrooms follow their trends, and all variances grow.
func (f *filter) predict(at time.Duration) {
	if at <= f.at {
		return
	}
	seconds := min(at-f.at, maxStep).Seconds()
	f.at = at
	for _, i := range f.jobs {
		f.mean[i] += seconds * f.mean[i+1]
		for k := range f.cov {
			f.cov[i][k] += seconds * f.cov[i+1][k]
		}
		for k := range f.cov {
			f.cov[k][i] += seconds * f.cov[k][i+1]
		}
		f.cov[i][i] += headroomDrift * headroomDrift * seconds
		f.cov[i+1][i+1] = min(f.cov[i+1][i+1]+trendDrift*trendDrift*seconds, priorTrendDeviation*priorTrendDeviation)
	}
	for _, i := range f.pressures {
		if f.cov[i][i] < priorPressureDeviation*priorPressureDeviation {
			f.cov[i][i] += pressureDrift * pressureDrift * seconds
		}
	}
}

// expectedValue returns the expected measurement of the sum of the state's entries times
// coefficients.
func (f *filter) expectedValue(coefficients []float64) float64 {
	sum := 0.0
	for i, coefficient := range coefficients {
		sum += f.mean[i] * coefficient
	}
	return sum
}

// update is the update step for a measurement of the sum of the state's entries times
// coefficients.
func (f *filter) update(coefficients []float64, value, variance float64) {
	n := f.size()
	covariance := make([]float64, n)
	innovationVariance := variance
	for i := range n {
		for k := range n {
			covariance[i] += f.cov[i][k] * coefficients[k]
		}
	}
	for i := range n {
		innovationVariance += coefficients[i] * covariance[i]
	}
	scaledInnovation := (value - f.expectedValue(coefficients)) / innovationVariance
	for i := range n {
		f.mean[i] += covariance[i] * scaledInnovation
		for k := range n {
			f.cov[i][k] -= covariance[i] * covariance[k] / innovationVariance
		}
	}
	for _, i := range f.pressures {
		f.mean[i] = max(f.mean[i], 0)
	}
}
