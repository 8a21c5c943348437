// Package colocation limits the interference of batch tasks with the services on the
// same VM. An Estimator estimates by how much each kind of task slows each service. A
// Guard decides for one VM when to throttle, checkpoint or evict tasks. Time and
// measurements are passed as arguments; the package has no clock and no goroutine.
package colocation

import (
	"maps"
	"math"
	"slices"
	"time"
)

// Sample is the mean service time of one service on one VM over a window, with the
// load of the tasks that ran in that window. Samples may be added late and in any
// order.
type Sample struct {
	Service string
	// Taken is the end of the window (monotonic).
	Taken time.Duration
	// MeanTime is the mean service time, without waiting, over Requests.
	MeanTime time.Duration
	Requests int
	// Utilisation is the fraction of the service's slots in use, 0 to 1.
	Utilisation float64
	// Load is the sum of the throttle shares of the running tasks, by kind. A task
	// at full speed has the share 1.
	Load map[string]float64
}

// Parameters of the model log(time) = base + u*utilisation + sum(slope*load).
const (
	// MinRequests is the minimum number of requests of a sample; others are ignored.
	MinRequests = 10
	// maxKinds bounds the kinds stored for one service. The kind whose last sample
	// is the oldest is removed first.
	maxKinds = 64

	// Prior of the slope of a pair without samples: a slowdown of about 5% per
	// task with a standard deviation of 30%.
	priorSlope        = 0.05
	priorSlopeStdDev  = 0.3
	baseStdDev        = 1.0
	utilisationStdDev = 0.5
	// modelStdDev is the error of the model itself.
	modelStdDev = 0.05
	// driftPerHour is the standard deviation of the change of a slope in one hour.
	driftPerHour = 0.1

	featureBase        = 0
	featureUtilisation = 1
	firstKind          = 2
)

// Estimator estimates the slowdown of every pair of service and kind of task from
// samples, with one Kalman filter per service. The estimates of kinds that always run
// together keep a large standard error until samples have one without the other. It is
// not safe for concurrent use; see SharedEstimator.
type Estimator struct {
	services map[string]*filter
}

// NewEstimator returns an Estimator without samples.
func NewEstimator() *Estimator { return &Estimator{services: map[string]*filter{}} }

// Add updates the estimates with one sample.
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
	f.addDrift(s.Taken)
	f.update(y, f.features(s), modelStdDev*modelStdDev+1/float64(s.Requests))
}

// Slowdown returns the estimated factor by which one task of the kind at full speed
// slows the service (1 means no slowdown), and the standard error of the factor. It
// implements placement.Slowdowns.
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
	mean      []float64
	cov       [][]float64
	kinds     []string // kinds of the features from firstKind on
	lastSeen  []time.Duration
	updatedAt time.Duration
}

func newFilter(y float64, at time.Duration) *filter {
	return &filter{
		mean:      []float64{y, 0},
		cov:       [][]float64{{baseStdDev * baseStdDev, 0}, {0, utilisationStdDev * utilisationStdDev}},
		updatedAt: at,
	}
}

// features returns the feature vector of the sample. It adds new kinds to the filter.
func (f *filter) features(s Sample) []float64 {
	for _, kind := range slices.Sorted(maps.Keys(s.Load)) {
		if s.Load[kind] > 0 && !slices.Contains(f.kinds, kind) {
			f.addKind(kind, s.Taken)
		}
	}
	x := make([]float64, len(f.mean))
	x[featureBase], x[featureUtilisation] = 1, s.Utilisation
	for i, kind := range f.kinds {
		if load := s.Load[kind]; load > 0 {
			x[firstKind+i] = load
			f.lastSeen[i] = max(f.lastSeen[i], s.Taken)
		}
	}
	return x
}

func (f *filter) addKind(kind string, at time.Duration) {
	if len(f.kinds) == maxKinds {
		f.dropKind(slices.Index(f.lastSeen, slices.Min(f.lastSeen)))
	}
	f.kinds = append(f.kinds, kind)
	f.lastSeen = append(f.lastSeen, at)
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
	f.lastSeen = slices.Delete(f.lastSeen, i, i+1)
	j := firstKind + i
	f.mean = slices.Delete(f.mean, j, j+1)
	f.cov = slices.Delete(f.cov, j, j+1)
	for k := range f.cov {
		f.cov[k] = slices.Delete(f.cov[k], j, j+1)
	}
}

// addDrift increases the variances with the time since the newest sample, up to the
// variances of the priors.
func (f *filter) addDrift(at time.Duration) {
	if at <= f.updatedAt {
		return
	}
	added := driftPerHour * driftPerHour * (at - f.updatedAt).Hours()
	f.updatedAt = at
	for i := range f.mean {
		limit := baseStdDev * baseStdDev
		if i >= firstKind {
			limit = priorSlopeStdDev * priorSlopeStdDev
		}
		f.cov[i][i] = max(f.cov[i][i], min(f.cov[i][i]+added, limit))
	}
}

// update applies to the filter an observation y = x*mean + noise of the given variance.
func (f *filter) update(y float64, x []float64, noiseVariance float64) {
	n := len(x)
	gain := make([]float64, n) // cov * x
	for i := range n {
		for j := range n {
			gain[i] += f.cov[i][j] * x[j]
		}
	}
	variance, predicted := noiseVariance, 0.0
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
