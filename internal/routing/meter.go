package routing

import (
	"math"
	"sync"
	"time"
)

// Meter is an agent's estimate of its upstream's service time. It covers the
// requests of all entries and includes the ages of those that already run longer
// than expected. It is safe for concurrent use.
type Meter struct {
	mu      sync.Mutex
	busy    float64 // nanoseconds, decayed
	answers float64 // decayed
	updated time.Duration
	running int
	// startSum is the sum of the start times of the running requests.
	startSum time.Duration
}

const (
	// meterAnswers is the number of answers that the moving estimate spans.
	meterAnswers = 16
	// meterAge is the minimum age at which an answer's weight has decayed to about
	// a third (1/e).
	meterAge = 150 * time.Millisecond
	// meterAgeServiceTimes is the same age in service times, used where that is
	// longer than meterAge.
	meterAgeServiceTimes = 2
)

// Start records that a request was sent to the upstream at now.
func (m *Meter) Start(now time.Duration) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.running++
	m.startSum += now
}

// End records the end of a request that was started at start. A request that did
// not succeed leaves the estimate unchanged: the time to a failure is not a service
// time.
func (m *Meter) End(now, start time.Duration, succeeded bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.running--
	m.startSum -= start
	if !succeeded {
		return
	}
	age := max(float64(meterAge), meterAgeServiceTimes*m.mean())
	decay := min(1-1.0/meterAnswers, math.Exp(-float64(now-m.updated)/age))
	service := float64(now - start)
	if mean := m.mean(); mean > 0 {
		service = min(service, winsorRatio*mean)
	}
	m.busy = m.busy*decay + service
	m.answers = m.answers*decay + 1
	m.updated = now
}

// Mean returns the expected service time; 0 before the first answer.
func (m *Meter) Mean(now time.Duration) time.Duration {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.answers == 0 {
		return 0
	}
	ages := float64(time.Duration(m.running)*now - m.startSum)
	excess := max(0, ages-float64(m.running)*m.mean())
	return time.Duration((m.busy + excess) / m.answers)
}

func (m *Meter) mean() float64 {
	if m.answers == 0 {
		return 0
	}
	return m.busy / m.answers
}
