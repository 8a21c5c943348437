// Package colocation keeps batch tasks from disturbing the counter services on
// the same VM. An Estimator learns how much each kind of task slows each service;
// a Guard decides on one VM when to throttle, checkpoint or evict. The package
// takes time and measurements as arguments: it has no clock and no goroutine.
package colocation

import (
	"maps"
	"math"
	"slices"
	"time"
)

// Sample is the mean service time of one counter service on one VM over a
// window, with what ran beside it in that window. Samples may be late; their
// order does not matter.
type Sample struct {
	Service string
	// Taken is the end of the window (monotonic).
	Taken time.Duration
	// MeanTime is the mean service time, without waiting, over Requests.
	MeanTime time.Duration
	Requests int
	// Utilisation is the part of the service's slots in use, 0 to 1.
	Utilisation float64
	// Load is the sum of the throttle shares of the running tasks by kind: a
	// task at full speed counts 1.
	Load map[string]float64
}

// Parameters of the model log(time) = base + u*utilisation + sum(slope*load).
const (
	// MinRequests is the least number of requests that a sample counts from.
	MinRequests = 10
	// maxKinds bounds the kinds kept for one service; the one seen longest ago
	// goes first.
	maxKinds = 64

	// The slope of a pair that nothing is known of: a slowdown of about 5% a
	// task, give or take 30%.
	priorSlope       = 0.05
	priorSlopeStdDev = 0.3
	baseStdDev       = 1.0
	loadStdDev       = 0.5
	// modelStdDev is the error of the model itself.
	modelStdDev = 0.05
	// driftPerHour is the standard deviation by which slopes move in an hour.
	driftPerHour = 0.1

	featureBase = 0
	featureLoad = 1
	firstKind   = 2
)

// Estimator learns the slowdown of every pair of counter service and kind of
// task from samples, by a Kalman filter for each service. Kinds that always run
// together keep a large uncertainty until they are seen apart.
type Estimator struct {
	services map[string]*filter
}

// NewEstimator returns an Estimator that knows nothing.
func NewEstimator() *Estimator { return &Estimator{services: map[string]*filter{}} }

// Add learns from one sample.
func (e *Estimator) Add(s Sample) {
	if s.Requests < MinRequests || s.MeanTime <= 0 {
		return
	}
	y := math.Log(s.MeanTime.Seconds())
	f, ok := e.services[s.Service]
	if !ok {
		f = newFilter(y, s.Taken)
		e.services[s.Service] = f
	}
	f.drift(s.Taken)
	f.learn(y, f.features(s), modelStdDev*modelStdDev+1/float64(s.Requests))
}

// Slowdown returns the estimated factor by which one task of the kind at full
// speed slows the service (1: not at all), and its standard error. It implements
// placement.Slowdowns.
func (e *Estimator) Slowdown(service, kind string) (factor, stderr float64) {
	mean, deviation := priorSlope, priorSlopeStdDev
	if f, ok := e.services[service]; ok {
		if i := slices.Index(f.kinds, kind); i >= 0 {
			mean, deviation = f.mean[firstKind+i], math.Sqrt(f.cov[firstKind+i][firstKind+i])
		}
	}
	factor = math.Exp(mean)
	return factor, factor * deviation
}

// filter is the Kalman filter of one service.
type filter struct {
	mean  []float64
	cov   [][]float64
	kinds []string // of the features from firstKind on
	seen  []time.Duration
	at    time.Duration
}

func newFilter(y float64, at time.Duration) *filter {
	return &filter{
		mean: []float64{y, 0},
		cov:  [][]float64{{baseStdDev * baseStdDev, 0}, {0, loadStdDev * loadStdDev}},
		at:   at,
	}
}

// features returns the sample's row of the model, adding kinds not seen before.
func (f *filter) features(s Sample) []float64 {
	for _, kind := range slices.Sorted(maps.Keys(s.Load)) {
		if s.Load[kind] > 0 && !slices.Contains(f.kinds, kind) {
			f.addKind(kind, s.Taken)
		}
	}
	x := make([]float64, len(f.mean))
	x[featureBase], x[featureLoad] = 1, s.Utilisation
	for i, kind := range f.kinds {
		if load := s.Load[kind]; load > 0 {
			x[firstKind+i] = load
			f.seen[i] = max(f.seen[i], s.Taken)
		}
	}
	return x
}

func (f *filter) addKind(kind string, at time.Duration) {
	if len(f.kinds) == maxKinds {
		f.dropKind(slices.Index(f.seen, slices.Min(f.seen)))
	}
	f.kinds = append(f.kinds, kind)
	f.seen = append(f.seen, at)
	f.mean = append(f.mean, priorSlope)
	for i := range f.cov {
		f.cov[i] = append(f.cov[i], 0)
	}
	row := make([]float64, len(f.mean))
	row[len(row)-1] = priorSlopeStdDev * priorSlopeStdDev
	f.cov = append(f.cov, row)
}

func (f *filter) dropKind(i int) {
	f.kinds = slices.Delete(f.kinds, i, i+1)
	f.seen = slices.Delete(f.seen, i, i+1)
	j := firstKind + i
	f.mean = slices.Delete(f.mean, j, j+1)
	f.cov = slices.Delete(f.cov, j, j+1)
	for k := range f.cov {
		f.cov[k] = slices.Delete(f.cov[k], j, j+1)
	}
}

// drift lets certainty decay with the time since the newest sample.
func (f *filter) drift(at time.Duration) {
	if at <= f.at {
		return
	}
	added := driftPerHour * driftPerHour * (at - f.at).Hours()
	f.at = at
	for i := range f.mean {
		limit := baseStdDev * baseStdDev
		if i >= firstKind {
			limit = priorSlopeStdDev * priorSlopeStdDev
		}
		f.cov[i][i] = max(f.cov[i][i], min(f.cov[i][i]+added, limit))
	}
}

// learn updates the filter with an observation y = x*mean + noise.
func (f *filter) learn(y float64, x []float64, noise float64) {
	n := len(x)
	gain := make([]float64, n) // cov * x
	for i := range n {
		for j := range n {
			gain[i] += f.cov[i][j] * x[j]
		}
	}
	variance, predicted := noise, 0.0
	for i := range n {
		variance += x[i] * gain[i]
		predicted += x[i] * f.mean[i]
	}
	for i := range n {
		f.mean[i] += gain[i] / variance * (y - predicted)
	}
	for i := range n {
		for j := range n {
			f.cov[i][j] -= gain[i] * gain[j] / variance
		}
	}
}
