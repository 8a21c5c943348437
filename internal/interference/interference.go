// Package interference estimates how much best-effort tasks slow down colocated
// latency-critical tasks, and forecasts the load of the latency-critical tasks.
//
// The model is that of a queue: the tail latency of a latency-critical task is its idle
// latency divided by 1 - utilisation, and each colocated best-effort task adds pressure x
// share to the utilisation. The share is the part of the runner's CPU that the best-effort
// task uses; the pressure is a property of the pair of images. The reciprocal of the tail
// latency then falls linearly with the shares. The package works on the headroom,
// target / tail latency: 1 is at the target, higher is better. A pressure is therefore stated
// as the headroom lost per whole runner CPU. The tasks of one job share their load, so their
// headroom without best-effort tasks is the same.
//
// The unknowns of one latency-critical image are the state of one Kalman filter: for each job
// its headroom and the headroom's trend, and for each best-effort image its pressure. The
// filter separates two causes that a single report cannot: a higher load, and a higher
// pressure than estimated.
package interference

import (
	"math"
	"time"
)

// Prior estimates for images and jobs without a report.
const (
	// priorPressure is the pressure of a pair of images without a report, in headroom lost
	// per whole runner CPU, and priorPressureDeviation its standard deviation, which is wide
	// because pressures differ greatly between images.
	priorPressure          = 7.0
	priorPressureDeviation = 4.0
	// priorHeadroom is the headroom of a job without best-effort tasks, and
	// priorHeadroomDeviation its standard deviation.
	priorHeadroom          = 2.2
	priorHeadroomDeviation = 0.8
	// priorTrendDeviation is the standard deviation of a trend, in headroom per second.
	priorTrendDeviation = 0.3
)

// Process noise, as standard deviations after one second. They grow with the square root of
// the time.
const (
	// trendDrift, in headroom per second, allows for a load that varies by half of its mean
	// within seven seconds.
	trendDrift = 0.25
	// headroomDrift, in headroom, allows for changes of load without a trend.
	headroomDrift = 0.1
	// pressureDrift, in headroom lost per whole runner CPU, allows for pressures that change
	// within seconds.
	pressureDrift = 0.8
	// maxStep caps the time of one prediction step.
	maxStep = 2 * time.Second
)

// Measurement noise, as standard deviations of a reported headroom.
const (
	// reportNoise covers the rounding of tail latencies to milliseconds. relativeNoise,
	// multiplied by the headroom, covers the variation of tail latencies.
	reportNoise   = 0.1
	relativeNoise = 0.05
	// unsteadyNoise applies to a report from a runner whose best-effort tasks have just
	// changed.
	unsteadyNoise = 4.0
	// saturatedHeadroom is the headroom below which the queue has grown beyond what the
	// current shares explain. saturatedNoise applies to such a report.
	saturatedHeadroom = 0.3
	saturatedNoise    = 0.3
)

// unattainableDeviations is how many standard deviations a forecast headroom must lie below
// the target for the target to count as unattainable.
const unattainableDeviations = 2

// Model estimates pressures and headrooms. It is not safe for concurrent use.
type Model struct {
	images map[string]*filter
	// jobs holds the filter of each job with a report.
	jobs map[string]*filter
}

// New returns a Model without reports.
func New() *Model { return &Model{images: map[string]*filter{}, jobs: map[string]*filter{}} }

// Report is one measurement of the latency-critical tasks of a job on one runner.
type Report struct {
	// Image and Job of the tasks.
	Image, Job string
	// Headroom is target / tail latency, the mean over the job's tasks on the runner.
	Headroom float64
	// Shares are the parts of the runner's CPU that best-effort tasks used, by image.
	Shares map[string]float64
	// Steady is set if the best-effort tasks did not change during the time that the report
	// covers.
	Steady bool
}

// Observe updates the estimates with a report measured at the time at. Times should not
// decrease by much between calls.
func (m *Model) Observe(at time.Duration, r Report) {
	f := m.images[r.Image]
	if f == nil {
		m.prune(at)
		f = newFilter(at)
		m.images[r.Image] = f
	}
	m.jobs[r.Job] = f
	f.predict(at)
	for image := range r.Shares {
		f.ensurePressure(image)
	}
	headroom := f.ensureJob(r.Job)
	coefficients := make([]float64, f.size())
	coefficients[headroom] = 1
	for image, share := range r.Shares {
		// A report with more than maxPressures images has evicted some of its own.
		if i, ok := f.pressures[image]; ok {
			coefficients[i] = -share
		}
	}
	noise := reportNoise + relativeNoise*r.Headroom
	switch {
	case !r.Steady:
		noise = unsteadyNoise
	case r.Headroom >= saturatedHeadroom:
	case f.expectedValue(coefficients) > saturatedHeadroom:
		// The pressures are higher than estimated, but the report does not show by how much.
		r.Headroom, noise = saturatedHeadroom, saturatedNoise
	default:
		return
	}
	f.update(coefficients, r.Headroom, noise*noise)
}

// staleAfter is how long the filter of an image without jobs is kept after its last report.
const staleAfter = 30 * time.Minute

// prune deletes the filters of images without jobs and without a recent report.
func (m *Model) prune(at time.Duration) {
	for image, f := range m.images {
		if len(f.jobs) == 0 && at-f.at > staleAfter {
			delete(m.images, image)
		}
	}
}

// Headroom returns the forecast headroom of a job's tasks without best-effort tasks.
func (m *Model) Headroom(job string, at time.Duration) float64 {
	mean, _ := m.forecast(job, at)
	return mean
}

// TargetUnattainable reports whether a job's tasks are forecast to miss their target even
// without best-effort tasks.
func (m *Model) TargetUnattainable(job string, at time.Duration) bool {
	mean, deviation := m.forecast(job, at)
	return mean+unattainableDeviations*deviation < 1
}

func (m *Model) forecast(job string, at time.Duration) (mean, deviation float64) {
	f := m.jobs[job]
	if f == nil {
		return priorHeadroom, priorHeadroomDeviation
	}
	i := f.jobs[job]
	seconds := (at - f.at).Seconds()
	variance := f.cov[i][i] + 2*seconds*f.cov[i][i+1] + seconds*seconds*f.cov[i+1][i+1]
	return f.mean[i] + seconds*f.mean[i+1], math.Sqrt(max(variance, 0))
}

// Pressure returns the pressure of a best-effort image on a latency-critical image, in headroom
// lost per whole runner CPU: what the latency-critical task loses while a colocated best-effort
// task uses the runner's whole CPU.
func (m *Model) Pressure(critical, bestEffort string) float64 {
	if f := m.images[critical]; f != nil {
		if i, ok := f.pressures[bestEffort]; ok {
			return f.mean[i]
		}
	}
	return priorPressure
}

// ForgetJob deletes the load estimate of a job.
func (m *Model) ForgetJob(job string) {
	if f := m.jobs[job]; f != nil {
		f.removeJob(job)
		delete(m.jobs, job)
	}
}
