package colocation

import "sync"

// SharedEstimator is an Estimator that several goroutines may use: the one that receives
// reports and the scheduler's.
type SharedEstimator struct {
	mu        sync.Mutex
	estimator *Estimator
}

// NewSharedEstimator returns a SharedEstimator that knows nothing.
func NewSharedEstimator() *SharedEstimator { return &SharedEstimator{estimator: NewEstimator()} }

// Add learns from one sample.
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
