package colocation

import "sync"

// SharedEstimator is an Estimator that is safe for concurrent use, for example by the
// goroutine that receives reports and the scheduler.
type SharedEstimator struct {
	mu        sync.Mutex
	estimator *Estimator
}

// NewSharedEstimator returns a SharedEstimator without samples.
func NewSharedEstimator() *SharedEstimator { return &SharedEstimator{estimator: NewEstimator()} }

// Add updates the estimates with one sample.
func (s *SharedEstimator) Add(sample Sample) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.estimator.Add(sample)
}

// Slowdown implements Slowdowns and placement.Slowdowns.
func (s *SharedEstimator) Slowdown(service, kind string) (factor, stderr float64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.estimator.Slowdown(service, kind)
}
