// Package interference learns how much tasks that fill a runner's unused CPU
// disturb tasks that serve users beside them, and how the load of the serving
// tasks moves.
//
// The model is that of a queue: the tail latency of a serving task is its idle
// latency divided by 1 - utilisation, and each filler beside it adds pressure x
// share to the utilisation, where share is the part of the runner's CPU that the
// filler uses and the pressure belongs to the pair of images. The reciprocal of the
// tail latency then falls linearly with the shares. The package works on the
// headroom, target / tail latency: 1 is at the target, higher is better. The tasks
// of one job share their load, so their headroom without fillers is the same.
//
// All that is unknown of one serving image is the state of one Kalman filter: for
// each job its headroom and the headroom's trend, and for each filler image its
// pressure. It tells apart what one report alone cannot: a higher load, and a
// filler that presses harder than was thought.
package interference

import (
	"math"
	"time"
)

// What is assumed of images and jobs that have not been seen.
const (
	// priorPressure is the headroom that a filler with a whole runner's CPU costs, and
	// priorPressureDeviation its standard deviation: images press hardly or hard.
	priorPressure          = 7.0
	priorPressureDeviation = 4.0
	// priorHeadroom of a serving job without fillers, and its standard deviation.
	priorHeadroom          = 2.2
	priorHeadroomDeviation = 0.8
	// priorTrendDeviation is the standard deviation of a trend, in headroom a second.
	priorTrendDeviation = 0.3
)

// How fast what has been learned grows old, as standard deviations in a second.
const (
	// trendDrift allows for a load that swings by half within seven seconds.
	trendDrift = 0.25
	// headroomDrift allows for changes of load without a trend.
	headroomDrift = 0.1
	// pressureDrift allows for pressures that change within seconds.
	pressureDrift = 0.8
	// maxStep bounds the time between two reports that counts.
	maxStep = 2 * time.Second
)

// How exact a report is: the standard deviation of its headroom.
const (
	// reportNoise covers tail latencies that are rounded to milliseconds, relativeNoise
	// the swing of a tail latency.
	reportNoise   = 0.1
	relativeNoise = 0.05
	// unsettledNoise is that of a report from a runner whose fillers have just changed.
	unsettledNoise = 4.0
	// saturated headroom: below it the queue has grown beyond what the shares of the
	// moment explain. saturatedNoise is that of such a report.
	saturated      = 0.3
	saturatedNoise = 0.3
)

// hopelessDeviations is the number of standard deviations that make it certain that a
// headroom is lower.
const hopelessDeviations = 2

// Model is not safe for concurrent use.
type Model struct {
	images map[string]*filter
	// jobs has the filter of each job that was seen.
	jobs map[string]*filter
}

// New returns a model that has seen nothing.
func New() *Model { return &Model{images: map[string]*filter{}, jobs: map[string]*filter{}} }

// Report is what a runner tells of the serving tasks of a job.
type Report struct {
	// Image and Job of the tasks.
	Image, Job string
	// Headroom is target / tail latency, the mean over the job's tasks on the runner.
	Headroom float64
	// Shares are the parts of the runner's CPU that fillers used, by image.
	Shares map[string]float64
	// Steady says that the fillers have not changed during the time that the report
	// covers.
	Steady bool
}

// Observe takes a report on the time at. Times may not go back by much.
func (m *Model) Observe(at time.Duration, r Report) {
	f := m.images[r.Image]
	if f == nil {
		m.prune(at)
		f = newFilter(at)
		m.images[r.Image] = f
	}
	m.jobs[r.Job] = f
	f.advance(at)
	for filler := range r.Shares {
		f.pressure(filler)
	}
	headroom := f.job(r.Job)
	row := make([]float64, f.size())
	row[headroom] = 1
	for filler, share := range r.Shares {
		// A runner with more fillers than are kept has lost some to others.
		if i, ok := f.pressures[filler]; ok {
			row[i] = -share
		}
	}
	noise := reportNoise + relativeNoise*r.Headroom
	switch {
	case !r.Steady:
		noise = unsettledNoise
	case r.Headroom >= saturated:
	case f.expected(row) > saturated:
		// The fillers press harder than was thought; by how much is not told.
		r.Headroom, noise = saturated, saturatedNoise
	default:
		return
	}
	f.correct(row, r.Headroom, noise*noise)
}

// staleAfter without a job is when what was learned of a serving image is dropped.
const staleAfter = 30 * time.Minute

// prune drops the images that have not been seen for long.
func (m *Model) prune(at time.Duration) {
	for image, f := range m.images {
		if len(f.jobs) == 0 && at-f.at > staleAfter {
			delete(m.images, image)
		}
	}
}

// Headroom forecasts the headroom of a job's tasks without fillers.
func (m *Model) Headroom(job string, at time.Duration) float64 {
	mean, _ := m.forecast(job, at)
	return mean
}

// TargetUnattainable says that a job's tasks miss their target with and without fillers.
func (m *Model) TargetUnattainable(job string, at time.Duration) bool {
	mean, deviation := m.forecast(job, at)
	return mean+hopelessDeviations*deviation < 1
}

func (m *Model) forecast(job string, at time.Duration) (mean, deviation float64) {
	f := m.jobs[job]
	if f == nil {
		return priorHeadroom, priorHeadroomDeviation
	}
	i := f.jobs[job]
	ahead := (at - f.at).Seconds()
	variance := f.cov[i][i] + 2*ahead*f.cov[i][i+1] + ahead*ahead*f.cov[i+1][i+1]
	return f.mean[i] + ahead*f.mean[i+1], math.Sqrt(max(variance, 0))
}

// Pressure is the headroom that a filler of an image costs a serving task of another
// one for the whole of a runner's CPU.
func (m *Model) Pressure(serving, filler string) float64 {
	if f := m.images[serving]; f != nil {
		if i, ok := f.pressures[filler]; ok {
			return f.mean[i]
		}
	}
	return priorPressure
}

// ForgetJob deletes the load estimate of a job.
func (m *Model) ForgetJob(job string) {
	if f := m.jobs[job]; f != nil {
		f.drop(job)
		delete(m.jobs, job)
	}
}
